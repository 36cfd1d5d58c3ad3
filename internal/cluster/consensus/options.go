package consensus

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/cluster/consensus/wire"
)

const (
	defaultTick          = 100 * time.Millisecond
	defaultSnapshotCount = 1024
)

// Options configure a [Node]. All callbacks run on the loop's goroutine and must
// not block.
type Options struct {
	// Name identifies the voter. A voter whose file was lost needs a new name.
	Name    string
	Cluster string
	// Dir holds the voter's file, accord.db. It is created if it does not exist.
	Dir    string
	Listen string // host:port
	// Voters maps names to addresses and includes this voter. They become the
	// members of a new cluster. A voter that belongs to no cluster asks them whether
	// there is one.
	Voters map[string]string
	// Tick is the heartbeat interval, 100 ms by default. A voter starts an election
	// after 10 to 20 ticks without a leader.
	Tick time.Duration
	// SnapshotCount is the number of entries between two snapshots, 1024 by
	// default. A snapshot is also written after 8 MiB of entries.
	SnapshotCount int

	// Apply is called for each committed entry in order. After a restart, it is
	// called again for the entries after the last snapshot.
	Apply func(term, index uint64, data []byte)
	// Snapshot returns the application's state. If it returns nil, no snapshot
	// is written.
	Snapshot func() []byte
	// Restore replaces the application's state by a state that Snapshot returned
	// on this or another voter.
	Restore func([]byte) error
	// LeadershipChanged, if set, is called when this voter becomes the leader of a
	// term and when that leadership ends.
	LeadershipChanged func(term uint64, leads bool)
	// HandleRequest, if set, handles requests on the leader. It may call respond
	// once, at any time and from any goroutine.
	HandleRequest func(from string, payload []byte, respond func(out []byte))

	Log zerolog.Logger
	// Listener, if set, is used instead of listening on Listen.
	Listener net.Listener
	// Dial, if set, is used instead of dialling TCP from the host of Listen.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (o *Options) validate() error {
	switch {
	case o.Name == "" || len(o.Name) > wire.MaxNameBytes || o.Cluster == "":
		return errors.New("consensus: a voter needs a name of 1 to 255 bytes and a cluster name")
	case o.Voters[o.Name] == "":
		return fmt.Errorf("consensus: %q is not among the voters: add its address (%s)", o.Name, operatorsPage)
	case len(o.Voters) > MaxVoters:
		return fmt.Errorf("consensus: %d voters, at most %d are allowed", len(o.Voters), MaxVoters)
	}
	names := map[uint64]string{}
	for name := range o.Voters {
		id := wire.NodeID(name)
		if other, taken := names[id]; taken {
			return fmt.Errorf("consensus: the names %q and %q have the same ID: rename one", name, other)
		}
		names[id] = name
	}
	return nil
}

func (o *Options) setDefaults() {
	if o.Tick == 0 {
		o.Tick = defaultTick
	}
	if o.SnapshotCount == 0 {
		o.SnapshotCount = defaultSnapshotCount
	}
	if o.Dial == nil {
		o.Dial = newDialer(o.Listen)
	}
}

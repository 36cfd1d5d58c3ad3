// Package coordinator implements the leader's part in migrating services between
// clusters. It derives the next version of the config from the config in force and the
// messages of other clusters, and the messages to send from the config in force. It does
// no I/O, reads no clock and starts no goroutine; its owner provides them.
//
// The cluster's [migration.State] is stored in the config table itself, together with the
// resulting amounts of each service. The state is therefore agreed on, stored, withdrawn
// and put in force with the table, and an instance uses an amount only under its lease.
// docs/design/clusters.md describes the cost.
package coordinator

import (
	"math"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/migration"
	"example.org/bellstream/internal/cluster/migration/wire"
)

// Options configure a Coordinator.
type Options struct {
	Self               string   // this cluster's name in the config
	Peers              []string // clusters that services may move to or from
	Pacer              migration.Pacer
	MaxConcurrentMoves int     // open moves from this cluster to each other one; 0: 4
	SettledSeconds     float64 // time for which a settled move stays open, so that it can still be reversed
	ResendSeconds      float64 // time between sends of the same messages; 0: 1
	RetrySeconds       float64 // time from a rejection to the next offer of the full amount; 0: 30
}

const (
	defaultConcurrentMoves = 4
	defaultResendSeconds   = 1
	defaultRetrySeconds    = 30

	// MaxTrackedMoves is the maximum number of moves whose last message is kept.
	MaxTrackedMoves = 4096

	reviewSeconds  = 1.0 // between reviews if only time passes
	backoffSeconds = 3.0 // pause of proposals after a conflict with another proposal
)

// Reasons for which a message was dropped. The values are metric labels.
const (
	droppedUnknownPeer  = "of no peer"
	droppedLate         = "late"
	droppedTooManyMoves = "too many moves"
	droppedStaleMove    = "of another move"
)

// Coordinator migrates services while its instance leads the cluster. Its methods must be
// called by one goroutine at a time.
type Coordinator struct {
	options  Options
	leader   bool
	inForce  inForce
	progress progress

	outboxChanged bool              // the outbox has messages that were not sent yet
	lastSent      float64           // time, in seconds
	proposeAfter  float64           // time, in seconds
	reviewDue     bool              // a table or a message arrived that may change the next version
	lastReview    float64           // time, in seconds
	dropped       map[string]uint64 // messages, by reason
}

// inForce is the config table in force and its decoded migration state, as of the last Adopt.
type inForce struct {
	table       *config.Table
	state       *migration.State
	ledger      *migration.CapacityLedger
	ledgerError error
}

// usable reports whether the table in force has a valid migration state.
func (f *inForce) usable() bool { return f.state != nil && f.ledgerError == nil }

// progress holds a leader's observations of moves that are not part of the agreed state.
type progress struct {
	lastMessages map[migration.ID]migration.Message // the last one from the other side
	firstStepAt  map[migration.ID]float64           // time at which this leader first saw a part of the move here
	settledAt    map[migration.ID]float64           // time at which this leader first saw it settled
	rejectedAt   map[migration.ID]float64           // time at which this leader first saw it rejected
}

func newProgress() progress {
	return progress{
		lastMessages: map[migration.ID]migration.Message{},
		firstStepAt:  map[migration.ID]float64{},
		settledAt:    map[migration.ID]float64{},
		rejectedAt:   map[migration.ID]float64{},
	}
}

// forgetEnded deletes the observations of moves that a state has closed or replaced.
func (p *progress) forgetEnded(state *migration.State) {
	for id := range p.lastMessages {
		m := state.Move(id.Key)
		if m != nil && (m.ID.Seq > id.Seq || m.ID == id && m.Closed) {
			delete(p.lastMessages, id)
		}
	}
	for _, times := range []map[migration.ID]float64{p.firstStepAt, p.settledAt, p.rejectedAt} {
		for id := range times {
			if m := state.Move(id.Key); m == nil || m.ID != id {
				delete(times, id)
			}
		}
	}
}

// firstTime returns the time stored for a move. If there is none yet it stores now.
func firstTime(times map[migration.ID]float64, id migration.ID, now float64) float64 {
	since, ok := times[id]
	if !ok {
		since = now
		times[id] = now
	}
	return since
}

// New returns a Coordinator whose instance does not lead.
func New(options Options) *Coordinator {
	if options.ResendSeconds == 0 {
		options.ResendSeconds = defaultResendSeconds
	}
	if options.RetrySeconds == 0 {
		options.RetrySeconds = defaultRetrySeconds
	}
	if options.MaxConcurrentMoves == 0 {
		options.MaxConcurrentMoves = defaultConcurrentMoves
	}
	// With a floor below the smallest shift no move could make its first shift.
	options.Pacer.SlowStartFloor = max(options.Pacer.SlowStartFloor, 1.0/(maxPieces-1))
	c := &Coordinator{
		options: options,
		dropped: map[string]uint64{},
	}
	c.SetLeader(false)
	return c
}

// SetLeader sets whether this instance leads, and clears the leader's observations. Only
// timing depends on these.
func (c *Coordinator) SetLeader(leader bool) {
	c.leader = leader
	c.outboxChanged = true
	c.progress = newProgress()
}

// active reports whether this instance leads and has a valid state.
func (c *Coordinator) active() bool { return c.leader && c.inForce.usable() }

// Backoff suspends proposals for backoffSeconds from now, as another proposal conflicted with one.
func (c *Coordinator) Backoff(now float64) { c.proposeAfter = now + backoffSeconds }

// State decodes the migration state of a table. A table without one gives an empty state.
// Errors are of type *InvalidLedgerError.
func State(self string, table *config.Table) (*migration.State, error) {
	if len(table.CapacityLedger) == 0 {
		return migration.New(self), nil
	}
	state, err := wire.UnmarshalState(table.CapacityLedger)
	if err != nil {
		return nil, &InvalidLedgerError{Self: self, Cause: err}
	}
	if state.Cluster != self {
		return nil, &InvalidLedgerError{Self: self, Owner: state.Cluster}
	}
	return state, nil
}

// amountOf converts slot-starts per second of the config to an Amount, rounded to the nearest and
// at most MaxAmount.
func amountOf(slotStarts float64) migration.Amount {
	return migration.Amount(min(math.Round(slotStarts*float64(migration.SlotStart)), float64(migration.MaxAmount)))
}

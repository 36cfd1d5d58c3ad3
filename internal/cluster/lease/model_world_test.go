package lease

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"example.org/bellstream/internal/cluster/config"
)

// longAgo precedes every lease.
const longAgo = -100

// bounds keep a search small.
type bounds struct {
	lease         int // ticks of the slow clock
	ticks         int
	requests      int
	versions      int
	withdrawals   int
	elections     int
	restarts      int
	releases      int
	duplicates    int
	fileLosses    int
	shorterLeases int
}

// modelSettings make a tick 1 s on the first holder's clock. The second holder's clock and those of the leaders run
// twice as fast.
func modelSettings(b bounds, rules protocolRules) Settings {
	s := Settings{
		LeaseSeconds:         float64(b.lease),
		RenewIntervalSeconds: 0.25,
		NetworkDelaySeconds:  0.01,
		ClockDrift:           1,
	}
	if !rules.driftAllowance {
		s.ClockDrift = 0
	}
	return s
}

type node struct {
	grantor *Grantor
	state   *State
}

// instance is a holder with its event loop, which acts on what was in effect when it ran last.
type instance struct {
	holder          *Holder
	tables          uint8   // one, or two of which the intersection is in effect
	expiresAt       float64 // the end of the lease by which it acts
	highestRevision Revision
}

// messageKind is the type of a message. Its values are part of the messages' order.
type messageKind byte

const (
	requestMessage messageKind = 'q'
	grantMessage   messageKind = 'g'
	entryMessage   messageKind = 'e'
	releaseMessage messageKind = 'b'
)

// deliveryEvents describe the arrival of messages in a trace.
var deliveryEvents = map[messageKind]string{
	requestMessage: "the request of h%d arrives",
	grantMessage:   "the grant to h%d arrives",
	entryMessage:   "an entry is committed (%d)",
	releaseMessage: "the release of h%d arrives",
}

type message struct {
	kind    messageKind
	holder  int
	request Request
	grant   Grant
	entry   Entry
	release Release
	key     string
}

// sortKey encodes what distinguishes a message from others.
func (m message) sortKey() string {
	b := appendInts(nil, int(m.kind), m.holder)
	switch m.kind {
	case requestMessage:
		b = appendInts(b, int(m.request.Incarnation), int(m.request.Nonce), revisionNumber(m.request.AppliedRevision))
	case grantMessage:
		b = appendInts(b, int(m.grant.Incarnation), int(m.grant.Nonce), revisionNumber(m.grant.Revision))
		b = appendInts(b, int(2*m.grant.LeaseSeconds))
		if m.grant.View != nil {
			b = appendView(b, m.grant.View)
		}
	case entryMessage:
		b = appendInts(b, int(m.entry.Version), int(m.entry.TargetStage), int(m.entry.Term))
	}
	return string(b)
}

// world is a state of the model. Worlds share what they point to; a world copies it before a change.
type world struct {
	now       int
	term      uint64
	leader    int
	filesLost bool // the voters lost their files
	nodes     [2]*node
	holders   [2]*instance
	messages  []message // in the order of their keys
	remaining bounds
	event     string // format of the event that led here, for its subject
	subject   int
	previous  *world
}

// trace describes how a world came about.
func (w *world) trace() string {
	if w == nil {
		return ""
	}
	event := fmt.Sprintf(w.event, w.subject)
	s := fmt.Sprintf("\n\tat %d, term %d of n%d: %-45s", w.now, w.term, w.leader, event)
	for i, x := range w.holders {
		s += fmt.Sprintf(" | h%d acts on %03b, known %v", i, w.effectiveTables(i), x.holder.knownRevision)
	}
	return w.previous.trace() + s
}

// node copies a node for a change.
func (w *world) node(i int) *node {
	state := *w.nodes[i].state
	grantor := *w.nodes[i].grantor
	grantor.state = &state
	grantor.leases = maps.Clone(grantor.leases)
	w.nodes[i] = &node{grantor: &grantor, state: &state}
	return w.nodes[i]
}

// holder copies a holder for a change.
func (w *world) holder(i int) *instance {
	x := *w.holders[i]
	h := *x.holder
	x.holder = &h
	w.holders[i] = &x
	return &x
}

// clock is the clock of a holder.
func (w *world) clock(holder int) float64 { return float64(w.now * (1 + holder)) }

// leaderClock is the clock of the leaders, that of the second holder.
func (w *world) leaderClock() float64 { return w.clock(1) }

// effectiveTables returns what an instance acts on now, if it runs.
func (w *world) effectiveTables(i int) uint8 {
	x := w.holders[i]
	if w.clock(i) < x.expiresAt {
		return x.tables
	}
	return 0
}

// violation describes the invariant that a world violates, if it does.
func (w *world) violation() string {
	if w.filesLost {
		return "" // the voters can't know then what holders act on
	}
	a := w.effectiveTables(0)
	b := w.effectiveTables(1)
	// What two instances may do together, one table has to allow: config.Compatible.
	if a != 0 && b != 0 && a&b != a && a&b != b {
		return "two act on rules that exclude each other"
	}
	return ""
}

// modelTables are conflicting configurations, one by bit.
var modelTables = func() (tables [4][]byte) {
	for i := range tables {
		reservation := float64(i)
		raw, err := config.Encode(&config.Table{Tenants: []config.Tenant{{Name: "t", Reservation: &reservation}}})
		if err != nil {
			panic(err)
		}
		tables[i] = raw
	}
	return tables
}()

func tableBit(table []byte) uint8 {
	return 1 << slices.IndexFunc(modelTables[:], func(t []byte) bool { return string(t) == string(table) })
}

// initialState is the state in which a world begins: version 1 is in force.
func initialState(longestLeaseSeconds float64) State {
	var s State
	for _, e := range []Entry{
		{Kind: EntryIdentify, Cluster: "c"},
		{Kind: EntryExtendLease, LeaseSeconds: longestLeaseSeconds},
		{Kind: EntryPropose, Proposer: "n", Table: modelTables[0], Keys: []string{"t"}},
	} {
		if changed, err := s.Apply(1, e); !changed || err != nil {
			panic(errors.Join(err, errors.New("the first state")))
		}
	}
	return s
}

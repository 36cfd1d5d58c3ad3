package lease

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"example.org/bellstream/internal/cluster/config"
)

// longAgo is a time before every lease.
const longAgo = -100

// bounds limit a search: each event may occur as often as its bound says.
type bounds struct {
	lease         int // duration of a lease in ticks
	ticks         int // latest time in ticks
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

// modelSettings returns settings for which a tick is 1 s on the first holder's clock. The second holder's clock and
// those of the leaders run twice as fast, so the drift is 1, unless the rule of the allowance for drift is off.
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

// node is a voter, with its replica of the state.
type node struct {
	grantor *Grantor
	state   *State
}

// instance is a holder with its event loop. Until the loop runs again, the instance acts on the configuration that was
// in effect when the loop last ran.
type instance struct {
	holder          *Holder
	tables          uint8    // set of tableBits: one table, or two of which the intersection is in effect
	expiresAt       float64  // end of the lease under which the instance acts
	highestRevision Revision // the highest revision that the instance has acted on
}

// messageKind is the type of a message. Messages are ordered by it first.
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

// message is a message in transit. It has the field of its kind; holder is the sender or the receiver.
type message struct {
	kind    messageKind
	holder  int
	request Request
	grant   Grant
	entry   Entry
	release Release
	key     string
}

// sortKey encodes the fields that distinguish a message from others.
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

// world is a state of the model. Worlds share the values that they point to; a world copies such a value before
// changing it.
type world struct {
	now       int
	term      uint64
	leader    int
	filesLost bool // the voters have lost their files
	nodes     [2]*node
	holders   [2]*instance
	messages  []message // ordered by key
	remaining bounds    // how often events may still occur
	event     string    // format of the event that led to this world, with the verb %d for its subject
	subject   int
	previous  *world
}

// trace describes the events that led from the first world to w, one per line.
func (w *world) trace() string {
	if w == nil {
		return ""
	}
	event := fmt.Sprintf(w.event, w.subject)
	s := fmt.Sprintf("\n\tat tick %d, term %d, leader n%d: %-45s", w.now, w.term, w.leader, event)
	for i, x := range w.holders {
		s += fmt.Sprintf(" | h%d acts on tables %03b, knows %v", i, w.effectiveTables(i), x.holder.knownRevision)
	}
	return w.previous.trace() + s
}

// node replaces a node by a copy, which may be changed, and returns the copy.
func (w *world) node(i int) *node {
	state := *w.nodes[i].state
	grantor := *w.nodes[i].grantor
	grantor.state = &state
	grantor.leases = maps.Clone(grantor.leases)
	w.nodes[i] = &node{grantor: &grantor, state: &state}
	return w.nodes[i]
}

// holder replaces an instance by a copy, which may be changed, and returns the copy.
func (w *world) holder(i int) *instance {
	x := *w.holders[i]
	h := *x.holder
	x.holder = &h
	w.holders[i] = &x
	return &x
}

// clock returns the time in seconds on a holder's clock.
func (w *world) clock(holder int) float64 { return float64(w.now * (1 + holder)) }

// leaderClock returns the time in seconds on the leaders' clocks, which run like that of the second holder.
func (w *world) leaderClock() float64 { return w.clock(1) }

// effectiveTables returns the set of tables that an instance acts on if it is running now, or 0 if its lease has
// expired.
func (w *world) effectiveTables(i int) uint8 {
	x := w.holders[i]
	if w.clock(i) < x.expiresAt {
		return x.tables
	}
	return 0
}

// violation describes the invariant that the world violates; it is empty if there is none.
func (w *world) violation() string {
	if w.filesLost {
		return "" // the voters can no longer know what holders act on
	}
	a := w.effectiveTables(0)
	b := w.effectiveTables(1)
	// The set of tables of one instance has to contain that of the other. Then a single table allows what both
	// instances do: see config.Compatible.
	if a != 0 && b != 0 && a&b != a && a&b != b {
		return "two instances act on conflicting tables"
	}
	return ""
}

// modelTables are encoded tables, each of which conflicts with all others.
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

// tableBit returns the bit that represents one of modelTables in a set of tables.
func tableBit(table []byte) uint8 {
	return 1 << slices.IndexFunc(modelTables[:], func(t []byte) bool { return string(t) == string(table) })
}

// initialState returns the state of the nodes in the first world: version 1 is in force.
func initialState(longestLeaseSeconds float64) State {
	var s State
	for _, e := range []Entry{
		{Kind: EntryIdentify, Cluster: "c"},
		{Kind: EntryExtendLease, LeaseSeconds: longestLeaseSeconds},
		{Kind: EntryPropose, Proposer: "n", Table: modelTables[0], Keys: []string{"t"}},
	} {
		if changed, err := s.Apply(1, e); !changed || err != nil {
			panic(errors.Join(err, errors.New("can't build the initial state")))
		}
	}
	return s
}

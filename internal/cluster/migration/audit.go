package migration

import (
	"fmt"
	"maps"
	"slices"
)

// Violation reports an invariant that did not hold.
type Violation struct {
	At      float64 // seconds, on the journals' clock; 0 if returned by CheckInvariants
	Service string  // empty: the violation is of a ledger, not of one service
	Cluster string  // empty: all clusters together
	Problem string
	By      Amount // size of the deviation; 0 if it can't be given as an amount
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s%s %s (%.6g slot-starts a second)",
		v.At, v.Service, v.Cluster, v.Problem, v.By.SlotStarts())
}

// Entry is a record and the time at which its cluster agreed on it.
type Entry struct {
	AtSeconds float64
	Record
}

// Journal holds the records that one cluster agreed on, in the order of agreement.
type Journal struct {
	Cluster string
	Entries []Entry
}

// MaxViolations is the number of violations at which Audit stops. The result may exceed it by the
// violations of the last record.
const MaxViolations = 1000

// Audit replays the journals of all clusters on one clock and checks the invariants after
// each record. It returns the violations in the order of time. The expected amount of a
// service is the sum of its StepReserve records.
func Audit(journals ...Journal) (violations []Violation) {
	a := newAuditor(journals)
	for len(violations) < MaxViolations {
		i := a.earliest()
		if i < 0 {
			break
		}
		violations = append(violations, a.replayNext(i)...)
	}
	return violations
}

// auditor replays journals and keeps the state of each cluster.
type auditor struct {
	journals []Journal
	states   []*State
	position []int
	expected map[string]Amount // by service
}

func newAuditor(journals []Journal) *auditor {
	a := &auditor{
		journals: journals,
		states:   make([]*State, len(journals)),
		position: make([]int, len(journals)),
		expected: map[string]Amount{},
	}
	for i, j := range journals {
		a.states[i] = New(j.Cluster)
	}
	return a
}

// earliest returns the index of the journal whose next entry is the earliest, or -1 if all
// entries are replayed.
func (a *auditor) earliest() int {
	best := -1
	for i, j := range a.journals {
		if a.position[i] == len(j.Entries) {
			continue
		}
		if best < 0 || a.nextEntry(i).AtSeconds < a.nextEntry(best).AtSeconds {
			best = i
		}
	}
	return best
}

func (a *auditor) nextEntry(i int) Entry { return a.journals[i].Entries[a.position[i]] }

// replayNext applies the next entry of journal i and checks the resulting states.
func (a *auditor) replayNext(i int) (violations []Violation) {
	entry := a.nextEntry(i)
	a.position[i]++
	before := a.states[i]
	after, err := before.Apply(entry.Record)
	a.states[i] = after
	if err != nil {
		violations = append(violations, Violation{
			Cluster: before.Cluster,
			Problem: "applied a record that is not allowed: " + err.Error(),
		})
	} else if entry.Step == StepReserve {
		a.expected[entry.Service] += entry.Amount
	}
	if v := overCommitted(before, after); v != nil {
		violations = append(violations, *v)
	}
	violations = append(violations, CheckInvariants(a.expected, a.states...)...)
	for k := range violations {
		violations[k].At = entry.AtSeconds
	}
	return violations
}

// overCommitted returns a violation if a ledger promises more than before and more than
// its capacity. A ledger whose capacity fell below its promises is no violation, as it
// scales them.
func overCommitted(before, after *State) *Violation {
	ledger := after.Ledger()
	excess := -ledger.Free()
	if excess <= 0 || ledger.Promised() <= before.Ledger().Promised() {
		return nil
	}
	return &Violation{
		Cluster: after.Cluster,
		Problem: "promises more than its capacity",
		By:      excess,
	}
}

// CheckInvariants returns the invariants that are violated by the states of all clusters
// at one moment. For each service exactly the expected amount must be usable or in
// transit, and no more than that may be usable. Each side of a move must hold the escrow
// that the other side relies on.
func CheckInvariants(expected map[string]Amount, states ...*State) (violations []Violation) {
	c := newInvariantCheck(states)
	for _, s := range states {
		c.checkState(s)
	}
	for _, service := range slices.Sorted(maps.Keys(expected)) {
		c.checkTotal(service, expected[service])
	}
	return c.violations
}

// invariantCheck sums up the amounts of all clusters by service, and collects violations.
type invariantCheck struct {
	byName     map[string]*State
	usable     map[string]Amount
	inTransit  map[string]Amount
	violations []Violation
}

func newInvariantCheck(states []*State) *invariantCheck {
	c := &invariantCheck{
		byName:    map[string]*State{},
		usable:    map[string]Amount{},
		inTransit: map[string]Amount{},
	}
	for _, s := range states {
		c.byName[s.Cluster] = s
	}
	return c
}

func (c *invariantCheck) report(v Violation) { c.violations = append(c.violations, v) }

func (c *invariantCheck) checkState(s *State) {
	for _, r := range s.Reserved {
		c.usable[r.Service] += r.Amount
		if r.Amount < 0 {
			c.report(Violation{Service: r.Service, Cluster: s.Cluster, Problem: "is below 0", By: -r.Amount})
		}
	}
	for i := range s.Moves {
		c.checkMove(s.Cluster, &s.Moves[i])
	}
}

// checkMove compares one side of a move with the other, if the other cluster's state is given.
func (c *invariantCheck) checkMove(cluster string, m *Move) {
	other := m.ID.To
	if !m.Source {
		other = m.ID.From
	}
	if c.byName[other] == nil {
		return
	}
	peer := c.byName[other].Move(m.ID.Key)
	if peer != nil && peer.ID.Seq != m.ID.Seq {
		peer = nil
	}
	if m.InTransit > 0 && (peer == nil || peer.Number < m.Number) {
		c.inTransit[m.ID.Service] += m.InTransit
	}
	if problem := missingEscrow(m, peer); problem != "" {
		c.report(Violation{Service: m.ID.Service, Cluster: cluster, Problem: problem, By: m.Amount - m.Local})
	}
}

// checkTotal compares a service's amounts in all clusters together with the expected amount.
func (c *invariantCheck) checkTotal(service string, expected Amount) {
	usable := c.usable[service]
	total := usable + c.inTransit[service]
	if usable > expected {
		c.report(Violation{Service: service, Problem: "more is usable than is reserved", By: usable - expected})
	}
	if total > expected {
		c.report(Violation{Service: service, Problem: "a step is counted twice", By: total - expected})
	}
	if total < expected {
		c.report(Violation{Service: service, Problem: "a step is lost", By: expected - total})
	}
}

// missingEscrow returns why a side that continues a move can't rely on the other side's
// escrow, or "" if it can. The other side may have ended the move by an operator's
// command, or with complete knowledge, which means that it had the token and nothing
// unacknowledged.
func missingEscrow(m, peer *Move) string {
	switch {
	case m.End != Open || m.Source && !m.DestinationReady:
		return ""
	case peer == nil && m.Source:
		return "shifts to a cluster that holds no capacity for the move"
	case peer == nil:
		return "holds capacity for a move that its source does not know"
	case peer.Amount != m.Amount:
		return "and the other side move different amounts"
	case peer.End == Open || peer.End == ForceReleased:
		return ""
	case peer.End == Completed && peer.HasToken && peer.Unacknowledged == "":
		return ""
	}
	return "continues a move that the other side ended without complete knowledge"
}

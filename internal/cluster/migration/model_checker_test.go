package migration

import (
	"fmt"
	"math/bits"
	"slices"
)

// The model runs the code of two clusters. Every message that was ever sent may arrive at
// any time, any number of times, or never. This covers loss, delay, repetition, reordering
// and a broken link. All instances of a cluster may restart at any time, which returns the
// cluster to its state in force.

// enabledRules states which of the protocol's rules are enabled.
type enabledRules struct {
	capacityCheck      bool // a destination checks its ledger before it escrows
	waitForHold        bool // nothing is shifted before the hold is received
	debitBeforeSend    bool // a shift is debited before it is sent
	sendInForce        bool // the source sends only what is in force
	acknowledgeInForce bool // the destination sends only what is in force
	creditOnce         bool // a number is credited once
	resend             bool // a number is sent until it is acknowledged
	moveIDs            bool // a message applies only to the move that it names
	escrowKept         bool // an escrow is not released until a message allows it
	inTransitKept      bool // an amount in transit is not taken back until a message allows it
	token              bool // only the holder of the token debits
	waitForClose       bool // a key's next move waits until both sides have ended the last
	endedMovesKept     bool // the record of an ended move is kept
	claimsReserved     bool // an amount that one open move may debit can't be offered by another
}

var allRules = enabledRules{true, true, true, true, true, true, true, true, true, true, true, true, true, true}

// searchBounds limits a search: the number of shifts and the events that may happen.
type searchBounds struct {
	steps, moves, directionChanges, releases, restarts int
	otherReservations                                  int  // reservations of another service at the destination
	capacityDrops                                      int  // reductions of a cluster's capacity, by 2 units each
	secondKey                                          Key  // of a second move; empty: only one move
	sumsOnly                                           bool // check only for amounts counted twice or lost
	stopRequests                                       bool // direction requests include Stop
}

// systemState is the state of two clusters, as indexes of interned states, and the set of
// messages sent so far.
type systemState struct {
	live, inForce [2]int32 // of each cluster: live includes records that are not yet in force
	sent          messageSet
	budget        [6]int8 // remaining moves, direction changes, releases, restarts, other reservations and capacity drops
}

// messageSet is a set of messages, by index.
type messageSet [3]uint64

func (w *messageSet) add(n int) { w[n/64] |= 1 << (n % 64) }

type modelChecker struct {
	rules        enabledRules
	states       []*State
	stateIndex   map[string]int32
	messages     []Message
	messageIndex map[Message]int
	outboxes     map[int32][]int
	received     map[[2]int32]int32
	addressed    [2]messageSet // by receiving side
	unchanged    []messageSet  // messages that don't change a state, by state
	checked      map[[2]int32]string
	successors   map[clusterPosition][]successor
	expected     map[string]Amount
	bounds       searchBounds
	keys         []Key
}

// clusterPosition is a cluster's state and which parts of the budget remain.
type clusterPosition struct {
	state, side int32
	left        [6]bool
}

// successor is a possible next state and the index of the budget that it uses; negative: none.
type successor struct {
	state  int32
	budget int
}

var clusterNames = [2]string{"a", "b"}

var testKey = Key{"a", "b", "s"}

func newModelChecker(rules enabledRules, b searchBounds) *modelChecker {
	g := &modelChecker{rules: rules, stateIndex: map[string]int32{}, messageIndex: map[Message]int{}, outboxes: map[int32][]int{}, received: map[[2]int32]int32{},
		checked: map[[2]int32]string{}, successors: map[clusterPosition][]successor{}, expected: map[string]Amount{"s": Amount(b.steps)}, bounds: b, keys: []Key{testKey}}
	if b.secondKey != (Key{}) {
		g.keys = append(g.keys, b.secondKey)
		g.expected[b.secondKey.Service] = Amount(b.steps)
	}
	return g
}

func (g *modelChecker) intern(s *State) int32 {
	k := fmt.Sprint(*s)
	n, ok := g.stateIndex[k]
	if !ok {
		n = int32(len(g.states))
		g.stateIndex[k], g.states, g.unchanged = n, append(g.states, s), append(g.unchanged, messageSet{})
	}
	return n
}

func (g *modelChecker) send(w *systemState, list ...Message) {
	for _, m := range list {
		n, ok := g.messageIndex[m]
		if !ok {
			n = len(g.messages)
			g.messageIndex[m], g.messages = n, append(g.messages, m)
			g.addressed[map[bool]int{true: 1, false: 0}[m.ID.To == clusterNames[1] == m.Source]].add(n)
		}
		w.sent.add(n)
	}
}

// sendOutbox adds a state's messages to the sent ones, including its answers to any message.
func (g *modelChecker) sendOutbox(w *systemState, state int32) {
	list, ok := g.outboxes[state]
	if !ok {
		for _, m := range g.states[state].Moves { // includes answers, as if every move had received a message
			g.send(&systemState{}, m.nextMessage())
			list = append(list, g.messageIndex[m.nextMessage()])
		}
		g.outboxes[state] = list
	}
	for _, n := range list {
		w.sent.add(n)
	}
}

// alterForDisabledRules returns a message as a cluster without the disabled rules would interpret it.
func (g *modelChecker) alterForDisabledRules(s *State, w Message) Message {
	if m := s.Move(w.ID.Key); m != nil {
		if !g.rules.moveIDs && w.ID.Seq < m.ID.Seq {
			w.ID.Seq = m.ID.Seq
		}
		if !g.rules.creditOnce && w.Type == MessageShift && w.Number <= m.Number {
			w.Number = m.Number + 1
		}
	}
	return w
}

// receive returns the state after a message, or the same state if nothing changes.
func (g *modelChecker) receive(state int32, message int) int32 {
	at := [2]int32{state, int32(message)}
	if n, ok := g.received[at]; ok {
		return n
	}
	s, w := g.states[state], g.messages[message]
	w = g.alterForDisabledRules(s, w)
	from := *s
	if !g.rules.capacityCheck && w.Type == MessageOffer {
		from.Capacity = MaxAmount
	}
	n := state
	if next, err := from.Apply(Record{Step: StepReceive, Message: w}); err == nil && next != &from {
		back := *next
		back.Capacity = s.Capacity
		n = g.intern(&back)
	}
	g.received[at] = n
	return n
}

// steps returns the successors of a cluster's state by records that don't need a received message.
func (g *modelChecker) steps(w *systemState, side int) []successor {
	at := clusterPosition{state: w.live[side], side: int32(side)}
	for i, n := range w.budget {
		at.left[i] = n > 0
	}
	list, ok := g.successors[at]
	if ok {
		return list
	}
	s := g.states[at.state]
	try := func(s *State, budget int, r Record) {
		if n, err := s.Apply(r); err == nil && n != s {
			list = append(list, successor{g.intern(n), budget})
		}
	}
	// altered returns the state with a modified move.
	altered := func(k Key, do func(m *Move)) *State {
		c := *s
		i, _ := c.findMove(k)
		m := c.Moves[i]
		do(&m)
		c.replaceMove(i, m)
		return &c
	}
	if side == 1 && at.left[4] {
		try(s, 4, Record{Step: StepReserve, Service: "other", Amount: 1})
	}
	if at.left[5] {
		try(s, 5, Record{Step: StepSetCapacity, Amount: s.Capacity - 2})
	}
	for _, k := range g.keys {
		m := s.Move(k)
		if k.From == s.Cluster && at.left[0] {
			from := s
			if !g.rules.waitForClose && m != nil && (m.End != Open || m.Unacknowledged != "") {
				from = altered(k, func(m *Move) { m.End, m.Closed = Completed, true })
			}
			other := slices.IndexFunc(s.Moves, func(m Move) bool { return m.ID.Key != k && m.ID.Service == k.Service })
			if !g.rules.claimsReserved && other >= 0 {
				from = altered(s.Moves[other].ID.Key, func(m *Move) { m.Local = 0 })
			}
			if n, err := from.Apply(Record{Step: StepBeginMove, Move: k, Amount: min(Amount(g.bounds.steps), from.Unclaimed(k.Service))}); err == nil {
				if !g.rules.claimsReserved && other >= 0 {
					i, _ := n.findMove(s.Moves[other].ID.Key)
					n.replaceMove(i, s.Moves[other])
				}
				if !g.rules.waitForHold {
					n, _ = n.Apply(Record{Step: StepReceive, Message: Message{Type: MessageHold, ID: n.Move(k).ID}})
				}
				list = append(list, successor{g.intern(n), 0})
			}
		}
		if m == nil {
			continue
		}
		record := func(step Step) Record { return Record{Step: step, Move: k, Seq: m.ID.Seq, Amount: 1} }
		try(s, -1, record(StepShift))
		if !g.rules.resend && m.InTransit > 0 {
			try(altered(k, func(m *Move) { m.Unacknowledged, m.InTransit = "", 0 }), -1, record(StepShift))
		}
		if !g.rules.token && !m.HasToken && m.Local > 0 && m.End == Open {
			try(altered(k, func(m *Move) {
				m.HasToken, m.Request.Direction = true, map[bool]Direction{true: Forward, false: Backward}[m.Source]
			}), -1, record(StepShift))
		}
		if m.Stage() == StageSettled {
			try(s, -1, record(StepFinish))
		}
		for _, to := range []Direction{Backward, Forward, Stop} {
			if r := record(StepSetDirection); at.left[1] && (to != Stop || g.bounds.stopRequests) {
				r.Direction = to
				try(s, 1, r)
			}
		}
		if at.left[2] {
			try(s, 2, record(StepForceRelease))
		}
		if !g.rules.endedMovesKept && !m.Source && m.End != Open {
			c := *s
			c.Moves = slices.DeleteFunc(slices.Clone(s.Moves), func(x Move) bool { return x.ID == m.ID })
			list = append(list, successor{g.intern(&c), -1})
		}
		if !g.rules.escrowKept && !m.Source && m.End == Open {
			try(s, -1, Record{Step: StepReceive, Message: Message{Type: MessageDone, ID: m.ID, Source: true, Number: m.Number}})
		}
		if !g.rules.inTransitKept && m.Source && m.InTransit > 0 {
			try(s, -1, Record{Step: StepReceive, Message: Message{Type: MessageDone, ID: m.ID, Number: m.Number - 1}})
		}
	}
	for _, r := range s.DueRecords() {
		try(s, -1, r)
	}
	g.successors[at] = list
	return list
}

// next returns the possible next system states, and a violation if a step makes a ledger exceed its capacity.
func (g *modelChecker) next(w systemState) (list []systemState, violation string) {
	for side := range 2 {
		do := func(to successor) {
			if v := overCommitted(g.states[w.live[side]], g.states[to.state]); v != nil && !g.bounds.sumsOnly {
				violation = v.String()
			}
			n := w
			if to.budget >= 0 {
				n.budget[to.budget]--
			}
			n.live[side] = to.state
			if side == 0 && !g.rules.sendInForce || side == 1 && !g.rules.acknowledgeInForce {
				g.sendOutbox(&n, n.live[side])
			}
			list = append(list, n)
		}
		for _, to := range g.steps(&w, side) {
			do(to)
		}
		if s := g.states[w.live[side]]; !g.rules.debitBeforeSend && side == 0 {
			if m := s.Move(testKey); m != nil && m.Shiftable() > 0 {
				n := w
				g.send(&n, Message{Type: MessageShift, ID: m.ID, Source: true, Number: m.Number + 1, Amount: 1, Request: m.Request})
				list = append(list, n)
			}
		}
		for i := range w.sent {
			for set := w.sent[i] & g.addressed[side][i] &^ g.unchanged[w.live[side]][i]; set != 0; set &= set - 1 {
				message := 64*i + bits.TrailingZeros64(set)
				if n := g.receive(w.live[side], message); n != w.live[side] {
					do(successor{n, -1})
				} else {
					g.unchanged[n].add(message)
				}
			}
		}
		if w.live[side] != w.inForce[side] {
			n := w
			n.inForce[side] = n.live[side]
			g.sendOutbox(&n, n.inForce[side])
			list = append(list, n)
			if w.budget[3] > 0 { // all instances restart, which returns the cluster to its state in force
				n := w
				n.budget[3]--
				n.live[side] = n.inForce[side]
				list = append(list, n)
			}
		}
	}
	return list, violation
}

// checkPair returns the violations between the states of both clusters, or "" if there are none.
func (g *modelChecker) checkPair(a, b int32) string {
	at := [2]int32{a, b}
	problem, ok := g.checked[at]
	if !ok {
		for _, v := range CheckInvariants(g.expected, g.states[a], g.states[b]) {
			if !g.bounds.sumsOnly || v.Cluster == "" {
				problem += v.String() + "; "
			}
		}
		g.checked[at] = problem
	}
	return problem
}

// checkCompletion continues from two states without faults or new requests except to resume stopped moves. It returns a
// problem unless every move then ends on both sides and all reserved amounts are usable.
func (g *modelChecker) checkCompletion(a, b int32) string {
	s := [2]*State{g.states[a], g.states[b]}
	for range 40 {
		for side := range 2 {
			apply := func(r Record) {
				if n, err := s[side].Apply(r); err == nil {
					s[side] = n
				}
			}
			for _, w := range s[1-side].Outbox() {
				apply(Record{Step: StepReceive, Message: w})
				if a, ok := s[side].Answer(w); ok {
					s[1-side], _ = s[1-side].Apply(Record{Step: StepReceive, Message: a})
				}
			}
			for _, r := range s[side].DueRecords() {
				apply(r)
			}
			for _, m := range s[side].Moves {
				record := Record{Move: m.ID.Key, Seq: m.ID.Seq, Amount: 1, Direction: Forward}
				if m.Request.Direction == Stop && m.Source {
					record.Step = StepSetDirection
					apply(record)
				}
				if record.Step = StepShift; m.Stage() == StageSettled && m.Source {
					record.Step = StepFinish
				}
				apply(record)
			}
		}
	}
	problem := ""
	for _, k := range g.keys {
		x, y := s[0].Move(k), s[1].Move(k)
		if x != nil && x.End == Open || y != nil && y.End == Open || s[0].Usable(k.Service)+s[1].Usable(k.Service) != g.expected[k.Service] ||
			x != nil && x.Source && !x.Closed || y != nil && y.Source && !y.Closed {
			problem = fmt.Sprintf("a move does not end, or an amount is missing: %+v, %+v", *s[0], *s[1])
		}
	}
	return problem
}

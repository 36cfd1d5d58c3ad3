package lease

import (
	"fmt"
	"slices"
	"strings"
)

// send adds a message, unless a message with the same content is already in transit.
func (w *world) send(m message) {
	m.key = m.sortKey()
	at, found := slices.BinarySearchFunc(w.messages, m, func(a, b message) int {
		return strings.Compare(a.key, b.key)
	})
	if !found {
		w.messages = slices.Insert(slices.Clone(w.messages), at, m)
	}
}

// commit applies an entry to the leader's state and reports whether that changed the state. If a stage is switched
// off, the state skips it.
func (w *world) commit(e Entry, rules protocolRules) bool {
	if e.Kind == EntryAdvance && !rules.termCheck {
		e.Term = w.term
	}
	state := w.node(w.leader).state
	changed, _ := state.Apply(w.term, e)
	if !changed {
		return false
	}
	view := *state.View()
	switch {
	case !rules.announced && view.Revision.Stage == StageAnnounced:
		view.Revision.Stage = StageIntersection
		state.setView(&view)
	case !rules.intersection && view.Revision.Stage == StageIntersection:
		view.Revision.Stage = StageInForce
		view.InForce = view.Next
		view.Next = Version{}
		state.setView(&view)
	}
	return true
}

// catchUp gives a node the committed state, which is that of the leader.
func (w *world) catchUp(i int) *node {
	committed := *w.nodes[w.leader].state
	n := w.node(i)
	*n.state = committed
	return n
}

// elect makes a node the leader of the next term.
func (w *world) elect(i int, rules protocolRules) {
	n := w.catchUp(i)
	w.leader = i
	w.term++
	n.grantor.SetTerm(w.leaderClock(), w.term)
	n.grantor.caughtUp = true // by requests of the leader's own instance, which the model omits
	if !rules.inheritedLeases {
		n.grantor.termStart = longAgo
	}
	if !rules.longestLease {
		n.state.longestLeaseSeconds = n.grantor.settings.grantorLeaseSeconds()
	}
}

// nextEntry returns the entry that a node may propose. The node may be a deposed leader that has not noticed.
func (w *world) nextEntry(i int, rules protocolRules) (Entry, bool) {
	g := w.node(i).grantor
	if !rules.waitForLeases {
		g.leases = nil
		g.termStart = longAgo
	}
	return g.NextEntry(w.leaderClock())
}

// deliver handles the arrival of a message at node to, or at the message's holder. It returns false if the message has
// no effect, in which case no later delivery is needed either.
func (w *world) deliver(m message, to int, rules protocolRules) bool {
	switch m.kind {
	case requestMessage:
		return w.deliverRequest(m, to, rules)
	case grantMessage:
		return w.deliverGrant(m, rules)
	case entryMessage:
		return w.commit(m.entry, rules)
	}
	w.node(w.leader).grantor.Release(m.release)
	return true
}

func (w *world) deliverRequest(m message, to int, rules protocolRules) bool {
	g := w.node(to).grantor
	if to != w.leader && rules.confirmedGrants {
		return false
	}
	if g.ReceiveRequest(w.leaderClock(), m.request) != nil {
		return false
	}
	grant, err := g.Grant(w.leaderClock(), g.term, m.request)
	if err != nil {
		return false
	}
	w.send(message{kind: grantMessage, holder: m.holder, grant: grant})
	return true
}

func (w *world) deliverGrant(m message, rules protocolRules) bool {
	h := w.holder(m.holder).holder
	grant := m.grant
	if !rules.incarnationCheck {
		grant.Incarnation = h.incarnation
	}
	if !rules.nonceCheck {
		grant.Nonce = h.request.nonce
	}
	if !rules.monotonic {
		h.knownRevision = Revision{}
	}
	if h.HandleGrant(w.clock(m.holder), grant) != nil {
		return false
	}
	if !rules.leaseFromSending {
		h.expiresAt = w.clock(m.holder) + h.settings.LeaseSeconds
	}
	return true
}

// isStale reports whether m is a request of a former process, or not the latest request of the holder.
func (w *world) isStale(m message) bool {
	h := w.holders[m.holder].holder
	return m.kind == requestMessage && (m.request.Incarnation != h.incarnation || m.request.Nonce != h.request.nonce)
}

// prune drops messages that can't have an effect any more, which it finds out for
// entries and releases by delivering them to a copy. Stale requests are kept as
// long as the bound on duplicates allows to deliver them.
func (w *world) prune(rules protocolRules) {
	w.messages = slices.DeleteFunc(slices.Clone(w.messages), func(m message) bool {
		h := w.holders[m.holder].holder
		switch m.kind {
		case requestMessage:
			return w.isStale(m) && w.remaining.duplicates == 0
		case grantMessage:
			answersPending := m.grant.Incarnation == h.incarnation && m.grant.Nonce == h.request.nonce && h.request.pending
			return rules.nonceCheck && rules.incarnationCheck && !answersPending
		}
		next := *w
		return !next.deliver(m, w.leader, rules)
	})
}

// successors collects the worlds that can follow from one.
type successors struct {
	from  *world
	rules protocolRules
	list  []*world
}

// successors returns the worlds that can follow from w by one event. If an event itself violates an invariant, it
// returns that violation and no worlds.
func (w *world) successors(rules protocolRules) (list []*world, violation string) {
	s := &successors{from: w, rules: rules}
	s.addClockTick()
	s.addProposals()
	s.addLeaderEvents()
	s.addClusterFaults()
	for i := range w.holders {
		if violation := s.addHolderEvents(i); violation != "" {
			return nil, violation
		}
	}
	s.addDeliveries()
	return s.list, ""
}

// fork returns a copy of the world, to which an event can be applied.
func (s *successors) fork() *world {
	next := *s.from
	next.previous = s.from
	return &next
}

// add adds the world that results from an event. The event is a format with the verb %d for its subject.
func (s *successors) add(event string, subject int, apply func(next *world)) {
	next := s.fork()
	next.event = event
	next.subject = subject
	apply(next)
	s.list = append(s.list, next)
}

func (s *successors) addClockTick() {
	if s.from.now < s.from.remaining.ticks {
		s.add("at tick %d the clock advances", s.from.now, func(next *world) { next.now++ })
	}
}

func (s *successors) addProposals() {
	remaining := s.from.remaining
	view := s.from.nodes[s.from.leader].state.View()
	if remaining.versions > 0 && view.Next.Number == 0 {
		s.add("table %d is proposed", remaining.versions, func(next *world) {
			next.remaining.versions--
			next.propose(remaining.versions, false, s.rules)
		})
	}
	if remaining.withdrawals > 0 && view.Next.Number != 0 {
		s.add("version %d is withdrawn", int(view.Next.Number), func(next *world) {
			next.remaining.withdrawals--
			next.propose(int(tableBit(view.InForce.Table)>>1), true, s.rules)
		})
	}
}

func (w *world) propose(table int, withdraws bool, rules protocolRules) {
	base := w.nodes[w.leader].state.View().NewestNumber()
	w.commit(Entry{
		Kind:      EntryPropose,
		Base:      base,
		Proposer:  "n",
		Table:     modelTables[table],
		Exclusive: true,
		Withdraws: withdraws,
	}, rules)
}

func (s *successors) addLeaderEvents() {
	w := s.from
	view := w.nodes[w.leader].state.View()
	for i, n := range w.nodes {
		if w.remaining.elections > 0 {
			s.add("n%d is elected", i, func(next *world) {
				next.remaining.elections--
				next.elect(i, s.rules)
			})
		}
		// A node that has never been the leader proposes and grants nothing, so its state has no effect.
		if i != w.leader && n.grantor.term > 0 && n.state.digest != view.Digest() {
			s.add("n%d applies the committed entries", i, func(next *world) { next.catchUp(i) })
		}
		if n.grantor.term == 0 || n.state.View().Next.Number == 0 {
			continue
		}
		if e, ok := s.fork().nextEntry(i, s.rules); ok {
			s.add("n%d proposes to advance", i, func(next *world) {
				next.send(message{kind: entryMessage, entry: e})
			})
		}
	}
}

func (s *successors) addClusterFaults() {
	leader := s.from.leader
	if s.from.remaining.shorterLeases > 0 {
		s.add("n%d and all others are configured with shorter leases", leader, func(next *world) {
			next.remaining.shorterLeases--
			for i := range next.nodes {
				next.node(i).grantor.settings.LeaseSeconds /= 2
			}
		})
	}
	if s.from.remaining.fileLosses > 0 {
		s.add("n%d and most voters lose their files", leader, func(next *world) {
			next.remaining.fileLosses--
			next.filesLost = true
			*next.node(leader).state = initialState(s.from.nodes[leader].state.longestLeaseSeconds)
			next.elect(leader, s.rules)
		})
	}
}

func (s *successors) addHolderEvents(i int) (violation string) {
	x := s.from.holders[i]
	remaining := s.from.remaining
	if !x.holder.released && remaining.requests > 0 {
		s.add("h%d sends a request", i, func(next *world) { next.sendRequest(i, s.rules) })
	}
	if remaining.restarts > 0 {
		s.add("h%d restarts", i, func(next *world) { next.restart(i, s.rules) })
	}
	if !x.holder.released && remaining.releases > 0 {
		s.add("h%d shuts down", i, func(next *world) { next.shutDown(i) })
	}
	effective := x.holder.EffectiveConfig(s.from.clock(i))
	if !effective.Leased || x.expiresAt == effective.ExpiresAt && x.holder.appliedRevision == effective.Revision {
		return ""
	}
	if effective.Revision.Compare(x.highestRevision) < 0 {
		return fmt.Sprintf("h%d goes back from %v to %v%s", i, x.highestRevision, effective.Revision, s.from.trace())
	}
	s.add("the event loop of h%d runs", i, func(next *world) { next.runLoop(i, effective) })
	return ""
}

func (w *world) sendRequest(i int, rules protocolRules) {
	w.remaining.requests--
	h := w.holder(i).holder
	h.request.nextAt = 0
	request, _, _ := h.NextRequest(w.clock(i))
	if !rules.acknowledgement {
		request.AppliedRevision = h.knownRevision
	}
	w.send(message{kind: requestMessage, holder: i, request: request})
}

func (w *world) restart(i int, rules protocolRules) {
	w.remaining.restarts--
	x := w.holder(i)
	old := x.holder
	x.holder = NewHolder(old.instance, old.incarnation+1, old.settings)
	x.expiresAt = 0
	if rules.monotonic {
		x.holder.Restore(old.DurableState())
	}
}

func (w *world) shutDown(i int) {
	w.remaining.releases--
	x := w.holder(i)
	x.expiresAt = 0
	w.send(message{kind: releaseMessage, holder: i, release: x.holder.Release()})
}

// runLoop runs an instance's event loop: the instance acts on the effective configuration and acknowledges it.
func (w *world) runLoop(i int, effective EffectiveConfig) {
	x := w.holder(i)
	view := x.holder.content.view
	x.tables = tableBit(view.InForce.Table)
	if effective.Intersection {
		x.tables |= tableBit(view.Next.Table)
	}
	x.expiresAt = effective.ExpiresAt
	x.highestRevision = effective.Revision
	x.holder.Acknowledge(w.clock(i), effective.Revision)
}

func (s *successors) addDeliveries() {
	w := s.from
	for i, m := range w.messages {
		for to := range w.nodes {
			if to == w.leader || m.kind == requestMessage && !s.rules.confirmedGrants {
				s.addDelivery(i, m, to)
			}
		}
	}
}

// addDelivery adds the world in which message i arrives and, if the bound on duplicates allows it, the world in which
// the message arrives while a duplicate stays in transit.
func (s *successors) addDelivery(i int, m message, to int) {
	w := s.from
	arrives := func(next *world) bool {
		next.messages = slices.Delete(slices.Clone(next.messages), i, i+1)
		return next.deliver(m, to, s.rules)
	}
	if next := s.fork(); arrives(next) {
		if w.isStale(m) {
			next.remaining.duplicates--
		}
		next.event = deliveryEvents[m.kind]
		next.subject = m.holder
		s.list = append(s.list, next)
	}
	if w.remaining.duplicates <= 0 || w.isStale(m) {
		return
	}
	if next := s.fork(); arrives(next) {
		next.remaining.duplicates--
		next.send(m)
		next.event = "with a duplicate still in transit: " + deliveryEvents[m.kind]
		next.subject = m.holder
		s.list = append(s.list, next)
	}
}

package quota

import (
	"cmp"
	"math"
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// membership is who takes part in the exchange.
type membership struct {
	peers             map[string]*peer
	sorted            []*peer // by name
	next              int     // index of the peer that was written to last
	changed           bool    // since owners were assigned
	viewDigest        uint64
	departed          map[string]uint64 // incarnations that announced that they leave: membership may still see them
	unseen            int               // instances that are expected and were never seen
	expectedReached   bool              // as many as are expected were seen once
	earlierBuildUntil float64           // until when an earlier build may be near that membership has not shown
	unknownContactAt  float64           // when a message came of one that membership had not shown
}

func newMembership() membership {
	return membership{
		peers:             map[string]*peer{},
		changed:           true,
		departed:          map[string]uint64{},
		earlierBuildUntil: math.Inf(-1),
		unknownContactAt:  math.Inf(-1),
	}
}

// sort brings the list of peers up to date.
func (m *membership) sort() {
	m.sorted = m.sorted[:0]
	for _, p := range m.peers {
		m.sorted = append(m.sorted, p)
	}
	slices.SortFunc(m.sorted, func(x, y *peer) int { return cmp.Compare(x.name, y.name) })
	m.changed = true
}

// nextPeer goes to the next peer, in turn.
func (m *membership) nextPeer() *peer {
	m.next = (m.next + 1) % len(m.sorted)
	return m.sorted[m.next]
}

// UpdateMemberNames is UpdateMembers with instances of this build and region.
func (a *Allocator) UpdateMemberNames(now float64, names []string) {
	list := make([]Member, 0, len(names))
	for _, name := range names {
		list = append(list, Member{Name: name, Region: a.Region, Build: OwnershipBuild})
	}
	a.UpdateMembers(now, list)
}

// UpdateMembers sets which instances membership sees now. One that it doesn't see
// any more still counts, until it is forgotten or has announced that it leaves.
func (a *Allocator) UpdateMembers(now float64, list []Member) {
	seen := make(map[string]Member, len(list))
	for _, m := range list {
		seen[m.Name] = m
		a.addMember(now, m)
	}
	for name := range a.members.departed {
		if _, ok := seen[name]; !ok {
			delete(a.members.departed, name)
		}
	}
	for _, p := range a.members.sorted {
		m, ok := seen[p.name]
		a.updatePresence(now, p, m, ok)
	}
}

// addMember adds an instance unless it is known, or has left.
func (a *Allocator) addMember(now float64, m Member) {
	if _, left := a.members.departed[m.Name]; left {
		return
	}
	known := m.Name == a.self.name || a.members.peers[m.Name] != nil
	if known || len(a.members.peers) >= usage.MaxInstances {
		return
	}
	a.members.peers[m.Name] = newPeer(m, now)
	a.members.sort()
}

// updatePresence sets whether membership sees a peer, and what it announces.
func (a *Allocator) updatePresence(now float64, p *peer, m Member, seen bool) {
	if seen {
		p.presence.lastPresent = now
		if m != p.announced { // another incarnation, or the first announcement
			a.updateAnnouncement(p, m)
		}
	}
	if p.presence.present && !seen {
		a.relayIncarnation(p)
	}
	p.presence.present = seen
}

func (a *Allocator) updateAnnouncement(p *peer, m Member) {
	if m.Region != p.region { // owners are assigned otherwise: some instances may gain by it
		a.joined = false
	}
	p.announced = m
	a.members.changed = true
	p.region = m.Region
	p.build = m.Build
}

// MemberLeft records that an instance announced that it leaves. What it owned is divided
// among the others once everything that it may have lent has expired: a borrower may
// not know yet that it left.
func (a *Allocator) MemberLeft(now float64, name string) {
	p := a.members.peers[name]
	if p == nil || p.hasLeft() {
		return
	}
	p.presence.leftAt = now
	a.members.departed[name] = p.received.incarnation
	clear(p.loans.demands)
	clear(p.loans.requested)
	a.markLoansChanged(p)
}

// forgetPeers removes instances that left, or that were silent for too long.
func (a *Allocator) forgetPeers(now float64) {
	wait := a.LeaseDuration * (1 + clockDriftRatio)
	if a.disabled.lending.leaverLoans {
		wait = 0
	}
	for _, p := range slices.Clone(a.members.sorted) {
		lastSeen := max(p.presence.lastPresent, p.presence.lastReceived)
		silent := a.ForgetAfter > 0 && !p.presence.present && now-lastSeen >= a.ForgetAfter
		left := p.hasLeft() && now-p.presence.leftAt >= wait
		if silent || left {
			a.removePeer(p)
		}
	}
}

func (a *Allocator) removePeer(p *peer) {
	a.relayIncarnation(p)
	for tenant, millionths := range p.loans.lent {
		l := &a.tenants.byID[tenant].ledger
		l.lent -= min(millionths, l.lent)
	}
	delete(a.members.peers, p.name)
	a.members.sort()
}

// lastUnknownContact is when this instance started, or a message of an unknown instance came.
func (a *Allocator) lastUnknownContact() float64 {
	return max(a.rounds.startedAt, a.members.unknownContactAt)
}

// ClusterSize is among how many instances a reservation is divided with flat ownership.
func (a *Allocator) ClusterSize(now float64) int {
	n := len(a.members.peers) + 1
	expecting := a.ForgetAfter <= 0 || now-a.lastUnknownContact() < a.ForgetAfter
	if n < a.ExpectedInstances && expecting {
		return a.ExpectedInstances
	}
	return n
}

// tryJoin joins once all members agree.
func (a *Allocator) tryJoin(now float64) {
	if a.joined || a.leaving || !a.mayJoin(now) {
		return
	}
	if a.members.unseen > 0 && !a.flat {
		return // it may own what this instance would
	}
	// An instance that is expected and was never seen may hold loans of an earlier
	// incarnation of this one: these have expired by then.
	if a.members.unseen > 0 && now-a.lastUnknownContact() < a.LeaseDuration*(1+clockDriftRatio) {
		return
	}
	a.joined = true
	a.assignOwners(now)
}

// mayJoin reports whether all agree that this instance owns its parts: each that counts has
// received a message of this incarnation, counts the same instances, has got back what it
// lent of larger parts, and has confirmed that recently. A silent one may count others, which
// would own the same parts.
func (a *Allocator) mayJoin(now float64) bool {
	rules := &a.disabled.joining
	for _, p := range a.members.sorted {
		if a.hasConfirmedView(now, p) {
			continue
		}
		longSilent := p.isSilent(now, a.LeaseDuration) && now-a.rounds.startedAt >= 2*a.LeaseDuration
		if rules.silentPeers && longSilent {
			continue
		}
		return false
	}
	// Others lend of parts that this instance gave up, until what it lent of them is back.
	return a.loansWithinOwned() || rules.loansCovered
}

// hasConfirmedView reports whether a peer has recently confirmed that it counts the same instances.
func (a *Allocator) hasConfirmedView(now float64, p *peer) bool {
	rules := &a.disabled.joining
	age := now - p.sent.viewAckedSentAt
	if rules.acknowledgement {
		age = now - p.presence.lastReceived
	}
	recent := age < a.LeaseDuration || rules.recentAck && !math.IsInf(age, 1)
	sameView := p.received.viewDigest == a.members.viewDigest || rules.matchingViews
	covered := p.received.loansCovered || rules.loansCovered
	return recent && !p.hasLeft() && sameView && covered
}

// loansWithinOwned reports whether no more is lent of any tenant than is owned.
func (a *Allocator) loansWithinOwned() bool {
	for i := range a.tenants.list {
		if l := &a.tenants.list[i].ledger; l.lent > l.owned {
			return false
		}
	}
	return true
}

// pastLoansExpired reports whether nothing is in use any more that an earlier incarnation of
// this instance lent: all have received messages of this one, or the lease has passed.
func (a *Allocator) pastLoansExpired(now float64) bool {
	if now-a.rounds.startedAt >= a.LeaseDuration*(1+clockDriftRatio) {
		return true
	}
	return !slices.ContainsFunc(a.members.sorted, func(p *peer) bool { return !p.received.acknowledges })
}

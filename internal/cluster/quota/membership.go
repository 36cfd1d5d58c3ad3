package quota

import (
	"cmp"
	"math"
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// membership holds the instances that take part in the exchange.
type membership struct {
	peers             map[string]*peer
	sorted            []*peer // by name
	next              int     // index of the peer that nextPeer returned last
	changed           bool    // owners have to be assigned again
	viewDigest        uint64
	departed          map[string]uint64 // incarnations that left, by name; membership may still see them
	unseen            int               // expected instances that were never seen
	expectedReached   bool              // the expected number of instances has been seen
	earlierBuildUntil float64           // until when an unknown instance of an earlier build may be active
	unknownContactAt  float64           // when a message of an unknown instance was last received
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

// sort rebuilds the sorted list of peers after a peer was added or removed.
func (m *membership) sort() {
	m.sorted = m.sorted[:0]
	for _, p := range m.peers {
		m.sorted = append(m.sorted, p)
	}
	slices.SortFunc(m.sorted, func(x, y *peer) int { return cmp.Compare(x.name, y.name) })
	m.changed = true
}

// nextPeer returns the peers in turn.
func (m *membership) nextPeer() *peer {
	m.next = (m.next + 1) % len(m.sorted)
	return m.sorted[m.next]
}

// UpdateMemberNames calls UpdateMembers with instances of this build and region.
func (a *Allocator) UpdateMemberNames(now float64, names []string) {
	list := make([]Member, 0, len(names))
	for _, name := range names {
		list = append(list, Member{Name: name, Region: a.Region, Build: OwnershipBuild})
	}
	a.UpdateMembers(now, list)
}

// UpdateMembers sets the instances that membership sees now. An instance that membership no longer
// sees still counts as a member until it is removed: ForgetAfter seconds after it was last seen or
// heard from, or one lease after it announced that it leaves.
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

// addMember adds an instance unless it is already known or has left, or there are already
// usage.MaxInstances peers.
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

// updatePresence records whether membership sees a peer, and what it announces about the peer.
func (a *Allocator) updatePresence(now float64, p *peer, m Member, seen bool) {
	if seen {
		p.presence.lastPresent = now
		if m != p.announced { // region or build differs, or was not known before
			a.updateAnnouncement(p, m)
		}
	}
	if p.presence.present && !seen {
		a.relayIncarnation(p)
	}
	p.presence.present = seen
}

func (a *Allocator) updateAnnouncement(p *peer, m Member) {
	if m.Region != p.region { // the ranks of owners change, and some instances may own more than before
		a.joined = false
	}
	p.announced = m
	a.members.changed = true
	p.region = m.Region
	p.build = m.Build
}

// MemberLeft records that an instance announced that it leaves. What it owned is divided among the
// other instances once all loans that it may have made have expired, because a borrower may not
// know yet that it left.
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

// forgetPeers removes instances that left or that were silent for ForgetAfter seconds.
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

// lastUnknownContact returns when a message of an unknown instance was last received, but at least the
// time when this instance started.
func (a *Allocator) lastUnknownContact() float64 {
	return max(a.rounds.startedAt, a.members.unknownContactAt)
}

// ClusterSize returns the number of instances among which a reservation is divided with flat
// ownership.
func (a *Allocator) ClusterSize(now float64) int {
	n := len(a.members.peers) + 1
	expecting := a.ForgetAfter <= 0 || now-a.lastUnknownContact() < a.ForgetAfter
	if n < a.ExpectedInstances && expecting {
		return a.ExpectedInstances
	}
	return n
}

// tryJoin lets this instance own its parts once all members agree.
func (a *Allocator) tryJoin(now float64) {
	if a.joined || a.leaving || !a.mayJoin(now) {
		return
	}
	if a.members.unseen > 0 && !a.flat {
		return // the unseen instance may own the same parts
	}
	// An expected instance that was never seen may hold loans from an earlier incarnation of this
	// instance. Wait until these have expired.
	if a.members.unseen > 0 && now-a.lastUnknownContact() < a.LeaseDuration*(1+clockDriftRatio) {
		return
	}
	a.joined = true
	a.assignOwners(now)
}

// mayJoin reports whether all members agree that this instance owns its parts: each member has
// received a message of this incarnation, counts the same instances, has been returned what it lent
// of larger parts, and has confirmed this recently. A silent member prevents joining, because it
// may count other instances, which would own the same parts.
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
	// Other instances may already own parts that this instance gave up, so its loans of these parts
	// have to be returned first.
	return a.loansWithinOwned() || rules.loansCovered
}

// hasConfirmedView reports whether a peer has confirmed within a lease that it counts the same
// instances and lends no more than it owns.
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

// loansWithinOwned reports whether this instance lends no more of any tenant than it owns.
func (a *Allocator) loansWithinOwned() bool {
	for i := range a.tenants.list {
		if l := &a.tenants.list[i].ledger; l.lent > l.owned {
			return false
		}
	}
	return true
}

// pastLoansExpired reports whether no loan of an earlier incarnation of this instance is in use any
// more: all peers have received messages of the current one, or a lease has passed since the start.
func (a *Allocator) pastLoansExpired(now float64) bool {
	if now-a.rounds.startedAt >= a.LeaseDuration*(1+clockDriftRatio) {
		return true
	}
	return !slices.ContainsFunc(a.members.sorted, func(p *peer) bool { return !p.received.acknowledges })
}

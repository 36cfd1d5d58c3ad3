package quota

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/usage"
)

// The search runs the package's own code: three instances and two tenants with one owner each, or
// two. Time goes in ticks; a message arrives at the next tick. Every run of a scenario with at most so
// many faults is executed: a message, or the notice that an instance is there, is lost, delayed, or
// duplicated and the second time delayed; and, where the search has it, an instance is restarted with
// no memory, at any tick.

// fault of a message.
type fault int

const (
	faultLost       fault = iota
	faultDelayed          // by 5 ticks
	faultDuplicated       // at once, and once more after 10 ticks
	faultKinds
)

// scenario is what happens but for the faults.
type scenario struct {
	name      string
	settings  Settings
	start     [3]int            // tick of each instance's start
	flatFrom  [3]int            // tick from which new incarnations are flat; 0: never
	demands   map[[2]int][2]int // of instance and tenant: from tick, until tick
	leaveAt   [3]int
	crashAt   [3]int
	restartAt [3]int // starts again with no memory
	suspended [3][2]int
	cut       [2]int // two that never receive messages of each other
	cutAt     int
	unseen    [2]int // the first never sees the second
	from      int    // faults strike what is sent from this tick on
	until     int
	end       int
}

type delivery struct {
	at      int
	to      int
	message *Message
	// or the notice that an instance is there
	member Member
}

type instance struct {
	allocator  *Allocator
	up         bool
	members    map[string]Member
	allotments []uint32
	arrivals   []uint64
}

type run struct {
	scenario
	disabled    safetyRules
	faults      map[int]fault
	restart     [2]int // instance and tick; -1: none
	now         int
	sends       int // things sent that a fault may strike
	incarnation uint64
	instances   [3]instance
	queue       []delivery
	log         []string
	tracing     bool
}

var modelNames = [3]string{"a", "b", "c"}

// modelTenants are two, the first of which belongs at c, a, b in this order, and
// the second at b, c, a.
func modelTenants() (list []Tenant) {
	rank := func(id uint64) (order string) {
		names := slices.Clone(modelNames[:])
		slices.SortFunc(names, func(x, y string) int {
			if rendezvousScore(id, nameHash(x)) > rendezvousScore(id, nameHash(y)) {
				return -1
			}
			return 1
		})
		return strings.Join(names, "")
	}
	want := []string{"cab", "bca"}
	for i := uint64(1); len(want) > 0; i++ {
		if id := usage.TenantID(fmt.Sprint("t", i), 10, 1); rank(id) == want[0] {
			list, want = append(list, Tenant{Name: fmt.Sprint("t", i), ID: id, Quota: 10}), want[1:]
		}
	}
	if list[0].ID > list[1].ID { // the allocator sorts by id
		list[0], list[1] = list[1], list[0]
	}
	return list
}

var (
	tenants   = modelTenants()
	tenantAtC = func() uint64 {
		for _, t := range tenants {
			if rendezvousScore(t.ID, nameHash("c")) > rendezvousScore(t.ID, nameHash("a")) && rendezvousScore(t.ID, nameHash("a")) > rendezvousScore(t.ID, nameHash("b")) {
				return t.ID
			}
		}
		return 0
	}()
)

func (p *run) tracef(format string, args ...any) {
	if p.tracing {
		p.log = append(p.log, fmt.Sprintf("%3d: ", p.now)+fmt.Sprintf(format, args...))
	}
}

func (p *run) boot(i int) {
	p.incarnation++
	set := p.settings
	if p.flatFrom[i] > 0 && p.now >= p.flatFrom[i] {
		set.Owners = 0
	}
	x := &p.instances[i]
	*x = instance{allocator: New(set, modelNames[i], p.incarnation, tenants, float64(p.now)), up: true, members: map[string]Member{}, arrivals: make([]uint64, 2)}
	x.allocator.disabled = p.disabled
	me := Member{Name: modelNames[i]}
	if set.Owners > 0 {
		me.Build = OwnershipBuild
	}
	p.tracef("%s starts, incarnation %d", modelNames[i], p.incarnation)
	for k := range p.instances {
		if k == i {
			continue
		}
		if o := &p.instances[k]; o.up {
			p.send(delivery{to: k, member: me}, i)
			its := Member{Name: modelNames[k]}
			if o.allocator.Owners > 0 {
				its.Build = OwnershipBuild
			}
			p.send(delivery{to: i, member: its}, k)
		}
	}
}

func (p *run) send(h delivery, from int) {
	if h.message == nil && p.unseen[0] != p.unseen[1] && p.unseen[0] == h.to && p.unseen[1] == from {
		return
	}
	if h.message != nil && p.cut[0] != p.cut[1] && p.now >= p.cutAt && (p.cut == [2]int{from, h.to} || p.cut == [2]int{h.to, from}) {
		return
	}
	h.at = p.now + 1
	if p.now >= p.from && p.now < p.until {
		f, struck := p.faults[p.sends]
		p.sends++
		if struck {
			p.tracef("  fault %v on the next", []string{"lost", "late", "twice"}[f])
		}
		switch {
		case struck && f == faultLost:
			if h.message == nil { // membership notices finally
				h.at = p.now + 12
				if p.settings.ForgetAfter > 0 { // longer is not covered
					h.at = p.now + int(p.settings.ForgetAfter) - 2
				}
				p.queue = append(p.queue, h)
			}
			p.traceDelivery(h)
			return
		case struck && f == faultDelayed:
			h.at += 5
		case struck && f == faultDuplicated:
			again := h
			again.at += 10
			p.queue = append(p.queue, again)
		}
	}
	p.traceDelivery(h)
	p.queue = append(p.queue, h)
}

func (p *run) traceDelivery(h delivery) {
	if !p.tracing {
		return
	}
	if h.message == nil {
		p.tracef("  %s is to see %s at %d", modelNames[h.to], h.member.Name, h.at)
	} else {
		m := h.message
		p.tracef("  %s to %s at %d: incarnation %d seq %d ack %d/%d view %x covered %v leaving %v demands %v grants %v",
			m.From, m.To, h.at, m.Incarnation, m.Seq, m.AckIncarnation, m.AckSeq,
			m.ViewDigest&0xffff, m.LoansCovered, m.Leaving, m.Demands, m.Grants)
	}
}

// execute runs the scenario and returns what was violated, empty if nothing.
func (p *run) execute() string {
	for p.now = 0; p.now < p.end; p.now++ {
		p.applyEvents()
		p.deliver()
		for i := range p.instances {
			if !p.instances[i].up || p.isSuspended(i) {
				continue
			}
			p.round(i)
			if violation := p.checkAllotments(); violation != "" {
				return violation
			}
		}
	}
	return ""
}

// applyEvents starts, ends and suspends instances.
func (p *run) applyEvents() {
	for i := range p.instances {
		x := &p.instances[i]
		restarts := p.restartAt[i] > 0 && p.now == p.restartAt[i]
		faults := p.restart[0] == i && p.restart[1] == p.now && x.up
		if p.now == p.start[i] || restarts || faults {
			p.boot(i)
		}
		if p.crashAt[i] > 0 && p.now == p.crashAt[i] {
			p.tracef("%s crashes", modelNames[i])
			x.up = false
			x.allotments = nil
			p.hideFromOthers(i)
		}
		if f := p.suspended[i]; f[1] > 0 && p.now == f[0] {
			x.allotments = nil // it computes them first when it resumes
			p.hideFromOthers(i)
		}
	}
}

// hideFromOthers has membership of the other instances not see one any more.
func (p *run) hideFromOthers(i int) {
	for k := range p.instances {
		if k != i && p.instances[k].up {
			delete(p.instances[k].members, modelNames[i])
		}
	}
}

func (p *run) isSuspended(i int) bool {
	f := p.suspended[i]
	return p.now >= f[0] && p.now < f[1]
}

// deliver delivers what is due.
func (p *run) deliver() {
	rest := p.queue[:0:0]
	for _, h := range p.queue {
		x := &p.instances[h.to]
		switch {
		case h.at > p.now || p.isSuspended(h.to):
			rest = append(rest, h)
		case !x.up:
		case h.message == nil:
			x.members[h.member.Name] = h.member
		default:
			if err := x.allocator.Receive(float64(p.now), h.message); err != nil {
				p.tracef("  %s drops %d of %s: %v", modelNames[h.to], h.message.Seq, h.message.From, err)
			}
		}
	}
	p.queue = rest
}

// round runs one instance's round.
func (p *run) round(i int) {
	x := &p.instances[i]
	if p.leaveAt[i] > 0 && p.now == p.leaveAt[i] {
		x.allocator.Leave()
	}
	p.addArrivals(i)
	var list []Member
	for _, m := range x.members {
		list = append(list, m)
	}
	now := float64(p.now)
	x.allocator.UpdateMembers(now, list)
	for _, to := range x.allocator.Round(now, x.arrivals) {
		for _, m := range x.allocator.Messages(now, to, usage.EmptyState()) {
			p.send(delivery{to: slices.Index(modelNames[:], to), message: m}, i)
		}
	}
	x.allotments = x.allocator.Allotments(now, nil)
	owned, lent := ledgers(x.allocator)
	p.tracef("%s joined %v hashed %v owns %v lent %v uses %v sees %d", modelNames[i], x.allocator.joined,
		!x.allocator.flat, owned, lent, x.allotments, len(x.members))
}

// addArrivals adds the jobs of one tick.
func (p *run) addArrivals(i int) {
	for k := range tenants {
		tenant := 1
		if tenants[k].ID == tenantAtC {
			tenant = 0
		}
		if n, ok := p.demands[[2]int{i, tenant}]; ok && p.now >= n[0] && p.now < n[1] {
			x := &p.instances[i]
			x.arrivals[k] += 40
		}
	}
}

// checkAllotments returns a violation if more than a reservation is in use.
func (p *run) checkAllotments() string {
	for k := range tenants {
		all := 0
		for j := range p.instances {
			if o := &p.instances[j]; o.up && !p.isSuspended(j) && len(o.allotments) > 0 {
				all += int(o.allotments[k])
			}
		}
		if all > FullReservation {
			return fmt.Sprintf("tick %d: %d of tenant %d are in use", p.now, all, k)
		}
	}
	return ""
}

// ledgers are what an instance owns of each tenant, and what it lends of that.
func ledgers(a *Allocator) (owned, lent []uint32) {
	for i := range a.tenants.list {
		owned = append(owned, a.tenants.list[i].ledger.owned)
		lent = append(lent, a.tenants.list[i].ledger.lent)
	}
	return owned, lent
}

// trace executes a run once more and returns its log.
func (p *run) trace() string {
	again := &run{scenario: p.scenario, disabled: p.disabled, faults: p.faults, restart: p.restart, tracing: true}
	why := again.execute()
	return fmt.Sprintf("%s, %d owners, faults %v, restart %v: %s\n%s", p.name, p.settings.Owners, p.faults, p.restart, why, strings.Join(again.log, "\n"))
}

func nameHash(s string) uint64 { return xxhash.Sum64String(s) }

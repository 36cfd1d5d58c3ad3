package quota

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/usage"
)

// The search executes the package's own code with three instances and two tenants, of which each has one owner or two.
// A tick is one second, and a message arrives at the next tick. The search covers every run of a scenario with up to a
// given number of faults. A fault hits a message, or membership's notice of an instance: it is lost, delayed, or
// delivered twice, the second time late. If restarts are enabled, one of the faults may be the restart of an instance,
// which loses its state, at any tick in which faults are possible.

// fault is what happens to one message or notice of membership.
type fault int

const (
	faultLost       fault = iota
	faultDelayed          // by 5 more ticks
	faultDuplicated       // delivered in time, and once more 10 ticks later
	faultKinds
)

// scenario is a sequence of events, to which a run adds faults.
type scenario struct {
	name      string
	settings  Settings
	start     [3]int            // tick at which each instance starts
	flatFrom  [3]int            // tick from which an incarnation that starts has flat ownership; 0: never
	demands   map[[2]int][2]int // by instance and tenant: from which tick until which tick jobs arrive
	leaveAt   [3]int            // 0: never
	crashAt   [3]int            // 0: never
	restartAt [3]int            // the instance starts again without its state; 0: never
	suspended [3][2]int         // from tick, until tick
	cut       [2]int            // two instances that don't receive each other's messages from cutAt on
	cutAt     int
	unseen    [2]int // membership never shows the second instance to the first
	from      int    // first tick in which what is sent may be hit by a fault
	until     int    // the tick after the last such tick
	end       int
}

// delivery is a message or a notice of membership that is due at a tick.
type delivery struct {
	at      int
	to      int
	message *Message
	// member is an instance that membership begins to show, if message is nil.
	member Member
}

// instance is an instance in the model of the search.
type instance struct {
	allocator  *Allocator
	up         bool
	members    map[string]Member
	allotments []uint32
	arrivals   []uint64
}

// run is one execution of a scenario, with faults at given places.
type run struct {
	scenario
	disabled    safetyRules
	faults      map[int]fault // by the number of the send that is hit
	restart     [2]int        // instance and tick; -1: none
	now         int
	sends       int // number of messages and notices sent so far that a fault may hit
	incarnation uint64
	instances   [3]instance
	queue       []delivery
	log         []string
	tracing     bool
}

var modelNames = [3]string{"a", "b", "c"}

// modelTenants returns two tenants, sorted by id: one whose owners are chosen in the order c, a, b, and one with the
// order b, c, a.
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
	tenants = modelTenants()
	// tenantAtC is the id of the tenant that c owns first.
	tenantAtC = func() uint64 {
		for _, t := range tenants {
			if rendezvousScore(t.ID, nameHash("c")) > rendezvousScore(t.ID, nameHash("a")) && rendezvousScore(t.ID, nameHash("a")) > rendezvousScore(t.ID, nameHash("b")) {
				return t.ID
			}
		}
		return 0
	}()
)

// tracef adds a line to the log, if the run is traced.
func (p *run) tracef(format string, args ...any) {
	if p.tracing {
		p.log = append(p.log, fmt.Sprintf("%3d: ", p.now)+fmt.Sprintf(format, args...))
	}
}

// boot starts instance i under a new incarnation. Membership then shows it to the other running instances, and these
// to it.
func (p *run) boot(i int) {
	p.incarnation++
	set := p.settings
	if p.flatFrom[i] > 0 && p.now >= p.flatFrom[i] {
		set.Owners = 0
	}
	x := &p.instances[i]
	*x = instance{allocator: New(set, modelNames[i], p.incarnation, tenants, float64(p.now)), up: true, members: map[string]Member{}, arrivals: make([]uint64, 2)}
	x.allocator.disabled = p.disabled
	self := Member{Name: modelNames[i]}
	if set.Owners > 0 {
		self.Build = OwnershipBuild
	}
	p.tracef("%s starts, incarnation %d", modelNames[i], p.incarnation)
	for k := range p.instances {
		if k == i {
			continue
		}
		if o := &p.instances[k]; o.up {
			p.send(delivery{to: k, member: self}, i)
			other := Member{Name: modelNames[k]}
			if o.allocator.Owners > 0 {
				other.Build = OwnershipBuild
			}
			p.send(delivery{to: i, member: other}, k)
		}
	}
}

// send queues a delivery from an instance, with the fault that the run has for it. It drops a delivery between
// instances that the scenario cuts off from each other.
func (p *run) send(h delivery, from int) {
	if h.message == nil && p.unseen[0] != p.unseen[1] && p.unseen[0] == h.to && p.unseen[1] == from {
		return
	}
	if h.message != nil && p.cut[0] != p.cut[1] && p.now >= p.cutAt && (p.cut == [2]int{from, h.to} || p.cut == [2]int{h.to, from}) {
		return
	}
	h.at = p.now + 1
	if p.now >= p.from && p.now < p.until {
		f, hit := p.faults[p.sends]
		p.sends++
		if hit {
			p.tracef("  fault of the next delivery: %v", []string{"lost", "delayed", "duplicated"}[f])
		}
		switch {
		case hit && f == faultLost:
			if h.message == nil { // membership shows the instance later
				h.at = p.now + 12
				if p.settings.ForgetAfter > 0 { // the guarantee doesn't cover a longer delay
					h.at = p.now + int(p.settings.ForgetAfter) - 2
				}
				p.queue = append(p.queue, h)
			}
			p.traceDelivery(h)
			return
		case hit && f == faultDelayed:
			h.at += 5
		case hit && f == faultDuplicated:
			again := h
			again.at += 10
			p.queue = append(p.queue, again)
		}
	}
	p.traceDelivery(h)
	p.queue = append(p.queue, h)
}

// traceDelivery logs a delivery that was sent, if the run is traced.
func (p *run) traceDelivery(h delivery) {
	if !p.tracing {
		return
	}
	if h.message == nil {
		p.tracef("  membership shows %s the instance %s at %d", modelNames[h.to], h.member.Name, h.at)
	} else {
		m := h.message
		p.tracef("  %s to %s at %d: incarnation %d seq %d ack %d/%d view %x covered %v leaving %v demands %v grants %v",
			m.From, m.To, h.at, m.Incarnation, m.Seq, m.AckIncarnation, m.AckSeq,
			m.ViewDigest&0xffff, m.LoansCovered, m.Leaving, m.Demands, m.Grants)
	}
}

// execute runs the scenario and returns a description of the first violation, empty if there is none.
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

// applyEvents starts, restarts, crashes and suspends the instances for which this tick is set.
func (p *run) applyEvents() {
	for i := range p.instances {
		x := &p.instances[i]
		scheduled := p.restartAt[i] > 0 && p.now == p.restartAt[i]
		injected := p.restart[0] == i && p.restart[1] == p.now && x.up
		if p.now == p.start[i] || scheduled || injected {
			p.boot(i)
		}
		if p.crashAt[i] > 0 && p.now == p.crashAt[i] {
			p.tracef("%s crashes", modelNames[i])
			x.up = false
			x.allotments = nil
			p.hideFromOthers(i)
		}
		if f := p.suspended[i]; f[1] > 0 && p.now == f[0] {
			x.allotments = nil // they are computed again when the instance resumes, before it uses them
			p.hideFromOthers(i)
		}
	}
}

// hideFromOthers removes instance i from the membership of the other running instances.
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

// deliver delivers what is due, except to suspended instances, which receive it when they resume.
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
				p.tracef("  %s drops message %d of %s: %v", modelNames[h.to], h.message.Seq, h.message.From, err)
			}
		}
	}
	p.queue = rest
}

// round runs one instance's round and sends its messages.
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

// addArrivals adds the jobs that arrive at instance i in one tick: 40 of each tenant that has demand there.
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

// checkAllotments describes a violation if the allotments add up to more than a reservation, and is empty otherwise.
func (p *run) checkAllotments() string {
	for k := range tenants {
		total := 0
		for j := range p.instances {
			if o := &p.instances[j]; o.up && !p.isSuspended(j) && len(o.allotments) > 0 {
				total += int(o.allotments[k])
			}
		}
		if total > FullReservation {
			return fmt.Sprintf("tick %d: allotments add up to %d of tenant %d", p.now, total, k)
		}
	}
	return ""
}

// ledgers returns what an instance owns of each tenant, and what it lends of that, in millionths.
func ledgers(a *Allocator) (owned, lent []uint32) {
	for i := range a.tenants.list {
		owned = append(owned, a.tenants.list[i].ledger.owned)
		lent = append(lent, a.tenants.list[i].ledger.lent)
	}
	return owned, lent
}

// trace executes a run again with tracing and returns its log.
func (p *run) trace() string {
	again := &run{scenario: p.scenario, disabled: p.disabled, faults: p.faults, restart: p.restart, tracing: true}
	violation := again.execute()
	return fmt.Sprintf("%s, %d owners, faults %v, restart %v: %s\n%s", p.name, p.settings.Owners, p.faults, p.restart, violation, strings.Join(again.log, "\n"))
}

func nameHash(s string) uint64 { return xxhash.Sum64String(s) }

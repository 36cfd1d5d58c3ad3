package experiments

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/lease/agent"
	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/lab/simulation"
)

// initialTable returns a proposal of version 1 with these teams as tenants, with different reservations and
// weights. Once there is a version, it proposes nothing new.
func initialTable(teams []capacity.Team) agent.Proposal {
	return func(history []*config.Table, by string) (*config.Table, error) {
		if newest := history[len(history)-1]; newest.Version > 0 {
			return newest, nil
		}
		t := &config.Table{Version: 1, ProposedBy: by}
		for i, x := range teams {
			r, w := float64(int(1000*x.Quota+1))/1000, float64(1+i%3)
			t.Tenants = append(t.Tenants, config.Tenant{Name: x.Name, Reservation: &r, Weight: &w})
		}
		return t.Sorted(), nil
	}
}

// changeTeam returns a proposal that sets a team's reservation (exclusive) or weight (loose) to a value. It is
// always based on the newest version, which is the best case: an operator's file that is based on an older version is
// refused permanently.
func changeTeam(team int, to float64, exclusive bool) agent.Proposal {
	return func(history []*config.Table, by string) (*config.Table, error) {
		newest := history[len(history)-1]
		if len(newest.Tenants) == 0 {
			return nil, fmt.Errorf("newest version has no tenants")
		}
		x := newest.Tenants[team%len(newest.Tenants)]
		if exclusive && *x.Reservation == to || !exclusive && *x.Weight == to {
			return newest, nil
		}
		t := *newest
		t.Tenants = slices.Clone(newest.Tenants)
		if exclusive {
			x.Reservation = &to
		} else {
			x.Weight = &to
		}
		t.Tenants[team%len(newest.Tenants)] = x
		t.Version, t.BaseVersion, t.ProposedBy = newest.Version+1, newest.Version, by
		return &t, nil
	}
}

// Roles of instances in the agreement protocol.
const (
	roleLeader     = "leader"
	roleVoter      = "voter"      // not the leader
	roleDispatcher = "dispatcher" // not a voter
)

var roles = []string{roleLeader, roleVoter, roleDispatcher}

// versionsRun is one simulated run of the agreement protocol: dispatchers, and five voters on machines of their
// own, one in each of five regions.
type versionsRun struct {
	seed               uint64
	close              bool    // all voters are in the first region
	n                  int     // number of instances, voters included
	teams              int     // number of teams in the rules; 0: as many as the load has
	regionDelay        float64 // one-way delay between regions, in s
	leaseSettings      lease.Settings
	revokePollInterval float64 // seconds between polls for shards to release; 0: no shards
	load               *capacity.Load
	idleSpan           float64 // seconds of idle operation that are measured
	singleChanges      int     // number of changes of each kind that are made one at a time
	concurrentChanges  int     // number of changes that are proposed at the same time
	sim                *simulation.Agreement
	at                 []int // region of each instance
	rng                *rand.Rand
	changeNumber       int // number of the last proposed change; makes each proposal different
	figures            versionsFigures
}

// versionsFigures holds the measurements of a run. Index 0 of an array is for loose changes, 1 for exclusive ones,
// except in zoneLoss.
type versionsFigures struct {
	tableBytes  int                           // size of the encoded rules
	single      [2][]float64                  // seconds until each single change was in force everywhere
	concurrent  [2][]float64                  // the same for concurrent changes, by version
	sent        map[string]map[string]float64 // B/s without changes, by role and kind of frame
	received    map[string]map[string]float64
	cpu         map[string]float64    // ms/s without changes, by role
	changeBytes [2]map[string]float64 // bytes sent and received per change, in addition to idle traffic, by role
	changeCPU   [2]map[string]float64 // processor ms per change, in addition to idle load, by role
	worstSecond float64               // most bytes that a dispatcher sent and received in a second during changes
	heap        float64               // bytes per instance, without histories, which the instances share in the simulation
	// zoneLoss is the traffic, in B/s sent and received, in the minute after the loss of a zone, of the remaining
	// dispatcher that has the most traffic: index 0 without revocation polls, index 1 the polls alone.
	zoneLoss [2]float64
}

// revokePollRate returns the B/s that an instance of a role sends and receives without changes for revocation polls.
func (f *versionsFigures) revokePollRate(role string) float64 {
	return f.sent[role][simulation.FlowRevokePoll] + f.received[role][simulation.FlowRevokePoll]
}

// leaseRate returns the B/s that an instance of a role sends and receives without changes for all other frames.
func (f *versionsFigures) leaseRate(role string) float64 {
	return total(f.sent[role]) + total(f.received[role]) - f.revokePollRate(role)
}

const (
	versionsVoters     = 5
	versionsLocalDelay = 0.0005 // one-way delay within a region, in s
	versionsDiskSync   = 0.005  // duration of a synced write, in s
	versionsJitter     = 0.1    // largest random addition to a delay, as a fraction of it
)

// placeInstances returns the region of each instance: each voter has a region of its own, dispatchers are placed as
// the load places them.
func placeInstances(load *capacity.Load, n int) []int {
	regions, zones := make([]int, n), load.Place(max(1, n-versionsVoters))
	for i := range regions {
		if regions[i] = i; i >= versionsVoters {
			regions[i] = load.Zones[zones[i-versionsVoters]].Region
		}
	}
	return regions
}

// start starts the cluster and waits up to 40 s for its first version. It reports whether that is in force
// everywhere and all instances have a lease.
func (x *versionsRun) start() bool {
	x.at, x.rng = placeInstances(x.load, x.n), rand.New(rand.NewPCG(x.seed, 0x7e55))
	if x.close {
		clear(x.at[:min(versionsVoters, x.n)])
	}
	x.sim = simulation.NewAgreement(simulation.AgreementSettings{Seed: x.seed, Instances: x.n, Voters: versionsVoters, Leases: x.leaseSettings, Jitter: versionsJitter,
		DiskSyncSeconds: versionsDiskSync, SchedulerDelaySeconds: agentLoopDelay.Seconds(), RevokePollSeconds: x.revokePollInterval, CPUSeconds: threadTime, Delay: func(from, to int) float64 {
			if x.at[from] == x.at[to] {
				return versionsLocalDelay
			}
			return x.regionDelay
		}})
	teams := x.load.Teams
	if x.teams > 0 {
		teams = teams[:0:0]
		for len(teams) < x.teams {
			t := x.load.Teams[len(teams)%len(x.load.Teams)]
			t.Name = fmt.Sprintf("team-%04d", len(teams))
			teams = append(teams, t)
		}
	}
	x.sim.Propose(x.sim.Members[0], initialTable(teams))
	x.sim.Run(40, func() bool { return x.sim.InForceEverywhereAt[1] > 0 && x.sim.Leased() })
	if x.sim.InForceEverywhereAt[1] == 0 || !x.sim.Leased() {
		return false
	}
	x.sim.Run(x.sim.Now+5, nil)
	t, _ := initialTable(teams)([]*config.Table{{}}, "x")
	raw, _ := config.Encode(t)
	x.figures.tableBytes = len(raw)
	return true
}

func (x *versionsRun) roleOf(in *simulation.AgreementInstance, i int) string {
	switch {
	case in == x.sim.Leader():
		return roleLeader
	case i < versionsVoters:
		return roleVoter
	}
	return roleDispatcher
}

// newestInForce returns the highest version that has been in force everywhere.
func (x *versionsRun) newestInForce() (v uint64) {
	for n := range x.sim.InForceEverywhereAt {
		v = max(v, n)
	}
	return v
}

// measureChange has a random live instance propose a change and waits until the change is in force everywhere. It
// returns the seconds until then, at most timeout.
func (x *versionsRun) measureChange(exclusive bool, timeout float64) float64 {
	v, from := x.newestInForce()+1, x.sim.Now
	in := x.sim.Members[x.rng.IntN(len(x.sim.Members))]
	for !in.Up {
		in = x.sim.Members[x.rng.IntN(len(x.sim.Members))]
	}
	x.changeNumber++
	x.sim.Propose(in, changeTeam(x.changeNumber, float64(100+x.changeNumber), exclusive))
	for x.sim.InForceEverywhereAt[v] == 0 && x.sim.Now < from+timeout {
		before := x.bytesByInstance()
		x.sim.Run(min(from+timeout, x.sim.Now+1), func() bool { return x.sim.InForceEverywhereAt[v] > 0 })
		for i, n := range x.bytesByInstance() {
			if i >= versionsVoters {
				x.figures.worstSecond = max(x.figures.worstSecond, n-before[i])
			}
		}
	}
	if x.sim.InForceEverywhereAt[v] == 0 {
		return timeout
	}
	return x.sim.InForceEverywhereAt[v] - from
}

// bytesByInstance returns the bytes that each instance has sent and received since the last Reset.
func (x *versionsRun) bytesByInstance() (list []float64) {
	for _, in := range x.sim.Members {
		sum := 0.0
		for _, m := range []map[string]simulation.Flow{in.Sent, in.Received} {
			for _, f := range m {
				sum += f.Bytes
			}
		}
		list = append(list, sum)
	}
	return list
}

// versionsUsage holds bytes sent and received by role and kind of frame, and processor ms by role.
type versionsUsage struct {
	sent, received map[string]map[string]float64
	cpu            map[string]float64
}

// meanUsage returns the mean usage per instance of each role since the last Reset.
func (x *versionsRun) meanUsage() versionsUsage {
	t := versionsUsage{map[string]map[string]float64{}, map[string]map[string]float64{}, map[string]float64{}}
	n := map[string]float64{}
	for i, in := range x.sim.Members {
		n[x.roleOf(in, i)]++
	}
	for _, r := range roles {
		t.sent[r], t.received[r] = map[string]float64{}, map[string]float64{}
	}
	for i, in := range x.sim.Members {
		r := x.roleOf(in, i)
		for k, f := range in.Sent {
			t.sent[r][k] += f.Bytes / n[r]
		}
		for k, f := range in.Received {
			t.received[r][k] += f.Bytes / n[r]
		}
		t.cpu[r] += 1000 * in.CPUSeconds / n[r]
	}
	return t
}

// total adds up the values in the order of their keys, because floating-point sums depend on the order.
func total(m map[string]float64) (sum float64) {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		sum += m[k]
	}
	return sum
}

// measure measures idle operation, single changes, concurrent changes and the loss of a zone. It reports whether the
// cluster started.
func (x *versionsRun) measure() bool {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	heapBefore := heapInUse()
	if !x.start() {
		return false
	}
	f := &x.figures
	x.sim.Reset()
	x.sim.Run(x.sim.Now+x.idleSpan, nil)
	idle := x.meanUsage()
	f.sent, f.received, f.cpu = idle.sent, idle.received, idle.cpu
	for _, r := range roles {
		for _, m := range []map[string]float64{f.sent[r], f.received[r]} {
			for k := range m {
				m[k] /= x.idleSpan
			}
		}
		f.cpu[r] /= x.idleSpan
	}
	for k := range f.changeBytes {
		f.changeBytes[k], f.changeCPU[k] = map[string]float64{}, map[string]float64{}
		for range x.singleChanges {
			x.sim.Run(x.sim.Now+x.leaseSettings.RenewIntervalSeconds*(1+x.rng.Float64()), nil) // a random point of the renewal interval
			x.sim.Reset()
			from := x.sim.Now
			f.single[k] = append(f.single[k], x.measureChange(k == 1, 30))
			x.sim.Run(x.sim.Now+2*x.leaseSettings.RenewIntervalSeconds, nil) // to include late responses
			span, t := x.sim.Now-from, x.meanUsage()
			for _, r := range roles {
				excess := total(t.sent[r]) + total(t.received[r]) - span*(total(f.sent[r])+total(f.received[r]))
				f.changeBytes[k][r] += excess / float64(x.singleChanges)
				f.changeCPU[k][r] += (t.cpu[r] - span*f.cpu[r]) / float64(x.singleChanges)
			}
		}
	}
	for k := range f.concurrent {
		f.concurrent[k] = x.measureConcurrentChanges(k == 1)
		x.sim.Run(x.sim.Now+5, nil)
	}
	heapAfter := heapInUse()
	f.heap = float64(heapAfter-min(heapAfter, heapBefore)) / float64(x.n)
	x.measureZoneLoss()
	return true
}

// measureZoneLoss kills the dispatchers of the first dispatcher's zone and measures the traffic of the others for
// a minute.
func (x *versionsRun) measureZoneLoss() {
	const minute = 60.0
	if x.n <= versionsVoters {
		return
	}
	zones := x.load.Place(x.n - versionsVoters)
	for i, in := range x.sim.Members[versionsVoters:] {
		if zones[i] == zones[0] {
			x.sim.Kill(in, true)
		}
	}
	x.sim.Reset()
	x.sim.Run(x.sim.Now+minute, nil)
	for _, in := range x.sim.Members[versionsVoters:] {
		if !in.Up {
			continue
		}
		sum, polls := 0.0, 0.0
		for _, m := range []map[string]simulation.Flow{in.Sent, in.Received} {
			for kind, f := range m {
				if sum += f.Bytes / minute; kind == simulation.FlowRevokePoll {
					polls += f.Bytes / minute
				}
			}
		}
		if sum > x.figures.zoneLoss[0]+x.figures.zoneLoss[1] {
			x.figures.zoneLoss = [2]float64{sum - polls, polls}
		}
	}
}

// heapPerTable returns the heap that one version takes, in bytes; 0 if the table cannot be encoded.
func heapPerTable(teams []capacity.Team) float64 {
	const copies = 64
	t, err := initialTable(teams)([]*config.Table{{}}, "x")
	if err != nil {
		return 0
	}
	raw, err := config.Encode(t)
	if err != nil {
		return 0
	}
	before, kept := heapInUse(), make([]*config.Table, 0, copies)
	for range copies {
		t, _ := config.Decode(raw)
		kept = append(kept, t)
	}
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after-min(after, before)) / copies
}

// concurrentChangesTimeout bounds the wait for concurrent changes, in seconds.
const concurrentChangesTimeout = 120.0

// measureConcurrentChanges has concurrentChanges instances propose a change each at the same time. It returns the
// seconds until each was in force everywhere, at most concurrentChangesTimeout.
func (x *versionsRun) measureConcurrentChanges(exclusive bool) (took []float64) {
	if x.concurrentChanges == 0 {
		return nil
	}
	x.sim.Run(x.sim.Now+x.leaseSettings.RenewIntervalSeconds*x.rng.Float64(), nil)
	from, first := x.sim.Now, x.newestInForce()+1
	for _, i := range x.rng.Perm(len(x.sim.Members))[:min(x.concurrentChanges, len(x.sim.Members))] {
		x.changeNumber++
		x.sim.Propose(x.sim.Members[i], changeTeam(x.changeNumber, float64(100+x.changeNumber), exclusive))
	}
	last := first + uint64(min(x.concurrentChanges, len(x.sim.Members))) - 1
	x.sim.Run(from+concurrentChangesTimeout, func() bool { return x.sim.InForceEverywhereAt[last] > 0 })
	for v := first; v <= last; v++ {
		if x.sim.InForceEverywhereAt[v] == 0 {
			took = append(took, concurrentChangesTimeout)
			continue
		}
		took = append(took, x.sim.InForceEverywhereAt[v]-from)
	}
	return took
}

// versionsLoss holds the effects of losing instances or links.
type versionsLoss struct {
	took            float64 // seconds until an exclusive change proposed right after the loss was in force everywhere
	next            float64 // the same for the next change
	unleased        float64 // total seconds without a lease, over all live instances
	longestUnleased float64 // longest time that one of them had no lease, in seconds
}

// measureLoss starts a cluster, calls injectLoss while it is idle and measures the effects. ok is false if the cluster
// did not start or an instance has no lease at the end.
func (x *versionsRun) measureLoss(injectLoss func()) (l versionsLoss, ok bool) {
	if !x.start() {
		return l, false
	}
	x.sim.Run(x.sim.Now+x.rng.Float64(), nil)
	x.sim.Reset()
	injectLoss()
	l.took = x.measureChange(true, 60)
	l.next = x.measureChange(true, 60)
	x.sim.Run(x.sim.Now+5, nil)
	l.unleased, l.longestUnleased = x.sim.UnleasedSeconds, x.sim.LongestUnleasedSeconds
	return l, x.sim.Leased()
}

// killRegion kills all instances of a region at once.
func (x *versionsRun) killRegion(r int) {
	for i, in := range x.sim.Members {
		if x.at[i] == r {
			x.sim.Kill(in, true)
		}
	}
}

// leader returns the leader's index, -1 without a leader.
func (x *versionsRun) leader() int { return slices.Index(x.sim.Members, x.sim.Leader()) }

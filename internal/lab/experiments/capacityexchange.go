package experiments

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/cluster/gossip/wire"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/lab/report"
	"example.org/bellstream/internal/lab/simulation"
	"example.org/bellstream/internal/operatorconfig"
)

var exchangePart = CapacityPart{
	Name:    "exchange",
	About:   "Counts and loans in virtual time, by the product's own code and bytes.",
	Without: []string{"homes"},
	Run:     runCapacityExchange,
}

var growthPart = CapacityPart{
	Name:    "growth",
	About:   "The same by 5 to 600 dispatchers, at the target's peak.",
	Without: []string{"homes"},
	Run:     runCapacityGrowth,
}

// Bounds on the exchange of one instance (issue 27): bytes sent per second, as the mean and in the minute after a
// zone failed, and the delays until others know of a start.
const (
	exchangeSent         = 1500.0
	exchangeZoneLossSent = 3000.0
	exchangeNearDelay    = 2.0 // s until a start is known within a region
	exchangeFarDelay     = 4.0 // s until it is known in other regions
	exchangeGrowth       = 1.3 // factor by which the bytes may grow from 44 to 600 dispatchers

	exchangeMinSamples   = 100   // samples needed for the slowest one in a hundred
	exchangeLateFraction = 0.001 // fraction of the updates that may take longer than stated
	exchangeUndelivered  = 1000  // s, counted for an update that did not arrive
	exchangeMoveRate     = 1.5   // starts per second; no more than the smallest reservation of the ten teams that move
	exchangeStaleDemand  = 8.0   // s beyond the stated time of a move, while the old demand is still believed
	exchangeUseWindow    = 29.0  // s after its last start in which an instance knows a tenant's counts: slightly less than the 30 s for which it announces its use
	exchangeConvergence  = 25.0  // s until all instances agree on counts after a partition: other owners are told after staleness, 20 s; below exchangeUseWindow, after which no instance would be compared
)

// The simulated network within and between regions.
const (
	exchangeLoss        = 0.001
	exchangeMaxDelay    = 0.005 // s, at most, within a region
	exchangeRegionDelay = 0.02  // s, at least, between regions
	frameBytes          = 10    // bytes that membership prepends to an unencrypted message: its type, a label header and the cluster's name
)

// exchangeRun is one run: n instances at a percentage of the target.
type exchangeRun struct {
	seed           uint64
	n              int
	percent        int // percentage of the target's teams
	starts         int // percentage of the target's starts
	settings       quota.Settings
	rest           float64 // s
	load           float64 // s
	zoneLoss       float64 // s for which a zone is down; 0: no zone fails
	regionLoss     float64 // s for which a region is down; 0: no region fails
	instanceLoss   float64 // s for which one dispatcher is down; 0: none fails
	partition      float64 // s for which two regions cannot reach each other; 0: no partition
	cluster        *simulation.Cluster
	workload       *capacity.Load
	zones          []int
	nodes          []*simulation.Instance
	index          map[string]int
	sent           [][]float64 // bytes by instance and second
	received       [][]float64
	entryPoints    [][]int
	started        []uint64
	lastStart      []map[int]float64 // by team: time of its last start at each instance
	probed         []bool            // by team: used by a probe, so the general load does not start its tasks
	allotmentIndex []int             // index of a team in Allotments
	pending        []float64
	loadOn         bool
	lastCheck      float64
	usable         []uint64
	probes         []*updateProbe
	moves          []*moveProbe
	result         exchangeResult
	baselineHeap   uint64
}

// exchangeResult is what a run measured. Bytes are per second and instance.
type exchangeResult struct {
	restSent, restReceived float64
	loadSent, loadReceived float64
	worstSecond            float64 // sent and received, the worst second of any instance
	zoneLossSent           float64 // sent in the minute after a zone failed, mean of the remaining instances
	zoneLossWorst          float64 // the same, sent and received, the worst instance
	instanceLossSent       float64 // sent while one instance is down, mean of the others
	instanceLossShare      float64 // fraction of its demand that a team has which moves while one instance is down: the least of ten
	zoneLossShare          float64 // fraction of its demand that a team has which moves while a zone is down: the least of ten
	regionLossShare        float64 // the same while a region is down
	restCPU                float64 // ms per second
	loadCPU                float64
	heap                   float64 // bytes per instance
	nearDelays, farDelays  []float64
	lateUpdates            int
	moveTimes              []float64
	unmoved                int
	overAllotted           float64 // fraction by which the sum of a reservation's allotments exceeds it
	overcounted            float64 // slots counted that were not started
	convergedAfter         float64 // s until all instances agree on counts after a partition and the load have ended
	took                   time.Duration
}

// updateProbe is a team that starts a task at intervals, to measure when the other instances through which it enters
// know of the start.
type updateProbe struct {
	team    int
	from    int
	at      float64
	waiting []int // instances that do not know of the start yet
	nextAt  float64
}

// moveProbe is a team all of whose clients move to one zone at a given time.
type moveProbe struct {
	team int
	at   float64
	to   []int
	done bool
}

// exchangeSettings returns the defaults of the operator's file, with the shortest staleness that passes validation
// for n instances.
func exchangeSettings(n int) quota.Settings { return ownerSettings(n, operatorconfig.DefaultOwners) }

// ownerSettings returns the same settings with each reservation divided among the given number of owners. With 0
// every instance owns a part of every reservation and all instances exchange with all others.
func ownerSettings(n, owners int) quota.Settings {
	settings := quota.Settings{Period: operatorconfig.DefaultPeriod.Seconds(), LeaseDuration: operatorconfig.DefaultStaleness.Seconds(), RetainedFraction: operatorconfig.DefaultShareFloor,
		ForgetAfter: operatorconfig.DefaultRetention.Seconds(), ExpectedInstances: n, MaxDelay: operatorconfig.DefaultDelay.Seconds(), LossRate: operatorconfig.DefaultLoss, Owners: owners}
	if owners == 0 {
		settings.LeaseDuration = operatorconfig.DefaultStalenessWithoutOwners.Seconds()
	}
	return withValidLease(settings)
}

// withValidLease raises staleness in whole seconds until it passes validation.
func withValidLease(s quota.Settings) quota.Settings {
	for {
		if key, _ := s.Validate(s.ExpectedInstances, 0, 10, 0); key != "staleness" {
			return s
		}
		s.LeaseDuration = math.Floor(s.LeaseDuration) + 1
	}
}

// pushPullScale returns the factor by which memberlist lengthens its push/pull interval in a cluster of n instances.
func pushPullScale(n int) float64 {
	if n <= 32 {
		return 1
	}
	return math.Ceil(math.Log2(float64(n))-math.Log2(32)) + 1
}

// threadTime returns the CPU time of the calling thread, in seconds.
func threadTime() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return float64(t.Sec) + float64(t.Nsec)/1e9
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (x *exchangeRun) play() exchangeResult {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := time.Now()
	x.baselineHeap = heapInUse()
	x.setUp()
	settled := x.settings.LeaseDuration + 3 // by then every instance has joined, also those that missed updates
	x.runUntil(settled)
	start := x.mark()
	x.runUntil(settled + x.rest)
	x.result.restSent, x.result.restReceived, x.result.restCPU = x.since(start)

	x.loadOn = true
	x.generateLoad()
	// Demand rises to a peak over hours, so the step from rest counts in the worst second but not in the peak's mean.
	// Loans that were made on first estimates are renewed within a lease.
	warmedUp := x.cluster.Now + max(6+x.settings.Bounds(x.n, 0, 10).UsageDelay, x.settings.LeaseDuration)
	loadStart := int(x.cluster.Now)
	x.runUntil(warmedUp)
	start = x.mark()
	x.selectProbes()
	x.runUntil(warmedUp + x.load)
	x.result.loadSent, x.result.loadReceived, x.result.loadCPU = x.since(start)
	for i := range x.sent {
		for second := loadStart; second < int(x.cluster.Now); second++ {
			x.result.worstSecond = max(x.result.worstSecond, x.sent[i][second]+x.received[i][second])
		}
	}
	heap := heapInUse()
	x.result.heap = float64(heap-min(heap, x.baselineHeap)) / float64(x.n)
	x.endProbes()
	if x.instanceLoss > 0 {
		start := x.mark()
		x.result.instanceLossShare, _ = x.loseInstances(x.instanceLoss, func(i int) bool { return i == x.n-1 })
		x.result.instanceLossSent, _, _ = x.since(start)
	}
	if x.zoneLoss > 0 {
		start := x.cluster.Now
		var survivors []int
		x.result.zoneLossShare, survivors = x.loseInstances(x.zoneLoss, func(i int) bool { return x.zones[i] == x.zones[0] })
		for _, i := range survivors {
			sent, received := 0.0, 0.0
			for second := int(start); second < int(start+x.zoneLoss); second++ {
				sent, received = sent+x.sent[i][second], received+x.received[i][second]
			}
			x.result.zoneLossSent += sent / x.zoneLoss / float64(len(survivors))
			x.result.zoneLossWorst = max(x.result.zoneLossWorst, (sent+received)/x.zoneLoss)
		}
	}
	if x.regionLoss > 0 {
		x.result.regionLossShare, _ = x.loseInstances(x.regionLoss, func(i int) bool { return x.regionOf(i) == x.regionOf(0) })
	}
	if x.partition > 0 {
		x.partitionRegions()
	}
	x.result.took = time.Since(began)
	return x.result
}

func (x *exchangeRun) setUp() {
	x.workload = capacity.NewLoad(x.percent, x.seed)
	for i := range x.workload.Teams {
		t := &x.workload.Teams[i]
		t.Rate, t.Quota = t.Rate*float64(x.starts)/float64(x.percent), t.Quota*float64(x.starts)/float64(x.percent)
	}
	var tenants []quota.Tenant
	for _, t := range x.workload.Teams {
		tenants = append(tenants, quota.Tenant{Name: t.Name, ID: usage.TenantID(t.Name, t.Quota, 1), Quota: t.Quota})
	}
	x.cluster = simulation.New(x.seed, x.settings, simulation.Network{Loss: exchangeLoss, MaxDelay: exchangeMaxDelay, DetectionDelay: 3, SyncInterval: 5 * pushPullScale(x.n)}, tenants)
	cluster := wire.ClusterDigest("capacity")
	x.cluster.Tap = &simulation.Tap{
		Pack: func(m *quota.Message) []byte { return wire.EncodeMessage(cluster, m) },
		Unpack: func(raw []byte) (*quota.Message, error) {
			m, _, err := wire.Decode(cluster, raw)
			return m, err
		},
		PackState:  func(s usage.State) []byte { return wire.EncodeState(cluster, s) },
		CPUSeconds: threadTime,
		OnBytes:    x.recordBytes,
	}
	x.zones = x.workload.Place(x.n)
	x.index = map[string]int{}
	x.nodes, x.sent, x.received = make([]*simulation.Instance, x.n), make([][]float64, x.n), make([][]float64, x.n)
	x.cluster.ExtraDelay = func(a, b *simulation.Instance) float64 {
		if x.regionOf(x.index[a.Name]) != x.regionOf(x.index[b.Name]) {
			return exchangeRegionDelay
		}
		return 0
	}
	for i := range x.nodes {
		name := fmt.Sprintf("n%03d", i)
		x.index[name] = i
		x.nodes[i] = x.startInstance(i, name)
	}
	x.entryPoints = x.workload.Enters(x.zones)
	teams := len(x.workload.Teams)
	x.lastStart = make([]map[int]float64, teams)
	for t := range x.lastStart {
		x.lastStart[t] = map[int]float64{}
	}
	x.started, x.probed, x.allotmentIndex, x.pending = make([]uint64, teams), make([]bool, teams), make([]int, teams), make([]float64, teams)
	order := make([]int, teams)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(tenants[a].ID, tenants[b].ID) })
	for index, t := range order {
		x.allotmentIndex[t] = index
	}
}

// startInstance starts an instance with its region in its settings.
func (x *exchangeRun) startInstance(i int, name string) *simulation.Instance {
	set := x.settings
	set.Region = fmt.Sprint("r", x.regionOf(i)+1)
	return x.cluster.StartAs(name, 0, set)
}

func (x *exchangeRun) regionOf(i int) int { return x.workload.Zones[x.zones[i]].Region }

func (x *exchangeRun) recordBytes(in *simulation.Instance, sent bool, bytes int) {
	i, second := x.index[in.Name], int(x.cluster.Now)
	perSecond := &x.received[i]
	if sent {
		perSecond = &x.sent[i]
	}
	for len(*perSecond) <= second {
		*perSecond = append(*perSecond, 0)
	}
	(*perSecond)[second] += float64(bytes + frameBytes)
}

// runUntil runs the simulation until a time. It checks probes every 0.05 s and invariants every 0.25 s.
func (x *exchangeRun) runUntil(end float64) {
	for x.cluster.Now < end {
		x.cluster.Run(min(end, x.cluster.Now+0.05), nil)
		x.checkProbes()
		if x.cluster.Now-x.lastCheck >= 0.25 {
			x.lastCheck = x.cluster.Now
			x.checkInvariants()
		}
	}
	for i := range x.sent { // seconds without traffic count as 0
		for len(x.sent[i]) <= int(end) {
			x.sent[i] = append(x.sent[i], 0)
		}
		for len(x.received[i]) <= int(end) {
			x.received[i] = append(x.received[i], 0)
		}
	}
}

type exchangeMark struct{ at, sent, received, cpu float64 }

func (x *exchangeRun) mark() (m exchangeMark) {
	m.at = x.cluster.Now
	for i, in := range x.nodes {
		m.cpu += in.CPUSeconds
		for s := range x.sent[i] {
			m.sent += x.sent[i][s]
		}
		for s := range x.received[i] {
			m.received += x.received[i][s]
		}
	}
	return m
}

// since returns the bytes per second that an instance sent and received since a mark, and its CPU time in ms per
// second.
func (x *exchangeRun) since(start exchangeMark) (sent, received, cpu float64) {
	now, instanceSeconds := x.mark(), (x.cluster.Now-start.at)*float64(x.n)
	return (now.sent - start.sent) / instanceSeconds, (now.received - start.received) / instanceSeconds, 1000 * (now.cpu - start.cpu) / instanceSeconds
}

// generateLoad starts the teams' tasks at their rates.
func (x *exchangeRun) generateLoad() {
	const step = 0.25
	if !x.loadOn {
		return
	}
	for t, team := range x.workload.Teams {
		if x.probed[t] {
			continue
		}
		list := x.entryPoints[t]
		for _, i := range list {
			n := simulation.Poisson(x.cluster.Rand, team.Rate*step/float64(len(list)))
			for range n {
				x.startTask(t, i)
			}
		}
	}
	for _, m := range x.moves { // evenly spaced, so that their demand is known exactly
		for x.pending[m.team] += x.workload.Teams[m.team].Rate * step; x.pending[m.team] >= 1; x.pending[m.team]-- {
			list := x.entryPoints[m.team]
			x.startTask(m.team, list[int(x.started[m.team]/usage.MillislotsPerSlot)%len(list)])
		}
	}
	x.cluster.After(step, x.generateLoad)
}

func (x *exchangeRun) startTask(team, i int) {
	if in := x.nodes[i]; in.Up {
		in.Meter.RecordArrival(x.workload.Teams[team].Name)
		in.Meter.RecordStart(x.workload.Teams[team].Name, 1)
		x.started[team] += usage.MillislotsPerSlot
		x.lastStart[team][i] = x.cluster.Now
	}
}

// selectProbes takes teams out of the load: small ones to measure the delay of updates, large ones to measure moves.
func (x *exchangeRun) selectProbes() {
	candidates := x.fewZoneTeams()
	for k := len(candidates) - 1; k >= 0 && len(x.probes) < 12; k-- {
		team := candidates[k]
		x.probed[team] = true
		for _, i := range x.entryPoints[team] { // instances that did not use a team recently are not sent its counts
			x.startTask(team, i)
		}
		x.probes = append(x.probes, &updateProbe{team: team, nextAt: x.cluster.Now + x.settings.Bounds(x.n, 0, 10).UsageDelay + x.cluster.Rand.Float64()})
	}
	for k := 0; k < len(candidates) && len(x.moves) < 10; k++ {
		if team := candidates[k]; !x.probed[team] {
			x.probed[team] = true
			x.moves = append(x.moves, &moveProbe{team: team, at: x.cluster.Now, done: true})
		}
	}
}

// fewZoneTeams returns the teams that enter through few zones but several instances, the largest first.
func (x *exchangeRun) fewZoneTeams() (list []int) {
	for t, team := range x.workload.Teams {
		if len(team.Zones) == capacity.FewZones && len(x.entryPoints[t]) > 1 {
			list = append(list, t)
		}
	}
	return list
}

// checkProbes records which updates have arrived and which moves are complete.
func (x *exchangeRun) checkProbes() {
	for _, probe := range x.probes {
		switch {
		case len(probe.waiting) > 0:
			id := x.cluster.Tenants[probe.team].ID
			probe.waiting = slices.DeleteFunc(probe.waiting, func(i int) bool {
				in := x.nodes[i]
				if !in.Up {
					return false
				}
				if known, ok := in.KnownUsage(id); !ok || known.Started < x.started[probe.team] {
					return false
				}
				if x.regionOf(i) == x.regionOf(probe.from) {
					x.result.nearDelays = append(x.result.nearDelays, x.cluster.Now-probe.at)
				} else {
					x.result.farDelays = append(x.result.farDelays, x.cluster.Now-probe.at)
				}
				return true
			})
			if len(probe.waiting) == 0 {
				probe.nextAt = x.cluster.Now + x.cluster.Rand.Float64()
			}
		case x.cluster.Now >= probe.nextAt:
			probe.from, probe.at = x.entryPoints[probe.team][x.cluster.Rand.IntN(len(x.entryPoints[probe.team]))], x.cluster.Now
			x.startTask(probe.team, probe.from)
			for _, i := range x.entryPoints[probe.team] {
				// An instance that has not served the team does not need the others' counts.
				if i != probe.from && x.nodes[i].Meter.Counts().At(x.cluster.Tenants[probe.team].ID) != (usage.Count{}) {
					probe.waiting = append(probe.waiting, i)
				}
			}
		}
	}
	for _, move := range x.moves {
		if move.to == nil && x.cluster.Now >= move.at {
			zone := x.zones[x.cluster.Rand.IntN(x.n)]
			for i, z := range x.zones {
				if z == zone && len(move.to) < capacity.FewZones {
					move.to = append(move.to, i)
				}
			}
			x.entryPoints[move.team], move.at, move.done = move.to, x.cluster.Now, false
		}
		if move.done {
			continue
		}
		allotted := 0.0
		for _, i := range move.to {
			if s := x.nodes[i].Allotments; len(s) > 0 {
				allotted += float64(s[x.allotmentIndex[move.team]]) / quota.FullReservation
			}
		}
		if allotted >= 0.9*capacity.Asked {
			move.done = true
			x.result.moveTimes = append(x.result.moveTimes, x.cluster.Now-move.at)
		}
	}
}

// endProbes counts the updates and moves that are overdue, and returns the teams to the load.
func (x *exchangeRun) endProbes() {
	for _, probe := range x.probes {
		if len(probe.waiting) > 0 && x.cluster.Now-probe.at > exchangeFarDelay {
			x.result.lateUpdates += len(probe.waiting)
		}
		x.probed[probe.team] = false
	}
	for _, move := range x.moves {
		if !move.done {
			x.result.unmoved++
		}
		x.probed[move.team] = false
	}
	x.probes, x.moves = nil, nil
}

// checkInvariants records by how much allotments exceed reservations and counts exceed starts.
func (x *exchangeRun) checkInvariants() {
	x.usable = x.cluster.Usable(x.usable)
	for _, usable := range x.usable {
		x.result.overAllotted = max(x.result.overAllotted, float64(usable)/quota.FullReservation-1)
	}
	for k := range 2 { // two instances at a time, in turn
		in := x.nodes[(int(4*x.cluster.Now)*2+k)%x.n]
		if !in.Up {
			continue
		}
		for t, tenant := range x.cluster.Tenants {
			if known, ok := in.KnownUsage(tenant.ID); ok {
				x.result.overcounted = max(x.result.overcounted, float64(int64(known.Started)-int64(x.started[t]))/usage.MillislotsPerSlot)
			}
		}
	}
}

// loseInstances kills instances for a time span. Their clients move to other instances, and ten teams each move to
// one zone of the survivors. It returns the survivors and the smallest fraction of its demand that such a team has
// there at the end. Then the killed instances start again without state.
func (x *exchangeRun) loseInstances(span float64, lost func(i int) bool) (least float64, survivors []int) {
	for i := range x.nodes {
		if lost(i) {
			x.cluster.Kill(x.nodes[i])
		} else {
			survivors = append(survivors, i)
		}
	}
	originalEntryPoints := slices.Clone(x.entryPoints)
	for t, list := range x.entryPoints {
		list = slices.DeleteFunc(slices.Clone(list), lost)
		if len(list) == 0 {
			list = []int{survivors[x.cluster.Rand.IntN(len(survivors))]}
		}
		x.entryPoints[t] = list
	}
	for _, t := range x.fewZoneTeams()[:min(10, len(x.fewZoneTeams()))] {
		move := &moveProbe{team: t, done: true}
		zone := x.zones[survivors[x.cluster.Rand.IntN(len(survivors))]]
		for _, i := range survivors {
			if x.zones[i] == zone && len(move.to) < capacity.FewZones {
				move.to = append(move.to, i)
			}
		}
		x.entryPoints[t], x.probed[t], x.moves = move.to, true, append(x.moves, move)
	}
	x.runUntil(x.cluster.Now + span)
	least = 1
	for _, move := range x.moves {
		allotted := 0.0
		for _, i := range move.to {
			if s := x.nodes[i].Allotments; len(s) > 0 {
				allotted += float64(s[x.allotmentIndex[move.team]]) / quota.FullReservation
			}
		}
		least = min(least, allotted/capacity.Asked)
		x.probed[move.team] = false
	}
	x.moves = nil
	for i := range x.nodes {
		if lost(i) {
			x.cluster.Instances = slices.DeleteFunc(x.cluster.Instances, func(in *simulation.Instance) bool { return in == x.nodes[i] })
			x.nodes[i] = x.startInstance(i, x.nodes[i].Name)
		}
	}
	x.entryPoints = originalEntryPoints
	x.runUntil(x.cluster.Now + 2*x.settings.LeaseDuration)
	return least, survivors
}

// partitionRegions partitions the two largest regions from each other, while both reach the others, and then joins
// them again.
func (x *exchangeRun) partitionRegions() {
	x.cluster.Unreachable = func(a, b *simulation.Instance) bool {
		p, q := x.regionOf(x.index[a.Name]), x.regionOf(x.index[b.Name])
		return min(p, q) == 0 && max(p, q) == 1
	}
	x.runUntil(x.cluster.Now + x.partition)
	x.cluster.Unreachable = nil
	x.loadOn = false
	ended := x.cluster.Now
	for x.cluster.Now < ended+120 && !x.countsAgree() {
		x.runUntil(x.cluster.Now + 0.25)
	}
	x.result.convergedAfter = x.cluster.Now - ended
}

// countsAgree reports whether all instances have the same counts. With hashed owners it compares the instances that
// use a tenant, since only they and its owners are told.
func (x *exchangeRun) countsAgree() bool {
	for t, tenant := range x.cluster.Tenants {
		var first usage.Count
		seen := false
		for i, in := range x.nodes {
			last, used := x.lastStart[t][i]
			if !in.Up || in.Allocator.HashedOwnership() && (!used || x.cluster.Now-last > exchangeUseWindow) {
				continue
			}
			known, ok := in.KnownUsage(tenant.ID)
			switch {
			case !ok && used:
				return false
			case !seen:
				first, seen = known, true
			case known != first:
				return false
			}
		}
	}
	return true
}

// quantileOrNaN returns the quantile of a list, NaN if the list is empty.
func quantileOrNaN(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	return quantile(list, q)
}

// quantile returns the quantile of a list, 0 if the list is empty.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Clone(list)
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// runCapacityExchange runs two dispatchers per zone at each percentage, failures at the target's size, and sweeps of
// everything that costs grow with except the number of dispatchers.
func runCapacityExchange(p CapacityParams) (*CapacityResult, error) {
	study := newExchangeStudy(p)
	seeds := []uint64{p.Seed, p.Seed + 1}
	if p.Quick {
		seeds = seeds[:1]
	}
	study.noteStaleness(44)
	for _, percent := range p.Percents {
		for k, seed := range seeds {
			x := study.run(44, percent, percent, seed)
			if percent == 100 && k == 0 { // failures take most of the time, so they run once
				if x.instanceLoss, x.zoneLoss, x.regionLoss, x.partition = 30, 60, 30, 300; p.Quick {
					x.instanceLoss, x.zoneLoss, x.regionLoss, x.partition = 0, 15, 0, 10
				}
			}
			study.addRows(x, study.play(x))
		}
	}
	if !p.Quick {
		for _, part := range []int{10, 50, 200} {
			study.play(study.run(44, part, 100, p.Seed))
			study.play(study.run(44, 100, part, p.Seed))
		}
		study.runOtherPeriods(44)
		if err := study.fitLines(capacity.ByTeams, capacity.ByStarts, byPercent); err != nil {
			return nil, err
		}
	}
	study.addClaims()
	return study.result, nil
}

// runCapacityGrowth runs 5 to 600 dispatchers at the target's peak.
func runCapacityGrowth(p CapacityParams) (*CapacityResult, error) {
	study := newExchangeStudy(p)
	sizes := []int{5, 22, 44, 88, 176, 300, 600}
	if p.Quick {
		sizes = []int{5, 22}
	}
	for _, n := range sizes {
		x := study.run(n, 100, 100, p.Seed)
		if n > 100 {
			x.rest = 5
		}
		if !p.Quick && (study.owners > 0 || n < 100) {
			x.zoneLoss = 60
		}
		if n > 300 && study.owners == 0 { // all-to-all exchange: a simulated second takes 3 s of CPU time
			x.rest, x.load = 3, 15
		}
		result := study.play(x)
		study.note(x, result)
		if n == 300 {
			study.noteStaleness(n)
			study.addRows(x, result)
		}
	}
	if !p.Quick && study.owners > 0 {
		study.runOtherPeriods(300)
	}
	if !p.Quick {
		small, large := study.results[exchangeSize{44, 100, 100}][0], study.results[exchangeSize{600, 100, 100}][0]
		study.result.AtMost("sent by one of 600 dispatchers against one of 44", exchangeGrowth, large.loadSent/small.loadSent, "times")
		if err := study.fitLines(capacity.ByDispatchers); err != nil {
			return nil, err
		}
	}
	study.addClaims()
	return study.result, nil
}

func newExchangeStudy(p CapacityParams) *exchangeStudy {
	study := &exchangeStudy{params: p, owners: operatorconfig.DefaultOwners, result: &CapacityResult{}, results: map[exchangeSize][]exchangeResult{}}
	if p.Without == "homes" {
		study.owners = 0
	}
	return study
}

// noteStaleness notes the staleness that the runs use.
func (s *exchangeStudy) noteStaleness(n int) {
	s.result.Note(fmt.Sprintf("staleness that check wants at %d dispatchers; the file's default is %g", n, operatorconfig.DefaultStaleness.Seconds()), ownerSettings(n, s.owners).LeaseDuration, "s")
}

// byPercent is the axis on which all figures of the target grow together.
const byPercent = "percent of the target, 44 dispatchers"

// exchangeSize identifies runs of the same size: dispatchers, and percentages of the target's teams and starts.
type exchangeSize struct{ n, teams, starts int }

// exchangeStudy collects the results of all runs.
type exchangeStudy struct {
	params  CapacityParams
	owners  int
	result  *CapacityResult
	results map[exchangeSize][]exchangeResult
}

// run returns a run with the operator's file's settings, at percentages of the target's teams and starts.
func (s *exchangeStudy) run(n, teams, starts int, seed uint64) *exchangeRun {
	x := &exchangeRun{seed: seed, n: n, percent: teams, settings: ownerSettings(n, s.owners), rest: 20, load: 30}
	switch {
	case s.params.Quick:
		x.rest, x.load = 4, 15
	case n > 100: // a simulated second takes longer in proportion
		x.rest, x.load = 10, 20
	}
	x.starts = starts
	x.load = max(x.load, min(x.moveBound()+1, 45)) // long enough to observe a move that exceeds its bound
	return x
}

func (s *exchangeStudy) play(x *exchangeRun) exchangeResult {
	result := x.play()
	size := exchangeSize{x.n, x.percent, x.starts}
	if x.settings == ownerSettings(x.n, s.owners) {
		s.results[size] = append(s.results[size], result)
	}
	s.params.Log("%d dispatchers, %d %% of the teams, %d %% of the starts, period %g s, seed %d: took %.1f s; sent/received: rest %.0f/%.0f, load %.0f/%.0f, worst second %.0f, minute after a zone loss %.0f sent, %.0f sent and received B/s; CPU %.2f at rest, %.2f ms/s at load; heap %.2f MB; updates %.2f/%.2f s, %d late; moves %.2f s, %d incomplete; allotments over by %g, starts overcounted by %g, counts agree after %.1f s; moved teams have %.2f with a zone down, %.2f with a region down",
		x.n, x.percent, x.starts, x.settings.Period, x.seed, result.took.Seconds(), result.restSent, result.restReceived, result.loadSent, result.loadReceived, result.worstSecond, result.zoneLossSent, result.zoneLossWorst,
		result.restCPU, result.loadCPU, result.heap/1e6, quantile(result.nearDelays, 0.99), quantile(result.farDelays, 0.99), result.lateUpdates, quantile(result.moveTimes, 1), result.unmoved, result.overAllotted, result.overcounted, result.convergedAfter, result.zoneLossShare, result.regionLossShare)
	return result
}

// addRows compares a run with the target.
func (s *exchangeStudy) addRows(x *exchangeRun, result exchangeResult) {
	suffix, budget := fmt.Sprintf(" at %d dispatchers", x.n), capacity.Target
	add := func(kind capacity.Kind, line, what string, bound, measured float64, unit string) {
		r := capacity.AtMost(line, x.percent, what+suffix, bound, measured, unit, capacity.VirtualTime)
		r.Kind = kind
		if x.settings != ownerSettings(x.n, s.owners) {
			r.Setting = fmt.Sprintf("a round of %g s", x.settings.Period)
		}
		s.result.AddRows(r)
	}
	sumKind := capacity.Kind("")
	if x.n == 44 { // two per zone: the budget is summed at this size
		sumKind = capacity.Counts
	}
	setPeriod := func(w capacity.When) *capacity.Row {
		r := &s.result.Rows[len(s.result.Rows)-1]
		r.When = w
		return r
	}
	add(sumKind, capacity.Bytes, "counts and loans, sent and received, mean of the peak", budget.Bytes, result.loadSent+result.loadReceived, "B/s")
	add("", capacity.Bytes, "the same at rest", budget.Bytes, result.restSent+result.restReceived, "B/s")
	add(sumKind, capacity.Bytes, "the same, the worst second of any dispatcher", budget.Bytes, result.worstSecond, "B/s")
	setPeriod(capacity.Second).Shown = true
	if x.zoneLoss > 0 {
		add(sumKind, capacity.Bytes, "the same, "+x.zoneLossName()+" a zone went, the worst dispatcher", budget.Bytes, result.zoneLossWorst, "B/s")
		setPeriod(capacity.Minute)
	}
	add(sumKind, capacity.Core, "counts and loans without sockets, mean of the peak", budget.Core, result.loadCPU/10, "%")
	add(sumKind, capacity.Memory, "counts and loans, heap", budget.Memory, result.heap/1e6, "MB")
	times := func(what string, bound float64, list []float64, q float64, missing int) {
		took := quantile(list, q)
		if missing > 0 { // at least as long as the run waited
			took = max(took, x.load)
		}
		add("", capacity.Teams, what, bound, took, "s")
		r := &s.result.Rows[len(s.result.Rows)-1]
		if len(list) == 0 && missing == 0 {
			r.How = capacity.NotMeasured
		}
		r.Shown = q < 1 && len(list) < exchangeMinSamples // a single late sample would decide, so all runs are judged together
	}
	times("news of a start is where its team enters, in the same region, 99 of 100", exchangeNearDelay, result.nearDelays, 0.99, 0)
	times("news of a start is where its team enters, in other regions, 99 of 100", exchangeFarDelay, result.farDelays, 0.99, result.lateUpdates)
	times("a team that moves to one zone has its reservation there, the slowest of ten", x.moveBound(), result.moveTimes, 1, result.unmoved)
	add("", capacity.Teams, "the sum of all slices passes the reservation by", 0, result.overAllotted, "part")
	if x.instanceLoss > 0 {
		for _, line := range []string{capacity.Failures, capacity.Restarts} {
			add("", line, fmt.Sprintf("counts and loans, sent while one dispatcher is gone for %g s and comes back, mean", x.instanceLoss), exchangeZoneLossSent, result.instanceLossSent, "B/s")
			add("", line, "slots counted that nobody started, over that", 0, result.overcounted, "slots")
		}
		s.result.AddRows(shownRow(capacity.AtLeast(capacity.Failures, x.percent, "a team that moves to one zone meanwhile has of what it asks for, the least of ten"+suffix, 1, result.instanceLossShare, "part", capacity.VirtualTime)))
	}
	if x.zoneLoss > 0 {
		add("", capacity.ZoneLoss, "counts and loans, sent in "+x.zoneLossName()+" a zone went, mean", exchangeZoneLossSent, result.zoneLossSent, "B/s")
		s.result.AddRows(shownRow(capacity.AtLeast(capacity.ZoneLoss, x.percent, "a team that moves to one zone while another is gone has of what it asks for, the least of ten"+suffix, 1, result.zoneLossShare, "part", capacity.VirtualTime)))
		add("", capacity.ZoneLoss, "slots counted that nobody started, over a zone's loss and its restart", 0, result.overcounted, "slots")
	}
	if x.regionLoss > 0 {
		s.result.AddRows(shownRow(capacity.AtLeast(capacity.ZoneLoss, x.percent, "the same, a region gone"+suffix, 1, result.regionLossShare, "part", capacity.VirtualTime)))
	}
	if x.partition > 0 {
		add("", capacity.Links, fmt.Sprintf("the sum of all slices passes the reservation, two regions apart for %g s, by", x.partition), 0, result.overAllotted, "part")
		add("", capacity.Links, "all count the same after they are joined and work has ended, within", exchangeConvergence, result.convergedAfter, "s")
	}
}

// zoneLossName names the time for which a zone is down.
func (x *exchangeRun) zoneLossName() string {
	if x.zoneLoss == 60 {
		return "the minute after"
	}
	return fmt.Sprintf("the %g s after", x.zoneLoss)
}

// moveBound returns the time in seconds within which a team that moves must have its reservation at its new zone: the
// stated time, plus some seconds in which its old demand is still believed.
func (x *exchangeRun) moveBound() float64 {
	if x.settings.Owners > 0 { // this bound includes the time in which the old demand is believed
		return x.settings.Bounds(x.n, exchangeMoveRate, 10).ShiftDelay
	}
	return x.settings.Bounds(x.n, 0, 10).ShiftDelay + exchangeStaleDemand
}

// runOtherPeriods runs n dispatchers with a shorter and a longer exchange period than the default.
func (s *exchangeStudy) runOtherPeriods(n int) {
	for _, period := range []float64{0.5, 2} {
		x := s.run(n, 100, 100, s.params.Seed)
		x.settings.Period = period
		x.settings = withValidLease(x.settings)
		s.addRows(x, s.play(x))
	}
}

// fitLines fits a line through the results for each cost and each of the given axes.
func (s *exchangeStudy) fitLines(by ...string) error {
	lines := []struct {
		what string
		unit string
		kind capacity.Kind
		of   func(exchangeResult) float64
	}{
		{"counts and loans, sent at rest", "B/s", capacity.Counts, func(g exchangeResult) float64 { return g.restSent }},
		{"counts and loans, sent in the minute after a zone went", "B/s", capacity.Counts, func(g exchangeResult) float64 {
			if g.zoneLossSent == 0 {
				return math.NaN()
			}
			return g.zoneLossSent
		}},
		{"counts and loans, sent at the peak", "B/s", capacity.Counts, func(g exchangeResult) float64 { return g.loadSent }},
		{"counts and loans, sent and received at the peak", "B/s", capacity.Counts, func(g exchangeResult) float64 { return g.loadSent + g.loadReceived }},
		{"counts and loans, processor without sockets", "ms/s", capacity.Counts, func(g exchangeResult) float64 { return g.loadCPU }},
		{"counts and loans, heap", "B", capacity.Counts, func(g exchangeResult) float64 { return g.heap }},
		{"news in the same region, 99 of 100", "s", "", func(g exchangeResult) float64 { return quantileOrNaN(g.nearDelays, 0.99) }},
		{"news in other regions, 99 of 100", "s", "", func(g exchangeResult) float64 { return quantileOrNaN(g.farDelays, 0.99) }},
	}
	axes := []struct {
		by string
		x  func(exchangeSize) (float64, bool)
	}{
		{capacity.ByDispatchers, func(a exchangeSize) (float64, bool) { return float64(a.n), a.teams == 100 && a.starts == 100 }},
		{capacity.ByTeams, func(a exchangeSize) (float64, bool) {
			return float64(capacity.Target.Scale(a.teams).Teams), a.n == 44 && a.starts == 100
		}},
		{capacity.ByStarts, func(a exchangeSize) (float64, bool) {
			return capacity.Target.Scale(a.starts).Starts, a.n == 44 && a.teams == 100
		}},
		{byPercent, func(a exchangeSize) (float64, bool) { return float64(a.teams), a.n == 44 && a.teams == a.starts }},
	}
	for _, axis := range axes {
		if !slices.Contains(by, axis.by) {
			continue
		}
		for _, line := range lines {
			var points []capacity.Point
			for size, list := range s.results {
				if x, ok := axis.x(size); ok {
					for _, result := range list {
						if y := line.of(result); !math.IsNaN(y) {
							points = append(points, capacity.Point{X: x, Y: y})
						}
					}
				}
			}
			slices.SortFunc(points, func(a, b capacity.Point) int { return cmp.Or(cmp.Compare(a.X, b.X), cmp.Compare(a.Y, b.Y)) })
			if axis.by == capacity.ByDispatchers {
				curve := report.Line{Name: "virtual time"}
				for _, point := range points {
					curve.X, curve.Y = append(curve.X, point.X), append(curve.Y, point.Y)
				}
				s.result.Plots = append(s.result.Plots, report.Plot{Title: line.what, XLabel: axis.by, YLabel: line.unit, LogX: true, Lines: []report.Line{curve}})
			}
			if err := s.result.AddSlope(line.what, axis.by, line.unit, capacity.VirtualTime, line.kind, points); errors.Is(err, capacity.ErrFew) {
				s.params.Log("%s by %s: too few sizes have the figure", line.what, axis.by)
			} else if err != nil {
				return err
			}
		}
	}
	return nil
}

// note puts the figures of a run beside the claims.
func (s *exchangeStudy) note(x *exchangeRun, result exchangeResult) {
	name := fmt.Sprintf("%d dispatchers, seed %d: ", x.n, x.seed)
	s.result.Note(name+"sent at rest", result.restSent, "B/s")
	s.result.Note(name+"sent at the peak", result.loadSent, "B/s")
	if x.zoneLoss > 0 {
		s.result.Note(name+"sent in the minute after a zone went", result.zoneLossSent, "B/s")
	}
	s.result.Note(name+"the sum of all slices passes the reservation by", result.overAllotted, "part")
	s.result.Note(name+"processor", result.loadCPU, "ms/s")
	s.result.Note(name+"news in other regions, 99 of 100", quantile(result.farDelays, 0.99), "s")
}

// addClaims adds the claims that must hold at every size, and the bounds at the target's size.
func (s *exchangeStudy) addClaims() {
	var overAllotted, overcounted, sent, zoneLossSent float64
	var nearDelays, farDelays []float64
	late := 0
	for size, list := range s.results {
		for _, result := range list {
			overAllotted, overcounted = max(overAllotted, result.overAllotted), max(overcounted, result.overcounted)
			nearDelays, farDelays = append(nearDelays, result.nearDelays...), append(farDelays, result.farDelays...)
			for range result.lateUpdates { // counted as slower than any bound
				farDelays = append(farDelays, exchangeUndelivered)
			}
			if size.teams == 100 && size.starts == 100 && size.n >= 44 {
				sent, zoneLossSent = max(sent, result.loadSent), max(zoneLossSent, result.zoneLossSent)
			}
		}
	}
	findings := s.result
	findings.AtMost("the sum of all slices passes the reservation by", 0, overAllotted, "part")
	findings.AtMost("slots counted that nobody started", 0, overcounted, "slots")
	if sent > 0 { // only runs of 44 or more dispatchers
		findings.AtMost("sent a second by a dispatcher, mean of the target's peak", exchangeSent, sent, "B/s")
	}
	if zoneLossSent > 0 {
		findings.AtMost("sent a second by a dispatcher, in the minute after a zone went", exchangeZoneLossSent, zoneLossSent, "B/s")
	}
	samples := len(nearDelays) + len(farDelays)
	for _, delays := range [][]float64{nearDelays, farDelays} {
		for _, delay := range delays {
			if delay > exchangeFarDelay {
				late++
			}
		}
	}
	findings.AtMost("news is known within a region, 99 of 100", exchangeNearDelay, quantile(nearDelays, 0.99), "s")
	findings.AtMost("news is known in other regions, 99 of 100", exchangeFarDelay, quantile(farDelays, 0.99), "s")
	if lateFraction := float64(late) / float64(max(samples, 1)); samples >= 1/exchangeLateFraction { // fewer samples do not show one in a thousand
		findings.AtMost("part of the news that took over 4 s, or did not come", exchangeLateFraction, lateFraction, "part")
	} else {
		findings.Note("part of the news that took over 4 s, or did not come", lateFraction, "part")
	}
	findings.AtLeast("news that was waited for", exchangeMinSamples, float64(samples), "times")
	findings.AddRows(capacity.AtMost(capacity.Teams, 100, "news of a start in the same region, 99 of 100 of all plays", exchangeNearDelay, quantile(nearDelays, 0.99), "s", capacity.VirtualTime),
		capacity.AtMost(capacity.Teams, 100, "news of a start in other regions, 99 of 100 of all plays", exchangeFarDelay, quantile(farDelays, 0.99), "s", capacity.VirtualTime))
}

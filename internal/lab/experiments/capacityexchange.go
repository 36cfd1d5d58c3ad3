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

// What the exchange of an instance must not pass (issue 27): bytes that it sends a second, in the mean
// and in the minute after a zone went, and processor time.
const (
	exchangeSent         = 1500.0
	exchangeZoneLossSent = 3000.0
	exchangeNearDelay    = 2.0 // s until news is known within a region
	exchangeFarDelay     = 4.0 // s until it is known in others
	exchangeGrowth       = 1.3 // times the bytes, from 44 to 600 dispatchers

	exchangeMinSamples   = 100   // pieces of news, to say what one in a hundred takes
	exchangeLateFraction = 0.001 // part of the news that may take longer than stated
	exchangeUndelivered  = 1000  // s, of news that did not come
	exchangeMoveRate     = 1.5   // starts a second, the smallest reservation of the ten teams that move, or less
	exchangeStaleDemand  = 8.0   // s beyond the stated time of a move, in which the old demand is still believed
	exchangeUseWindow    = 29.0  // s since its last start in which an instance knows a tenant's counts, less some: it says so for 30 s
	exchangeConvergence  = 25.0  // s until all count the same behind a cut: other homes hear at staleness, 20 s; below exchangeUseWindow, or none would be left
)

// The network between the regions, as it is played.
const (
	exchangeLoss        = 0.001
	exchangeMaxDelay    = 0.005 // s at most, within a region
	exchangeRegionDelay = 0.02  // s at least, between regions
	frameBytes          = 10    // that membership puts before a message: its kind, a label's head and the cluster's name; in the clear
)

// exchangeRun is one play: so many instances, at a percentage of the target.
type exchangeRun struct {
	seed           uint64
	n              int
	percent        int // of the teams
	starts         int // percent of the starts
	settings       quota.Settings
	rest           float64 // s
	load           float64 // s
	zoneLoss       float64 // s that a zone is gone; 0: it stays
	regionLoss     float64 // s that a region is gone; 0: it stays
	instanceLoss   float64 // s that a single dispatcher is gone; 0: it stays
	partition      float64 // s for which two regions lose each other; 0: they do not
	cluster        *simulation.Cluster
	workload       *capacity.Load
	zones          []int
	nodes          []*simulation.Instance
	index          map[string]int
	sent           [][]float64 // by instance and second
	received       [][]float64
	entryPoints    [][]int
	started        []uint64
	lastStart      []map[int]float64 // when a team last started something where
	probed         []bool            // a probe's: it starts when the probe says
	allotmentIndex []int             // place of a team in the slices
	pending        []float64
	loadOn         bool
	lastCheck      float64
	usable         []uint64
	probes         []*updateProbe
	moves          []*moveProbe
	result         exchangeResult
	baselineHeap   uint64
}

// exchangeResult is what a play measured. Bytes are a second and instance.
type exchangeResult struct {
	restSent, restReceived float64
	loadSent, loadReceived float64
	worstSecond            float64 // sent and received, the worst second of any instance
	zoneLossSent           float64 // the minute after a zone went, mean of those that are left
	zoneLossWorst          float64 // the same, sent and received, the worst instance
	instanceLossSent       float64 // while one is gone, mean of the others
	instanceLossShare      float64 // of what it asks for, that a team has that moves while one is gone: the least of ten
	zoneLossShare          float64 // of what it asks for, that a team has that moves while a zone is gone: the least of ten
	regionLossShare        float64 // the same, a region gone
	restCPU                float64 // ms a second
	loadCPU                float64
	heap                   float64 // bytes an instance
	nearDelays, farDelays  []float64
	lateUpdates            int
	moveTimes              []float64
	unmoved                int
	overAllotted           float64 // of the sum of slices beyond the whole
	overcounted            float64 // slots counted that nobody started
	convergedAfter         float64 // s until all count the same after they are joined and work has ended
	took                   time.Duration
}

// updateProbe is a team that starts a task now and then, to see when those that it enters through know of it.
type updateProbe struct {
	team    int
	from    int
	at      float64
	waiting []int // instances that do not know yet
	nextAt  float64
}

// moveProbe is a team whose clients all go to one zone at a moment.
type moveProbe struct {
	team int
	at   float64
	to   []int
	done bool
}

// exchangeSettings are the operator's file's defaults, with staleness as long as check wants it.
func exchangeSettings(n int) quota.Settings { return ownerSettings(n, operatorconfig.DefaultOwners) }

// ownerSettings are the same with parts of each reservation at so many instances; 0: all own one and all write to all.
func ownerSettings(n, homes int) quota.Settings {
	s := quota.Settings{Period: operatorconfig.DefaultPeriod.Seconds(), LeaseDuration: operatorconfig.DefaultStaleness.Seconds(), RetainedFraction: operatorconfig.DefaultShareFloor,
		ForgetAfter: operatorconfig.DefaultRetention.Seconds(), ExpectedInstances: n, MaxDelay: operatorconfig.DefaultDelay.Seconds(), LossRate: operatorconfig.DefaultLoss, Owners: homes}
	if homes == 0 {
		s.LeaseDuration = operatorconfig.DefaultStalenessWithoutOwners.Seconds()
	}
	return withValidLease(s)
}

// withValidLease makes staleness as long as check wants it, in whole seconds.
func withValidLease(s quota.Settings) quota.Settings {
	for {
		if key, _ := s.Validate(s.ExpectedInstances, 0, 10, 0); key != "staleness" {
			return s
		}
		s.LeaseDuration = math.Floor(s.LeaseDuration) + 1
	}
}

// pushPullScale is how much rarer membership exchanges all that is known in a large cluster.
func pushPullScale(n int) float64 {
	if n <= 32 {
		return 1
	}
	return math.Ceil(math.Log2(float64(n))-math.Log2(32)) + 1
}

// threadTime is the processor time of this thread, in seconds.
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
	settle := x.settings.LeaseDuration + 3 // by then who has not heard all has joined
	x.runUntil(settle)
	mark := x.mark()
	x.runUntil(settle + x.rest)
	x.result.restSent, x.result.restReceived, x.result.restCPU = x.since(mark)

	x.loadOn = true
	x.generateLoad()
	// A peak comes over hours: the step from rest is no part of its mean, but of the worst
	// second. What is lent on a first guess is lent anew within a lease.
	warm := x.cluster.Now + max(6+x.settings.Bounds(x.n, 0, 10).UsageDelay, x.settings.LeaseDuration)
	step := int(x.cluster.Now)
	x.runUntil(warm)
	mark = x.mark()
	x.selectProbes()
	x.runUntil(warm + x.load)
	x.result.loadSent, x.result.loadReceived, x.result.loadCPU = x.since(mark)
	for i := range x.sent {
		for s := step; s < int(x.cluster.Now); s++ {
			x.result.worstSecond = max(x.result.worstSecond, x.sent[i][s]+x.received[i][s])
		}
	}
	heap := heapInUse()
	x.result.heap = float64(heap-min(heap, x.baselineHeap)) / float64(x.n)
	x.endProbes()
	if x.instanceLoss > 0 {
		mark := x.mark()
		x.result.instanceLossShare, _ = x.loseInstances(x.instanceLoss, func(i int) bool { return i == x.n-1 })
		x.result.instanceLossSent, _, _ = x.since(mark)
	}
	if x.zoneLoss > 0 {
		mark := x.cluster.Now
		var left []int
		x.result.zoneLossShare, left = x.loseInstances(x.zoneLoss, func(i int) bool { return x.zones[i] == x.zones[0] })
		for _, i := range left {
			sent, got := 0.0, 0.0
			for s := int(mark); s < int(mark+x.zoneLoss); s++ {
				sent, got = sent+x.sent[i][s], got+x.received[i][s]
			}
			x.result.zoneLossSent += sent / x.zoneLoss / float64(len(left))
			x.result.zoneLossWorst = max(x.result.zoneLossWorst, (sent+got)/x.zoneLoss)
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
	for at, t := range order {
		x.allotmentIndex[t] = at
	}
}

// startInstance starts an instance, which knows its region.
func (x *exchangeRun) startInstance(i int, name string) *simulation.Instance {
	set := x.settings
	set.Region = fmt.Sprint("r", x.regionOf(i)+1)
	return x.cluster.StartAs(name, 0, set)
}

func (x *exchangeRun) regionOf(i int) int { return x.workload.Zones[x.zones[i]].Region }

func (x *exchangeRun) recordBytes(in *simulation.Instance, sent bool, bytes int) {
	i, s := x.index[in.Name], int(x.cluster.Now)
	list := &x.received[i]
	if sent {
		list = &x.sent[i]
	}
	for len(*list) <= s {
		*list = append(*list, 0)
	}
	(*list)[s] += float64(bytes + frameBytes)
}

// runUntil plays to a time and looks at what holds, four times a second.
func (x *exchangeRun) runUntil(end float64) {
	for x.cluster.Now < end {
		x.cluster.Run(min(end, x.cluster.Now+0.05), nil)
		x.checkProbes()
		if x.cluster.Now-x.lastCheck >= 0.25 {
			x.lastCheck = x.cluster.Now
			x.checkInvariants()
		}
	}
	for i := range x.sent { // a second in which nothing passed is one of nothing
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

// since is what an instance sent and received a second since a mark, and how many ms a second it worked.
func (x *exchangeRun) since(m exchangeMark) (sent, got, busy float64) {
	now, by := x.mark(), (x.cluster.Now-m.at)*float64(x.n)
	return (now.sent - m.sent) / by, (now.received - m.received) / by, 1000 * (now.cpu - m.cpu) / by
}

// generateLoad has the teams start tasks, as many as they ask for.
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
	for _, m := range x.moves { // even, so that what they need is known
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

// selectProbes takes teams out of the load: a few small ones to see how long news takes, a few large ones that move.
func (x *exchangeRun) selectProbes() {
	few := x.fewZoneTeams()
	for k := len(few) - 1; k >= 0 && len(x.probes) < 12; k-- {
		t := few[k]
		x.probed[t] = true
		for _, i := range x.entryPoints[t] { // who has not used a team of late hears nothing of it
			x.startTask(t, i)
		}
		x.probes = append(x.probes, &updateProbe{team: t, nextAt: x.cluster.Now + x.settings.Bounds(x.n, 0, 10).UsageDelay + x.cluster.Rand.Float64()})
	}
	for k := 0; k < len(few) && len(x.moves) < 10; k++ {
		if t := few[k]; !x.probed[t] {
			x.probed[t] = true
			x.moves = append(x.moves, &moveProbe{team: t, at: x.cluster.Now, done: true})
		}
	}
}

// fewZoneTeams are the teams that enter through several instances, the largest first, and through few.
func (x *exchangeRun) fewZoneTeams() (list []int) {
	for t, team := range x.workload.Teams {
		if len(team.Zones) == capacity.FewZones && len(x.entryPoints[t]) > 1 {
			list = append(list, t)
		}
	}
	return list
}

// checkProbes looks whether news has come and moves are done.
func (x *exchangeRun) checkProbes() {
	for _, p := range x.probes {
		switch {
		case len(p.waiting) > 0:
			id := x.cluster.Tenants[p.team].ID
			p.waiting = slices.DeleteFunc(p.waiting, func(i int) bool {
				in := x.nodes[i]
				if !in.Up {
					return false
				}
				if is, ok := in.KnownUsage(id); !ok || is.Started < x.started[p.team] {
					return false
				}
				if x.regionOf(i) == x.regionOf(p.from) {
					x.result.nearDelays = append(x.result.nearDelays, x.cluster.Now-p.at)
				} else {
					x.result.farDelays = append(x.result.farDelays, x.cluster.Now-p.at)
				}
				return true
			})
			if len(p.waiting) == 0 {
				p.nextAt = x.cluster.Now + x.cluster.Rand.Float64()
			}
		case x.cluster.Now >= p.nextAt:
			p.from, p.at = x.entryPoints[p.team][x.cluster.Rand.IntN(len(x.entryPoints[p.team]))], x.cluster.Now
			x.startTask(p.team, p.from)
			for _, i := range x.entryPoints[p.team] {
				// Who has served nothing of it has no use of what others have.
				if i != p.from && x.nodes[i].Meter.Counts().At(x.cluster.Tenants[p.team].ID) != (usage.Count{}) {
					p.waiting = append(p.waiting, i)
				}
			}
		}
	}
	for _, m := range x.moves {
		if m.to == nil && x.cluster.Now >= m.at {
			zone := x.zones[x.cluster.Rand.IntN(x.n)]
			for i, z := range x.zones {
				if z == zone && len(m.to) < capacity.FewZones {
					m.to = append(m.to, i)
				}
			}
			x.entryPoints[m.team], m.at, m.done = m.to, x.cluster.Now, false
		}
		if m.done {
			continue
		}
		has := 0.0
		for _, i := range m.to {
			if s := x.nodes[i].Allotments; len(s) > 0 {
				has += float64(s[x.allotmentIndex[m.team]]) / quota.FullReservation
			}
		}
		if has >= 0.9*capacity.Asked {
			m.done = true
			x.result.moveTimes = append(x.result.moveTimes, x.cluster.Now-m.at)
		}
	}
}

// endProbes counts what did not come in time and gives the teams back to the load.
func (x *exchangeRun) endProbes() {
	for _, p := range x.probes {
		if len(p.waiting) > 0 && x.cluster.Now-p.at > exchangeFarDelay {
			x.result.lateUpdates += len(p.waiting)
		}
		x.probed[p.team] = false
	}
	for _, m := range x.moves {
		if !m.done {
			x.result.unmoved++
		}
		x.probed[m.team] = false
	}
	x.probes, x.moves = nil, nil
}

// checkInvariants holds what must hold at every moment against it.
func (x *exchangeRun) checkInvariants() {
	x.usable = x.cluster.Usable(x.usable)
	for _, u := range x.usable {
		x.result.overAllotted = max(x.result.overAllotted, float64(u)/quota.FullReservation-1)
	}
	for k := range 2 { // of all in turn
		in := x.nodes[(int(4*x.cluster.Now)*2+k)%x.n]
		if !in.Up {
			continue
		}
		for t, tenant := range x.cluster.Tenants {
			if is, ok := in.KnownUsage(tenant.ID); ok {
				x.result.overcounted = max(x.result.overcounted, float64(int64(is.Started)-int64(x.started[t]))/usage.MillislotsPerSlot)
			}
		}
	}
}

// loseInstances has instances die at once for a while. Their clients go elsewhere, and ten teams move to one zone each of those
// that are left; it returns the least part of what such a team asks for that it has there in the end, and who was left.
// Then the others start again with no memory.
func (x *exchangeRun) loseInstances(span float64, dies func(i int) bool) (least float64, left []int) {
	for i := range x.nodes {
		if dies(i) {
			x.cluster.Kill(x.nodes[i])
		} else {
			left = append(left, i)
		}
	}
	was := slices.Clone(x.entryPoints)
	for t, list := range x.entryPoints {
		list = slices.DeleteFunc(slices.Clone(list), dies)
		if len(list) == 0 {
			list = []int{left[x.cluster.Rand.IntN(len(left))]}
		}
		x.entryPoints[t] = list
	}
	for _, t := range x.fewZoneTeams()[:min(10, len(x.fewZoneTeams()))] {
		m := &moveProbe{team: t, done: true}
		zone := x.zones[left[x.cluster.Rand.IntN(len(left))]]
		for _, i := range left {
			if x.zones[i] == zone && len(m.to) < capacity.FewZones {
				m.to = append(m.to, i)
			}
		}
		x.entryPoints[t], x.probed[t], x.moves = m.to, true, append(x.moves, m)
	}
	x.runUntil(x.cluster.Now + span)
	least = 1
	for _, m := range x.moves {
		has := 0.0
		for _, i := range m.to {
			if s := x.nodes[i].Allotments; len(s) > 0 {
				has += float64(s[x.allotmentIndex[m.team]]) / quota.FullReservation
			}
		}
		least = min(least, has/capacity.Asked)
		x.probed[m.team] = false
	}
	x.moves = nil
	for i := range x.nodes {
		if dies(i) {
			x.cluster.Instances = slices.DeleteFunc(x.cluster.Instances, func(in *simulation.Instance) bool { return in == x.nodes[i] })
			x.nodes[i] = x.startInstance(i, x.nodes[i].Name)
		}
	}
	x.entryPoints = was
	x.runUntil(x.cluster.Now + 2*x.settings.LeaseDuration)
	return least, left
}

// partitionRegions has the two largest regions lose each other, while both reach the others, and join again.
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

// convergedAfter says that all count the same: where a few own a tenant's counts, those that use it, since nobody else is told.
func (x *exchangeRun) countsAgree() bool {
	for t, tenant := range x.cluster.Tenants {
		var first usage.Count
		seen := false
		for i, in := range x.nodes {
			last, used := x.lastStart[t][i]
			if !in.Up || in.Allocator.HashedOwnership() && (!used || x.cluster.Now-last > exchangeUseWindow) {
				continue
			}
			is, ok := in.KnownUsage(tenant.ID)
			switch {
			case !ok && used:
				return false
			case !seen:
				first, seen = is, true
			case is != first:
				return false
			}
		}
	}
	return true
}

// quantileOrNaN is the quantile of a list, no figure if it is empty.
func quantileOrNaN(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	return quantile(list, q)
}

// quantile of a list, 0 if it is empty.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Clone(list)
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// runCapacityExchange plays two dispatchers a zone at each percentage, their failures at the target's size, and what
// costs grow with but the number of dispatchers.
func runCapacityExchange(p CapacityParams) (*CapacityResult, error) {
	s := newExchangeStudy(p)
	seeds := []uint64{p.Seed, p.Seed + 1}
	if p.Quick {
		seeds = seeds[:1]
	}
	s.noteStaleness(44)
	for _, percent := range p.Percents {
		for k, seed := range seeds {
			x := s.run(44, percent, percent, seed)
			if percent == 100 && k == 0 { // failures cost most of the time: once
				if x.instanceLoss, x.zoneLoss, x.regionLoss, x.partition = 30, 60, 30, 300; p.Quick {
					x.instanceLoss, x.zoneLoss, x.regionLoss, x.partition = 0, 15, 0, 10
				}
			}
			s.addRows(x, s.play(x))
		}
	}
	if !p.Quick {
		for _, part := range []int{10, 50, 200} {
			s.play(s.run(44, part, 100, p.Seed))
			s.play(s.run(44, 100, part, p.Seed))
		}
		s.runOtherPeriods(44)
		if err := s.fitLines(capacity.ByTeams, capacity.ByStarts, byPercent); err != nil {
			return nil, err
		}
	}
	s.addClaims()
	return s.result, nil
}

// runCapacityGrowth plays 5 to 600 dispatchers at the target's peak.
func runCapacityGrowth(p CapacityParams) (*CapacityResult, error) {
	s := newExchangeStudy(p)
	sizes := []int{5, 22, 44, 88, 176, 300, 600}
	if p.Quick {
		sizes = []int{5, 22}
	}
	for _, n := range sizes {
		x := s.run(n, 100, 100, p.Seed)
		if n > 100 {
			x.rest = 5
		}
		if !p.Quick && (s.owners > 0 || n < 100) {
			x.zoneLoss = 60
		}
		if n > 300 && s.owners == 0 { // all to all, a second takes three of a processor
			x.rest, x.load = 3, 15
		}
		got := s.play(x)
		s.note(x, got)
		if n == 300 {
			s.noteStaleness(n)
			s.addRows(x, got)
		}
	}
	if !p.Quick && s.owners > 0 {
		s.runOtherPeriods(300)
	}
	if !p.Quick {
		small, large := s.results[exchangeSize{44, 100, 100}][0], s.results[exchangeSize{600, 100, 100}][0]
		s.result.AtMost("sent by one of 600 dispatchers against one of 44", exchangeGrowth, large.loadSent/small.loadSent, "times")
		if err := s.fitLines(capacity.ByDispatchers); err != nil {
			return nil, err
		}
	}
	s.addClaims()
	return s.result, nil
}

func newExchangeStudy(p CapacityParams) *exchangeStudy {
	s := &exchangeStudy{params: p, owners: operatorconfig.DefaultOwners, result: &CapacityResult{}, results: map[exchangeSize][]exchangeResult{}}
	if p.Without == "homes" {
		s.owners = 0
	}
	return s
}

// noteStaleness says which staleness is played.
func (s *exchangeStudy) noteStaleness(n int) {
	s.result.Note(fmt.Sprintf("staleness that check wants at %d dispatchers; the file's default is %g", n, operatorconfig.DefaultStaleness.Seconds()), ownerSettings(n, s.owners).LeaseDuration, "s")
}

// byPercent is an axis on which all figures of the target grow together.
const byPercent = "percent of the target, 44 dispatchers"

// exchangeSize is what one play differs in from others: dispatchers, and percentages of the target's teams and starts.
type exchangeSize struct{ n, teams, starts int }

// exchangeStudy is what all plays together give.
type exchangeStudy struct {
	params  CapacityParams
	owners  int
	result  *CapacityResult
	results map[exchangeSize][]exchangeResult
}

// run is a play with the settings of the file. The work has so many teams, which start so many tasks.
func (s *exchangeStudy) run(n, teams, starts int, seed uint64) *exchangeRun {
	x := &exchangeRun{seed: seed, n: n, percent: teams, settings: ownerSettings(n, s.owners), rest: 20, load: 30}
	switch {
	case s.params.Quick:
		x.rest, x.load = 4, 15
	case n > 100: // each second costs as many times more
		x.rest, x.load = 10, 20
	}
	x.starts = starts
	x.load = max(x.load, min(x.moveBound()+1, 45)) // who does not move within the bound is to be seen not to
	return x
}

func (s *exchangeStudy) play(x *exchangeRun) exchangeResult {
	got := x.play()
	at := exchangeSize{x.n, x.percent, x.starts}
	if x.settings == ownerSettings(x.n, s.owners) {
		s.results[at] = append(s.results[at], got)
	}
	s.params.Log("%d dispatchers, %d %% of the teams, %d %% of the starts, round %g s, seed %d: took %.1f s; sent/received: rest %.0f/%.0f, load %.0f/%.0f, worst second %.0f, minute %.0f sent %.0f both B/s; %.2f at rest, %.2f ms/s; %.2f MB; news %.2f/%.2f s, %d late; moves %.2f s, %d not; over %g, double %g, joined %.1f s; moved has %.2f with a zone, %.2f with a region gone",
		x.n, x.percent, x.starts, x.settings.Period, x.seed, got.took.Seconds(), got.restSent, got.restReceived, got.loadSent, got.loadReceived, got.worstSecond, got.zoneLossSent, got.zoneLossWorst,
		got.restCPU, got.loadCPU, got.heap/1e6, quantile(got.nearDelays, 0.99), quantile(got.farDelays, 0.99), got.lateUpdates, quantile(got.moveTimes, 1), got.unmoved, got.overAllotted, got.overcounted, got.convergedAfter, got.zoneLossShare, got.regionLossShare)
	return got
}

// addRows holds a play against the target.
func (s *exchangeStudy) addRows(x *exchangeRun, got exchangeResult) {
	at, budget := fmt.Sprintf(" at %d dispatchers", x.n), capacity.Target
	add := func(kind capacity.Kind, line, what string, bound, measured float64, unit string) {
		r := capacity.AtMost(line, x.percent, what+at, bound, measured, unit, capacity.VirtualTime)
		r.Kind = kind
		if x.settings != ownerSettings(x.n, s.owners) {
			r.Setting = fmt.Sprintf("a round of %g s", x.settings.Period)
		}
		s.result.AddRows(r)
	}
	sum := capacity.Kind("")
	if x.n == 44 { // two a zone: the budget is added up there
		sum = capacity.Counts
	}
	when := func(w capacity.When) *capacity.Row {
		r := &s.result.Rows[len(s.result.Rows)-1]
		r.When = w
		return r
	}
	add(sum, capacity.Bytes, "counts and loans, sent and received, mean of the peak", budget.Bytes, got.loadSent+got.loadReceived, "B/s")
	add("", capacity.Bytes, "the same at rest", budget.Bytes, got.restSent+got.restReceived, "B/s")
	add(sum, capacity.Bytes, "the same, the worst second of any dispatcher", budget.Bytes, got.worstSecond, "B/s")
	when(capacity.Second).Shown = true
	if x.zoneLoss > 0 {
		add(sum, capacity.Bytes, "the same, "+x.zoneLossName()+" a zone went, the worst dispatcher", budget.Bytes, got.zoneLossWorst, "B/s")
		when(capacity.Minute)
	}
	add(sum, capacity.Core, "counts and loans without sockets, mean of the peak", budget.Core, got.loadCPU/10, "%")
	add(sum, capacity.Memory, "counts and loans, heap", budget.Memory, got.heap/1e6, "MB")
	times := func(what string, bound float64, list []float64, q float64, missing int) {
		took := quantile(list, q)
		if missing > 0 { // as long as was waited
			took = max(took, x.load)
		}
		add("", capacity.Teams, what, bound, took, "s")
		r := &s.result.Rows[len(s.result.Rows)-1]
		if len(list) == 0 && missing == 0 {
			r.How = capacity.NotMeasured
		}
		r.Shown = q < 1 && len(list) < exchangeMinSamples // one late one would be the figure: all plays are judged together
	}
	times("news of a start is where its team enters, in the same region, 99 of 100", exchangeNearDelay, got.nearDelays, 0.99, 0)
	times("news of a start is where its team enters, in other regions, 99 of 100", exchangeFarDelay, got.farDelays, 0.99, got.lateUpdates)
	times("a team that moves to one zone has its reservation there, the slowest of ten", x.moveBound(), got.moveTimes, 1, got.unmoved)
	add("", capacity.Teams, "the sum of all slices passes the reservation by", 0, got.overAllotted, "part")
	if x.instanceLoss > 0 {
		for _, line := range []string{capacity.Failures, capacity.Restarts} {
			add("", line, fmt.Sprintf("counts and loans, sent while one dispatcher is gone for %g s and comes back, mean", x.instanceLoss), exchangeZoneLossSent, got.instanceLossSent, "B/s")
			add("", line, "slots counted that nobody started, over that", 0, got.overcounted, "slots")
		}
		s.result.AddRows(shownRow(capacity.AtLeast(capacity.Failures, x.percent, "a team that moves to one zone meanwhile has of what it asks for, the least of ten"+at, 1, got.instanceLossShare, "part", capacity.VirtualTime)))
	}
	if x.zoneLoss > 0 {
		add("", capacity.ZoneLoss, "counts and loans, sent in "+x.zoneLossName()+" a zone went, mean", exchangeZoneLossSent, got.zoneLossSent, "B/s")
		s.result.AddRows(shownRow(capacity.AtLeast(capacity.ZoneLoss, x.percent, "a team that moves to one zone while another is gone has of what it asks for, the least of ten"+at, 1, got.zoneLossShare, "part", capacity.VirtualTime)))
		add("", capacity.ZoneLoss, "slots counted that nobody started, over a zone's loss and its restart", 0, got.overcounted, "slots")
	}
	if x.regionLoss > 0 {
		s.result.AddRows(shownRow(capacity.AtLeast(capacity.ZoneLoss, x.percent, "the same, a region gone"+at, 1, got.regionLossShare, "part", capacity.VirtualTime)))
	}
	if x.partition > 0 {
		add("", capacity.Links, fmt.Sprintf("the sum of all slices passes the reservation, two regions apart for %g s, by", x.partition), 0, got.overAllotted, "part")
		add("", capacity.Links, "all count the same after they are joined and work has ended, within", exchangeConvergence, got.convergedAfter, "s")
	}
}

// zoneLossName names the time for which a zone is gone.
func (x *exchangeRun) zoneLossName() string {
	if x.zoneLoss == 60 {
		return "the minute after"
	}
	return fmt.Sprintf("the %g s after", x.zoneLoss)
}

// moveBound is the time within which a team that moves is to have its reservation where it went: as stated, and
// for some seconds more, in which its old demand is believed.
func (x *exchangeRun) moveBound() float64 {
	if x.settings.Owners > 0 { // what is believed is in it
		return x.settings.Bounds(x.n, exchangeMoveRate, 10).ShiftDelay
	}
	return x.settings.Bounds(x.n, 0, 10).ShiftDelay + exchangeStaleDemand
}

// runOtherPeriods plays what a longer round mends at so many dispatchers.
func (s *exchangeStudy) runOtherPeriods(n int) {
	for _, period := range []float64{0.5, 2} {
		x := s.run(n, 100, 100, s.params.Seed)
		x.settings.Period = period
		x.settings = withValidLease(x.settings)
		s.addRows(x, s.play(x))
	}
}

// fitLines lays a line through what was played, for each cost and each of these axes.
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
		for _, l := range lines {
			var points []capacity.Point
			for at, list := range s.results {
				if x, ok := axis.x(at); ok {
					for _, got := range list {
						if y := l.of(got); !math.IsNaN(y) {
							points = append(points, capacity.Point{X: x, Y: y})
						}
					}
				}
			}
			slices.SortFunc(points, func(a, b capacity.Point) int { return cmp.Or(cmp.Compare(a.X, b.X), cmp.Compare(a.Y, b.Y)) })
			if axis.by == capacity.ByDispatchers {
				curve := report.Line{Name: "virtual time"}
				for _, q := range points {
					curve.X, curve.Y = append(curve.X, q.X), append(curve.Y, q.Y)
				}
				s.result.Plots = append(s.result.Plots, report.Plot{Title: l.what, XLabel: axis.by, YLabel: l.unit, LogX: true, Lines: []report.Line{curve}})
			}
			if err := s.result.AddSlope(l.what, axis.by, l.unit, capacity.VirtualTime, l.kind, points); errors.Is(err, capacity.ErrFew) {
				s.params.Log("%s by %s: too few sizes have the figure", l.what, axis.by)
			} else if err != nil {
				return err
			}
		}
	}
	return nil
}

// note puts a size that is neither 44 nor 300 beside the claims.
func (s *exchangeStudy) note(x *exchangeRun, got exchangeResult) {
	name := fmt.Sprintf("%d dispatchers, seed %d: ", x.n, x.seed)
	s.result.Note(name+"sent at rest", got.restSent, "B/s")
	s.result.Note(name+"sent at the peak", got.loadSent, "B/s")
	if x.zoneLoss > 0 {
		s.result.Note(name+"sent in the minute after a zone went", got.zoneLossSent, "B/s")
	}
	s.result.Note(name+"the sum of all slices passes the reservation by", got.overAllotted, "part")
	s.result.Note(name+"processor", got.loadCPU, "ms/s")
	s.result.Note(name+"news in other regions, 99 of 100", quantile(got.farDelays, 0.99), "s")
}

// addClaims states what must hold at every size that was played, and what the target's size must not pass.
func (s *exchangeStudy) addClaims() {
	var over, double, sent, minute float64
	var near, far []float64
	late := 0
	for at, list := range s.results {
		for _, got := range list {
			over, double = max(over, got.overAllotted), max(double, got.overcounted)
			near, far = append(near, got.nearDelays...), append(far, got.farDelays...)
			for range got.lateUpdates { // as slow as can be
				far = append(far, exchangeUndelivered)
			}
			if at.teams == 100 && at.starts == 100 && at.n >= 44 {
				sent, minute = max(sent, got.loadSent), max(minute, got.zoneLossSent)
			}
		}
	}
	f := s.result
	f.AtMost("the sum of all slices passes the reservation by", 0, over, "part")
	f.AtMost("slots counted that nobody started", 0, double, "slots")
	if sent > 0 { // of 44 and more
		f.AtMost("sent a second by a dispatcher, mean of the target's peak", exchangeSent, sent, "B/s")
	}
	if minute > 0 {
		f.AtMost("sent a second by a dispatcher, in the minute after a zone went", exchangeZoneLossSent, minute, "B/s")
	}
	seen := len(near) + len(far)
	for _, x := range [][]float64{near, far} {
		for _, took := range x {
			if took > exchangeFarDelay {
				late++
			}
		}
	}
	f.AtMost("news is known within a region, 99 of 100", exchangeNearDelay, quantile(near, 0.99), "s")
	f.AtMost("news is known in other regions, 99 of 100", exchangeFarDelay, quantile(far, 0.99), "s")
	if part := float64(late) / float64(max(seen, 1)); seen >= 1/exchangeLateFraction { // of fewer one in a thousand can't be told
		f.AtMost("part of the news that took over 4 s, or did not come", exchangeLateFraction, part, "part")
	} else {
		f.Note("part of the news that took over 4 s, or did not come", part, "part")
	}
	f.AtLeast("news that was waited for", exchangeMinSamples, float64(seen), "times")
	f.AddRows(capacity.AtMost(capacity.Teams, 100, "news of a start in the same region, 99 of 100 of all plays", exchangeNearDelay, quantile(near, 0.99), "s", capacity.VirtualTime),
		capacity.AtMost(capacity.Teams, 100, "news of a start in other regions, 99 of 100 of all plays", exchangeFarDelay, quantile(far, 0.99), "s", capacity.VirtualTime))
}

package experiments

import (
	"fmt"
	"math"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/shard/drill"
	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/lab/report"
)

var versionsPart = CapacityPart{
	Name:    "versions",
	About:   "Versions of the rules, leases, voters and seats of shards: the product's own code in virtual time, held against sockets.",
	Without: []string{"voters-apart"},
	Run:     runCapacityVersions,
}

// versionsSocketSize is the cluster size that runs both in virtual time and on sockets; versionsSize is the size at
// which the budget is summed.
const (
	versionsSocketSize  = 22
	versionsSize        = 44 + versionsVoters
	versionsRegionDelay = 0.02 // s, one way, between regions, unless stated otherwise
	versionsTolerance   = 0.15 // fraction by which virtual time may differ from sockets
)

// versionsLeaseSettings are the lease settings of deploy/regions.hcl, by the delay between regions in ms.
var versionsLeaseSettings = map[int]lease.Settings{
	20:  {LeaseSeconds: 3, RenewIntervalSeconds: 0.5, NetworkDelaySeconds: 0.04, ClockDrift: 0.01, PollIntervalSeconds: 0.05},
	80:  {LeaseSeconds: 3, RenewIntervalSeconds: 0.5, NetworkDelaySeconds: 0.1, ClockDrift: 0.01, PollIntervalSeconds: 0.05},
	150: {LeaseSeconds: 3.6, RenewIntervalSeconds: 0.5, NetworkDelaySeconds: 0.17, ClockDrift: 0.01, PollIntervalSeconds: 0.05},
}

// versionsFast are the shortest valid settings for 20 ms between regions that have room for a period of 0.1 s.
var versionsFast = lease.Settings{LeaseSeconds: 0.8, RenewIntervalSeconds: 0.1, NetworkDelaySeconds: 0.04, ClockDrift: 0.01, PollIntervalSeconds: 0.05}

// settingName describes settings that are not the defaults; empty for the defaults.
func settingName(s lease.Settings) string {
	if s == lease.DefaultSettings {
		return ""
	}
	return fmt.Sprintf("lease %g s, period %g s, delay %g s", s.LeaseSeconds, s.RenewIntervalSeconds, s.NetworkDelaySeconds)
}

type versionsStudy struct {
	CapacityParams
	result         *CapacityResult
	close          bool
	neverInForce   int        // concurrent changes that never came into force
	latest         [2]float64 // longest time of a change made alone, as a fraction of the stated bound: loose, exclusive
	noFirstVersion int        // clusters with valid settings that reached no first version
}

func (s *versionsStudy) run(seed uint64, percent, n int, delay float64, settings lease.Settings) *versionsRun {
	x := &versionsRun{seed: seed, close: s.close, n: n, regionDelay: delay, leaseSettings: settings, revokePollInterval: revokePollSeconds, load: s.Load(percent), idleSpan: 10, singleChanges: 3, concurrentChanges: capacity.AtOnce}
	if s.Quick {
		x.idleSpan, x.singleChanges = 5, 2
	}
	return x
}

// statedBound returns the time in seconds within which a change must be in force, counted from its proposal. It
// includes the way to the leader and its quorum, which Bounds does not count.
func statedBound(s lease.Settings, exclusive bool) float64 {
	b := s.Bounds()
	if exclusive {
		return 4*s.NetworkDelaySeconds + 2*b.AdvanceSeconds + b.PropagationSeconds
	}
	return 4*s.NetworkDelaySeconds + b.PropagationSeconds
}

// play executes a run and compares its changes with the stated bounds.
func (s *versionsStudy) play(x *versionsRun) *versionsFigures {
	began := time.Now()
	if err := x.leaseSettings.Validate(); err != nil || !x.measure() {
		s.noFirstVersion++
		s.Log("versions: %d instances, %g s between regions, %+v: no first version (%v)", x.n, x.regionDelay, x.leaseSettings, err)
		return &x.figures
	}
	f := &x.figures
	for k := range f.single {
		for _, took := range f.single[k] {
			s.latest[k] = max(s.latest[k], took/statedBound(x.leaseSettings, k == 1))
		}
		for _, took := range f.concurrent[k] {
			if took >= concurrentChangesTimeout {
				s.neverInForce++
			}
		}
	}
	s.Log("versions: %d %%, %d instances, %g ms between regions, %s: loose %.2f, exclusive %.2f, concurrent %.1f and %.1f s; the run took %.1f s", x.load.Percent, x.n, 1000*x.regionDelay,
		settingName(x.leaseSettings), f.single[0], f.single[1], f.concurrent[0], f.concurrent[1], time.Since(began).Seconds())
	return f
}

// fractionInTime returns the fraction of a day's changes that are in force everywhere in time, given the times of
// changes made alone and of concurrent changes.
func fractionInTime(alone, many []float64) float64 {
	fraction := func(list []float64) float64 {
		n := 0
		for _, x := range list {
			if x <= capacity.Target.InForce {
				n++
			}
		}
		return float64(n) / float64(len(list))
	}
	return (1-capacity.Together)*fraction(alone) + capacity.Together*fraction(many)
}

// addRows compares a run with the target.
func (s *versionsStudy) addRows(x *versionsRun, f *versionsFigures) {
	if len(f.single[1]) == 0 || len(f.concurrent[1]) == 0 {
		return
	}
	delaySuffix := fmt.Sprintf(", %g ms between regions", 1000*x.regionDelay)
	suffix := fmt.Sprintf(" at %d dispatchers", x.n-versionsVoters)
	add := func(r capacity.Row) *capacity.Row {
		r.Setting = settingName(x.leaseSettings)
		s.result.AddRows(r)
		return &s.result.Rows[len(s.result.Rows)-1]
	}
	shown := x.regionDelay != versionsRegionDelay // the target names no delay, so only versionsRegionDelay is judged
	for k, kind := range []string{"loose", "exclusive"} {
		add(capacity.AtMost(capacity.InForce, x.load.Percent, "one "+kind+" change alone"+delaySuffix+suffix, capacity.Target.InForce, slices.Max(f.single[k]), "s", capacity.VirtualTime)).Shown = shown
		add(capacity.AtMost(capacity.InForce, x.load.Percent, "ten "+kind+" changes at once, the last"+delaySuffix+suffix, capacity.Target.InForce, slices.Max(f.concurrent[k]), "s", capacity.VirtualTime)).Shown = shown
	}
	add(capacity.AtLeast(capacity.Changes, x.load.Percent, "changes of a day that are in force everywhere within 4 s, all exclusive, a tenth of them ten at once"+delaySuffix+suffix, 1,
		fractionInTime(f.single[1], f.concurrent[1]), "part", capacity.VirtualTime)).Shown = shown
	if shown {
		return
	}
	// The budget's sum is for a dispatcher, at two per zone; voters run on machines of their own.
	kind := func(k capacity.Kind) capacity.Kind {
		if x.n != versionsSize || x.leaseSettings != lease.DefaultSettings {
			return ""
		}
		return k
	}
	peak := float64(x.load.Changes) / capacity.Day * 2 / (1 + capacity.Night) // changes per second at noon
	role, bytes, core, memory := roleDispatcher, capacity.Target.Bytes, capacity.Target.Core, capacity.Target.Memory
	whens := []capacity.When{capacity.Mean, capacity.Second, capacity.Minute}
	if x.leaseSettings != lease.DefaultSettings {
		whens = whens[:1]
	}
	for _, w := range whens {
		period := map[capacity.When]string{capacity.Mean: ", mean of the peak", capacity.Second: ", the worst second", capacity.Minute: ", the minute after a zone went"}[w]
		addBytes := func(k capacity.Kind, what string, v float64) {
			r := add(capacity.AtMost(capacity.Bytes, x.load.Percent, what+period+suffix, bytes, v, "B/s", capacity.VirtualTime))
			r.Kind, r.When, r.Shown = kind(k), w, w == capacity.Second
		}
		leases, seats := f.leaseRate(role), f.revokePollRate(role)
		if w == capacity.Minute {
			leases, seats = f.zoneLoss[0], f.zoneLoss[1]
		}
		addBytes(capacity.Agreement, "leases and pings, sent and received", leases)
		addBytes(capacity.Seats, "which shards to give away, asked once a second, sent and received", seats)
		v := peak * f.changeBytes[1][role]
		if w == capacity.Second {
			v = f.worstSecond
		}
		addBytes(capacity.Versions, "versions, all exclusive, sent and received", v)
	}
	if x.leaseSettings != lease.DefaultSettings {
		return
	}
	add(capacity.AtMost(capacity.Core, x.load.Percent, "leases, without sockets"+suffix, core, f.cpu[role]/10, "%", capacity.VirtualTime)).Kind = kind(capacity.Agreement)
	add(capacity.AtMost(capacity.Core, x.load.Percent, "versions, all exclusive, mean of the peak, without sockets"+suffix, core, peak*f.changeCPU[1][role]/10, "%", capacity.VirtualTime)).Kind = kind(capacity.Versions)
	add(capacity.AtMost(capacity.Memory, x.load.Percent, "rules, the last 64 versions of them, heap"+suffix, memory,
		(f.heap+lease.MaxHistoryLength*heapPerTable(x.load.Teams))/1e6, "MB", capacity.VirtualTime)).Kind = kind(capacity.Versions)
	for _, r := range []string{roleLeader, roleVoter} { // not dispatchers, so only shown
		row := add(capacity.AtMost(capacity.Bytes, x.load.Percent, r+", leases and versions, sent and received, mean of the peak"+suffix, bytes,
			total(f.sent[r])+total(f.received[r])+peak*f.changeBytes[1][r], "B/s", capacity.VirtualTime))
		row.Shown = true
		row = add(capacity.AtMost(capacity.Core, x.load.Percent, r+", leases and versions, mean of the peak, without sockets"+suffix, core, (f.cpu[r]+peak*f.changeCPU[1][r])/10, "%", capacity.VirtualTime))
		row.Shown = true
	}
}

// losses runs failures with a small rules table: the loss of each region, and of links between regions.
func (s *versionsStudy) losses(delayMS int, seeds []uint64) {
	set := versionsLeaseSettings[delayMS]
	bounds := set.Bounds()
	// An election takes up to 2 s, each step waits until what was granted before has expired, and then the last
	// step's result must reach all instances.
	maxDelay := 2 + bounds.AdvanceAfterElectionSeconds + bounds.AdvanceSeconds + bounds.PropagationSeconds + 4*set.NetworkDelaySeconds
	var worst, link, regionLapse, linkLapse float64
	allLeased := true
	play := func(seed uint64, fail func(x *versionsRun)) (loss versionsLoss) {
		x := s.run(seed, 10, versionsSize, float64(delayMS)/1000, set)
		loss, ok := x.measureLoss(func() { fail(x) })
		allLeased = allLeased && ok
		return loss
	}
	regions, links := []int{-1, 5}, [][2]int{{-1, 1}} // -1: the region of the leader
	if !s.Quick {
		regions, links = []int{-1, 0, 1, 2, 3, 4, 5}, [][2]int{{-1, 0}, {-1, 1}, {-1, 2}, {-1, 3}, {-1, 4}, {-1, 5}, {0, 5}, {1, 2}, {3, 4}}
	}
	if s.close {
		regions = []int{-1}
	}
	region := func(x *versionsRun, r int) int {
		if r < 0 {
			return x.at[x.leader()]
		}
		return r
	}
	for _, seed := range seeds {
		for _, r := range regions {
			loss := play(seed, func(x *versionsRun) { x.killRegion(region(x, r)) })
			worst, regionLapse = max(worst, loss.took), max(regionLapse, loss.longestUnleased)
		}
		for _, pair := range links {
			loss := play(seed, func(x *versionsRun) {
				p, q := region(x, pair[0]), region(x, pair[1])
				if p == q {
					q = (p + 1) % versionsVoters
				}
				x.sim.SetPartition(func(i, k int) bool { return x.at[i] == p && x.at[k] == q || x.at[i] == q && x.at[k] == p })
			})
			link, linkLapse = max(link, loss.took), max(linkLapse, loss.longestUnleased)
		}
	}
	suffix := fmt.Sprintf(", %d ms between regions", delayMS)
	s.result.AtMost("an exclusive version that is asked for as a region goes"+suffix, maxDelay, worst, "s")
	s.result.AtLeast("all that live have leases after each region's loss and each link's stop"+suffix, 1, map[bool]float64{true: 1}[allLeased], "(1: yes)")
	if delayMS == 20 {
		s.result.AtMost("nobody that lives is without a lease for longer than one lasts, a region gone"+suffix, set.LeaseSeconds, regionLapse, "s")
		s.result.AtMost("without a lease, a link between two regions stopped"+suffix, 0, linkLapse, "s")
	}
	s.result.Note("an exclusive version that is asked for as a link stops"+suffix, link, "s")
	s.result.Note("without a lease, at most, a region gone"+suffix, regionLapse, "s")
	s.result.Note("without a lease, at most, a link stopped"+suffix, linkLapse, "s")
	row := func(line, what string, bound, v float64, shown bool) {
		r := capacity.AtMost(line, 100, what+suffix+" at 44 dispatchers", bound, v, "s", capacity.VirtualTime)
		r.Shown, r.Setting = shown, settingName(set)
		s.result.AddRows(r)
	}
	row(capacity.ZoneLoss, "an exclusive change that is asked for as a whole region goes", capacity.Target.InForce, worst, true)
	row(capacity.Links, "an exclusive change that is asked for as two regions lose each other", capacity.Target.InForce, link, delayMS != 20)
	row(capacity.Links, "an instance is without a lease while two regions have lost each other", 0, linkLapse, delayMS != 20)
}

func runCapacityVersions(p CapacityParams) (*CapacityResult, error) {
	s := &versionsStudy{CapacityParams: p, result: &CapacityResult{}, close: p.Without == "voters-apart"}
	seeds := []uint64{p.Seed, p.Seed + 1, p.Seed + 2}
	if p.Quick {
		seeds = seeds[:1]
	}
	s.losses(20, seeds)
	if !s.close {
		for _, percent := range p.Percents {
			for _, seed := range seeds {
				x := s.run(seed, percent, versionsSize, versionsRegionDelay, lease.DefaultSettings)
				s.addRows(x, s.play(x))
				if p.Quick || seed != p.Seed {
					continue // results differ little between seeds
				}
				x = s.run(seed, percent, versionsSize, versionsRegionDelay, versionsFast)
				s.addRows(x, s.play(x))
			}
		}
		x := s.run(p.Seed, 10, 12, 0.15, versionsLeaseSettings[150]) // settings that are valid for long links must give leases
		x.concurrentChanges = 0
		s.play(x)
		if !p.Quick {
			s.losses(80, seeds)
			s.losses(150, seeds)
			if err := s.measureGrowth(seeds[:2]); err != nil {
				return nil, err
			}
			if err := s.compareSockets(); err != nil {
				return nil, err
			}
		}
		if err := s.measureShardMoves(); err != nil {
			return nil, err
		}
		f := s.result
		f.AtMost("clusters that came to no first version by figures that check takes", 0, float64(s.noFirstVersion), "clusters")
		f.AtMost("changes asked for at once that were not in force 120 s later", 0, float64(s.neverInForce), "changes")
		f.AtMost("a loose change alone, against what its figures state", 1, s.latest[0], "times")
		f.AtMost("an exclusive change alone, against what its figures state", 1, s.latest[1], "times")
	}
	return s.result, nil
}

// revokePollSeconds is the interval in seconds at which an instance asks which shards to give away, as in package
// service.
const revokePollSeconds = 1.0

// measureGrowth fits lines through costs by number of dispatchers, size of the table, delay between regions and
// number of concurrent changes.
func (s *versionsStudy) measureGrowth(seeds []uint64) error {
	type point struct {
		x float64
		f *versionsFigures
	}
	lines := []struct {
		what, unit string
		kind       capacity.Kind
		of         func(f *versionsFigures) float64
	}{
		{"an exclusive change alone, in force everywhere", "s", "", func(f *versionsFigures) float64 { return mean(f.single[1]) }},
		{"a loose change alone, in force everywhere", "s", "", func(f *versionsFigures) float64 { return mean(f.single[0]) }},
		{"ten exclusive changes at once, the last", "s", "", func(f *versionsFigures) float64 { return slices.Max(f.concurrent[1]) }},
		{"leases, a dispatcher, sent and received", "B/s", capacity.Agreement, func(f *versionsFigures) float64 { return f.leaseRate(roleDispatcher) }},
		{"leases, a voter, sent and received", "B/s", capacity.Agreement, func(f *versionsFigures) float64 { return f.leaseRate(roleVoter) }},
		{"leases, the leader, sent and received", "B/s", capacity.Agreement, func(f *versionsFigures) float64 { return f.leaseRate(roleLeader) }},
		{"an exclusive change, a dispatcher, sent and received", "B", capacity.Versions, func(f *versionsFigures) float64 { return f.changeBytes[1][roleDispatcher] }},
		{"an exclusive change, a voter, sent and received", "B", capacity.Versions, func(f *versionsFigures) float64 { return f.changeBytes[1][roleVoter] }},
		{"an exclusive change, the leader, sent and received", "B", capacity.Versions, func(f *versionsFigures) float64 { return f.changeBytes[1][roleLeader] }},
		{"leases, the leader, processor without sockets", "ms/s", capacity.Agreement, func(f *versionsFigures) float64 { return f.cpu[roleLeader] }},
		{"an exclusive change, a dispatcher, processor without sockets", "ms", capacity.Versions, func(f *versionsFigures) float64 { return f.changeCPU[1][roleDispatcher] }},
		{"an exclusive change, the leader, processor without sockets", "ms", capacity.Versions, func(f *versionsFigures) float64 { return f.changeCPU[1][roleLeader] }},
	}
	slopes := func(by string, points []point) error {
		for _, series := range lines {
			var list []capacity.Point
			for _, p := range points {
				if len(p.f.concurrent[1]) > 0 {
					list = append(list, capacity.Point{X: p.x, Y: series.of(p.f)})
				}
			}
			if err := s.result.AddSlope(series.what, by, series.unit, capacity.VirtualTime, series.kind, list); err != nil {
				return err
			}
		}
		return nil
	}
	var sizes, tables, delays, batches []point
	for k, seed := range seeds {
		for _, n := range []int{2, 17, 44, 100, 300} {
			if n == 300 && k > 0 {
				continue
			}
			x := s.run(seed, 100, n+versionsVoters, versionsRegionDelay, lease.DefaultSettings)
			f := s.play(x)
			sizes = append(sizes, point{float64(n), f})
			if n == 300 {
				s.addRows(x, f)
			}
			if n == 44 {
				tables, delays = append(tables, point{float64(capacity.Target.Teams), f}), append(delays, point{1000 * versionsRegionDelay, f})
			}
		}
		for _, n := range []int{41, 100, 205, 820} {
			x := s.run(seed, 100, versionsSize, versionsRegionDelay, lease.DefaultSettings)
			x.teams = n
			tables = append(tables, point{float64(n), s.play(x)})
		}
		for _, ms := range []int{1, 80, 150} {
			set, named := versionsLeaseSettings[ms]
			if !named {
				set = lease.DefaultSettings
			}
			x := s.run(seed, 100, versionsSize, float64(ms)/1000, set)
			f := s.play(x)
			delays = append(delays, point{float64(ms), f})
			s.addRows(x, f)
		}
		for _, n := range []int{1, 2, 3, 5, 10} {
			x := s.run(seed, 100, versionsSize, versionsRegionDelay, lease.DefaultSettings)
			x.teams, x.concurrentChanges = 41, n
			batches = append(batches, point{float64(n), s.play(x)})
		}
	}
	slices.SortFunc(delays, func(a, b point) int { return int(a.x - b.x) })
	if err := slopes(capacity.ByDispatchers, sizes); err != nil {
		return err
	}
	if err := slopes(capacity.ByTable, tables); err != nil {
		return err
	}
	lines = lines[:3]
	if err := slopes("ms one way between regions", delays); err != nil {
		return err
	}
	lines = lines[2:]
	lines[0].what = "exclusive changes at once, the last in force everywhere"
	if err := slopes("changes at once", batches); err != nil {
		return err
	}
	var plot report.Plot
	plot.Title, plot.XLabel, plot.YLabel = "Exclusive changes asked for at once: the last is in force everywhere", "changes", "s"
	line := report.Line{Name: "virtual time, 49 instances"}
	for _, p := range batches {
		line.X, line.Y = append(line.X, p.x), append(line.Y, slices.Max(p.f.concurrent[1]))
	}
	plot.Lines = append(plot.Lines, line)
	s.result.Plots = append(s.result.Plots, plot)
	return nil
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / math.Max(1, float64(len(list)))
}

// compareSockets runs the same cluster on sockets and in virtual time, and claims that their figures are close.
func (s *versionsStudy) compareSockets() error {
	load, set := s.Load(100), lease.DefaultSettings
	regions := placeInstances(load, versionsSocketSize)
	regionDelay := time.Duration(versionsRegionDelay * float64(time.Second))
	members, err := startAgentGroup(s.Params, versionsSocketSize, versionsVoters, set, func(i, k int) time.Duration {
		if regions[i] == regions[k] {
			return 0
		}
		return regionDelay
	})
	if err != nil {
		return err
	}
	defer members.close()
	members.loops[0].Propose(initialTable(load.Teams))
	if !members.waitForVersion(1, 30*time.Second) {
		return fmt.Errorf("no first version on sockets in 30 s")
	}
	time.Sleep(5 * time.Second)
	meanBytes := func() (bytes float64) { // sent and received, mean of an instance
		for i := range versionsSocketSize {
			for _, t := range members.relay.Traffic()[i] {
				bytes += (t.Sent.Bytes + t.Received.Bytes) / versionsSocketSize
			}
		}
		return bytes
	}
	const span, plays = 10.0, 6
	startBytes, startCPU := meanBytes(), processTime()
	time.Sleep(time.Duration(span * float64(time.Second)))
	restBytes, cpu := (meanBytes()-startBytes)/span, (processTime()-startCPU)/span/versionsSocketSize
	var delays [2][]float64
	var changeBytes float64
	for n := range 2 * plays {
		from, b := time.Now(), meanBytes()
		members.loops[(5*n)%versionsSocketSize].Propose(changeTeam(n, float64(100+n), n%2 == 1))
		if !members.waitForVersion(uint64(n+2), 20*time.Second) {
			return fmt.Errorf("version %d is not in force on sockets after 20 s", n+2)
		}
		delays[n%2] = append(delays[n%2], time.Since(from).Seconds())
		time.Sleep(2 * time.Second)
		if n%2 == 1 {
			changeBytes += (meanBytes() - b - restBytes*time.Since(from).Seconds()) / plays
		}
	}
	x := s.run(s.Seed, 100, versionsSocketSize, versionsRegionDelay, set)
	x.singleChanges, x.revokePollInterval = plays, 0
	f := s.play(x)
	virtualRest, virtualChange := 0.0, 0.0
	for i := range versionsSocketSize {
		r := roleDispatcher
		switch {
		case i == 0:
			r = roleLeader
		case i < versionsVoters:
			r = roleVoter
		}
		virtualRest += (total(f.sent[r]) + total(f.received[r])) / versionsSocketSize
		virtualChange += f.changeBytes[1][r] / versionsSocketSize
	}
	compare := func(name string, virtual, real float64) {
		s.result.AtMost(fmt.Sprintf("%s, %d instances, virtual time against sockets, apart by", name, versionsSocketSize), versionsTolerance, math.Abs(virtual/real-1), "part")
		s.result.Note(name+" on sockets", real, "")
		s.result.Note(name+" in virtual time", virtual, "")
	}
	compare("bytes at rest", virtualRest, restBytes)
	compare("bytes for an exclusive change", virtualChange, changeBytes)
	compare("an exclusive change alone, mean", mean(f.single[1]), mean(delays[1]))
	compare("a loose change alone, mean", mean(f.single[0]), mean(delays[0]))
	s.result.Note("processor at rest on sockets, with the relay's, an instance", 1000*cpu, "ms/s")
	r := capacity.AtMost(capacity.Core, 100, fmt.Sprintf("leases with sockets, and the relay's part, mean of %d instances, voters too", versionsSocketSize), capacity.Target.Core, 100*cpu, "%", capacity.OnSockets)
	r.Shown = true
	s.result.AddRows(r)
	return nil
}

// measureShardMoves simulates the loss and return of shard owners, usually twelve on machines of their own. It uses
// package drill, which runs the shard code with modelled delays, rates and agreement steps.
func (s *versionsStudy) measureShardMoves() error {
	model := drill.DefaultModel
	model.Delay, model.Lease = versionsRegionDelay, lease.DefaultSettings.LeaseSeconds
	model.AgreementStep = lease.DefaultSettings.Bounds().AdvanceSeconds / 1.5 // measured: an exclusive change takes three of these steps
	type size struct{ seats, shards, entries int }
	usualSize := size{12, 128, 2000}
	play := func(shape size) (lost, regained drill.Result, err error) {
		if lost, err = model.Simulate(shape.seats, shape.shards, shape.entries, 1); err == nil {
			regained, err = model.Grow(shape.seats-1, shape.seats, shape.shards, shape.entries)
		}
		return lost, regained, err
	}
	lost, regained, err := play(usualSize)
	if err != nil {
		return err
	}
	// All machines fail at the same rate, so the expected number of lost owners follows from their number.
	load := s.Load(100)
	const dispatchers, aside = 44, 17
	lostSeats := 0
	for _, e := range load.MachineEvents(dispatchers + aside) {
		if e.Machine >= load.Figures.Workers+dispatchers+versionsVoters {
			lostSeats++
		}
	}
	all := float64(load.Figures.Workers + dispatchers + aside)
	s.result.Note("voters that go on an ordinary day, expected", (load.Failures+load.Restarts)*versionsVoters/all, "machines")
	s.result.Note("leaders that go on an ordinary day, expected", (load.Failures+load.Restarts)/all, "machines")
	s.result.Note("seats that go on the day that was drawn", float64(lostSeats), "machines")
	expected := (load.Failures + load.Restarts) * float64(usualSize.seats) / all
	s.result.Note("seats that go on an ordinary day, expected", expected, "machines")
	s.result.Note("shards seated anew for one, without a copy", float64(lost.Assignments), "shards")
	s.result.Note("shards nobody's for, one seat gone", lost.OwnedAfter, "s")
	s.result.Note("shards moved as it comes back, with a copy", float64(regained.Transfers), "shards")
	s.result.Note("a shard sealed as it moves, the longest", regained.SealedFor[2], "s")
	s.result.Note("written by an instance for both", lost.MeanBytes+regained.MeanBytes, "B")
	s.result.Note("shards nobody's, shard-seconds of a day, expected", expected*(float64(lost.Assignments)*lost.OwnedAfter+float64(regained.Transfers)*regained.SealedFor[0]), "shard-seconds")
	row := capacity.AtMost(capacity.Restarts, 100, "part of the shard-time of a day in which a shard is nobody's or sealed", 0.001,
		expected*(float64(lost.Assignments)*lost.OwnedAfter+float64(regained.Transfers)*regained.SealedFor[0])/capacity.Day/float64(usualSize.shards), "part", capacity.VirtualTime)
	row.Shown = true // the target names no bound, so the row is only shown
	s.result.AddRows(row)
	s.result.AtMost("jobs of living holders that no seat knows after it", 0, float64(lost.LostJobs+regained.LostJobs), "jobs")
	s.result.AtMost("shards that change seats beyond the fewest", 0, float64(lost.Assignments+lost.Transfers-lost.MinimumChanges+regained.Transfers-regained.MinimumChanges), "shards")
	if s.Quick {
		return nil
	}
	axes := []struct {
		by    string
		sizes []size
		x     func(size) float64
	}{
		{"jobs queued", []size{{12, 128, 500}, {12, 128, 2000}, {12, 128, 8000}, {12, 128, 32000}}, func(shape size) float64 { return float64(shape.entries) }},
		{"seats, ten shards each", []size{{6, 60, 2000}, {12, 120, 2000}, {24, 240, 2000}, {48, 480, 2000}}, func(shape size) float64 { return float64(shape.seats) }},
	}
	for _, axis := range axes {
		lines := map[string][]capacity.Point{}
		for _, shape := range axis.sizes {
			lost, regained, err := play(shape)
			if err != nil {
				return err
			}
			for what, value := range map[string]float64{
				"a seat gone: shards seated anew": float64(lost.Assignments), "a seat gone: jobs told": float64(lost.Records),
				"a seat gone: written by an instance, B": lost.MeanBytes, "a seat gone: until its shards are seated, s": lost.OwnedAfter, "a seat gone: until all is known, s": lost.KnownAfter,
				"a seat back: shards moved": float64(regained.Transfers), "a seat back: written by an instance, B": regained.MeanBytes, "a seat back: until all are moved, s": regained.OwnedAfter,
			} {
				lines[what] = append(lines[what], capacity.Point{X: axis.x(shape), Y: value})
			}
		}
		for _, what := range sortedNames(lines) {
			if err := s.result.AddSlope(what, axis.by, "", capacity.VirtualTime, capacity.Seats, lines[what]); err != nil {
				return err
			}
		}
	}
	return nil
}

func sortedNames(m map[string][]capacity.Point) (list []string) {
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// processTime returns the CPU time of this process, in seconds.
func processTime() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t) != nil {
		return 0
	}
	return float64(t.Sec) + float64(t.Nsec)/1e9
}

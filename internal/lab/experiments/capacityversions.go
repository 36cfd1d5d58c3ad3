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

// versionsFew is the size that virtual time and sockets both play; versionsMost that of the sums.
const (
	versionsFew   = 22
	versionsMost  = 44 + versionsVoters
	versionsApart = 0.02 // s, one way, from region to region, where nothing else is said
	versionsClose = 0.15 // part by which virtual time may differ from sockets
)

// versionsRegions are the figures of deploy/regions.hcl, by the delay between regions in ms.
var versionsRegions = map[int]lease.Settings{
	20:  {LeaseSeconds: 3, RenewIntervalSeconds: 0.5, NetworkDelaySeconds: 0.04, ClockDrift: 0.01, PollIntervalSeconds: 0.05},
	80:  {LeaseSeconds: 3, RenewIntervalSeconds: 0.5, NetworkDelaySeconds: 0.1, ClockDrift: 0.01, PollIntervalSeconds: 0.05},
	150: {LeaseSeconds: 3.6, RenewIntervalSeconds: 0.5, NetworkDelaySeconds: 0.17, ClockDrift: 0.01, PollIntervalSeconds: 0.05},
}

// versionsFast are the shortest figures that check takes for 20 ms between regions with room for a period of 0.1 s.
var versionsFast = lease.Settings{LeaseSeconds: 0.8, RenewIntervalSeconds: 0.1, NetworkDelaySeconds: 0.04, ClockDrift: 0.01, PollIntervalSeconds: 0.05}

// settingName names figures that are not the defaults.
func settingName(s lease.Settings) string {
	if s == lease.DefaultSettings {
		return ""
	}
	return fmt.Sprintf("lease %g s, period %g s, delay %g s", s.LeaseSeconds, s.RenewIntervalSeconds, s.NetworkDelaySeconds)
}

type versionsStudy struct {
	CapacityParams
	f     *CapacityFound
	close bool
	lost  int        // wishes at once that never were in force
	late  [2]float64 // of what was stated, the most that a change alone took: loose, exclusive
	never int        // clusters that did not come to a first version by settings that check takes
}

func (s *versionsStudy) run(seed uint64, percent, n int, apart float64, set lease.Settings) *versionsRun {
	x := &versionsRun{seed: seed, close: s.close, n: n, apart: apart, set: set, seats: askSeats, load: s.Load(percent), rest: 10, plays: 3, many: capacity.AtOnce}
	if s.Quick {
		x.rest, x.plays = 5, 2
	}
	return x
}

// stated is what the figures promise for a change, from its asking on: the way to the leader and its quorum
// comes before what Bounds counts from.
func stated(s lease.Settings, exclusive bool) float64 {
	b := s.Bounds()
	if exclusive {
		return 4*s.NetworkDelaySeconds + 2*b.AdvanceSeconds + b.PropagationSeconds
	}
	return 4*s.NetworkDelaySeconds + b.PropagationSeconds
}

// play plays a run, and holds it against what is stated.
func (s *versionsStudy) play(x *versionsRun) *versionsFound {
	began := time.Now()
	if err := x.set.Validate(); err != nil || !x.play() {
		s.never++
		s.Log("versions: %d instances, %g s apart, %+v: no first version (%v)", x.n, x.apart, x.set, err)
		return &x.found
	}
	f := &x.found
	for k := range f.alone {
		for _, took := range f.alone[k] {
			s.late[k] = max(s.late[k], took/stated(x.set, k == 1))
		}
		for _, took := range f.many[k] {
			if took >= atOnceMost {
				s.lost++
			}
		}
	}
	s.Log("versions: %d %%, %d instances, %g ms apart, %s: loose %.2f, exclusive %.2f, at once %.1f and %.1f s; %.1f s to play", x.load.Percent, x.n, 1000*x.apart,
		settingName(x.set), f.alone[0], f.alone[1], f.many[0], f.many[1], time.Since(began).Seconds())
	return f
}

// inTime is the part of a day's changes that is in force everywhere in time, by how long each of those alone and
// each of those at once took.
func inTime(alone, many []float64) float64 {
	part := func(list []float64) float64 {
		n := 0
		for _, x := range list {
			if x <= capacity.Target.InForce {
				n++
			}
		}
		return float64(n) / float64(len(list))
	}
	return (1-capacity.Together)*part(alone) + capacity.Together*part(many)
}

// rows holds a play against the target.
func (s *versionsStudy) rows(x *versionsRun, f *versionsFound) {
	if len(f.alone[1]) == 0 || len(f.many[1]) == 0 {
		return
	}
	way := fmt.Sprintf(", %g ms between regions", 1000*x.apart)
	at := fmt.Sprintf(" at %d dispatchers", x.n-versionsVoters)
	add := func(r capacity.Row) *capacity.Row {
		r.Setting = settingName(x.set)
		s.f.Row(r)
		return &s.f.Rows[len(s.f.Rows)-1]
	}
	shown := x.apart != versionsApart // the target names no delay
	for k, kind := range []string{"loose", "exclusive"} {
		add(capacity.AtMost(capacity.InForce, x.load.Percent, "one "+kind+" change alone"+way+at, capacity.Target.InForce, slices.Max(f.alone[k]), "s", capacity.VirtualTime)).Shown = shown
		add(capacity.AtMost(capacity.InForce, x.load.Percent, "ten "+kind+" changes at once, the last"+way+at, capacity.Target.InForce, slices.Max(f.many[k]), "s", capacity.VirtualTime)).Shown = shown
	}
	add(capacity.AtLeast(capacity.Changes, x.load.Percent, "changes of a day that are in force everywhere within 4 s, all exclusive, a tenth of them ten at once"+way+at, 1,
		inTime(f.alone[1], f.many[1]), "part", capacity.VirtualTime)).Shown = shown
	if shown {
		return
	}
	// The sum is that of a dispatcher, at two a zone; voters stand on machines set aside.
	kind := func(k capacity.Kind) capacity.Kind {
		if x.n != versionsMost || x.set != lease.DefaultSettings {
			return ""
		}
		return k
	}
	peak := float64(x.load.Changes) / capacity.Day * 2 / (1 + capacity.Night) // changes a second at noon
	d, bytes, core, memory := roleDispatcher, capacity.Target.Bytes, capacity.Target.Core, capacity.Target.Memory
	whens := []capacity.When{capacity.Mean, capacity.Second, capacity.Minute}
	if x.set != lease.DefaultSettings {
		whens = whens[:1]
	}
	for _, w := range whens {
		said := map[capacity.When]string{capacity.Mean: ", mean of the peak", capacity.Second: ", the worst second", capacity.Minute: ", the minute after a zone went"}[w]
		one := func(k capacity.Kind, what string, v float64) {
			r := add(capacity.AtMost(capacity.Bytes, x.load.Percent, what+said+at, bytes, v, "B/s", capacity.VirtualTime))
			r.Kind, r.When, r.Shown = kind(k), w, w == capacity.Second
		}
		leases, seats := f.leases(d), f.seats(d)
		if w == capacity.Minute {
			leases, seats = f.minute[0], f.minute[1]
		}
		one(capacity.Agreement, "leases and pings, sent and received", leases)
		one(capacity.Seats, "which shards to give away, asked once a second, sent and received", seats)
		v := peak * f.extra[1][d]
		if w == capacity.Second {
			v = f.worst
		}
		one(capacity.Versions, "versions, all exclusive, sent and received", v)
	}
	if x.set != lease.DefaultSettings {
		return
	}
	add(capacity.AtMost(capacity.Core, x.load.Percent, "leases, without sockets"+at, core, f.busy[d]/10, "%", capacity.VirtualTime)).Kind = kind(capacity.Agreement)
	add(capacity.AtMost(capacity.Core, x.load.Percent, "versions, all exclusive, mean of the peak, without sockets"+at, core, peak*f.cost[1][d]/10, "%", capacity.VirtualTime)).Kind = kind(capacity.Versions)
	add(capacity.AtMost(capacity.Memory, x.load.Percent, "rules, the last 64 versions of them, heap"+at, memory,
		(f.heap+lease.MaxHistoryLength*tableHeap(x.load.Teams))/1e6, "MB", capacity.VirtualTime)).Kind = kind(capacity.Versions)
	for _, r := range []string{roleLeader, roleVoter} { // not dispatchers: shown
		row := add(capacity.AtMost(capacity.Bytes, x.load.Percent, r+", leases and versions, sent and received, mean of the peak"+at, bytes,
			total(f.sent[r])+total(f.got[r])+peak*f.extra[1][r], "B/s", capacity.VirtualTime))
		row.Shown = true
		row = add(capacity.AtMost(capacity.Core, x.load.Percent, r+", leases and versions, mean of the peak, without sockets"+at, core, (f.busy[r]+peak*f.cost[1][r])/10, "%", capacity.VirtualTime))
		row.Shown = true
	}
}

// losses plays what goes, at a small table: each region, and links between regions.
func (s *versionsStudy) losses(apart int, seeds []uint64) {
	set := versionsRegions[apart]
	b := set.Bounds()
	// An election takes up to 2 s, each step waits for what was granted before; then news of the last.
	most := 2 + b.AdvanceAfterElectionSeconds + b.AdvanceSeconds + b.PropagationSeconds + 4*set.NetworkDelaySeconds
	var worst, link, lapse, linked float64
	whole := true
	play := func(seed uint64, strike func(x *versionsRun)) (l versionsLoss) {
		x := s.run(seed, 10, versionsMost, float64(apart)/1000, set)
		l, ok := x.lose(func() { strike(x) })
		whole = whole && ok
		return l
	}
	regions, links := []int{-1, 5}, [][2]int{{-1, 1}} // -1: the leader's
	if !s.Quick {
		regions, links = []int{-1, 0, 1, 2, 3, 4, 5}, [][2]int{{-1, 0}, {-1, 1}, {-1, 2}, {-1, 3}, {-1, 4}, {-1, 5}, {0, 5}, {1, 2}, {3, 4}}
	}
	if s.close {
		regions = []int{-1}
	}
	of := func(x *versionsRun, r int) int {
		if r < 0 {
			return x.at[x.leader()]
		}
		return r
	}
	for _, seed := range seeds {
		for _, r := range regions {
			l := play(seed, func(x *versionsRun) { x.region(of(x, r)) })
			worst, lapse = max(worst, l.took), max(lapse, l.lapse)
		}
		for _, pair := range links {
			l := play(seed, func(x *versionsRun) {
				p, q := of(x, pair[0]), of(x, pair[1])
				if p == q {
					q = (p + 1) % versionsVoters
				}
				x.a.SetPartition(func(i, k int) bool { return x.at[i] == p && x.at[k] == q || x.at[i] == q && x.at[k] == p })
			})
			link, linked = max(link, l.took), max(linked, l.lapse)
		}
	}
	way := fmt.Sprintf(", %d ms between regions", apart)
	s.f.AtMost("an exclusive version that is asked for as a region goes"+way, most, worst, "s")
	s.f.AtLeast("all that live have leases after each region's loss and each link's stop"+way, 1, map[bool]float64{true: 1}[whole], "(1: yes)")
	if apart == 20 {
		s.f.AtMost("nobody that lives is without a lease for longer than one lasts, a region gone"+way, set.LeaseSeconds, lapse, "s")
		s.f.AtMost("without a lease, a link between two regions stopped"+way, 0, linked, "s")
	}
	s.f.Note("an exclusive version that is asked for as a link stops"+way, link, "s")
	s.f.Note("without a lease, at most, a region gone"+way, lapse, "s")
	s.f.Note("without a lease, at most, a link stopped"+way, linked, "s")
	row := func(line, what string, bound, v float64, shown bool) {
		r := capacity.AtMost(line, 100, what+way+" at 44 dispatchers", bound, v, "s", capacity.VirtualTime)
		r.Shown, r.Setting = shown, settingName(set)
		s.f.Row(r)
	}
	row(capacity.ZoneLoss, "an exclusive change that is asked for as a whole region goes", capacity.Target.InForce, worst, true)
	row(capacity.Links, "an exclusive change that is asked for as two regions lose each other", capacity.Target.InForce, link, apart != 20)
	row(capacity.Links, "an instance is without a lease while two regions have lost each other", 0, linked, apart != 20)
}

func runCapacityVersions(p CapacityParams) (*CapacityFound, error) {
	s := &versionsStudy{CapacityParams: p, f: &CapacityFound{}, close: p.Without == "voters-apart"}
	seeds := []uint64{p.Seed, p.Seed + 1, p.Seed + 2}
	if p.Quick {
		seeds = seeds[:1]
	}
	s.losses(20, seeds)
	if !s.close {
		for _, percent := range p.Percents {
			for _, seed := range seeds {
				x := s.run(seed, percent, versionsMost, versionsApart, lease.DefaultSettings)
				s.rows(x, s.play(x))
				if p.Quick || seed != p.Seed {
					continue // it differs by little from seed to seed
				}
				x = s.run(seed, percent, versionsMost, versionsApart, versionsFast)
				s.rows(x, s.play(x))
			}
		}
		x := s.run(p.Seed, 10, 12, 0.15, versionsRegions[150]) // what check takes for long links gives leases
		x.many = 0
		s.play(x)
		if !p.Quick {
			s.losses(80, seeds)
			s.losses(150, seeds)
			if err := s.sweep(seeds[:2]); err != nil {
				return nil, err
			}
			if err := s.sockets(); err != nil {
				return nil, err
			}
		}
		if err := s.seating(); err != nil {
			return nil, err
		}
		f := s.f
		f.AtMost("clusters that came to no first version by figures that check takes", 0, float64(s.never), "clusters")
		f.AtMost("changes asked for at once that were not in force 120 s later", 0, float64(s.lost), "changes")
		f.AtMost("a loose change alone, against what its figures state", 1, s.late[0], "times")
		f.AtMost("an exclusive change alone, against what its figures state", 1, s.late[1], "times")
	}
	return s.f, nil
}

// askSeats is how often an instance asks which shards it is to give away, in seconds: service's own figure.
const askSeats = 1.0

// sweep lays lines through what costs grow with.
func (s *versionsStudy) sweep(seeds []uint64) error {
	type point struct {
		x float64
		f *versionsFound
	}
	lines := []struct {
		what, unit string
		kind       capacity.Kind
		of         func(f *versionsFound) float64
	}{
		{"an exclusive change alone, in force everywhere", "s", "", func(f *versionsFound) float64 { return mean(f.alone[1]) }},
		{"a loose change alone, in force everywhere", "s", "", func(f *versionsFound) float64 { return mean(f.alone[0]) }},
		{"ten exclusive changes at once, the last", "s", "", func(f *versionsFound) float64 { return slices.Max(f.many[1]) }},
		{"leases, a dispatcher, sent and received", "B/s", capacity.Agreement, func(f *versionsFound) float64 { return f.leases(roleDispatcher) }},
		{"leases, a voter, sent and received", "B/s", capacity.Agreement, func(f *versionsFound) float64 { return f.leases(roleVoter) }},
		{"leases, the leader, sent and received", "B/s", capacity.Agreement, func(f *versionsFound) float64 { return f.leases(roleLeader) }},
		{"an exclusive change, a dispatcher, sent and received", "B", capacity.Versions, func(f *versionsFound) float64 { return f.extra[1][roleDispatcher] }},
		{"an exclusive change, a voter, sent and received", "B", capacity.Versions, func(f *versionsFound) float64 { return f.extra[1][roleVoter] }},
		{"an exclusive change, the leader, sent and received", "B", capacity.Versions, func(f *versionsFound) float64 { return f.extra[1][roleLeader] }},
		{"leases, the leader, processor without sockets", "ms/s", capacity.Agreement, func(f *versionsFound) float64 { return f.busy[roleLeader] }},
		{"an exclusive change, a dispatcher, processor without sockets", "ms", capacity.Versions, func(f *versionsFound) float64 { return f.cost[1][roleDispatcher] }},
		{"an exclusive change, the leader, processor without sockets", "ms", capacity.Versions, func(f *versionsFound) float64 { return f.cost[1][roleLeader] }},
	}
	slopes := func(by string, points []point) error {
		for _, l := range lines {
			var list []capacity.Point
			for _, p := range points {
				if len(p.f.many[1]) > 0 {
					list = append(list, capacity.Point{X: p.x, Y: l.of(p.f)})
				}
			}
			if err := s.f.Slope(l.what, by, l.unit, capacity.VirtualTime, l.kind, list); err != nil {
				return err
			}
		}
		return nil
	}
	var sizes, tables, ways, rest []point
	for k, seed := range seeds {
		for _, n := range []int{2, 17, 44, 100, 300} {
			if n == 300 && k > 0 {
				continue
			}
			x := s.run(seed, 100, n+versionsVoters, versionsApart, lease.DefaultSettings)
			f := s.play(x)
			sizes = append(sizes, point{float64(n), f})
			if n == 300 {
				s.rows(x, f)
			}
			if n == 44 {
				tables, ways = append(tables, point{float64(capacity.Target.Teams), f}), append(ways, point{1000 * versionsApart, f})
			}
		}
		for _, n := range []int{41, 100, 205, 820} {
			x := s.run(seed, 100, versionsMost, versionsApart, lease.DefaultSettings)
			x.teams = n
			tables = append(tables, point{float64(n), s.play(x)})
		}
		for _, ms := range []int{1, 80, 150} {
			set, named := versionsRegions[ms]
			if !named {
				set = lease.DefaultSettings
			}
			x := s.run(seed, 100, versionsMost, float64(ms)/1000, set)
			f := s.play(x)
			ways = append(ways, point{float64(ms), f})
			s.rows(x, f)
		}
		for _, n := range []int{1, 2, 3, 5, 10} {
			x := s.run(seed, 100, versionsMost, versionsApart, lease.DefaultSettings)
			x.teams, x.many = 41, n
			rest = append(rest, point{float64(n), s.play(x)})
		}
	}
	slices.SortFunc(ways, func(a, b point) int { return int(a.x - b.x) })
	if err := slopes(capacity.ByDispatchers, sizes); err != nil {
		return err
	}
	if err := slopes(capacity.ByTable, tables); err != nil {
		return err
	}
	lines = lines[:3]
	if err := slopes("ms one way between regions", ways); err != nil {
		return err
	}
	lines = lines[2:]
	lines[0].what = "exclusive changes at once, the last in force everywhere"
	if err := slopes("changes at once", rest); err != nil {
		return err
	}
	var plot report.Plot
	plot.Title, plot.XLabel, plot.YLabel = "Exclusive changes asked for at once: the last is in force everywhere", "changes", "s"
	line := report.Line{Name: "virtual time, 49 instances"}
	for _, p := range rest {
		line.X, line.Y = append(line.X, p.x), append(line.Y, slices.Max(p.f.many[1]))
	}
	plot.Lines = append(plot.Lines, line)
	s.f.Plots = append(s.f.Plots, plot)
	return nil
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / math.Max(1, float64(len(list)))
}

// sockets plays the same cluster on sockets and in virtual time, and holds them against each other.
func (s *versionsStudy) sockets() error {
	load, set := s.Load(100), lease.DefaultSettings
	at := regionOf(load, versionsFew)
	way := time.Duration(versionsApart * float64(time.Second))
	c, err := startMembers(s.Params, versionsFew, versionsVoters, set, func(i, k int) time.Duration {
		if at[i] == at[k] {
			return 0
		}
		return way
	})
	if err != nil {
		return err
	}
	defer c.close()
	c.all[0].Propose(teamsTable(load.Teams))
	if !c.reached(1, 30*time.Second) {
		return fmt.Errorf("no first version on sockets in 30 s")
	}
	time.Sleep(5 * time.Second)
	sum := func() (bytes float64) { // an instance's, sent and received
		for i := range versionsFew {
			for _, t := range c.relay.Traffic()[i] {
				bytes += (t.Sent.Bytes + t.Received.Bytes) / versionsFew
			}
		}
		return bytes
	}
	const span, plays = 10.0, 6
	was, busy := sum(), processTime()
	time.Sleep(time.Duration(span * float64(time.Second)))
	rest, used := (sum()-was)/span, (processTime()-busy)/span/versionsFew
	var took [2][]float64
	var extra float64
	for n := range 2 * plays {
		from, b := time.Now(), sum()
		c.all[(5*n)%versionsFew].Propose(raiseTeam(n, float64(100+n), n%2 == 1))
		if !c.reached(uint64(n+2), 20*time.Second) {
			return fmt.Errorf("version %d is not in force on sockets after 20 s", n+2)
		}
		took[n%2] = append(took[n%2], time.Since(from).Seconds())
		time.Sleep(2 * time.Second)
		if n%2 == 1 {
			extra += (sum() - b - rest*time.Since(from).Seconds()) / plays
		}
	}
	x := s.run(s.Seed, 100, versionsFew, versionsApart, set)
	x.plays, x.seats = plays, 0
	f := s.play(x)
	sent, bytes := 0.0, 0.0
	for i := range versionsFew {
		r := roleDispatcher
		switch {
		case i == 0:
			r = roleLeader
		case i < versionsVoters:
			r = roleVoter
		}
		sent += (total(f.sent[r]) + total(f.got[r])) / versionsFew
		bytes += f.extra[1][r] / versionsFew
	}
	apart := func(name string, virtual, real float64) {
		s.f.AtMost(fmt.Sprintf("%s, %d instances, virtual time against sockets, apart by", name, versionsFew), versionsClose, math.Abs(virtual/real-1), "part")
		s.f.Note(name+" on sockets", real, "")
		s.f.Note(name+" in virtual time", virtual, "")
	}
	apart("bytes at rest", sent, rest)
	apart("bytes for an exclusive change", bytes, extra)
	apart("an exclusive change alone, mean", mean(f.alone[1]), mean(took[1]))
	apart("a loose change alone, mean", mean(f.alone[0]), mean(took[0]))
	s.f.Note("processor at rest on sockets, with the relay's, an instance", 1000*used, "ms/s")
	r := capacity.AtMost(capacity.Core, 100, fmt.Sprintf("leases with sockets, and the relay's part, mean of %d instances, voters too", versionsFew), capacity.Target.Core, 100*used, "%", capacity.OnSockets)
	r.Shown = true
	s.f.Row(r)
	return nil
}

// seating plays seats of shards that go and come back, as twelve machines set aside have them, by the drill: the
// package's own code, with delays, rates and the steps of the agreement as a model.
func (s *versionsStudy) seating() error {
	m := drill.DefaultModel
	m.Delay, m.Lease = versionsApart, lease.DefaultSettings.LeaseSeconds
	m.AgreementStep = lease.DefaultSettings.Bounds().AdvanceSeconds / 1.5 // measured: an exclusive change takes three of these
	type size struct{ seats, shards, entries int }
	usual := size{12, 128, 2000}
	play := func(z size) (lost, back drill.Result, err error) {
		if lost, err = m.Simulate(z.seats, z.shards, z.entries, 1); err == nil {
			back, err = m.Grow(z.seats-1, z.seats, z.shards, z.entries)
		}
		return lost, back, err
	}
	lost, back, err := play(usual)
	if err != nil {
		return err
	}
	// Machines go alike: so many of a day's are seats.
	load := s.Load(100)
	const dispatchers, aside = 44, 17
	gone := 0
	for _, e := range load.MachineEvents(dispatchers + aside) {
		if e.Machine >= load.Figures.Workers+dispatchers+versionsVoters {
			gone++
		}
	}
	all := float64(load.Figures.Workers + dispatchers + aside)
	s.f.Note("voters that go on an ordinary day, expected", (load.Failures+load.Restarts)*versionsVoters/all, "machines")
	s.f.Note("leaders that go on an ordinary day, expected", (load.Failures+load.Restarts)/all, "machines")
	s.f.Note("seats that go on the day that was drawn", float64(gone), "machines")
	expected := (load.Failures + load.Restarts) * float64(usual.seats) / all
	s.f.Note("seats that go on an ordinary day, expected", expected, "machines")
	s.f.Note("shards seated anew for one, without a copy", float64(lost.Assignments), "shards")
	s.f.Note("shards nobody's for, one seat gone", lost.OwnedAfter, "s")
	s.f.Note("shards moved as it comes back, with a copy", float64(back.Transfers), "shards")
	s.f.Note("a shard sealed as it moves, the longest", back.SealedFor[2], "s")
	s.f.Note("written by an instance for both", lost.MeanBytes+back.MeanBytes, "B")
	s.f.Note("shards nobody's, shard-seconds of a day, expected", expected*(float64(lost.Assignments)*lost.OwnedAfter+float64(back.Transfers)*back.SealedFor[0]), "shard-seconds")
	row := capacity.AtMost(capacity.Restarts, 100, "part of the shard-time of a day in which a shard is nobody's or sealed", 0.001,
		expected*(float64(lost.Assignments)*lost.OwnedAfter+float64(back.Transfers)*back.SealedFor[0])/capacity.Day/float64(usual.shards), "part", capacity.VirtualTime)
	row.Shown = true // the target names no bound
	s.f.Row(row)
	s.f.AtMost("jobs of living holders that no seat knows after it", 0, float64(lost.LostJobs+back.LostJobs), "jobs")
	s.f.AtMost("shards that change seats beyond the fewest", 0, float64(lost.Assignments+lost.Transfers-lost.MinimumChanges+back.Transfers-back.MinimumChanges), "shards")
	if s.Quick {
		return nil
	}
	axes := []struct {
		by    string
		sizes []size
		x     func(size) float64
	}{
		{"jobs queued", []size{{12, 128, 500}, {12, 128, 2000}, {12, 128, 8000}, {12, 128, 32000}}, func(z size) float64 { return float64(z.entries) }},
		{"seats, ten shards each", []size{{6, 60, 2000}, {12, 120, 2000}, {24, 240, 2000}, {48, 480, 2000}}, func(z size) float64 { return float64(z.seats) }},
	}
	for _, a := range axes {
		lines := map[string][]capacity.Point{}
		for _, z := range a.sizes {
			lost, back, err := play(z)
			if err != nil {
				return err
			}
			for what, y := range map[string]float64{
				"a seat gone: shards seated anew": float64(lost.Assignments), "a seat gone: jobs told": float64(lost.Records),
				"a seat gone: written by an instance, B": lost.MeanBytes, "a seat gone: until its shards are seated, s": lost.OwnedAfter, "a seat gone: until all is known, s": lost.KnownAfter,
				"a seat back: shards moved": float64(back.Transfers), "a seat back: written by an instance, B": back.MeanBytes, "a seat back: until all are moved, s": back.OwnedAfter,
			} {
				lines[what] = append(lines[what], capacity.Point{X: a.x(z), Y: y})
			}
		}
		for _, what := range sortedNames(lines) {
			if err := s.f.Slope(what, a.by, "", capacity.VirtualTime, capacity.Seats, lines[what]); err != nil {
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

// processTime is the processor time of this process, in seconds.
func processTime() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t) != nil {
		return 0
	}
	return float64(t.Sec) + float64(t.Nsec)/1e9
}

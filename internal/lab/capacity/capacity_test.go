package capacity

import (
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// The lines of the target have the figures of issue 27, and each key occurs once.
func TestTarget(t *testing.T) {
	want := map[string]float64{Workers: 1000, Accelerators: 1400, Regions: 6, Zones: 22, Jobs: 11000, Starts: 210, Running: 5200, Gangs: 128,
		Teams: 410, Urgent: 7.3, Changes: 1700, InForce: 4, Core: 1.8, Memory: 256, Bytes: 5000, Machines: 17, Failures: 9, Restarts: 130,
		Racks: 1, ZoneLoss: 2, Links: 4}
	got := map[string]float64{}
	for _, l := range Target.Lines() {
		if _, twice := got[l.Key]; twice {
			t.Errorf("key %s occurs twice", l.Key)
		}
		got[l.Key] = l.Value
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("target lines: got %v, want %v", got, want)
	}
}

// Scale scales the lines that grow with the amount of work, and no others.
func TestScale(t *testing.T) {
	for _, p := range Percents {
		full, part := Target.Lines(), Target.Scale(p).Lines()
		for i, l := range full {
			want := l.Value
			if l.Scale {
				want = l.Value * float64(p) / 100
			}
			if got := part[i].Value; math.Abs(got-want) > 0.5 {
				t.Errorf("at %d %%: %s: got %v, want %v", p, l.Name, got, want)
			}
		}
	}
}

// NewLoad draws a load with the figures of its percentage of the target, for every seed.
func TestLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.SampledFrom(Percents).Draw(t, "percent")
		l := NewLoad(percent, rapid.Uint64().Draw(t, "seed"))
		f := Target.Scale(percent)
		if len(l.Teams) != f.Teams || len(l.Workers) != f.Workers || len(l.Zones) != f.Zones {
			t.Fatalf("got %d teams, %d workers, %d zones", len(l.Teams), len(l.Workers), len(l.Zones))
		}
		regions, by := map[int]bool{}, make([]int, len(l.Zones))
		for _, z := range l.Zones {
			regions[z.Region] = true
		}
		accelerators, slots := 0, 0
		for _, w := range l.Workers {
			by[w.Zone]++
			accelerators, slots = accelerators+w.Accelerators, slots+w.Slots
		}
		for i, z := range l.Zones {
			if by[i] != z.Workers || z.Workers < 1 {
				t.Fatalf("zone %s: %d workers are in it, its Workers field is %d", z.Name, by[i], z.Workers)
			}
		}
		if len(regions) != f.Regions || accelerators < f.Accelerators || accelerators >= f.Accelerators+acceleratorsPerWorker || slots < f.Running {
			t.Fatalf("got %d regions, %d accelerators, %d slots for %d tasks", len(regions), accelerators, slots, f.Running)
		}
		sum, one, all := 0.0, 0, 0
		for i, x := range l.Teams {
			sum += x.Rate
			if i > 0 && x.Share > l.Teams[i-1].Share {
				t.Fatalf("team %d has a larger share than the team before it", i)
			}
			if math.Abs(x.Quota*Asked-x.Rate) > 1e-9 {
				t.Fatalf("team %d has a rate of %v with a quota of %v", i, x.Rate, x.Quota)
			}
			switch len(x.Zones) {
			case 1:
				one++
			case len(l.Zones):
				all++
			case FewZones:
			default:
				t.Fatalf("team %d enters through the zones %v", i, x.Zones)
			}
		}
		few := int(float64(f.Teams)*OneZone + 0.5)
		if math.Abs(sum-f.Starts) > 1e-6 || math.Abs(l.Teams[0].Share-Largest) > 1e-6 || one != few || all != few {
			t.Fatalf("got %v starts per second, a share of %v for the largest team, %d teams through one zone, %d through all", sum, l.Teams[0].Share, one, all)
		}
		n := rapid.SampledFrom([]int{5, 22, 44, 300}).Draw(t, "instances")
		for i, list := range l.Enters(l.Place(n)) {
			if len(list) == 0 || list[len(list)-1] >= n {
				t.Fatalf("team %d enters through the dispatchers %v of %d", i, list, n)
			}
		}
	})
}

// The same seed draws the same load; a different seed draws a different one.
func TestLoadBySeed(t *testing.T) {
	a, b, c := NewLoad(100, 5), NewLoad(100, 5), NewLoad(100, 6)
	if !reflect.DeepEqual(a, b) || !reflect.DeepEqual(a.ConfigChanges(), b.ConfigChanges()) || !reflect.DeepEqual(a.MachineEvents(44), b.MachineEvents(44)) {
		t.Error("the same seed drew different loads")
	}
	if reflect.DeepEqual(a.Workers, c.Workers) || reflect.DeepEqual(a.ConfigChanges(), c.ConfigChanges()) {
		t.Error("different seeds drew the same load")
	}
}

// A day has the target's number of changes, failures and restarts, the rate at midnight is a tenth of the peak, and
// tasks run for 25 s on average.
func TestDay(t *testing.T) {
	l := NewLoad(100, 7)
	changes, many := 0, 0
	for _, c := range l.ConfigChanges() {
		changes += c.Many
		if c.Many == AtOnce {
			many++
		}
	}
	failed, restarted := 0, 0
	for _, e := range l.MachineEvents(44) {
		if e.Machine < 0 || e.Machine >= 1044 || e.Away <= 0 {
			t.Errorf("invalid event %+v", e)
		}
		if e.Restart {
			restarted++
		} else {
			failed++
		}
	}
	if changes != 1700 || many != 17 || failed != 9 || restarted != 130 {
		t.Errorf("got %d changes, %d groups of ten, %d failures, %d restarts", changes, many, failed, restarted)
	}
	if lo, hi := Rate(0), Rate(Day/2); math.Abs(lo-Night) > 1e-9 || math.Abs(hi-1) > 1e-9 {
		t.Errorf("rate ranges from %v to %v of the peak", lo, hi)
	}
	r, sum, long := rand.New(rand.NewPCG(1, 2)), 0.0, 0
	const n = 400_000
	for range n {
		x := TaskTime(r)
		sum += x
		if x > 260 {
			long++
		}
	}
	if mean := sum / n; math.Abs(mean-MeanRun) > 1 || long < n/200 || long > n/50 {
		t.Errorf("task time: mean %v s, %d of %d over 260 s", mean, long, n)
	}
	if got, want := l.Starts*MeanRun, float64(l.Running); math.Abs(got/want-1) > 0.02 {
		t.Errorf("%v starts per second of %v s give %v running tasks, the target has %v", l.Starts, MeanRun, got, want)
	}
}

// Fit finds the line, the spread and the bend of given points, and refuses points at three sizes.
func TestFit(t *testing.T) {
	var exact, bent []Point
	for _, x := range []float64{5, 22, 44, 88, 300} {
		for _, off := range []float64{-0.1, 0.1} {
			exact = append(exact, Point{x, (10 + 2*x) * (1 + off)})
			bent = append(bent, Point{x, x * x})
		}
	}
	s, err := Fit("bytes", "instances", "B/s", VirtualTime, exact)
	if err != nil || math.Abs(s.A-10) > 1e-6 || math.Abs(s.B-2) > 1e-9 || math.Abs(s.Spread-0.1) > 1e-9 || s.Bend > 1e-9 {
		t.Errorf("got slope %+v, error %v", s, err)
	}
	if !s.Played(44) || s.Played(600) || math.Abs(s.At(600)-1210) > 1e-6 {
		t.Errorf("played: got %v at 44, %v at 600; cost at 600: got %v", s.Played(44), s.Played(600), s.At(600))
	}
	if s, err := Fit("", "", "", VirtualTime, bent); err != nil || s.Bend < 0.1 {
		t.Errorf("points of a square: got bend %v, error %v", s.Bend, err)
	}
	if _, err := Fit("", "", "", VirtualTime, exact[:6]); !errors.Is(err, ErrFew) {
		t.Errorf("points at three sizes: got error %v, want ErrFew", err)
	}
}

// A line is carried if all its rows hold; it is carried with a setting if the rows that break by default hold with it
// and it breaks no other line; otherwise it is not carried. The row with the smallest margin binds, and First is the
// smallest percentage at which a row breaks.
func TestJudge(t *testing.T) {
	with := func(r Row, setting string) Row { r.Setting = setting; return r }
	rows := []Row{
		AtMost(Bytes, 50, "bytes", 5000, 6000, "B/s", VirtualTime),
		AtMost(Bytes, 100, "bytes", 5000, 9000, "B/s", VirtualTime),
		with(AtMost(Bytes, 100, "bytes", 5000, 4000, "B/s", VirtualTime), "period 2 s"),
		with(AtMost(Teams, 100, "news", 4, 3, "s", VirtualTime), "period 2 s"),
		AtMost(Teams, 50, "news", 4, 5, "s", VirtualTime),
		AtMost(Teams, 100, "news", 4, 5, "s", VirtualTime),
		with(AtMost(Teams, 100, "news", 4, 1, "s", VirtualTime), "period 9 s"), // holds here, but the same setting breaks Bytes in the next row
		with(AtMost(Bytes, 100, "bytes", 5000, 8000, "B/s", VirtualTime), "period 9 s"),
		AtMost(InForce, 100, "alone", 4, 2, "s", OnSockets),
		AtMost(InForce, 100, "ten at once", 4, 22, "s", OnSockets),
		with(AtMost(InForce, 100, "alone", 4, 1, "s", OnSockets), "few voters"),
		AtMost(Core, 100, "control", 1.8, 0.6, "%", OnSockets),
		AtMost(Core, 100, "worst", 1.8, 0.9, "%", OnSockets),
		AtLeast(Starts, 100, "starts", 210, 250, "a second", OnSockets),
		AtMost(Memory, 100, "memory", 256, math.NaN(), "MB", OnSockets),
		{Line: Urgent, Percent: 100, How: NotMeasured},
		AtMost(Gangs, 100, "spread", 4, 2, "s", OnSockets),
		{Line: Gangs, Percent: 100, What: "held", How: NotMeasured},
		{Line: Core, Percent: 10, What: "one second", Bound: 1.8, Measured: 50, Shown: true},
	}
	want := map[string]struct {
		state   State
		setting string
		binds   string
		margin  float64
		first   int
	}{
		Bytes:   {WithSetting, "period 2 s", "bytes", 5.0 / 9, 50},
		Teams:   {WithSetting, "period 2 s", "news", 0.8, 50},
		InForce: {NotCarried, "", "ten at once", 4.0 / 22, 100},
		Core:    {Carried, "", "worst", 2, 0},
		Starts:  {Carried, "", "starts", 250.0 / 210, 0},
		Memory:  {NotCarried, "", "memory", 0, 100},
		Urgent:  {Unknown, "", "", 0, 0},
		Gangs:   {Unknown, "", "spread", 2, 0},
	}
	list := Judge(Target, rows, 100)
	for _, v := range list {
		w, ok := want[v.Key]
		if !ok {
			w.state = Unknown
		}
		if v.State != w.state || v.Setting != w.setting || v.Binds.What != w.binds || math.Abs(v.Margin-w.margin) > 1e-9 || v.First != w.first {
			t.Errorf("%s: got %+v, want %+v", v.Key, v, w)
		}
	}
	missing := NotCarriedVerdicts(list)
	if len(missing) != 2 || missing[0].Key != Memory || missing[1].Key != InForce {
		t.Errorf("lines not carried: got %+v, want Memory, InForce", missing)
	}
}

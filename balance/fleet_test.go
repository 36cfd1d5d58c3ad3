package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Found in a fleet of 80: nine in ten unsafe jobs of four slots were refused unsent, though
// a quarter of all workers had four slots free. A report of just enough room, asked for a
// moment ago, was taken for older than it was, and counted for less.
func TestAskedReportHoldsForAWideJob(t *testing.T) {
	cfg := base()
	cfg.Dispatchers, cfg.Tenants[0].Quota = 80, 4000
	r := newRig(t, cfg, up("full", "room")...)
	for range 8 { // jobs are short, and its zone has little room as a rule
		r.at(r.now+1, r.report("full", 1), r.report("room", 0))
		for _, s := range of[Send](r.step(r.job("read", "a"))) {
			r.step(AttemptStarted{s.ID, 0})
			r.at(r.now+0.5, done(s, 0, Served))
		}
	}
	wide := r.job("write", "a")
	wide.Slots = 4
	r.at(r.now+1, wide)
	sent := of[Send](r.at(r.now+0.01, r.report("full", 1), r.report("room", 4)))
	if len(sent) != 1 || sent[0].Worker != "room" {
		t.Errorf("a worker that has just told of four free slots gets %v, want the job of four", sent)
	}
}

// A report that comes unasked, with an answer, is as old as before.
func TestUnaskedReportIsOlder(t *testing.T) {
	cfg := base()
	cfg.Dispatchers = 80
	r := newRig(t, cfg, up("w")...)
	s := of[Send](r.step(r.report("w", 1), r.job("read", "a")))[0]
	r.at(r.now+1, AttemptDone{ID: s.ID, Outcome: Served, Report: []float64{4}})
	if age := r.now - r.b.byID["w"].rep.taken; age < reportAge {
		t.Errorf("it is taken to be %.2f s old, want %.2f or more", age, reportAge)
	}
	r.at(r.now+1, r.report("w", 3))
	if age := r.now - r.b.byID["w"].rep.taken; age > askedAge+1e-9 {
		t.Errorf("one that was asked for is taken to be %.2f s old, want %.2f", age, askedAge)
	}
}

// plant is a fleet of dispatchers before workers of some slots each, on one clock: jobs run for
// exponential times, workers hold what they can't start in a queue, and probes are answered at once.
type plant struct {
	rigs   []*rig
	slots  float64
	used   map[string]float64
	queues map[string][]running
	ends   []running
	probes int
}

type running struct {
	r     *rig
	s     Send
	slots float64
	ends  float64
	runs  float64
}

func newPlant(t *testing.T, dispatchers, workers int, cfg Config) *plant {
	p := &plant{slots: 5, used: map[string]float64{}, queues: map[string][]running{}}
	for i := range dispatchers {
		cfg.Dispatchers, cfg.Index = dispatchers, i
		p.rigs = append(p.rigs, newRig(t, cfg, fleet(workers)...))
	}
	return p
}

// play gives a dispatcher events and carries out what it does: shapes tells a job's slots and how long it runs.
func (p *plant) play(r *rig, now float64, shapes map[string]running, ev ...Event) {
	for len(ev) > 0 {
		acts := r.at(now, ev...)
		ev = nil
		for _, a := range acts {
			switch a := a.(type) {
			case Probe:
				p.probes++
				ev = append(ev, ProbeDone{Worker: a.Worker, Outcome: Served, Report: []float64{p.slots - p.used[a.Worker]}})
			case Send:
				job := shapes[a.ID]
				job.r, job.s = r, a
				p.queues[a.Worker] = append(p.queues[a.Worker], job)
				p.start(a.Worker, now)
			}
		}
	}
}

// start begins what fits, in the order of its coming.
func (p *plant) start(w string, now float64) {
	for q := p.queues[w]; len(q) > 0 && p.used[w]+q[0].slots <= p.slots; q = p.queues[w] {
		job := q[0]
		p.queues[w] = q[1:]
		p.used[w] += job.slots
		job.ends = now + job.runs
		p.ends = append(p.ends, job)
		job.r.at(now, AttemptStarted{ID: job.s.ID})
	}
}

// Found in a fleet of 80: narrow jobs were spread so evenly that no worker had room for a wide one,
// though a third of all slots stood free. Workers that all leave to wide jobs have it.
func TestFleetPlacesWideJobs(t *testing.T) {
	cfg := base()
	cfg.Tenants[0].Quota, cfg.ProbeCharge, cfg.Classes[2].Kind = 4000, 0.01, "k"
	cfg.Classes[1].Aim, cfg.Classes[1].LateWorth, cfg.Classes[1].Worth = 0.6, 0, 10
	p := newPlant(t, 80, 60, cfg)
	rng := rand.New(rand.NewPCG(3, 9))
	shapes, wide, asked, n := map[string]running{}, 0, 0, 0
	for now := 101.0; now < 121; now += 0.01 {
		var still []running
		for _, job := range p.ends {
			if job.ends > now {
				still = append(still, job)
			}
		}
		over := p.ends
		p.ends = still
		for _, job := range over {
			if job.ends <= now {
				p.used[job.s.Worker] -= job.slots
				p.start(job.s.Worker, now)
				p.play(job.r, now, shapes, done(job.s, 0, Served))
			}
		}
		for range 4 { // 400 jobs a second, six in seven of all slots
			r := p.rigs[rng.IntN(len(p.rigs))]
			j := r.job("write", "a")
			j.ID, j.Slots = fmt.Sprint("j", n), 1
			if n++; n%10 == 0 {
				j.Slots = 4
				asked++
			}
			shapes[j.ID] = running{slots: j.Slots, runs: 0.5 * rng.ExpFloat64()}
			p.play(r, now, shapes, j)
		}
		for _, r := range p.rigs {
			p.play(r, now, shapes, TimerFired{})
		}
	}
	for _, r := range p.rigs {
		for _, s := range of[Send](r.acts) {
			if shapes[s.ID].slots == 4 {
				wide++
			}
		}
	}
	t.Logf("%d of %d jobs of four slots placed, %.1f probes a job", wide, asked, float64(p.probes)/float64(n))
	if float64(wide) < 0.72*float64(asked) {
		t.Errorf("%d of %d jobs of four slots found a place, want 72%%", wide, asked)
	}
}

// Found in a fleet of 80: sixty workers of which nothing was heard of late, each counted for its
// zone's mean, got nine in ten jobs, though three had just told of room.
func TestPickPrefersWhoHasJustTold(t *testing.T) {
	cfg := base()
	cfg.Dispatchers, cfg.Tenants[0].Quota, cfg.Classes[2].Kind = 80, 4000, "k"
	told, n := 0, 0
	for i := range 200 {
		cfg.Index = i % 80
		r := newRig(t, cfg, fleet(60)...)
		for _, w := range r.b.order {
			r.step(r.report(w.ID, 2))
		}
		r.now += 20
		for _, w := range r.b.order[:3] {
			r.step(r.report(w.ID, 3))
		}
		for _, s := range of[Send](r.step(r.job("read", "a"))) {
			if n++; r.b.byID[s.Worker].rep.recv == r.now {
				told++
			}
		}
	}
	if n < 100 || told < n/3 {
		t.Errorf("%d of %d jobs went to workers that have just told of room, want a third", told, n)
	}
}

// Most of a fleet starts at once on an old list while discovery turns callers away. All serve from
// the list, and their calls spread: they don't come again in step.
func TestHerdSpreadsItsCalls(t *testing.T) {
	cfg := base()
	cfg.Dispatchers, cfg.AskRoster, cfg.AskEvery, cfg.Tenants[0].Quota = 80, true, 10, 4000
	var rigs []*rig
	for i := range 80 {
		cfg.Index = i
		b, err := New(cfg, uint64(1000+i))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: 100}
		r.step(RosterUpdate{Kind: RosterSaved, Workers: fleet(20)})
		rigs = append(rigs, r)
	}
	calls, worst, later, sent := make([]int, 2000), 0, 0, 0 // by tenth of a second
	for tick := range len(calls) {
		now := 100 + 0.1*float64(tick+1)
		for _, r := range rigs {
			var ev []Event
			if tick == 5 {
				ev = append(ev, r.job("read", "a"))
			}
			acts := r.at(now, append(ev, TimerFired{})...)
			for len(acts) > 0 {
				sent += len(of[Send](acts))
				var answers []Event
				for _, p := range of[Probe](acts) {
					answers = append(answers, r.report(p.Worker, 3))
				}
				if n := len(of[Subscribe](acts)); n > 0 {
					calls[tick] += n
					if now < 130 { // then discovery bears calls again
						answers = append(answers, RosterUpdate{Kind: RosterFailed})
					} else {
						answers = append(answers, RosterUpdate{Kind: RosterFull, Workers: fleet(20)})
					}
				}
				if acts = nil; len(answers) > 0 {
					acts = r.step(answers...)
				}
			}
		}
		if second := tick - 9; second >= 0 {
			sum := 0
			for _, n := range calls[second : tick+1] {
				sum += n
			}
			if worst = max(worst, sum); now > 110 && now < 130 {
				later = max(later, sum)
			}
		}
	}
	total := 0
	for _, n := range calls {
		total += n
	}
	t.Logf("%d calls, %d in the worst second, %d once it lasts; %d of 80 jobs sent", total, worst, later, sent)
	if worst > 80 || later > 40 || sent != 80 {
		t.Errorf("%d calls in the worst second and %d once it lasts, want one a dispatcher and half of that at most; %d of 80 jobs sent", worst, later, sent)
	}
	for i, r := range rigs {
		if !r.b.roster.subscribed {
			t.Errorf("dispatcher %d has no list 170 s after discovery is back", i)
		}
	}
}

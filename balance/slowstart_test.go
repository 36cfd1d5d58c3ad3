package balance

import (
	"fmt"
	"math"
	"testing"
)

// These tests check the total load that dispatchers, none of which knows what the others send, put on a worker that
// has just started. Within any span it may get what the settings allow, counted in jobs of mean work, plus what chance
// explains. Times are in seconds.

// TestSlowStartLimitsTotalLoad checks that no warming worker is overloaded, with few or many dispatchers and under
// various faults.
func TestSlowStartLimitsTotalLoad(t *testing.T) {
	for name, set := range map[string]func(f *warmUpFleet){
		"plain":            func(f *warmUpFleet) {},
		"varied work":      func(f *warmUpFleet) { f.workDeviation = 1.5 },
		"wide jobs":        func(f *warmUpFleet) { f.wideJobs = true },
		"uneven traffic":   func(f *warmUpFleet) { f.firstDispatcherLoad = 5 },
		"short jobs":       func(f *warmUpFleet) { f.work = 0.25 },
		"small workers":    func(f *warmUpFleet) { f.slots, f.work = 2, 2 },
		"one slot each":    func(f *warmUpFleet) { f.slots, f.work, f.load = 1, 3, 1.5 },
		"no reports":       func(f *warmUpFleet) { f.noReports = true },
		"with answers":     func(f *warmUpFleet) { f.reportsWithAnswers = true },
		"short objective":  func(f *warmUpFleet) { f.shortObjectives, f.dispatcherRestarts = true, 1 },
		"late lists":       func(f *warmUpFleet) { f.listDelay = 6 },
		"restart in place": func(f *warmUpFleet) { f.listDelay, f.restartInPlace = 6, true },
		"restarts":         func(f *warmUpFleet) { f.dispatcherRestarts = 0.7 },
		"one hangs":        func(f *warmUpFleet) { f.oneHangs = true },
		"hedges":           func(f *warmUpFleet) { f.oneHangs, f.hedging = true, true },
		"noisy reports":    func(f *warmUpFleet) { f.reportNoise, f.reportsWithAnswers = 0.2, true },
		"one overloaded":   func(f *warmUpFleet) { f.oneRejects = true },
		"index changes":    func(f *warmUpFleet) { f.indexChanges = true },
		"uncordoned":       func(f *warmUpFleet) { f.listDelay, f.restartInPlace, f.uncordon = 6, true, true },
	} {
		for _, n := range []int{3, 30, 300} {
			t.Run(fmt.Sprint(name, "/", n), func(t *testing.T) {
				t.Parallel()
				f := warmUpFleet{dispatchers: n, warm: 12, cold: 4, slots: 5, work: 0.5, load: 1.1, workDeviation: 0.8}
				set(&f)
				worst, sends := f.run(t, uint64(n+len(name)), true) // the length of the name selects the seed
				if worst > 1 || sends == 0 && n < 300 {
					t.Errorf("a warming worker got %.2f times its allowed load, want 1 at most; %d sends to warming workers",
						worst, sends)
				}
			})
		}
	}
}

// TestWithoutSlowStartWorkersAreOverloaded checks that, without a limit, some warming worker is overloaded with any
// number of dispatchers, so that TestSlowStartLimitsTotalLoad can detect an overload.
func TestWithoutSlowStartWorkersAreOverloaded(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		f := warmUpFleet{dispatchers: n, warm: 12, cold: 4, slots: 1, work: 3, load: 1.5, workDeviation: 0.8}
		worst := 0.0
		for seed := uint64(0); seed < 12 && worst <= 1; seed++ {
			x, _ := f.run(t, seed, false)
			worst = max(worst, x)
		}
		if worst <= 1 {
			t.Errorf("%d dispatchers without slow start: a warming worker got %.2f times its allowed load, want more than 1",
				n, worst)
		}
	}
}

// greedyDispatchers simulates dispatchers that send as much as they may to one warming worker, which accepts all. Jobs
// are alike.
type greedyDispatchers struct {
	t               *testing.T
	meanWork, slots float64 // assumed mean work of a job, and slots of a worker
	jobWork         float64 // actual work of each job
	rigs            []*rig
	scheduled       []map[int][]Event // by dispatcher and step
	step            int
	cold            WorkerInfo
	sentAt          []float64
	worst           float64
}

const greedyTick, greedyBegin, greedyRampSeconds = 0.05, 100.0, 30.0

// newGreedyDispatchers returns n dispatchers that know the slots of a worker and how long jobs run.
func newGreedyDispatchers(t *testing.T, n int, slots, startedAt float64) *greedyDispatchers {
	p := &greedyDispatchers{t: t, meanWork: 1, jobWork: 1, slots: slots,
		cold: WorkerInfo{ID: "cold", Zone: "here", State: Running, StartedAt: startedAt}}
	p.rigs, p.scheduled = make([]*rig, n), make([]map[int][]Event, n)
	for i := range n {
		p.startDispatcher(i)
	}
	return p
}

func (p *greedyDispatchers) now() float64 { return greedyBegin + float64(p.step)*greedyTick }

func (p *greedyDispatchers) startDispatcher(i int, list ...WorkerInfo) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Index, cfg.HealthChecks, cfg.Tenants[0].Quota = len(p.rigs), i, false, 1e5
	cfg.SlowStartFloor, cfg.SlowStartSeconds, cfg.OverloadMultiple, cfg.OverloadSeconds =
		rampFloor, greedyRampSeconds, simOverloadMultiple, simOverloadSeconds
	cfg.Classes[0].LatencyObjective = p.jobWork // the assumed run time while none has been observed
	b, err := New(cfg, uint64(i))
	if err != nil {
		p.t.Fatal(err)
	}
	b.maxSlotsByKind[""] = p.slots
	for range 20 {
		b.meanRunTime.observe(p.meanWork)
		b.classes["read"].runTime.observe(p.jobWork)
	}
	p.rigs[i], p.scheduled[i] = &rig{t: p.t, b: b, jobCount: 1e6 * p.step}, map[int][]Event{}
	p.rigs[i].stepAt(p.now(), EndpointUpdate{Kind: EndpointsCached, Workers: list})
}

// list sends an endpoint list of the given workers to all dispatchers.
func (p *greedyDispatchers) list(workers ...WorkerInfo) {
	for i := range p.rigs {
		p.scheduled[i][p.step] = append(p.scheduled[i][p.step], EndpointUpdate{Kind: EndpointsSnapshot, Workers: workers})
	}
}

// run simulates until a time and keeps the given number of jobs queued at each dispatcher. The function more returns
// further events of each step; it may be nil.
func (p *greedyDispatchers) run(until float64, waiting int, more func(i int, r *rig) []Event) {
	for ; p.now() < until; p.step++ {
		now := p.now()
		for i, r := range p.rigs {
			ev := append(p.scheduled[i][p.step], TimerFired{})
			delete(p.scheduled[i], p.step)
			if more != nil {
				ev = append(ev, more(i, r)...)
			}
			for k := len(r.b.jobs) - r.b.inFlight; k < waiting; k++ {
				ev = append(ev, r.job("read", "a"))
			}
			for _, s := range actionsOf[Send](r.stepAt(now, ev...)) {
				if s.Worker == p.cold.ID {
					p.sentAt = append(p.sentAt, now)
				}
				begin, end := p.step+1, p.step+1+int(math.Round(p.jobWork/greedyTick))
				p.scheduled[i][begin] = append(p.scheduled[i][begin], AttemptStarted{s.ID, 0})
				p.scheduled[i][end] = append(p.scheduled[i][end], done(s, 0, Served))
			}
		}
		for len(p.sentAt) > 0 && p.sentAt[0] <= now-simOverloadSeconds+1e-9 {
			p.sentAt = p.sentAt[1:]
		}
		if age := now - p.cold.StartedAt; age > 0 {
			capacity := min(1, rampFloor+(1-rampFloor)*age/greedyRampSeconds)
			p.worst = max(p.worst, overloadRatio(float64(len(p.sentAt))*p.jobWork/p.meanWork,
				simOverloadMultiple*capacity*p.slots*simOverloadSeconds/p.meanWork))
		}
	}
}

func (p *greedyDispatchers) check() {
	p.t.Helper()
	if p.worst > 1 || p.worst < 0.05 {
		p.t.Errorf("%d dispatchers, %v slots: the warming worker got %.2f times its allowed load, want 0.05 to 1",
			len(p.rigs), p.slots, p.worst)
	}
}

// After a time in which most turns were unused, as each dispatcher had few jobs for many warming workers, all
// dispatchers have jobs and use their turns at once.
func TestTurnsUsedAtOnceAfterIdleTime(t *testing.T) {
	var before []WorkerInfo
	for i := range 120 {
		before = append(before, WorkerInfo{ID: fmt.Sprint("before", i), Zone: "here", State: Running, StartedAt: greedyBegin})
	}
	for _, n := range []int{3, 30, 300} {
		for _, slots := range []float64{2, 5, 16} {
			p := newGreedyDispatchers(t, n, slots, 117)
			p.list(before...)
			p.run(116, 0, func(i int, r *rig) []Event {
				if (p.step+i)%40 == 0 {
					return []Event{r.job("read", "a")}
				}
				return nil
			})
			p.run(p.cold.StartedAt, 0, nil)
			p.list(p.cold)
			p.run(126, 2, nil)
			p.check()
		}
	}
}

// After a mix of jobs only long ones are queued. Each must be charged to the budget by its own work, not by the mean.
func TestTurnsOfLongJobs(t *testing.T) {
	for _, n := range []int{30, 300} {
		for _, slots := range []float64{2, 5, 16} {
			p := newGreedyDispatchers(t, n, slots, 101)
			p.jobWork = 1.9
			for i := range p.rigs {
				p.startDispatcher(i)
			}
			p.run(p.cold.StartedAt, 0, nil)
			p.list(p.cold)
			p.run(110, 2, nil)
			p.check()
		}
	}
}

// With a budget near 0, as a process has that is being replaced by a newer one of the same dispatcher, nothing is sent
// to warming workers, whichever dispatcher has the first turn.
func TestTinySlowStartBudgetSendsNothing(t *testing.T) {
	for _, n := range []int{1, 3, 30} {
		p := newGreedyDispatchers(t, n, 5, 101)
		for _, r := range p.rigs {
			cfg := r.b.config
			cfg.OverloadMultiple *= 1e-9
			r.step(ConfigChanged{Config: cfg})
		}
		p.run(p.cold.StartedAt, 0, nil)
		p.list(p.cold)
		if p.run(108, 2, nil); p.worst > 0 {
			t.Errorf("%d dispatchers: the warming worker got %.2f times its allowed load, want 0", n, p.worst)
		}
	}
}

// A restarted dispatcher does not know what its former process sent to a warming worker, so it must send less at
// first.
func TestNewProcessesLimitLoadOnWarmingWorkers(t *testing.T) {
	for _, n := range []int{3, 30} {
		p := newGreedyDispatchers(t, n, 24, 101)
		p.run(p.cold.StartedAt, 0, nil)
		p.list(p.cold)
		p.run(p.cold.StartedAt+1, 12, nil)
		for i := range p.rigs {
			p.startDispatcher(i, p.cold)
		}
		p.run(110, 12, nil)
		p.check()
	}
}

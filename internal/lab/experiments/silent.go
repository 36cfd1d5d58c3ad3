package experiments

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"example.org/bellstream/internal/lab/fault"
	"example.org/bellstream/internal/lab/invariants"
	"example.org/bellstream/internal/lab/report"
)

var silentExperiment = Experiment{
	Name:    "silent",
	About:   "19% of the workers take requests and answer nothing, by the tool between the sockets, at one real process.",
	Without: []string{"routing"},
	Run:     runSilent,
}

// What is claimed: the worth kept while they are silent, against a run in which
// discovery says at once who will be; and how soon they get nothing new but a
// trial now and then.
const (
	silentWorth  = 0.93
	silentSettle = 2 * time.Second
	silentTrials = 1.0 // jobs a second for a silent worker, after that
	silentAim    = 600 * time.Millisecond
	silentValue  = 5.0
)

// silentRun is one pass.
type silentRun struct {
	answers    []Answer
	tries      []invariants.Attempt
	found      []invariants.Violation
	silent     map[string]bool
	start      time.Time
	begin, end time.Time // of the silence
	clock      func(time.Time) float64
}

func silentClasses() []invariants.Class {
	return []invariants.Class{{Name: "read", Repeat: "safe"}, {Name: "write", Repeat: "unsafe"}, {Name: "assign", Repeat: "keyed", Scope: "all", Window: 5}}
}

// playSilent plays the load while some are silent; knows: discovery says so at once.
func playSilent(p Params, name string, workers, silent int, span time.Duration, knows, learns bool) (*silentRun, error) {
	const slots, mean = 4, 150 * time.Millisecond
	fleet, err := NewFleet(p.Seed, workers, slots, mean)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	tool, err := fleet.Behind(p.Seed, nil)
	if err != nil {
		return nil, err
	}
	defer tool.Close()
	addr := ""
	if !learns {
		plain, err := newRoundRobinDispatcher(fleet)
		if err != nil {
			return nil, err
		}
		defer plain.close()
		addr = plain.addr
	} else {
		d, err := alone(p, fleet, name, `{"name":"read","aim":0.6,"hard_limit":3,"value":5,"semantics":"safe"},
 {"name":"write","aim":0.6,"hard_limit":3,"value":5,"semantics":"unsafe"},
 {"name":"assign","aim":0.6,"hard_limit":3,"value":5,"semantics":"keyed","dedup_scope":"all","repeat_window":5}`, "")
		if err != nil {
			return nil, err
		}
		defer d.Kill()
		addr = d.Addr
	}
	load := NewLoad(p.Seed, []string{addr})
	defer load.Close()
	ctx, stop := context.WithTimeout(context.Background(), span)
	defer stop()
	all := 0.6 * float64(workers*slots) / mean.Seconds()
	r := &silentRun{silent: map[string]bool{}, clock: fleet.Clock, start: time.Now()}
	load.Play(ctx, p.Seed, []Stream{{Tenant: "t", Class: "read", Rate: 0.6 * all, ClientTimeout: 3 * time.Second},
		{Tenant: "t", Class: "write", Rate: 0.25 * all, ClientTimeout: 3 * time.Second},
		{Tenant: "t", Class: "assign", Rate: 0.15 * all, ClientTimeout: 3 * time.Second, HasIdempotencyKey: true}})
	time.Sleep(span / 4)
	rule := fault.Rule{Kind: fault.Silence, Side: fault.Answer, Duration: (span / 2).Seconds()}
	for i := range silent {
		w := fleet.workers[(i*workers/silent+int(p.Seed%uint64(workers)))%workers]
		rule.Endpoints = append(rule.Endpoints, w.name)
		r.silent[w.name] = true
	}
	tell := func(health string) {
		for i, w := range fleet.workers {
			if knows && r.silent[w.name] {
				fleet.Tell(i, health)
			}
		}
	}
	tell("leaving")
	r.begin = time.Now()
	if _, err := tool.Inject(rule); err != nil {
		return nil, err
	}
	time.Sleep(span / 2)
	r.end = time.Now()
	tell("active")
	load.Wait()
	r.answers, r.tries = load.Answers(), fleet.Attempts()
	h := invariants.History{Limits: invariants.Limits{Grace: 0.016, DrainGrace: 2}, Classes: silentClasses(), Workers: fleet.Workers(), Attempts: r.tries, EndpointChanges: fleet.Told()}
	for _, a := range r.answers {
		h.Requests = append(h.Requests, a.audited(fleet.Clock))
	}
	r.found = h.Check()
	return r, nil
}

// audited is an answer as the audit takes it.
func (a Answer) audited(clock func(time.Time) float64) invariants.Request {
	r := invariants.Request{ID: a.ID, Class: a.Class, Dispatcher: fmt.Sprint(a.Entry), SentAt: clock(a.At), ClientTimeout: a.ClientTimeout.Seconds(), Never: a.DialFailed}
	if a.Status > 0 {
		r.Answers = []invariants.Answer{{At: clock(a.At.Add(a.Took)), Status: a.Status, Body: a.Body}}
	}
	return r
}

// worth is what answers in time were worth, of those that came while they were silent.
func (r *silentRun) worth() (worth, whole float64) {
	for _, a := range r.answers {
		if a.At.Before(r.begin) || a.At.After(r.end) {
			continue
		}
		whole += silentValue
		if a.Status == 200 && a.Took <= silentAim {
			worth += silentValue
		}
	}
	return worth, whole
}

func (r *silentRun) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// curve is the part of each second's worth that was earned.
func (r *silentRun) curve(name string) report.Line {
	earned, came := map[int]float64{}, map[int]float64{}
	last := 0
	for _, a := range r.answers {
		s := int(max(0, r.since(a.At)))
		came[s]++
		if last = max(last, s); a.Status == 200 && a.Took <= silentAim {
			earned[s]++
		}
	}
	l := report.Line{Name: name}
	for s := range last {
		if came[s] > 0 {
			l.X, l.Y = append(l.X, float64(s)), append(l.Y, earned[s]/came[s])
		}
	}
	return l
}

// latencies is the part of each class's answers that had come after a time.
func latencies(answers []Answer) report.Plot {
	p := report.Plot{Title: "Answers that have come after so long, by class", XLabel: "ms", YLabel: "part", LogX: true}
	by := map[string][]float64{}
	for _, a := range answers {
		if a.Status > 0 {
			by[a.Class] = append(by[a.Class], max(a.Took.Seconds()*1000, 0.1))
		}
	}
	for _, class := range slices.Sorted(maps.Keys(by)) {
		list := by[class]
		slices.Sort(list)
		l := report.Line{Name: class}
		for i := range 101 {
			k := min(i*len(list)/100, len(list)-1)
			l.X, l.Y = append(l.X, list[k]), append(l.Y, float64(k+1)/float64(len(list)))
		}
		p.Lines = append(p.Lines, l)
	}
	return p
}

// trials is how often a silent worker got a job once the others had had time to
// notice, a second; settled is when the last of them had none in a whole second.
func (r *silentRun) trials() (rate, settled float64) {
	from, to := r.clock(r.begin), r.clock(r.end)
	per := map[string][]int{}
	for w := range r.silent {
		per[w] = make([]int, int(to-from)+1)
	}
	n := 0.0
	for _, a := range r.tries {
		if list := per[a.Worker]; list != nil && a.First >= from && a.First < to {
			list[int(a.First-from)]++
			if a.First > from+silentSettle.Seconds() {
				n++
			}
		}
	}
	for _, list := range per {
		for s, k := range list {
			if k == 0 {
				settled = max(settled, float64(s))
				break
			}
			if s == len(list)-1 {
				settled = math.Inf(1)
			}
		}
	}
	return n / float64(len(per)) / (to - from - silentSettle.Seconds()), settled
}

func runSilent(p Params) (*Result, error) {
	workers, silent, span := 32, 6, 60*time.Second
	if p.Quick {
		workers, silent, span = 16, 3, 20*time.Second
	}
	p.Log("%d of %d silent for %v", silent, workers, span/2)
	run, err := playSilent(p, "real", workers, silent, span, false, p.Without != "routing")
	if err != nil {
		return nil, err
	}
	p.Log("the ideal: discovery says it at once")
	ideal, err := playSilent(p, "ideal", workers, silent, span, true, true)
	if err != nil {
		return nil, err
	}
	r := &Result{Size: fmt.Sprintf("%d workers of 4 slots, %d of them silent for %v, load 60%%, one dispatcher", workers, silent, span/2)}
	worth, whole := run.worth()
	best, bestWhole := ideal.worth()
	trials, settled := run.trials()
	r.AtLeast("worth kept while they are silent, against an ideal that is told", silentWorth, worth/whole/(best/bestWhole), "part")
	r.AtMost("jobs a second that a silent worker gets once 2 s have passed", silentTrials, trials, "jobs/s")
	r.AtMost("rules broken, by the records of clients and workers", 0, float64(len(run.found)), "findings")
	r.AtLeast("jobs that came while they were silent (so that the rest means something)", 500, whole/silentValue, "jobs")
	r.Note("first second in which no silent worker got a job, from the silence on", settled, "s")
	r.Note("worth kept, of all that came", worth/whole, "part")
	r.Note("the ideal's", best/bestWhole, "part")
	r.Note("rules broken in the ideal's run", float64(len(ideal.found)), "findings")
	curves := report.Plot{Title: "Worth of the jobs that came, in each second", XLabel: "s", YLabel: "part",
		Bands: []report.Band{{Name: "silence", From: run.since(run.begin), To: run.since(run.end)}},
		Lines: []report.Line{run.curve("one that learns"), ideal.curve("one that is told")}}
	if !p.Quick {
		p.Log("for comparison: each job to the next worker, nothing learned")
		plain, err := playSilent(p, "plain", workers, silent, span, false, false)
		if err != nil {
			return nil, err
		}
		n, of := plain.worth()
		rate, _ := plain.trials()
		r.Note("worth kept where each job goes to the next worker", n/of, "part")
		r.Note("jobs a second that a silent worker gets there", rate, "jobs/s")
		curves.Lines = append(curves.Lines, plain.curve("each job to the next worker"))
	}
	r.Plots = append(r.Plots, curves, latencies(run.answers))
	for i, f := range append(run.found, ideal.found...) {
		if i < 20 {
			p.Log("%v", f)
		}
	}
	p.Log("answers %s", statuses(run.answers))
	return r, nil
}

// statuses counts answers by status.
func statuses(list []Answer) string {
	n := map[int]int{}
	for _, a := range list {
		n[a.Status]++
	}
	return strings.TrimPrefix(fmt.Sprint(n), "map")
}

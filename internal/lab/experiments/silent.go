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

// Bounds of the claims: the value earned while workers are silent, relative to a run in which discovery announces
// the silent workers at once; and the time after which silent workers get no new jobs except
// occasional trials.
const (
	silentWorth  = 0.93
	silentSettle = 2 * time.Second
	silentTrials = 1.0 // jobs per second for a silent worker, after silentSettle
	silentAim    = 600 * time.Millisecond
	silentValue  = 5.0
)

// silentRun holds the records of one run.
type silentRun struct {
	answers                  []Answer
	attempts                 []invariants.Attempt
	violations               []invariants.Violation
	silent                   map[string]bool
	start                    time.Time
	silenceStart, silenceEnd time.Time // while the workers are silent
	clock                    func(time.Time) float64
}

func silentClasses() []invariants.Class {
	return []invariants.Class{{Name: "read", Repeat: "safe"}, {Name: "write", Repeat: "unsafe"}, {Name: "assign", Repeat: "keyed", Scope: "all", Window: 5}}
}

// playSilent runs the load while some workers are silent. If announced is set, discovery reports them as leaving at
// once; if adaptive is not set, a plain round-robin proxy takes the dispatcher's place.
func playSilent(p Params, name string, workers, silent int, span time.Duration, announced, adaptive bool) (*silentRun, error) {
	const slots, mean = 4, 150 * time.Millisecond
	fleet, err := NewFleet(p.Seed, workers, slots, mean)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	tool, err := fleet.InsertFaultProxy(p.Seed, nil)
	if err != nil {
		return nil, err
	}
	defer tool.Close()
	addr := ""
	if !adaptive {
		plain, err := newRoundRobinDispatcher(fleet)
		if err != nil {
			return nil, err
		}
		defer plain.close()
		addr = plain.addr
	} else {
		d, err := startSingleDispatcher(p, fleet, name, `{"name":"read","aim":0.6,"hard_limit":3,"value":5,"semantics":"safe"},
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
	setHealth := func(health string) {
		for i, w := range fleet.workers {
			if announced && r.silent[w.name] {
				fleet.SetHealth(i, health)
			}
		}
	}
	setHealth("leaving")
	r.silenceStart = time.Now()
	if _, err := tool.Inject(rule); err != nil {
		return nil, err
	}
	time.Sleep(span / 2)
	r.silenceEnd = time.Now()
	setHealth("active")
	load.Wait()
	r.answers, r.attempts = load.Answers(), fleet.Attempts()
	h := invariants.History{Limits: invariants.Limits{Grace: 0.016, DrainGrace: 2}, Classes: silentClasses(), Workers: fleet.Workers(), Attempts: r.attempts, EndpointChanges: fleet.EndpointChanges()}
	for _, a := range r.answers {
		h.Requests = append(h.Requests, a.auditRequest(fleet.Clock))
	}
	r.violations = h.Check()
	return r, nil
}

// auditRequest converts an answer to the audit's form.
func (a Answer) auditRequest(clock func(time.Time) float64) invariants.Request {
	r := invariants.Request{ID: a.ID, Class: a.Class, Dispatcher: fmt.Sprint(a.Entry), SentAt: clock(a.At), ClientTimeout: a.ClientTimeout.Seconds(), NeverAccepted: a.DialFailed}
	if a.Status > 0 {
		r.Answers = []invariants.Answer{{At: clock(a.At.Add(a.Took)), Status: a.Status, Body: a.Body}}
	}
	return r
}

// earned returns the value of the jobs that arrived during the silence and were answered in time, and the value of all
// that arrived then.
func (r *silentRun) earned() (inTime, all float64) {
	for _, a := range r.answers {
		if a.At.Before(r.silenceStart) || a.At.After(r.silenceEnd) {
			continue
		}
		all += silentValue
		if a.Status == 200 && a.Took <= silentAim {
			inTime += silentValue
		}
	}
	return inTime, all
}

func (r *silentRun) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// curve returns, for each second, the fraction of the arrived jobs that were answered in time.
func (r *silentRun) curve(name string) report.Line {
	inTime, arrived := map[int]float64{}, map[int]float64{}
	last := 0
	for _, a := range r.answers {
		s := int(max(0, r.since(a.At)))
		arrived[s]++
		if last = max(last, s); a.Status == 200 && a.Took <= silentAim {
			inTime[s]++
		}
	}
	l := report.Line{Name: name}
	for s := range last {
		if arrived[s] > 0 {
			l.X, l.Y = append(l.X, float64(s)), append(l.Y, inTime[s]/arrived[s])
		}
	}
	return l
}

// latencies returns the cumulative distribution of each class's latencies.
func latencies(answers []Answer) report.Plot {
	p := report.Plot{Title: "Answers that have come after so long, by class", XLabel: "ms", YLabel: "part", LogX: true}
	byClass := map[string][]float64{}
	for _, a := range answers {
		if a.Status > 0 {
			byClass[a.Class] = append(byClass[a.Class], max(a.Took.Seconds()*1000, 0.1))
		}
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		list := byClass[class]
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

// silentWorkerRate returns how many jobs per second a silent worker got once silentSettle had passed. settled is the
// first second of the silence by which each silent worker has had a second without a job; infinite if one never had.
func (r *silentRun) silentWorkerRate() (rate, settled float64) {
	from, to := r.clock(r.silenceStart), r.clock(r.silenceEnd)
	per := map[string][]int{}
	for w := range r.silent {
		per[w] = make([]int, int(to-from)+1)
	}
	n := 0.0
	for _, a := range r.attempts {
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
	p.Log("ideal run: discovery announces the silent workers at once")
	ideal, err := playSilent(p, "ideal", workers, silent, span, true, true)
	if err != nil {
		return nil, err
	}
	r := &Result{Size: fmt.Sprintf("%d workers of 4 slots, %d of them silent for %v, load 60%%, one dispatcher", workers, silent, span/2)}
	worth, whole := run.earned()
	best, bestWhole := ideal.earned()
	trials, settled := run.silentWorkerRate()
	r.AtLeast("worth kept while they are silent, against an ideal that is told", silentWorth, worth/whole/(best/bestWhole), "part")
	r.AtMost("jobs a second that a silent worker gets once 2 s have passed", silentTrials, trials, "jobs/s")
	r.AtMost("rules broken, by the records of clients and workers", 0, float64(len(run.violations)), "findings")
	r.AtLeast("jobs that came while they were silent (so that the rest means something)", 500, whole/silentValue, "jobs")
	r.Note("first second in which no silent worker got a job, from the silence on", settled, "s")
	r.Note("worth kept, of all that came", worth/whole, "part")
	r.Note("the ideal's", best/bestWhole, "part")
	r.Note("rules broken in the ideal's run", float64(len(ideal.violations)), "findings")
	curves := report.Plot{Title: "Worth of the jobs that came, in each second", XLabel: "s", YLabel: "part",
		Bands: []report.Band{{Name: "silence", From: run.since(run.silenceStart), To: run.since(run.silenceEnd)}},
		Lines: []report.Line{run.curve("one that learns"), ideal.curve("one that is told")}}
	if !p.Quick {
		p.Log("for comparison: round robin, which learns nothing")
		plain, err := playSilent(p, "plain", workers, silent, span, false, false)
		if err != nil {
			return nil, err
		}
		earned, total := plain.earned()
		rate, _ := plain.silentWorkerRate()
		r.Note("worth kept where each job goes to the next worker", earned/total, "part")
		r.Note("jobs a second that a silent worker gets there", rate, "jobs/s")
		curves.Lines = append(curves.Lines, plain.curve("each job to the next worker"))
	}
	r.Plots = append(r.Plots, curves, latencies(run.answers))
	for i, f := range append(run.violations, ideal.violations...) {
		if i < 20 {
			p.Log("%v", f)
		}
	}
	p.Log("answers %s", statuses(run.answers))
	return r, nil
}

// statuses returns the number of answers by status, as text.
func statuses(list []Answer) string {
	n := map[int]int{}
	for _, a := range list {
		n[a.Status]++
	}
	return strings.TrimPrefix(fmt.Sprint(n), "map")
}

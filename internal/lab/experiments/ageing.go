package experiments

import (
	"context"
	"fmt"
	"math"
	"time"
)

var ageingExperiment = Experiment{
	Name:    "ageing",
	About:   "A stream of dear jobs at 120% of the fleet, cheap and wide jobs beside it, at one real process.",
	Without: []string{"ageing"},
	Run:     runAgeing,
}

// Bounds of the claims: the longest wait of an admitted job of class cheap or wide, and the fraction of the
// dear class's worth that may be lost by bounding that wait.
const (
	ageingMaxWait      = 4 * time.Second
	ageingMaxWorthLoss = 0.05
)

// ageingRun is what clients and workers recorded of one run of the load.
type ageingRun struct {
	answers   []Answer
	jobs      []Job
	startedAt time.Time
	endedAt   time.Time
}

// playAgeing runs the load for span against a new process and fleet, with or without an ageing block in the
// process's file.
func playAgeing(p Params, name string, ageing bool, span time.Duration) (*ageingRun, error) {
	fleet, err := NewFleet(p.Seed, 12, 4, 300*time.Millisecond) // capacity: 160 jobs of one slot per second
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	file := "log {\n  level = \"info\"\n}\n"
	if ageing {
		file += fmt.Sprintf("ageing {\n  max_wait = %q\n  classes = [\"cheap\", \"wide\"]\n}\n", ageingMaxWait.String())
	}
	d, err := startSingleDispatcher(p, fleet, name, `{"name":"dear","aim":0.8,"hard_limit":3,"value":10,"semantics":"safe"},
 {"name":"cheap","aim":7,"hard_limit":9,"value":1,"semantics":"unsafe"},
 {"name":"wide","aim":7,"hard_limit":9,"value":2,"semantics":"unsafe"}`, file)
	if err != nil {
		return nil, err
	}
	defer d.Kill()
	load := NewLoad(p.Seed, []string{d.Addr})
	defer load.Close()
	ctx, stop := context.WithTimeout(context.Background(), span)
	defer stop()
	r := &ageingRun{startedAt: time.Now()}
	load.Play(ctx, p.Seed, []Stream{
		{Tenant: "t", Class: "dear", Rate: 1.2 * 160, ClientTimeout: 3 * time.Second},
		{Tenant: "t", Class: "cheap", Rate: 5, ClientTimeout: 9 * time.Second},
		{Tenant: "t", Class: "wide", Slots: 4, Rate: 0.4, ClientTimeout: 9 * time.Second},
	})
	load.Wait()
	r.endedAt = r.startedAt.Add(span)
	r.answers, r.jobs = load.Answers(), fleet.Jobs()
	return r, nil
}

// classOutcomes counts a class's jobs: ran were sent to a worker, refused got status 503 within 250 ms, and starved
// are all others, taken as admitted but never sent to a worker. longestWait is the longest time from a request to
// its first attempt or, if it starved, to its answer. slowestRefusal is the longest time until one of the refusals.
func (r *ageingRun) classOutcomes(class string) (longestWait time.Duration, ran, refused, starved int, slowestRefusal time.Duration) {
	first := map[string]time.Time{}
	for _, j := range r.jobs {
		if at, ok := first[j.ID]; !ok || j.At.Before(at) {
			first[j.ID] = j.At
		}
	}
	for _, a := range r.answers {
		if a.Class != class {
			continue
		}
		at, sent := first[a.ID]
		switch {
		case sent:
			ran++
			longestWait = max(longestWait, at.Sub(a.At))
		case a.Status == 503 && a.Took < 250*time.Millisecond:
			refused++
			slowestRefusal = max(slowestRefusal, a.Took)
		default: // admitted, but never sent to a worker
			starved++
			longestWait = max(longestWait, a.Took)
		}
	}
	return
}

// dearWorthPerSecond returns the worth of the dear jobs that were answered within 0.8 s, per second.
func (r *ageingRun) dearWorthPerSecond() (worth float64) {
	for _, a := range r.answers {
		if a.Class == "dear" && a.Status == 200 && a.Took < 800*time.Millisecond {
			worth += 10 // the value of class dear
		}
	}
	return worth / r.endedAt.Sub(r.startedAt).Seconds()
}

func runAgeing(p Params) (*Result, error) {
	span := 60 * time.Second
	if p.Quick {
		span = 12 * time.Second
	}
	p.Log("run without ageing for %v", span)
	baseline, err := playAgeing(p, "today", false, span)
	if err != nil {
		return nil, err
	}
	p.Log("run with a longest wait of %v", ageingMaxWait)
	bounded, err := playAgeing(p, "ageing", p.Without != "ageing", span)
	if err != nil {
		return nil, err
	}
	r := &Result{Size: fmt.Sprintf("12 workers of 4 slots, dear jobs at 120%%, %v, longest wait %v", span, ageingMaxWait)}
	worst, ran, refused, starved, slow := bounded.classOutcomes("cheap")
	wideWorst, wideRan, wideRefused, wideStarved, wideSlow := bounded.classOutcomes("wide")
	r.AtMost("an admitted cheap job waits for its first hop at most", ageingMaxWait.Seconds(), worst.Seconds(), "s")
	r.AtMost("an admitted job of four slots waits for its first hop at most", ageingMaxWait.Seconds(), wideWorst.Seconds(), "s")
	r.AtMost("admitted jobs that no worker ever got", 0, float64(starved+wideStarved), "jobs")
	r.AtLeast("cheap jobs that ran", 5, float64(ran), "jobs")
	r.AtLeast("jobs of four slots that ran", 1, float64(wideRan), "jobs")
	r.AtMost("a refusal comes after the job at most", 0.05, max(slow, wideSlow).Seconds(), "s")
	r.AtLeast("worth of the dear class against today's way", 1-ageingMaxWorthLoss, bounded.dearWorthPerSecond()/math.Max(baseline.dearWorthPerSecond(), 1), "part")
	r.Note("cheap jobs refused as they came", float64(refused), "jobs")
	r.Note("jobs of four slots refused as they came", float64(wideRefused), "jobs")
	worst, ran, _, starved, _ = baseline.classOutcomes("cheap")
	r.Note("today's way: longest wait of a cheap job", worst.Seconds(), "s")
	r.Note("today's way: cheap jobs that ran", float64(ran), "jobs")
	r.Note("today's way: cheap jobs that no worker ever got", float64(starved), "jobs")
	worst, ran, _, starved, _ = baseline.classOutcomes("wide")
	r.Note("today's way: longest wait of a job of four slots", worst.Seconds(), "s")
	r.Note("today's way: jobs of four slots that ran", float64(ran), "jobs")
	r.Note("today's way: jobs of four slots that no worker ever got", float64(starved), "jobs")
	r.Note("worth of the dear class, a second", bounded.dearWorthPerSecond(), "worth")
	r.Note("today's way: the same", baseline.dearWorthPerSecond(), "worth")
	return r, nil
}

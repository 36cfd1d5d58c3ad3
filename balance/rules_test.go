package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// randomRun generates random but valid events and checks these rules: each job gets one final answer and no
// send after it, a non-idempotent job that may have run is not sent again, no job is sent to a draining worker,
// attempts stay within the limit, and no job remains stored after its end.
type randomRun struct {
	*rig
	seed     uint64
	rng      *rand.Rand
	cfg      Config
	inFlight []trackedAttempt
	jobs     map[string]*trackedJob
	draining map[string]bool
}

type trackedAttempt struct {
	Send
	number    int
	cancelled bool
}

type trackedJob struct {
	class      string
	deadline   float64
	attempts   int
	answered   bool
	mayHaveRun bool
}

var randomOutcomes = []Outcome{
	Served, Served, Served, Failed, Overloaded, Unreachable, ConnectionLost, StaleConnection, Blocked,
}

// runRandomEvents runs a number of random steps and then lets all jobs end.
func runRandomEvents(t *testing.T, seed uint64, steps int) {
	cfg := testConfig()
	cfg.Hedging = seed%2 == 0
	cfg.Cancellation = seed%3 > 0
	d := &randomRun{
		rig:      newRig(t, cfg, runningWorkers("u", "v", "w", "x")...),
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		cfg:      cfg,
		jobs:     map[string]*trackedJob{},
		draining: map[string]bool{},
	}
	for i := range steps {
		d.now += d.rng.Float64() * 0.3
		d.play(i < steps*3/4)
	}
	d.finish()
}

// play generates the events of one step, in which a job may arrive if mayArrive is set.
func (d *randomRun) play(mayArrive bool) {
	var events []Event
	if d.rng.IntN(3) > 0 && mayArrive {
		events = append(events, d.arrive())
	}
	w := []string{"u", "v", "w", "x"}[d.rng.IntN(4)]
	if d.rng.IntN(40) == 0 {
		events = append(events, d.toggle(w))
	}
	events = append(events, d.report(w, float64(d.rng.IntN(4))))
	for k := 0; k < len(d.inFlight); k++ {
		a := d.inFlight[k]
		late := d.now >= d.jobs[a.ID].deadline
		if !late && !a.cancelled && d.rng.IntN(8) > 0 {
			if d.rng.IntN(4) == 0 {
				events = append(events, AttemptStarted{a.ID, a.number})
			}
			continue
		}
		d.inFlight = slices.Delete(d.inFlight, k, k+1)
		k--
		d.check(d.step(append(events, d.end(a, late))...))
		events = nil
	}
	d.check(d.step(append(events, TimerFired{})...))
}

func (d *randomRun) arrive() Event {
	j := d.job([]string{"read", "write", "put"}[d.rng.IntN(3)], []string{"a", "b"}[d.rng.IntN(2)])
	d.jobs[j.ID] = &trackedJob{class: j.Class, deadline: d.now + j.Timeout}
	return j
}

// toggle makes a running worker drain, or a draining one run again.
func (d *randomRun) toggle(w string) Event {
	d.draining[w] = !d.draining[w]
	state := Running
	if d.draining[w] {
		state = Draining
	}
	return EndpointUpdate{Kind: EndpointsDelta, Workers: []WorkerInfo{{ID: w, Zone: "here", State: state}}}
}

// end chooses the outcome of an attempt.
func (d *randomRun) end(a trackedAttempt, late bool) Event {
	o := randomOutcomes[d.rng.IntN(len(randomOutcomes))]
	switch {
	case late:
		o = TimedOut
	case a.cancelled:
		o = Cancelled
	}
	j := d.jobs[a.ID]
	j.answered = j.answered || o == Served
	if o == Overloaded || o == Unreachable || o == Blocked {
		other := slices.ContainsFunc(d.inFlight, func(x trackedAttempt) bool { return x.ID == a.ID })
		j.mayHaveRun = other || d.b.jobs[a.ID] != nil && d.b.jobs[a.ID].mayHaveRun
	}
	return AttemptDone{ID: a.ID, Attempt: a.number, Worker: a.Worker, Outcome: o, JobFinished: j.answered}
}

// finish advances time until all attempts in flight have timed out, and checks that all jobs are answered.
func (d *randomRun) finish() {
	for range 400 {
		d.now += 0.1
		d.check(d.step(TimerFired{}))
		for len(d.inFlight) > 0 && d.now >= d.jobs[d.inFlight[0].ID].deadline {
			a := d.inFlight[0]
			d.inFlight = d.inFlight[1:]
			d.check(d.step(AttemptDone{
				ID:          a.ID,
				Attempt:     a.number,
				Worker:      a.Worker,
				Outcome:     TimedOut,
				JobFinished: d.jobs[a.ID].answered,
			}))
		}
	}
	for id, j := range d.jobs {
		if !j.answered {
			d.t.Fatalf("seed %d: job %s was never answered", d.seed, id)
		}
	}
	if len(d.b.jobs) != 0 {
		d.t.Fatalf("seed %d: %d jobs still stored after all ended", d.seed, len(d.b.jobs))
	}
}

// check checks the actions against the rules and carries them out.
func (d *randomRun) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			d.checkSend(a)
		case Cancel:
			if d.jobs[a.ID].class == "write" {
				d.t.Fatalf("seed %d: non-idempotent job %s was cancelled", d.seed, a.ID)
			}
			for k := range d.inFlight {
				if x := &d.inFlight[k]; x.ID == a.ID && x.number == a.Attempt {
					x.cancelled = true
				}
			}
		case Reject:
			j := d.jobs[a.ID]
			if j.answered || j.class != "read" && j.mayHaveRun {
				d.t.Fatalf("seed %d: job %s must not be rejected: already answered %v, class %s",
					d.seed, a.ID, j.answered, j.class)
			}
			j.answered = true
		case Fail:
			if d.jobs[a.ID].answered {
				d.t.Fatalf("seed %d: job %s was answered twice", d.seed, a.ID)
			}
			d.jobs[a.ID].answered = true
		}
	}
}

func (d *randomRun) checkSend(a Send) {
	j := d.jobs[a.ID]
	if j.answered || d.draining[a.Worker] || j.attempts >= d.cfg.MaxAttempts {
		d.t.Fatalf("seed %d: send %v is not allowed: job answered %v, worker draining %v, earlier attempts %d",
			d.seed, a, j.answered, d.draining[a.Worker], j.attempts)
	}
	if j.class == "write" && j.mayHaveRun {
		d.t.Fatalf("seed %d: non-idempotent job %s was sent again", d.seed, a.ID)
	}
	for _, x := range d.inFlight {
		if !d.cfg.Hedging && x.ID == a.ID {
			d.t.Fatalf("seed %d: two attempts of job %s in flight without hedging", d.seed, a.ID)
		}
	}
	d.inFlight = append(d.inFlight, trackedAttempt{Send: a, number: j.attempts})
	j.attempts++
	j.mayHaveRun = true
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		runRandomEvents(t, seed, 600)
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(200))
	f.Add(uint64(42), uint16(900))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { runRandomEvents(t, seed, int(steps%1000)) })
}

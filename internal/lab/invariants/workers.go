package invariants

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// startSkewSeconds is the tolerance for comparing a start time in the endpoint list.
	startSkewSeconds = 1e-3

	slowStartTolerance = 1.1 // of the budget
)

const overloadFormat = "got %.2f slot seconds within %.1f s, %.1f s after its start: %.2f would push it over"

// route is a dispatcher and one of its workers.
type route struct {
	dispatcher string
	worker     string
}

// checkDrains checks rule 3: a dispatcher sends no new jobs to a draining worker
// later than DrainGrace after it was notified.
func (c *checker) checkDrains() {
	changes := map[route][]EndpointChange{}
	for _, change := range c.h.EndpointChanges {
		key := route{change.Dispatcher, change.Worker}
		changes[key] = append(changes[key], change)
	}
	for _, list := range changes {
		slices.SortStableFunc(list, func(a, b EndpointChange) int { return cmp.Compare(a.At, b.At) })
	}
	for i := range c.h.Attempts {
		a := &c.h.Attempts[i]
		since, draining := drainingSince(changes[route{a.Dispatcher, a.Worker}], a.First)
		if draining && a.First > since+c.h.Limits.DrainGrace+c.slack {
			c.reportAttempt(ruleDrain, a, "was sent to %s, of which it had been told %.3f s before that it leaves",
				a.Worker, a.First-since)
		}
	}
}

// drainingSince returns whether a worker is draining at a time according to the
// changes up to then, and since when. The changes are in order of time.
func drainingSince(changes []EndpointChange, at float64) (since float64, draining bool) {
	for _, change := range changes {
		if change.At > at {
			break
		}
		inactive := change.State != stateActive
		if inactive && !draining {
			since = change.At
		}
		draining = inactive
	}
	return since, draining
}

// checkSlowStart checks rule 4: within OverloadSpan, a worker in slow start gets at
// most OverloadMultiple times its current capacity. An excess counts only if at
// least two thirds of the work come from dispatchers that were notified of the
// start.
func (c *checker) checkSlowStart() {
	limits := &c.h.Limits
	if limits.OverloadMultiple == 0 || limits.OverloadSpan == 0 {
		return
	}
	byWorker := map[string][]*Attempt{}
	for i := range c.h.Attempts {
		a := &c.h.Attempts[i]
		byWorker[a.Worker] = append(byWorker[a.Worker], a)
	}
	for i := range c.h.Workers {
		w := &c.h.Workers[i]
		if w.Started == 0 {
			continue
		}
		attempts := byWorker[w.Name]
		slices.SortStableFunc(attempts, byFirstByte)
		c.checkWorkerStart(w, attempts)
	}
}

// notifiedAt returns the time at which each dispatcher was notified of a worker's last
// start.
func (c *checker) notifiedAt(w *Worker) map[string]float64 {
	notified := map[string]float64{}
	for _, change := range c.h.EndpointChanges {
		if change.Worker != w.Name || change.Started < w.Started-startSkewSeconds {
			continue
		}
		if at, known := notified[change.Dispatcher]; !known || change.At < at {
			notified[change.Dispatcher] = change.At
		}
	}
	return notified
}

// window sums the work in slot seconds that a worker got within OverloadSpan.
type window struct {
	notifiedAt map[string]float64 // by dispatcher
	total      float64
	informed   float64 // from dispatchers that were notified
}

func (w *window) add(a *Attempt) {
	w.total += a.Work
	w.informed += w.informedWork(a)
}

func (w *window) remove(a *Attempt) {
	w.total -= a.Work
	w.informed -= w.informedWork(a)
}

func (w *window) informedWork(a *Attempt) float64 {
	if at, known := w.notifiedAt[a.Dispatcher]; known && a.First >= at {
		return a.Work
	}
	return 0
}

// checkWorkerStart reports the first attempt that exceeds the budget of a worker
// in slow start.
func (c *checker) checkWorkerStart(w *Worker, attempts []*Attempt) {
	limits := &c.h.Limits
	sum := window{notifiedAt: c.notifiedAt(w)}
	oldest := 0
	for _, a := range attempts {
		age := a.First - w.Started
		if a.First < w.Started || a.First > w.Started+limits.SlowStartSeconds {
			continue
		}
		sum.add(a)
		for ; attempts[oldest].First < max(w.Started, a.First-limits.OverloadSpan); oldest++ {
			if attempts[oldest].First >= w.Started {
				sum.remove(attempts[oldest])
			}
		}
		budget := limits.OverloadMultiple * w.Slots * c.capacity(age) * limits.OverloadSpan
		if sum.total > slowStartTolerance*budget && sum.informed >= sum.total*2/3 {
			c.violations = append(c.violations, Violation{
				Rule: ruleSlowStart,
				At:   a.First,
				ID:   a.ID,
				Who:  w.Name,
				Text: fmt.Sprintf(overloadFormat, sum.total, limits.OverloadSpan, age, budget),
			})
			return
		}
	}
}

// capacity returns the fraction of its slots that a worker offers at an age, which is
// the number of seconds since its start.
func (c *checker) capacity(age float64) float64 {
	limits := &c.h.Limits
	if limits.SlowStartSeconds <= 0 {
		return 1
	}
	return min(1, limits.SlowStartFloor+(1-limits.SlowStartFloor)*age/limits.SlowStartSeconds)
}

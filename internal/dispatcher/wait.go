package dispatcher

import (
	"errors"
	"net/http"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/ingress"
	"example.org/bellstream/internal/waiting"
)

// What the loop does for jobs that wait for others or for a time. Which ones
// may go, and which never will, is decided in package waiting.

// outcomeOf is how a job ended, for those that wait for it.
func outcomeOf(status int) waiting.Outcome {
	switch status {
	case http.StatusOK:
		return waiting.Served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return waiting.Refused
	}
	return waiting.Failed
}

// admit lets a request in, to wait or to go on; one that may not wait as it
// wishes is answered here.
func (d *Dispatcher) admit(h *held) bool {
	r := h.req
	if d.Waiting == nil {
		return true
	}
	now := d.clock()
	notBefore := d.at(r.Arrived.Add(r.Hold))
	if len(r.After) == 0 && notBefore <= now {
		d.Waiting.Track(now, r.ID)
		return true
	}
	_, err := d.Waiting.Add(now, waiting.Job{ID: r.ID, After: r.After, NotBefore: notBefore,
		GiveUp: h.deadline - giveUp, Size: int64(len(r.Body) + overhead)})
	if err == nil {
		return true
	}
	d.limited("door "+h.req.Class, "job %s may not wait here: %v", r.ID, err)
	a := ingress.Answer{Status: http.StatusBadRequest, Body: []byte(err.Error() + "\n")}
	var full *waiting.Full
	var doomed *waiting.Doomed
	if errors.As(err, &full) || errors.As(err, &doomed) && doomed.Retry() {
		a.Status, a.RetryAfter = http.StatusServiceUnavailable, d.Settings.Caps.MaxRetryAfter
	} else if doomed != nil {
		a.Status = http.StatusFailedDependency
	}
	r.Answer(a)
	return false
}

// unwait lets go of what has waited long enough: to the module, or, where what
// it waited for has failed, to its answer. Of jobs for the module no more than
// the given number go at once.
func (d *Dispatcher) unwait(now float64, most int) {
	if d.Waiting == nil {
		return
	}
	d.Waiting.Tick(now)
	for n, all := 0, 0; n < most && (all < 16*most || most > 1<<30); {
		list := d.Waiting.Take(now, min(most-n, 1024))
		if len(list) == 0 {
			return
		}
		for _, due := range list {
			all++
			h := d.held[due.ID]
			if due.Cause != nil && h != nil {
				d.limited("cascade", "job %s ends with one that it waited for: %v", due.ID, due.Cause)
			}
			switch {
			case h == nil || h.answered:
			case due.Over: // no time is left: the module answers it in this step
				d.offer(h, 0, true)
			case due.Cause == nil:
				n++
				d.offer(h, h.deadline-now, true)
			case due.Cause.Retry():
				d.answer(h, ingress.Answer{Status: http.StatusServiceUnavailable, RetryAfter: d.Settings.Caps.MaxRetryAfter,
					Body: []byte(due.Cause.String() + "\n")})
			default:
				d.answer(h, ingress.Answer{Status: http.StatusFailedDependency, Body: []byte(due.Cause.String() + "\n")})
			}
		}
	}
}

// limited logs a line, at most one a minute of its kind. Kinds are few: never
// what clients send.
func (d *Dispatcher) limited(kind, format string, args ...any) {
	d.seldom.Do(kind, func(held int) {
		if held > 0 {
			format += " (%d such lines were held back)"
			args = append(args, held)
		}
		d.Log(format, args...)
	})
}

// enter and leave keep count of what waits, where somebody looks.
func (d *Dispatcher) enter(h *held, s waiting.Stage) {
	if d.Depths == nil {
		return
	}
	tenant := h.req.Tenant
	if !d.tenants[tenant] {
		tenant = "other" // clients name them: they are not to make lines without end
	}
	d.Depths.Enter(d.clock(), &h.place, s, h.req.Class, tenant)
}

func (d *Dispatcher) leave(h *held, o waiting.Outcome) {
	if d.Depths == nil {
		return
	}
	d.Depths.Leave(&h.place)
	if h.promised == 0 || len(h.hops) > 0 || o == waiting.Left {
		return
	}
	if h.step == d.steps { // in the step that took it in
		d.Depths.Hops(h.req.Class).Declined++
		d.limited("declined "+h.req.Class, "class %s: job %s refused as it came: no turn within %v s can be promised", h.req.Class, h.req.ID, h.promised)
		return
	}
	d.Depths.Hops(h.req.Class).Unsent++
	d.limited("unsent "+h.req.Class, "class %s: job %s ended unsent %.3f s after it was promised a turn within %v s", h.req.Class, h.req.ID,
		d.clock()-h.offered, h.promised)
}

// firstHop takes in that a job leaves for a worker for the first time.
func (d *Dispatcher) firstHop(h *held) {
	if d.Depths == nil {
		return
	}
	d.Depths.Leave(&h.place)
	if wait := d.clock() - h.offered; d.Depths.Hops(h.req.Class).Add(wait, h.promised) {
		d.limited("late "+h.req.Class, "class %s: job %s was first sent after %.3f s, promised were %v s", h.req.Class, h.req.ID, wait, h.promised)
	}
}

// age has other longest waits count for jobs that come from now on. Classes that
// are not named are promised nothing.
func (d *Dispatcher) age(waits map[string]float64) {
	for _, l := range d.Settings.Lanes {
		if now := waits[l.Name]; now != d.Ageing[l.Name] && now > 0 {
			d.Log("reload: class %s: sent within %v s or refused as it comes", l.Name, now)
		} else if now != d.Ageing[l.Name] {
			d.Log("reload: class %s: no longest wait is promised any more", l.Name)
		}
	}
	d.Ageing = waits
	d.events = append(d.events, balance.Retune{Config: d.config()})
}

// Limits has other limits count for jobs that come to wait from now on.
func (d *Dispatcher) Limits(l waiting.Limits) { d.post(limits{l}) }

// Promise has other longest waits, by class and in seconds, count for jobs that
// come from now on.
func (d *Dispatcher) Promise(waits map[string]float64) { d.post(ageing{waits}) }

// Figures are what operators see of jobs that wait.
type Figures struct {
	On bool `json:"on"` // jobs may wait for others or for a time
	waiting.Stats
	Depths    []waiting.Depth     `json:"depths"`
	FirstHops []waiting.FirstHops `json:"first_hops"`
}

func (d *Dispatcher) figures() (f Figures) {
	if f.On = d.Waiting != nil; f.On {
		f.Stats = d.Waiting.Stats()
	}
	if d.Depths != nil {
		f.Depths, f.FirstHops = d.Depths.Read(d.clock())
	}
	return f
}

// Figures are the present ones; false once the loop has ended.
func (d *Dispatcher) Figures() (Figures, bool) {
	to := make(chan Figures, 1)
	d.post(reading{to})
	select {
	case f := <-to:
		return f, true
	case <-d.done:
		return Figures{}, false
	}
}

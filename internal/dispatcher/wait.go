package dispatcher

import (
	"errors"
	"net/http"

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
	if len(r.After) == 0 && r.NotBefore <= now {
		d.Waiting.Track(now, r.ID)
		return true
	}
	_, err := d.Waiting.Add(now, waiting.Job{ID: r.ID, After: r.After, NotBefore: r.NotBefore,
		GiveUp: h.deadline - giveUp, Size: int64(len(r.Body) + overhead)})
	if err == nil {
		return true
	}
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

// Limits has other limits count for jobs that come to wait from now on.
func (d *Dispatcher) Limits(l waiting.Limits) { d.post(limits{l}) }

// WaitingStats are the present figures of what waits; false once the loop has
// ended, or where nothing may wait.
func (d *Dispatcher) WaitingStats() (waiting.Stats, bool) {
	if d.Waiting == nil {
		return waiting.Stats{}, false
	}
	to := make(chan waiting.Stats, 1)
	d.post(reading{to})
	select {
	case s := <-to:
		return s, true
	case <-d.done:
		return waiting.Stats{}, false
	}
}

package dispatcher

import (
	"net/http"
	"slices"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// startAttempt forwards a request to a worker.
func (d *Dispatcher) startAttempt(a balance.Send) {
	r := d.requests[a.ID]
	if r == nil || r.answered {
		return
	}
	number := len(r.attempts)
	if r.inbound.Disconnected() { // its clientDisconnected message is still queued
		d.handleDisconnect(r)
		d.addEvent(balance.AttemptDone{ID: a.ID, Attempt: number, Outcome: balance.Blocked, JobFinished: true})
		return
	}
	if number == 0 {
		if !d.acceptSend(r) {
			d.answerSentElsewhere(r)
			d.addEvent(balance.AttemptDone{ID: a.ID, Attempt: number, Outcome: balance.Blocked, JobFinished: true})
			return
		}
		d.recordFirstAttempt(r)
	}
	if d.Usage != nil {
		d.Usage.RecordStart(r.inbound.Tenant, r.size())
	}
	handle := d.endpoints.Handle(a.Worker)
	if handle == nil {
		r.attempts = append(r.attempts, nil)
		d.recordOutcome(r, number, balance.Unreachable, nil)
		return
	}
	sendBy := r.sendBy()
	r.lastSentAt = d.lastStepAt
	decidedBy := d.effectiveConfig
	fields := d.reportFields
	request := &upstream.AttemptRequest{
		ID:             r.inbound.ID,
		Method:         r.inbound.Method,
		URI:            r.inbound.URI,
		IdempotencyKey: r.inbound.IdempotencyKey,
		Body:           r.inbound.Body,
		Deadline:       d.wallTime(r.deadline),
		SendBy:         d.wallTime(sendBy),
		Fields:         d.reportFieldNames(),
		AtMostOnce:     r.atMostOnce(),
		Blocked: func() balance.Outcome {
			if r.inbound.Disconnected() || handle.Invalid() {
				return balance.Blocked
			}
			return d.checkSend(a.Worker, number > 0, decidedBy)
		},
	}
	r.attempts = append(r.attempts, d.Upstream.Start(request, handle.Address, func(e upstream.AttemptEvent) {
		d.post(reportingEvent{fields, attemptEvent{r, number, a.Worker, e}})
	}))
}

// sendBy returns the time by which the next attempt must have been sent completely. A retry must be sent within
// the deduplication window of the first attempt that may have run. The window is counted from the decision to
// send that attempt, which precedes the worker's receipt of the job, so a retry sent by its end is in time.
func (r *request) sendBy() float64 {
	if window := r.dedupWindow(); window > 0 && r.firstMayHaveRunAt > 0 {
		return min(r.deadline, r.firstMayHaveRunAt+window)
	}
	return r.deadline
}

func (d *Dispatcher) startHealthCheck(worker string) {
	addr, ok := d.endpoints.Address(worker)
	if !ok {
		d.addEvent(balance.HealthCheckDone{Worker: worker, Outcome: balance.Unreachable})
		return
	}
	fields := d.reportFields
	d.Upstream.HealthCheck(addr, d.reportFieldNames(), func(e upstream.AttemptEvent) {
		d.post(reportingEvent{fields, healthCheckEvent{worker, e}})
	})
}

// reportFieldNames returns the fields to request in load reports, by the platform's names; nil if reports are off.
func (d *Dispatcher) reportFieldNames() []string {
	if d.Settings.LoadReports.Mode == settings.ReportsSilent {
		return nil
	}
	return d.Settings.LoadReports.Fields
}

// handleReporting handles an event that may carry a load report. The report's values are in the order of the
// fields that were requested. If a reload has changed the fields since then, the report is dropped, as its
// values would be taken for those of other fields.
func (d *Dispatcher) handleReporting(m reportingEvent) {
	fieldsChanged := !slices.Equal(m.fields, d.reportFields)
	switch e := m.event.(type) {
	case attemptEvent:
		if fieldsChanged {
			e.event.Report = nil
		}
		d.handle(e)
	case healthCheckEvent:
		if fieldsChanged {
			e.event.Report = nil
		}
		d.handle(e)
	}
}

// handleAttemptEvent handles an event of an attempt. Events of attempts that the loop has already ended are ignored.
func (d *Dispatcher) handleAttemptEvent(m attemptEvent) {
	r := m.request
	if r.attempts[m.attempt] == nil {
		return
	}
	outcome := m.event.Outcome
	if outcome == "" {
		d.addEvent(balance.AttemptStarted{ID: r.inbound.ID, Attempt: m.attempt})
		return
	}
	r.attempts[m.attempt] = nil
	if r.inbound.Disconnected() && outcome != balance.Served {
		// The clientDisconnected message is still queued: the outcome must not cause another attempt.
		d.handleDisconnect(r)
	}
	if outcome == balance.Served {
		d.answer(r, downstream.Answer{Status: http.StatusOK, Body: m.event.Result})
	} else if outcome != balance.Overloaded && !r.answered {
		d.Log("request %s: attempt %d at %s: %s (%s)", r.inbound.ID, m.attempt, m.worker, outcome, m.event.Reason)
	}
	d.recordOutcome(r, m.attempt, outcome, m.event.Report)
}

func (d *Dispatcher) cancelAttempt(a balance.Cancel) {
	if r := d.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
		d.abandonAttempt(r, a.Attempt, balance.Cancelled, nil)
	}
}

// expireAttempts ends the attempts in flight of a request whose deadline has passed.
func (d *Dispatcher) expireAttempts(r *request) {
	for n := range r.attempts {
		d.abandonAttempt(r, n, balance.TimedOut, nil)
	}
}

// abandonAttempt ends an attempt that is in flight and records the outcome.
func (d *Dispatcher) abandonAttempt(r *request, number int, o balance.Outcome, report []float64) {
	if r.attempts[number] != nil {
		r.attempts[number].Abandon()
		d.recordOutcome(r, number, o, report)
	}
}

func (d *Dispatcher) recordOutcome(r *request, number int, o balance.Outcome, report []float64) {
	r.attempts[number] = nil
	if d.Usage != nil && o.NeverRan() {
		d.Usage.RecordRefund(r.inbound.Tenant, r.size()) // the scheduler refunds its tags as well
	}
	mayHaveRun := !o.NeverRan() || o == balance.Overloaded && d.Settings.FleetRules.OverloadedMayHaveRun
	if r.firstMayHaveRunAt == 0 && mayHaveRun {
		r.firstMayHaveRunAt = r.lastSentAt
	}
	d.addEvent(balance.AttemptDone{
		ID:          r.inbound.ID,
		Attempt:     number,
		Outcome:     o,
		JobFinished: r.answered,
		Report:      report,
	})
	if !r.answered && !r.inFlight() {
		d.enterStage(r, deferred.StageQueued) // the scheduler retries or answers it
	}
	d.releaseRequest(r)
}

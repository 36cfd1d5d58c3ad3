package main

import (
	"fmt"

	"example.org/bellstream/balance"
)

var workerStates = map[string]balance.WorkerState{
	"Running":  balance.Running,
	"Stopping": balance.Draining,
	"Deleted":  balance.Removed,
}

var updateKinds = map[string]balance.EndpointUpdateKind{
	"SAVED":       balance.EndpointsCached,
	"FULL":        balance.EndpointsSnapshot,
	"INCREMENTAL": balance.EndpointsDelta,
	"FAILED":      balance.EndpointsFailed,
}

var outcomes = map[string]balance.Outcome{
	"success":     balance.Served,
	"failure":     balance.Failed,
	"overloaded":  balance.Overloaded,
	"timed_out":   balance.TimedOut,
	"unreachable": balance.Unreachable,
	"broken":      balance.ConnectionLost,
	"withdrawn":   balance.Cancelled,
	"void":        balance.NotSent,
}

// unknownValueError reports a value in a message that the protocol does not define.
type unknownValueError struct {
	Message string // its name on the wire
	Field   string
	Value   string
}

func (e *unknownValueError) Error() string {
	return fmt.Sprintf("%s: unknown %s %q", e.Message, e.Field, e.Value)
}

// listError reports a reference to an endpoint list that was not sent before.
type listError struct{ ID int }

func (e *listError) Error() string { return fmt.Sprintf("PEERS_KNOWN: list %d was never sent", e.ID) }

// decodeEvent translates one message into an event. It returns nil for messages that the decision module does
// not need and for messages of later protocol versions.
func (a *adapter) decodeEvent(m *inbound) (balance.Event, error) {
	switch {
	case m.JobArrived != nil:
		return m.JobArrived.jobArrived(), nil
	case m.ClientDisconnected != nil:
		return balance.ClientDisconnected{ID: m.ClientDisconnected.JobID}, nil
	case m.AttemptDone != nil:
		return m.AttemptDone.attemptDone()
	case m.Heartbeat != nil && m.Heartbeat.HeartbeatKind == heartbeatStarted:
		return balance.AttemptStarted{ID: m.Heartbeat.JobID, Attempt: m.Heartbeat.Attempt}, nil
	case m.HealthCheckDone != nil:
		return m.HealthCheckDone.healthCheckDone()
	case m.TimerFired != nil:
		return balance.TimerFired{}, nil
	case m.EndpointUpdate != nil:
		return a.endpointUpdate(m.EndpointUpdate)
	}
	return nil, nil
}

func (m *eventMessage) jobArrived() balance.Event {
	tenant, _ := m.Tenant.(string)
	return balance.JobArrived{
		ID:      m.JobID,
		Class:   m.Class,
		Tenant:  tenant,
		Timeout: m.Timeout,
		Slots:   m.Slots,
		Memory:  m.Memory,
		Retry:   m.Retry,
	}
}

func (m *eventMessage) attemptDone() (balance.Event, error) {
	outcome, ok := outcomes[m.Outcome]
	if !ok {
		return nil, &unknownValueError{"SETTLED", "reason", m.Outcome}
	}
	return balance.AttemptDone{
		ID:          m.JobID,
		Attempt:     m.Attempt,
		Worker:      m.Worker,
		Outcome:     outcome,
		JobFinished: m.JobFinished,
		Report:      m.Report,
	}, nil
}

func (m *eventMessage) healthCheckDone() (balance.Event, error) {
	outcome, ok := outcomes[m.Outcome]
	if !ok {
		return nil, &unknownValueError{"SAMPLED", "reason", m.Outcome}
	}
	return balance.HealthCheckDone{Worker: m.Worker, Outcome: outcome, Report: m.Report}, nil
}

func (a *adapter) endpointUpdate(m *eventMessage) (balance.Event, error) {
	kind, ok := updateKinds[m.UpdateKind]
	if !ok {
		return nil, &unknownValueError{"PEERS_KNOWN", "kind", m.UpdateKind}
	}
	if kind == balance.EndpointsFailed {
		return balance.EndpointUpdate{Kind: kind}, nil
	}
	list, ok := a.endpointLists[m.ListID]
	if !ok {
		return nil, &listError{m.ListID}
	}
	return balance.EndpointUpdate{Kind: kind, Workers: list}, nil
}

// encodeAction translates one action into a message. It panics for an action without a message.
func encodeAction(a balance.Action) outbound {
	switch a := a.(type) {
	case balance.Send:
		return outbound{Send: &workerMessage{JobID: a.ID, Worker: a.Worker}}
	case balance.Reject:
		return outbound{Reject: &answerMessage{JobID: a.ID, RetryAfter: a.RetryAfter}}
	case balance.Fail:
		return outbound{Fail: &answerMessage{JobID: a.ID}}
	case balance.Cancel:
		return outbound{Cancel: &cancelMessage{JobID: a.ID, Attempt: a.Attempt}}
	case balance.HealthCheck:
		return outbound{HealthCheck: &workerMessage{Worker: a.Worker}}
	case balance.SetTimer:
		return outbound{SetTimer: &timerMessage{Delay: a.After, Name: timerName}}
	case balance.Subscribe:
		return outbound{Subscribe: &subscribeMessage{Subscribe: true}}
	case balance.Log:
		return outbound{Log: &textMessage{Text: a.Text}}
	}
	panic(fmt.Sprintf("no protocol message for action %T", a))
}

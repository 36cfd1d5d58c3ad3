package main

import "encoding/json"

// This file defines the messages of the simulator's protocol. The JSON keys are the protocol's; the Go names
// are those of the decision module's events and actions.

// batchRequest is one line of input: messages to one or more instances at one time.
type batchRequest struct {
	Now       *float64          `json:"clock"`
	BatchID   json.RawMessage   `json:"turn"`
	Instances []instanceRequest `json:"parts"`
}

type instanceRequest struct {
	Name     string    `json:"who"`
	Messages []inbound `json:"news"`
}

// batchReply is the line of output that answers a batchRequest.
type batchReply struct {
	BatchID   json.RawMessage  `json:"turn"`
	Instances []*instanceReply `json:"parts"`
}

type instanceReply struct {
	Name    string     `json:"who"`
	Actions []outbound `json:"decisions"`
}

// inbound is one message. Only the field of its kind is set, and none if the kind is unknown.
type inbound struct {
	Start              *startMessage `json:"POWER_ON"`
	EndpointList       *endpointList `json:"SHEET"`
	Shutdown           *eventMessage `json:"SHUTDOWN"`
	JobArrived         *eventMessage `json:"ACCEPT"`
	ClientDisconnected *eventMessage `json:"EXPIRED"`
	AttemptDone        *eventMessage `json:"SETTLED"`
	Heartbeat          *eventMessage `json:"HEARTBEAT"`
	HealthCheckDone    *eventMessage `json:"SAMPLED"`
	TimerFired         *eventMessage `json:"WAKE"`
	EndpointUpdate     *eventMessage `json:"PEERS_KNOWN"`
}

// startMessage starts an instance, or restarts it.
type startMessage struct {
	Seed     json.Number     `json:"salt"`
	Settings json.RawMessage `json:"options"`
}

// endpointList is an endpoint list with a number by which later messages refer to it.
type endpointList struct {
	ID        int        `json:"table"`
	Endpoints []endpoint `json:"lines"`
}

type endpoint struct {
	Worker    string  `json:"executor"`
	Zone      string  `json:"locality"`
	Kind      string  `json:"model"`
	Cell      int     `json:"cluster"`
	State     string  `json:"availability"`
	StartedAt float64 `json:"last_start"`
}

// heartbeatStarted is the HeartbeatKind that reports the start of a job.
const heartbeatStarted = 1

// eventMessage holds the fields of all other inbound messages.
type eventMessage struct {
	JobID         string    `json:"msg_id"`
	Class         string    `json:"priority"`
	Tenant        any       `json:"tenant"`
	Timeout       float64   `json:"expires_in"`
	Slots         float64   `json:"cores_needed"`
	Memory        float64   `json:"memory"`
	Retry         bool      `json:"retry"`
	Worker        string    `json:"executor"`
	HeartbeatKind int       `json:"sort"`
	Attempt       int       `json:"go"`
	JobFinished   bool      `json:"no_more"`
	Outcome       string    `json:"reason"`
	Report        []float64 `json:"load"`
	UpdateKind    string    `json:"kind"`
	ListID        int       `json:"table"`
}

// outbound is one action. Only the field of its kind is set.
type outbound struct {
	Send        *workerMessage    `json:"HAND_OFF,omitempty"`
	Reject      *answerMessage    `json:"PUSH_BACK,omitempty"`
	Fail        *answerMessage    `json:"SURRENDER,omitempty"`
	Cancel      *cancelMessage    `json:"CALL_OFF,omitempty"`
	HealthCheck *workerMessage    `json:"TOUCH,omitempty"`
	SetTimer    *timerMessage     `json:"AFTER,omitempty"`
	Subscribe   *subscribeMessage `json:"TAIL,omitempty"`
	Log         *textMessage      `json:"WRITE_LOG,omitempty"`
	Fault       *textMessage      `json:"GIVE_IN,omitempty"`
}

type workerMessage struct {
	JobID  string `json:"msg_id,omitempty"`
	Worker string `json:"executor"`
}

type answerMessage struct {
	JobID      string  `json:"msg_id"`
	RetryAfter float64 `json:"not_before_for,omitempty"`
}

type cancelMessage struct {
	JobID   string `json:"msg_id"`
	Attempt int    `json:"go"`
}

// timerName is the name of an instance's only timer.
const timerName = "t"

type timerMessage struct {
	Delay float64 `json:"span"`
	Name  string  `json:"ref"`
}

type subscribeMessage struct {
	Subscribe bool `json:"want"`
}

type textMessage struct {
	Text string `json:"body_text"`
}

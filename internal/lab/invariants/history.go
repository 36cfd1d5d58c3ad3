// Package invariants checks the records of clients, workers and instances. For
// requests it checks four rules: no request is lost, no effect is repeated,
// draining workers get no new jobs, and workers in slow start are not
// overloaded. For journals it checks that no two instances had conflicting
// configurations at the same time. It uses none of the dispatcher's code or
// state. Times are in seconds on one clock, in journals in nanoseconds.
package invariants

import "fmt"

// Request is a client's record of one request.
type Request struct {
	ID             string
	Class          string
	Dispatcher     string
	SentAt         float64 // when its last byte was written
	ClientTimeout  float64 // seconds from SentAt
	DisconnectedAt float64 // when the client closed its connection; 0: it did not
	Answers        []Answer
	NeverAccepted  bool // the connection was never accepted
}

// Answer is a complete final answer.
type Answer struct {
	At     float64 // of its last byte
	Status int
	Body   string // of an answer with status 200
}

// Attempt is a worker's record of one request that reached it.
type Attempt struct {
	ID         string
	Worker     string
	Dispatcher string
	First      float64 // first byte of the request
	Last       float64 // last byte of the request; 0: it was never complete
	End        float64 // time of the answer's last line or of the connection's end; 0: neither has occurred
	Unstarted  bool    // the worker stated that the job never ran
	Result     string  // answer body of a served request
	Work       float64 // slot seconds that the job takes
}

// mayRun reports whether the job of an attempt ran, may have run or may still run.
func (a *Attempt) mayRun() bool { return a.Last > 0 && !a.Unstarted }

// Worker is a worker, with the zone and the cell that share its idempotency keys.
type Worker struct {
	Name    string
	Zone    string
	Cell    int
	Slots   float64
	Started float64 // last start, after which slow start applies; 0: long ago
}

// EndpointChange is a change of the endpoint list that a dispatcher was notified of.
type EndpointChange struct {
	Dispatcher string
	Worker     string
	State      string // active, leaving, left
	Started    float64
	At         float64
}

// Values of Class.Repeat.
const (
	repeatSafe   = "safe"
	repeatKeyed  = "keyed"
	repeatUnsafe = "unsafe"
)

// Values of Class.Scope.
const (
	scopeAll  = "all"
	scopeZone = "zone"
	scopeCell = "cell"
)

// stateActive is the EndpointChange.State of a worker that takes jobs.
const stateActive = "active"

// Class is a class of jobs with its idempotence.
type Class struct {
	Name   string
	Repeat string  // safe, keyed, unsafe
	Scope  string  // of a keyed class, the workers that share keys: all, zone, cell
	Window float64 // of a keyed class: seconds for which a key is remembered
}

// Limits are the settings that the rules depend on.
type Limits struct {
	Grace            float64 // allowed delay of an answer after the client's timeout
	DrainGrace       float64 // seconds for which jobs may still be sent to a draining worker
	OverloadMultiple float64 // allowed multiple of the capacity in slow start; 0: not checked
	OverloadSpan     float64 // seconds over which the work is summed
	SlowStartFloor   float64
	SlowStartSeconds float64
	Parallel         bool    // two attempts of an idempotent request may be in flight
	NetworkSlack     float64 // seconds added to each limit for network delays; 0 means defaultSlackSeconds
}

// History holds all records of a run.
type History struct {
	Limits          Limits
	Classes         []Class
	Workers         []Worker
	Requests        []Request
	Attempts        []Attempt
	EndpointChanges []EndpointChange
}

// Values of Violation.Rule.
const (
	ruleNoLoss = 1 + iota
	ruleNoRepeat
	ruleDrain
	ruleSlowStart
)

// Violation is a broken rule.
type Violation struct {
	Rule int     `json:"rule"` // 1 to 4
	At   float64 `json:"at"`
	ID   string  `json:"id,omitempty"`
	Who  string  `json:"who"` // the dispatcher, or the worker that was overloaded
	Text string  `json:"text"`
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f s: %s: %s %s", v.Rule, v.At, v.Who, v.ID, v.Text)
}

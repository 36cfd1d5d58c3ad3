// Package invariants checks what clients, workers and instances recorded. Over
// requests it checks four rules: no request is lost, no effect is repeated,
// draining workers get nothing new, and workers in slow start are not
// overloaded. Over journals it checks that no two instances had conflicting
// configurations at the same time. It uses nothing of the dispatcher's code or
// state. Times are in seconds on one clock, those of journals in ns.
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
	Body   string // of a 200
}

// Attempt is a worker's record of one request that reached it.
type Attempt struct {
	ID         string
	Worker     string
	Dispatcher string
	First      float64 // first byte of the request
	Last       float64 // last byte of the request; 0: it was never complete
	End        float64 // last line of the answer, or end of the connection; 0: neither
	Unstarted  bool    // it ended with the statement that the job never ran
	Result     string  // of a served request
	Work       float64 // slot seconds that it needs
}

// mayRun reports whether an attempt ran, may have run or may still run.
func (a *Attempt) mayRun() bool { return a.Last > 0 && !a.Unstarted }

// Worker is a worker, with the groups that share its idempotency keys.
type Worker struct {
	Name    string
	Zone    string
	Cell    int
	Slots   float64
	Started float64 // last start, after which slow start applies; 0: long ago
}

// EndpointChange is a change of the endpoint list as a dispatcher was sent it.
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

// Class is a class of jobs, with the idempotence of its jobs.
type Class struct {
	Name   string
	Repeat string  // safe, keyed, unsafe
	Scope  string  // of keyed: all, zone, cell
	Window float64 // of keyed: seconds for which a key is known
}

// Limits are the settings that the rules depend on.
type Limits struct {
	Grace            float64 // of an answer after the client's timeout
	DrainGrace       float64
	OverloadMultiple float64 // 0: slow start is not checked
	OverloadSpan     float64
	SlowStartFloor   float64
	SlowStartSeconds float64
	Parallel         bool    // two attempts of an idempotent request may be in flight
	NetworkSlack     float64 // added to each limit for the network; 0 means defaultSlackSeconds
}

// History is everything that was recorded.
type History struct {
	Limits          Limits
	Classes         []Class
	Workers         []Worker
	Requests        []Request
	Attempts        []Attempt
	EndpointChanges []EndpointChange
}

// The rules of a Violation.
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

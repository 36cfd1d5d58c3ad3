package invariants

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
)

const (
	defaultSlackSeconds = 0.05

	// clockSkewSeconds bounds the difference between two records of the same
	// event, as each process reads the clock only after the event.
	clockSkewSeconds = 0.02
)

// Check returns all violations of the four rules in order of time.
func (h *History) Check() []Violation {
	c := newChecker(h)
	known := map[string]bool{}
	for i := range h.Requests {
		r := &h.Requests[i]
		known[r.ID] = true
		c.checkRequest(r)
	}
	for i := range h.Attempts {
		if a := &h.Attempts[i]; !known[a.ID] {
			c.reportAttempt(ruleNoLoss, a, "was sent to %s, and no client asked for it", a.Worker)
		}
	}
	c.checkDrains()
	c.checkSlowStart()
	slices.SortStableFunc(c.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return c.violations
}

type checker struct {
	h          *History
	slack      float64
	classes    map[string]Class
	workers    map[string]Worker
	attempts   map[string][]*Attempt // by request, in order of time
	violations []Violation
}

func newChecker(h *History) *checker {
	c := &checker{
		h:        h,
		slack:    h.Limits.NetworkSlack,
		classes:  map[string]Class{},
		workers:  map[string]Worker{},
		attempts: map[string][]*Attempt{},
	}
	if c.slack == 0 {
		c.slack = defaultSlackSeconds
	}
	for _, class := range h.Classes {
		c.classes[class.Name] = class
	}
	for _, w := range h.Workers {
		c.workers[w.Name] = w
	}
	for i := range h.Attempts {
		a := &h.Attempts[i]
		c.attempts[a.ID] = append(c.attempts[a.ID], a)
	}
	for _, attempts := range c.attempts {
		slices.SortStableFunc(attempts, byFirstByte)
	}
	return c
}

func byFirstByte(a, b *Attempt) int { return cmp.Compare(a.First, b.First) }

// reportAttempt adds a violation that the dispatcher of an attempt caused.
func (c *checker) reportAttempt(rule int, a *Attempt, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Rule: rule,
		At:   a.First,
		ID:   a.ID,
		Who:  a.Dispatcher,
		Text: fmt.Sprintf(format, args...),
	})
}

// requestChecker checks one request and its attempts.
type requestChecker struct {
	*checker
	request  *Request
	class    Class
	attempts []*Attempt
}

// report adds a violation that the dispatcher of the request caused.
func (c *requestChecker) report(rule int, at float64, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Rule: rule,
		At:   at,
		ID:   c.request.ID,
		Who:  c.request.Dispatcher,
		Text: fmt.Sprintf(format, args...),
	})
}

// checkRequest checks rules 1 and 2 for a request.
func (c *checker) checkRequest(r *Request) {
	rc := &requestChecker{
		checker:  c,
		request:  r,
		class:    c.class(r),
		attempts: c.attempts[r.ID],
	}
	deadline := r.SentAt + r.ClientTimeout + c.h.Limits.Grace + c.slack
	rc.checkAnswerCount(deadline)
	for _, answer := range r.Answers {
		rc.checkAnswer(answer, deadline)
	}
	end := r.end()
	for i, a := range rc.attempts {
		if a.First > end+c.slack {
			rc.report(ruleNoLoss, a.First, "was sent to %s %.3f s after its end", a.Worker, a.First-end)
		}
		for _, earlier := range rc.attempts[:i] {
			rc.checkRepeat(earlier, a)
		}
	}
}

// end returns the time at which the client stops waiting: that of the first answer or
// of its disconnection, infinity if there is neither.
func (r *Request) end() float64 {
	end := math.Inf(1)
	if len(r.Answers) > 0 {
		end = r.Answers[0].At
	}
	if r.DisconnectedAt > 0 {
		end = min(end, r.DisconnectedAt)
	}
	return end
}

func (c *requestChecker) checkAnswerCount(deadline float64) {
	r := c.request
	switch {
	case r.NeverAccepted:
	case len(r.Answers) == 0 && r.DisconnectedAt == 0:
		c.report(ruleNoLoss, deadline, "got no answer")
	case len(r.Answers) > 1:
		c.report(ruleNoLoss, r.Answers[1].At, "got %d answers", len(r.Answers))
	}
}

func (c *requestChecker) checkAnswer(answer Answer, deadline float64) {
	r := c.request
	if answer.At > deadline {
		late := answer.At - r.SentAt - r.ClientTimeout
		c.report(ruleNoLoss, answer.At, "got its answer %.3f s after its client's patience", late)
	}
	switch answer.Status {
	case http.StatusOK:
		produced := func(a *Attempt) bool {
			return a.Result != "" && a.Result == answer.Body && a.End <= answer.At+clockSkewSeconds
		}
		if !slices.ContainsFunc(c.attempts, produced) {
			c.report(ruleNoLoss, answer.At, "was served with what no worker made for it")
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.checkRejection(answer)
	}
}

// checkRejection checks that the client can retry a rejected request without repeating
// an effect.
func (c *requestChecker) checkRejection(answer Answer) {
	if c.class.Repeat == repeatSafe || c.class.Repeat == repeatKeyed && c.class.Scope == scopeAll {
		return
	}
	for _, a := range c.attempts {
		if a.mayRun() && a.First <= answer.At {
			c.report(ruleNoRepeat, answer.At, "was refused though it may have run at %s", a.Worker)
			return
		}
	}
}

// class returns the class of a request. Requests of an unknown class are not
// idempotent.
func (c *checker) class(r *Request) Class {
	if class, ok := c.classes[r.Class]; ok {
		return class
	}
	return Class{Name: r.Class, Repeat: repeatUnsafe}
}

// checkRepeat checks an attempt against an earlier attempt of the same request.
func (c *requestChecker) checkRepeat(earlier, a *Attempt) {
	inFlight := earlier.End == 0 || earlier.End > a.First+clockSkewSeconds
	if inFlight && !c.h.Limits.Parallel {
		c.report(ruleNoRepeat, a.First, "was sent to %s while it was out at %s", a.Worker, earlier.Worker)
		return
	}
	if !earlier.mayRun() && !inFlight {
		return
	}
	switch c.class.Repeat {
	case repeatSafe:
	case repeatKeyed:
		c.checkKeyedRepeat(earlier, a)
	default:
		c.report(ruleNoRepeat, a.First, "may have run at %s and was sent to %s", earlier.Worker, a.Worker)
	}
}

// checkKeyedRepeat checks that the worker of a retry still remembers the idempotency
// key of the earlier attempt.
func (c *requestChecker) checkKeyedRepeat(earlier, a *Attempt) {
	class := c.class
	if !c.shareKeys(class.Scope, earlier.Worker, a.Worker) {
		c.report(ruleNoRepeat, a.First, "may have run at %s and was sent to %s, which does not know it",
			earlier.Worker, a.Worker)
		return
	}
	if class.Window > 0 && a.First > earlier.First+class.Window+c.slack {
		c.report(ruleNoRepeat, a.First, "was sent to %s %.3f s after %s: repeats are known for %.3f s",
			a.Worker, a.First-earlier.First, earlier.Worker, class.Window)
	}
}

// shareKeys reports whether two workers share their idempotency keys.
func (c *checker) shareKeys(scope, a, b string) bool {
	first := c.workers[a]
	second := c.workers[b]
	switch scope {
	case scopeAll:
		return true
	case scopeZone:
		return first.Zone == second.Zone
	case scopeCell:
		return first.Zone == second.Zone && first.Cell == second.Cell
	}
	return false
}

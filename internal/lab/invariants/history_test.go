package invariants

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// validHistory returns a generated history of two dispatchers that keep all rules. It has
// requests of all classes, attempts with all kinds of ends, a draining worker and one in
// slow start.
func validHistory(seed uint64) *History {
	rng := rand.New(rand.NewPCG(seed, 1))
	h := &History{Limits: Limits{Grace: 0.016, DrainGrace: 2, OverloadMultiple: 3, OverloadSpan: 3, SlowStartFloor: 0.3, SlowStartSeconds: 8},
		Classes: []Class{{"safe", "safe", "", 0}, {"unsafe", "unsafe", "", 0}, {"all", "keyed", "all", 5}, {"zone", "keyed", "zone", 5}, {"cell", "keyed", "cell", 5}}}
	for i := range 8 {
		h.Workers = append(h.Workers, Worker{Name: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i/4), Cell: i / 2, Slots: 4})
	}
	h.Workers[7].Started = 1
	for _, d := range []string{"d0", "d1"} {
		for i := range 8 {
			h.EndpointChanges = append(h.EndpointChanges, EndpointChange{d, fmt.Sprint("w", i), "active", 0, 0.1})
		}
		h.EndpointChanges = append(h.EndpointChanges, EndpointChange{d, "w6", "leaving", 0, 3}, EndpointChange{d, "w7", "active", 1, 1.1})
	}
	for i := range 200 {
		r := Request{ID: fmt.Sprint("r", i), Class: h.Classes[rng.IntN(5)].Name, Dispatcher: fmt.Sprint("d", rng.IntN(2)), SentAt: rng.Float64() * 10, ClientTimeout: 4}
		now := r.SentAt + 0.01
		first := rng.IntN(6)
		for n := range 3 {
			w := first
			if n > 0 && r.Class == "cell" {
				w = first
			} else if n > 0 && r.Class == "zone" {
				w = first/4*4 + rng.IntN(2)
			} else if n > 0 {
				w = rng.IntN(6)
			}
			a := Attempt{ID: r.ID, Worker: fmt.Sprint("w", w), Dispatcher: r.Dispatcher, First: now, Last: now + 0.001, End: now + 0.2, Work: 0.1}
			now = a.End + 0.03
			end := rng.IntN(4)
			if end == 0 {
				a.Unstarted = true // rejected: the next worker is tried
			} else if end == 1 && n < 2 && r.Class != "unsafe" {
				a.Result = "" // the connection failed: the job may have run
			} else if end == 2 || end == 1 {
				h.Attempts = append(h.Attempts, a)
				r.Answers = []Answer{{now, 502, ""}}
				break
			} else {
				a.Result = "result of " + r.ID
				r.Answers = []Answer{{now, 200, a.Result}}
				h.Attempts = append(h.Attempts, a)
				break
			}
			h.Attempts = append(h.Attempts, a)
		}
		if len(r.Answers) == 0 {
			ran := slices.ContainsFunc(h.Attempts, func(a Attempt) bool { return a.ID == r.ID && a.mayRun() })
			status := 503
			if ran && r.Class != "safe" && r.Class != "all" {
				status = 504
			}
			r.Answers = []Answer{{now, status, ""}}
		}
		h.Requests = append(h.Requests, r)
	}
	return h
}

// Check finds no violation in a history that keeps all rules.
func TestValidHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if found := validHistory(rapid.Uint64().Draw(t, "seed")).Check(); len(found) > 0 {
			t.Fatalf("got violations %v in a valid history, want none", found)
		}
	})
}

// pickRequest returns a random request for which ok is true, or nil if there is none.
func pickRequest(h *History, rng *rand.Rand, ok func(r *Request) bool) *Request {
	at := rng.IntN(len(h.Requests))
	for i := range h.Requests {
		if r := &h.Requests[(at+i)%len(h.Requests)]; ok(r) {
			return r
		}
	}
	return nil
}

func attemptsOf(h *History, r *Request) (list []*Attempt) {
	for i := range h.Attempts {
		if h.Attempts[i].ID == r.ID {
			list = append(list, &h.Attempts[i])
		}
	}
	return list
}

func firstRun(h *History, r *Request) *Attempt {
	for _, a := range attemptsOf(h, r) {
		if a.mayRun() {
			return a
		}
	}
	return nil
}

// attemptAfter returns a further attempt of a request that begins after the last one has
// ended.
func attemptAfter(h *History, r *Request, worker string) Attempt {
	list := attemptsOf(h, r)
	last := list[len(list)-1]
	at := last.End + 0.025
	if at < r.Answers[0].At-0.001 {
		at = r.Answers[0].At - 0.001
	}
	return Attempt{ID: r.ID, Worker: worker, Dispatcher: r.Dispatcher, First: at, Last: at + 0.001, End: at + 0.01, Unstarted: true, Work: 0.1}
}

func ofClass(h *History, name string) func(r *Request) bool {
	return func(r *Request) bool { return r.Class == name && firstRun(h, r) != nil }
}

// violations are changes to a valid history, by name. Each breaks the named rule in one way;
// apply returns false if the history offers no place for the change.
var violations = map[string]struct {
	rule  int
	apply func(h *History, rng *rand.Rand) bool
}{
	"no answer":   {1, func(h *History, rng *rand.Rand) bool { h.Requests[rng.IntN(200)].Answers = nil; return true }},
	"late answer": {1, func(h *History, rng *rand.Rand) bool { h.Requests[rng.IntN(200)].Answers[0].At += 5; return true }},
	"two answers": {1, func(h *History, rng *rand.Rand) bool {
		r := &h.Requests[rng.IntN(200)]
		r.Answers = append(r.Answers, Answer{r.Answers[0].At, 502, ""})
		return true
	}},
	"result of no worker": {1, func(h *History, rng *rand.Rand) bool {
		r := &h.Requests[rng.IntN(200)]
		r.Answers[0] = Answer{r.Answers[0].At, 200, "x"}
		return true
	}},
	"result of another request": {1, func(h *History, rng *rand.Rand) bool {
		r := pickRequest(h, rng, func(r *Request) bool { return r.Answers[0].Status == 200 })
		r.Answers[0].Body = "result of another request"
		return true
	}},
	"sent after the request ended": {1, func(h *History, rng *rand.Rand) bool {
		r := pickRequest(h, rng, func(r *Request) bool { return r.Class == "safe" && len(attemptsOf(h, r)) > 0 })
		a := attemptAfter(h, r, "w0")
		a.First, a.Last, a.End = r.Answers[0].At+0.2, r.Answers[0].At+0.21, r.Answers[0].At+0.3
		h.Attempts = append(h.Attempts, a)
		return true
	}},
	"attempt without a request": {1, func(h *History, _ *rand.Rand) bool {
		h.Attempts = append(h.Attempts, Attempt{ID: "unknown", Worker: "w0", Dispatcher: "d0", First: 1, Last: 1, End: 2})
		return true
	}},
	"second attempt of an unsafe request": {2, func(h *History, rng *rand.Rand) bool {
		h.Attempts = append(h.Attempts, attemptAfter(h, pickRequest(h, rng, ofClass(h, "unsafe")), "w1"))
		return true
	}},
	"unsafe request rejected after it ran": {2, func(h *History, rng *rand.Rand) bool {
		pickRequest(h, rng, ofClass(h, "unsafe")).Answers[0].Status = 503
		return true
	}},
	"keyed request rejected after it ran": {2, func(h *History, rng *rand.Rand) bool {
		pickRequest(h, rng, ofClass(h, "zone")).Answers[0].Status = 429
		return true
	}},
	"keyed retry in another zone": {2, func(h *History, rng *rand.Rand) bool {
		r := pickRequest(h, rng, ofClass(h, "zone"))
		w := "w0"
		if firstRun(h, r).Worker < "w4" {
			w = "w4"
		}
		h.Attempts = append(h.Attempts, attemptAfter(h, r, w))
		return true
	}},
	"keyed retry in another cell": {2, func(h *History, rng *rand.Rand) bool {
		r := pickRequest(h, rng, func(r *Request) bool { a := firstRun(h, r); return r.Class == "cell" && a != nil && a.Worker < "w2" })
		h.Attempts = append(h.Attempts, attemptAfter(h, r, "w2"))
		return true
	}},
	"keyed retry after its window": {2, func(h *History, rng *rand.Rand) bool {
		r := pickRequest(h, rng, func(r *Request) bool { return r.Class == "all" && firstRun(h, r) != nil && len(attemptsOf(h, r)) == 1 })
		a := attemptAfter(h, r, "w1")
		a.First, a.Last, a.End = a.First+6, a.First+6.001, a.First+6.1
		r.ClientTimeout, r.Answers[0].At = 20, a.End+0.1
		if r.Answers[0].Status == 200 {
			r.Answers[0] = Answer{a.End + 0.1, 502, ""}
		}
		h.Attempts = append(h.Attempts, a)
		return true
	}},
	"two attempts in flight": {2, func(h *History, rng *rand.Rand) bool {
		r := pickRequest(h, rng, ofClass(h, "safe"))
		a := attemptAfter(h, r, "w0")
		list := attemptsOf(h, r)
		a.First = list[len(list)-1].First + 0.05
		h.Attempts = append(h.Attempts, a)
		return true
	}},
	"sent to a draining worker": {3, func(h *History, rng *rand.Rand) bool {
		r := pickRequest(h, rng, func(r *Request) bool { return r.SentAt > 5.2 && r.Class == "safe" && len(attemptsOf(h, r)) > 0 })
		attemptsOf(h, r)[0].Worker = "w6"
		return true
	}},
	"overload in slow start": {4, func(h *History, _ *rand.Rand) bool {
		for i := range 60 {
			at := 1.5 + float64(i)/60
			id := fmt.Sprint("cold", i)
			h.Requests = append(h.Requests, Request{ID: id, Class: "safe", Dispatcher: "d0", SentAt: at - 0.01, ClientTimeout: 4, Answers: []Answer{{at + 0.5, 502, ""}}})
			h.Attempts = append(h.Attempts, Attempt{ID: id, Worker: "w7", Dispatcher: "d0", First: at, Last: at, End: at + 0.4, Work: 0.4})
		}
		return true
	}},
}

// Check finds each kind of violation, and reports no other rule as broken.
func TestEachViolationIsFound(t *testing.T) {
	for name, c := range violations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				h := validHistory(seed)
				if !c.apply(h, rand.New(rand.NewPCG(seed, 2))) {
					continue
				}
				found := h.Check()
				if len(found) == 0 {
					t.Fatalf("seed %d: got no violation, want one", seed)
				}
				for _, f := range found {
					if f.Rule != c.rule {
						t.Fatalf("seed %d: got an unexpected violation: %v", seed, f)
					}
				}
			}
		})
	}
}

// Check reports none of the following, which the rules allow: an answer that is late within
// the network slack, a job sent to a draining worker within the grace, a rejection of a job
// that did not run, a client that disconnected and a connection that was never accepted.
func TestAllowedBehavior(t *testing.T) {
	h := validHistory(1)
	h.Requests = append(h.Requests,
		Request{ID: "left", Class: "unsafe", Dispatcher: "d0", SentAt: 1, ClientTimeout: 4, DisconnectedAt: 1.5},
		Request{ID: "never", Class: "unsafe", Dispatcher: "d0", SentAt: 1, ClientTimeout: 4, NeverAccepted: true},
		Request{ID: "late", Class: "unsafe", Dispatcher: "d0", SentAt: 1, ClientTimeout: 1, Answers: []Answer{{2.06, 504, ""}}},
		Request{ID: "drain", Class: "unsafe", Dispatcher: "d0", SentAt: 4, ClientTimeout: 3, Answers: []Answer{{6, 503, ""}}})
	h.Attempts = append(h.Attempts, Attempt{ID: "drain", Worker: "w6", Dispatcher: "d0", First: 5.04, Last: 5.05, End: 5.1, Unstarted: true})
	if found := h.Check(); len(found) > 0 {
		t.Error(found)
	}
}

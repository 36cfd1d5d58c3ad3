package jobledger

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"example.org/bellstream/balance"
)

// This model checker runs the ledger's code through all interleavings of message losses, delays,
// dispatcher crashes and worker restarts, within small bounds.

// safetyRules are the rules that safety depends on. A test can switch each of them off.
type safetyRules struct {
	leaseDurableFirst   bool // a start is sent only after the lease's record is durable
	outcomeDurableFirst bool // a response is sent only after the outcome's record is durable
	fencing             bool // workers reject terms lower than the highest they have seen
	epochs              bool // workers reject starts for an earlier process, and reports carry the epoch
	reportsByWorker     bool // a report counts only if the lease's worker sent it
	ignoreSilence       bool // no record follows from a missing reply
}

var allRules = safetyRules{true, true, true, true, true, true}

// searchBounds limit the number of jobs, workers and events in a search.
type searchBounds struct {
	jobs, workers, crashes, restarts, queries, leases int
	idempotence                                       balance.Idempotence
}

// message is a message in transit. It may arrive late or never.
type message struct {
	kind   string // start, turned (a rejected start), ask, reply
	job    string
	worker int
	term   uint64
	epoch  int
	status WorkerStatus
}

type workerState struct {
	epoch int
	fence map[string]uint64
	runs  map[string]WorkerStatus // WorkerRunning or WorkerCompleted; absent if never seen
}

type modelState struct {
	log       []Record
	durable   int               // number of records that are durable
	sent      map[string]uint64 // by job, the last term for which this process has sent a start
	responses map[string]Outcome
	starts    map[string]int // by job, the number of starts on all workers
	workers   []workerState
	messages  []message
	remaining searchBounds
	previous  *modelState // nil for the initial state
}

// trace describes the states from the initial one to this one.
func (w *modelState) trace() string {
	if w.previous == nil {
		return ""
	}
	return w.previous.trace() + fmt.Sprintf("\n\t%d records, %d durable, sent %v, starts %v, responses %v, messages %v, last record %v", len(w.log), w.durable, w.sent, w.starts,
		w.responses, w.messages, w.log[max(0, len(w.log)-1):])
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	n := make(map[K]V, len(m))
	maps.Copy(n, m)
	return n
}

func (w *modelState) clone() *modelState {
	n := *w
	n.previous = w
	n.log, n.messages = slices.Clone(w.log), slices.Clone(w.messages)
	n.sent, n.responses, n.starts = copyMap(w.sent), copyMap(w.responses), copyMap(w.starts)
	n.workers = nil
	for _, x := range w.workers {
		n.workers = append(n.workers, workerState{x.epoch, copyMap(x.fence), copyMap(x.runs)})
	}
	return &n
}

// key returns a string that identifies the state. It avoids formatting by reflection where it can, because a search
// calls it millions of times.
func (w *modelState) key() string {
	b := make([]byte, 0, 128)
	for _, r := range w.log {
		b = append(b, r.Kind[0], r.Kind[1], r.ID[1], byte('0'+r.Term))
		b = append(append(append(append(b, r.Worker...), r.Epoch...), r.LeaseOutcome...), r.Outcome...)
	}
	b = append(b, '|', byte('0'+w.durable), byte('0'+w.remaining.crashes), byte('0'+w.remaining.restarts), byte('0'+w.remaining.queries))
	for n := range w.remaining.jobs {
		id := fmt.Sprint("j", n)
		b = append(b, '|', byte('0'+w.sent[id]), byte('0'+w.starts[id]))
		b = append(b, w.responses[id]...)
		for _, x := range w.workers {
			b = append(b, byte('0'+x.epoch), byte('0'+x.fence[id]))
			b = append(b, x.runs[id]...)
		}
	}
	var all []string
	for _, m := range w.messages {
		all = append(all, string(append([]byte{m.kind[0], m.job[1], byte('0' + m.worker), byte('0' + m.term), byte('0' + m.epoch)}, m.status...)))
	}
	slices.Sort(all)
	return string(b) + "|" + strings.Join(all, ",")
}

// ledger replays the log.
func (w *modelState) ledger(t *testing.T) *Ledger {
	l := New()
	for _, r := range w.log {
		if err := l.Apply(r); err != nil {
			t.Fatalf("replaying %v: %v", w.log, err)
		}
	}
	return l
}

func (w *modelState) send(m message) { w.messages = append(w.messages, m) }

// violation returns a description of the property that the state violates; empty if it violates none.
func (w *modelState) violation(repeat balance.Idempotence) string {
	for id, n := range w.starts {
		if n > 1 && repeat == balance.NonIdempotent {
			return id + " ran twice"
		}
		if n > 0 && w.responses[id] == Rejected {
			return id + " was rejected and ran"
		}
	}
	return ""
}

// successors returns the states that can follow, or a description of a violation that only a transition can show.
func (w *modelState) successors(t *testing.T, on safetyRules) (all []*modelState, violated string) {
	do := func(f func(n *modelState)) {
		n := w.clone()
		f(n)
		all = append(all, n)
	}
	add := func(r Record, ok bool) {
		if ok {
			do(func(n *modelState) { n.log = append(n.log, r) })
		}
	}
	l := w.ledger(t)
	durable := func(kind RecordKind, id string, term uint64) bool {
		n := slices.IndexFunc(w.log, func(r Record) bool { return r.Kind == kind && r.ID == id && r.Term == term })
		return n >= 0 && n < w.durable
	}
	for n := range w.remaining.jobs {
		id := fmt.Sprint("j", n)
		j := l.Job(id)
		if j == nil {
			add(Record{Kind: JobAccepted, ID: id, Idempotence: w.remaining.idempotence}, true)
			continue
		}
		switch j.NextAction() {
		case ActionSchedule:
			for x := range w.workers {
				if len(j.Leases) < w.remaining.leases {
					add(j.NewLease(fmt.Sprint(x), fmt.Sprint(w.workers[x].epoch)), true)
				}
			}
		case ActionQueryWorker:
			x := j.Leases[len(j.Leases)-1]
			var to, epoch int
			fmt.Sscan(x.Worker, &to)
			fmt.Sscan(x.Epoch, &epoch)
			if w.sent[id] < x.Term && (durable(LeaseGranted, id, x.Term) || !on.leaseDurableFirst) {
				do(func(n *modelState) {
					n.sent[id] = x.Term
					n.send(message{kind: "start", job: id, worker: to, term: x.Term, epoch: epoch})
				})
			}
			if q, ok := j.StatusQuery(); ok && w.remaining.queries > 0 {
				do(func(n *modelState) {
					n.remaining.queries--
					n.send(message{kind: "ask", job: id, worker: to, term: q.Term})
				})
			}
			if !on.ignoreSilence {
				add(j.RecordFromRejection(x.Term))
			}
		case ActionRespond:
			if durable(JobCompleted, id, 0) || !on.outcomeDurableFirst {
				if was := w.responses[id]; was != "" && was != j.Outcome {
					return nil, fmt.Sprintf("%s was completed as %s, and later as %s", id, was, j.Outcome)
				} else if was == "" {
					do(func(n *modelState) { n.responses[id] = j.Outcome })
				}
			}
		}
		// The deadline may pass at any time, which completes the job.
		if end, ok := j.CompleteUnserved(); ok {
			add(end, true)
		} else if !ok && j.State != Completed {
			return nil, fmt.Sprintf("%s is stuck in state %s", id, j.State)
		}
	}
	if w.durable < len(w.log) {
		do(func(n *modelState) { n.durable = len(n.log) })
	}
	if w.remaining.crashes > 0 {
		for kept := w.durable; kept <= len(w.log); kept++ {
			do(func(n *modelState) {
				n.remaining.crashes--
				n.log = n.log[:kept]
				n.durable = kept
				// A restarted process sends no start for a lease that it finds in the log.
				n.sent = map[string]uint64{}
				for id, j := range n.ledger(t).jobs {
					n.sent[id] = j.lastTerm()
				}
			})
		}
	}
	for x := range w.workers {
		if w.remaining.restarts > 0 {
			do(func(n *modelState) {
				n.remaining.restarts--
				n.workers[x] = workerState{n.workers[x].epoch + 1, map[string]uint64{}, map[string]WorkerStatus{}}
			})
		}
		for id, word := range w.workers[x].runs {
			if word == WorkerRunning {
				do(func(n *modelState) {
					n.workers[x].runs[id] = WorkerCompleted
					n.send(message{kind: "reply", job: id, worker: x, epoch: n.workers[x].epoch, status: WorkerCompleted})
				})
			}
		}
	}
	for i, m := range w.messages {
		do(func(n *modelState) {
			n.messages = slices.Delete(n.messages, i, i+1)
			n.deliver(t, m, on)
		})
	}
	return all, ""
}

func (w *modelState) deliver(t *testing.T, m message, on safetyRules) {
	x := &w.workers[m.worker]
	switch m.kind {
	case "start":
		if x.runs[m.job] != "" {
			return
		}
		if on.fencing && m.term < x.fence[m.job] || on.epochs && m.epoch != x.epoch {
			w.send(message{kind: "turned", job: m.job, worker: m.worker, term: m.term})
			return
		}
		x.fence[m.job] = m.term
		x.runs[m.job] = WorkerRunning
		w.starts[m.job]++
	case "ask":
		x.fence[m.job] = max(x.fence[m.job], m.term)
		word := x.runs[m.job]
		if word == "" {
			word = WorkerNeverStarted
		}
		w.send(message{kind: "reply", job: m.job, worker: m.worker, term: m.term, epoch: x.epoch, status: word})
	case "turned":
		if j := w.ledger(t).Job(m.job); j != nil {
			if r, ok := j.RecordFromRejection(m.term); ok {
				w.log = append(w.log, r)
			}
		}
	case "reply":
		j := w.ledger(t).Job(m.job)
		if j == nil {
			return
		}
		epoch := fmt.Sprint(m.epoch)
		if !on.epochs && j.State == Leased {
			epoch = j.Leases[len(j.Leases)-1].Epoch
		}
		worker := fmt.Sprint(m.worker)
		if !on.reportsByWorker && j.State == Leased {
			worker = j.Leases[len(j.Leases)-1].Worker
		}
		if r, ok := j.RecordFromReport(StatusReport{ID: m.job, Worker: worker, Term: m.term, Epoch: epoch, Status: m.status}); ok {
			w.log = append(w.log, r)
		}
	}
}

// search explores all reachable states in breadth-first order. It returns the first violation, empty if there is
// none, and the number of states seen.
func search(t *testing.T, b searchBounds, on safetyRules, limit int) (string, int) {
	start := &modelState{sent: map[string]uint64{}, responses: map[string]Outcome{}, starts: map[string]int{}, remaining: b}
	for range b.workers {
		start.workers = append(start.workers, workerState{0, map[string]uint64{}, map[string]WorkerStatus{}})
	}
	seen := map[string]bool{start.key(): true}
	for queue := []*modelState{start}; len(queue) > 0; queue = queue[1:] {
		if len(seen) > limit {
			t.Fatalf("search exceeded %d states", limit)
		}
		all, violated := queue[0].successors(t, on)
		if violated != "" {
			return violated, len(seen)
		}
		for _, n := range all {
			if k := n.key(); !seen[k] {
				if why := n.violation(b.idempotence); why != "" {
					return why + n.trace(), len(seen)
				}
				seen[k] = true
				queue = append(queue, n)
			}
		}
	}
	return "", len(seen)
}

// No interleaving within the bounds violates a safety property. With BELLSTREAM_MODEL=full the case of two jobs
// includes status queries, which takes 24 s and 2 GB.
func TestNoInterleavingViolatesSafety(t *testing.T) {
	twoJobQueries := 0
	if os.Getenv("BELLSTREAM_MODEL") == "full" {
		twoJobQueries = 1
	}
	for name, b := range map[string]searchBounds{
		"crashes":  {jobs: 1, workers: 2, crashes: 2, restarts: 0, queries: 1, leases: 2, idempotence: balance.NonIdempotent},
		"restarts": {jobs: 1, workers: 2, crashes: 1, restarts: 1, queries: 1, leases: 2, idempotence: balance.NonIdempotent},
		"two":      {jobs: 2, workers: 2, crashes: 1, restarts: 0, queries: twoJobQueries, leases: 1, idempotence: balance.NonIdempotent},
		"deep":     {jobs: 1, workers: 2, crashes: 2, restarts: 1, queries: 2, leases: 2, idempotence: balance.NonIdempotent},
		"safe":     {jobs: 1, workers: 2, crashes: 1, restarts: 1, queries: 1, leases: 2, idempotence: balance.Idempotent},
	} {
		violated, n := search(t, b, allRules, 3_000_000)
		t.Logf("%s: %d states", name, n)
		if violated != "" {
			t.Errorf("%s: %s", name, violated)
		}
	}
}

// Without any one of the rules, the same search finds a violation.
func TestEachSafetyRuleIsNecessary(t *testing.T) {
	b := searchBounds{jobs: 1, workers: 2, crashes: 1, restarts: 1, queries: 1, leases: 2, idempotence: balance.NonIdempotent}
	for name, c := range map[string]struct {
		off  func(*safetyRules)
		want string
	}{
		"a start before its lease is durable": {func(r *safetyRules) { r.leaseDurableFirst = false }, "ran twice"},
		"an outcome before it is durable":     {func(r *safetyRules) { r.outcomeDurableFirst = false }, "j0 was"},
		"no fences":                           {func(r *safetyRules) { r.fencing = false }, "j0 "},
		"no epochs":                           {func(r *safetyRules) { r.epochs = false }, "j0 "},
		"a report of any worker":              {func(r *safetyRules) { r.reportsByWorker = false }, "j0 "},
		"silence counts as never":             {func(r *safetyRules) { r.ignoreSilence = false }, "j0 "},
	} {
		on := allRules
		c.off(&on)
		violated, n := search(t, b, on, 3_000_000)
		t.Logf("%s: found %.24q after %d states", name, violated, n)
		if !strings.Contains(violated, c.want) {
			t.Errorf("%s: found %q, want %q", name, violated, c.want)
		}
	}
}

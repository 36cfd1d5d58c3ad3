package ledger

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"example.org/bellstream/balance"
)

// The model plays the ledger's own code in a world that loses, delays, crashes
// and restarts whatever it can, in every order, for small sizes.

// rules are what holds in the world. Each can be taken away.
type rules struct {
	grantSafe  bool // a start waits for its lease's record to be safe
	reportSafe bool // an answer waits for its report's
	fences     bool // workers refuse smaller terms than they have seen
	epochs     bool // workers refuse starts for another process of theirs, and tell their epoch truly
	worker     bool // a reply counts for the worker that gave it
	silence    bool // nothing follows from silence
}

var all = rules{true, true, true, true, true, true}

// bounds keep a search small.
type bounds struct {
	jobs, workers, crashes, restarts, asks, leases int
	repeat                                         balance.Repeat
}

// message is on its way. Every message may arrive late, or never.
type message struct {
	kind   string // start, ask, reply
	job    string
	worker int
	term   uint64
	epoch  int
	word   Word
}

type workerState struct {
	epoch int
	fence map[string]uint64
	runs  map[string]Word // Running or Ran; absent: never seen
}

type world struct {
	log      []Record
	safe     int               // records that are on disk
	sent     map[string]uint64 // the last term of which a start was sent, as the process remembers
	answers  map[string]Outcome
	ran      map[string]int // how often a job began to run, anywhere
	workers  []workerState
	messages []message
	left     bounds
	from     *world // that it follows
}

// story is how a world came about, for who looks at a broken promise.
func (w *world) story() string {
	if w.from == nil {
		return ""
	}
	return w.from.story() + fmt.Sprintf("\n\t%d records, %d safe, sent %v, ran %v, answers %v, messages %v, last %v", len(w.log), w.safe, w.sent, w.ran,
		w.answers, w.messages, w.log[max(0, len(w.log)-1):])
}

func copyOf[K comparable, V any](m map[K]V) map[K]V {
	n := make(map[K]V, len(m))
	for k, v := range m {
		n[k] = v
	}
	return n
}

func (w *world) clone() *world {
	n := *w
	n.from = w
	n.log, n.messages = slices.Clone(w.log), slices.Clone(w.messages)
	n.sent, n.answers, n.ran = copyOf(w.sent), copyOf(w.answers), copyOf(w.ran)
	n.workers = nil
	for _, x := range w.workers {
		n.workers = append(n.workers, workerState{x.epoch, copyOf(x.fence), copyOf(x.runs)})
	}
	return &n
}

// key tells worlds apart. It is written by hand, as a search asks for it millions of times.
func (w *world) key() string {
	b := make([]byte, 0, 128)
	for _, r := range w.log {
		b = append(b, r.Kind[0], r.Kind[1], r.ID[1], byte('0'+r.Term))
		b = append(append(append(append(b, r.Worker...), r.Epoch...), r.Fate...), r.Outcome...)
	}
	b = append(b, '|', byte('0'+w.safe), byte('0'+w.left.crashes), byte('0'+w.left.restarts), byte('0'+w.left.asks))
	for n := range w.left.jobs {
		id := fmt.Sprint("j", n)
		b = append(b, '|', byte('0'+w.sent[id]), byte('0'+w.ran[id]))
		b = append(b, w.answers[id]...)
		for _, x := range w.workers {
			b = append(b, byte('0'+x.epoch), byte('0'+x.fence[id]))
			b = append(b, x.runs[id]...)
		}
	}
	var all []string
	for _, m := range w.messages {
		all = append(all, string(append([]byte{m.kind[0], m.job[1], byte('0' + m.worker), byte('0' + m.term), byte('0' + m.epoch)}, m.word...)))
	}
	slices.Sort(all)
	return string(b) + "|" + strings.Join(all, ",")
}

// ledger replays the log: a state is nothing but its records.
func (w *world) ledger(t *testing.T) *Ledger {
	l := New()
	for _, r := range w.log {
		if err := l.Apply(r); err != nil {
			t.Fatalf("replaying %v: %v", w.log, err)
		}
	}
	return l
}

func (w *world) send(m message) { w.messages = append(w.messages, m) }

// worst says which promise a world has broken; empty: none.
func (w *world) worst(repeat balance.Repeat) string {
	for id, n := range w.ran {
		if n > 1 && repeat == balance.Unsafe {
			return id + " ran twice"
		}
		if n > 0 && w.answers[id] == Refused {
			return id + " was refused and ran"
		}
	}
	return ""
}

// next are the worlds that can follow, each with what happened. A broken
// promise that shows only in a step is returned at once.
func (w *world) next(t *testing.T, on rules) (all []*world, broken string) {
	do := func(f func(n *world)) {
		n := w.clone()
		f(n)
		all = append(all, n)
	}
	add := func(r Record, ok bool) {
		if ok {
			do(func(n *world) { n.log = append(n.log, r) })
		}
	}
	l := w.ledger(t)
	safe := func(kind Kind, id string, term uint64) bool {
		n := slices.IndexFunc(w.log, func(r Record) bool { return r.Kind == kind && r.ID == id && r.Term == term })
		return n >= 0 && n < w.safe
	}
	for n := range w.left.jobs {
		id := fmt.Sprint("j", n)
		j := l.Job(id)
		if j == nil {
			add(Record{Kind: Take, ID: id, Repeat: w.left.repeat}, true)
			continue
		}
		switch j.Next() {
		case Offer:
			for x := range w.workers {
				if len(j.Leases) < w.left.leases {
					add(j.Lease(fmt.Sprint(x), fmt.Sprint(w.workers[x].epoch)), true)
				}
			}
		case Query:
			x := j.Leases[len(j.Leases)-1]
			var to, epoch int
			fmt.Sscan(x.Worker, &to)
			fmt.Sscan(x.Epoch, &epoch)
			if w.sent[id] < x.Term && (safe(Grant, id, x.Term) || !on.grantSafe) {
				do(func(n *world) {
					n.sent[id] = x.Term
					n.send(message{kind: "start", job: id, worker: to, term: x.Term, epoch: epoch})
				})
			}
			if q, ok := j.Ask(); ok && w.left.asks > 0 {
				do(func(n *world) {
					n.left.asks--
					n.send(message{kind: "ask", job: id, worker: to, term: q.Term})
				})
			}
			if !on.silence {
				add(j.Turned(x.Term))
			}
		case Answer:
			if safe(Report, id, 0) || !on.reportSafe {
				if was := w.answers[id]; was != "" && was != j.Outcome {
					return nil, fmt.Sprintf("%s was answered %s, then %s", id, was, j.Outcome)
				} else if was == "" {
					do(func(n *world) { n.answers[id] = j.Outcome })
				}
			}
		}
		// The deadline may come at any time.
		if end, ok := j.End(); ok {
			add(end, true)
		} else if !ok && j.State != Reported {
			return nil, fmt.Sprintf("%s is stuck: %s", id, j.State)
		}
	}
	if w.safe < len(w.log) {
		do(func(n *world) { n.safe = len(n.log) })
	}
	if w.left.crashes > 0 {
		for kept := w.safe; kept <= len(w.log); kept++ {
			do(func(n *world) {
				n.left.crashes--
				n.log, n.safe = n.log[:kept], kept
				// A process that comes back sends no start of a lease that it finds.
				n.sent = map[string]uint64{}
				for id, j := range n.ledger(t).jobs {
					n.sent[id] = j.top()
				}
			})
		}
	}
	for x := range w.workers {
		if w.left.restarts > 0 {
			do(func(n *world) {
				n.left.restarts--
				n.workers[x] = workerState{n.workers[x].epoch + 1, map[string]uint64{}, map[string]Word{}}
			})
		}
		for id, word := range w.workers[x].runs {
			if word == Running {
				do(func(n *world) {
					n.workers[x].runs[id] = Ran
					n.send(message{kind: "reply", job: id, worker: x, epoch: n.workers[x].epoch, word: Ran})
				})
			}
		}
	}
	for i, m := range w.messages {
		do(func(n *world) {
			n.messages = slices.Delete(n.messages, i, i+1)
			n.deliver(t, m, on)
		})
	}
	return all, ""
}

func (w *world) deliver(t *testing.T, m message, on rules) {
	x := &w.workers[m.worker]
	switch m.kind {
	case "start":
		if x.runs[m.job] != "" {
			return
		}
		if on.fences && m.term < x.fence[m.job] || on.epochs && m.epoch != x.epoch {
			w.send(message{kind: "turned", job: m.job, worker: m.worker, term: m.term})
			return
		}
		x.fence[m.job] = m.term
		x.runs[m.job] = Running
		w.ran[m.job]++
	case "ask":
		x.fence[m.job] = max(x.fence[m.job], m.term)
		word := x.runs[m.job]
		if word == "" {
			word = Never
		}
		w.send(message{kind: "reply", job: m.job, worker: m.worker, term: m.term, epoch: x.epoch, word: word})
	case "turned":
		if j := w.ledger(t).Job(m.job); j != nil {
			if r, ok := j.Turned(m.term); ok {
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
		if !on.worker && j.State == Leased {
			worker = j.Leases[len(j.Leases)-1].Worker
		}
		if r, ok := j.Learn(Reply{ID: m.job, Worker: worker, Term: m.term, Epoch: epoch, Word: m.word}); ok {
			w.log = append(w.log, r)
		}
	}
}

// search plays all that can happen, and returns the first broken promise and
// how many worlds it has seen.
func search(t *testing.T, b bounds, on rules, most int) (string, int) {
	start := &world{sent: map[string]uint64{}, answers: map[string]Outcome{}, ran: map[string]int{}, left: b}
	for range b.workers {
		start.workers = append(start.workers, workerState{0, map[string]uint64{}, map[string]Word{}})
	}
	seen := map[string]bool{start.key(): true}
	for queue := []*world{start}; len(queue) > 0; queue = queue[1:] {
		if len(seen) > most {
			t.Fatalf("more than %d worlds", most)
		}
		all, broken := queue[0].next(t, on)
		if broken != "" {
			return broken, len(seen)
		}
		for _, n := range all {
			if k := n.key(); !seen[k] {
				if why := n.worst(b.repeat); why != "" {
					return why + n.story(), len(seen)
				}
				seen[k] = true
				queue = append(queue, n)
			}
		}
	}
	return "", len(seen)
}

// BELLSTREAM_MODEL=full plays two jobs with questions too: 24 s and 2 GB.
func TestNoOrderBreaksAPromise(t *testing.T) {
	two := 0
	if os.Getenv("BELLSTREAM_MODEL") == "full" {
		two = 1
	}
	for name, b := range map[string]bounds{
		"crashes":  {jobs: 1, workers: 2, crashes: 2, restarts: 0, asks: 1, leases: 2, repeat: balance.Unsafe},
		"restarts": {jobs: 1, workers: 2, crashes: 1, restarts: 1, asks: 1, leases: 2, repeat: balance.Unsafe},
		"two":      {jobs: 2, workers: 2, crashes: 1, restarts: 0, asks: two, leases: 1, repeat: balance.Unsafe},
		"deep":     {jobs: 1, workers: 2, crashes: 2, restarts: 1, asks: 2, leases: 2, repeat: balance.Unsafe},
		"safe":     {jobs: 1, workers: 2, crashes: 1, restarts: 1, asks: 1, leases: 2, repeat: balance.Safe},
	} {
		broken, n := search(t, b, all, 3_000_000)
		t.Logf("%s: %d worlds", name, n)
		if broken != "" {
			t.Errorf("%s: %s", name, broken)
		}
	}
}

// Each rule is needed: without it the same search finds what it guards against.
func TestEachRuleIsNeeded(t *testing.T) {
	b := bounds{jobs: 1, workers: 2, crashes: 1, restarts: 1, asks: 1, leases: 2, repeat: balance.Unsafe}
	for name, c := range map[string]struct {
		off  func(*rules)
		want string
	}{
		"a start before its lease is safe": {func(r *rules) { r.grantSafe = false }, "ran twice"},
		"an answer before it is safe":      {func(r *rules) { r.reportSafe = false }, "j0 was"},
		"no fences":                        {func(r *rules) { r.fences = false }, "j0 "},
		"no epochs":                        {func(r *rules) { r.epochs = false }, "j0 "},
		"a reply of any worker":            {func(r *rules) { r.worker = false }, "j0 "},
		"silence counts as never":          {func(r *rules) { r.silence = false }, "j0 "},
	} {
		on := all
		c.off(&on)
		broken, n := search(t, b, on, 3_000_000)
		t.Logf("%s: %.24q after %d worlds", name, broken, n)
		if !strings.Contains(broken, c.want) {
			t.Errorf("%s: found %q, want %q", name, broken, c.want)
		}
	}
}

package shard

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

// The model plays the package's own code: one shard, two instances that can own it, one
// origin, an agreed map. A message arrives at once, or is loose: it arrives
// at any later time, or at once and once more, or never. What is loose is bounded.

// ruleset is what the search takes away, one at a time.
type ruleset struct {
	sealing, epochs, oneInFlight, attempts, atMostOnce, revocation, singleAnswer, checksums, resendForEpoch, noAbortAfterProposal, reopenAfterAborted, transferNumbers, exclusiveLease, startEpoch, updateNumbers, removeUnconfirmed, declineOrder, incarnations bool
}

// budget keeps a search small.
type budget struct {
	jobs, attempts                                           int
	transfers, aborts, crashes, isolations, delayed, corrupt int
	epochs                                                   uint64
	reject                                                   bool // owners reject as well
	assigned                                                 bool // the first job is owned at the start
	waive                                                    bool // owners do not wait for the origin to settle
	crashOrigin                                              bool // crashes strike the origin too
}

type message struct {
	key         string
	to          int // instance, or origin, or agreed
	incarnation int
	body        any
}

const (
	toOrigin    = 2
	toAgreement = 3
)

// proposal is a Change and the incarnation that staged a transfer for it; "": no transfer.
type proposal struct {
	OwnerChange
	by string
}

type instance struct {
	name                   string
	incarnation            int
	up, leased             bool
	isolated               bool   // it receives nothing of the agreement: its lease will lapse
	knownEpoch, startEpoch uint64 // epochs of the map: as known, and as it was when this incarnation began
	owner                  *Owner
	exporting              *ExportTransfer
	importing              *ImportTransfer
	charged, lineage       int // starts charged, and the epochs whose starts they are
	key                    string
}

func (x *instance) incarnationName() string { return fmt.Sprint(x.name, "#", x.incarnation) }

type model struct {
	instances            [2]*instance
	ownership            Ownership // the agreed map
	stagedBy             string    // the incarnation whose staged transfer made it so
	log                  *JobLog
	incarnation          int // of the origin
	logKey               string
	jobsAdded            int
	mayHaveRun, inFlight [2]int // of each job: starts that ran or may have; attempts out
	answers              [2]int
	startsByEpoch        [8]int // by epoch
	sealedChecksums      map[[2]uint64]Checksum
	delayedMessages      []message // on their way
	undelivered          []message // in this step
	budget               budget
	previous             *model
	description          string
	violated             string
}

func (w *model) trace() string {
	if w.previous == nil {
		return ""
	}
	return w.previous.trace() + "\n\t" + w.description
}

func (w *model) fail(why string) {
	if w.violated == "" {
		w.violated = why
	}
}

func (s *Owner) clone() *Owner {
	n := *s
	n.jobs, n.grants, n.origins, n.tenants = maps.Clone(s.jobs), maps.Clone(s.grants), map[string]*originStream{}, map[string]*releaseRate{}
	for k, j := range n.jobs {
		x := *j
		n.jobs[k] = &x
	}
	for k, h := range s.origins {
		x := *h
		n.origins[k] = &x
	}
	return &n
}

// mutableInstance gives the world an instance of its own.
func (w *model) mutableInstance(i int) *instance {
	x := *w.instances[i]
	x.key = ""
	x.owner = x.owner.clone()
	if x.exporting != nil {
		o := *x.exporting
		o.owner = x.owner
		x.exporting = &o
	}
	in := *x.importing
	in.snapshot.Records, in.snapshot.Tags = slices.Clip(in.snapshot.Records), slices.Clip(in.snapshot.Tags)
	x.importing = &in
	w.instances[i] = &x
	return &x
}

func (w *model) mutableLog() *JobLog {
	l := *w.log
	l.jobs = maps.Clone(l.jobs)
	for k, j := range l.jobs {
		x := *j
		l.jobs[k] = &x
	}
	l.unsent, l.unacknowledged = slices.Clone(l.unsent), slices.Clone(l.unacknowledged)
	w.log, w.logKey = &l, ""
	return &l
}

func (w *model) originName() string { return fmt.Sprint("h#", w.incarnation) }

func (w *model) send(to, incarnation int, body any) {
	w.undelivered = append(w.undelivered, message{"", to, incarnation, body})
}

// delay puts a message among those on their way.
func (w *model) delay(m message) {
	m.key = fmt.Sprintf("%d#%d %T%v", m.to, m.incarnation, m.body, m.body)
	w.budget.delayed--
	if at, ok := slices.BinarySearchFunc(w.delayedMessages, m, func(a, b message) int { return strings.Compare(a.key, b.key) }); !ok {
		w.delayedMessages = slices.Insert(slices.Clone(w.delayedMessages), at, m)
	}
}

// deliverSent hands over what was sent, in all ways that there are.
func (w model) deliverSent(on ruleset, take func(*model)) {
	if len(w.undelivered) == 0 || w.violated != "" {
		take(&w)
		return
	}
	m := w.undelivered[0]
	w.undelivered = slices.Clone(w.undelivered[1:])
	now := w
	now.deliver(m, on)
	now.deliverSent(on, take)
	if w.budget.delayed > 0 {
		later := w
		later.delay(m)
		later.deliverSent(on, take)
		later.deliver(m, on)
		later.deliverSent(on, take)
	}
	if p, ok := m.body.(Chunk); ok && w.budget.corrupt > 0 && len(p.Records) > 0 {
		w.budget.corrupt--
		p.Records = nil
		w.deliver(message{m.key, m.to, m.incarnation, p}, on)
		w.deliverSent(on, take)
	}
}

func newInstance(name string, incarnation int, born uint64) *instance {
	x := &instance{name: name, incarnation: incarnation, up: true, startEpoch: born, owner: NewOwner(0, Limits{MaxJobs: 9})}
	x.importing = NewImportTransfer(0, x.incarnationName(), 9)
	return x
}

// runWithoutFaults plays on without faults and says what never comes to rest.
func (w *model) runWithoutFaults(on ruleset) string {
	seen := map[string]bool{w.key(): true}
	w.budget.epochs += 2
	for range 400 {
		for _, x := range w.instances {
			if x.up && x.leased && x.owner.state == StateOpen && x.owner.epoch == w.ownership.Epoch && w.log.Synced() && w.log.epoch == w.ownership.Epoch &&
				(x.exporting == nil || x.exporting.Stage() == StageDone) {
				return ""
			}
		}
		var to *model
		for _, n := range w.successors(on) {
			if !n.fault && !seen[n.key()] {
				to = n.model
				break
			}
		}
		if to == nil {
			return "stuck"
		}
		if why := to.violatedInvariant(); why != "" {
			return why
		}
		w = to
		seen[w.key()] = true
	}
	return "never at rest"
}

// search plays all that can happen, and returns the first broken promise and
// how many worlds it has seen. Of each `every` worlds one is played to its end.
func search(t *testing.T, b budget, on ruleset, most, every int) (string, int) {
	start := &model{ownership: Ownership{"a", 1}, budget: b, sealedChecksums: map[[2]uint64]Checksum{}, log: NewJobLog(0, "h#0")}
	for i, name := range []string{"a", "b"} {
		start.instances[i] = newInstance(name, 0, 0)
		start.instances[i].knownEpoch, start.instances[i].leased = 1, true
	}
	start.instances[0].owner.Open(1, nil)
	start.instances[0].lineage = 1 << 1
	start.log.ObserveEpoch(1)
	if b.assigned {
		start.log.Add(0, JobRecord{ID: "j0", Timeout: 9, AtMostOnce: true})
		m, _ := start.log.NextUpdate(0)
		_, ack, _ := start.instances[0].owner.ApplyUpdate(0, m)
		start.log.Acknowledge(ack)
		start.jobsAdded = 1
	}
	seen := map[[16]byte]bool{}
	for queue := []*model{start}; len(queue) > 0; queue = queue[1:] {
		if len(seen) > most {
			t.Fatalf("more than %d worlds", most)
		}
		for _, n := range queue[0].successors(on) {
			hash := sha256.Sum256([]byte(n.key()))
			k := [16]byte(hash[:])
			if seen[k] {
				continue
			}
			if why := n.violatedInvariant(); why != "" {
				return why + n.trace(), len(seen)
			}
			seen[k] = true
			queue = append(queue, n.model)
			if every > 0 && (int(k[0])<<8|int(k[1]))%every == 0 {
				end := *n.model
				if why := end.runWithoutFaults(on); why != "" {
					return why + n.trace(), len(seen)
				}
			}
		}
		queue[0] = nil
	}
	return "", len(seen)
}

var allRules = ruleset{true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, true}

// BELLSTREAM_MODEL=full plays more that is loose, and more of everything together.
func TestInvariantsInAnyOrder(t *testing.T) {
	cases := map[string]budget{
		"one transfer":            {jobs: 1, attempts: 1, transfers: 1, aborts: 1, delayed: 1, epochs: 3},
		"two transfers":           {jobs: 1, attempts: 1, transfers: 2, delayed: 1, epochs: 3, assigned: true},
		"attempts":                {jobs: 1, attempts: 2, delayed: 2, epochs: 2, reject: true, assigned: true},
		"two jobs":                {jobs: 2, attempts: 1, transfers: 1, corrupt: 1, epochs: 2, assigned: true},
		"attempts and a transfer": {jobs: 1, attempts: 2, transfers: 1, epochs: 2, reject: true, assigned: true},
		"crashes":                 {jobs: 1, attempts: 1, transfers: 1, crashes: 1, isolations: 1, epochs: 2, assigned: true},
		"late grants":             {jobs: 1, attempts: 1, crashes: 1, delayed: 1, epochs: 3, assigned: true},
		"origin":                  {jobs: 1, attempts: 1, transfers: 1, crashes: 1, epochs: 2, crashOrigin: true},
		"waive":                   {jobs: 1, attempts: 1, transfers: 1, delayed: 1, epochs: 2, waive: true, assigned: true},
	}
	if os.Getenv("BELLSTREAM_MODEL") == "full" {
		maps.Copy(cases, map[string]budget{
			"refuses":    {jobs: 1, attempts: 2, delayed: 1, epochs: 2, reject: true, assigned: true},
			"looser":     {jobs: 1, attempts: 1, transfers: 1, aborts: 1, delayed: 2, epochs: 3},
			"back":       {jobs: 1, attempts: 1, transfers: 2, aborts: 1, delayed: 1, epochs: 3, assigned: true},
			"everything": {jobs: 1, attempts: 1, transfers: 1, aborts: 1, crashes: 1, delayed: 1, epochs: 3, assigned: true},
		})
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken, n := search(t, b, allRules, 6_000_000, 100)
			t.Logf("%s: %d worlds", name, n)
			if broken != "" {
				t.Error(broken)
			}
		})
	}
}

// Each rule is needed: without it the same search finds what it guards against.
func TestEachRuleIsNecessary(t *testing.T) {
	move := budget{jobs: 1, attempts: 1, transfers: 1, aborts: 1, delayed: 1, epochs: 3, assigned: true}
	still := budget{jobs: 1, attempts: 2, delayed: 1, epochs: 2, reject: true, assigned: true}
	dies := budget{jobs: 1, attempts: 1, crashes: 1, isolations: 1, delayed: 1, epochs: 3, assigned: true}
	for name, c := range map[string]struct {
		off  func(*ruleset)
		b    budget
		want string
	}{
		"the old owner is sealed":               {func(r *ruleset) { r.sealing = false }, move, "uncharged"},
		"epochs at the origin":                  {func(r *ruleset) { r.epochs = false }, dies, "a start that the new owner"},
		"one attempt in flight at the origin":   {func(r *ruleset) { r.oneInFlight = false }, move, "an unsafe job ran twice"},
		"attempts are numbered":                 {func(r *ruleset) { r.attempts = false }, still, "uncharged"},
		"what may have run does not run again":  {func(r *ruleset) { r.atMostOnce = false }, still, "an unsafe job ran twice"},
		"what is revoked stays revoked":         {func(r *ruleset) { r.revocation = false }, move, "uncharged"},
		"one answer at the origin":              {func(r *ruleset) { r.singleAnswer = false }, still, "two answers"},
		"chunks have count and digest":          {func(r *ruleset) { r.checksums = false }, budget{jobs: 1, transfers: 1, corrupt: 1, epochs: 2, assigned: true}, "the copy is not"},
		"origins update the new owner":          {func(r *ruleset) { r.resendForEpoch = false }, dies, "job lost"},
		"after the proposal only forward":       {func(r *ruleset) { r.noAbortAfterProposal = false }, move, "opened without"},
		"open again when the other aborted it":  {func(r *ruleset) { r.reopenAfterAborted = false }, move, "uncharged"},
		"transfers are numbered":                {func(r *ruleset) { r.transferNumbers = false }, move, "uncharged"},
		"no owner opens beside a lease":         {func(r *ruleset) { r.exclusiveLease = false }, dies, "two open owners"},
		"a new incarnation opens no old epoch":  {func(r *ruleset) { r.startEpoch = false }, dies, "uncharged"},
		"updates are numbered":                  {func(r *ruleset) { r.updateNumbers = false }, still, "ghost"},
		"what is not sent is dropped":           {func(r *ruleset) { r.removeUnconfirmed = false }, move, "ghost"},
		"a decline waits for updates before it": {func(r *ruleset) { r.declineOrder = false }, move, "uncharged"},
		"a transfer is to one incarnation":      {func(r *ruleset) { r.incarnations = false }, budget{jobs: 1, attempts: 1, transfers: 1, aborts: 1, crashes: 1, delayed: 1, epochs: 2, assigned: true}, "uncharged"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			on := allRules
			c.off(&on)
			broken, n := search(t, c.b, on, 1_000_000, 0)
			t.Logf("%s: %.40q after %d worlds", name, broken, n)
			if !strings.HasPrefix(broken, c.want) {
				t.Errorf("found %q, want %q", broken, c.want)
			}
		})
	}
}

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

// The model checks the package's own code: it searches the reachable states of one shard, two instances that can own
// it, one origin and an agreed map. A message is delivered at once, or is delayed: it is delivered at any later time, or
// at once and again later, or never. The budget bounds the number of delayed messages.

// ruleset holds the rules of the protocol; TestEachRuleIsNecessary disables one at a time.
type ruleset struct {
	sealing, epochs, oneInFlight, attempts, atMostOnce, revocation, singleAnswer, checksums, resendForEpoch,
	noAbortAfterProposal, reopenAfterAborted, transferNumbers, exclusiveLease, startEpoch, updateNumbers,
	removeUnconfirmed, declineOrder, incarnations bool
}

// budget bounds how often each event happens, to keep a search small.
type budget struct {
	jobs, attempts                                           int
	transfers, aborts, crashes, isolations, delayed, corrupt int
	epochs                                                   uint64
	reject                                                   bool // owners also reject jobs
	assigned                                                 bool // the owner knows the first job at the start
	waive                                                    bool // transfers do not wait until pending grants are settled
	crashOrigin                                              bool // the origin crashes too
}

type message struct {
	key         string
	to          int // index of an instance, toOrigin or toAgreement
	incarnation int
	body        any
}

const (
	toOrigin    = 2
	toAgreement = 3
)

// proposal is an OwnerChange and the incarnation that has staged a transfer for it; "": no transfer.
type proposal struct {
	OwnerChange
	by string
}

type instance struct {
	name                   string
	incarnation            int
	up, leased             bool
	isolated               bool   // cut off from the agreement: its lease will expire
	knownEpoch, startEpoch uint64 // epochs of the map: known to the instance, and at the start of this incarnation
	owner                  *Owner
	exporting              *ExportTransfer
	importing              *ImportTransfer
	charged, lineage       int // number of starts charged, and a bit set of the epochs of these starts
	key                    string
}

func (x *instance) incarnationName() string { return fmt.Sprint(x.name, "#", x.incarnation) }

type model struct {
	instances            [2]*instance
	ownership            Ownership // the agreed map
	stagedBy             string    // incarnation whose staged transfer led to this ownership; "": none
	log                  *JobLog
	incarnation          int // of the origin
	logKey               string
	jobsAdded            int
	mayHaveRun, inFlight [2]int // per job: starts that ran or may have run, and attempts in flight
	answers              [2]int
	startsByEpoch        [8]int // starts by the epoch of their grant
	sealedChecksums      map[[2]uint64]Checksum
	delayedMessages      []message // sorted by key
	undelivered          []message // sent in this step
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

func (w *model) fail(reason string) {
	if w.violated == "" {
		w.violated = reason
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

// mutableInstance replaces an instance by a copy that this state may change, and returns the copy.
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

// delay adds a message to the delayed ones.
func (w *model) delay(m message) {
	m.key = fmt.Sprintf("%d#%d %T%v", m.to, m.incarnation, m.body, m.body)
	w.budget.delayed--
	if at, ok := slices.BinarySearchFunc(w.delayedMessages, m, func(a, b message) int { return strings.Compare(a.key, b.key) }); !ok {
		w.delayedMessages = slices.Insert(slices.Clone(w.delayedMessages), at, m)
	}
}

// deliverSent calls take with each state that can result from the messages sent in this step: delivered, delayed,
// delivered twice or corrupted.
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

func newInstance(name string, incarnation int, startEpoch uint64) *instance {
	x := &instance{name: name, incarnation: incarnation, up: true, startEpoch: startEpoch, owner: NewOwner(0, Limits{MaxJobs: 9})}
	x.importing = NewImportTransfer(0, x.incarnationName(), 9)
	return x
}

// runWithoutFaults takes steps without faults until an owner of the newest epoch is open and in sync with the origin. It
// returns why it cannot reach such a state, or the violated invariant; "": it has reached one.
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
			return "no step without a fault is left"
		}
		if violation := to.violatedInvariant(); violation != "" {
			return violation
		}
		w = to
		seen[w.key()] = true
	}
	return "no open and synced owner after 400 steps"
}

// search visits all reachable states and returns the first violated invariant with the steps to it, and the number of
// states seen. It fails the test above most states. From about one in `every` states it also runs on without faults; 0:
// from none.
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
			t.Fatalf("the search exceeds %d states", most)
		}
		for _, n := range queue[0].successors(on) {
			hash := sha256.Sum256([]byte(n.key()))
			k := [16]byte(hash[:])
			if seen[k] {
				continue
			}
			if violation := n.violatedInvariant(); violation != "" {
				return violation + n.trace(), len(seen)
			}
			seen[k] = true
			queue = append(queue, n.model)
			if every > 0 && (int(k[0])<<8|int(k[1]))%every == 0 {
				end := *n.model
				if violation := end.runWithoutFaults(on); violation != "" {
					return violation + n.trace(), len(seen)
				}
			}
		}
		queue[0] = nil
	}
	return "", len(seen)
}

var allRules = ruleset{true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, true}

// TestInvariantsInAnyOrder searches for a violated invariant with all rules enabled. BELLSTREAM_MODEL=full adds larger
// searches, with more delayed messages and with all kinds of faults together.
func TestInvariantsInAnyOrder(t *testing.T) {
	cases := map[string]budget{
		"one transfer":            {jobs: 1, attempts: 1, transfers: 1, aborts: 1, delayed: 1, epochs: 3},
		"two transfers":           {jobs: 1, attempts: 1, transfers: 2, delayed: 1, epochs: 3, assigned: true},
		"two attempts":            {jobs: 1, attempts: 2, delayed: 2, epochs: 2, reject: true, assigned: true},
		"two jobs":                {jobs: 2, attempts: 1, transfers: 1, corrupt: 1, epochs: 2, assigned: true},
		"attempts and a transfer": {jobs: 1, attempts: 2, transfers: 1, epochs: 2, reject: true, assigned: true},
		"crashes":                 {jobs: 1, attempts: 1, transfers: 1, crashes: 1, isolations: 1, epochs: 2, assigned: true},
		"late grants":             {jobs: 1, attempts: 1, crashes: 1, delayed: 1, epochs: 3, assigned: true},
		"origin crashes":          {jobs: 1, attempts: 1, transfers: 1, crashes: 1, epochs: 2, crashOrigin: true},
		"waived grants":           {jobs: 1, attempts: 1, transfers: 1, delayed: 1, epochs: 2, waive: true, assigned: true},
	}
	if os.Getenv("BELLSTREAM_MODEL") == "full" {
		maps.Copy(cases, map[string]budget{
			"rejections":                 {jobs: 1, attempts: 2, delayed: 1, epochs: 2, reject: true, assigned: true},
			"more delayed messages":      {jobs: 1, attempts: 1, transfers: 1, aborts: 1, delayed: 2, epochs: 3},
			"two transfers and an abort": {jobs: 1, attempts: 1, transfers: 2, aborts: 1, delayed: 1, epochs: 3, assigned: true},
			"everything":                 {jobs: 1, attempts: 1, transfers: 1, aborts: 1, crashes: 1, delayed: 1, epochs: 3, assigned: true},
		})
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violated, n := search(t, b, allRules, 6_000_000, 100)
			t.Logf("%s: %d states", name, n)
			if violated != "" {
				t.Error(violated)
			}
		})
	}
}

// TestEachRuleIsNecessary checks that the search finds the expected violation when one rule is disabled, so that the
// search would notice if the code broke that rule.
func TestEachRuleIsNecessary(t *testing.T) {
	transfer := budget{jobs: 1, attempts: 1, transfers: 1, aborts: 1, delayed: 1, epochs: 3, assigned: true}
	noTransfer := budget{jobs: 1, attempts: 2, delayed: 1, epochs: 2, reject: true, assigned: true}
	crash := budget{jobs: 1, attempts: 1, crashes: 1, isolations: 1, delayed: 1, epochs: 3, assigned: true}
	for name, c := range map[string]struct {
		disable func(*ruleset)
		b       budget
		want    string
	}{
		"the old owner is sealed":                  {func(r *ruleset) { r.sealing = false }, transfer, "uncharged"},
		"epochs at the origin":                     {func(r *ruleset) { r.epochs = false }, crash, "a start that the new owner"},
		"one attempt in flight at the origin":      {func(r *ruleset) { r.oneInFlight = false }, transfer, "an unsafe job ran twice"},
		"attempts are numbered":                    {func(r *ruleset) { r.attempts = false }, noTransfer, "uncharged"},
		"jobs that may have run do not run again":  {func(r *ruleset) { r.atMostOnce = false }, noTransfer, "an unsafe job ran twice"},
		"revoked grants are not executed":          {func(r *ruleset) { r.revocation = false }, transfer, "uncharged"},
		"one answer by the origin":                 {func(r *ruleset) { r.singleAnswer = false }, noTransfer, "two answers"},
		"chunks have a count and digest":           {func(r *ruleset) { r.checksums = false }, budget{jobs: 1, transfers: 1, corrupt: 1, epochs: 2, assigned: true}, "the copy is not"},
		"origins update the new owner":             {func(r *ruleset) { r.resendForEpoch = false }, crash, "job lost"},
		"no abort after the proposal":              {func(r *ruleset) { r.noAbortAfterProposal = false }, transfer, "opened without"},
		"reopen only after Aborted":                {func(r *ruleset) { r.reopenAfterAborted = false }, transfer, "uncharged"},
		"transfers are numbered":                   {func(r *ruleset) { r.transferNumbers = false }, transfer, "uncharged"},
		"no owner opens during another lease":      {func(r *ruleset) { r.exclusiveLease = false }, crash, "two open owners"},
		"a new incarnation opens no old epoch":     {func(r *ruleset) { r.startEpoch = false }, crash, "uncharged"},
		"updates are numbered":                     {func(r *ruleset) { r.updateNumbers = false }, noTransfer, "job only at the owner"},
		"jobs missing in the snapshot are removed": {func(r *ruleset) { r.removeUnconfirmed = false }, transfer, "job only at the owner"},
		"a decline waits for updates before it":    {func(r *ruleset) { r.declineOrder = false }, transfer, "uncharged"},
		"a transfer is for one incarnation":        {func(r *ruleset) { r.incarnations = false }, budget{jobs: 1, attempts: 1, transfers: 1, aborts: 1, crashes: 1, delayed: 1, epochs: 2, assigned: true}, "uncharged"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			on := allRules
			c.disable(&on)
			violated, n := search(t, c.b, on, 1_000_000, 0)
			t.Logf("%s: %.40q after %d states", name, violated, n)
			if !strings.HasPrefix(violated, c.want) {
				t.Errorf("found violation %q, want prefix %q", violated, c.want)
			}
		})
	}
}

package shard

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"example.org/bellstream/balance"
)

// originAndOwner is an origin and an owner of shard 3; sync exchanges their messages without loss.
type originAndOwner struct {
	t     *testing.T
	log   *JobLog
	owner *Owner
}

func newOriginAndOwner(t *testing.T, jobs int) originAndOwner {
	p := originAndOwner{t, NewJobLog(3, "h#1"), NewOwner(3, Limits{MaxJobs: 100_000})}
	for i := range jobs {
		if err := p.log.Add(0, JobRecord{ID: fmt.Sprint("j", i), Tenant: "t", Timeout: 10}); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.owner.Open(1, nil); err != nil {
		t.Fatal(err)
	}
	p.log.ObserveEpoch(1)
	p.sync(0)
	return p
}

// sync delivers all updates and their acknowledgements, and returns the changes at the owner.
func (p originAndOwner) sync(now float64) (all []Update) {
	for {
		m, ok := p.log.NextUpdate(now)
		if !ok {
			return all
		}
		updates, ack, err := p.owner.ApplyUpdate(now, m)
		if err != nil {
			p.t.Fatal(err)
		}
		p.log.Acknowledge(ack)
		all = append(all, updates...)
	}
}

func (p originAndOwner) grant(kind Kind, id string) Grant {
	g, err := p.owner.Grant(JobKey{"h#1", id}, Decision{Kind: kind, Worker: "w"})
	if err != nil {
		p.t.Fatal(err)
	}
	return g
}

func TestAccept(t *testing.T) {
	p := newOriginAndOwner(t, 2)
	p.log.jobs["j0"].AtMostOnce = true
	g := p.grant(Send, "j0")
	if _, err := p.owner.Grant(JobKey{"h#1", "j0"}, Decision{Kind: Send, Worker: "w"}); !errors.Is(err, GrantPendingError{}) {
		t.Errorf("second grant: got error %v, want GrantPendingError", err)
	}
	accept := func(g Grant, want error) {
		t.Helper()
		if err := p.log.Accept(2, g); want == nil && err != nil || want != nil && !errors.Is(err, want) {
			t.Errorf("Accept of %+v: got error %v, want %T", g, err, want)
		}
	}
	with := func(f func(g *Grant)) Grant { x := g; f(&x); return x }
	accept(with(func(g *Grant) { g.Epoch = 0 }), StaleEpochError{})
	accept(with(func(g *Grant) { g.ID = "x" }), NotFoundError{})
	accept(with(func(g *Grant) { g.Attempt = 1 }), StaleAttemptError{})
	accept(g, nil)
	accept(g, AttemptInFlightError{})
	accept(with(func(g *Grant) { g.Kind = Reject }), AttemptInFlightError{})
	accept(with(func(g *Grant) { g.Kind = Cancel; g.Attempt = 1 }), StaleAttemptError{})
	accept(with(func(g *Grant) { g.Kind = Cancel }), nil)
	if err := p.log.FinishAttempt(3, "j0", AttemptResult{Outcome: balance.ConnectionLost, MayHaveRun: true}); err != nil {
		t.Fatal(err)
	}
	accept(with(func(g *Grant) { g.Kind = Cancel }), StaleAttemptError{})
	accept(g, StaleAttemptError{})
	accept(with(func(g *Grant) { g.Attempt = 1 }), MayHaveRunError{})
	accept(with(func(g *Grant) { g.Kind = Reject; g.Attempt = 1 }), MayHaveRunError{})
	accept(with(func(g *Grant) { g.Kind = Fail; g.Attempt = 1 }), nil)
	accept(with(func(g *Grant) { g.Attempt = 1 }), JobFinishedError{})
	if updates := p.sync(4); len(updates) != 1 || !updates[0].Finished || p.owner.PendingCount() != 0 || p.log.jobs["j0"] != nil {
		t.Errorf("got updates %+v, want one that is finished, and the job deleted", updates)
	}
	// An origin may learn of an epoch first by a grant.
	accept(with(func(g *Grant) { g.ID, g.Epoch = "j1", 2 }), nil)
	if p.log.Epoch() != 2 {
		t.Errorf("got epoch %d, want 2", p.log.Epoch())
	}
	if err := p.log.Add(4, JobRecord{ID: "j1"}); !errors.Is(err, DuplicateJobError{}) {
		t.Error(err)
	}
}

// TestAttemptProgressIsSent checks that updates carry what decisions need of an attempt: when it started, and the load
// report received at its end, until the next attempt begins.
func TestAttemptProgressIsSent(t *testing.T) {
	p := newOriginAndOwner(t, 1)
	before, _ := p.owner.Job(1, JobKey{"h#1", "j0"})
	p.log.Accept(1, p.grant(Send, "j0"))
	p.log.MarkStarted(2, "j0")
	latestAttempt := func() Attempt {
		p.sync(5)
		e, _ := p.owner.Job(5, JobKey{"h#1", "j0"})
		if e.statusDigest(nil) == before.statusDigest(nil) || e.contentDigest(nil) == before.contentDigest(nil) {
			t.Errorf("status or content digest unchanged by %+v", e)
		}
		before = e
		return e.Attempts[0]
	}
	if a := latestAttempt(); !a.Started || a.RunningFor != 3 || a.Elapsed != 4 {
		t.Errorf("got attempt %+v", a)
	}
	p.log.FinishAttempt(5, "j0", AttemptResult{Outcome: balance.Overloaded, Report: []float64{1, 2}})
	if a := latestAttempt(); a.Outcome != balance.Overloaded || len(a.Report) != 2 {
		t.Errorf("got attempt %+v", a)
	}
	// A job that is not at-most-once may be rejected though it may have run: a retry is harmless.
	p.log.Accept(5, p.grant(Send, "j0"))
	if a := latestAttempt(); a.Report != nil {
		t.Errorf("the report is still sent after the next attempt began: %+v", a)
	}
	p.log.FinishAttempt(5, "j0", AttemptResult{Outcome: balance.ConnectionLost, MayHaveRun: true, Report: make([]float64, MaxReportValues+1)})
	if latestAttempt(); len(before.Attempts[1].Report) > 0 {
		t.Error("a report longer than MaxReportValues is kept")
	}
	if err := p.log.Accept(5, p.grant(Reject, "j0")); err != nil {
		t.Error(err)
	}
}

// TestUpdatesInAnyOrder checks that lost, duplicate and late updates neither lose a job nor bring a finished one back.
func TestUpdatesInAnyOrder(t *testing.T) {
	p := newOriginAndOwner(t, 2)
	p.log.Add(1, JobRecord{ID: "j2", Tenant: "t", Timeout: 10})
	first, _ := p.log.NextUpdate(1)
	p.log.FinishJob("j0")
	second, _ := p.log.NextUpdate(1)
	for _, m := range []JobUpdate{second, second} { // after a gap: nothing is applied
		if updates, ack, err := p.owner.ApplyUpdate(1, m); err != nil || updates != nil || ack.Next != 3 {
			t.Errorf("update after a gap: got updates %v, ack %v, error %v; want none and Next 3", updates, ack, err)
		}
	}
	resent, _ := p.log.Resend(2)
	if len(resent.Records) != 2 || resent.Records[0].Timeout != 9 {
		t.Errorf("resent update: got %+v, want 2 records, the first with a timeout of 9 s", resent)
	}
	_, ack, _ := p.owner.ApplyUpdate(2, resent)
	for _, m := range []JobUpdate{first, second, resent} {
		if updates, _, _ := p.owner.ApplyUpdate(2, m); updates != nil {
			t.Errorf("repeated update: got updates %v, want none", updates)
		}
	}
	p.log.Acknowledge(ack)
	p.log.Acknowledge(Ack{3, 1, "h#1", 2})
	p.log.Acknowledge(Ack{3, 1, "h#1", 99})
	if !p.log.Synced() || p.owner.JobCount() != 2 || p.log.OpenJobs() != 2 || len(p.log.jobs) != 2 {
		t.Errorf("the owner has %d jobs, the origin %d open; want 2 each, synced", p.owner.JobCount(), p.log.OpenJobs())
	}
	if updates := p.owner.OriginLost("h#1"); len(updates) != 2 || p.owner.JobCount() != 0 {
		t.Errorf("OriginLost: got updates %v, want 2 and no job left", updates)
	}
	if _, _, err := p.owner.ApplyUpdate(3, first); !errors.Is(err, NotFoundError{}) {
		t.Error(err)
	}
}

// move transfers p's shard to the incarnation b#1 and returns the owner opened there.
func (p originAndOwner) move(now float64, tags []TenantTags) *Owner {
	o, err := p.owner.BeginTransfer("b#1")
	if err != nil {
		p.t.Fatal(err)
	}
	for _, r := range p.owner.Revokes() {
		m, _ := p.log.Revoke(r)
		p.sync(now)
		p.owner.ApplyDecline(m)
	}
	if err := o.Freeze(now, tags, false); err != nil {
		p.t.Fatal(err)
	}
	in := NewImportTransfer(3, "b#1", MaxRecords)
	for o.Stage() == StageCopying {
		for _, x := range o.Chunks(now, 4) {
			ack, _, err := in.AddChunk(now, x)
			if err != nil {
				p.t.Fatal(err)
			}
			o.Acknowledge(ack)
		}
	}
	m := make(Map, 4)
	m[3] = Ownership{"a", 1}
	if c, ok := in.Propose("b"); !ok || !m.Apply(c) || m.Apply(c) || m[3] != (Ownership{"b", 2}) {
		p.t.Fatalf("map %v, want shard 3 owned by b at epoch 2", m)
	}
	p.owner.ObserveEpoch(2)
	b := NewOwner(3, Limits{MaxJobs: 100_000})
	if err := b.Open(2, in.TakeSnapshot(2)); err != nil {
		p.t.Fatal(err)
	}
	return b
}

func TestTransfer(t *testing.T) {
	p := newOriginAndOwner(t, 1000)
	executed, lost := p.grant(Send, "j1"), p.grant(Send, "j2")
	if err := p.log.Accept(1, executed); err != nil {
		t.Fatal(err)
	}
	var tags []TenantTags
	for i := range 300 {
		tags = append(tags, TenantTags{fmt.Sprint("t", i), float64(i) - 10, 2})
	}
	b := p.move(2, tags)
	if err := p.log.Accept(3, lost); !errors.Is(err, GrantRevokedError{}) {
		t.Errorf("revoked grant: got error %v, want GrantRevokedError", err)
	}
	if _, err := p.owner.Grant(JobKey{"h#1", "j3"}, Decision{Kind: Send, Worker: "w"}); !errors.Is(err, NotOwnerError{}) {
		t.Errorf("Grant by the old owner: got error %v, want NotOwnerError", err)
	}
	if _, _, err := p.owner.ApplyUpdate(3, JobUpdate{Epoch: 2}); !errors.Is(err, NotOwnerError{}) {
		t.Errorf("ApplyUpdate by the old owner: got error %v, want NotOwnerError", err)
	}
	if e, ok := b.Job(4, JobKey{"h#1", "j1"}); !ok || !e.InFlight() || e.Timeout != 6 || e.Age != 4 || e.Attempts[0].Elapsed != 3 {
		t.Errorf("transferred job: got %+v", e)
	}
	// Until the origin has sent its updates, the owner uses the transferred record; then the origin's record replaces it.
	p.log.FinishJob("j9")
	g, err := b.Grant(JobKey{"h#1", "j9"}, Decision{Kind: Send, Worker: "w"})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.log.Accept(4, g); !errors.Is(err, NotFoundError{}) || p.log.Epoch() != 2 {
		t.Errorf("grant for a finished job: origin at epoch %d, error %v; want 2 and NotFoundError", p.log.Epoch(), err)
	}
	p.owner = b
	finished := 0
	for _, n := range p.sync(5) {
		if n.New || n.GrantUnused {
			t.Errorf("got update %+v, want neither New nor GrantUnused", n)
		}
		if n.Finished {
			finished++
		}
	}
	if finished != 1 || b.JobCount() != 999 || b.PendingCount() != 0 || !p.log.Synced() {
		t.Errorf("%d jobs finished, %d known, %d grants pending; want 1, 999 and 0, synced", finished, b.JobCount(), b.PendingCount())
	}
}

// TestTransferWithPendingGrants checks that pending grants of an origin that does not answer are transferred as Granted,
// and that its updates to the new owner settle them.
func TestTransferWithPendingGrants(t *testing.T) {
	p := newOriginAndOwner(t, 3)
	p.log.Accept(1, p.grant(Send, "j0"))
	p.grant(Send, "j1")
	o, _ := p.owner.BeginTransfer("b#1")
	if err := o.Freeze(1, nil, false); !errors.Is(err, TransferRejectedError{}) {
		t.Errorf("Freeze with pending grants: got error %v, want TransferRejectedError", err)
	}
	if err := o.Freeze(1, nil, true); err != nil {
		t.Fatal(err)
	}
	in := NewImportTransfer(3, "b#1", 10)
	ack, _, _ := in.AddChunk(2, o.Chunks(2, 1)[0])
	o.Acknowledge(ack)
	in.Propose("b")
	b := NewOwner(3, Limits{MaxJobs: 10})
	b.Open(2, in.TakeSnapshot(2))
	if _, err := b.Grant(JobKey{"h#1", "j1"}, Decision{Kind: Send, Worker: "w"}); !errors.Is(err, GrantPendingError{}) {
		t.Error(err)
	}
	p.owner = b
	p.log.ObserveEpoch(2)
	unused := map[string]bool{}
	for _, n := range p.sync(3) {
		unused[n.ID] = n.GrantUnused
	}
	if !reflect.DeepEqual(unused, map[string]bool{"j0": false, "j1": true, "j2": false}) {
		t.Errorf("GrantUnused by job: got %v, want only j1", unused)
	}
	p.grant(Send, "j1")
}

func TestAbortTransfer(t *testing.T) {
	p := newOriginAndOwner(t, 3)
	o, _ := p.owner.BeginTransfer("b#1")
	if _, err := p.owner.BeginTransfer("c#1"); !errors.Is(err, TransferRejectedError{}) {
		t.Errorf("second transfer at a time: got error %v, want TransferRejectedError", err)
	}
	o.Abort() // no chunk was sent
	if p.owner.State() != StateOpen || o.Stage() != StageDone {
		t.Fatal(p.owner.State(), o.Stage())
	}
	in := NewImportTransfer(3, "b#1", 10)
	begin := func() (*ExportTransfer, Chunk) {
		t.Helper()
		o, err := p.owner.BeginTransfer("b#1")
		if err != nil {
			t.Fatal(err)
		}
		o.Freeze(1, nil, false)
		return o, o.Chunks(1, 9)[0]
	}
	o, old := begin()
	bad := old
	bad.Records = bad.Records[1:]
	if _, _, err := in.AddChunk(1, bad); !errors.Is(err, TransferRejectedError{}) || in.Staged() {
		t.Errorf("chunk without one of its records: got error %v, want TransferRejectedError", err)
	}
	in.AddChunk(1, old)
	o.Abort()
	if p.owner.State() != StateSealed {
		t.Error("the old owner is open while the new owner may have all records")
	}
	abort, _ := o.AbortMessage()
	d, err := in.HandleAbort(abort)
	if err != nil || !o.HandleAborted(*d) || p.owner.State() != StateOpen || in.Staged() {
		t.Fatal(d, err)
	}
	o, next := begin()
	if _, d, err := in.AddChunk(2, old); d == nil || err == nil {
		t.Errorf("chunk of an aborted transfer: got error %v, want an error and Aborted", err)
	}
	ack, _, err := in.AddChunk(2, next)
	if _, _, old := in.AddChunk(2, old); err != nil || !errors.Is(old, TransferRejectedError{}) {
		t.Error(err, old)
	}
	o.Acknowledge(ack)
	if _, ok := in.Propose("b"); !ok || o.Stage() != StageStaged {
		t.Fatal("the transfer is not staged")
	}
	o.Abort()
	abort, _ = o.AbortMessage()
	if d, err := in.HandleAbort(abort); d != nil || !errors.Is(err, TransferRejectedError{}) || in.Abort("full") != nil {
		t.Errorf("abort after the proposal: got %v and error %v, want TransferRejectedError", d, err)
	}
	// The old owner may still reclaim the shard by a change of the map.
	c, ok := o.Reclaim("a")
	if !ok || c != (OwnerChange{3, 1, "a"}) {
		t.Errorf("Reclaim: got %+v, want a change to a at epoch 1", c)
	}
	if err := p.owner.Renew(2); err != nil || in.TakeSnapshot(3) != nil {
		t.Error(err)
	}
	if err := p.owner.Renew(2); !errors.Is(err, StaleEpochError{}) || p.owner.Open(1, nil) == nil {
		t.Error("Renew or Open accepted an epoch that is not newer")
	}
	// The new owner aborts a transfer that is too large.
	p.log.ObserveEpoch(2)
	p.sync(3)
	o, next = begin()
	if _, d, err := NewImportTransfer(3, "b#1", 2).AddChunk(2, next); err == nil || !o.HandleAborted(*d) || p.owner.State() != StateOpen {
		t.Errorf("transfer above maxRecords: got error %v, want an error and the old owner open", err)
	}
}

func TestAdmission(t *testing.T) {
	l, s := NewJobLog(0, "h"), NewOwner(0, Limits{MaxJobs: 60})
	s.Open(1, nil)
	l.ObserveEpoch(1)
	p := originAndOwner{t, l, s}
	now := 0.0
	rejected := func(tenant string, n int, timeout float64) (full int) {
		for range n {
			l.Add(now, JobRecord{ID: fmt.Sprint(tenant, now, full, s.JobCount()), Tenant: tenant, Timeout: timeout})
			for _, x := range p.sync(now) {
				if errors.Is(x.RejectReason, OwnerFullError{}) {
					full++
					l.FinishJob(x.ID)
					p.sync(now)
				}
			}
		}
		return full
	}
	if n := rejected("slow", 20, 4); n != 0 {
		t.Errorf("%d jobs rejected before the release rate is known, want 0", n)
	}
	// One job is released per second: with 20 waiting, the last one waits 20 s.
	for k := range s.jobs {
		if now++; now > 4 {
			break
		}
		g, _ := s.Grant(k, Decision{Kind: Send, Worker: "w"})
		l.Accept(now, g)
		p.sync(now)
	}
	if n := rejected("slow", 5, 4); n != 5 {
		t.Errorf("%d of 5 jobs rejected that would wait 17 s with a timeout of 4 s, want all", n)
	}
	if n := rejected("slow", 5, 40); n != 0 {
		t.Errorf("%d jobs rejected whose timeout is long enough, want 0", n)
	}
	if n := rejected("quick", 10, 4); n != 0 {
		t.Errorf("%d jobs of another tenant rejected, want 0", n)
	}
	if n := rejected("quick", 60, 400); s.JobCount() != 60 || n != 35 {
		t.Errorf("%d jobs known, %d rejected; want 60 and 35", s.JobCount(), n)
	}
	// Tenants without waiting jobs are removed.
	for i := range 3 * minTenants {
		s.rateOf(fmt.Sprint("gone", i))
	}
	if len(s.tenants) > 2*minTenants || s.tenants["slow"] == nil {
		t.Errorf("%d tenants kept, or the one with waiting jobs removed", len(s.tenants))
	}
	// Jobs that an owner has admitted before are never rejected.
	s = NewOwner(0, Limits{MaxJobs: 1})
	s.Open(2, nil)
	p.owner = s
	l.ObserveEpoch(2)
	for _, x := range p.sync(now) {
		if x.RejectReason != nil {
			t.Error(x.RejectReason)
		}
	}
}

// TestErrorsNameTheRemedy checks that every error says what to do, and that the pages it names have the section it
// names.
func TestErrorsNameTheRemedy(t *testing.T) {
	page := regexp.MustCompile(`(docs/\S+\.md), "(\w[\w ]*)"`)
	for _, err := range []error{StaleEpochError{}, AttemptInFlightError{}, DuplicateJobError{}, JobFinishedError{}, NotFoundError{}, StaleAttemptError{}, MayHaveRunError{}, GrantRevokedError{}, GrantPendingError{},
		NotOwnerError{State: StateClosed}, OwnerFullError{}, TransferRejectedError{}, NoMembersError{}} {
		text := err.Error()
		if !strings.Contains(text, "nothing to do") && !regexp.MustCompile(`try again|give|start|compare|have the client`).MatchString(text) {
			t.Errorf("%T does not say what to do: %s", err, text)
		}
		for _, m := range page.FindAllStringSubmatch(text, -1) {
			raw, bad := os.ReadFile("../../../" + m[1])
			if bad != nil || !strings.Contains(string(raw), "\n## "+m[2]+"\n") {
				t.Errorf("%T names %s, which does not exist", err, m[0])
			}
		}
		if !errors.Is(fmt.Errorf("x: %w", err), err) || errors.Is(err, os.ErrClosed) {
			t.Errorf("%T: errors.Is does not match the type alone", err)
		}
	}
}

func BenchmarkAccept(b *testing.B) {
	l := NewJobLog(0, "h#1")
	l.ObserveEpoch(1)
	l.Add(0, JobRecord{ID: "j", Tenant: "t", Timeout: 10})
	g := Grant{Epoch: 1, Kind: Send, ID: "j", Worker: "w"}
	for b.Loop() {
		g.Number++
		if err := l.Accept(0, g); err != nil {
			b.Fatal(err)
		}
		l.jobs["j"].Attempts = nil
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "accepts/s")
}

// BenchmarkRelease measures all that origin and owner do for one job, without encoding: update, grant, accept, update,
// answer, update.
func BenchmarkRelease(b *testing.B) {
	l, s := NewJobLog(0, "h#1"), NewOwner(0, Limits{MaxJobs: 10})
	s.Open(1, nil)
	l.ObserveEpoch(1)
	update := func() {
		m, _ := l.NextUpdate(0)
		_, ack, _ := s.ApplyUpdate(0, m)
		l.Acknowledge(ack)
	}
	for b.Loop() {
		l.Add(0, JobRecord{ID: "j", Tenant: "t", Timeout: 10})
		update()
		g, err := s.Grant(JobKey{"h#1", "j"}, Decision{Kind: Send, Worker: "w"})
		if err != nil || l.Accept(0, g) != nil {
			b.Fatal(err)
		}
		update()
		l.FinishAttempt(0, "j", AttemptResult{Outcome: balance.Served, MayHaveRun: true, Answered: true})
		update()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "releases/s")
}

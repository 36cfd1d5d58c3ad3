package shardrouter

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// TestLeaseEndsDuringStep checks that an owner grants nothing if the lease ends in the middle of a step, and that
// the job is sent exactly once when there is a lease again.
func TestLeaseEndsDuringStep(t *testing.T) {
	s := newSim(t, 1, 1, 1, testConfig())
	n := s.nodes[0]
	n.r.Step(s.now, []balance.Event{balance.HealthCheckDone{Worker: "w0", Outcome: balance.Served, Report: []float64{4}}})
	reads, currentTable := 0, n.r.Table
	n.r.Table = func() *config.Table {
		if reads++; reads > 1 {
			return n.unleasedTable
		}
		return currentTable()
	}
	s.jobs["j"] = &simJob{id: "j", class: "write", tenant: "a", deadline: s.now + 4, node: n, incarnation: n.r.incarnation}
	step := func(events ...balance.Event) (sends int, checksDone []balance.Event) {
		reads = 0
		for _, a := range n.r.Step(s.now, events) {
			switch a := a.(type) {
			case balance.Send:
				sends++
			case balance.HealthCheck:
				checksDone = append(checksDone, balance.HealthCheckDone{Worker: a.Worker, Outcome: balance.Served, Report: []float64{4}})
			}
		}
		return sends, checksDone
	}
	_, checksDone := step(balance.JobArrived{ID: "j", Class: "write", Tenant: "a", Timeout: 4})
	if count, _ := step(checksDone...); count > 0 || reads < 2 || n.r.Status().Counters[countDecisionsNotGranted] != 1 {
		t.Fatalf("got %d sends, want 0; the table was read %d times, want at least 2; status %v", count, reads, n.r.Status())
	}
	n.r.Table = currentTable
	total := 0
	for range 5 {
		count, _ := step(checksDone...)
		total += count
	}
	if total != 1 {
		t.Errorf("got %d sends after the lease was back, want 1", total)
	}
}

// TestDigestMismatchReconciled checks that the comparison of digests finds job records that differ between an
// origin and the owner, here because an id was changed in transit, and that they are reconciled by id.
func TestDigestMismatchReconciled(t *testing.T) {
	s := newSim(t, 1, 2, 1, testConfig())
	for _, w := range s.workers {
		w.free = 0
	}
	origin := s.nodes[1]
	changedIDs := 0
	s.filter = func(_, _ *node, m shard.Message) (shard.Message, bool) {
		if x, ok := m.(shard.JobUpdate); ok && len(x.Records) > 0 && changedIDs == 0 {
			changedIDs++
			x.Records[0].ID = "ghost"
			return x, true
		}
		return m, true
	}
	for range 20 {
		origin.arrive("read", "a", 100)
		s.run(0.01)
	}
	s.run(10)
	if n := s.nodes[0].r.Status().Jobs; n != origin.r.Status().LocalJobs || n == 0 || s.counterTotal(countReconciled) != 2 || changedIDs != 1 {
		t.Errorf("the owner has %d records, want %d and more than 0; %d reconciled, want 2", n, origin.r.Status().LocalJobs, s.counterTotal(countReconciled))
	}
	if _, ok := s.nodes[0].r.allShards()[0].owner.Job(s.now, shard.JobKey{Origin: origin.r.incarnation, ID: "ghost"}); ok {
		t.Error("the owner still has a job that no origin has")
	}
}

// TestFullOwner checks that an owner with MaxJobs jobs rejects further jobs, and only those.
func TestFullOwner(t *testing.T) {
	s := newSim(t, 1, 2, 1, testConfig())
	for _, n := range s.nodes {
		n.r.allShards()[0].owner = shard.NewOwner(0, shard.Limits{MaxJobs: 10})
		n.r.allShards()[0].owner.Open(1, nil)
	}
	for _, w := range s.workers {
		w.free = 0
	}
	for range 15 {
		s.nodes[1].arrive("read", "a", 3)
	}
	s.run(1)
	answered := 0
	for _, j := range s.jobs {
		answered += j.answers
	}
	if answered != 5 || s.counterTotal(countRejectedByFullOwner) != 5 {
		t.Errorf("%d of 15 jobs were rejected by an owner with room for 10, want 5", answered)
	}
	s.run(5)
	s.verify()
}

// TestLeaseLost checks that an instance without a lease answers its waiting jobs immediately and rejects new ones,
// that attempts in flight run to their end, and that jobs are served again once there is a lease.
func TestLeaseLost(t *testing.T) {
	s := newSim(t, 1, 3, 4, testConfig())
	s.generateLoad(50, 4)
	s.run(1)
	for _, n := range s.nodes {
		n.isolated = true
	}
	s.run(leaseSeconds + 0.5)
	localJobs := 0
	for _, n := range s.nodes {
		localJobs += n.r.Status().LocalJobs
	}
	if localJobs > 0 || s.counterTotal(countRejectedOnArrival) == 0 {
		t.Errorf("%d local jobs without a lease, want 0; %d rejected on arrival, want more than 0", localJobs, s.counterTotal(countRejectedOnArrival))
	}
	s.run(5)
	for _, n := range s.nodes {
		n.isolated = false
	}
	s.generateLoad(50, 2)
	s.run(10)
	s.verify()
	if last := s.jobs[fmt.Sprintf("j%05d", len(s.jobs)-1)]; last.runs != 1 {
		t.Error("the last job did not run exactly once after the lease was back")
	}
}

// TestShardsEnabledUnderLoad checks that, if shards are enabled under load, jobs that arrived before stay with the
// balancer of their instance, and new jobs go to the owners of their shards.
func TestShardsEnabledUnderLoad(t *testing.T) {
	s := newSim(t, 1, 3, 0, testConfig())
	for _, w := range s.workers {
		w.free = 1
	}
	s.generateLoad(150, 6)
	s.run(2)
	s.nextTable, s.intersection = &config.Table{Version: 2, ShardOwners: make([]config.ShardOwner, 4)}, s.table
	s.run(0.5)
	for i := range 4 {
		s.proposals = append(s.proposals, shard.OwnerChange{Shard: i, To: s.nodes[i%3].name})
	}
	s.run(1.5)
	s.transferRandomShard(s.nodes[0])
	s.run(20)
	s.verify()
	if s.counterTotal(countOpenedWithSnapshot) != 1 || s.counterTotal(countOpened) != 4 {
		t.Errorf("want 1 owner opened with a snapshot and 4 without; status of the first instance: %v", s.nodes[0].r.Status())
	}
}

// TestTransferRejected checks that Transfer rejects impossible transfers with an error of the right type, and that
// UnknownPeerError refers to an existing section of the operators' documentation.
func TestTransferRejected(t *testing.T) {
	s := newSim(t, 1, 2, 2, testConfig())
	a := s.nodes[0].r
	for _, x := range []struct {
		shard int
		to    string
		want  error
	}{{9, "b", shard.NotOwnerError{}}, {1, "b", shard.NotOwnerError{}}, {0, "a", shard.TransferRejectedError{}}, {0, "x", UnknownPeerError{}}} {
		if err := a.Transfer(x.shard, x.to); !errors.Is(err, x.want) {
			t.Errorf("transfer of shard %d to %s: got error %v", x.shard, x.to, err)
		}
	}
	if err := a.Transfer(0, "b"); err != nil {
		t.Error(err)
	}
	s.nodes[0].runWorkers()
	if err := a.Transfer(0, "b"); err == nil {
		t.Error("a second transfer of the same shard began during the first")
	}
	for text, section := range map[string]string{UnknownPeerError{}.Error(): "Mend"} {
		m := regexp.MustCompile(`(docs/\S+\.md), "(\w[\w ]*)"`).FindStringSubmatch(text)
		if m == nil || m[2] != section {
			t.Fatal(text)
		}
		if raw, err := os.ReadFile("../../../" + m[1]); err != nil || !strings.Contains(string(raw), "\n## "+m[2]+"\n") {
			t.Errorf("no %q in %s", m[2], m[1])
		}
	}
}

// TestShutdown checks that an instance that shuts down answers all its own jobs, and that the jobs of other
// instances that it owned are served by the next owner.
func TestShutdown(t *testing.T) {
	s := newSim(t, 1, 2, 1, testConfig())
	for _, w := range s.workers {
		w.free = 0
	}
	for i := range 20 {
		s.nodes[i%2].arrive("read", "a", 8)
	}
	s.run(0.5)
	s.nodes[0].post(balance.Shutdown{})
	s.run(0.2)
	for _, j := range s.jobs {
		if want := boolToInt(j.node == s.nodes[0]); j.answers != want {
			t.Errorf("job %s of %s has %d answers", j.id, j.incarnation, j.answers)
		}
	}
	s.proposals = append(s.proposals, shard.OwnerChange{Shard: 0, Epoch: 1, To: "b"})
	for _, w := range s.workers {
		w.free = 4
	}
	s.run(12)
	s.verify()
	for _, j := range s.jobs {
		if j.node == s.nodes[1] && j.runs == 0 {
			t.Errorf("job %s was not served", j.id)
		}
	}
}

// FuzzFrame checks that a frame that parseFrame accepts can be encoded again, and that the result parses to the
// same incarnation and number of messages.
func FuzzFrame(f *testing.F) {
	f.Add(newFrame("a#1", flagReply))
	f.Add(appendMessage(appendMessage(newFrame("a#1", 0), []byte("x")), nil))
	f.Add([]byte{frameVersion, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, err := parseFrame(b)
		if err != nil {
			return
		}
		encoded := newFrame(parsed.incarnation, parsed.flags)
		for _, m := range parsed.messages {
			encoded = appendMessage(encoded, m)
		}
		reparsed, err := parseFrame(encoded)
		if err != nil || reparsed.incarnation != parsed.incarnation || len(reparsed.messages) != len(parsed.messages) {
			t.Error(parsed, reparsed, err)
		}
	})
}

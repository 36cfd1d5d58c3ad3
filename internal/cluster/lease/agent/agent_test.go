package agent

import (
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Five instances agree on versions, one of them while an instance is stopped. A proposal on an old
// version is rejected, with the instances that proposed the later versions and the keys that these
// changed. An instance that restarts never acts on an older version than before.
func TestInstancesAgreeAndRevisionsNeverDecrease(t *testing.T) {
	defer goleak.VerifyNone(t)
	all := newCluster(t)
	for i, n := range all {
		all[i] = startNode(t, n.options, uint64(i+1))
		defer func() { all[i].stop() }()
	}
	for _, n := range all { // all have the same file
		n.Propose(reservationProposal(0, 30))
	}
	for _, n := range all {
		waitFor(t, n.Name+" acts on version 1", func() bool { return n.appliesVersion(1) })
		waitFor(t, n.Name+" finds that its file is in force", func() bool { return n.Status().Rejection == "" })
	}
	// An exclusive change: with all instances alive it advances as soon as they acknowledge, without waiting for
	// leases to expire.
	p := reservationProposal(1, 60)
	all[4].Propose(p)
	for _, n := range all {
		waitFor(t, n.Name+" acts on version 2", func() bool { return n.appliesVersion(2) })
		if r, _ := n.EffectiveConfig(time.Now()).Tenant("a"); *r.Reservation != 60 {
			t.Errorf("%s acts on a reservation of %v", n.Name, *r.Reservation)
		}
	}
	outdated := reservationProposal(1, 90)
	all[3].Propose(outdated)
	waitFor(t, "the old proposal is rejected", func() bool { return strings.Contains(all[3].Status().Rejection, "is the newest") })
	if reason := all[3].Status().Rejection; !strings.Contains(reason, "2 by n4 changed") || !strings.Contains(reason, "SIGHUP") {
		t.Errorf("rejection reason %s, want the later change and what to do", reason)
	}
	// An instance stops: the next exclusive version waits for its lease to expire at most.
	all[3].stop()
	p = reservationProposal(2, 10)
	all[0].Propose(p)
	waitFor(t, "n0 acts on version 3", func() bool { return all[0].appliesVersion(3) })
	// The instance restarts with an old operator's file.
	all[3] = startNode(t, all[3].options, 99)
	all[3].Propose(outdated)
	waitFor(t, "n3 acts on version 3", func() bool { return all[3].appliesVersion(3) })
	// The leader stops, so another one is elected.
	leader := 0
	for i, n := range all[:3] {
		if n.Status().Voter.IsLeader {
			leader = i
		}
	}
	all[leader].stop()
	p = reservationProposal(3, 20)
	all[4].Propose(p)
	waitFor(t, "n4 acts on version 4", func() bool { return all[4].appliesVersion(4) })
	all[leader] = startNode(t, all[leader].options, 100)
	waitFor(t, "the former leader acts on version 4", func() bool { return all[leader].appliesVersion(4) })
	for _, n := range all {
		waitFor(t, n.Name+"'s journal has version 4", func() bool {
			raw, _ := os.ReadFile(n.options.JournalPath)
			return strings.Contains(string(raw), `"version":4,"stage":"in force","leased":true`)
		})
	}
}

// Without a majority leases expire and the fallback is in effect: it has no reservation, and no job is
// retried that may have run.
func TestMinorityHasNoLease(t *testing.T) {
	t.Parallel()
	all := newCluster(t)
	for i, n := range all {
		all[i] = startNode(t, n.options, uint64(i+1))
		defer func() { all[i].stop() }()
	}
	all[0].Propose(reservationProposal(0, 30))
	waitFor(t, "n4 acts on version 1", func() bool { return all[4].appliesVersion(1) })
	all[0].stop()
	all[1].stop()
	defer func() { // the deferred stops need running nodes
		all[0], all[1] = startNode(t, all[0].options, 50), startNode(t, all[1].options, 51)
	}()
	waitFor(t, "n4's lease has expired", func() bool { return !all[4].Status().Leased })
	table := all[4].EffectiveConfig(time.Now())
	if tenant, ok := table.Tenant("a"); !table.Strict || ok && (tenant.Reservation == nil || *tenant.Reservation != 0) {
		t.Errorf("without a lease the table is %+v, want a strict one without reservations", table)
	}
	if s := all[4].Status(); !strings.Contains(s.Fault, "majority") && !strings.Contains(s.Fault, "no response") {
		t.Errorf("fault is %q, want a missing majority or response", s.Fault)
	}
}

// A graceful shutdown releases the lease, so the others do not wait until it expires, which would take
// ten minutes here.
func TestLeaseRelease(t *testing.T) {
	t.Parallel()
	all := newCluster(t)
	for i, n := range all {
		n.options.LeaseSettings.LeaseSeconds = 600
		n.options.LeaseSettings.NetworkDelaySeconds = 0.5
		all[i] = startNode(t, n.options, uint64(i+1))
	}
	defer func() {
		for _, n := range all[:4] {
			n.stop()
		}
	}()
	all[0].Propose(reservationProposal(0, 30))
	waitFor(t, "n4 acts on version 1", func() bool { return all[4].appliesVersion(1) })
	hasLease := func() bool {
		for _, n := range all[:3] {
			for _, active := range n.Status().ActiveLeases {
				if active.Instance == "n4" {
					return true
				}
			}
		}
		return false
	}
	waitFor(t, "n4 is among the active leases", hasLease)
	all[4].stop()
	waitFor(t, "n4 is no longer among the active leases", func() bool { return !hasLease() })
	raw, _ := os.ReadFile(all[4].options.JournalPath)
	if lines := strings.Split(strings.TrimSpace(string(raw)), "\n"); !strings.Contains(lines[len(lines)-1], `"stage":"none","leased":false`) {
		t.Errorf("the journal ends with %s, want an entry without a lease", lines[len(lines)-1])
	}
}

// A leader that can't apply an entry retires. The others elect a leader that can, and the instance of the
// retired voter gets its leases from that one. The retired voter writes no snapshot that lacks the entry.
func TestVoterRetiresOnApplyError(t *testing.T) {
	t.Parallel()
	all := newCluster(t)
	for i, n := range all {
		all[i] = startNode(t, n.options, uint64(i+1))
		defer func() { all[i].stop() }()
	}
	all[0].Propose(reservationProposal(0, 30))
	for _, n := range all {
		waitFor(t, n.Name+" acts on version 1", func() bool { return n.appliesVersion(1) })
	}
	var leader *node
	waitFor(t, "an instance leads", func() bool {
		for _, n := range all[:3] {
			if n.Status().Voter.IsLeader {
				leader = n
			}
		}
		return leader != nil
	})
	snapshots := make(chan []byte, 1)
	leader.voter.node.TryRun(func() {
		leader.voter.apply(1, 1, []byte{0xff, 1, 2})
		snapshots <- leader.voter.snapshot()
	})
	if raw := <-snapshots; raw != nil {
		t.Errorf("got a snapshot of %d bytes that lacks the entry, want none", len(raw))
	}
	all[4].Propose(reservationProposal(1, 40))
	for _, n := range all {
		waitFor(t, n.Name+" acts on version 2", func() bool { return n.appliesVersion(2) })
	}
}

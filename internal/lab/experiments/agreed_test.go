package experiments

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/lab/invariants"
)

// trial is a test of agreement on a small cluster under load.
type trial struct {
	*testing.T
	*agreement
	settings lease.Settings
	player   Player
	stop     func() // stops the load
}

// waitTimeout bounds each wait. It is long because these tests run in parallel.
const waitTimeout = 40 * time.Second

// startTrial starts a trial with version 1 in force at all instances and clients at each instance.
func startTrial(t *testing.T, seed uint64, n, voters int, settings lease.Settings, changes ...func(*Site)) *trial {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	t.Logf("seed %d", seed)
	x := &trial{T: t, settings: settings, agreement: &agreement{site: agreedSite(n, voters, settings, true), rng: rand.New(rand.NewPCG(seed, 0xca5e)), exclusive: map[uint64]bool{}}}
	x.site.Workers, x.site.Mean = 8, 40*time.Millisecond
	for _, f := range changes {
		f(&x.site)
	}
	start := x.site
	start.File = func(c *Processes, i *Instance) string { return x.site.File(c, i) + agreedRules(0, 30, 1) }
	var err error
	if x.Processes, err = start.Start(Params{Seed: seed, Program: program(t), Out: t.TempDir()}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	x.player = Player{Processes: x.Processes, Bound: waitTimeout}
	x.waitForVersion(1, x.Nodes...)
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	t.Cleanup(stop)
	var streams []Stream
	for i := range n {
		for _, class := range []string{"job", "once"} {
			streams = append(streams, Stream{Tenant: "a", Class: class, Entry: i, Rate: 5, ClientTimeout: 2 * time.Second})
		}
	}
	x.Load.Play(ctx, seed, streams)
	return x
}

// until waits for a condition. If it does not hold in time, the test fails with the status of all instances.
func (x *trial) until(what string, ok func() bool) {
	x.Helper()
	err := Until(waitTimeout, what, ok)
	if err == nil {
		return
	}
	for _, i := range x.Nodes {
		i.mu.Lock()
		runs := i.cmd != nil && i.frozenGeneration == 0
		i.mu.Unlock()
		if !runs {
			x.Logf("%s is not running", i.Name)
			continue
		}
		s, _ := i.accordStatus()
		x.Logf("%s: version %d, newest %d %s, leased %v, fault %q, rejection %q, dropped %v, voter %+v", i.Name, s.Version, s.Newest, s.Stage, s.Leased, s.Fault, s.Rejection, s.Dropped, s.Voter)
	}
	x.Fatal(err)
}

// waitForVersion waits until each of the instances acts on a version, or a later one, that is in force.
func (x *trial) waitForVersion(version uint64, nodes ...*Instance) {
	x.Helper()
	for _, i := range nodes {
		x.until(fmt.Sprintf("%s to act on version %d", i.Name, version), func() bool {
			s, _ := i.accordStatus()
			return s.Leased && s.Version >= version && s.Revision.Stage == lease.StageInForce
		})
	}
}

// proposeRules writes rules based on a version into the file of an instance and reloads it.
func (x *trial) proposeRules(i *Instance, base uint64, reservation, weight int, more ...string) {
	x.Helper()
	x.Logf("%s proposes rules based on version %d: reservation %d, weight %d", i.Name, base, reservation, weight)
	if err := i.Write(x.site.File(x.Processes, i) + agreedRules(base, reservation, weight, more...)); err != nil {
		x.Fatal(err)
	}
	i.Reload()
}

// applyFault plays one step of a schedule; undo ends the fault.
func (x *trial) applyFault(text string) (undo func()) {
	x.Helper()
	s, err := ParseSchedule(text)
	if err != nil {
		x.Fatal(err)
	}
	x.Log(s[0])
	undoFault, err := x.player.apply(s[0], rand.New(rand.NewPCG(x.seed, 0)))
	if err != nil {
		x.Fatalf("%s: %v", text, err)
	}
	return func() {
		x.Helper()
		if err := undoFault(); err != nil {
			x.Fatalf("undo of %s: %v", text, err)
		}
	}
}

// leader waits until one of the instances leads, and returns it.
func (x *trial) leader(nodes ...*Instance) (lead *Instance) {
	x.Helper()
	x.until("a leader", func() bool {
		for _, i := range nodes {
			if s, _ := i.accordStatus(); s.Voter != nil && s.Voter.IsLeader {
				lead = i
				return true
			}
		}
		return false
	})
	return lead
}

// others returns all instances but these.
func (x *trial) others(excluded ...*Instance) []*Instance {
	return slices.DeleteFunc(slices.Clone(x.Nodes), func(i *Instance) bool { return slices.Contains(excluded, i) })
}

// finish ends the trial and checks journals and jobs for violations. The versions are those with exclusive changes.
func (x *trial) finish(exclusive ...uint64) invariants.Journals {
	x.Helper()
	x.stop()
	x.Load.Wait()
	acts := x.Halt()
	x.checkJournals(acts, exclusive)
	for _, job := range x.jobsRunTwice("once") {
		x.Error(job)
	}
	return acts
}

// checkJournals checks the journals of the instances of one cluster.
func (x *trial) checkJournals(acts invariants.Journals, exclusive []uint64) {
	x.Helper()
	v := acts.Evaluate(func(v uint64) bool { return slices.Contains(exclusive, v) })
	if len(v.Exclusive)+len(v.Forks)+len(v.Regressions)+len(v.Late)+v.Damaged > 0 || v.Spans == 0 {
		x.Errorf("got violations: exclusive %v, forks %v, regressions %v, late %v, damaged %d; want none", v.Exclusive, v.Forks, v.Regressions, v.Late, v.Damaged)
	}
	if T := x.settings.Bounds().ConflictSeconds; v.Loose > T {
		x.Errorf("loose rules contradicted each other for %.3f s, want at most %.3f s", v.Loose, T)
	}
}

// Guards against a leader that was stopped for longer than all leases: when it resumes, it still takes itself for
// the leader and has requests in its buffers. It must neither grant leases on the old version nor act on it.
func TestStoppedLeaderResumes(t *testing.T) {
	x := startTrial(t, 2101, 5, 3, agreedLeases)
	lead := x.leader(x.Nodes...)
	x.player.Names = map[string]func() string{"leader": func() string { return lead.Name }}
	thaw := x.applyFault("after 0s stop leader")
	rest := x.others(lead)
	x.proposeRules(rest[0], 1, 10, 1)
	x.waitForVersion(2, rest...)
	resumedAt := MonotonicNow()
	thaw()
	x.waitForVersion(2, lead)
	x.proposeRules(lead, 2, 10, 5) // it takes part in agreement again
	x.waitForVersion(3, x.Nodes...)
	for _, l := range x.finish(2).Lines {
		if l.Leased && l.Version == 1 && l.At > resumedAt {
			t.Errorf("%s acted on version 1 after the leader resumed: %+v", l.Name, l)
		}
	}
}

// Guards against a follower that was stopped with queued jobs: when it resumes, it must not act on the old
// version, must still send the queued jobs, and must not run a job twice that is not safe to repeat.
func TestStoppedFollowerResumes(t *testing.T) {
	x := startTrial(t, 2102, 4, 3, agreedLeases)
	holder := x.Nodes[3]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	x.Load.Play(ctx, 1, []Stream{{Tenant: "a", Class: "once", Entry: 3, Rate: 800, ClientTimeout: 10 * time.Second}})
	x.until("more than 60 jobs to be queued", func() bool { // more than all slots and the workers' queues take
		var s struct{ Depths []struct{ Jobs int } }
		n := 0
		holder.Ask("/waiting", &s)
		for _, d := range s.Depths {
			n += d.Jobs
		}
		return n > 60
	})
	thaw := x.applyFault("after 0s stop n3")
	stop()
	stoppedClock, began := x.Fleet.Clock(time.Now()), time.Now()
	x.proposeRules(x.Nodes[0], 1, 10, 1, "  out = [\"w-00\", \"w-01\", \"w-02\"]\n")
	x.waitForVersion(2, x.others(holder)...)
	if slept := time.Since(began).Seconds(); slept < x.settings.LeaseSeconds {
		t.Errorf("version 2 in force after %.2f s, want longer than the lease of the stopped instance", slept)
	}
	resumedAt := MonotonicNow()
	thaw()
	resumedClock := x.Fleet.Clock(time.Now())
	x.waitForVersion(2, holder)
	x.until("jobs from before the stop to be sent to workers", func() bool {
		old := map[string]bool{}
		for _, a := range x.Load.Answers() {
			old[a.ID] = a.Entry == 3 && x.Fleet.Clock(a.At) < stoppedClock
		}
		return slices.ContainsFunc(x.Fleet.Attempts(), func(a invariants.Attempt) bool { return a.First > resumedClock && old[a.ID] })
	})
	appliedAt := 0.0
	for _, l := range x.finish(2).Lines {
		switch {
		case l.Name != holder.Name || !l.Leased || l.At < resumedAt:
		case l.Version < 2:
			t.Errorf("it acted on the old version after it resumed: %+v", l)
		case appliedAt == 0:
			appliedAt = x.Fleet.Clock(time.Now().Add(-time.Duration(MonotonicNow() - l.At)))
		}
	}
	for _, a := range x.Fleet.Attempts() { // a job that was already being sent to a worker may arrive a little later
		if a.Dispatcher == "3" && a.First > appliedAt+0.2 && slices.Contains([]string{"w-00", "w-01", "w-02"}, a.Worker) {
			t.Errorf("%.3f s after the instance acted on version 2, job %s arrived at worker %s, which that version takes out", a.First-appliedAt, a.ID, a.Worker)
		}
	}
}

// Checks that without a majority of voters jobs are still served and nothing is agreed on, and that
// after the majority's return a version proposed meanwhile comes into force.
func TestMajorityLostAndBack(t *testing.T) {
	x := startTrial(t, 2103, 4, 3, agreedLeases)
	minority := x.Nodes[2:]
	back := x.applyFault("after 0s kill n0+n1")
	for _, i := range minority {
		x.until(i.Name+"'s lease to end", func() bool { s, ok := i.accordStatus(); return ok && !s.Leased })
	}
	x.proposeRules(minority[1], 1, 10, 1)
	from := time.Now()
	time.Sleep(3 * time.Second) // jobs sent in this time are counted below
	to := time.Now()
	for _, i := range minority {
		if s, ok := i.accordStatus(); !ok || s.Leased || s.Newest != 1 {
			t.Errorf("%s without a majority: got status %+v, want no lease and newest version 1", i.Name, s)
		}
	}
	time.Sleep(2 * time.Second) // longer than the clients' timeout
	if list := AnswersBetween(x.Load.Answers(), from, to, 2, 3); ServedFraction(list) < 0.95 || len(list) < 30 {
		t.Errorf("without a majority: served %.3f of %d jobs, want at least 0.95 of 30", ServedFraction(list), len(list))
	}
	back()
	x.waitForVersion(2, x.Nodes...)
	x.finish(2)
}

// voterBlocks returns the voter blocks for a rules block.
func voterBlocks(list ...*Instance) (text string) {
	for _, i := range list {
		text += fmt.Sprintf("  voter %q {\n    address = %q\n  }\n", i.Name, i.AccordAddr)
	}
	return text
}

// waitForVoters waits until each of these instances reports that it votes and that the voters are these.
func (x *trial) waitForVoters(list ...*Instance) {
	x.Helper()
	var names []string
	for _, i := range list {
		names = append(names, i.Name)
	}
	for _, i := range list {
		x.until(fmt.Sprintf("%s to vote with %v", i.Name, names), func() bool {
			s, _ := i.accordStatus()
			return s.Voter != nil && s.Voter.State == "voting" && len(s.Voter.Voters) == len(names) &&
				!slices.ContainsFunc(names, func(n string) bool { return s.Voter.Voters[n] == "" })
		})
	}
}

// Checks that voters can be replaced one after the other by instances with empty folders, under load and while
// versions are agreed on, and that agreement continues when the replaced ones are killed.
func TestVotersAreReplaced(t *testing.T) {
	x := startTrial(t, 2104, 5, 3, agreedLeases)
	n := x.Nodes
	version, exclusive := uint64(1), []uint64{}
	for k, step := range []struct{ fresh, old int }{{3, 0}, {4, 1}} {
		fresh, remaining := n[step.fresh], n[step.old+1:step.fresh]
		start := x.applyFault("after 0s wipe " + fresh.Name)
		fresh.Write(fresh.accordConfig(append(slices.Clone(remaining), fresh), x.settings, true))
		start()
		for _, voters := range [][]*Instance{append([]*Instance{n[step.old]}, append(slices.Clone(remaining), fresh)...), append(slices.Clone(remaining), fresh)} {
			x.proposeRules(n[2], version, 30+20*k, 1, voterBlocks(voters...))
			version++
			x.waitForVersion(version, x.Nodes...)
			x.waitForVoters(voters...)
		}
		x.proposeRules(n[2], version, 50+20*k, 1, voterBlocks(append(slices.Clone(remaining), fresh)...))
		version++
		exclusive = append(exclusive, version)
		x.waitForVersion(version, x.Nodes...)
	}
	for _, i := range n[:2] {
		if s, _ := i.accordStatus(); s.Voter == nil || s.Voter.State != "removed" || !strings.Contains(s.Voter.Reason, "was removed from the voters") {
			t.Errorf("%s, a replaced voter: got %+v, want state removed with the reason", i.Name, s.Voter)
		}
	}
	// The replaced voters must also follow a leader that they never knew as a voter.
	for tries, lead := 0, x.leader(n[2:]...); lead != n[4]; tries++ {
		if tries == 20 {
			t.Fatal("after 20 elections n4 has not become leader")
		}
		previous, thaw := lead, x.applyFault("after 0s stop "+lead.Name)
		lead = x.leader(x.others(previous)...)
		thaw()
		x.until(previous.Name+" to follow the new leader", func() bool { s, _ := previous.accordStatus(); return s.Voter != nil && !s.Voter.IsLeader })
	}
	x.proposeRules(n[2], version, 70, 4, voterBlocks(n[2:]...))
	version++
	x.waitForVersion(version, x.Nodes...)
	x.applyFault("after 0s kill n0+n1")
	x.proposeRules(n[2], version, 70, 5, voterBlocks(n[2:]...))
	version++
	x.waitForVersion(version, n[2:]...)
	x.finish(exclusive...)
}

// Checks that of two proposals on both sides of a cut the majority's is agreed on, and that the other one is
// rejected after the cut with a reason that names instance, version and changed key.
func TestProposalsOnBothSidesOfACut(t *testing.T) {
	x := startTrial(t, 2105, 5, 3, agreedLeases)
	minority, majority := []*Instance{x.Nodes[2], x.Nodes[4]}, []*Instance{x.Nodes[0], x.Nodes[1], x.Nodes[3]}
	heal := x.applyFault("after 0s cut n2+n4<>*")
	x.proposeRules(minority[1], 1, 11, 1)
	x.proposeRules(majority[2], 1, 22, 1)
	x.waitForVersion(2, majority...)
	for _, i := range minority {
		if s, _ := i.accordStatus(); s.Leased || s.Newest != 1 {
			t.Errorf("%s, cut off: acts on version %d, newest %d, want no lease and newest version 1", i.Name, s.Version, s.Newest)
		}
	}
	heal()
	x.waitForVersion(2, x.Nodes...)
	x.until("the minority's proposal to be rejected", func() bool {
		s, _ := minority[1].accordStatus()
		return strings.Contains(s.Rejection, "changed")
	})
	s, _ := minority[1].accordStatus()
	for _, want := range []string{"version 1", "2", "n3", `tenant "a".reservation`, "SIGHUP"} {
		if !strings.Contains(s.Rejection, want) {
			t.Errorf("rejection %q does not contain %q", s.Rejection, want)
		}
	}
	if a, _ := s.Table.Tenant("a"); a.Reservation == nil || *a.Reservation != 22 {
		t.Errorf("rules in force: got %+v, want reservation 22 for tenant a", s.Table)
	}
	x.proposeRules(minority[1], 2, 11, 1) // based on the version that the rejection names
	x.waitForVersion(3, x.Nodes...)
	x.finish(2, 3)
}

// Checks that no instance acts on a version that is withdrawn, one in the stage announced and another one in the
// stage intersection. Stopped instances that still have a lease keep these versions from coming into force.
func TestVersionIsWithdrawn(t *testing.T) {
	set := agreedLeases
	set.LeaseSeconds = 5
	x := startTrial(t, 2106, 5, 3, set)
	n := x.Nodes
	stage := func(version uint64, s lease.Stage) func() bool {
		return func() bool {
			got, _ := n[1].accordStatus()
			return got.Leased && got.Revision == lease.Revision{Version: version, Stage: s}
		}
	}
	thaw := x.applyFault("after 0s stop n3")
	x.proposeRules(n[0], 1, 10, 1)
	x.until("version 2 to be announced", stage(2, lease.StageAnnounced))
	x.proposeRules(n[1], 2, 30, 1)
	x.waitForVersion(3, x.others(n[3])...)
	thaw()
	x.waitForVersion(3, n...)

	thaw = x.applyFault("after 0s stop n3")
	x.proposeRules(n[0], 3, 10, 1)
	x.until("n4 to report that it has applied version 4", func() bool {
		for _, i := range n[:3] {
			s, _ := i.accordStatus()
			for _, b := range s.ActiveLeases {
				if b.Instance == "n4" && b.AppliedRevision.Version == 4 {
					return true
				}
			}
		}
		return false
	})
	time.Sleep(2 * time.Second) // n4's lease must end well after n3's
	thawSecond := x.applyFault("after 0s stop n4")
	x.until("version 4 to be in the stage intersection", stage(4, lease.StageIntersection))
	x.proposeRules(n[1], 4, 30, 1)
	x.waitForVersion(5, n[:3]...)
	thaw()
	thawSecond()
	x.waitForVersion(5, n...)
	for _, i := range n {
		s, _ := i.accordStatus()
		if a, _ := s.Table.Tenant("a"); a.Reservation == nil || *a.Reservation != 30 {
			t.Errorf("%s: got rules %+v, want reservation 30 for tenant a", i.Name, s.Table)
		}
	}
	intersected := false
	for _, l := range x.finish().Lines {
		if l.Leased && (l.Version == 2 || l.Version == 4) {
			t.Errorf("%s acted on a withdrawn version: %+v", l.Name, l)
		}
		intersected = intersected || l.Leased && l.Version == 3 && l.Stage == invariants.Intersecting
	}
	if !intersected {
		t.Error("no instance acted on version 3 in the stage intersection")
	}
}

// Checks that the rules of an outdated file are rejected when its instance, voter or not, returns after many
// versions, and that the instance acts on the newest version.
func TestOldFilesComeBack(t *testing.T) {
	x := startTrial(t, 2107, 4, 3, agreedLeases)
	back := x.applyFault("after 0s kill n2+n3")
	var exclusive []uint64
	for v := uint64(1); v < 7; v++ {
		x.proposeRules(x.Nodes[0], v, 30+int(v)/2, 1+int(v))
		x.waitForVersion(v+1, x.Nodes[:2]...)
		if v%2 == 0 {
			exclusive = append(exclusive, v+1)
		}
	}
	back()
	x.waitForVersion(7, x.Nodes...)
	for _, i := range x.Nodes[2:] {
		x.until(i.Name+"'s file to be rejected", func() bool {
			s, _ := i.accordStatus()
			return strings.Contains(s.Rejection, "based on version 0, the newest is 7") && strings.Contains(s.Rejection, "SIGHUP")
		})
		if s, _ := i.accordStatus(); s.Newest != 7 {
			t.Errorf("%s: got newest version %d, want 7", i.Name, s.Newest)
		}
	}
	x.finish(exclusive...)
}

// Checks that a version that is being agreed on comes into force after all instances are killed and restarted.
func TestAllRestartAtOnce(t *testing.T) {
	x := startTrial(t, 2108, 4, 3, agreedLeases)
	x.proposeRules(x.Nodes[1], 1, 10, 1)
	x.waitForVersion(2, x.Nodes...)
	thaw := x.applyFault("after 0s stop n3") // keeps version 3 from coming into force
	x.proposeRules(x.Nodes[1], 2, 50, 1)
	x.until("version 3 to be proposed", func() bool { s, _ := x.Nodes[0].accordStatus(); return s.Newest == 3 })
	back := x.applyFault("after 0s kill n0+n1+n2+n3")
	thaw()
	back()
	x.waitForVersion(3, x.Nodes...)
	x.proposeRules(x.Nodes[3], 3, 20, 1)
	x.waitForVersion(4, x.Nodes...)
	x.finish(2, 3, 4)
}

// Checks that a voter whose folder is lost reports that and no longer votes, that the others continue to agree, and
// that another instance can replace it.
func TestVoterLosesItsFolder(t *testing.T) {
	x := startTrial(t, 2109, 4, 3, agreedLeases)
	n := x.Nodes
	back := x.applyFault("after 0s wipe n2")
	x.proposeRules(n[0], 1, 10, 1)
	x.waitForVersion(2, n[0], n[1], n[3])
	back()
	x.until("n2 to report its lost folder", func() bool {
		s, _ := n[2].accordStatus()
		return s.Voter != nil && s.Voter.State == "lost" && strings.Contains(s.Voter.Reason, "is lost") && strings.Contains(s.Voter.Reason, "docs/")
	})
	x.waitForVersion(2, n...) // n2 follows without a vote
	start := x.applyFault("after 0s wipe n3")
	n[3].Write(n[3].accordConfig([]*Instance{n[0], n[1], n[3]}, x.settings, true))
	start()
	x.proposeRules(n[0], 2, 10, 1, voterBlocks(n...))
	x.waitForVersion(3, n...)
	x.until("n3 to vote", func() bool {
		s, _ := n[3].accordStatus()
		return s.Voter.State == "voting" && len(s.Voter.Voters) == 4
	})
	x.proposeRules(n[0], 3, 10, 1, voterBlocks(n[0], n[1], n[3]))
	x.waitForVersion(4, n...)
	x.waitForVoters(n[0], n[1], n[3])
	x.applyFault("after 0s kill n1")
	x.proposeRules(n[0], 4, 40, 1, voterBlocks(n[0], n[1], n[3]))
	x.waitForVersion(5, n[0], n[2], n[3])
	x.finish(2, 5)
}

// Checks that a voter with a torn file either refuses to start and logs which file and what to do, or starts
// because the damaged bytes are not needed. The others continue to agree.
func TestVoterFileIsTorn(t *testing.T) {
	x := startTrial(t, 2110, 3, 3, agreedLeases)
	torn, refused := x.Nodes[1], 0
	version := uint64(1)
	for seed := uint64(0); refused < 2; seed++ {
		if seed == 20 {
			t.Fatalf("after 20 torn files: got %d refused starts, want 2", refused)
		}
		torn.Kill()
		x.proposeRules(x.Nodes[0], version, 30, int(version)+1)
		version++
		x.waitForVersion(version, x.Nodes[0], x.Nodes[2])
		files, _ := torn.stateFiles()
		intact, err := os.ReadFile(files[0])
		if err != nil {
			t.Fatal(err)
		}
		torn.Tear(rand.New(rand.NewPCG(seed, 0)))
		before, _ := os.ReadFile(torn.log)
		if torn.Start() == nil {
			x.waitForVersion(version, torn)
			continue
		}
		refused++
		logged, _ := os.ReadFile(torn.log)
		if logged = logged[len(before):]; !strings.Contains(string(logged), files[0]) || !strings.Contains(string(logged), "keep the file for an investigation") {
			t.Errorf("seed %d: got log %s, want the file's name and the advice to keep it", seed, logged)
		}
		os.WriteFile(files[0], intact, 0o600) // still up to date, since the process has not run
		if err := torn.Start(); err != nil {
			logged, _ := os.ReadFile(torn.log)
			t.Fatalf("%v: %s", err, logged[len(before):])
		}
		x.waitForVersion(version, torn)
	}
	x.finish()
}

// Checks that a voter with a full disk stops voting while the others continue, and that it votes again
// by itself when there is room.
func TestVoterDiskIsFull(t *testing.T) {
	x := startTrial(t, 2111, 3, 3, agreedLeases)
	var out []string // makes each version large
	for i := range 400 {
		out = append(out, fmt.Sprintf("%q", fmt.Sprintf("gone-%04d-%s", i, strings.Repeat("x", 50))))
	}
	largeOut := "  out = [" + strings.Join(out, ", ") + "]\n"
	inState := func(i *Instance, stand string) bool {
		s, _ := i.accordStatus()
		return s.Voter != nil && string(s.Voter.State) == stand
	}
	lead := x.leader(x.Nodes...)
	full := x.others(lead)[0]
	lift := x.applyFault("after 0s fill " + full.Name)
	version := uint64(1)
	for ; !inState(full, "full"); version++ {
		if version == 40 {
			s, _ := full.accordStatus()
			_, longest := full.stateFiles()
			t.Fatalf("40 versions did not fill the disk: voter %+v, longest file %d bytes", s.Voter, longest)
		}
		x.proposeRules(lead, version, 30, int(version), largeOut)
		x.waitForVersion(version+1, x.others(full)...)
	}
	s, _ := full.accordStatus()
	if !strings.Contains(s.Voter.Reason, "make room on its disk") {
		t.Errorf("got reason %q, want advice to make room on its disk", s.Voter.Reason)
	}
	x.proposeRules(lead, version, 10, 1, largeOut)
	version++
	x.waitForVersion(version, x.others(full)...)
	lift()
	x.until("the voter to vote again", func() bool { return inState(full, "voting") })
	x.waitForVersion(version, x.Nodes...)
	x.applyFault("after 0s kill " + x.others(lead, full)[0].Name) // makes the restored voter's vote necessary
	x.proposeRules(lead, version, 10, 8, largeOut)
	x.waitForVersion(version+1, lead, full)
	x.finish(2, version)
}

// Checks that two separate clusters with the same name stay separate when one of them gets addresses of the other, by
// its rules and in an instance's file, and that the dropped messages are counted and logged.
func TestOtherClustersAddresses(t *testing.T) {
	x := startTrial(t, 2112, 6, 3, agreedLeases, func(s *Site) {
		s.File = func(c *Processes, i *Instance) string {
			half := i.Index / 3 * 3
			return i.accordConfig(c.Nodes[half:half+3], agreedLeases, true)
		}
	})
	ours, theirs := x.Nodes[:3], x.Nodes[3:]
	dropped := func(reason string) (sum uint64) {
		for _, i := range x.Nodes {
			s, _ := i.accordStatus()
			sum += s.Dropped[reason]
		}
		return sum
	}
	x.proposeRules(theirs[0], 1, 30, 1, voterBlocks(x.Nodes[0], theirs[0], theirs[1], theirs[2]))
	x.waitForVersion(2, theirs...)
	x.until("dropped messages to be counted", func() bool { return dropped("of another identity") > 0 })
	lead := x.leader(theirs...)
	x.until("the failed change of voters to be logged", func() bool {
		logged, _ := os.ReadFile(lead.log)
		return strings.Contains(string(logged), "accord: changing the voters failed:")
	})
	back := x.applyFault("after 0s kill n5")
	theirs[2].Write(theirs[2].accordConfig(ours, x.settings, true))
	back()
	x.until("n5 to report that it is of another cluster", func() bool {
		s, _ := theirs[2].accordStatus()
		return strings.Contains(s.Fault, "other side is of") && strings.Contains(s.Fault, "correct the voters") && s.Dropped["refused by the leader"] > 0
	})
	x.proposeRules(ours[0], 1, 10, 1)
	x.waitForVersion(2, ours...)
	for _, i := range x.Nodes {
		s, _ := i.accordStatus()
		if i == theirs[2] {
			if s.Leased || s.Newest > 2 {
				t.Errorf("n5 got a lease or version of the other cluster: %+v", s)
			}
			continue
		}
		if s.Voter == nil || len(s.Voter.Voters) != 3 || slices.ContainsFunc(s.ActiveLeases, func(b lease.ActiveLease) bool { return i.Index < 3 && b.Instance == "n5" }) {
			t.Errorf("%s: got voter %+v, leases %+v; want 3 voters and no lease of n5 in the first cluster", i.Name, s.Voter, s.ActiveLeases)
		}
	}
	back = x.applyFault("after 0s kill n5")
	theirs[2].Write(x.site.File(x.Processes, theirs[2]))
	back()
	x.proposeRules(theirs[0], 2, 40, 1, voterBlocks(theirs...))
	x.waitForVersion(3, theirs...)
	x.waitForVoters(theirs...)

	x.stop()
	x.Load.Wait()
	acts := x.Halt()
	for half := range 2 { // each cluster by itself
		ofCluster := invariants.Journals{Pauses: acts.Pauses, Damaged: acts.Damaged}
		for _, l := range acts.Lines {
			if x.Index(l.Name)/3 == half {
				ofCluster.Lines = append(ofCluster.Lines, l)
			}
		}
		x.checkJournals(ofCluster, [][]uint64{{2}, {3}}[half])
	}
}

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

// trial is a small cluster under load on which one hard case is played.
type trial struct {
	*testing.T
	*agreement
	set  lease.Settings
	play Player
	stop func() // the load
}

// patient is the bound of each wait: the cases run beside each other.
const patient = 40 * time.Second

// trying starts one, with version 1 in force everywhere and clients at each instance.
func trying(t *testing.T, seed uint64, n, voters int, set lease.Settings, other ...func(*Site)) *trial {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	t.Logf("seed %d", seed)
	x := &trial{T: t, set: set, agreement: &agreement{site: agreedSite(n, voters, set, true), rng: rand.New(rand.NewPCG(seed, 0xca5e)), exclusive: map[uint64]bool{}}}
	x.site.Workers, x.site.Mean = 8, 40*time.Millisecond
	for _, f := range other {
		f(&x.site)
	}
	start := x.site
	start.File = func(c *Processes, i *Instance) string { return x.site.File(c, i) + agreedRules(0, 30, 1) }
	var err error
	if x.Processes, err = start.Start(Params{Seed: seed, Program: program(t), Out: t.TempDir()}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	x.play = Player{Processes: x.Processes, Bound: patient}
	x.acts(1, x.Nodes...)
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

// until waits for a condition; when it does not come, all that is known is shown.
func (x *trial) until(what string, ok func() bool) {
	x.Helper()
	err := Until(patient, what, ok)
	if err == nil {
		return
	}
	for _, i := range x.Nodes {
		i.mu.Lock()
		lives := i.cmd != nil && i.stopped == 0
		i.mu.Unlock()
		if !lives {
			x.Logf("%s does not run", i.Name)
			continue
		}
		s, _ := i.accord()
		x.Logf("%s: version %d, newest %d %s, leased %v, trouble %q, refused %q, dropped %v, voter %+v", i.Name, s.Version, s.Newest, s.Stage, s.Leased, s.Fault, s.Rejection, s.Dropped, s.Voter)
	}
	x.Fatal(err)
}

// acts waits until each acts on a version, or a later one.
func (x *trial) acts(version uint64, nodes ...*Instance) {
	x.Helper()
	for _, i := range nodes {
		x.until(fmt.Sprintf("%s acts on version %d", i.Name, version), func() bool {
			s, _ := i.accord()
			return s.Leased && s.Version >= version && s.Revision.Stage == lease.StageInForce
		})
	}
}

// on proposes rules at an instance.
func (x *trial) on(i *Instance, base uint64, reservation, weight int, more ...string) {
	x.Helper()
	x.Logf("%s: rules on version %d: %d, %d", i.Name, base, reservation, weight)
	if err := i.Write(x.site.File(x.Processes, i) + agreedRules(base, reservation, weight, more...)); err != nil {
		x.Fatal(err)
	}
	i.Reload()
}

// strike plays a step of a schedule.
func (x *trial) strike(text string) (undo func()) {
	x.Helper()
	s, err := ParseSchedule(text)
	if err != nil {
		x.Fatal(err)
	}
	x.Log(s[0])
	do, err := x.play.strike(s[0], rand.New(rand.NewPCG(x.seed, 0)))
	if err != nil {
		x.Fatalf("%s: %v", text, err)
	}
	return func() {
		x.Helper()
		if err := do(); err != nil {
			x.Fatalf("end of %s: %v", text, err)
		}
	}
}

// leader is the voter that leads, of those that run.
func (x *trial) leader(nodes ...*Instance) (lead *Instance) {
	x.Helper()
	x.until("somebody leads", func() bool {
		for _, i := range nodes {
			if s, _ := i.accord(); s.Voter != nil && s.Voter.IsLeader {
				lead = i
				return true
			}
		}
		return false
	})
	return lead
}

// others are all but these.
func (x *trial) others(some ...*Instance) []*Instance {
	return slices.DeleteFunc(slices.Clone(x.Nodes), func(i *Instance) bool { return slices.Contains(some, i) })
}

// judge ends the trial: what must never be, whatever happened, was not. Versions are those with exclusive changes.
func (x *trial) judge(exclusive ...uint64) invariants.Journals {
	x.Helper()
	x.stop()
	x.Load.Wait()
	acts := x.Halt()
	x.verdict(acts, exclusive)
	for _, job := range x.twice("once") {
		x.Error(job)
	}
	return acts
}

// verdict judges what those acted on who are of one cluster.
func (x *trial) verdict(acts invariants.Journals, exclusive []uint64) {
	x.Helper()
	v := acts.Evaluate(func(v uint64) bool { return slices.Contains(exclusive, v) })
	if len(v.Exclusive)+len(v.Forks)+len(v.Regressions)+len(v.Late)+v.Damaged > 0 || v.Spans == 0 {
		x.Errorf("exclusive %v, forks %v, back %v, late %v, damaged %d", v.Exclusive, v.Forks, v.Regressions, v.Late, v.Damaged)
	}
	if T := x.set.Bounds().ConflictSeconds; v.Loose > T {
		x.Errorf("loose rules contradicted each other for %.3f s, stated are %.3f", v.Loose, T)
	}
}

// A leader that stood still for longer than every lease believes that it leads
// when it wakes, with questions in its buffers: it grants nothing on the old version, nor acts on it.
func TestStoppedLeaderWakes(t *testing.T) {
	x := trying(t, 2101, 5, 3, agreedLeases)
	lead := x.leader(x.Nodes...)
	x.play.Names = map[string]func() string{"leader": func() string { return lead.Name }}
	thaw := x.strike("after 0s stop leader")
	rest := x.others(lead)
	x.on(rest[0], 1, 10, 1)
	x.acts(2, rest...)
	woke := Steady()
	thaw()
	x.acts(2, lead)
	x.on(lead, 2, 10, 5) // it takes part again
	x.acts(3, x.Nodes...)
	for _, l := range x.judge(2).Lines {
		if l.Leased && l.Version == 1 && l.At > woke {
			t.Errorf("%s acts on version 1 after the leader woke: %+v", l.Name, l)
		}
	}
}

// A follower that stood still with jobs in its queues acts on no old version when
// it wakes, sends on what it holds, and repeats nothing that must not be.
func TestStoppedHolderWakes(t *testing.T) {
	x := trying(t, 2102, 4, 3, agreedLeases)
	held := x.Nodes[3]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	x.Load.Play(ctx, 1, []Stream{{Tenant: "a", Class: "once", Entry: 3, Rate: 800, ClientTimeout: 10 * time.Second}})
	x.until("jobs wait", func() bool { // more than all slots and the workers' queues take
		var s struct{ Depths []struct{ Jobs int } }
		n := 0
		held.Ask("/waiting", &s)
		for _, d := range s.Depths {
			n += d.Jobs
		}
		return n > 60
	})
	thaw := x.strike("after 0s stop n3")
	stop()
	froze, began := x.Fleet.Clock(time.Now()), time.Now()
	x.on(x.Nodes[0], 1, 10, 1, "  out = [\"w-00\", \"w-01\", \"w-02\"]\n")
	x.acts(2, x.others(held)...)
	if slept := time.Since(began).Seconds(); slept < x.set.LeaseSeconds {
		t.Errorf("version 2 was in force after %.2f s, within the lease of who stands still", slept)
	}
	woke := Steady()
	thaw()
	woken := x.Fleet.Clock(time.Now())
	x.acts(2, held)
	x.until("jobs of before were sent on", func() bool {
		old := map[string]bool{}
		for _, a := range x.Load.Answers() {
			old[a.ID] = a.Entry == 3 && x.Fleet.Clock(a.At) < froze
		}
		return slices.ContainsFunc(x.Fleet.Attempts(), func(a invariants.Attempt) bool { return a.First > woken && old[a.ID] })
	})
	took := 0.0
	for _, l := range x.judge(2).Lines {
		switch {
		case l.Name != held.Name || !l.Leased || l.At < woke:
		case l.Version < 2:
			t.Errorf("it acts on the old version after it woke: %+v", l)
		case took == 0:
			took = x.Fleet.Clock(time.Now().Add(-time.Duration(Steady() - l.At)))
		}
	}
	for _, a := range x.Fleet.Attempts() { // what was on its way to a worker then may arrive a little later
		if a.Dispatcher == "3" && a.First > took+0.2 && slices.Contains([]string{"w-00", "w-01", "w-02"}, a.Worker) {
			t.Errorf("%.3f s after it acts on version 2, %s comes to %s, which is out", a.First-took, a.ID, a.Worker)
		}
	}
}

// Without a majority what needs no agreement is served, nothing is agreed on, and
// all goes on when the majority is back: what was proposed meanwhile too.
func TestMajorityLostAndBack(t *testing.T) {
	x := trying(t, 2103, 4, 3, agreedLeases)
	few := x.Nodes[2:]
	back := x.strike("after 0s kill n0+n1")
	for _, i := range few {
		x.until(i.Name+"'s lease is over", func() bool { s, ok := i.accord(); return ok && !s.Leased })
	}
	x.on(few[1], 1, 10, 1)
	from := time.Now()
	time.Sleep(3 * time.Second) // the span in which what is served counts
	to := time.Now()
	for _, i := range few {
		if s, ok := i.accord(); !ok || s.Leased || s.Newest != 1 {
			t.Errorf("%s without a majority: %+v", i.Name, s)
		}
	}
	time.Sleep(2 * time.Second) // of patience
	if list := AnswersBetween(x.Load.Answers(), from, to, 2, 3); ServedFraction(list) < 0.95 || len(list) < 30 {
		t.Errorf("without a majority %.3f of %d are served", ServedFraction(list), len(list))
	}
	back()
	x.acts(2, x.Nodes...)
	x.judge(2)
}

// voterBlocks are those of a rules block.
func voterBlocks(list ...*Instance) (text string) {
	for _, i := range list {
		text += fmt.Sprintf("  voter %q {\n    address = %q\n  }\n", i.Name, i.Way)
	}
	return text
}

// votes waits until the voters are these, by the word of each of them.
func (x *trial) votes(list ...*Instance) {
	x.Helper()
	var names []string
	for _, i := range list {
		names = append(names, i.Name)
	}
	for _, i := range list {
		x.until(fmt.Sprintf("%s votes with %v", i.Name, names), func() bool {
			s, _ := i.accord()
			return s.Voter != nil && s.Voter.State == "voting" && len(s.Voter.Voters) == len(names) &&
				!slices.ContainsFunc(names, func(n string) bool { return s.Voter.Voters[n] == "" })
		})
	}
}

// Voters are replaced one after the other, by some with empty folders, under load
// and while versions are agreed on; then those that were replaced end, for good.
func TestVotersAreReplaced(t *testing.T) {
	x := trying(t, 2104, 5, 3, agreedLeases)
	n := x.Nodes
	version, exclusive := uint64(1), []uint64{}
	for k, step := range []struct{ fresh, old int }{{3, 0}, {4, 1}} {
		fresh, stays := n[step.fresh], n[step.old+1:step.fresh]
		start := x.strike("after 0s wipe " + fresh.Name)
		fresh.Write(fresh.agreeing(append(slices.Clone(stays), fresh), x.set, true))
		start()
		for _, voters := range [][]*Instance{append([]*Instance{n[step.old]}, append(slices.Clone(stays), fresh)...), append(slices.Clone(stays), fresh)} {
			x.on(n[2], version, 30+20*k, 1, voterBlocks(voters...))
			version++
			x.acts(version, x.Nodes...)
			x.votes(voters...)
		}
		x.on(n[2], version, 50+20*k, 1, voterBlocks(append(slices.Clone(stays), fresh)...))
		version++
		exclusive = append(exclusive, version)
		x.acts(version, x.Nodes...)
	}
	for _, i := range n[:2] {
		if s, _ := i.accord(); s.Voter == nil || s.Voter.State != "removed" || !strings.Contains(s.Voter.Reason, "was removed from the voters") {
			t.Errorf("%s, which was replaced: %+v", i.Name, s.Voter)
		}
	}
	// They follow also one that they never knew as a voter.
	for tries, lead := 0, x.leader(n[2:]...); lead != n[4]; tries++ {
		if tries == 20 {
			t.Fatal("20 times somebody else leads")
		}
		was, thaw := lead, x.strike("after 0s stop "+lead.Name)
		lead = x.leader(x.others(was)...)
		thaw()
		x.until(was.Name+" has heard of it", func() bool { s, _ := was.accord(); return s.Voter != nil && !s.Voter.IsLeader })
	}
	x.on(n[2], version, 70, 4, voterBlocks(n[2:]...))
	version++
	x.acts(version, x.Nodes...)
	x.strike("after 0s kill n0+n1")
	x.on(n[2], version, 70, 5, voterBlocks(n[2:]...))
	version++
	x.acts(version, n[2:]...)
	x.judge(exclusive...)
}

// Of proposals on both sides of a cut the majority's is agreed on; the other one is
// refused when the cut has healed, and told who changed what.
func TestProposalsOnBothSidesOfACut(t *testing.T) {
	x := trying(t, 2105, 5, 3, agreedLeases)
	few, many := []*Instance{x.Nodes[2], x.Nodes[4]}, []*Instance{x.Nodes[0], x.Nodes[1], x.Nodes[3]}
	heal := x.strike("after 0s cut n2+n4<>*")
	x.on(few[1], 1, 11, 1)
	x.on(many[2], 1, 22, 1)
	x.acts(2, many...)
	for _, i := range few {
		if s, _ := i.accord(); s.Leased || s.Newest != 1 {
			t.Errorf("%s, cut off, acts on version %d of %d", i.Name, s.Version, s.Newest)
		}
	}
	heal()
	x.acts(2, x.Nodes...)
	x.until("the minority's is refused", func() bool {
		s, _ := few[1].accord()
		return strings.Contains(s.Rejection, "changed")
	})
	s, _ := few[1].accord()
	for _, want := range []string{"version 1", "2", "n3", `tenant "a".reservation`, "SIGHUP"} {
		if !strings.Contains(s.Rejection, want) {
			t.Errorf("refused: %q, without %q", s.Rejection, want)
		}
	}
	if a, _ := s.Table.Tenant("a"); a.Reservation == nil || *a.Reservation != 22 {
		t.Errorf("in force: %+v", s.Table)
	}
	x.on(few[1], 2, 11, 1) // in line with what it was told
	x.acts(3, x.Nodes...)
	x.judge(2, 3)
}

// A version is withdrawn while it is announced, and another one while it is narrow,
// each held up by instances that stand still with a lease: nobody ever acts on it.
func TestVersionIsWithdrawn(t *testing.T) {
	set := agreedLeases
	set.LeaseSeconds = 5
	x := trying(t, 2106, 5, 3, set)
	n := x.Nodes
	stage := func(version uint64, s lease.Stage) func() bool {
		return func() bool {
			got, _ := n[1].accord()
			return got.Leased && got.Revision == lease.Revision{Version: version, Stage: s}
		}
	}
	thaw := x.strike("after 0s stop n3")
	x.on(n[0], 1, 10, 1)
	x.until("version 2 is announced", stage(2, lease.StageAnnounced))
	x.on(n[1], 2, 30, 1)
	x.acts(3, x.others(n[3])...)
	thaw()
	x.acts(3, n...)

	thaw = x.strike("after 0s stop n3")
	x.on(n[0], 3, 10, 1)
	x.until("n4 has said that it knows of version 4", func() bool {
		for _, i := range n[:3] {
			s, _ := i.accord()
			for _, b := range s.ActiveLeases {
				if b.Instance == "n4" && b.AppliedRevision.Version == 4 {
					return true
				}
			}
		}
		return false
	})
	time.Sleep(2 * time.Second) // of n3's lease: n4's has to outlast it
	also := x.strike("after 0s stop n4")
	x.until("version 4 is narrow", stage(4, lease.StageIntersection))
	x.on(n[1], 4, 30, 1)
	x.acts(5, n[:3]...)
	thaw()
	also()
	x.acts(5, n...)
	for _, i := range n {
		s, _ := i.accord()
		if a, _ := s.Table.Tenant("a"); a.Reservation == nil || *a.Reservation != 30 {
			t.Errorf("%s: %+v", i.Name, s.Table)
		}
	}
	narrow := false
	for _, l := range x.judge().Lines {
		if l.Leased && (l.Version == 2 || l.Version == 4) {
			t.Errorf("%s acts on a version that was withdrawn: %+v", l.Name, l)
		}
		narrow = narrow || l.Leased && l.Version == 3 && l.Stage == invariants.Intersecting
	}
	if !narrow {
		t.Error("nobody acted on the narrow rules")
	}
}

// Who comes back after many versions with an old file is refused, a voter and a follower
// alike, acts on the newest, and changes nothing.
func TestOldFilesComeBack(t *testing.T) {
	x := trying(t, 2107, 4, 3, agreedLeases)
	back := x.strike("after 0s kill n2+n3")
	var exclusive []uint64
	for v := uint64(1); v < 7; v++ {
		x.on(x.Nodes[0], v, 30+int(v)/2, 1+int(v))
		x.acts(v+1, x.Nodes[:2]...)
		if v%2 == 0 {
			exclusive = append(exclusive, v+1)
		}
	}
	back()
	x.acts(7, x.Nodes...)
	for _, i := range x.Nodes[2:] {
		x.until(i.Name+"'s file is refused", func() bool {
			s, _ := i.accord()
			return strings.Contains(s.Rejection, "based on version 0, the newest is 7") && strings.Contains(s.Rejection, "SIGHUP")
		})
		if s, _ := i.accord(); s.Newest != 7 {
			t.Errorf("%s: version %d is the newest", i.Name, s.Newest)
		}
	}
	x.judge(exclusive...)
}

// All are killed at once, in the middle of a version: it goes on from there.
func TestAllRestartAtOnce(t *testing.T) {
	x := trying(t, 2108, 4, 3, agreedLeases)
	x.on(x.Nodes[1], 1, 10, 1)
	x.acts(2, x.Nodes...)
	thaw := x.strike("after 0s stop n3") // it holds version 3 up
	x.on(x.Nodes[1], 2, 50, 1)
	x.until("version 3 is on its way", func() bool { s, _ := x.Nodes[0].accord(); return s.Newest == 3 })
	back := x.strike("after 0s kill n0+n1+n2+n3")
	thaw()
	back()
	x.acts(3, x.Nodes...)
	x.on(x.Nodes[3], 3, 20, 1)
	x.acts(4, x.Nodes...)
	x.judge(2, 3, 4)
}

// A voter whose folder is thrown away says so and votes no more; the rest goes on,
// and another one takes its place.
func TestVoterLosesItsFolder(t *testing.T) {
	x := trying(t, 2109, 4, 3, agreedLeases)
	n := x.Nodes
	back := x.strike("after 0s wipe n2")
	x.on(n[0], 1, 10, 1)
	x.acts(2, n[0], n[1], n[3])
	back()
	x.until("n2 says what it lost", func() bool {
		s, _ := n[2].accord()
		return s.Voter != nil && s.Voter.State == "lost" && strings.Contains(s.Voter.Reason, "is lost") && strings.Contains(s.Voter.Reason, "docs/")
	})
	x.acts(2, n...) // n2 too: it follows
	start := x.strike("after 0s wipe n3")
	n[3].Write(n[3].agreeing([]*Instance{n[0], n[1], n[3]}, x.set, true))
	start()
	x.on(n[0], 2, 10, 1, voterBlocks(n...))
	x.acts(3, n...)
	x.until("n3 votes", func() bool {
		s, _ := n[3].accord()
		return s.Voter.State == "voting" && len(s.Voter.Voters) == 4
	})
	x.on(n[0], 3, 10, 1, voterBlocks(n[0], n[1], n[3]))
	x.acts(4, n...)
	x.votes(n[0], n[1], n[3])
	x.strike("after 0s kill n1")
	x.on(n[0], 4, 40, 1, voterBlocks(n[0], n[1], n[3]))
	x.acts(5, n[0], n[2], n[3])
	x.judge(2, 5)
}

// A voter with a torn file refuses to start and says which file and what to do, or it
// was torn where nothing counts; the rest goes on.
func TestVoterFileIsTorn(t *testing.T) {
	x := trying(t, 2110, 3, 3, agreedLeases)
	torn, refused := x.Nodes[1], 0
	version := uint64(1)
	for seed := uint64(0); refused < 2; seed++ {
		if seed == 20 {
			t.Fatalf("20 tears, %d of them found", refused)
		}
		torn.Kill()
		x.on(x.Nodes[0], version, 30, int(version)+1)
		version++
		x.acts(version, x.Nodes[0], x.Nodes[2])
		files, _ := torn.files()
		whole, err := os.ReadFile(files[0])
		if err != nil {
			t.Fatal(err)
		}
		torn.Tear(rand.New(rand.NewPCG(seed, 0)))
		before, _ := os.ReadFile(torn.log)
		if torn.Start() == nil {
			x.acts(version, torn)
			continue
		}
		refused++
		said, _ := os.ReadFile(torn.log)
		if said = said[len(before):]; !strings.Contains(string(said), files[0]) || !strings.Contains(string(said), "keep the file for an investigation") {
			t.Errorf("seed %d: it ends and says %s", seed, said)
		}
		os.WriteFile(files[0], whole, 0o600) // it has not run since
		if err := torn.Start(); err != nil {
			said, _ := os.ReadFile(torn.log)
			t.Fatalf("%v: %s", err, said[len(before):])
		}
		x.acts(version, torn)
	}
	x.judge()
}

// A voter with a full disk stands aside, as the others do not; it is back by itself
// when there is room.
func TestVoterDiskIsFull(t *testing.T) {
	x := trying(t, 2111, 3, 3, agreedLeases)
	var out []string // so that each version takes room
	for i := range 400 {
		out = append(out, fmt.Sprintf("%q", fmt.Sprintf("gone-%04d-%s", i, strings.Repeat("x", 50))))
	}
	much := "  out = [" + strings.Join(out, ", ") + "]\n"
	stands := func(i *Instance, stand string) bool {
		s, _ := i.accord()
		return s.Voter != nil && string(s.Voter.State) == stand
	}
	lead := x.leader(x.Nodes...)
	full := x.others(lead)[0]
	lift := x.strike("after 0s fill " + full.Name)
	version := uint64(1)
	for ; !stands(full, "full"); version++ {
		if version == 40 {
			s, _ := full.accord()
			_, longest := full.files()
			t.Fatalf("40 versions, and the disk is not full: %+v, %d bytes", s.Voter, longest)
		}
		x.on(lead, version, 30, int(version), much)
		x.acts(version+1, x.others(full)...)
	}
	s, _ := full.accord()
	if !strings.Contains(s.Voter.Reason, "make room on its disk") {
		t.Errorf("it says %q", s.Voter.Reason)
	}
	x.on(lead, version, 10, 1, much)
	version++
	x.acts(version, x.others(full)...)
	lift()
	x.until("it votes again", func() bool { return stands(full, "voting") })
	x.acts(version, x.Nodes...)
	x.strike("after 0s kill " + x.others(lead, full)[0].Name) // so that its vote is needed
	x.on(lead, version, 10, 8, much)
	x.acts(version+1, lead, full)
	x.judge(2, version)
}

// Two clusters of one name that were never one, and one of them is given the other's
// addresses: by its rules, and in an instance's file. Nothing joins; it is counted and said.
func TestOtherClustersAddresses(t *testing.T) {
	x := trying(t, 2112, 6, 3, agreedLeases, func(s *Site) {
		s.File = func(c *Processes, i *Instance) string {
			half := i.Index / 3 * 3
			return i.agreeing(c.Nodes[half:half+3], agreedLeases, true)
		}
	})
	ours, theirs := x.Nodes[:3], x.Nodes[3:]
	drops := func(reason string) (sum uint64) {
		for _, i := range x.Nodes {
			s, _ := i.accord()
			sum += s.Dropped[reason]
		}
		return sum
	}
	x.on(theirs[0], 1, 30, 1, voterBlocks(x.Nodes[0], theirs[0], theirs[1], theirs[2]))
	x.acts(2, theirs...)
	x.until("it is counted", func() bool { return drops("of another identity") > 0 })
	lead := x.leader(theirs...)
	x.until("it is said", func() bool {
		said, _ := os.ReadFile(lead.log)
		return strings.Contains(string(said), "accord: changing the voters failed:")
	})
	back := x.strike("after 0s kill n5")
	theirs[2].Write(theirs[2].agreeing(ours, x.set, true))
	back()
	x.until("n5 says that it is of another cluster", func() bool {
		s, _ := theirs[2].accord()
		return strings.Contains(s.Fault, "other side is of") && strings.Contains(s.Fault, "correct the voters") && s.Dropped["refused by the leader"] > 0
	})
	x.on(ours[0], 1, 10, 1)
	x.acts(2, ours...)
	for _, i := range x.Nodes {
		s, _ := i.accord()
		if i == theirs[2] {
			if s.Leased || s.Newest > 2 {
				t.Errorf("n5 took a lease of the others: %+v", s)
			}
			continue
		}
		if s.Voter == nil || len(s.Voter.Voters) != 3 || slices.ContainsFunc(s.ActiveLeases, func(b lease.ActiveLease) bool { return i.Index < 3 && b.Instance == "n5" }) {
			t.Errorf("%s: %+v, book %+v", i.Name, s.Voter, s.ActiveLeases)
		}
	}
	back = x.strike("after 0s kill n5")
	theirs[2].Write(x.site.File(x.Processes, theirs[2]))
	back()
	x.on(theirs[0], 2, 40, 1, voterBlocks(theirs...))
	x.acts(3, theirs...)
	x.votes(theirs...)

	x.stop()
	x.Load.Wait()
	acts := x.Halt()
	for half := range 2 { // each by itself
		some := invariants.Journals{Pauses: acts.Pauses, Damaged: acts.Damaged}
		for _, l := range acts.Lines {
			if x.Index(l.Name)/3 == half {
				some.Lines = append(some.Lines, l)
			}
		}
		x.verdict(some, [][]uint64{{2}, {3}}[half])
	}
}

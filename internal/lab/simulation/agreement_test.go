package simulation

import (
	"fmt"
	"testing"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
)

func newTestAgreement(seed uint64, n int, apart float64) *Agreement {
	return newTestAgreementWith(seed, n, apart, lease.DefaultSettings)
}

func newTestAgreementWith(seed uint64, n int, apart float64, s lease.Settings) *Agreement {
	return NewAgreement(AgreementSettings{Seed: seed, Instances: n, Voters: 5, Leases: s, Jitter: 0.1, DiskSyncSeconds: 0.005, SchedulerDelaySeconds: 0.004,
		Delay: func(from, to int) float64 {
			if from%6 == to%6 {
				return 0.0005
			}
			return apart
		}})
}

// firstTable proposes version 1 with n tenants. If there is a version already it proposes no change.
func firstTable(n int) ProposalFunc {
	return func(history []*config.Table, by string) (*config.Table, error) {
		if newest := history[len(history)-1]; newest.Version > 0 {
			return newest, nil
		}
		t := &config.Table{Version: 1, ProposedBy: by}
		for i := range n {
			r, w := 1+float64(i%40)/8, float64(1+i%3)
			t.Tenants = append(t.Tenants, config.Tenant{Name: fmt.Sprintf("team-%04d", i), Reservation: &r, Weight: &w})
		}
		return t, nil
	}
}

// raiseTeam proposes to set one team's reservation (exclusive) or weight to 50, based on the newest table.
func raiseTeam(team int, exclusive bool) ProposalFunc {
	to := 50.0
	return func(history []*config.Table, by string) (*config.Table, error) {
		newest := history[len(history)-1]
		x := newest.Tenants[team]
		if exclusive && *x.Reservation == to || !exclusive && *x.Weight == to {
			return newest, nil
		}
		t := *newest
		t.Tenants = append([]config.Tenant(nil), newest.Tenants...)
		if exclusive {
			x.Reservation = &to
		} else {
			x.Weight = &to
		}
		t.Tenants[team] = x
		t.Version, t.BaseVersion, t.ProposedBy = newest.Version+1, newest.Version, by
		return &t, nil
	}
}

// startedAgreement returns a cluster in which version 1 is in force everywhere and all instances have a lease.
func startedAgreement(t *testing.T, seed uint64, n int, apart float64) *Agreement {
	a := newTestAgreement(seed, n, apart)
	a.Propose(a.Members[0], firstTable(41))
	a.Run(20, func() bool { return a.InForceEverywhereAt[1] > 0 && a.Leased() })
	if a.InForceEverywhereAt[1] == 0 || !a.Leased() {
		t.Fatalf("seed %d, %d instances %v s apart: no first version in 20 s", seed, n, apart)
	}
	a.Run(a.Now+4, nil)
	return a
}

// Versions that are proposed one at a time are in force everywhere within the bounds of the lease settings.
func TestSequentialProposalsMeetBounds(t *testing.T) {
	bounds := lease.DefaultSettings.Bounds()
	for seed := range uint64(3) {
		for _, apart := range []float64{0.001, 0.02} { // the bounds assume a delay of 0.05 s
			a := startedAgreement(t, seed, 7, apart)
			for k := range 4 {
				from, exclusive, most := a.Now, k%2 == 0, bounds.PropagationSeconds
				if exclusive {
					most += 2 * bounds.AdvanceSeconds
				}
				a.Propose(a.Members[k], raiseTeam(k, exclusive))
				a.Run(from+10, func() bool { return a.InForceEverywhereAt[uint64(2+k)] > 0 })
				if took := a.InForceEverywhereAt[uint64(2+k)] - from; took <= 0 || took > most {
					t.Errorf("seed %d, %v s apart, exclusive %v: in force everywhere after %.2f s, want at most %.2f", seed, apart, exclusive, took, most)
				}
				a.Run(a.Now+3, nil)
			}
		}
	}
}

// Seven instances propose a version at the same time: all proposals are accepted, one after the other, each once.
func TestConcurrentProposalsAreAllAccepted(t *testing.T) {
	a := startedAgreement(t, 1, 7, 0.001)
	from := a.Now
	for k := range 7 {
		a.Propose(a.Members[k], raiseTeam(k, true))
	}
	a.Run(from+60, func() bool { return a.InForceEverywhereAt[8] > 0 })
	for v := uint64(3); v <= 8; v++ {
		if a.InForceEverywhereAt[v] < a.InForceEverywhereAt[v-1]+1 || a.InForceEverywhereAt[v] > a.InForceEverywhereAt[v-1]+6 {
			t.Errorf("version %d in force after %.2f s, the previous one after %.2f; want 1 to 6 s between them", v, a.InForceEverywhereAt[v]-from, a.InForceEverywhereAt[v-1]-from)
		}
	}
	a.Run(a.Now+5, nil)
	if newest := a.Members[0].history[len(a.Members[0].history)-1]; newest.Version != 8 {
		t.Errorf("newest version is %d, want 8: the first one and 7 proposals", newest.Version)
	} else {
		for k := range 7 {
			if *newest.Tenants[k].Reservation != 50 {
				t.Errorf("the proposal of instance %d is not in the newest table", k)
			}
		}
	}
}

// The same seed gives the same run, down to the bytes sent, without an election and with one after the first leader's
// loss.
func TestAgreementIsSeeded(t *testing.T) {
	for _, dies := range []bool{false, true} {
		testAgreementIsSeeded(t, dies)
	}
}

func testAgreementIsSeeded(t *testing.T, leaderDies bool) {
	t.Helper()
	play := func() string {
		a := startedAgreement(t, 5, 9, 0.02)
		if leaderDies {
			a.Kill(a.Leader(), true)
		}
		a.Propose(a.Members[8], raiseTeam(3, true))
		a.Run(a.Now+6, nil)
		return fmt.Sprint(a.InForceEverywhereAt, a.Members[0].Sent, a.Members[8].Received)
	}
	if one, two := play(), play(); one != two {
		t.Errorf("leader lost %v: two runs of one seed differ:\n%s\n%s", leaderDies, one, two)
	}
}

// A new version comes into force within the bounds after a voter is lost: for a leader, after an election and the
// expiry of the longest lease. The loss of a voter that does not lead leaves no instance without a lease.
func TestAgreementSurvivesVoterLoss(t *testing.T) {
	for _, leads := range []bool{false, true} {
		a := startedAgreement(t, 2, 9, 0.02)
		a.Reset()
		gone := a.Leader()
		if !leads {
			gone = a.Members[(gone.index+1)%5]
		}
		from := a.Now
		a.Kill(gone, true)
		a.Propose(a.Members[8], raiseTeam(3, true))
		a.Run(from+30, func() bool { return a.InForceEverywhereAt[2] > 0 })
		// The version takes two steps, the first with an instance lost, and the propagation of the last. After an election
		// the first step waits for the expiry of the former leader's leases.
		b := lease.DefaultSettings.Bounds()
		most := b.AdvanceAfterLossSeconds + b.AdvanceSeconds + b.PropagationSeconds
		if leads {
			most = 2 + b.AdvanceAfterElectionSeconds + b.AdvanceSeconds + b.PropagationSeconds // elections take up to 2 s here
		}
		if took := a.InForceEverywhereAt[2] - from; took <= 0 || took > most {
			t.Errorf("leader lost %v: a version took %.2f s, want at most %.2f", leads, took, most)
		}
		if !leads && a.UnleasedSeconds > 0 {
			t.Errorf("instances had no lease for %.2f s in total after the loss of a voter, want none", a.UnleasedSeconds)
		}
	}
}

// A side of a partition without a majority of the voters loses its leases. After the partition one version is in
// force everywhere.
func TestAgreementSurvivesPartition(t *testing.T) {
	a := startedAgreement(t, 3, 12, 0.02)
	side := func(i int) bool { return i%6 < 2 } // two of five voters
	a.SetPartition(func(x, y int) bool { return side(x) != side(y) })
	a.Run(a.Now+5, nil)
	for i, in := range a.Members {
		if leased := in.holder.EffectiveConfig(a.Now).Leased; leased == side(i) {
			t.Errorf("instance %d: leased is %v while its side has no majority is %v, want the opposite", i, leased, side(i))
		}
	}
	a.Propose(a.Members[4], raiseTeam(3, true))
	a.Run(a.Now+5, nil)
	for i, in := range a.Members {
		if got := in.InForce; (got == 2) == side(i) {
			t.Errorf("instance %d: version %d in force, side without majority %v; want version 2 only with a majority", i, got, side(i))
		}
	}
	a.SetPartition(func(int, int) bool { return false })
	a.Run(a.Now+10, func() bool { return a.InForceEverywhereAt[2] > 0 })
	if a.InForceEverywhereAt[2] == 0 {
		t.Error("version 2 is not in force everywhere 10 s after the end of the partition")
	}
}

// With the shortest lease that Settings.Validate accepts for a network delay, all instances get a lease and keep it,
// whichever voter they send requests to. A response takes up to eight delays, so the lease has to cover two responses
// and a renewal interval.
func TestShortestValidLeasesAreKept(t *testing.T) {
	for _, delay := range []float64{0.02, 0.08, 0.15} {
		for _, period := range []float64{0.05, 0.5} {
			s := lease.Settings{LeaseSeconds: 0.05, RenewIntervalSeconds: period, NetworkDelaySeconds: delay, ClockDrift: 0.01, PollIntervalSeconds: 0.05}
			for s.Validate() != nil {
				s.LeaseSeconds += 0.01
			}
			for seed := range uint64(2) {
				a := NewAgreement(AgreementSettings{Seed: seed, Instances: 12, Voters: 5, Leases: s, Delay: func(int, int) float64 { return delay }})
				a.Propose(a.Members[0], firstTable(41))
				a.Run(30, func() bool { return a.InForceEverywhereAt[1] > 0 && a.Leased() })
				a.Run(a.Now+5, nil)
				a.Reset()
				a.Run(a.Now+20, nil)
				if a.InForceEverywhereAt[1] == 0 || a.UnleasedSeconds > 0 {
					t.Errorf("delay %v, renewal interval %v, lease %.2f, seed %d: first version in force at %.2f s, then %.2f s without a lease in 20 s; want none",
						delay, period, s.LeaseSeconds, seed, a.InForceEverywhereAt[1], a.UnleasedSeconds)
				}
			}
		}
	}
}

// On long links instances get a lease again after the loss of two voters, including the leader. Instances that are
// partitioned only from the leader, voters or not, keep their lease through the other voters.
func TestAgreementSurvivesLossOnLongLinks(t *testing.T) {
	s := lease.DefaultSettings
	s.NetworkDelaySeconds = 0.1
	for seed := range uint64(3) {
		for _, cut := range []bool{false, true} {
			a := newTestAgreementWith(seed, 15, 0.08, s)
			a.Propose(a.Members[0], firstTable(41))
			a.Run(20, func() bool { return a.InForceEverywhereAt[1] > 0 && a.Leased() })
			a.Run(a.Now+4, nil)
			a.Reset()
			lead := a.Leader().index
			other := (lead + 1) % 5
			if cut {
				a.SetPartition(func(x, y int) bool { return x%6 == lead && y%6 == other || x%6 == other && y%6 == lead })
			} else {
				a.Kill(a.Members[lead], true)
				a.Kill(a.Members[other], true)
			}
			from := a.Now
			a.Propose(a.Members[12], raiseTeam(3, true))
			a.Run(from+25, nil)
			if a.InForceEverywhereAt[2] == 0 || !a.Leased() {
				t.Errorf("seed %d, partitioned %v: version 2 in force after %.2f s, all leased %v; want both within 25 s", seed, cut, a.InForceEverywhereAt[2]-from, a.Leased())
			}
			if cut && a.UnleasedSeconds > 0 {
				t.Errorf("seed %d: instances had no lease for %.2f s in total during the partition, want none", seed, a.UnleasedSeconds)
			}
			if most := 3 * s.LeaseSeconds; a.LongestUnleasedSeconds > most {
				t.Errorf("seed %d, partitioned %v: an instance had no lease for %.2f s, want at most %.2f", seed, cut, a.LongestUnleasedSeconds, most)
			}
		}
	}
}

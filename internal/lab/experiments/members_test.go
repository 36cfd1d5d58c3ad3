package experiments

import (
	"testing"
	"time"

	"example.org/bellstream/internal/lab/capacity"
)

// A voter that loses its link to the leader, but not to the other voters, keeps its lease through them, as instances
// that do not vote do.
func TestVoterCutOffFromTheLeaderHasALease(t *testing.T) {
	c, err := startAgentGroup(Params{Seed: 1, Out: t.TempDir()}, 6, 5, agreedLeases, func(int, int) time.Duration { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	c.loops[5].Propose(initialTable(capacity.NewLoad(10, 1).Teams))
	if !c.waitForVersion(1, 20*time.Second) {
		t.Fatal("no first version in 20 s")
	}
	leader := -1
	for i, x := range c.loops[:5] {
		if x.Status().Voter.IsLeader {
			leader = i
		}
	}
	if leader < 0 {
		t.Fatal("no voter is the leader")
	}
	other := (leader + 1) % 5
	c.relay.AddFault(func(x, y int) bool { return x == leader && y == other || x == other && y == leader }, Link{Cut: true})
	cut := time.Now()
	if err := Until(20*time.Second, "lease of the voter without a known leader", func() bool {
		s := c.loops[other].Status()
		return time.Since(cut) > 5*time.Second && s.Voter.Leader == "" && s.Leased
	}); err != nil {
		t.Errorf("%v: got status %+v", err, c.loops[other].Status())
	}
}

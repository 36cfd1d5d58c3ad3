package experiments

import (
	"testing"
	"time"

	"example.org/bellstream/internal/lab/capacity"
)

// A voter that is cut off from the leader alone keeps its lease by way of the others, as those that do
// not vote do.
func TestVoterCutOffFromTheLeaderHasALease(t *testing.T) {
	c, err := startMembers(Params{Seed: 1, Out: t.TempDir()}, 6, 5, agreedLeases, func(int, int) time.Duration { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	c.all[5].Propose(teamsTable(capacity.NewLoad(10, 1).Teams))
	if !c.reached(1, 20*time.Second) {
		t.Fatal("no first version in 20 s")
	}
	leader := -1
	for i, x := range c.all[:5] {
		if x.Status().Voter.IsLeader {
			leader = i
		}
	}
	if leader < 0 {
		t.Fatal("nobody leads")
	}
	other := (leader + 1) % 5
	c.relay.AddFault(func(x, y int) bool { return x == leader && y == other || x == other && y == leader }, Link{Cut: true})
	cut := time.Now()
	if err := Until(20*time.Second, "a lease of the voter that hears of no leader", func() bool {
		s := c.all[other].Status()
		return time.Since(cut) > 5*time.Second && s.Voter.Leader == "" && s.Leased
	}); err != nil {
		t.Errorf("%v: %+v", err, c.all[other].Status())
	}
}

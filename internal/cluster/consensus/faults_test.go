package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// leaderLossBound is the longest time after which operations fail without a majority.
const leaderLossBound = (2*electionTicks + 1) * tick

// In the minority part of a partition, operations fail within leaderLossBound. The
// majority part accepts proposals, and the minority catches up once the partition
// is healed.
func TestPartition(t *testing.T) {
	for _, names := range []string{"a b c", "a b c d e"} {
		t.Run(names, func(t *testing.T) {
			withCluster(t, names, nil, func(c *testCluster) {
				old := c.waitForLeader(names)
				c.propose(old, "one")
				majority := without(names, old.options.Name)
				minority := []string{old.options.Name}
				if names == "a b c d e" {
					second, rest, _ := strings.Cut(majority, " ")
					minority, majority = append(minority, second), rest
				}
				c.network.partition(true, minority, strings.Fields(majority))
				for _, operation := range []func() error{
					func() error { return old.Propose(c.context(), []byte("lost")) },
					func() error { _, _, err := old.ReadIndex(c.context()); return err },
				} {
					began := time.Now()
					var noQuorum *NoQuorumError
					if err := operation(); !errors.As(err, &noQuorum) {
						t.Errorf("operation without a majority: got %v, want NoQuorumError", err)
					}
					if elapsed := time.Since(began); elapsed > leaderLossBound {
						t.Errorf("operation failed after %v, want at most %v", elapsed, leaderLossBound)
					}
				}
				c.propose(c.waitForLeader(majority), "two")
				c.network.partition(false, minority, strings.Fields(majority))
				c.waitForValue(names, "two")
				leader := c.waitForLeader(names)
				c.propose(leader, "three")
				c.waitForValue(names, "three")
				if _, _, err := leader.ReadIndex(c.context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// A leader that receives no messages steps down, although the other voters receive
// its messages.
func TestOneWayPartition(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		old := c.waitForLeader(names)
		rest := strings.Fields(without(names, old.options.Name))
		for _, name := range rest {
			c.network.partitionOneWay(true, name, old.options.Name)
		}
		next := c.waitForLeader(strings.Join(rest, " "))
		c.waitFor("the old leader to step down", func() bool { return !old.Status().IsLeader })
		c.propose(next, "one")
		for _, name := range rest {
			c.network.partitionOneWay(false, name, old.options.Name)
		}
		c.waitForValue(names, "one")
	})
}

func TestMajorityLossAndRecovery(t *testing.T) {
	names := "a b c d e"
	withCluster(t, names, nil, func(c *testCluster) {
		leader := c.waitForLeader(names)
		c.propose(leader, "one")
		stopped := strings.Join(strings.Fields(without(names, leader.options.Name))[:3], " ")
		c.stop(stopped)
		time.Sleep(leaderLossBound)
		var noQuorum *NoQuorumError
		if err := leader.Propose(c.context(), []byte("lost")); !errors.As(err, &noQuorum) || noQuorum.OutcomeUnknown {
			t.Errorf("proposal without a majority: got %v, want NoQuorumError with a known outcome", err)
		}
		c.start(stopped, names)
		c.propose(c.waitForLeader(names), "two")
		c.waitForValue(names, "two")
		c.stop(names) // all voters at once
		c.start(names, names)
		if leader = c.waitForLeader(names); c.registers[leader.options.Name].get() != "two" {
			if _, _, err := leader.ReadIndex(c.context()); err != nil || c.registers[leader.options.Name].get() != "two" {
				t.Errorf("after a restart of all voters: got value %q, error %v, want \"two\"",
					c.registers[leader.options.Name].get(), err)
			}
		}
	})
}

// A leader is paused with a proposal and a read in its queue, and resumes after
// another voter has become the leader. Both operations fail, whether the old leader
// is connected or partitioned when it resumes.
func TestPausedLeaderConfirmsNothing(t *testing.T) {
	names := "a b c"
	for _, partitioned := range []bool{false, true} {
		withCluster(t, names, nil, func(c *testCluster) {
			old := c.waitForLeader(names)
			c.propose(old, "one")
			resume := make(chan struct{})
			old.calls <- func() { <-resume }
			majority := without(names, old.options.Name)
			if partitioned {
				c.network.partition(true, []string{old.options.Name}, strings.Fields(majority))
			}
			next := c.waitForLeader(majority)
			c.propose(next, "two")
			got := make(chan error, 2)
			go func() { got <- old.Propose(c.context(), []byte("late")) }()
			go func() {
				_, _, err := old.ReadIndex(c.context())
				if err == nil && c.registers[old.options.Name].get() != "two" {
					err = errors.New("confirmed without a majority")
				}
				got <- err
			}()
			time.Sleep(20 * time.Second) // longer than any lease
			began := time.Now()
			close(resume)
			for range 2 {
				err := <-got
				if !errors.As(err, new(*NoQuorumError)) && !errors.As(err, new(*NotLeaderError)) || time.Since(began) > leaderLossBound {
					t.Errorf("%v after the old leader resumed: got %v, want NoQuorumError or NotLeaderError within leaderLossBound",
						time.Since(began), err)
				}
			}
			c.network.partition(false, []string{old.options.Name}, strings.Fields(majority))
			c.waitForValue(names, "two")
			c.mu.Lock()
			defer c.mu.Unlock()
			changes := strings.Fields(c.leadership[old.options.Name])
			if len(changes) < 2 || "-"+changes[0][1:] != changes[1] {
				t.Errorf("got changes of leadership %v, want the first to be reverted by the second", changes)
			}
		})
	}
}

// proposeContinuously proposes to the voters in turn until stop is closed, and
// returns the number of committed proposals.
func (c *testCluster) proposeContinuously(stop <-chan struct{}) int {
	committed := 0
	for i := 0; ; i++ {
		select {
		case <-stop:
			return committed
		case <-time.After(tick / 10):
		}
		c.mu.Lock()
		nodes := slices.Collect(maps.Values(c.nodes))
		c.mu.Unlock()
		for _, node := range nodes {
			if node.Propose(c.context(), fmt.Appendf(nil, "load%d", i)) == nil {
				committed++
				break
			}
		}
	}
}

// changeVoters changes the voters to next, by the one of the current voters that leads.
func (c *testCluster) changeVoters(current, next string) {
	c.t.Helper()
	c.waitFor("a change to the voters "+next, func() bool {
		for name := range strings.FieldsSeq(current) {
			node := c.nodes[name]
			if node != nil && node.ChangeVoters(c.context(), addresses(next)) == nil {
				return true
			}
		}
		return false
	})
}

// replaceVoter adds a voter, then removes another one, and returns the new voters.
func (c *testCluster) replaceVoter(current, added, removed string) string {
	c.t.Helper()
	both := current + " " + added
	c.mu.Lock()
	c.start(added, both)
	c.mu.Unlock()
	c.waitFor(added+" to be no member", func() bool { return c.nodes[added].Status().State == StateNotMember })
	c.changeVoters(current, both)
	next := without(both, removed)
	c.changeVoters(both, next)
	c.waitFor(removed+" to be removed", func() bool { return c.nodes[removed].Status().State == StateRemoved })
	c.mu.Lock()
	c.stop(removed)
	c.mu.Unlock()
	return next
}

// All voters are replaced one by one while proposals are made continuously.
func TestReplaceVotersUnderLoad(t *testing.T) {
	withCluster(t, "a b c", nil, func(c *testCluster) {
		voters := "a b c"
		c.waitForLeader(voters)
		stop := make(chan struct{})
		result := make(chan int)
		go func() { result <- c.proposeContinuously(stop) }()
		voters = c.replaceVoter(voters, "d", "a")
		voters = c.replaceVoter(voters, "e", "b")
		voters = c.replaceVoter(voters, "f", "c")
		close(stop)
		committed := <-result
		leader := c.waitForLeader(voters)
		c.propose(leader, "last")
		c.waitForValue(voters, "last")
		count := c.registers["d"].count
		if committed < 20 || count < committed+1 || c.registers["f"].count != count {
			t.Errorf("got %d proposals committed, %d applied by d and %d by f", committed, count, c.registers["f"].count)
		}
		checkInvalidVoterChanges(t, c, leader)
		c.start("a", "a b c") // with its old file and options
		c.waitFor("a to learn that it was removed", func() bool { return c.nodes["a"].Status().State == StateRemoved })
	})
}

// checkInvalidVoterChanges checks that the leader of the voters d, e and f rejects
// invalid changes.
func checkInvalidVoterChanges(t *testing.T, c *testCluster, leader *Node) {
	t.Helper()
	err := leader.ChangeVoters(c.context(), addresses("d e f a"))
	if err == nil || !strings.Contains(err.Error(), "was removed before") {
		t.Errorf("adding a former voter: got %v, want a rejection", err)
	}
	err = leader.ChangeVoters(c.context(), addresses("d g"))
	if err == nil || !strings.Contains(err.Error(), "at a time") {
		t.Errorf("three changes at once: got %v, want a rejection", err)
	}
	err = leader.ChangeVoters(c.context(), addresses("d e f g"))
	if !errors.As(err, new(*UnreachableError)) {
		t.Errorf("adding a voter that is not running: got %v, want UnreachableError", err)
	}
}

// A voter that lags behind the compacted log gets a snapshot, even if the first
// large messages to it are corrupted in transit.
func TestSnapshotCatchesUpLaggingVoter(t *testing.T) {
	names, big := "a b c", strings.Repeat("x", 3000)
	withCluster(t, names, func(o *Options) { o.SnapshotCount = 16 }, func(c *testCluster) {
		leader := c.waitForLeader(names)
		c.propose(leader, "zero")
		c.waitForValue(names, "zero")
		lagging := strings.Fields(without(names, leader.options.Name))[0]
		c.stop(lagging)
		for i := range 100 {
			c.propose(leader, fmt.Sprint(big, i))
		}
		if s := leader.Status(); s.Snapshots < 4 {
			t.Errorf("got %d snapshots for 100 entries, want at least 4", s.Snapshots)
		}
		c.network.mu.Lock()
		c.network.corruptions = 3
		c.network.mu.Unlock()
		c.start(lagging, names)
		c.waitForValue(names, big+"99")
		c.network.mu.Lock()
		left := c.network.corruptions
		c.network.mu.Unlock()
		if left > 0 {
			t.Error("not all corruptions were injected")
		}
		if r := c.registers[lagging]; r.count != 101 {
			t.Errorf("state of the lagging voter: got %d entries, want 101", r.count)
		}
		c.stop(names)
		c.start(names, names) // from snapshots
		c.propose(c.waitForLeader(names), "last")
		c.waitForValue(names, "last")
	})
}

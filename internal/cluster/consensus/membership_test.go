package consensus

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A cluster is bootstrapped only when every voter, not just a majority, has reported
// that it belongs to none. A voter that is stopped during the bootstrap still becomes
// a member.
func TestBootstrapNeedsEveryVoter(t *testing.T) {
	all := "a b c"
	withCluster(t, "", nil, func(c *testCluster) {
		c.start("a b", all)
		time.Sleep(10 * time.Second)
		for _, name := range []string{"a", "b"} {
			if s := c.nodes[name].Status(); s.State != StateDiscovering || s.Identity != "" {
				t.Errorf("without c: got status %+v, want StateDiscovering and no identity", s)
			}
		}
		var notVoter *NotVoterError
		if err := c.nodes["a"].Propose(c.context(), []byte("x")); !errors.As(err, &notVoter) {
			t.Errorf("proposal without a cluster: got %v, want NotVoterError", err)
		}
		// c is connected to both, but they are not connected to each other.
		c.network.partition(true, []string{"a"}, []string{"b"})
		c.start("c", all)
		c.waitFor("c to bootstrap the cluster", func() bool { return c.nodes["c"].Status().Identity != "" })
		c.stop("a") // before or just after it has an identity
		c.network.partition(false, []string{"a"}, []string{"b"})
		c.start("a", all)
		c.propose(c.waitForLeader(all), "one")
		c.waitForValue(all, "one")
		ids := map[string]bool{}
		for _, n := range c.nodes {
			ids[n.Status().Identity] = true
		}
		if len(ids) != 1 {
			t.Errorf("got identities %v, want one", ids)
		}
	})
}

// Voters whose options list different voters bootstrap no cluster, and report the
// reason.
func TestBootstrapRejectsDifferentVoterSets(t *testing.T) {
	withCluster(t, "", nil, func(c *testCluster) {
		c.start("a", "a b")
		c.start("b c", "a b c")
		time.Sleep(10 * time.Second)
		for name, n := range c.nodes {
			if s := n.Status(); s.State != StateDiscovering || s.Identity != "" {
				t.Errorf("%s: got status %+v, want StateDiscovering and no identity", name, s)
			}
		}
		if why := c.nodes["a"].Status().Reason; !strings.Contains(why, "other voters") {
			t.Errorf("got reason %s, want one that mentions other voters", why)
		}
	})
}

// A voter whose directory was lost does not vote, but still forwards requests. It
// reports the loss and can be replaced by a voter with another name.
func TestVoterWithLostDataDoesNotVote(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		leader := c.waitForLeader(names)
		c.propose(leader, "one")
		lost := leader.options.Name
		c.stop(lost)
		os.RemoveAll(filepath.Join(c.dir, lost))
		rest := without(names, lost)
		c.start(lost, names)
		n := c.nodes[lost]
		c.waitFor("the voter to report its data loss", func() bool { return n.Status().State == StateDataLost })
		var lostErr *DataLostError
		if err := n.Propose(c.context(), []byte("x")); !errors.As(err, &lostErr) || lostErr.Name != lost {
			t.Errorf("proposal to the voter without data: got %v, want DataLostError", err)
		}
		next := c.waitForLeader(rest)
		c.waitFor("a forwarded request", func() bool {
			got, err := n.Request(c.context(), []byte("q"))
			return err == nil && strings.HasPrefix(string(got), next.options.Name)
		})
		// With one of the other voters down, the vote of the lost voter would make a majority.
		down := without(rest, next.options.Name)
		c.stop(down)
		time.Sleep(10 * time.Second)
		if next.Status().IsLeader || n.Status().State != StateDataLost {
			t.Errorf("with one voter that has its file: got status %+v", next.Status())
		}
		c.start(down, names)
		leader = c.waitForLeader(rest)
		c.start("d", names+" d")
		c.waitFor("d to know that it is not a member", func() bool { return c.nodes["d"].Status().State == StateNotMember })
		if err := leader.ChangeVoters(c.context(), addresses(names+" d")); err != nil {
			t.Fatal(err)
		}
		if err := leader.ChangeVoters(c.context(), addresses(rest+" d")); err != nil {
			t.Fatal(err)
		}
		c.propose(leader, "two")
		c.waitForValue(rest+" d", "two")
		c.waitFor("the lost voter to be removed", func() bool { return n.Status().State == StateRemoved })
	})
}

// Separate clusters never merge. The test starts a voter of a cluster with another
// name at a member's address, and voters of a cluster with the same name, voters and
// addresses that was bootstrapped separately.
func TestClustersStaySeparate(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		c.propose(c.waitForLeader(names), "one")
		c.stop("c")
		c.configure = func(o *Options) { o.Cluster, o.Dir = "other", o.Dir+"-other" }
		c.start("c", names)
		time.Sleep(10 * time.Second)
		c.propose(c.waitForLeader("a b"), "two")
		other := c.nodes["c"].Status()
		if other.Identity != "" || other.Drops["of another cluster"] == 0 {
			t.Errorf("c of another cluster: got status %+v", other)
		}
		c.stop(names) // the same names with other directories, while the first cluster is down
		c.configure = func(o *Options) { o.Dir += "-twin" }
		c.start(names, names)
		c.propose(c.waitForLeader(names), "twin")
		c.stop("c")
		c.configure = nil
		c.start("c", names) // the first cluster's c, at the address of the second cluster's c
		time.Sleep(10 * time.Second)
		s := c.nodes["c"].Status()
		if s.AppliedIndex > 3 || s.Leader != "" || c.registers["c"].get() == "twin" {
			t.Errorf("c has joined the second cluster: got status %+v", s)
		}
		if n := s.Drops[dropWrongIdentity] + c.nodes["a"].Status().Drops[dropWrongIdentity]; n == 0 {
			t.Error("no frame was dropped for its identity")
		}
		c.propose(c.waitForLeader("a b"), "on")
		client := NewClient(ClientOptions{Name: "i", Cluster: "test", Tick: tick, Dial: c.network.dial("i")})
		defer client.Close()
		if _, err := client.Request(c.context(), "a:1", nil); err != nil {
			t.Error(err)
		}
		var wrong *WrongClusterError
		if _, err := client.Request(c.context(), "c:1", nil); !errors.As(err, &wrong) {
			t.Errorf("request to c of the other cluster: got %v, want WrongClusterError", err)
		}
	})
}

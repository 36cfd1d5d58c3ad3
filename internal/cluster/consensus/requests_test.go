package consensus

import (
	"errors"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/cluster/consensus/wire"
)

// A request to any voter is handled by the leader. A forwarded request is not
// forwarded again. If the leader does not respond or there is none, the request fails
// with NoQuorumError.
func TestRequestsReachLeader(t *testing.T) {
	names := "a b c"
	withCluster(t, names, func(o *Options) {
		o.HandleRequest = func(from string, payload []byte, respond func([]byte)) {
			respond(append([]byte(o.Name+" to "), from...))
		}
	}, func(c *testCluster) {
		leader := c.waitForLeader(names)
		client := NewClient(ClientOptions{Name: "i", Cluster: "test", Tick: tick, Dial: c.network.dial("i")})
		defer client.Close()
		for name := range strings.FieldsSeq(names) {
			got, err := client.Request(c.context(), name+":1", []byte("q"))
			if string(got) != leader.options.Name+" to i" {
				t.Errorf("request to %s: got response %q, error %v", name, got, err)
			}
		}
		follower := c.nodes[strings.Fields(without(names, leader.options.Name))[0]]
		if n := follower.Status().Forwarded; n != 1 {
			t.Errorf("got %d requests forwarded by the follower, want 1", n)
		}
		_, err := client.Request(c.context(), "a:1", make([]byte, MaxPayloadBytes+1))
		if !errors.As(err, new(*TooLargeError)) {
			t.Errorf("request beyond the limit: got %v, want TooLargeError", err)
		}
		follower.runAndWait(func() {
			follower.loop.handleRequest(&wire.Request{Forwarded: true}, func(r *wire.Response) {
				if r.Result != wire.Response_NOT_LEADER || r.Leader != leader.options.Name {
					t.Errorf("forwarded request at a follower: got response %v, want NOT_LEADER that names the leader", r)
				}
			})
		})
		// While the leader is blocked, a request to another voter times out.
		resume := make(chan struct{})
		leader.calls <- func() { <-resume }
		began := time.Now()
		_, err = client.Request(c.context(), follower.options.Name+":1", nil)
		if !errors.As(err, new(*NoQuorumError)) || time.Since(began) > (forwardTimeoutTicks+1)*tick {
			t.Errorf("request with a blocked leader, after %v: got %v, want NoQuorumError", time.Since(began), err)
		}
		close(resume)
		c.stop(without(names, follower.options.Name))
		c.waitFor("the follower to know no leader", func() bool {
			_, err := client.Request(c.context(), follower.options.Name+":1", nil)
			return errors.As(err, new(*NoQuorumError))
		})
		c.stop(follower.options.Name)
		_, err = client.Request(c.context(), follower.options.Name+":1", nil)
		if !errors.As(err, new(*UnreachableError)) {
			t.Errorf("request to a stopped voter: got %v, want UnreachableError", err)
		}
	})
}

// A voter must not name a leader that has ended, though raft keeps it until the election timeout: an operator or an
// instance would be sent to a process that is not there.
func TestEndedLeaderIsNotNamed(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		leader := c.waitForLeader(names).options.Name
		follower := c.nodes[strings.Fields(without(names, leader))[0]]
		client := NewClient(ClientOptions{Name: "i", Cluster: "test", Tick: tick, Dial: c.network.dial("i")})
		defer client.Close()
		c.stop(leader)
		_, err := client.Request(c.context(), follower.options.Name+":1", []byte("q"))
		if !errors.As(err, new(*NoQuorumError)) {
			t.Errorf("request right after the leader's end: got %v, want NoQuorumError", err)
		}
		if named, _, _ := follower.Leader(); named == leader {
			t.Errorf("the status names %q as the leader, which has ended", named)
		}
	})
}

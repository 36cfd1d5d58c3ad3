package consensus

import (
	"errors"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/cluster/consensus/wire"
)

// Whichever voter gets a request, the leader handles it. Without a leader the
// request fails at once, and a forwarded request is not forwarded again.
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
				t.Errorf("request to %s: %q %v", name, got, err)
			}
		}
		follower := c.nodes[strings.Fields(without(names, leader.options.Name))[0]]
		if n := follower.Status().Forwarded; n != 1 {
			t.Errorf("%d requests forwarded", n)
		}
		_, err := client.Request(c.context(), "a:1", make([]byte, MaxPayloadBytes+1))
		if !errors.As(err, new(*TooLargeError)) {
			t.Errorf("too large: %v", err)
		}
		follower.runAndWait(func() {
			follower.loop.handleRequest(&wire.Request{Forwarded: true}, func(r *wire.Response) {
				if r.Result != wire.Response_NOT_LEADER || r.Leader != leader.options.Name {
					t.Errorf("forwarded twice: %v", r)
				}
			})
		})
		// While the leader is blocked, a request to another voter times out.
		resume := make(chan struct{})
		leader.calls <- func() { <-resume }
		began := time.Now()
		_, err = client.Request(c.context(), follower.options.Name+":1", nil)
		if !errors.As(err, new(*NoQuorumError)) || time.Since(began) > (forwardTimeoutTicks+1)*tick {
			t.Errorf("after %v: %v", time.Since(began), err)
		}
		close(resume)
		c.stop(without(names, follower.options.Name))
		c.waitFor("the loss of the leader", func() bool {
			_, err := client.Request(c.context(), follower.options.Name+":1", nil)
			return errors.As(err, new(*NoQuorumError))
		})
		c.stop(follower.options.Name)
		_, err = client.Request(c.context(), follower.options.Name+":1", nil)
		if !errors.As(err, new(*UnreachableError)) {
			t.Errorf("no voter left: %v", err)
		}
	})
}

package consensus

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// register is an application whose state is the data of the last entry.
type register struct {
	mu    sync.Mutex
	value string
	index uint64
	count int
}

func (r *register) options(o Options) Options {
	o.Apply = func(_, index uint64, data []byte) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.value, r.index, r.count = string(data), index, r.count+1
	}
	o.Snapshot = func() []byte { return fmt.Appendf(nil, "%d %d %s", r.index, r.count, r.value) }
	o.Restore = func(raw []byte) error {
		r.mu.Lock()
		defer r.mu.Unlock()
		_, err := fmt.Sscanf(string(raw), "%d %d %s", &r.index, &r.count, &r.value)
		return err
	}
	return o
}

func (r *register) get() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

// tcpVoters are voters that listen on the loopback interface.
type tcpVoters struct {
	nodes     map[string]*Node
	registers map[string]*register
	addresses map[string]string
}

// startTCPVoters starts voters with the given options, except names, directories and
// addresses, which it sets.
func startTCPVoters(tb testing.TB, names []string, options Options) *tcpVoters {
	tb.Helper()
	v := &tcpVoters{
		nodes:     map[string]*Node{},
		registers: map[string]*register{},
		addresses: map[string]string{},
	}
	listeners := map[string]net.Listener{}
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners[name] = listener
		v.addresses[name] = listener.Addr().String()
	}
	for _, name := range names {
		r := &register{}
		o := r.options(options)
		o.Name = name
		o.Dir = tb.TempDir()
		o.Listen = v.addresses[name]
		o.Listener = listeners[name]
		o.Voters = v.addresses
		node, err := New(o)
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { node.Close() })
		v.nodes[name] = node
		v.registers[name] = r
	}
	return v
}

// propose proposes value to the voters in turn until one accepts it, and returns that
// voter, which is the leader.
func (v *tcpVoters) propose(ctx context.Context, tb testing.TB, value string) *Node {
	tb.Helper()
	for ctx.Err() == nil {
		for _, node := range v.nodes {
			if node.Propose(ctx, []byte(value)) == nil {
				return node
			}
		}
		time.Sleep(time.Millisecond)
	}
	tb.Fatal("no voter accepted the proposal before the timeout")
	return nil
}

// Three voters over TCP elect a leader, propose, read and handle requests, and leak no
// goroutines.
func TestOverTCP(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the voters are closed
	voters := startTCPVoters(t, []string{"a", "b", "c"}, Options{
		Cluster: "test",
		Tick:    10 * time.Millisecond,
		HandleRequest: func(from string, payload []byte, respond func([]byte)) {
			respond([]byte(from + " asked " + string(payload)))
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	leader := voters.propose(ctx, t, "one")
	index, term, err := leader.ReadIndex(ctx)
	if err != nil || index < 2 || term == 0 {
		t.Fatalf("ReadIndex: got index %d, term %d, error %v", index, term, err)
	}
	if got := voters.registers[leader.options.Name].get(); got != "one" {
		t.Errorf("value after ReadIndex: got %q, want \"one\"", got)
	}
	client := NewClient(ClientOptions{Name: "i", Cluster: "test", Listen: "127.0.0.1:0"})
	defer client.Close()
	for name, node := range voters.nodes {
		var got []byte
		for got == nil && ctx.Err() == nil { // a follower may not know yet who leads
			got, err = client.Request(ctx, voters.addresses[name], []byte("who"))
		}
		if string(got) != "i asked who" {
			t.Errorf("request to %s: got response %q, error %v", name, got, err)
		}
		if node != leader {
			checkFollower(ctx, t, node, leader)
		}
	}
}

// checkFollower checks that a follower rejects proposals and forwards requests.
func checkFollower(ctx context.Context, t *testing.T, follower, leader *Node) {
	t.Helper()
	name := follower.options.Name
	err := follower.Propose(ctx, []byte("two"))
	notLeader, ok := errors.AsType[*NotLeaderError](err)
	if !ok || notLeader.Leader != leader.options.Name || notLeader.Address != leader.options.Listen {
		t.Errorf("proposal to follower %s: got %v, want NotLeaderError that names the leader", name, err)
	}
	if got, err := follower.Request(ctx, []byte("I")); string(got) != name+" asked I" {
		t.Errorf("request by follower %s: got response %q, error %v", name, got, err)
	}
}

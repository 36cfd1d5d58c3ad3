package consensus

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.etcd.io/bbolt"
)

const tick = 100 * time.Millisecond

// testCluster is a cluster in a synctest bubble.
type testCluster struct {
	t          *testing.T
	network    *memoryNetwork
	dir        string
	nodes      map[string]*Node
	registers  map[string]*register
	leadership map[string]string // by voter; "+2 -2 " if it became and ceased to be the leader of term 2
	configure  func(*Options)    // applied to the options of each start
	mu         sync.Mutex
}

// withCluster runs f on a cluster of the named voters, which it starts before.
func withCluster(t *testing.T, names string, configure func(*Options), f func(c *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &testCluster{
			t:          t,
			network:    newMemoryNetwork(),
			dir:        t.TempDir(),
			nodes:      map[string]*Node{},
			registers:  map[string]*register{},
			leadership: map[string]string{},
			configure:  configure,
		}
		defer c.stopAll()
		c.start(names, names)
		f(c)
	})
}

func addresses(names string) map[string]string {
	out := map[string]string{}
	for n := range strings.FieldsSeq(names) {
		out[n] = n + ":1"
	}
	return out
}

// start starts the named voters; all lists the voters in their options.
func (c *testCluster) start(names, all string) {
	c.t.Helper()
	for name := range strings.FieldsSeq(names) {
		r := &register{}
		o := r.options(Options{
			Name:     name,
			Cluster:  "test",
			Dir:      filepath.Join(c.dir, name),
			Listen:   name + ":1",
			Listener: c.network.listen(name + ":1"),
			Dial:     c.network.dial(name),
			Voters:   addresses(all),
			Tick:     tick,
			HandleRequest: func(from string, payload []byte, respond func([]byte)) {
				respond([]byte(name + " to " + from + ": " + string(payload)))
			},
			LeadershipChanged: func(term uint64, leads bool) { c.recordLeadership(name, term, leads) },
		})
		if c.configure != nil {
			c.configure(&o)
		}
		n, err := New(o)
		if err != nil {
			c.t.Fatal(err)
		}
		c.nodes[name], c.registers[name] = n, r
	}
}

func (c *testCluster) recordLeadership(name string, term uint64, leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sign := "-"
	if leads {
		sign = "+"
	}
	c.leadership[name] += fmt.Sprintf("%s%d ", sign, term)
}

func (c *testCluster) stopAll() {
	for name := range c.nodes {
		c.stop(name)
	}
}

func (c *testCluster) stop(names string) {
	for name := range strings.FieldsSeq(names) {
		if n := c.nodes[name]; n != nil {
			n.Close()
			delete(c.nodes, name)
		}
	}
}

// waitFor waits at most 60 s, in the bubble's time, until ok returns true.
func (c *testCluster) waitFor(condition string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(tick / 2) {
		if time.Now().After(end) {
			for name, n := range c.nodes {
				c.t.Logf("%s: %+v", name, n.Status())
			}
			c.t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

// waitForLeader waits until one of the named voters leads and all of them know it.
func (c *testCluster) waitForLeader(names string) *Node {
	c.t.Helper()
	var found *Node
	c.waitFor("a leader of "+names, func() bool {
		found = nil
		for name := range strings.FieldsSeq(names) {
			if n := c.nodes[name]; n.Status().IsLeader {
				found = n
			}
		}
		return found != nil && !slices.ContainsFunc(strings.Fields(names), func(name string) bool {
			l, _, _ := c.nodes[name].Leader()
			return l != found.options.Name
		})
	})
	return found
}

func (c *testCluster) context() context.Context {
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	c.t.Cleanup(cancel)
	return ctx
}

func (c *testCluster) propose(n *Node, value string) {
	c.t.Helper()
	if err := n.Propose(c.context(), []byte(value)); err != nil {
		c.t.Fatalf("proposal by %s of %s: got %v, want no error", n.options.Name, value, err)
	}
}

// waitForValue waits until all named voters have the value.
func (c *testCluster) waitForValue(names, value string) {
	c.t.Helper()
	c.waitFor(names+" to have the value "+value, func() bool {
		return !slices.ContainsFunc(strings.Fields(names), func(name string) bool { return c.registers[name].get() != value })
	})
}

// without returns the names except one.
func without(names, excluded string) string {
	return strings.Join(slices.DeleteFunc(strings.Fields(names), func(s string) bool { return s == excluded }), " ")
}

// runAndWait runs f on the loop's goroutine and waits for its end.
func (n *Node) runAndWait(f func()) {
	done := make(chan struct{})
	n.calls <- func() { f(); close(done) }
	<-done
}

// failCommits makes commits of a node's file fail with err after their changes are
// made, until restore is called.
func (n *Node) failCommits(err error) (restore func()) {
	f := n.loop.storage.file
	commit := f.Commit
	n.runAndWait(func() {
		f.Commit = func(change func(*bbolt.Tx) error) error {
			return commit(func(tx *bbolt.Tx) error { return errors.Join(change(tx), err) })
		}
	})
	return func() { n.runAndWait(func() { f.Commit = commit }) }
}

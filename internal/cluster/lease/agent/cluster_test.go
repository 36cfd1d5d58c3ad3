package agent

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
)

var testSettings = lease.Settings{
	LeaseSeconds:         0.8,
	RenewIntervalSeconds: 0.2,
	NetworkDelaySeconds:  0.02,
	ClockDrift:           0.01,
	PollIntervalSeconds:  0.05,
}

// node is an agent with an event loop that applies every change immediately.
type node struct {
	*Agent
	options   Options
	wake      chan struct{}
	stopLoop  chan struct{}
	loopDone  chan struct{}
	loopTable atomic.Pointer[config.Table] // the table that the loop applied last
}

// runningNodes has all started nodes. waitFor logs the status of those of its test when it fails.
var runningNodes sync.Map

func startNode(t testing.TB, o Options, incarnation uint64) *node {
	t.Helper()
	n := &node{
		options:  o,
		wake:     make(chan struct{}, 1),
		stopLoop: make(chan struct{}),
		loopDone: make(chan struct{}),
	}
	o.Incarnation = incarnation
	o.OnChange = func() {
		select {
		case n.wake <- struct{}{}:
		default:
		}
	}
	var err error
	if n.Agent, err = New(o); err != nil {
		t.Fatal(err)
	}
	runningNodes.Store(t.Name()+o.Name, n)
	go n.runLoop()
	return n
}

func (n *node) runLoop() {
	defer close(n.loopDone)
	poll := time.NewTicker(secondsToDuration(n.LeaseSettings.PollIntervalSeconds))
	defer poll.Stop()
	var applied *config.Table
	for {
		if table := n.EffectiveConfig(time.Now()); table != applied {
			applied = table
			n.loopTable.Store(table)
			n.Acknowledge(table)
		}
		select {
		case <-n.stopLoop:
			return
		case <-n.wake:
		case <-poll.C:
		}
	}
}

func (n *node) stop() {
	close(n.stopLoop)
	<-n.loopDone
	n.Close()
}

// usedPorts has the ports that freeAddress has returned.
var usedPorts struct {
	sync.Mutex
	ports map[int]bool
}

// freeAddress returns an unused address. Its port is outside the range of
// ephemeral ports, so that it is still free when a node restarts.
func freeAddress(t testing.TB) string {
	t.Helper()
	usedPorts.Lock()
	defer usedPorts.Unlock()
	if usedPorts.ports == nil {
		usedPorts.ports = map[int]bool{}
	}
	for range 200 {
		port := 10000 + rand.IntN(22000)
		if usedPorts.ports[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue
		}
		listener.Close()
		usedPorts.ports[port] = true
		return listener.Addr().String()
	}
	t.Fatal("no port is free")
	return ""
}

// newCluster returns nodes that are not started, of three voters and two followers.
func newCluster(t testing.TB) []*node {
	t.Helper()
	return newClusterOf(t, 5, 3)
}

// newClusterOf returns nodes that are not started, of which the first voterCount are voters.
func newClusterOf(t testing.TB, instances, voterCount int) []*node {
	t.Helper()
	voters := map[string]string{}
	for i := range voterCount {
		voters[fmt.Sprint("n", i)] = freeAddress(t)
	}
	dir := t.TempDir()
	var nodes []*node
	for i := range instances {
		name := fmt.Sprint("n", i)
		o := Options{
			Name:          name,
			Cluster:       "test",
			StateDir:      filepath.Join(dir, name),
			ListenAddress: voters[name],
			Voters:        voters,
			LeaseSettings: testSettings,
			JournalPath:   filepath.Join(dir, name+".journal"),
			Log:           zerolog.Nop(),
			Now:           time.Now,
		}
		if o.ListenAddress == "" {
			o.ListenAddress = "127.0.0.1:0"
		}
		nodes = append(nodes, &node{options: o})
	}
	return nodes
}

// waitFor polls a condition and fails the test if it does not hold within 20 s.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			runningNodes.Range(func(name, n any) bool {
				if strings.HasPrefix(name.(string), t.Name()) {
					t.Logf("%+v", n.(*node).Status())
				}
				return true
			})
			t.Fatalf("timeout after 20 s, waited for: %s", what)
		}
	}
}

// reservationProposal proposes a table with one reservation, based on version base.
func reservationProposal(base uint64, reservation float64) Proposal {
	return func(history []*config.Table, by string) (*config.Table, error) {
		newest := history[len(history)-1]
		t := *newest
		t.Tenants = []config.Tenant{{Name: "a", Reservation: &reservation}}
		if config.Equivalent(&t, newest) {
			return newest, nil
		}
		t.Version = base + 1
		t.BaseVersion = base
		t.ProposedBy = by
		return &t, nil
	}
}

// appliesVersion reports whether the node has a lease of a version that is in force.
func (n *node) appliesVersion(version uint64) bool {
	s := n.Status()
	return s.Leased && s.Version == version && s.Revision.Stage == lease.StageInForce
}

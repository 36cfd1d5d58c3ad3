package gossip

import (
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/gossip/wire"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

func TestMain(m *testing.M) {
	// memberlist's goroutines for delayed gossip end by themselves some time after Shutdown.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("time.Sleep"))
}

func testTenants() []quota.Tenant {
	return []quota.Tenant{{Name: "a", ID: usage.TenantID("a", 20, 1), Quota: 20}, {Name: "b", ID: usage.TenantID("b", 10, 1), Quota: 10}}
}

// logRecorder records log output.
type logRecorder struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logRecorder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logRecorder) count(words string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), words)
}

var lastIncarnation uint64

func start(t *testing.T, name string, join []string, more func(*Options)) (*Node, *logRecorder) {
	t.Helper()
	log := &logRecorder{}
	lastIncarnation++
	o := Options{Name: name, Listen: "127.0.0.1:0", Join: join, Cluster: "test", Incarnation: lastIncarnation, ExchangeEnabled: true, Tenants: testTenants(),
		Settings: quota.Settings{Period: 0.05, LeaseDuration: 1.5, RetainedFraction: 0.02, ExpectedInstances: 2},
		Log:      zerolog.New(log), Now: time.Now, OnQuotaUpdate: func([]balance.QuotaUpdate) {}}
	if more != nil {
		more(&o)
	}
	n, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n, log
}

// until waits for a condition that depends on network traffic.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition did not hold within 15 s: %s", what)
		}
	}
}

func drops(n *Node, reason string) func() bool {
	return func() bool { return n.Status().Drops[reason] > 0 }
}

func startedSlots(n *Node, tenant string) float64 {
	for _, t := range n.Status().Tenants {
		if t.Name == tenant {
			return t.Started
		}
	}
	return -1
}

// allotments records the latest quota update of each tenant that a node passed on.
type allotments struct {
	mu      sync.Mutex
	updates map[string]balance.QuotaUpdate
}

func (a *allotments) record(updates []balance.QuotaUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.updates == nil {
		a.updates = map[string]balance.QuotaUpdate{}
	}
	for _, u := range updates {
		a.updates[u.Tenant] = u
	}
}

func (a *allotments) of(tenant string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.updates[tenant].Allotment
}

// generateLoad starts jobs of tenant a until the returned function is called.
func generateLoad(n *Node) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
				n.RecordArrival("a")
				n.RecordStart("a", 1)
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

// reserveAddress returns an address whose port is free.
func reserveAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Two instances find each other although one configured address is wrong and the other
// instance starts later. They exchange counts and loans until one of them leaves.
func TestTwoInstancesExchange(t *testing.T) {
	later := reserveAddress(t)
	var notified allotments
	a, log := start(t, "a", []string{"127.0.0.1:1", later}, func(o *Options) { o.OnQuotaUpdate = notified.record })
	until(t, "a, still alone, may use its part, which is one half", func() bool { return notified.of("a") == 0.5 })
	b, _ := start(t, "b", nil, func(o *Options) { o.Listen = later })
	until(t, "both instances own a part", func() bool {
		return b.Status().Joined && len(a.Status().Peers) == 1 && a.Status().Peers[0].Acknowledges
	})
	stop := generateLoad(a)
	until(t, "a, which gets all jobs, may use nearly all of the quota", func() bool { return notified.of("a") > 0.95 })
	stop()
	a.RecordRefund("a", 1)
	// Compares starts and refunds, not their difference: if b has not received the last start
	// and the refund yet, the difference is the same.
	until(t, "b knows the starts and the refund of a", func() bool {
		m, _ := a.exchange.Usage.Snapshot().Instance("a").Incarnation(a.Incarnation)
		got := b.Usage()["a"]
		return len(m) == 1 && m[0].Refunded == 1000 && got.Started == m[0].Started && got.Refunded == 1000
	})
	b.Leave()
	until(t, "b has announced its leave", func() bool { return len(a.Status().Peers) == 0 })
	b.Close()
	until(t, "membership has removed b", func() bool { return log.count("an instance left") == 1 })
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	if log.count("is unreachable") > 0 || len(a.directory.addresses) > 0 || len(a.directory.leaving) > 0 {
		t.Errorf("a leave was treated as a failure: addresses %v", a.directory.addresses)
	}
}

// Messages that are invalid, or not of a member of this cluster, are dropped, counted by reason
// and logged once.
func TestForeignMessages(t *testing.T) {
	key := func(b byte) [][]byte { return [][]byte{[]byte(strings.Repeat(string(rune('a'+b)), 16))} }
	a, log := start(t, "a", nil, func(o *Options) { o.Keys = key(0) })
	start(t, "k", []string{a.Addr()}, func(o *Options) { o.Keys = key(1) })
	start(t, "c", []string{a.Addr()}, func(o *Options) { o.Keys, o.Cluster = key(0), "other" })
	until(t, "the wrong key is counted", drops(a, "wrong key"))
	until(t, "the other cluster is counted", drops(a, wire.ErrWrongCluster.Error()))
	until(t, "the wrong key is logged", func() bool { return log.count("wrong key") > 0 }) // counting precedes logging
	if n := log.count("wrong key"); n != 1 {
		t.Errorf("wrong key logged %d times, want once", n)
	}
	for reason, raw := range map[string][]byte{
		wire.ErrCorrupt.Error():      {1, 2, 3},
		wire.ErrWrongCluster.Error(): wire.EncodeMessage(wire.ClusterDigest("other"), &quota.Message{Header: quota.Header{From: "x", To: "a", Incarnation: 1, Seq: 1}}),
		wire.ErrTooLarge.Error():     make([]byte, wire.MaxMessageBytes+1),
		string(quota.UnknownMember):  wire.EncodeMessage(wire.ClusterDigest("test"), &quota.Message{Header: quota.Header{From: "x", To: "a", Incarnation: 1, Seq: 1}}),
		string(quota.DuplicateName):  wire.EncodeMessage(wire.ClusterDigest("test"), &quota.Message{Header: quota.Header{From: "a", To: "a", Incarnation: 1, Seq: 1}}),
	} {
		delegate{a}.NotifyMsg(raw)
		until(t, reason, drops(a, reason))
	}
	if len(a.Status().Peers) != 0 {
		t.Errorf("got peers %v, want none", a.Status().Peers)
	}
}

// Messages that don't fit the inbox are dropped and counted, and the caller is not blocked.
func TestFloodOfMessages(t *testing.T) {
	a, _ := start(t, "a", nil, nil)
	raw := wire.EncodeMessage(wire.ClusterDigest("test"), &quota.Message{Header: quota.Header{From: "x", To: "a", Incarnation: 1, Seq: 1}})
	for range 100 * inboxCapacity {
		delegate{a}.NotifyMsg(raw)
	}
	until(t, "dropped messages are counted", drops(a, "inbox full"))
}

// Keys are rotated in a running cluster: first all instances accept the new key, then they
// encrypt with it, then the old key is removed. Counts arrive in each step.
func TestKeysRotate(t *testing.T) {
	old, fresh := []byte(strings.Repeat("o", 32)), []byte(strings.Repeat("n", 32))
	with := func(o *Options) { o.Keys = [][]byte{old} }
	a, _ := start(t, "a", nil, with)
	b, log := start(t, "b", []string{a.Addr()}, with)
	until(t, "both have joined", func() bool { return b.Status().Joined && a.Status().Joined && len(a.Status().Peers) == 1 })
	for step, keys := range [][][]byte{{old, fresh}, {fresh, old}, {fresh}} {
		for _, n := range []*Node{a, b} {
			if err := n.RotateKeys(keys); err != nil {
				t.Fatal(err)
			}
		}
		a.RecordStart("a", 1)
		until(t, fmt.Sprintf("step %d: b counts", step), func() bool { return startedSlots(b, "a") == float64(step+1) })
	}
	if log.count("wrong key") > 0 || log.count(base64.StdEncoding.EncodeToString(fresh)) > 0 || log.count(string(fresh)) > 0 {
		t.Error("the log mentions a wrong key or contains the new key")
	}
	if err := a.RotateKeys(nil); err == nil {
		t.Error("encryption was switched off without an error")
	}
}

// Two instances use the same name: a third one detects the conflict and logs the addresses of
// both.
func TestDuplicateName(t *testing.T) {
	c, log := start(t, "c", nil, func(o *Options) { o.Settings.ExpectedInstances = 3 })
	start(t, "twin", []string{c.Addr()}, nil)
	until(t, "the first instance is present", func() bool { return len(c.Status().Peers) == 1 })
	second, _ := start(t, "twin", []string{c.Addr()}, nil)
	until(t, "the conflict is counted", drops(c, "two instances under one name"))
	if log.count("two instances use one name") != 1 || log.count("127.0.0.1") < 2 {
		t.Error("the conflict is not logged once with both addresses")
	}
	_ = second
}

func TestBadAddresses(t *testing.T) {
	for _, listen := range []string{"nowhere", "127.0.0.1:x", "203.0.113.1:1"} {
		if _, err := New(Options{Name: "a", Listen: listen, Now: time.Now, Log: zerolog.Nop()}); err == nil {
			t.Errorf("listen %s: got no error", listen)
		}
	}
	if _, err := New(Options{Name: "a", Listen: "127.0.0.1:0", Advertise: "x", Now: time.Now, Log: zerolog.Nop()}); err == nil {
		t.Error("advertise x: got no error")
	}
}

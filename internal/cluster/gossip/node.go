package gossip

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/gossip/wire"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/logging"
)

const (
	inboxCapacity = 1024
	logInterval   = time.Minute
	leaveTimeout  = 300 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Name            string
	Listen          string // host:port, for UDP and TCP; port 0: any free port
	Advertise       string // the address at which others reach it; empty: the address of Listen
	Join            []string
	Keys            [][]byte // the first key encrypts, all decrypt; empty: no encryption
	Cluster         string
	Incarnation     uint64 // increases with each start of the instance
	Settings        quota.Settings
	Tenants         []quota.Tenant
	ExchangeEnabled bool // false: only membership
	Log             zerolog.Logger
	Now             func() time.Time // must be monotonic
	OnQuotaUpdate   func([]balance.QuotaUpdate)
}

// Node is this instance as a member of the cluster. Make one with New.
type Node struct {
	Options
	members         *memberlist.Memberlist
	keyring         *memberlist.Keyring
	clusterDigest   uint64
	exchange        *quota.Exchange
	tenantsByID     map[uint64]quota.Tenant
	startedAt       time.Time
	logLimiter      *logging.Limited
	inbox           chan inboxEntry
	lifecycle       lifecycle
	directory       directory
	drops           dropCounts
	status          atomic.Pointer[Status]
	hashedOwnership atomic.Bool // as of the last round
	quota           notifiedQuota
}

// lifecycle holds what is needed to stop the goroutines.
type lifecycle struct {
	done       chan struct{}
	goroutines sync.WaitGroup
	closeOnce  sync.Once
	joining    atomic.Bool // an attempt to join missing members is running
}

// notifiedQuota holds the allotments of which the dispatcher was notified. Only the node's
// goroutine uses it.
type notifiedQuota struct {
	allotments []uint32 // as of the last round
	notified   []uint32 // as last passed to the dispatcher; nil: not notified yet
}

// New starts membership and the exchange. It returns an error if it can't listen on the
// address or if the options are invalid. Addresses in Join may be wrong or not reachable yet:
// joining is retried until Close.
func New(o Options) (*Node, error) {
	n := &Node{
		Options:       o,
		clusterDigest: wire.ClusterDigest(o.Cluster),
		exchange:      quota.NewExchange(o.Settings, o.Name, o.Incarnation, o.Tenants, 0),
		tenantsByID:   make(map[uint64]quota.Tenant, len(o.Tenants)),
		startedAt:     o.Now(),
		logLimiter:    logging.NewLimited(logInterval, o.Now),
		inbox:         make(chan inboxEntry, inboxCapacity),
		lifecycle:     lifecycle{done: make(chan struct{})},
		directory:     newDirectory(),
		drops:         dropCounts{byReason: map[string]uint64{}},
	}
	for _, t := range o.Tenants {
		n.tenantsByID[t.ID] = t
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.status.Store(&Status{Name: o.Name, Cluster: o.Cluster, Listen: n.Addr()})
	n.lifecycle.goroutines.Add(1)
	go n.run()
	return n, nil
}

// Addr returns the address, as host:port, at which peers reach the instance.
func (n *Node) Addr() string { return n.members.LocalNode().Address() }

// RecordArrival counts the arrival of a job; see usage.Meter.
func (n *Node) RecordArrival(tenant string) { n.exchange.Meter.RecordArrival(tenant) }

// RecordStart counts a job that was sent to a worker.
func (n *Node) RecordStart(tenant string, slots float64) { n.exchange.Meter.RecordStart(tenant, slots) }

// RecordRefund counts the refund of a job that was sent to a worker but never ran.
func (n *Node) RecordRefund(tenant string, slots float64) {
	n.exchange.Meter.RecordRefund(tenant, slots)
}

// elapsedSeconds returns the time on the exchange's clock, in seconds since New.
func (n *Node) elapsedSeconds() float64 { return n.Now().Sub(n.startedAt).Seconds() }

// Leave announces that this instance leaves the cluster. From then on the instance starts
// further jobs by weight only, and the others may use its part of the reservations.
func (n *Node) Leave() { n.enqueue(leaveRequest{}) }

// Close ends membership and stops the goroutines. It waits at most leaveTimeout for other
// members to learn of it.
func (n *Node) Close() {
	n.lifecycle.closeOnce.Do(func() {
		close(n.lifecycle.done)
		n.lifecycle.goroutines.Wait()
		// If either call fails, the other members detect the failure by themselves.
		_ = n.members.Leave(leaveTimeout)
		_ = n.members.Shutdown()
	})
}

// RotateKeys replaces the keys: it adds the new keys for decryption, then encrypts with the
// first one, then removes the keys that are not in the list. No message is lost if every
// instance accepts a key before any instance encrypts with it. RotateKeys returns an error for
// an invalid key, and if it would switch encryption on or off.
func (n *Node) RotateKeys(keys [][]byte) error {
	if n.keyring == nil || len(keys) == 0 {
		if (n.keyring == nil) != (len(keys) == 0) {
			return fmt.Errorf("peers: encryption can't be switched on or off at run time: restart all instances")
		}
		return nil
	}
	for _, key := range keys {
		if err := n.keyring.AddKey(key); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	if err := n.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return n.removeKeysExcept(keys)
}

func (n *Node) removeKeysExcept(keys [][]byte) error {
	wanted := make(map[string]bool, len(keys))
	for _, key := range keys {
		wanted[string(key)] = true
	}
	for _, key := range n.keyring.GetKeys() {
		if wanted[string(key)] {
			continue
		}
		if err := n.keyring.RemoveKey(key); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	return nil
}

// dropCounts counts dropped messages by reason.
type dropCounts struct {
	mu       sync.Mutex
	byReason map[string]uint64
}

func (d *dropCounts) add(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byReason[reason]++
}

// addTo adds the counts to total.
func (d *dropCounts) addTo(total map[string]uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for reason, count := range d.byReason {
		total[reason] += count
	}
}

// drop counts a dropped message, and logs it at most once a minute for each reason.
func (n *Node) drop(reason, detail string) {
	n.drops.add(reason)
	n.logLimiter.Do(reason, func(suppressed int) {
		event := n.Log.Warn().Str("reason", reason)
		if suppressed > 0 {
			event = event.Int("held_back", suppressed)
		}
		event.Str("detail", detail).Msg("peers: dropped a message")
	})
}

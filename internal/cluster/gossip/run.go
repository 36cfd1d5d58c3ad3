package gossip

import (
	"errors"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/gossip/wire"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

const rejoinInterval = 500 * time.Millisecond // between attempts to reach missing members

// inboxEntry is an event or request that the node's goroutine handles.
type inboxEntry interface{ handle(n *Node) }

type (
	receivedBytes struct{ payload []byte }
	memberLeft    struct{ name string }
	leaveRequest  struct{}
	usageRequest  struct{ response chan<- UsageReport }
)

// UsageReport holds, by tenant name, the sum of the usage counts of all instances, as far as they are known here.
type UsageReport map[string]usage.Count

// enqueue puts an entry into the inbox. If the inbox is full, the entry is dropped and counted.
func (n *Node) enqueue(e inboxEntry) {
	select {
	case n.inbox <- e:
	default:
		n.drop("inbox full", "")
	}
}

// run is the body of the goroutine that owns the exchange.
func (n *Node) run() {
	defer n.lifecycle.goroutines.Done()
	period := time.Duration(n.Settings.Period * float64(time.Second))
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	untilRejoin := time.Duration(0)
	for {
		select {
		case <-n.lifecycle.done:
			return
		case e := <-n.inbox:
			e.handle(n)
		case <-ticker.C:
			n.round()
			untilRejoin -= period
			if untilRejoin <= 0 {
				untilRejoin = rejoinInterval
				n.rejoinMissing()
			}
		}
	}
}

func (r receivedBytes) handle(n *Node) {
	m, instances, err := wire.Decode(n.clusterDigest, r.payload)
	if err != nil {
		n.drop(dropReason(err), err.Error())
		return
	}
	if m != nil {
		n.receive(m)
	}
	if instances != nil && !n.exchange.Allocator.HashedOwnership() {
		n.exchange.MergeAll(n.elapsedSeconds(), instances)
	}
}

// receive processes a message of the exchange.
func (n *Node) receive(m *quota.Message) {
	n.countReceived()
	if m.Leaving {
		n.directory.markLeaving(m.From)
	}
	err := n.exchange.Receive(n.elapsedSeconds(), m)
	if err != nil && !errors.Is(err, quota.ErrOutOfOrder) { // datagrams may arrive out of order
		n.logLimiter.Do("receive", func(int) { n.Log.Warn().Msgf("peers: %v", err) })
	}
}

func (m memberLeft) handle(n *Node) { n.exchange.Allocator.MemberLeft(n.elapsedSeconds(), m.name) }

func (leaveRequest) handle(n *Node) {
	n.exchange.Allocator.Leave()
	n.round()
}

func (r usageRequest) handle(n *Node) { r.response <- n.usageReport() }

// dropReason returns the name of the drop counter for an error of wire.Decode. The full error text
// is no counter name: it depends on the content of messages, so the number of names would be unbounded.
func dropReason(err error) string {
	for _, known := range []error{wire.ErrWrongCluster, wire.ErrUnsupportedVersion, wire.ErrTooLarge} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return wire.ErrCorrupt.Error()
}

// round runs one round of the exchange: it sends messages, notifies the dispatcher of quota
// changes and publishes the status.
func (n *Node) round() {
	now := n.elapsedSeconds()
	n.exchange.Allocator.UpdateMembers(now, n.directory.members())
	messages := n.exchange.Round(now)
	n.hashedOwnership.Store(n.exchange.Allocator.HashedOwnership())
	s := *n.status.Load()
	if n.ExchangeEnabled {
		n.notifyQuota(now)
		for _, m := range messages {
			n.send(m, &s)
		}
	}
	n.publishStatus(now, s)
}

// send sends a message and counts it in s. A message to an unknown member is not sent.
func (n *Node) send(m *quota.Message, s *Status) {
	to, known := n.directory.address(m.To)
	if !known {
		return
	}
	payload := wire.EncodeMessage(n.clusterDigest, m)
	s.Sent++
	s.SentBytes += uint64(len(payload))
	if err := n.members.SendToAddress(to, payload); err != nil {
		n.logLimiter.Do("send", func(int) { n.Log.Warn().Err(err).Str("to", m.To).Msg("peers: message not sent") })
	}
}

// notifyQuota notifies the dispatcher of allotments that changed and of new usage by other instances.
func (n *Node) notifyQuota(now float64) {
	state := n.exchange.Usage.Snapshot()
	q := &n.quota
	q.allotments = n.exchange.Allocator.Allotments(now, q.allotments)
	remote := n.exchange.Allocator.RemoteUsage(now, state)
	first := q.notified == nil
	if first {
		q.notified = make([]uint32, len(q.allotments))
	}
	var updates []balance.QuotaUpdate
	for i, id := range n.exchange.Meter.TenantIDs() {
		if !first && q.allotments[i] == q.notified[i] && remote[i] == 0 {
			continue
		}
		q.notified[i] = q.allotments[i]
		updates = append(updates, balance.QuotaUpdate{
			Tenant:      n.tenantsByID[id].Name,
			Allotment:   float64(q.allotments[i]) / quota.FullReservation,
			RemoteUsage: remote[i],
		})
	}
	if len(updates) > 0 {
		n.OnQuotaUpdate(updates)
	}
}

// Usage returns the sums of the usage counts of all instances that this instance knows of. It omits
// tenants that this instance neither serves nor owns, and those on which it has received no report
// yet. It returns nil after Close.
func (n *Node) Usage() UsageReport {
	response := make(chan UsageReport, 1)
	select {
	case n.inbox <- usageRequest{response}:
	case <-n.lifecycle.done:
		return nil
	}
	select {
	case report := <-response:
		return report
	case <-n.lifecycle.done:
		return nil
	}
}

func (n *Node) usageReport() UsageReport {
	report := UsageReport{}
	for _, t := range n.Tenants {
		if count, known := n.exchange.KnownUsage(t.ID); known {
			report[t.Name] = count
		}
	}
	return report
}

// rejoinMissing starts an attempt to join instances that are configured, or were present
// earlier, and are not present now. It does nothing while an earlier attempt is running.
func (n *Node) rejoinMissing() {
	missing := n.directory.missing(n.Addr(), n.Join)
	if len(missing) == 0 || !n.lifecycle.joining.CompareAndSwap(false, true) {
		return
	}
	n.lifecycle.goroutines.Add(1)
	go n.join(missing)
}

// join tries to join each address in turn. It blocks on network I/O.
func (n *Node) join(addresses []string) {
	defer n.lifecycle.goroutines.Done()
	defer n.lifecycle.joining.Store(false)
	for _, addr := range addresses {
		select {
		case <-n.lifecycle.done:
			return
		default:
			_, _ = n.members.Join([]string{addr}) // rejoinMissing retries it later if it fails
		}
	}
}

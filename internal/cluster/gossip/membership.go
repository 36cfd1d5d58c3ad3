package gossip

import (
	"log"
	"strings"
	"sync"

	"github.com/hashicorp/memberlist"

	"example.org/bellstream/internal/cluster/gossip/wire"
	"example.org/bellstream/internal/cluster/quota"
)

// directory holds the current members of the cluster and the addresses of earlier ones.
type directory struct {
	mu        sync.Mutex
	addresses map[string]memberlist.Address // of all members ever seen, except those that left
	present   map[string]quota.Member
	leaving   map[string]bool // announced their leave; memberlist doesn't distinguish a leave from a failure
}

func newDirectory() directory {
	return directory{
		addresses: map[string]memberlist.Address{},
		present:   map[string]quota.Member{},
		leaving:   map[string]bool{},
	}
}

// add adds a member that memberlist reports as alive.
func (d *directory) add(m *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses[m.Name] = memberlist.Address{Addr: m.Address(), Name: m.Name}
	d.present[m.Name] = memberFromMeta(m)
	delete(d.leaving, m.Name)
}

// remove removes a member that memberlist no longer reports as alive, and reports whether
// the member had announced its leave.
func (d *directory) remove(name string) (left bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left = d.leaving[name]
	delete(d.leaving, name)
	delete(d.present, name)
	if left {
		delete(d.addresses, name)
	}
	return left
}

// markLeaving records that a member announced its leave.
func (d *directory) markLeaving(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, present := d.present[name]; present {
		d.leaving[name] = true
	}
}

// members returns the members that memberlist reports as alive.
func (d *directory) members() []quota.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]quota.Member, 0, len(d.present))
	for _, m := range d.present {
		list = append(list, m)
	}
	return list
}

func (d *directory) address(name string) (memberlist.Address, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, known := d.addresses[name]
	return a, known
}

// missing returns the addresses of members that are not present now but were earlier, and
// the configured addresses at which no present member is reachable.
func (d *directory) missing(local string, configured []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	reachable := map[string]bool{local: true}
	var missing []string
	for name, a := range d.addresses {
		if _, present := d.present[name]; present {
			reachable[a.Addr] = true
		} else {
			missing = append(missing, a.Addr)
		}
	}
	for _, addr := range configured {
		if !reachable[addr] {
			missing = append(missing, addr)
		}
	}
	return missing
}

// delegate passes memberlist's callbacks on to the exchange. Its methods are called on
// memberlist's goroutines: they must not block, and must not retain the payload.
type delegate struct{ node *Node }

// NodeMeta returns what others need to know about an instance before its first message: a
// byte that shows that it supports hashed ownership, followed by its region. Earlier builds
// return nothing. The result is cut to limit bytes.
func (d delegate) NodeMeta(limit int) []byte {
	if d.node.Settings.Owners <= 0 || !d.node.ExchangeEnabled {
		return nil
	}
	meta := append([]byte{quota.OwnershipBuild}, d.node.Settings.Region...)
	return meta[:min(len(meta), limit)]
}

// memberFromMeta decodes the metadata that NodeMeta of another instance returned.
func memberFromMeta(node *memberlist.Node) quota.Member {
	m := quota.Member{Name: node.Name}
	if len(node.Meta) > 0 {
		m.Build = uint32(node.Meta[0])
		m.Region = string(node.Meta[1:])
	}
	return m
}

// GetBroadcasts implements memberlist.Delegate.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// NotifyMsg implements memberlist.Delegate.
func (d delegate) NotifyMsg(payload []byte) { d.receive(payload, wire.MaxMessageBytes) }

// MergeRemoteState implements memberlist.Delegate.
func (d delegate) MergeRemoteState(payload []byte, _ bool) { d.receive(payload, wire.MaxStateBytes) }

// LocalState implements memberlist.Delegate.
func (d delegate) LocalState(bool) []byte {
	if !d.node.ExchangeEnabled || d.node.hashedOwnership.Load() {
		return nil // with hashed ownership, counts are sent only to instances that need them
	}
	return wire.EncodeState(d.node.clusterDigest, d.node.exchange.Usage.Snapshot())
}

func (d delegate) receive(payload []byte, maxBytes int) {
	if len(payload) == 0 || !d.node.ExchangeEnabled {
		return
	}
	if len(payload) > maxBytes {
		d.node.drop(wire.ErrTooLarge.Error(), "")
		return
	}
	d.node.enqueue(receivedBytes{append([]byte(nil), payload...)})
}

// events receives memberlist's notifications of members that join and leave.
type events struct{ node *Node }

// NotifyJoin implements memberlist.EventDelegate.
func (e events) NotifyJoin(m *memberlist.Node) { e.memberAlive(m) }

// NotifyUpdate implements memberlist.EventDelegate.
func (e events) NotifyUpdate(m *memberlist.Node) { e.memberAlive(m) }

func (e events) memberAlive(m *memberlist.Node) {
	if m.Name == e.node.Name {
		return
	}
	e.node.directory.add(m)
	e.node.Log.Info().Str("peer", m.Name).Str("address", m.Address()).Msg("peers: an instance joined")
}

// NotifyLeave implements memberlist.EventDelegate.
func (e events) NotifyLeave(m *memberlist.Node) {
	if e.node.directory.remove(m.Name) {
		e.node.enqueue(memberLeft{m.Name})
		e.node.Log.Info().Str("peer", m.Name).Msg("peers: an instance left")
		return
	}
	e.node.Log.Warn().Str("peer", m.Name).
		Msg("peers: an instance is unreachable; it keeps its part of the reservations until it is removed")
}

// conflicts receives memberlist's notifications of two instances that use the same name.
type conflicts struct{ node *Node }

// NotifyConflict implements memberlist.ConflictDelegate.
func (c conflicts) NotifyConflict(existing, other *memberlist.Node) {
	c.node.logLimiter.Do("conflict "+existing.Name, func(int) {
		c.node.Log.Error().Str("name", existing.Name).Str("at", existing.Address()).Str("and", other.Address()).
			Msg("peers: two instances use one name: give one of them another (peers.name) and restart it")
	})
	c.node.drops.add("two instances under one name")
}

// newMemberlistLog returns a logger for memberlist's own lines. Lines about dropped packets
// are counted by reason, other warnings and errors are logged at most once a minute, and
// the remaining lines are logged at debug level.
func newMemberlistLog(n *Node) *log.Logger { return log.New(logWriter{n}, "", 0) }

type logWriter struct{ node *Node }

// Write implements io.Writer.
func (l logWriter) Write(line []byte) (int, error) {
	level, text, _ := strings.Cut(strings.TrimSpace(string(line)), "] ")
	containsAny := func(words ...string) bool {
		for _, word := range words {
			if strings.Contains(strings.ToLower(text), word) {
				return true
			}
		}
		return false
	}
	switch {
	case containsAny("label"):
		l.node.drop(wire.ErrWrongCluster.Error(), "")
	case containsAny("decrypt", "encrypt"):
		l.node.drop("wrong key", "")
	case containsAny("conflicting address", "failed to send", "failed to join"):
	case level == "[ERR" || level == "[WARN":
		l.node.logLimiter.Do("membership", func(suppressed int) {
			l.node.Log.Warn().Int("held_back", suppressed).Msg("peers: " + text)
		})
	default:
		l.node.Log.Debug().Msg("peers: " + text)
	}
	return len(line), nil
}

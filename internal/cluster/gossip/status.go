package gossip

import (
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

// boundsWindowSeconds is the length of the window for which Status.Bounds is computed.
const boundsWindowSeconds = 10

// Status is the state of a Node as the admin interface shows it.
type Status struct {
	Name            string             `json:"name"`
	Cluster         string             `json:"cluster"`
	Listen          string             `json:"listen"`
	Incarnation     uint64             `json:"incarnation"`
	Joined          bool               `json:"joined"`
	HashedOwnership bool               `json:"homed"` // each reservation is owned by a few instances, not by all
	OwnedTenants    int                `json:"owns"`  // tenants of whose reservations this instance owns a part
	Size            int                `json:"size"`
	Peers           []quota.PeerStatus `json:"peers"`
	Tenants         []TenantStatus     `json:"tenants"`
	Drops           map[string]uint64  `json:"drops"`
	Bounds          quota.Bounds       `json:"stated"`
	Sent            uint64             `json:"sent"`
	SentBytes       uint64             `json:"sent_bytes"`
	Received        uint64             `json:"heard"`
}

// TenantStatus is one tenant's quota and usage.
type TenantStatus struct {
	Name        string  `json:"name"`
	Quota       float64 `json:"quota_per_s"`
	Allotment   float64 `json:"slice"` // fraction of the reservation that this instance may use now
	Started     float64 `json:"net"`   // slots started by all instances, as far as this one knows
	StartedHere float64 `json:"mine"`  // slots started by this instance since its start
}

// Status returns the latest status. The caller must not modify it.
func (n *Node) Status() *Status { return n.status.Load() }

// countReceived counts a received message in the status.
func (n *Node) countReceived() {
	s := *n.status.Load()
	s.Received++
	n.status.Store(&s)
}

// publishStatus fills in the status s of a round and publishes it.
func (n *Node) publishStatus(now float64, s Status) {
	allocator := n.exchange.Allocator
	s.Incarnation = n.exchange.Usage.Incarnation()
	s.Joined = allocator.Joined()
	s.Size = allocator.ClusterSize(now)
	s.HashedOwnership = allocator.HashedOwnership()
	s.OwnedTenants, _ = allocator.OwnedTenants()
	s.Peers = allocator.Peers(now)
	s.Tenants = n.tenantStatuses()
	s.Bounds = n.Settings.Bounds(s.Size, n.smallestQuota(), boundsWindowSeconds)
	s.Drops = n.dropStatus()
	n.status.Store(&s)
}

func (n *Node) tenantStatuses() []TenantStatus {
	state := n.exchange.Usage.Snapshot()
	own, _ := state.Instance(n.Name).Incarnation(n.exchange.Usage.Incarnation())
	var list []TenantStatus
	for i, id := range n.exchange.Meter.TenantIDs() {
		t := n.tenantsByID[id]
		status := TenantStatus{
			Name:        t.Name,
			Quota:       t.Quota,
			StartedHere: slots(own.At(id)),
		}
		if count, known := n.exchange.Allocator.KnownUsage(i, state); known {
			status.Started = slots(count)
		}
		if i < len(n.quota.allotments) {
			status.Allotment = float64(n.quota.allotments[i]) / quota.FullReservation
		}
		list = append(list, status)
	}
	return list
}

func slots(c usage.Count) float64 { return float64(c.Net()) / usage.MillislotsPerSlot }

// smallestQuota returns the smallest reservation, or 0 if there is none. The smallest
// reservation has the largest relative error.
func (n *Node) smallestQuota() float64 {
	smallest := 0.0
	for _, t := range n.tenantsByID {
		if t.Quota > 0 && (smallest == 0 || t.Quota < smallest) {
			smallest = t.Quota
		}
	}
	return smallest
}

func (n *Node) dropStatus() map[string]uint64 {
	drops := map[string]uint64{}
	n.drops.addTo(drops)
	for reason, count := range n.exchange.Allocator.Drops() {
		drops[string(reason)] += count
	}
	return drops
}

package usage

import (
	"cmp"
	"slices"
	"sync/atomic"
)

// Meter counts the jobs that this process receives and starts. Only one goroutine may call the Record methods; any may
// read the counts.
type Meter struct {
	index     map[string]int
	tenantIDs []uint64 // ascending
	counters  []counters
}

// counters are the counters of one tenant.
type counters struct {
	started  atomic.Uint64 // thousandths of a slot
	refunded atomic.Uint64 // thousandths of a slot
	arrived  atomic.Uint64 // jobs
}

// Tenant is a tenant that a [Meter] counts.
type Tenant struct {
	Name string
	ID   uint64
}

// NewMeter makes a meter for a table of tenants. Jobs of other tenants are not counted.
func NewMeter(tenants []Tenant) *Meter {
	sorted := slices.Clone(tenants)
	slices.SortFunc(sorted, func(a, b Tenant) int { return cmp.Compare(a.ID, b.ID) })
	m := &Meter{
		index:    make(map[string]int, len(sorted)),
		counters: make([]counters, len(sorted)),
	}
	for i, t := range sorted {
		m.index[t.Name] = i
		m.tenantIDs = append(m.tenantIDs, t.ID)
	}
	return m
}

// RecordArrival counts a job that arrived, whether or not it is started later.
func (m *Meter) RecordArrival(tenant string) {
	if i, ok := m.index[tenant]; ok {
		m.counters[i].arrived.Add(1)
	}
}

// RecordStart counts a job that was sent to a worker, with its size in slots.
func (m *Meter) RecordStart(tenant string, slots float64) {
	if i, ok := m.index[tenant]; ok {
		m.counters[i].started.Add(Millislots(slots))
	}
}

// RecordRefund subtracts a started job that is proven never to have run, with its size in slots.
func (m *Meter) RecordRefund(tenant string, slots float64) {
	if i, ok := m.index[tenant]; ok {
		m.counters[i].refunded.Add(Millislots(slots))
	}
}

// Counts returns the counts so far. It reads a tenant's refunds before its starts, so that
// it never returns more refunded than started.
func (m *Meter) Counts() Counts {
	counts := make(Counts, 0, len(m.counters))
	for i := range m.counters {
		refunded := m.counters[i].refunded.Load()
		if started := m.counters[i].started.Load(); started > 0 {
			counts = append(counts, TenantCount{
				Tenant: m.tenantIDs[i],
				Count:  Count{Started: started, Refunded: refunded},
			})
		}
	}
	return counts
}

// Arrivals returns the number of jobs of each tenant that have arrived so far, by ascending id. It overwrites buf.
func (m *Meter) Arrivals(buf []uint64) []uint64 {
	buf = buf[:0]
	for i := range m.counters {
		buf = append(buf, m.counters[i].arrived.Load())
	}
	return buf
}

// TenantIDs returns the ids of the table's tenants in ascending order. The caller must not change the slice.
func (m *Meter) TenantIDs() []uint64 { return m.tenantIDs }

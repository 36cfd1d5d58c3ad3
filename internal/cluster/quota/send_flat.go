package quota

import (
	"math"
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// flatMessages returns full messages with all demands and grants, and the pending counts. It is used
// with flat ownership only.
func (a *Allocator) flatMessages(now float64, p *peer, local usage.Counts) []Message {
	if p.pending.fullState {
		p.pending.fullState = false
		for _, count := range local {
			p.pending.counts.add(count.Tenant)
		}
	}
	grants := a.flatGrants(now, p)
	var counts usage.Counts
	for tenant := range p.pending.counts {
		if count := local.At(tenant); count != (usage.Count{}) {
			counts = append(counts, usage.TenantCount{Tenant: tenant, Count: count})
		}
	}
	p.pending.clear()
	clear(p.pending.deferred)
	return paginate(a.flatDemands, grants, usage.Normalize(counts))
}

// clear removes all pending content except deferred counts.
func (s *pendingState) clear() {
	clear(s.demands)
	clear(s.grants)
	clear(s.counts)
	clear(s.relays)
}

// paginate divides the content into full messages of about maxMessageEntries, so that each fits a
// datagram.
func paginate(demands, grants []TenantFraction, counts usage.Counts) []Message {
	ids := tenantsOf(demands, grants, counts)
	var messages []Message
	start := uint64(0)
	for {
		end := uint64(math.MaxUint64)
		if len(ids) > maxMessageEntries {
			at := pageEnd(ids)
			if at < len(ids) {
				end = ids[at] - 1
			}
			ids = ids[at:]
		}
		messages = append(messages, Message{
			RangeStart: start,
			RangeEnd:   end,
			Demands:    inRange(demands, start, end),
			Grants:     inRange(grants, start, end),
			Counts:     countsInRange(counts, start, end),
		})
		if end == math.MaxUint64 {
			return messages
		}
		start = end + 1
	}
}

// tenantsOf returns the tenant ids of all entries in ascending order, one id for each entry.
func tenantsOf(demands, grants []TenantFraction, counts usage.Counts) []uint64 {
	var ids []uint64
	for _, demand := range demands {
		ids = append(ids, demand.Tenant)
	}
	for _, grant := range grants {
		ids = append(ids, grant.Tenant)
	}
	for _, count := range counts {
		ids = append(ids, count.Tenant)
	}
	slices.Sort(ids)
	return ids
}

// pageEnd returns the index at which the next page begins. All entries of one tenant are on the same
// page.
func pageEnd(ids []uint64) int {
	at := maxMessageEntries
	for at < len(ids) && ids[at] == ids[at-1] {
		at++
	}
	return at
}

func inRange(fractions []TenantFraction, start, end uint64) []TenantFraction {
	var list []TenantFraction
	for _, f := range fractions {
		if f.Tenant >= start && f.Tenant <= end {
			list = append(list, f)
		}
	}
	return list
}

func countsInRange(counts usage.Counts, start, end uint64) usage.Counts {
	var list usage.Counts
	for _, count := range counts {
		if count.Tenant >= start && count.Tenant <= end {
			list = append(list, count)
		}
	}
	return list
}

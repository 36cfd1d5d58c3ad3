package balance

import (
	"math"
	"slices"
)

// Constants of reservation-based fair queueing.
const (
	// idleCreditSlots is how far a tenant that was idle may be ahead of the others, and how far a tenant
	// may exceed its allotment by chance, in slots.
	idleCreditSlots = 4.0
	quotaOvershoot  = 1.5  // multiple of its quota above which a tenant counts as surplus
	minAllotment    = 1e-6 // fraction of a reservation, above 0 so that tags stay finite
	maxTokenWait    = 600.0

	// minUnknownTenants is the number of unconfigured tenants up to which those without jobs keep their tags.
	minUnknownTenants = 256
)

// tenant is a tenant with its tags and its queue.
type tenant struct {
	name         string
	quota        float64
	weight       float64
	quotaDivisor float64 // 1 / this dispatcher's fraction of the quota
	localTag     float64 // tag of the next job, by reservation
	globalTag    float64 // tag of the next job, by weight
	effectiveTag float64 // localTag, but not before the arrival of the next job
	passRank     float64 // order in the present pass: -1 for a due tag, else derived from the wait for a token
	passTieBreak float64 // order among equal ranks: the effective or the global tag
	candidates   []candidate
	queue        queue
	tokens       float64 // slots that it may send beyond its reservation before they count as surplus
	refilledAt   float64
}

// addTenant adds a tenant whose tags are not set yet.
func (b *Balancer) addTenant(t Tenant) *tenant {
	added := &tenant{
		name:         t.Name,
		quota:        t.Quota,
		weight:       t.Weight,
		quotaDivisor: float64(b.config.Dispatchers),
		localTag:     math.Inf(-1),
		globalTag:    math.Inf(-1),
		tokens:       idleCreditSlots,
	}
	b.tenants = append(b.tenants, added)
	b.tenantsByName[t.Name] = added
	return added
}

// tenantFor returns a tenant by name. It adds an unknown one, without a reservation.
func (b *Balancer) tenantFor(name string) *tenant {
	if t := b.tenantsByName[name]; t != nil {
		return t
	}
	b.forgetIdleTenants()
	return b.addTenant(Tenant{Name: name, Weight: defaultTenantWeight})
}

// forgetIdleTenants removes the tenants without jobs that are not configured, once there are many: clients choose the
// names, and each step visits all tenants.
func (b *Balancer) forgetIdleTenants() {
	if len(b.tenants)-len(b.config.Tenants) < max(minUnknownTenants, 2*b.unknownAfterSweep) {
		return
	}
	kept := map[*tenant]bool{}
	for _, t := range b.config.Tenants {
		kept[b.tenantsByName[t.Name]] = true
	}
	for _, j := range b.jobs {
		kept[j.tenant] = true
	}
	b.tenants = slices.DeleteFunc(b.tenants, func(t *tenant) bool {
		if !kept[t] {
			delete(b.tenantsByName, t.name)
		}
		return !kept[t]
	})
	b.unknownAfterSweep = len(b.tenants) - len(b.config.Tenants)
	clear(b.passBuffer[:cap(b.passBuffer)])
}

// enqueue adds a job to its tenant's queue in the order of arrival. If the tenant was idle, its local tag
// becomes at least now, and its global tag at least now minus the idle credit.
func (b *Balancer) enqueue(j *job) {
	t := j.tenant
	if j.queue != nil {
		return
	}
	if t.queue.count == 0 {
		t.localTag = max(t.localTag, b.now)
		t.globalTag = max(t.globalTag, b.now-idleCreditSlots/t.weight)
	}
	j.enqueuedAt = b.now
	t.queue.add(j)
	b.promised.add(j)
}

func (b *Balancer) dequeue(j *job) {
	if j.queue != nil {
		b.promised.remove(j)
		j.queue.remove(j)
	}
}

// hasQueued reports whether any job is queued.
func (b *Balancer) hasQueued() bool {
	for _, t := range b.tenants {
		if t.queue.count > 0 {
			return true
		}
	}
	return false
}

// rebaseGlobalTags shifts all global tags so that the smallest tag of a tenant with queued jobs equals now.
func (b *Balancer) rebaseGlobalTags() {
	least := math.Inf(1)
	for _, t := range b.tenants {
		if t.queue.count > 0 {
			least = min(least, t.globalTag)
		}
	}
	if math.IsInf(least, 0) {
		return
	}
	for _, t := range b.tenants {
		t.globalTag += b.now - least
	}
}

// localTagSpacing returns the distance between local tags, in seconds, for a number of slots. It is the time
// in which this dispatcher's part of the tenant's reservation, in slots per second, yields these slots.
func (b *Balancer) localTagSpacing(t *tenant, slots float64) float64 {
	rate := t.quota * b.meanSlots.withPrior(1, 1) / t.quotaDivisor
	if rate <= 0 {
		return math.Inf(1)
	}
	return slots / rate
}

// updateQuota applies a new allotment and the usage at other dispatchers.
func (b *Balancer) updateQuota(e QuotaUpdate) {
	t := b.tenantsByName[e.Tenant]
	if t == nil || !(e.Allotment >= 0 && e.Allotment <= 1) {
		return
	}
	if divisor := 1 / max(e.Allotment, minAllotment); divisor != t.quotaDivisor {
		// A tag ahead of now accounts for jobs sent at the old rate. It is rescaled to the new rate.
		t.localTag += max(0, t.localTag-b.now) * (divisor/t.quotaDivisor - 1)
		t.quotaDivisor = divisor
	}
	// As with the paper's piggybacked count, a tenant that is served elsewhere waits here until the other
	// tenants have caught up. Its local tag, which only this dispatcher changes, still grants the allotment.
	t.globalTag += e.RemoteUsage / t.weight
}

// chargeTags advances a tenant's tags for a job that is sent, or moves them back (slots below 0) for a job
// that proved not to have run. A job that is served by the global tag lowers the local tags of the queued
// jobs by the same spacing, so that the local tag of the next job is unchanged.
func (b *Balancer) chargeTags(t *tenant, slots float64, toReservation bool) {
	t.globalTag += slots / t.weight
	t.tokens -= slots
	if toReservation {
		t.localTag += b.localTagSpacing(t, slots)
	}
}

// isDue reports whether the tenant's reservation entitles it to send a job now.
func (b *Balancer) isDue(t *tenant) bool { return t.quota > 0 && t.effectiveTag <= b.now }

// availableTokens refills a tenant's bucket and returns the number of slots that the tenant may still send
// before its excess over the allotment is more than random variation. What exceeds that is surplus. It would
// take every slot that becomes free, so it is sent only while workers have free capacity for other tenants,
// in the order in which the buckets hold a token again. (By global tags alone all tenants would get the
// same, whatever they reserved.) This is too strict if one dispatcher gets far more than its part of a
// tenant's traffic.
func (b *Balancer) availableTokens(t *tenant) float64 {
	t.tokens = min(idleCreditSlots, t.tokens+(b.now-t.refilledAt)*quotaOvershoot/b.localTagSpacing(t, 1))
	t.refilledAt = b.now
	if t.quota == 0 {
		return math.Inf(1)
	}
	return t.tokens
}

// tokenWait returns the time, in seconds, until a tenant's bucket holds the given number of slots.
func (b *Balancer) tokenWait(t *tenant, slots float64) float64 {
	return max(0, (slots-b.availableTokens(t))*min(b.localTagSpacing(t, 1), maxTokenWait)/quotaOvershoot)
}

// viewUncertainty returns how much of the load is unknown to this dispatcher: 0 if it is the only one,
// approaching 1 if it is one of many.
func (b *Balancer) viewUncertainty() float64 { return 1 - 1/math.Sqrt(float64(b.config.Dispatchers)) }

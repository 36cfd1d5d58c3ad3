package balance

import (
	"math"
	"slices"
)

// changeConfig replaces the configuration. An invalid one changes nothing.
func (b *Balancer) changeConfig(e ConfigChanged) {
	next, err := e.Config.normalize()
	if err != nil {
		return
	}
	old := b.config
	b.config = next
	b.applyConfig()
	if e.TightenExisting {
		b.tightenJobs()
	}
	if old.Dispatchers != next.Dispatchers {
		for _, t := range b.tenants {
			t.quotaDivisor = float64(next.Dispatchers)
		}
	}
	if old.Dispatchers != next.Dispatchers || old.Index != next.Index || old.Zone != next.Zone {
		for _, w := range b.workers {
			b.rankWorker(w)
		}
		slices.SortStableFunc(b.workers, compareRank)
	}
}

// tightenJobs restricts the retries of existing jobs to what the present classes of their names allow.
func (b *Balancer) tightenJobs() {
	for _, j := range b.jobs {
		if c := b.classes[j.class.Name]; c != nil {
			j.class.tighten(c.Class)
		}
	}
}

// applyConfig derives classes and tenants from the configuration. Their statistics and the tenants' tags
// are kept.
func (b *Balancer) applyConfig() {
	b.maxVisibleSlots = math.Inf(1)
	if len(b.config.ReportFields) == 0 {
		b.maxVisibleSlots = 1
	}
	b.applyClasses()
	b.applyTenants()
}

// applyClasses replaces the classes. A class that changes in more than MaxWait gets a new entry, as
// existing jobs keep the class with which they arrived. A class that is no longer configured is kept, as
// some of its jobs may still exist.
func (b *Balancer) applyClasses() {
	b.anyWorkerKind = false
	b.anyIdempotent = false
	for _, c := range b.config.Classes {
		b.classes[c.Name] = replaceClass(b.classes[c.Name], c)
		b.anyWorkerKind = b.anyWorkerKind || c.WorkerKind != ""
		b.anyIdempotent = b.anyIdempotent || c.Idempotence == Idempotent
	}
}

func replaceClass(old *class, c Class) *class {
	if old == nil {
		return &class{Class: c}
	}
	old.MaxWait = c.MaxWait
	if old.Class == c {
		return old
	}
	replaced := &class{Class: c, runTime: old.runTime}
	if old.Deadline == c.Deadline {
		replaced.longestTimeout = old.longestTimeout
	}
	return replaced
}

// applyTenants updates the tenants. A tenant that is not configured has no reservation and the default
// weight.
func (b *Balancer) applyTenants() {
	for _, t := range b.tenants {
		t.quota = 0
		t.weight = defaultTenantWeight
	}
	for _, t := range b.config.Tenants {
		if known := b.tenantsByName[t.Name]; known != nil {
			known.quota = t.Quota
			known.weight = t.Weight
		} else {
			b.addTenant(t)
		}
	}
}

// tighten restricts the class's retries to those that another version of the class allows as well.
func (c *Class) tighten(other Class) {
	if other.Idempotence.restrictiveness() > c.Idempotence.restrictiveness() {
		c.Idempotence = other.Idempotence
		c.DedupScope = other.DedupScope
		c.DedupWindow = other.DedupWindow
		return
	}
	if other.Idempotence != IdempotentWithKey || c.Idempotence != IdempotentWithKey {
		return
	}
	c.DedupWindow = min(c.DedupWindow, other.DedupWindow)
	switch {
	case c.DedupScope == ScopeAll:
		c.DedupScope = other.DedupScope
	case other.DedupScope != ScopeAll && other.DedupScope != c.DedupScope:
		c.DedupScope = "" // neither a zone nor a cell contains the other
	}
}

// restrictiveness returns a rank of the value: the higher, the fewer retries are allowed.
func (i Idempotence) restrictiveness() int {
	switch i {
	case IdempotentWithKey:
		return 1
	case NonIdempotent:
		return 2
	}
	return 0
}

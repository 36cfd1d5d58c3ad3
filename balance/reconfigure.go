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
			j.class.Class = j.class.TightenedBy(c.Class)
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
// existing jobs keep the class with which they were accepted. A class that is no longer configured is kept,
// as some of its jobs may still exist.
func (b *Balancer) applyClasses() {
	b.anyWorkerKind = false
	b.anyIdempotent = false
	for _, c := range b.config.Classes {
		old := b.classes[c.Name]
		b.classes[c.Name] = replaceClass(old, c)
		if old != nil && old != b.classes[c.Name] {
			b.formerClasses[c.Name] = append(b.formerClasses[c.Name], old)
		}
		b.anyWorkerKind = b.anyWorkerKind || c.WorkerKind != ""
		b.anyIdempotent = b.anyIdempotent || c.Idempotence == Idempotent
	}
	b.pruneFormerClasses()
}

// pruneFormerClasses drops the former classes that no job has. Jobs still need workers of the kind of their
// class, even if no configured class has one.
func (b *Balancer) pruneFormerClasses() {
	inUse := map[*class]bool{}
	for _, j := range b.jobs {
		inUse[j.class] = true
	}
	for name, former := range b.formerClasses {
		former = slices.DeleteFunc(former, func(c *class) bool { return !inUse[c] })
		b.formerClasses[name] = former
		if len(former) == 0 {
			delete(b.formerClasses, name)
		}
	}
	for c := range inUse {
		b.anyWorkerKind = b.anyWorkerKind || c.WorkerKind != ""
	}
	unused := func(c *class) bool { return !inUse[c] && b.classes[c.Name] != c }
	for _, t := range b.tenants {
		t.queue.forgetClasses(unused)
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

// classOf returns the class of a new job: that of the definition with which it was accepted, or the present
// one of the name if accepted is nil. timeout is the job's, in seconds.
func (b *Balancer) classOf(name string, accepted *Class, timeout float64) *class {
	c := b.classes[name]
	switch {
	case accepted != nil:
		c = b.acceptedClass(name, *accepted)
	case c == nil:
		c = &class{Class: UnknownClass(name, timeout)}
	}
	b.anyWorkerKind = b.anyWorkerKind || c.WorkerKind != ""
	return c
}

// acceptedClass returns the present class of a name if the definition is the same, and otherwise the former
// one with that definition. A definition that a configuration could not have is not used: the job then has
// an unknown class.
func (b *Balancer) acceptedClass(name string, accepted Class) *class {
	accepted.Name = name
	present := b.classes[name]
	if present != nil && present.SameDefinition(accepted) { // nearly always
		return present
	}
	if accepted.normalize("") != nil {
		accepted = UnknownClass(name, defaultDeadline)
	}
	if present != nil && present.SameDefinition(accepted) {
		return present
	}
	for _, c := range b.formerClasses[name] {
		if c.SameDefinition(accepted) {
			return c
		}
	}
	c := &class{Class: accepted}
	if present != nil {
		c.runTime = present.runTime
	}
	b.formerClasses[name] = append(b.formerClasses[name], c)
	return c
}

// SameDefinition reports whether two definitions are the same but for MaxWait, which each job keeps for itself.
func (c *Class) SameDefinition(other Class) bool {
	other.MaxWait = c.MaxWait
	return *c == other
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

// TightenedBy returns the definition with its retries restricted to those that another definition of the class
// allows as well.
func (c Class) TightenedBy(other Class) Class {
	if other.Idempotence.restrictiveness() > c.Idempotence.restrictiveness() {
		c.Idempotence = other.Idempotence
		c.DedupScope = other.DedupScope
		c.DedupWindow = other.DedupWindow
		return c
	}
	if other.Idempotence != IdempotentWithKey || c.Idempotence != IdempotentWithKey {
		return c
	}
	c.DedupWindow = min(c.DedupWindow, other.DedupWindow)
	switch {
	case c.DedupScope == ScopeAll:
		c.DedupScope = other.DedupScope
	case other.DedupScope != ScopeAll && other.DedupScope != c.DedupScope:
		c.DedupScope = "" // neither a zone nor a cell contains the other
	}
	return c
}

// Tightening restricts definitions with which jobs were accepted by those that are present now. It restricts each
// definition once, so that jobs keep sharing one. Create one with NewTightening for each change.
type Tightening struct {
	present   func(name string) *Class
	tightened map[*Class]*Class
}

// NewTightening returns a Tightening by the definitions that present returns by name; nil means that it has none.
func NewTightening(present func(name string) *Class) *Tightening {
	return &Tightening{
		present:   present,
		tightened: map[*Class]*Class{},
	}
}

// Apply returns the restricted definition. It is the same pointer if nothing changes. Nil stays nil.
func (t *Tightening) Apply(accepted *Class) *Class {
	if accepted == nil {
		return nil
	}
	if known := t.tightened[accepted]; known != nil {
		return known
	}
	result := accepted
	if present := t.present(accepted.Name); present != nil {
		if restricted := accepted.TightenedBy(*present); restricted != *accepted {
			result = &restricted
		}
	}
	t.tightened[accepted] = result
	return result
}

// RetryIsHarmless reports whether a client may send a job of the class again, to any dispatcher, even if the job may
// have run.
func (c *Class) RetryIsHarmless() bool {
	return c.Idempotence == Idempotent || c.Idempotence == IdempotentWithKey && c.DedupScope == ScopeAll
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

package balance

import (
	"fmt"
	"math"
	"slices"
)

// Idempotence states whether a job of a class may run more than once.
type Idempotence string

// The degrees of idempotence.
const (
	Idempotent        Idempotence = "safe"   // may run any number of times
	IdempotentWithKey Idempotence = "keyed"  // the workers within DedupScope drop duplicates for DedupWindow
	NonIdempotent     Idempotence = "unsafe" // must never run twice
)

// DedupScope is the set of workers that recognise duplicates of a job with an idempotency key.
type DedupScope string

// The scopes of deduplication.
const (
	ScopeAll  DedupScope = "all"
	ScopeZone DedupScope = "zone"
	ScopeCell DedupScope = "cell"
)

// Class describes one class of jobs. Times are in seconds.
type Class struct {
	Name string
	// An answer within LatencyObjective + ObjectiveStretch x the job's own work has the full PriorityWeight.
	LatencyObjective   float64
	ObjectiveStretch   float64     // default 0
	Deadline           float64     // the client's timeout; 0 means 60
	PriorityWeight     float64     // value of an answer within the objective; 0 means 1
	LateWeightFraction float64     // fraction of PriorityWeight that a late answer has, 0 to 1
	Idempotence        Idempotence // required
	DedupScope         DedupScope  // for IdempotentWithKey; empty: no worker, hence no retry
	DedupWindow        float64     // for IdempotentWithKey: how long duplicates are recognised
	MaxWait            float64     // longest wait for the first send, else rejected on arrival; 0: no limit
	WorkerKind         string      // the only kind of worker that can run the class; empty: any
}

// Tenant describes one tenant's reservation (Quota) and weight, which are independent of each other.
type Tenant struct {
	Name  string
	Quota float64 // reserved jobs per second over all dispatchers; 0: none
	// Weight is the tenant's share of the capacity that the reservations leave over; 0 means 1. With
	// weights in proportion to the quotas the scheduler would be the same as plain fair queueing.
	Weight float64
}

// The fields of a load report that the balancer evaluates; others are ignored.
const (
	FieldFreeSlots   = "free_slots"
	FieldFreeMemory  = "free_memory"
	FieldQueueLength = "waiting"
)

// Config is the configuration of one dispatcher. Times are in seconds.
type Config struct {
	Index       int // index of this dispatcher, from 0 to Dispatchers - 1
	Dispatchers int // number of dispatchers that share the workers; 0 means 1
	Zone        string
	Classes     []Class
	Tenants     []Tenant

	PollEndpoints      bool     // the endpoint list is sent only on request, by a Subscribe
	PollInterval       float64  // longest time between polls while unsubscribed; 0 means 10
	ReportFields       []string // names of a load report's values, in order; without FieldFreeSlots reports are ignored
	StartNotifications bool     // workers report the start of a job

	ClientsMarkRetries bool    // clients mark their retries; false: a job's age is derived from its timeout
	MaxAttempts        int     // highest number of attempts of one job; 0 means 1
	DialTimeout        float64 // 0 means 0.25
	HealthChecks       bool    // the caller supports HealthCheck
	Cancellation       bool    // the caller supports Cancel
	Hedging            bool    // two attempts of an idempotent job may be in flight at once
	Tick               float64 // longest time between batches; 0 means 0.001

	OverloadedMayHaveRun bool    // Overloaded does not prove that the job never ran
	RemovedStayUsable    bool    // jobs may still be sent to a worker that left the list without draining
	MaxRetryAfter        float64 // longest Retry-After that clients respect; 0: they ignore it

	SlowStartFloor   float64 // fraction of its capacity that a worker has when it starts; 0 means 0.1
	SlowStartSeconds float64 // time until a started worker has its full capacity; 0: at once
	// A worker that warms up is overloaded by more than OverloadMultiple times its present capacity
	// for OverloadSeconds.
	OverloadMultiple float64
	OverloadSeconds  float64

	HealthCheckCost float64 // cost of one health check, in units of Class.PriorityWeight
}

// Defaults of a Config, its classes and its tenants.
const (
	defaultPollInterval   = 10
	defaultDialTimeout    = 0.25
	defaultTick           = 0.001
	defaultSlowStartFloor = 0.1
	defaultDeadline       = 60
	defaultPriorityWeight = 1
	defaultTenantWeight   = 1
)

// ConfigError reports an invalid value of a Config.
type ConfigError struct {
	Field   string
	Problem string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Problem }

// Check returns a [*ConfigError] if New and ConfigChanged would reject the configuration, and nil otherwise.
func (c Config) Check() error {
	_, err := c.normalize()
	return err
}

// normalize returns the configuration with defaults filled in, or a [*ConfigError].
func (c Config) normalize() (Config, error) {
	setDefault(&c.PollInterval, defaultPollInterval)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.Tick, defaultTick)
	setDefault(&c.SlowStartFloor, defaultSlowStartFloor)
	if c.Dispatchers < 0 {
		return c, &ConfigError{"Dispatchers", fmt.Sprintf("%d, must be 0 or more", c.Dispatchers)}
	}
	c.Dispatchers = max(c.Dispatchers, 1)
	c.MaxAttempts = max(c.MaxAttempts, 1)
	if c.Index < 0 || c.Index >= c.Dispatchers {
		return c, &ConfigError{"Index", fmt.Sprintf("%d, must be 0 to %d", c.Index, c.Dispatchers-1)}
	}
	if !slices.Contains(c.ReportFields, FieldFreeSlots) {
		c.ReportFields = nil // a missing value would be taken for 0 free slots
	}
	if len(c.Classes) == 0 {
		return c, &ConfigError{"Classes", "none given"}
	}
	c.Classes = slices.Clone(c.Classes)
	for i := range c.Classes {
		if err := c.Classes[i].normalize(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return c, err
		}
	}
	c.Tenants = slices.Clone(c.Tenants)
	for i := range c.Tenants {
		if err := c.Tenants[i].normalize(fmt.Sprintf("Tenants[%d].", i)); err != nil {
			return c, err
		}
	}
	return c, checkNumbers("", []fieldValue{
		{"PollInterval", c.PollInterval},
		{"DialTimeout", c.DialTimeout},
		{"Tick", c.Tick},
		{"MaxRetryAfter", c.MaxRetryAfter},
		{"SlowStartFloor", c.SlowStartFloor},
		{"SlowStartSeconds", c.SlowStartSeconds},
		{"OverloadMultiple", c.OverloadMultiple},
		{"OverloadSeconds", c.OverloadSeconds},
		{"HealthCheckCost", c.HealthCheckCost},
	})
}

func (c *Class) normalize(path string) error {
	setDefault(&c.Deadline, defaultDeadline)
	setDefault(&c.PriorityWeight, defaultPriorityWeight)
	switch c.Idempotence {
	case Idempotent, IdempotentWithKey, NonIdempotent:
	default:
		return &ConfigError{path + "Idempotence", fmt.Sprintf("unknown %q", c.Idempotence)}
	}
	return checkNumbers(path, []fieldValue{
		{"LatencyObjective", c.LatencyObjective},
		{"ObjectiveStretch", c.ObjectiveStretch},
		{"Deadline", c.Deadline},
		{"PriorityWeight", c.PriorityWeight},
		{"LateWeightFraction", c.LateWeightFraction},
		{"DedupWindow", c.DedupWindow},
		{"MaxWait", c.MaxWait},
	})
}

func (t *Tenant) normalize(path string) error {
	setDefault(&t.Weight, defaultTenantWeight)
	return checkNumbers(path, []fieldValue{
		{"Quota", t.Quota},
		{"Weight", t.Weight},
	})
}

func setDefault(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}

// fieldValue is a number with the name of its configuration field.
type fieldValue struct {
	field string
	value float64
}

// checkNumbers returns a [*ConfigError] for the first value that is negative, infinite or NaN.
func checkNumbers(path string, numbers []fieldValue) error {
	for _, n := range numbers {
		if n.value < 0 || math.IsNaN(n.value) || math.IsInf(n.value, 0) {
			return &ConfigError{path + n.field, fmt.Sprintf("%v, must be a finite number, 0 or more", n.value)}
		}
	}
	return nil
}

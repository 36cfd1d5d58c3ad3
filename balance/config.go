package balance

import (
	"fmt"
	"math"
	"slices"
)

// Idempotence is how often a job of a class may take effect.
type Idempotence string

// The degrees of idempotence.
const (
	Idempotent        Idempotence = "safe"   // may run any number of times
	IdempotentWithKey Idempotence = "keyed"  // the workers of one scope drop duplicates within a window
	NonIdempotent     Idempotence = "unsafe" // must never run twice
)

// DedupScope names the workers that recognise duplicates of a job with an idempotency key.
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
	PriorityWeight     float64     // of an answer in time; 0 means 1
	LateWeightFraction float64     // part of PriorityWeight that a late answer has, 0 to 1
	Idempotence        Idempotence // required
	DedupScope         DedupScope  // for IdempotentWithKey; empty: no scope, hence no retry
	DedupWindow        float64     // for IdempotentWithKey: how long duplicates are recognised
	MaxWait            float64     // a job is sent for the first time within this or rejected on arrival; 0: no promise
	WorkerKind         string      // the only kind of worker that runs it; empty: any
}

// Tenant describes one tenant's claims. Reservation and weight are independent.
type Tenant struct {
	Name  string
	Quota float64 // reserved jobs per second over all dispatchers; 0: none
	// Weight divides what the reservations leave over; 0 means 1. Weights in proportion to quotas
	// would reduce the scheduler to plain fair queueing.
	Weight float64
}

// The fields of a load report that the balancer understands; others are skipped.
const (
	FieldFreeSlots   = "free_slots"
	FieldFreeMemory  = "free_memory"
	FieldQueueLength = "waiting"
)

// Config is the configuration of one dispatcher. Times are in seconds.
type Config struct {
	Index       int // of this dispatcher, from 0 to Dispatchers - 1
	Dispatchers int // that share the workers; 0 means 1
	Zone        string
	Classes     []Class
	Tenants     []Tenant

	PollEndpoints      bool     // the endpoint list is served on request only
	PollInterval       float64  // longest time without a poll while unsubscribed; 0 means 10
	ReportFields       []string // meaning of the values of a load report; without FieldFreeSlots reports are ignored
	StartNotifications bool     // workers report the start of a job

	ClientsMarkRetries bool    // clients mark their retries; false: a job's age is derived from its timeout
	MaxAttempts        int     // for one job; 0 means 1
	DialTimeout        float64 // 0 means 0.25
	HealthChecks       bool    // HealthCheck is supported
	Cancellation       bool    // Cancel is supported
	Hedging            bool    // two attempts of an idempotent job may be in flight at once
	Tick               float64 // longest time between batches; 0 means 0.001

	OverloadedMayHaveRun bool    // Overloaded does not prove that the job never ran
	RemovedStayUsable    bool    // a worker that leaves the list without draining may still be sent to
	MaxRetryAfter        float64 // longest wait that clients heed; 0: they ignore such advice

	SlowStartFloor   float64 // part of its capacity that a worker has when it starts; 0 means 0.1
	SlowStartSeconds float64 // until a started worker has all of its capacity; 0: at once
	// More than OverloadMultiple of its present capacity for OverloadSeconds overloads a warming worker.
	OverloadMultiple float64
	OverloadSeconds  float64

	HealthCheckCost float64 // in units of Class.PriorityWeight
}

// Defaults of a Config and its classes.
const (
	defaultPollInterval   = 10
	defaultDialTimeout    = 0.25
	defaultTick           = 0.001
	defaultSlowStartFloor = 0.1
	defaultDeadline       = 60
	defaultPriorityWeight = 1
	defaultTenantWeight   = 1
)

// ConfigError is a value that cannot be used.
type ConfigError struct {
	Field   string
	Problem string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Problem }

// Check returns a [*ConfigError] for a configuration that New and ConfigChanged reject.
func (c Config) Check() error {
	_, err := c.normalize()
	return err
}

// normalize returns the configuration with defaults filled in.
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
		c.ReportFields = nil // a missing value would read as no free slot
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

// fieldValue is a value with the name of its field.
type fieldValue struct {
	field string
	value float64
}

// checkNumbers rejects negative and infinite values, and those that are no numbers.
func checkNumbers(path string, numbers []fieldValue) error {
	for _, n := range numbers {
		if n.value < 0 || math.IsNaN(n.value) || math.IsInf(n.value, 0) {
			return &ConfigError{path + n.field, fmt.Sprintf("%v is not a finite number from 0 up", n.value)}
		}
	}
	return nil
}

// Package settings decodes the settings that the platform gives a dispatcher. The simulator sends them in its
// first message; a real dispatcher reads them from its configuration file. The package maps the names of the
// platform's keys to the names used in the code.
package settings

// defaultTimeout is a client's timeout, in seconds, if the settings have none.
const defaultTimeout = 60

// Class is a class of requests. Times are in seconds.
type Class struct {
	Name               string
	LatencyObjective   float64
	ObjectiveStretch   float64
	ClientTimeout      float64 // 0: the default; see Deadline
	PriorityWeight     float64
	LateWeightFraction float64
	Idempotence        string
	DedupScope         string
	DedupWindow        float64
}

// Deadline returns the client's timeout in seconds. The default is the same as that of [balance.Class].
func (c Class) Deadline() float64 {
	if c.ClientTimeout <= 0 {
		return defaultTimeout
	}
	return c.ClientTimeout
}

// Tenant is a tenant with its quota.
type Tenant struct {
	Name   string
	Quota  float64 // jobs per second
	Weight float64 // 0 means 1; set only by the configuration that instances agree on
}

// Settings is the part of the platform's settings that a dispatcher uses. Times are in seconds.
type Settings struct {
	Index              int
	Dispatchers        int
	Zone               string
	EndpointMode       string
	Classes            []Class
	Tenants            []Tenant
	WorkerKinds        []string
	BatchInterval      float64
	HealthCheckCost    float64
	ClientsMarkRetries bool
	WorkerFamily       WorkerFamily
	LoadReports        LoadReports
	Capabilities       Capabilities
	FleetRules         FleetRules
}

// The values of EndpointMode.
const (
	EndpointsPushed    = "pushed"     // discovery sends changes of the endpoint list unasked
	EndpointsOnRequest = "on_request" // discovery sends the endpoint list only on request
)

// WorkerFamily is what all workers have in common.
type WorkerFamily struct {
	ClassKinds         []int     // by class: index into Settings.WorkerKinds; out of range: any kind
	ClassStretches     []float64 // by class: used if the class has no ObjectiveStretch
	ReportX0           string    // meaning of the load report's field x0
	ReportX1           string    // meaning of the load report's field x1
	StartNotifications bool
}

// LoadReports describes how workers report their load.
type LoadReports struct {
	Mode   string
	Fields []string
}

// The values of the Mode of LoadReports.
const (
	ReportsSilent         = "silent"    // workers send no reports
	ReportsInOutcomes     = "piggyback" // reports are part of outcomes and of health checks
	ReportsInHealthChecks = "pull"      // reports are part of health checks alone
)

// Capabilities is what the platform supports. Times are in seconds.
type Capabilities struct {
	Cancellation  bool
	Hedging       bool
	HealthChecks  bool
	RetryAfter    bool
	DialTimeout   float64
	IdleTimeout   float64
	MaxRetryAfter float64
	MaxAttempts   int
}

// FleetRules are the rules that apply to the whole fleet. Times are in seconds.
type FleetRules struct {
	PollInterval         float64
	SlowStartFloor       float64
	SlowStartSeconds     float64
	OverloadSeconds      float64
	OverloadMultiple     float64
	AnswerGrace          float64
	DrainGrace           float64
	OverloadedMayHaveRun bool
	RemovedStayUsable    bool
}

package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// seedStream makes this generator's numbers differ from those of other generators with the same seed.
const seedStream = 0x1f15

// Balancer makes the decisions of one dispatcher. Use New to create one.
type Balancer struct {
	config    Config
	rng       *rand.Rand
	now       float64
	startedAt float64 // time of the first step
	timerAt   float64
	actions   []Action

	classes       map[string]*class
	formerClasses map[string][]*class // other definitions with which jobs were accepted, by name
	tenants       []*tenant           // in the order of the configuration, then tenants that it does not name
	tenantsByName map[string]*tenant
	// unknownAfterSweep is the number of unconfigured tenants after the last call of forgetIdleTenants.
	unknownAfterSweep int
	passBuffer        []*tenant // reused by passOrder

	jobTable
	workerTable
	scan
	warmUp
	statistics
	healthCheckBudget float64 // priority weight that may be spent on health checks

	anyIdempotent   bool    // at least one class is idempotent
	anyWorkerKind   bool    // at least one class, present or former, runs on one kind of worker only
	maxVisibleSlots float64 // upper bound of an estimate of free slots: 1 without load reports
}

// jobTable holds the jobs that are queued or in flight.
type jobTable struct {
	jobs           map[string]*job
	promised       promisedQueue // queued jobs with a promised wait
	inFlight       int           // attempts without an outcome
	sendCount      uint64
	awaitingStart  []*attempt // attempts that are hedged or moved if they do not start promptly
	reservedWorker *worker    // reserved in this step for reservedFor, a job with a promised wait
	reservedFor    *job
}

// workerTable holds the workers and the state of the subscription to the endpoint list.
type workerTable struct {
	workers     []*worker // in this dispatcher's own order of preference
	workersByID map[string]*worker
	cordonedAt  map[string]float64
	endpoints   endpointState
}

// statistics holds what was learned over all workers and classes.
type statistics struct {
	rejectionRate    mean // 1 for each send that an overloaded worker rejected, 0 for each that started
	promptStartRate  mean // 1 for each watched attempt that started promptly, 0 for each that did not
	failureRate      mean // 1 for each failed attempt (only the first failure of a job), 0 for each served one
	retrySuccessRate mean // 1 for each retry after an error that was served, 0 for each that failed
	meanSlots        mean
	meanRunTime      mean
	kindSlowdowns    meansByName // run times relative to the mean of all workers, by kind of worker
	zoneFreeSlots    meansByName // free slots in recent reports, by zone
	maxSlotsByKind   map[string]float64
	maxSlots         float64 // largest slot count of any worker
	totalWork        float64 // work of all admitted jobs, in slots times seconds
	wideWork         float64 // the part of totalWork by jobs that need more than half of the largest worker's slots
}

// New returns a Balancer, or an error that wraps a [*ConfigError] if the configuration is invalid. The same
// configuration, seed and events yield the same actions.
func New(config Config, seed uint64) (*Balancer, error) {
	config, err := config.normalize()
	if err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b := &Balancer{
		config:        config,
		rng:           rand.New(rand.NewPCG(seed, seedStream)),
		timerAt:       math.Inf(-1),
		classes:       map[string]*class{},
		formerClasses: map[string][]*class{},
		tenantsByName: map[string]*tenant{},
		jobTable:      jobTable{jobs: map[string]*job{}},
		workerTable:   workerTable{workersByID: map[string]*worker{}, cordonedAt: map[string]float64{}},
		statistics: statistics{
			kindSlowdowns:  meansByName{},
			zoneFreeSlots:  meansByName{},
			maxSlotsByKind: map[string]float64{},
		},
	}
	b.applyConfig()
	return b, nil
}

// Step handles the events that have happened since the previous step, in order, and returns the actions to
// take, in order. The time now is in seconds and must not decrease from step to step. The result is valid
// until the next Step.
func (b *Balancer) Step(now float64, events []Event) []Action {
	b.now = now
	b.startedAt = cmp.Or(b.startedAt, now)
	b.actions = b.actions[:0]
	for _, e := range events {
		b.handle(e)
	}
	b.rebalanceQueued()
	b.expireJobs()
	b.pollEndpoints()
	if b.hasQueued() || b.hasUnreachable() {
		b.scanWorkers()
		b.sendHealthChecks()
		b.dispatchQueued()
	}
	b.armTimer()
	return b.actions
}

// handle applies one event. A TimerFired needs no handling: it only causes a step.
func (b *Balancer) handle(e Event) {
	switch e := e.(type) {
	case JobArrived:
		b.handleArrival(e)
	case ClientDisconnected:
		if j := b.jobs[e.ID]; j != nil {
			b.closeJob(j)
		}
	case AttemptDone:
		b.finishAttempt(e)
	case AttemptStarted:
		b.startAttempt(e)
	case HealthCheckDone:
		b.finishHealthCheck(e)
	case EndpointUpdate:
		b.updateEndpoints(e)
	case QuotaUpdate:
		b.updateQuota(e)
	case Cordon:
		b.applyCordon(e)
	case ConfigChanged:
		b.changeConfig(e)
	case ExportTenant:
		b.emit(TenantExported{State: b.exportTenant(e.Tenant)})
	case ImportTenant:
		b.importTenant(e.State)
	case SendAborted:
		b.undoSend(e)
	case Shutdown:
		b.answerAll()
	}
}

// answerAll sends the final answer of every job that has not had one.
func (b *Balancer) answerAll() {
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		if j := b.jobs[id]; !j.closed {
			b.answerUnserved(j)
		}
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) { b.emit(Log{Text: fmt.Sprintf(format, args...)}) }

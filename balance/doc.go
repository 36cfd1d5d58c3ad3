// Package balance decides, for one dispatcher, which queued job is sent to which worker, when it is sent,
// and how a job that cannot be served is answered.
//
// The caller owns the clock and the network. It passes batches of events to a [Balancer], in the order
// in which they happened and together with its clock in seconds, and carries out the returned actions,
// in order, before the next batch. A Balancer starts no goroutine, reads no clock and shares no state;
// it must be used by one goroutine at a time. The same settings, seed and events yield the same actions.
// An event that names an unknown or finished job, attempt or worker is ignored.
//
// Scheduling between tenants is reservation-based fair queueing (RBFQ, section 3 of the RePAIR paper):
// each tenant has a local tag, spaced by its reservation, and a global tag, spaced by its weight, both
// compared with the real clock. docs/design.md describes what differs from the paper, and why.
//
// Each file contains the decisions of one concern:
//
//	admission.go    arrival, expiry and final answers
//	tags.go         RBFQ tags and the token bucket of a tenant
//	dispatch.go     the order in which queued jobs are sent
//	queue.go        the queue of a tenant and its indexes
//	promised.go     jobs whose class promises a maximum wait
//	selection.go    the workers that a step considers, and how one of them is chosen
//	loadreport.go   estimated free capacity of a worker
//	slowstart.go    the share of traffic that a worker gets while it warms up
//	outlier.go      ejection of failing workers and their probation
//	retry.go        ends of attempts, retries and idempotence
//	hedging.go      hedged requests and jobs moved away from a worker's queue
//	healthcheck.go  health checks and their budget
//	endpoints.go    the endpoint list, polling and cordons
//	timer.go        the next wake-up
//	reconfigure.go  configuration changes at run time
package balance

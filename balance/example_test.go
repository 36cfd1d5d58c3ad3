package balance_test

import (
	"fmt"

	"example.org/bellstream/balance"
)

// A dispatcher has one worker with one free slot. The first job is sent and served; the second one waits and
// is rejected before its client gives up.
func Example() {
	b, err := balance.New(balance.Config{
		MaxAttempts:  2,
		HealthChecks: true,
		ReportFields: []string{balance.FieldFreeSlots},
		Classes:      []balance.Class{{Name: "render", LatencyObjective: 1, Deadline: 3, Idempotence: balance.NonIdempotent}},
		Tenants:      []balance.Tenant{{Name: "acme", Quota: 5}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	step := func(now float64, events ...balance.Event) {
		for _, a := range b.Step(now, events) {
			switch a := a.(type) {
			case balance.HealthCheck:
				fmt.Printf("%.1f check %s\n", now, a.Worker)
			case balance.Send:
				fmt.Printf("%.1f send %s to %s\n", now, a.ID, a.Worker)
			case balance.Reject:
				fmt.Printf("%.1f reject %s\n", now, a.ID)
			}
		}
	}
	step(10, balance.EndpointUpdate{Kind: balance.EndpointsCached,
		Workers: []balance.WorkerInfo{{ID: "w1", State: balance.Running}}})
	step(10.1, balance.HealthCheckDone{Worker: "w1", Outcome: balance.Served, Report: []float64{1}})
	step(10.2, balance.JobArrived{ID: "a", Class: "render", Tenant: "acme", Timeout: 3},
		balance.JobArrived{ID: "b", Class: "render", Tenant: "acme", Timeout: 3})
	step(13.25, balance.TimerFired{})
	step(13.3, balance.AttemptDone{ID: "a", Worker: "w1", Outcome: balance.Served, JobFinished: true})
	// Output:
	// 10.2 send a to w1
	// 13.2 reject b
}

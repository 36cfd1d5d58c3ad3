package balance

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// actionDigest drives a balancer by random events of many kinds and returns a digest of all its actions, in
// order. The events depend only on the seed, on the actions, and on extra, which may add some.
func actionDigest(t *testing.T, cfg Config, seed uint64, extra func(b *Balancer, now float64) []Event) string {
	t.Helper()
	return renamedActionDigest(t, cfg, seed, extra, func(name string) string { return name })
}

// renamedActionDigest is actionDigest with the names of classes, tenants, zones and kinds in its events replaced
// by as. It does not change the names in cfg.
func renamedActionDigest(t *testing.T, cfg Config, seed uint64, extra func(b *Balancer, now float64) []Event,
	as func(string) string) string {
	t.Helper()
	b, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(seed, 99))
	type due struct {
		at float64
		e  Event
	}
	var later []due
	now, n := 100.0, 0
	put := func(after float64, e Event) { later = append(later, due{now + after, e}) }
	var list []WorkerInfo
	for i := range 8 {
		list = append(list, WorkerInfo{ID: fmt.Sprint("w", i), Zone: as([]string{"here", "there"}[i%2]),
			Kind: as("k"), State: Running, Cell: i})
	}
	events := []Event{EndpointUpdate{Kind: EndpointsCached, Workers: list}}
	attempts := map[string]int{}
	digest := sha256.New()
	classes, tenants := []string{"read", "write", "put"}, []string{"a", "b", "c"}
	for now < 140 {
		for _, a := range b.Step(now, events) {
			fmt.Fprintf(digest, "%.6f %s\n", now, recordedForm(a))
			switch a := a.(type) {
			case Send:
				k := attempts[a.ID]
				attempts[a.ID]++
				put(0.01, AttemptStarted{ID: a.ID, Attempt: k})
				o := []Outcome{Served, Served, Served, Served, Failed, Overloaded, Unreachable, ConnectionLost}[r.IntN(8)]
				var rep []float64
				if r.IntN(2) == 0 {
					rep = []float64{float64(r.IntN(5))}
				}
				put(0.02+r.ExpFloat64()*0.3, AttemptDone{ID: a.ID, Attempt: k, Worker: a.Worker, Outcome: o,
					JobFinished: o == Served, Report: rep})
			case Cancel:
				put(0, AttemptDone{ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled})
			case HealthCheck:
				put(0.02, HealthCheckDone{Worker: a.Worker, Outcome: Served, Report: []float64{float64(r.IntN(5))}})
			case SetTimer:
				put(a.After, TimerFired{})
			case Subscribe:
				put(0.05, EndpointUpdate{Kind: EndpointsSnapshot, Workers: list})
			}
		}
		events = nil
		for range r.IntN(3) {
			n++
			events = append(events, JobArrived{ID: fmt.Sprint("j", n), Class: as(classes[r.IntN(3)]),
				Tenant:  as(tenants[r.IntN(3)]),
				Timeout: 1 + 9*r.Float64(), Slots: float64(r.IntN(3)), Retry: r.IntN(9) == 0})
		}
		if r.IntN(400) == 0 {
			w := list[r.IntN(len(list))]
			w.State = []WorkerState{Running, Draining, Removed}[r.IntN(3)]
			events = append(events, EndpointUpdate{Kind: EndpointsDelta, Workers: []WorkerInfo{w}})
		}
		if r.IntN(900) == 0 {
			events = append(events, EndpointUpdate{Kind: EndpointsFailed}, ClientDisconnected{ID: fmt.Sprint("j", n)})
		}
		now += 0.004 + 0.02*r.Float64()
		var rest []due
		for _, d := range later {
			if d.at <= now {
				events = append(events, d.e)
			} else {
				rest = append(rest, d)
			}
		}
		later = rest
		if extra != nil {
			events = append(events, extra(b, now)...)
		}
	}
	return fmt.Sprintf("%x", digest.Sum(nil))[:16]
}

// recordedLogWording restores the wording that log lines had when the digests were recorded.
var recordedLogWording = strings.NewReplacer(
	"checking its health until it answers", "probing it",
	"endpoint poll failed", "roster call failed",
	"next poll in", "asking again in",
)

// recordedForm formats an action as it was formatted when the digests were recorded, with the names that its
// type and fields had then. So a rename changes no digest, and every other change does.
func recordedForm(a Action) string {
	switch a := a.(type) {
	case Reject:
		return fmt.Sprintf("balance.Refuse {ID:%v After:%v}", a.ID, a.RetryAfter)
	case HealthCheck:
		return fmt.Sprintf("balance.Probe {Worker:%v}", a.Worker)
	case Log:
		return fmt.Sprintf("balance.Log {Text:%v}", recordedLogWording.Replace(a.Text))
	default:
		return fmt.Sprintf("%T %+v", a, a)
	}
}

func recordedConfigs() map[string]Config {
	one := testConfig()
	four := testConfig()
	four.Dispatchers, four.Index, four.PollEndpoints, four.Cancellation, four.ClientsMarkRetries, four.HealthCheckCost = 4, 1, true, true, true, 0.01
	seven := testConfig()
	seven.Dispatchers, seven.Index, seven.Hedging, seven.OverloadedMayHaveRun, seven.RemovedStayUsable = 7, 6, true, true, true
	return map[string]Config{"one": one, "four": four, "seven": seven}
}

// recordedDigests are digests of the scheduler's actions without a QuotaUpdate. They were recorded again when
// surplus beyond the buckets was first sent in proportion to reservations, and when the waits between polls of
// the endpoint list were limited to 6 s. The latter changed only the log line where the list is not polled.
var recordedDigests = map[string]string{
	"four-0":  "1cda9972f39c290d",
	"four-1":  "b3babe5e8b12b8d1",
	"four-2":  "9bcfaf187b2941c1",
	"one-0":   "272844df301474bd",
	"one-1":   "047dceb844281973",
	"one-2":   "37351c7dc3de3cc0",
	"seven-0": "6484ef0774c1de94",
	"seven-1": "87c02ffe0765b50c",
	"seven-2": "625eaff204f9186f",
}

// Without updates from other dispatchers, all actions are the same as those recorded before dispatchers
// exchanged updates.
func TestDecisionsMatchRecordedDigests(t *testing.T) {
	for name, cfg := range recordedConfigs() {
		for seed := range uint64(3) {
			key := fmt.Sprint(name, "-", seed)
			if got := actionDigest(t, cfg, seed, nil); got != recordedDigests[key] {
				t.Errorf("%q: got digest %q, want the recorded %q", key, got, recordedDigests[key])
			}
		}
	}
}

// A QuotaUpdate's allotment determines the rate at which a tenant's tags become due.
func TestAllotmentSetsRate(t *testing.T) {
	served := func(allotment float64) int {
		cfg := testConfig()
		cfg.Dispatchers = 5
		cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 90, 200
		cfg.Tenants = []Tenant{{Name: "a", Quota: 40, Weight: 1}, {Name: "b", Weight: 40}}
		r := newRig(t, cfg, runningWorkers("w")...)
		var first []Event
		for range 300 {
			first = append(first, r.job("read", "a"), r.job("read", "b"))
		}
		if allotment >= 0 {
			first = append([]Event{QuotaUpdate{Tenant: "a", Allotment: allotment}}, first...)
		}
		r.step(first...)
		n, total := 0, 0
		last := actionsOf[Send](r.step(r.report("w", 1)))
		for range 200 {
			for _, s := range last {
				if strings.HasPrefix(s.ID, "a") {
					n++
				}
			}
			r.now += 0.02 // capacity: 50 jobs per second
			var ended []Event
			for _, s := range last {
				end := done(s, 0, Served)
				end.Report = []float64{1 + float64(n%2)} // only a changed report counts as fresh
				ended = append(ended, end)
			}
			total += len(last)
			last = actionsOf[Send](r.step(ended...))
		}
		t.Log(allotment, n, total)
		return n
	}
	fixed, full, none := served(-1), served(1), served(0)
	if fixed < 30 || fixed > 45 || full < 150 || none > 10 {
		t.Errorf("of 200 jobs in 4 s tenant a got %d with 1/5 of 40 per second, %d with all of it, %d with none",
			fixed, full, none)
	}
}

// Jobs that other dispatchers sent for a tenant count like jobs that were sent here.
func TestRemoteUsageMovesTheGlobalTag(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a"}, {Name: "b"}}
	r := newRig(t, cfg, runningWorkers("w")...)
	var first []Event
	for range 60 {
		first = append(first, r.job("read", "a"), r.job("read", "b"))
	}
	r.step(append(first, QuotaUpdate{Tenant: "a", Allotment: 1, RemoteUsage: 10})...)
	n := 0
	last := actionsOf[Send](r.step(r.report("w", 1)))
	for range 30 {
		for _, s := range last {
			if strings.HasPrefix(s.ID, "a") {
				n++
			}
		}
		r.now += 0.01
		last = actionsOf[Send](r.step(done(last[0], 0, Served)))
	}
	if n < 8 || n > 12 {
		t.Errorf("tenant a got %d of 30 sends, want 8 to 12 after 10 by other dispatchers", n)
	}
}

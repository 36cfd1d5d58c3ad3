package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/lab/wiretest"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

const settingsJSON = `{"me":0,"balancers":1,"zone":"z","membership_mode":"on_request","round":0.004,"kinds":["k"],
 "lanes":[{"name":"safe","aim":0.5,"hard_limit":2,"semantics":"safe","value":1},
  {"name":"unsafe","aim":0.5,"hard_limit":3,"semantics":"unsafe","value":1},
  {"name":"keyed","aim":0.5,"hard_limit":2,"semantics":"keyed","dedup_scope":"zone","repeat_window":9,"value":1}],
 "caps":{"max_attempts":3,"probes":true,"cancelling":true,"dial_timeout":0.25,"retry_after":true,"max_retry_after":2},
 "family_info":{"report_x0":"free slots","tells_start":true},"reporting":{"how":"pull","fields":["x0"]},
 "parties":[{"name":"acme","quota_per_s":20}],"rules":{"ask_every":10,"grace_to_answer":0.016}}`

const cachedListJSON = `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"1:1","site":"z","class":"k","health":"active"},
 {"host":"b","dial":"1:2","site":"z","class":"k","health":"active"}]}`

// rig is a dispatcher whose clock, sockets and turns are controlled by the test.
type rig struct {
	*Dispatcher
	t            *testing.T
	now          time.Time
	jobs         []*jobModel
	attempts     []*attemptModel
	healthChecks []func(upstream.AttemptEvent)

	watches            chan watchCall
	startDelay         time.Duration  // delay of the next jobs
	headClass          *balance.Class // definition of the class when the heads of the next jobs were read
	expectedUsage      float64        // attempts that were started, except those proved never to have run
	usage              usageCounter
	closeIdleCalls     int // calls of CloseIdle
	openConns          int // open client connections
	stopAcceptingCalls int // calls of StopAccepting
	closedIdleTo       []string
	attemptRequests    []*upstream.AttemptRequest
	attemptAddrs       []string // worker addresses of attemptRequests
}

// usageCounter is a UsageRecorder that adds up what the loop records.
type usageCounter struct{ arrivals, netSlots float64 }

func (c *usageCounter) RecordArrival(string)                 { c.arrivals++ }
func (c *usageCounter) RecordStart(_ string, slots float64)  { c.netSlots += slots }
func (c *usageCounter) RecordRefund(_ string, slots float64) { c.netSlots -= slots }

// watchCall is a call of Options.Watch.
type watchCall struct {
	discovery string
	seq       int64
	ctx       context.Context
}

// jobModel is the state of a request by which the rig checks the rules.
type jobModel struct {
	req          *downstream.Request
	sentAt       time.Time
	answers      []int
	disconnected bool
	mayHaveRun   bool // an attempt may have run
	attempts     int
	inFlight     *attemptModel
}

type attemptModel struct {
	job           *jobModel
	request       *upstream.AttemptRequest
	notify        func(upstream.AttemptEvent)
	addr          string
	workerChanged bool // its worker's endpoint has changed since
	done          bool
}

// Abandon ends the attempt for the dispatcher. Its job may have run.
func (h *attemptModel) Abandon() { h.end(true) }

func (h *attemptModel) end(mayRan bool) {
	if !h.done {
		h.done, h.job.inFlight = true, nil
		h.job.mayHaveRun = h.job.mayHaveRun || mayRan
	}
}

func (r *rig) Start(o *upstream.AttemptRequest, addr string, notify func(upstream.AttemptEvent)) upstream.Attempt {
	j := r.jobs[0]
	for _, j = range r.jobs {
		if j.req.ID == o.ID && len(j.answers) == 0 {
			break
		}
	}
	switch {
	case j.inFlight != nil:
		r.t.Fatalf("%s: two attempts in flight at once", o.ID)
	case len(j.answers) > 0 || j.disconnected || j.req.Disconnected():
		r.t.Fatalf("%s: sent after its answer or its client's disconnection", o.ID)
	case j.req.Class == "unsafe" && j.mayHaveRun:
		r.t.Fatalf("%s: sent again although it may have run", o.ID)
	case j.attempts == 3:
		r.t.Fatalf("%s: a fourth attempt", o.ID)
	}
	for _, id := range j.req.DependsOn {
		if !r.wasServed(id) {
			r.t.Fatalf("%s: sent before %s was served", o.ID, id)
		}
	}
	if at := j.sentAt.Add(j.req.Delay); at.After(r.now) {
		r.t.Fatalf("%s: sent %v before its start time", o.ID, at.Sub(r.now))
	}
	h := &attemptModel{job: j, request: o, addr: addr, notify: notify}
	j.inFlight, j.attempts, r.attempts = h, j.attempts+1, append(r.attempts, h)
	r.expectedUsage++
	r.attemptRequests, r.attemptAddrs = append(r.attemptRequests, o), append(r.attemptAddrs, addr)
	return h
}

func (r *rig) HealthCheck(addr string, fields []string, notify func(upstream.AttemptEvent)) {
	r.healthChecks = append(r.healthChecks, notify)
}
func (r *rig) CloseIdleTo(addr string) { r.closedIdleTo = append(r.closedIdleTo, addr) }
func (r *rig) CloseExpired()           {}
func (r *rig) InFlight() int           { return 0 }
func (r *rig) Open() int               { return r.openConns }
func (r *rig) CloseIdle(time.Duration) { r.closeIdleCalls++ }
func (r *rig) StopAccepting()          { r.stopAcceptingCalls++ }
func (r *rig) Drained() bool           { return r.stopAcceptingCalls > 0 && r.openConns == 0 }

func newRig(t *testing.T) *rig { return newRigWith(t, settingsJSON, 1) }

// newRigWith returns a rig whose discovery has confirmed that the cached list is current.
func newRigWith(t *testing.T, options string, seed uint64) *rig {
	r := newStartingRig(t, options, seed)
	r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 1}})
	r.advance(0)
	return r
}

// newStartingRig returns a rig that has just started and has no answer from discovery yet.
func newStartingRig(t *testing.T, options string, seed uint64) *rig {
	s, err := settings.Parse([]byte(options))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, now: time.Unix(1e9, 0), watches: make(chan watchCall, 1000)}
	r.Dispatcher, err = New(Options{Settings: s, Seed: seed, CachedEndpoints: []byte(cachedListJSON), Upstream: r, Phases: &Phases{}, Usage: &r.usage,
		Log: func(string, ...any) {}, Now: func() time.Time { return r.now },
		Discovery: "old", Watch: func(ctx context.Context, at string, seq int64, _ func(*endpoints.Update)) error {
			r.watches <- watchCall{at, seq, ctx}
			<-ctx.Done()
			return ctx.Err()
		}})
	if err != nil {
		t.Fatal(err)
	}
	r.downstream = r
	r.advance(0)
	return r
}

// advance lets time pass in steps of 4 ms, with a turn of the loop in each.
func (r *rig) advance(d time.Duration) {
	for end := r.now.Add(d); ; r.now = r.now.Add(4 * time.Millisecond) {
		select {
		case <-r.wakeups:
			r.applyCommands()
		default:
		}
		r.drainInbox()
		r.runTurn(r.clock())
		r.advancePhase(r.clock())
		if !r.now.Before(end) {
			return
		}
	}
}

func (r *rig) wasServed(id string) bool {
	for _, j := range r.jobs {
		if j.req.ID == id && len(j.answers) == 1 && j.answers[0] == 200 {
			return true
		}
	}
	return false
}

func (r *rig) arrive(id, class string, timeout time.Duration, after ...string) *jobModel {
	j := &jobModel{sentAt: r.now}
	j.req = &downstream.Request{ID: id, Class: class, Tenant: "acme", Method: "POST", URI: "/" + class, Slots: 1,
		DependsOn: after, Delay: r.startDelay, Arrived: r.now, Timeout: timeout, ClassDefinition: r.headClass,
		Answer: func(a downstream.Answer) {
			if j.answers = append(j.answers, a.Status); len(j.answers) > 1 || j.disconnected {
				r.t.Fatalf("%s: answers %v, client disconnected %v; want one answer to a connected client", id, j.answers, j.disconnected)
			}
			if late := r.now.Sub(j.sentAt) - j.req.Timeout; late > 16*time.Millisecond {
				r.t.Fatalf("%s: answered %v after its deadline", id, late)
			}
			// With 503 a client may send any job again.
			if a.Status == 503 && class != "safe" && (j.mayHaveRun || j.inFlight != nil) {
				r.t.Fatalf("%s: answered 503 although it may have run", id)
			}
		}}
	r.jobs = append(r.jobs, j)
	r.handle(requestArrived{j.req})
	return j
}

var outcomes = []balance.Outcome{balance.Served, balance.Failed, balance.Overloaded, balance.Unreachable, balance.ConnectionLost, balance.StaleConnection}

// FuzzRequests makes random steps of clients, workers, discovery and time, and checks the rules: one timely answer to
// each request, one attempt at a time, and no job sent again that might then take effect twice.
func FuzzRequests(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15})
	f.Add([]byte{0, 3, 19, 0, 3, 35, 0, 3, 51, 0, 3, 67, 0, 3, 83, 9, 9, 9})
	f.Add([]byte{1, 48, 112, 32, 8, 3, 9, 3, 19, 7, 49, 113, 50, 9, 25, 3})
	f.Add([]byte{0, 16, 32, 3, 3, 6, 22, 7, 9, 25, 8, 4, 0, 10, 3, 9, 9})
	f.Add([]byte{0, 1, 2, 8, 26, 15, 31, 47, 8, 9, 42, 15, 31, 47, 8, 9})           // a worker drains during an attempt, then leaves
	f.Add([]byte{0, 1, 2, 8, 151, 15, 31, 47, 3, 199, 15, 8, 9, 135, 15, 31, 9, 9}) // clients disconnect after a decision
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newRig(t)
		if len(data) > 0 && data[0]%2 == 1 { // jobs may depend on earlier or later ones, or have a start time
			r.Deferred = deferred.New(deferred.Limits{Jobs: 10, Bytes: 1 << 20, Parents: 3, Depth: 4, UnknownParents: 3, UnknownParentGrace: 0.5, Retention: 5, RetainedOutcomes: 9})
		}
		wiretest.Steps(data, 200, func(b byte) {
			step, arg := int(b)%16, int(b)/16
			switch step {
			case 0, 1, 2:
				var after []string
				r.startDelay = 0
				if r.Deferred != nil && arg%4 == 3 {
					after = []string{fmt.Sprint(len(r.jobs) + arg/4 - 2)}
				} else if r.Deferred != nil && arg%4 == 2 {
					r.startDelay = time.Duration(arg) * time.Second / 8
				}
				r.arrive(fmt.Sprint(len(r.jobs)), []string{"safe", "unsafe", "keyed"}[step], 1500*time.Millisecond, after...)
			case 3, 4, 5: // an attempt ends
				if len(r.attempts) > 0 {
					h := r.attempts[arg%len(r.attempts)]
					o := outcomes[arg%len(outcomes)]
					if !h.done && (o == balance.Overloaded || o == balance.Unreachable) {
						r.expectedUsage--
					}
					h.end(o != balance.Overloaded && o != balance.Unreachable)
					h.notify(upstream.AttemptEvent{Outcome: o, Result: []byte("x")})
				}
			case 6: // a job starts
				if len(r.attempts) > 0 {
					r.attempts[arg%len(r.attempts)].notify(upstream.AttemptEvent{})
				}
			case 7: // a client disconnects
				if len(r.jobs) > 0 {
					if j := r.jobs[arg%len(r.jobs)]; len(j.answers) == 0 && !j.disconnected {
						if j.req.MarkDisconnected(); arg >= 8 { // the loop decides before it handles the disconnection
							r.advance(4 * time.Millisecond)
						}
						j.disconnected = true
						r.handle(clientDisconnected{j.req})
						if j.inFlight != nil {
							t.Fatal("the attempt of a disconnected client stays in flight")
						}
					}
				}
			case 15: // an attempt has its connection and calls Blocked
				if len(r.attempts) > 0 {
					h := r.attempts[arg%len(r.attempts)]
					blocked := h.request.Blocked()
					if (h.job.req.Disconnected() || h.workerChanged) && blocked == "" {
						t.Fatalf("an attempt is not blocked: client disconnected %v, worker changed %v", h.job.req.Disconnected(), h.workerChanged)
					}
					if !h.done && blocked != "" {
						r.expectedUsage--
						h.end(false)
						h.notify(upstream.AttemptEvent{Outcome: blocked})
					}
				}
			case 8:
				for _, notify := range r.healthChecks {
					notify(upstream.AttemptEvent{Outcome: outcomes[arg%len(outcomes)], Report: []float64{2}})
				}
				r.healthChecks = nil
			case 9:
				r.advance(time.Duration(arg+1) * 100 * time.Millisecond)
			case 10:
				health := []string{"active", "leaving", "left"}[arg%3]
				u, _ := endpoints.Parse([]byte(`{"seq":2,"hosts":[{"host":"a","dial":"1:1","site":"z","class":"k","health":"` + health + `"}]}`))
				r.handle(endpointEvent{watchID: r.watchID, update: u})
				for _, h := range r.attempts {
					h.workerChanged = h.workerChanged || arg%3 > 0 && h.addr == "1:1"
				}
			case 11:
				r.handle(endpointEvent{watchID: r.watchID, err: context.DeadlineExceeded})
			case 12: // a repeated id must neither disturb the first request nor run it again
				if len(r.jobs) > 0 {
					status := 0
					r.handle(requestArrived{&downstream.Request{ID: r.jobs[len(r.jobs)-1].req.ID, Class: "safe",
						Answer: func(a downstream.Answer) { status = a.Status }}})
					if status != 409 && (status != 503 || r.Phases.Now() < Closing) {
						t.Fatalf("a repeated id was answered %d, want 409, or 503 from Closing on", status)
					}
				}
			case 13:
				if arg == 15 {
					r.handle(stopRequested{r.clock()})
				}
			case 14:
				r.handle(discoveryChanged{fmt.Sprint("address ", arg)})
			}
			r.advance(4 * time.Millisecond)
			live := r.attempts[:0]
			for _, h := range r.attempts {
				if !h.done {
					live = append(live, h)
				}
			}
			r.attempts = live
			if r.usage.netSlots != r.expectedUsage {
				t.Fatalf("%v slots counted, want %v, as many as may have run", r.usage.netSlots, r.expectedUsage)
			}
		})
		r.advance(2 * time.Second)
		for _, j := range r.jobs {
			if len(j.answers) == 0 && !j.disconnected || j.inFlight != nil {
				t.Fatalf("%s: answers %v, client disconnected %v, in flight %v after its deadline", j.req.ID, j.answers, j.disconnected, j.inFlight != nil)
			}
		}
		if len(r.requests) > 0 {
			t.Fatalf("%d requests are still held, want 0", len(r.requests))
		}
		if r.Deferred != nil && (r.Deferred.Stats().Waiting > 0 || r.Deferred.Pending() > 0) {
			t.Fatalf("jobs are still deferred: %+v", r.Deferred.Stats())
		}
	})
}

// After a stop all requests must be answered within the drain time, and then the loop must end.
func TestDrain(t *testing.T) {
	r := newRig(t)
	if !r.Phases.Ready() {
		t.Fatalf("phase %v with an endpoint list, want ready", r.Phases.Now())
	}
	a := r.arrive("a", "unsafe", time.Hour)
	r.advance(20 * time.Millisecond)
	for _, notify := range r.healthChecks {
		notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{1}})
	}
	r.advance(20 * time.Millisecond)
	if a.inFlight == nil {
		t.Fatal("not sent")
	}
	r.handle(stopRequested{r.clock()})
	r.advance(1900 * time.Millisecond)
	// Other processes may not be back yet: clients keep their connections, though new clients are not accepted.
	if r.Phases.Now() != Retiring || r.Phases.Ready() || r.Phases.Ending() {
		t.Fatalf("phase %v, ready %v, ending %v 1.9 s after a stop; want retiring, false, false", r.Phases.Now(), r.Phases.Ready(), r.Phases.Ending())
	}
	r.advance(1500 * time.Millisecond)
	if r.Phases.Now() != Draining || len(a.answers) > 0 {
		t.Fatalf("phase %v, answers %v before the drain time is over; want draining and none", r.Phases.Now(), a.answers)
	}
	r.advance(200 * time.Millisecond)
	if len(a.answers) != 1 || a.answers[0] == 503 || a.inFlight != nil {
		t.Fatalf("answers %v: a job that may have run must fail and must not get 503", a.answers)
	}
	r.advance(300 * time.Millisecond)
	if r.Phases.Now() != Stopped {
		t.Fatalf("phase %v at the end, want stopped", r.Phases.Now())
	}
	if r.Phases.Enter(Serving) {
		t.Error("Serving was entered after Stopped")
	}
}

// Events of a replaced watch must be ignored: its end must not affect the new watch.
func TestReplacedWatchIsIgnored(t *testing.T) {
	r := newRig(t)
	r.startWatch()
	old := r.watchID
	r.startWatch()
	r.pendingEvents = nil
	r.handle(endpointEvent{watchID: old, err: context.Canceled})
	r.handle(endpointEvent{watchID: old, update: &endpoints.Update{Seq: 9, Complete: true}})
	if len(r.pendingEvents) > 0 || r.endpoints.Seq != 1 || r.endpoints.Len() != 2 {
		t.Errorf("got events %v from a replaced watch and version %d, want none and 1", r.pendingEvents, r.endpoints.Seq)
	}
}

// If a watch misses a change of the endpoint list, dispatchers must comply with it within 6 s, also if lists are
// pushed. So the next call must start at once after a watch that was open for long, and within 2.8 s after one that
// failed at once, which leaves 3.1 s for the call. Calls of many dispatchers must be spread over time.
func TestWatchRetryDelay(t *testing.T) {
	for _, c := range []struct {
		lasted, min, max time.Duration
	}{{3 * time.Second, 0, 160 * time.Millisecond}, {time.Second, 0, 810 * time.Millisecond},
		{0, 1800 * time.Millisecond, 2810 * time.Millisecond}} {
		times := map[time.Duration]bool{}
		for seed := range uint64(30) {
			r := newRigWith(t, strings.Replace(settingsJSON, "on_request", "pushed", 1), seed)
			r.startWatch()
			r.advance(c.lasted)
			from, id := r.now, r.watchID
			r.handle(endpointEvent{watchID: id, err: context.DeadlineExceeded})
			for r.watchID == id && r.now.Sub(from) < 10*time.Second {
				r.advance(4 * time.Millisecond)
			}
			took := r.now.Sub(from)
			if times[took] = true; took < c.min || took > c.max {
				t.Errorf("seed %d: called again %v after a watch that lasted %v, want %v to %v", seed, took, c.lasted, c.min, c.max)
			}
		}
		if len(times) < 10 {
			t.Errorf("30 dispatchers call again after only %d different times, want at least 10", len(times))
		}
	}
}

// A pending call must not be replaced by another call to the same discovery, which would double discovery's work:
// neither by a retry that was due when discovery's address changed, nor by a subscription of the scheduler.
func TestDiscoveryIsCalledOnce(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		for seed := range uint64(10) {
			r := newRigWith(t, strings.Replace(settingsJSON, "on_request", mode, 1), seed)
			if mode == "pushed" {
				r.startWatch()
			}
			r.advance(10 * time.Millisecond)
			wiretest.Get(t, r.watches, "the first watch")
			r.handle(endpointEvent{watchID: r.watchID, err: context.DeadlineExceeded}) // a retry is due
			r.advance(10 * time.Millisecond)
			r.handle(discoveryChanged{"new"})
			w := wiretest.Get(t, r.watches, "the new watch")
			id := r.watchID
			r.advance(3 * time.Second)
			if r.watchID != id || w.ctx.Err() != nil {
				t.Fatalf("%s, seed %d: %d more calls while one is pending, want 0", mode, seed, r.watchID-id)
			}
			r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 2}})
			r.advance(20 * time.Second)
			if r.watchID != id || w.ctx.Err() != nil {
				t.Fatalf("%s, seed %d: %d more calls while the watch is open, want 0", mode, seed, r.watchID-id)
			}
			r.handle(endpointEvent{watchID: r.watchID, err: context.DeadlineExceeded})
			r.advance(200 * time.Millisecond)
			if r.watchID != id+1 {
				t.Fatalf("%s, seed %d: %d calls after the watch ended, want 1", mode, seed, r.watchID-id)
			}
		}
	}
}

// After Redirect the loop must watch the new address at once, from its present version on, and never the old address
// again. Requests and the endpoint list must be kept, in every phase.
func TestRedirect(t *testing.T) {
	r := newRig(t)
	old := wiretest.Get(t, r.watches, "the first watch, which the scheduler requests at once")
	r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 1}})
	r.handle(discoveryChanged{"new"})
	w := wiretest.Get(t, r.watches, "the new watch")
	if old.discovery != "old" || w.discovery != "new" || w.seq != 1 {
		t.Errorf("watches at %q, then at %q from version %d on; want old, new, 1", old.discovery, w.discovery, w.seq)
	}
	<-old.ctx.Done()
	r.handle(discoveryChanged{"new"})
	r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 1}})
	r.handle(endpointEvent{watchID: r.watchID, err: context.DeadlineExceeded})
	r.advance(3 * time.Second)
	if w = wiretest.Get(t, r.watches, "the next watch"); w.discovery != "new" || len(r.watches) > 0 {
		t.Errorf("next watch at %q, and %d more; want new and 0", w.discovery, len(r.watches))
	}
	a := r.arrive("a", "safe", 100*time.Second)
	r.handle(stopRequested{r.clock()})
	r.handle(discoveryChanged{"newer"})
	r.advance(0)
	if w = wiretest.Get(t, r.watches, "a watch while draining"); w.discovery != "newer" || len(a.answers) > 0 || r.endpoints.Len() != 2 {
		t.Errorf("watch at %q, answers %v, %d workers; want newer, none, 2", w.discovery, a.answers, r.endpoints.Len())
	}
}

// Ids must be remembered for at least the retention time, and their number must be bounded.
func TestRecentIDs(t *testing.T) {
	r := newRecentIDs(10, 0)
	if !r.add("a", 1) || r.add("a", 1) || r.add("a", 10.5) || !r.add("b", 11) || r.add("a", 20) {
		t.Error("an id was forgotten within the retention time, or a new id was not reported as new")
	}
	if !r.add("c", 22) || !r.add("a", 33) {
		t.Error("an id was not forgotten long after the retention time")
	}
	for n := range 5 * maxRecentIDs {
		r.add(fmt.Sprint(n), 34)
	}
	if all := len(r.current) + len(r.previous); all > 2*maxRecentIDs {
		t.Errorf("%d ids are remembered, more than two generations hold", all)
	}
}

func TestTimerTick(t *testing.T) {
	for grace, want := range map[float64]float64{0: 0.004, 1: 0.004, 0.016: 0.004, 0.008: 0.002, 0.0001: 0.001} {
		if got := timerTick(grace); got != want {
			t.Errorf("grace %v: tick %v, want %v", grace, got, want)
		}
	}
}

// A reload may change whether the loop or the scheduler keeps the watch open. There must still be a watch, and one
// call at a time.
func TestModeChangesWhileTheWatchIsDown(t *testing.T) {
	for from, to := range map[string]string{"pushed": "on_request", "on_request": "pushed"} {
		for _, state := range []string{"down", "asking", "open"} {
			r := newRigWith(t, strings.Replace(settingsJSON, "on_request", from, 1), 1)
			if from == "pushed" {
				r.startWatch()
			}
			r.advance(10 * time.Millisecond)
			wiretest.Get(t, r.watches, "the first watch")
			switch state {
			case "down":
				r.handle(endpointEvent{watchID: r.watchID, err: context.DeadlineExceeded})
			case "open":
				r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 1}})
			}
			r.advance(10 * time.Millisecond)
			s, err := settings.Parse([]byte(strings.Replace(settingsJSON, "on_request", to, 1)))
			if err != nil {
				t.Fatal(err)
			}
			id := r.watchID
			r.handle(settingsChanged{s})
			r.advance(3 * time.Second)
			if calls, want := r.watchID-id, map[string]int{"down": 1}[state]; calls != want {
				t.Fatalf("from %s to %s, %s: %d calls, want %d", from, to, state, calls, want)
			}
			id = r.watchID
			r.handle(endpointEvent{watchID: id, err: context.DeadlineExceeded})
			r.advance(3 * time.Second)
			if r.watchID != id+1 {
				t.Fatalf("from %s to %s, %s: %d calls after the watch ended, want 1", from, to, state, r.watchID-id)
			}
		}
	}
}

// A process that starts without any list must call discovery at once, whether the loop or the scheduler does so.
// Nothing else would cause the scheduler's first step, as no client connects before the process is ready.
func TestStartWithoutList(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		s, err := settings.Parse([]byte(strings.Replace(settingsJSON, "on_request", mode, 1)))
		if err != nil {
			t.Fatal(err)
		}
		asked := make(chan int64, 9)
		r := &rig{t: t}
		d, err := New(Options{Settings: s, Upstream: r, Phases: &Phases{}, Log: func(string, ...any) {}, Now: time.Now,
			Watch: func(ctx context.Context, _ string, seq int64, each func(*endpoints.Update)) error {
				asked <- seq
				u, _ := endpoints.Parse([]byte(cachedListJSON))
				each(u)
				<-ctx.Done()
				return ctx.Err()
			}})
		if err != nil {
			t.Fatal(err)
		}
		go d.Run(r)
		wiretest.Get(t, asked, mode+": a call to discovery")
		wiretest.Until(t, mode+": ready", d.Phases.Ready)
		d.Stop()
		<-d.done
	}
}

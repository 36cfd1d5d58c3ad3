package dispatcher

import (
	"context"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/lab/wiretest"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// A client has disconnected, but the message is still queued in the loop behind an event that makes the scheduler send
// the job. No attempt may start, neither the first nor a retry, and an attempt that waits for its connection must not
// write anything.
func TestDisconnectQueuedBehindDecision(t *testing.T) {
	r := newRig(t)
	first := r.arrive("first", "safe", time.Hour)
	r.advance(20 * time.Millisecond)
	first.req.MarkDisconnected()
	for _, notify := range r.healthChecks {
		notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
	}
	r.healthChecks = nil
	r.advance(20 * time.Millisecond) // rig.Start fails the test if the job is sent
	if r.requests["first"] != nil || len(first.answers) > 0 {
		t.Errorf("request still held: %v, answers %v; want false and none", r.requests["first"] != nil, first.answers)
	}
	r.handle(clientDisconnected{first.req})

	further := r.startJob("further", "safe")
	blocked := r.attemptRequests[len(r.attemptRequests)-1].Blocked
	if end := blocked(); end != "" {
		t.Errorf("blocked as %q while its client is connected, want not blocked", end)
	}
	further.req.MarkDisconnected()
	if end := blocked(); end != balance.Blocked {
		t.Errorf("got %q after its client has disconnected, want blocked", end)
	}
	further.inFlight.end(false)
	r.handle(attemptEvent{r.requests["further"], 0, "a", upstream.AttemptEvent{Outcome: balance.Blocked}})
	r.advance(100 * time.Millisecond)
	r.handle(clientDisconnected{further.req})
	r.advance(time.Second)
	if len(r.requests) > 0 || r.usage.netSlots != 0 {
		t.Errorf("%d requests held, %v slots counted; want 0 and 0", len(r.requests), r.usage.netSlots)
	}

	// A result that was already under way still counts, so jobs that depend on this one may run.
	served := r.startJob("served", "safe")
	served.req.MarkDisconnected()
	served.inFlight.end(true)
	r.handle(attemptEvent{r.requests["served"], 0, "a", upstream.AttemptEvent{Outcome: balance.Served}})
	if len(served.answers) != 1 || served.answers[0] != 200 {
		t.Errorf("answers %v to a served request, want [200]", served.answers)
	}
}

// The endpoint of a worker changes while an attempt waits for its connection. The decision was made for the former
// endpoint, so the attempt must not be written; the job has not run and must be sent to another worker.
func TestEndpointChangeBlocksConnectingAttempt(t *testing.T) {
	for _, c := range []struct {
		name, hosts string
		blocks      bool
	}{
		{"unchanged", `"whole":true,"hosts":[{"host":"a","dial":"1:1","site":"z","class":"k","health":"active"},{"host":"b","dial":"1:2","site":"z","class":"k","health":"active"}]`, false},
		{"other workers change", `"hosts":[{"host":"c","dial":"1:3","site":"z","class":"k","health":"active"}]`, false},
		{"worker drains", `"hosts":[{"host":"W","dial":"A","site":"z","class":"k","health":"leaving"}]`, true},
		{"worker has left", `"hosts":[{"host":"W","health":"left"}]`, true},
		{"worker missing from complete list", `"whole":true,"hosts":[{"host":"c","dial":"1:3","site":"z","class":"k","health":"active"}]`, true},
		{"worker has a new address", `"hosts":[{"host":"W","dial":"1:9","site":"z","class":"k","health":"active"}]`, true},
		{"worker is a new process", `"hosts":[{"host":"W","dial":"A","site":"z","class":"k","health":"active","born_ms":1000000000000}]`, true},
	} {
		r := newRig(t)
		j := r.startJob("1", "unsafe")
		o := r.attemptRequests[0]
		worker := "a"
		if r.attemptAddrs[0] == "1:2" {
			worker = "b"
		}
		u, err := endpoints.Parse([]byte(`{"seq":2,` + strings.NewReplacer(`"W"`, `"`+worker+`"`, `"A"`, `"`+r.attemptAddrs[0]+`"`).Replace(c.hosts) + `}`))
		if err != nil {
			t.Fatal(err)
		}
		r.handle(endpointEvent{watchID: r.watchID, update: u})
		end := o.Blocked()
		if want := map[bool]balance.Outcome{true: balance.Blocked}[c.blocks]; end != want {
			t.Errorf("%s: blocked as %q, want %q", c.name, end, want)
		}
		if end == "" {
			continue
		}
		j.inFlight.end(false)
		r.handle(attemptEvent{r.requests["1"], 0, worker, upstream.AttemptEvent{Outcome: end}})
		for range 5 {
			r.advance(20 * time.Millisecond)
			for _, notify := range r.healthChecks {
				notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
			}
			r.healthChecks = nil
		}
		if len(r.attemptRequests) != 2 || r.attemptRequests[1].Blocked() != "" || len(j.answers) > 0 {
			t.Errorf("%s: %d attempts, answers %v; want a second attempt that is not blocked, and no answer", c.name, len(r.attemptRequests), j.answers)
		}
	}
}

// The deduplication window of a job with an idempotency key begins when the first attempt that may have run was
// decided on, and a retry must reach its worker within it. A retry that waits for its connection must therefore be
// sent by the end of the window or not at all.
func TestKeyedRetryIsSentWithinTheWindow(t *testing.T) {
	for _, c := range []struct {
		class, first string
		window       bool
	}{{"keyed", "broken", true}, {"keyed", "stale", true}, {"keyed", "full", false}, {"keyed", "unreachable", false}, {"safe", "broken", false}} {
		r := newRig(t)
		j := r.startJob("1", c.class)
		decided := r.lastStepAt
		if first := r.attemptRequests[0]; !first.SendBy.Equal(first.Deadline) || first.AtMostOnce != (c.class != "safe") {
			t.Errorf("%v: first attempt: SendBy %v, AtMostOnce %v; want its deadline, and true unless the class is safe", c, first.SendBy, first.AtMostOnce)
		}
		r.handle(attemptEvent{r.requests["1"], 0, "", upstream.AttemptEvent{}})
		r.advance(100 * time.Millisecond)
		j.inFlight.end(c.first != "full" && c.first != "unreachable")
		r.handle(attemptEvent{r.requests["1"], 0, "", upstream.AttemptEvent{Outcome: balance.Outcome(c.first)}})
		for len(r.attemptRequests) == 1 && r.now.Before(j.sentAt.Add(5*time.Second)) {
			r.advance(20 * time.Millisecond)
			for _, notify := range r.healthChecks {
				notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
			}
			r.healthChecks = nil
		}
		if len(r.attemptRequests) != 2 {
			t.Fatalf("%v: got %d attempts and answers %v, want 2 attempts", c, len(r.attemptRequests), j.answers)
		}
		want := r.attemptRequests[1].Deadline
		if c.window {
			want = r.wallTime(decided + 9)
		}
		if got := r.attemptRequests[1].SendBy; got.Sub(want).Abs() > time.Microsecond {
			t.Errorf("%v: SendBy is %v after the first decision, want %v", c, got.Sub(r.wallTime(decided)), want.Sub(r.wallTime(decided)))
		}
	}
}

// blockingUpstream is the real connection pool, and pauses an attempt between its connection and its Blocked check.
type blockingUpstream struct {
	*upstream.Pool
	connected chan bool // receives a value when an attempt has its connection
	proceed   chan bool // lets the attempt continue
}

func (e *blockingUpstream) Start(o *upstream.AttemptRequest, addr string, notify func(upstream.AttemptEvent)) upstream.Attempt {
	blocked := o.Blocked
	o.Blocked = func() balance.Outcome {
		e.connected <- true
		<-e.proceed
		return blocked()
	}
	return e.Pool.Start(o, addr, notify)
}

// noDownstream is a Downstream without connections.
type noDownstream struct{ Downstream }

func (noDownstream) InFlight() int           { return 0 }
func (noDownstream) Open() int               { return 0 }
func (noDownstream) CloseIdle(time.Duration) {}
func (noDownstream) StopAccepting()          {}
func (noDownstream) Drained() bool           { return true }

// An attempt over real sockets has its connection. Before its first byte is written, its client disconnects without
// the loop knowing it, or discovery reports that its worker drains. The worker must not receive any byte.
func TestNothingSentAfterDisconnectOrDrain(t *testing.T) {
	const options = `{"balancers":1,"zone":"z","membership_mode":"pushed","round":0.004,
		"lanes":[{"name":"unsafe","aim":1,"hard_limit":20,"semantics":"unsafe"}],"caps":{"max_attempts":3,"dial_timeout":5}}`
	for _, what := range []string{"nothing", "leave", "drain"} {
		s, err := settings.Parse([]byte(options))
		if err != nil {
			t.Fatal(err)
		}
		target, each := wiretest.NewTarget(t), make(chan func(*endpoints.Update), 1)
		e := &blockingUpstream{&upstream.Pool{MaxConns: 8, DialTimeout: 5 * time.Second, IdleTimeout: time.Hour, Now: time.Now}, make(chan bool, 8), make(chan bool)}
		list := func(health string) string {
			return `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"` + target.Addr + `","site":"z","health":"` + health + `"}]}`
		}
		d, err := New(Options{Settings: s, CachedEndpoints: []byte(list("active")), Upstream: e, Phases: &Phases{}, Log: func(string, ...any) {}, Now: time.Now,
			Watch: func(ctx context.Context, _ string, _ int64, to func(*endpoints.Update)) error {
				to(&endpoints.Update{Seq: 1}) // nothing has changed since the cached list
				each <- to
				<-ctx.Done()
				return ctx.Err()
			}})
		if err != nil {
			t.Fatal(err)
		}
		go d.Run(noDownstream{})
		answers := make(chan downstream.Answer, 1)
		req := &downstream.Request{ID: "r", Class: "unsafe", Method: "POST", URI: "/unsafe", Body: []byte("b"), Slots: 1,
			Arrived: time.Now(), Timeout: 20 * time.Second, Answer: func(a downstream.Answer) { answers <- a }}
		d.Arrive(req)
		wiretest.Get(t, e.connected, "an attempt that has its connection")
		switch what {
		case "leave":
			req.MarkDisconnected()
		case "drain":
			u, err := endpoints.Parse([]byte(list("leaving")))
			if err != nil {
				t.Fatal(err)
			}
			wiretest.Get(t, each, "the watch")(u)
			d.Stats() // returns once the loop has handled the update
		}
		close(e.proceed)
		if what == "nothing" {
			wiretest.Get(t, target.Calls, "the request").WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"x"}`))
			if a := wiretest.Get(t, answers, "the answer"); a.Status != 200 {
				t.Errorf("answered %d, want 200", a.Status)
			}
		} else if wiretest.Get(t, target.Ends, "the end of the connection"); len(target.Calls) > 0 {
			t.Errorf("%s: the worker received the request", what)
		}
		d.Stop()
	}
}

// An attempt must use the settings of its class on arrival, after a reload and after a change of the agreed
// configuration.
func TestAttemptsFollowTheCurrentClass(t *testing.T) {
	r := newRig(t)
	unchanged := func(s *settings.Settings) *settings.Settings { return s }
	m := &configModel{changesAt: r.now.Add(time.Hour), before: &EffectiveConfig{Override: unchanged}, after: &EffectiveConfig{Override: allNonIdempotent}}
	r.ConfigSource = m
	arriveOnce := func(id string) bool {
		r.arrive(id, "safe", time.Hour)
		return r.requests[id].atMostOnce()
	}
	first := arriveOnce("1")
	s := allNonIdempotent(r.Settings)
	former := r.Settings
	r.ApplySettings(s)
	r.advance(8 * time.Millisecond)
	reloaded := arriveOnce("2")
	r.ApplySettings(former)
	r.advance(8 * time.Millisecond)
	back := arriveOnce("3")
	m.changesAt = r.now
	r.advance(8 * time.Millisecond)
	if ruled := arriveOnce("4"); first || !reloaded || back || !ruled {
		t.Errorf("atMostOnce: %v at first, %v after a reload, %v after a second one, %v by the agreed configuration; want false, true, false, true", first, reloaded, back, ruled)
	}
}

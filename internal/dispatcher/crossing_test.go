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

// A client's leaving stands in the loop's queue, behind what has the scheduler send: no attempt begins, the
// first or a further one, and an attempt that waits for its connection writes nothing.
func TestDisconnectQueuedBehindDecision(t *testing.T) {
	r := newRig(t)
	first := r.arrive("first", "safe", time.Hour)
	r.advance(20 * time.Millisecond)
	first.req.MarkDisconnected()
	for _, notify := range r.healthChecks {
		notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
	}
	r.healthChecks = nil
	r.advance(20 * time.Millisecond) // Start fails the test if it is sent
	if r.requests["first"] != nil || len(first.answers) > 0 {
		t.Errorf("held on: %v, answers %v", r.requests["first"] != nil, first.answers)
	}
	r.handle(clientDisconnected{first.req})

	further := r.startJob("further", "safe")
	blocked := r.attemptRequests[len(r.attemptRequests)-1].Blocked
	if end := blocked(); end != "" {
		t.Errorf("blocked as %q with its client there", end)
	}
	further.req.MarkDisconnected()
	if end := blocked(); end != balance.Blocked {
		t.Errorf("blocked as %q behind its client", end)
	}
	further.inFlight.end(false)
	r.handle(attemptEvent{r.requests["further"], 0, "a", upstream.AttemptEvent{Outcome: balance.Blocked}})
	r.advance(100 * time.Millisecond)
	r.handle(clientDisconnected{further.req})
	r.advance(time.Second)
	if len(r.requests) > 0 || r.usage.netSlots != 0 {
		t.Errorf("%d held, %v slots counted", len(r.requests), r.usage.netSlots)
	}

	// A result that was on its way before is one: what waits for this job may go.
	served := r.startJob("served", "safe")
	served.req.MarkDisconnected()
	served.inFlight.end(true)
	r.handle(attemptEvent{r.requests["served"], 0, "a", upstream.AttemptEvent{Outcome: balance.Served}})
	if len(served.answers) != 1 || served.answers[0] != 200 {
		t.Errorf("answers %v to what was served", served.answers)
	}
}

// While an attempt waits for its connection the entry of its worker changes. What was decided for the worker as
// it was is not written to it any more: the job never ran, and goes elsewhere.
func TestEndpointChangeBlocksConnectingAttempt(t *testing.T) {
	for _, c := range []struct {
		name, hosts string
		blocks      bool
	}{
		{"the same again", `"whole":true,"hosts":[{"host":"a","dial":"1:1","site":"z","class":"k","health":"active"},{"host":"b","dial":"1:2","site":"z","class":"k","health":"active"}]`, false},
		{"the others change", `"hosts":[{"host":"c","dial":"1:3","site":"z","class":"k","health":"active"}]`, false},
		{"it drains", `"hosts":[{"host":"W","dial":"A","site":"z","class":"k","health":"leaving"}]`, true},
		{"it has left", `"hosts":[{"host":"W","health":"left"}]`, true},
		{"it is not named any more", `"whole":true,"hosts":[{"host":"c","dial":"1:3","site":"z","class":"k","health":"active"}]`, true},
		{"it is elsewhere", `"hosts":[{"host":"W","dial":"1:9","site":"z","class":"k","health":"active"}]`, true},
		{"another process is there", `"hosts":[{"host":"W","dial":"A","site":"z","class":"k","health":"active","born_ms":1000000000000}]`, true},
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
			t.Errorf("%s: %d attempts, answers %v", c.name, len(r.attemptRequests), j.answers)
		}
	}
}

// A retry of a job with an idempotency key counts when it is at its worker, and the window begins when the first attempt
// that may have run was: one that waits for its connection meanwhile is out by the end of that window, or not at all.
func TestKeyedRetryIsSentWithinTheWindow(t *testing.T) {
	for _, c := range []struct {
		class, first string
		window       bool
	}{{"keyed", "broken", true}, {"keyed", "stale", true}, {"keyed", "full", false}, {"keyed", "unreachable", false}, {"safe", "broken", false}} {
		r := newRig(t)
		j := r.startJob("1", c.class)
		decided := r.lastStepAt
		if first := r.attemptRequests[0]; !first.SendBy.Equal(first.Deadline) || first.AtMostOnce != (c.class != "safe") {
			t.Errorf("%v: the first attempt has until %v, once %v", c, first.SendBy, first.AtMostOnce)
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
			t.Fatalf("%v: %d attempts, answers %v", c, len(r.attemptRequests), j.answers)
		}
		want := r.attemptRequests[1].Deadline
		if c.window {
			want = r.wallTime(decided + 9)
		}
		if got := r.attemptRequests[1].SendBy; got.Sub(want).Abs() > time.Microsecond {
			t.Errorf("%v: out by %v after the first, want %v", c, got.Sub(r.wallTime(decided)), want.Sub(r.wallTime(decided)))
		}
	}
}

// blockingUpstream is the real egress, with a hook between an attempt's connection and its last look.
type blockingUpstream struct {
	*upstream.Pool
	connected chan bool // an attempt has its connection
	proceed   chan bool // it may go on
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

// noDownstream is a clients' side without connections.
type noDownstream struct{ Downstream }

func (noDownstream) InFlight() int           { return 0 }
func (noDownstream) Open() int               { return 0 }
func (noDownstream) CloseIdle(time.Duration) {}
func (noDownstream) StopAccepting()          {}
func (noDownstream) Drained() bool           { return true }

// Over sockets: an attempt has its connection, and before its first byte its client leaves, of which the loop has
// not heard, or discovery says that its worker drains. No byte comes to that worker.
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
		wiretest.Get(t, e.connected, "a hop that has its connection")
		switch what {
		case "leave":
			req.MarkDisconnected()
		case "drain":
			u, err := endpoints.Parse([]byte(list("leaving")))
			if err != nil {
				t.Fatal(err)
			}
			wiretest.Get(t, each, "the watch")(u)
			d.Stats() // the loop has taken it in
		}
		close(e.proceed)
		if what == "nothing" {
			wiretest.Get(t, target.Calls, "the request").WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"x"}`))
			if a := wiretest.Get(t, answers, "its answer"); a.Status != 200 {
				t.Errorf("answered %d", a.Status)
			}
		} else if wiretest.Get(t, target.Ends, "the connection's end"); len(target.Calls) > 0 {
			t.Errorf("%s: the request came to the worker", what)
		}
		d.Stop()
	}
}

// An attempt has the settings that its job's class had on arrival: by a reload, and by the agreed configuration.
func TestAttemptsFollowTheCurrentClass(t *testing.T) {
	r := newRig(t)
	unchanged := func(s *settings.Settings) *settings.Settings { return s }
	m := &configModel{changesAt: r.now.Add(time.Hour), before: &EffectiveConfig{Override: unchanged}, after: &EffectiveConfig{Override: allNonIdempotent}}
	r.ConfigSource = m
	arriveOnce := func(id string) bool {
		r.arrive(id, "safe", time.Hour)
		return r.requests[id].atMostOnce
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
		t.Errorf("once: %v at first, %v after a reload, %v after another, %v by rules", first, reloaded, back, ruled)
	}
}

package upstream

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/lab/wiretest"
)

const (
	started = `{"id":"r","from":"s","state":"started"}`
	running = `{"id":"r","from":"s","state":"running","share":0.4}`
	done    = `{"id":"r","from":"s","state":"done","result":"ok","load":{"x0":3,"x1":2}}`
)

// scripts are ways in which a worker can answer, each with its outcome according
// to PROTOCOL's table and whether the connection may be reused.
var scripts = []struct {
	name, raw string
	hangUp    bool // the worker closes the connection after the answer
	want      balance.Outcome
	reuse     bool
}{
	{"served", wiretest.Lines(true, started, running, done), false, balance.Served, true},
	{"served with a novel state", wiretest.Lines(true, `{"state":"novel","x":[1]}`, "", done), false, balance.Served, true},
	{"served, no last chunk", wiretest.Lines(false, done), true, balance.Served, false},
	{"failed", wiretest.Lines(true, started, `{"id":"r","state":"failed"}`), false, balance.Failed, true},
	{"returned", wiretest.Lines(true, `{"id":"r","state":"returned"}`), false, balance.Overloaded, true},
	{"lost", wiretest.Lines(true, started, `{"id":"r","state":"lost"}`), false, balance.ConnectionLost, true},
	{"ends before the last line", wiretest.Lines(true, started, running), false, balance.ConnectionLost, false},
	{"breaks in a line", wiretest.Lines(false, started) + "40\r\n{\"id", true, balance.ConnectionLost, false},
	{"malformed line", wiretest.Lines(true, "{nonsense"), false, balance.ConnectionLost, false},
	{"another's line", wiretest.Lines(true, `{"id":"q","state":"done","result":"no"}`), false, balance.ConnectionLost, false},
	{"no result", wiretest.Lines(true, `{"id":"r","state":"done"}`), false, balance.ConnectionLost, false},
	{"no answer", "", true, balance.ConnectionLost, false},
	{"not HTTP", "nonsense\r\n\r\n", false, balance.ConnectionLost, false},
	{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Y: z\r\n", 8000), false, balance.ConnectionLost, false},
	{"endless line", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20), false, balance.ConnectionLost, false},
	{"500", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, balance.Failed, true},
	{"503 unstarted", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 2\r\n\r\nno", false, balance.Overloaded, true},
	{"504 unstarted", "HTTP/1.1 504 No\r\nNot-Started: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true, balance.Overloaded, false},
	{"503 maybe started", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, balance.Failed, true},
	{"interim answers before", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + wiretest.Lines(true, started, done), false, balance.Served, true},
	{"interim answers without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 4000), false, balance.ConnectionLost, false},
	{"another protocol", "HTTP/1.1 101 No\r\n\r\n", false, balance.ConnectionLost, false},
	{"two in one", wiretest.Lines(true, done) + wiretest.Lines(true, done), false, balance.Served, false},
	{"a last line that names no request", wiretest.Lines(true, `{"state":"done","result":"no"}`), false, balance.ConnectionLost, false},
	{"returned, naming no request", wiretest.Lines(true, `{"state":"returned"}`), false, balance.ConnectionLost, false},
	{"lines behind the last", wiretest.Lines(true, done, `{"id":"q","state":"done","result":"no"}`), false, balance.Served, true},
	{"half a line", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + done[:30], false, balance.ConnectionLost, false},
	{"a chunk's length without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 1<<16), false, balance.ConnectionLost, false},
	{"trailers without end", wiretest.Lines(false, done) + "0\r\n" + strings.Repeat("X-Y: z\r\n", 8000), false, balance.Served, false},
	{"404", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", false, balance.Failed, true},
}

// On a slow test machine the end of a connection may arrive late; it must count as stale even so.
func init() { staleDetectionWindow = time.Hour }

func newPool() *Pool {
	return &Pool{MaxConns: 32, DialTimeout: 5 * time.Second, IdleTimeout: time.Hour, Now: time.Now}
}

func newAttemptRequest() *AttemptRequest {
	return &AttemptRequest{ID: "r", Method: "POST", URI: "/c/x?y=1", IdempotencyKey: "k", Body: []byte("body"),
		Deadline: time.Now().Add(time.Hour), SendBy: time.Now().Add(time.Hour), Fields: []string{"x0", "x1"}}
}

// counts returns the numbers of idle and of all open connections of the pool.
func (p *Pool) counts() (idle, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle), p.openConns
}

// waitForOutcome receives events until one has an outcome, and returns it.
func waitForOutcome(t *testing.T, events <-chan AttemptEvent) AttemptEvent {
	t.Helper()
	for {
		if event := wiretest.Get(t, events, "an attempt's outcome"); event.Outcome != "" {
			return event
		}
	}
}

// FuzzAttempts runs attempts one after another and compares them with a model. In the model, each idle
// connection has the times from which on it may be reused. An attempt takes the most recently idle connection
// that it may use, or opens a new one. The script gives the outcome and whether the connection becomes idle
// again. The outcome is StaleConnection only if a reused connection ends without an answer, or if "not started"
// arrives while a second answer to an earlier job is possible.
func FuzzAttempts(f *testing.F) {
	for i := range scripts {
		f.Add([]byte{byte(i), 0, byte(i)})
		f.Add([]byte{byte(i), byte(100 + i), byte(150 + i), byte(i)})
	}
	f.Add([]byte{0, 200, 201, 0, 202, 0})
	f.Add([]byte{0, 11, 0, 11, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		target, p, now := wiretest.NewTarget(t), newPool(), time.Now()
		p.Now = func() time.Time { return now } // idle connections never expire
		type state struct {
			number                int
			reusableAt, settledAt time.Time
		}
		conns, idleConns := 0, []state(nil) // the model: connections opened so far, and idle ones, most recent last
		wiretest.Steps(data, 24, func(b byte) {
			if b < 100 || b >= 200 { // otherwise it starts right after the previous one
				now = now.Add(lateAnswerWindow)
			}
			request, events := newAttemptRequest(), make(chan AttemptEvent, 16)
			request.AtMostOnce = b < 150
			attempt := p.Start(request, target.Addr, func(e AttemptEvent) { events <- e })
			call := wiretest.Get(t, target.Calls, "a request")
			c, reused, unsettled := state{}, false, false
			for i := len(idleConns) - 1; i >= 0 && !reused; i-- {
				if c = idleConns[i]; !now.Before(c.reusableAt) && (!request.AtMostOnce || !now.Before(c.settledAt)) {
					reused, unsettled, idleConns = true, now.Before(c.settledAt), append(idleConns[:i], idleConns[i+1:]...)
				}
			}
			if !reused {
				conns++
				c = state{number: conns}
			}
			if call.ConnNumber != c.number {
				t.Fatalf("request arrived on connection %d, want %d", call.ConnNumber, c.number)
			}
			if b >= 200 { // abandoned: the worker must see the close before another request is sent
				attempt.Abandon()
				attempt.Abandon()
				wiretest.Get(t, target.Ends, "the end of an abandoned attempt's connection")
			} else {
				s := scripts[int(b)%len(scripts)]
				call.WriteRaw(s.raw)
				if s.hangUp {
					call.Close()
				}
				event, want, reuse := waitForOutcome(t, events), s.want, s.reuse
				if s.name == "no answer" && reused {
					want = balance.StaleConnection
				}
				if strings.HasSuffix(s.name, " unstarted") && unsettled {
					want, reuse = balance.StaleConnection, false
				}
				if event.Outcome != want ||
					event.Outcome == balance.Served && (string(event.Result) != "ok" || len(event.Report) != 2) {
					t.Fatalf("%s: got %+v, want %s", s.name, event, want)
				}
				if reuse {
					if c.settledAt = now.Add(lateAnswerWindow); want != balance.Served {
						c.reusableAt = c.settledAt
					}
					idleConns = append(idleConns, c)
				} else {
					wiretest.Get(t, target.Ends, "the end of a connection that is not reused")
				}
			}
			wiretest.Until(t, "the pool to match the model", func() bool {
				idle, open := p.counts()
				return idle == open && idle == len(idleConns)
			})
			p.mu.Lock()
			p.staleRatio = 0 // TestIdleTimeoutAdaptsToWorkers tests the adaptive idle timeout
			p.mu.Unlock()
		})
		p.CloseIdleTo(target.Addr)
		if idle, open := p.counts(); idle != 0 || open != 0 {
			t.Fatalf("got %d idle and %d open connections after CloseIdleTo, want none", idle, open)
		}
	})
}

// roundTripOn sends a request on a connection that belongs to no pool.
func roundTripOn(request *AttemptRequest, c *conn, dialBy time.Time) (end AttemptEvent, clean bool) {
	a := &attempt{request: request, dialBy: dialBy, notify: func(AttemptEvent) {}}
	return a.roundTrip(c)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	target, p := wiretest.NewTarget(t), newPool()
	request := newAttemptRequest()
	request.Deadline = time.Now().Add(time.Minute)
	attempt := p.Start(request, target.Addr, func(AttemptEvent) {})
	defer attempt.Abandon()
	c := wiretest.Get(t, target.Calls, "a request")
	got := []string{c.Req.Method, c.Req.RequestURI, c.Body, c.Req.Header.Get("Request-Id"), c.Req.Header.Get("Idempotency-Key")}
	if want := "POST /c/x?y=1 body r k"; strings.Join(got, " ") != want {
		t.Errorf("got %q, want %q", got, want)
	}
	// Request-Timeout is the time left until the deadline, not the client's original timeout.
	left, err := time.ParseDuration(c.Req.Header.Get("Request-Timeout") + "s")
	if err != nil || left > time.Minute || left < 50*time.Second {
		t.Errorf("got Request-Timeout %v (error %v), want just under a minute", left, err)
	}
}

// A request must not be sent on an idle connection that the worker has closed: a
// job that is not idempotent cannot be sent again after a reset.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	target, p := wiretest.NewTarget(t), newPool()
	for connNumber := 1; connNumber <= 2; connNumber++ {
		events := make(chan AttemptEvent, 4)
		p.Start(newAttemptRequest(), target.Addr, func(e AttemptEvent) { events <- e })
		call := wiretest.Get(t, target.Calls, "a request")
		if call.ConnNumber != connNumber {
			t.Fatalf("request arrived on connection %d, want %d", call.ConnNumber, connNumber)
		}
		call.WriteRaw(wiretest.Lines(true, done))
		if event := waitForOutcome(t, events); event.Outcome != balance.Served {
			t.Fatalf("got %+v", event)
		}
		wiretest.Until(t, "the connection to become idle", func() bool { idle, _ := p.counts(); return idle == 1 })
		call.Close()
		p.idle[0].Read(nil)
		p.idle[0].SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := p.idle[0].reader.Peek(1); err == nil {
			t.Fatal("the worker's close has not arrived")
		}
	}
}

// A worker may send a second answer some milliseconds after the first, when the connection carries the next
// request. An answer line that names its request is recognised as another's. "Not started" names none: taken
// for the answer to the next request, it would seem to prove that this running job never ran, and a job that
// is not idempotent would be sent again.
func TestSecondAnswerAfterReuse(t *testing.T) {
	const notStarted = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, raw   string
		first, next balance.Outcome
		connNumber  int // the connection on which the next request arrives
	}{
		{"not started", notStarted, balance.Overloaded, balance.Served, 2},
		{"served", wiretest.Lines(true, strings.Replace(done, `"r"`, `"before"`, 1)), balance.Served, balance.ConnectionLost, 1},
	} {
		target, p := wiretest.NewTarget(t), newPool()
		now := time.Now()
		p.Now = func() time.Time { return now }
		startAttempt := func(id string) (*wiretest.Call, chan AttemptEvent) {
			request, events := newAttemptRequest(), make(chan AttemptEvent, 8)
			request.ID = id
			p.Start(request, target.Addr, func(e AttemptEvent) { events <- e })
			return wiretest.Get(t, target.Calls, "a request"), events
		}
		waitIdle := func(n int) {
			t.Helper()
			wiretest.Until(t, "the connection to become idle", func() bool { i, _ := p.counts(); return i == n })
		}
		first, events := startAttempt("before")
		first.WriteRaw(c.raw)
		if event := waitForOutcome(t, events); event.Outcome != c.first {
			t.Fatalf("%s: got %+v", c.name, event)
		}
		waitIdle(1)
		call, events := startAttempt("r")
		first.WriteRaw(c.raw) // again, while the next job runs
		if call.ConnNumber == 2 {
			call.WriteRaw(wiretest.Lines(true, done))
		}
		if event := waitForOutcome(t, events); call.ConnNumber != c.connNumber || event.Outcome != c.next {
			t.Errorf("%s, then the same again: the next request arrived on connection %d and ended as %s (%s)",
				c.name, call.ConnNumber, event.Outcome, event.Reason)
		}
	}
	// A connection without a second answer is reused.
	target, p := wiretest.NewTarget(t), newPool()
	now := time.Now()
	p.Now = func() time.Time { return now }
	for range 2 {
		events := make(chan AttemptEvent, 8)
		p.Start(newAttemptRequest(), target.Addr, func(e AttemptEvent) { events <- e })
		call := wiretest.Get(t, target.Calls, "a request")
		if call.ConnNumber != 1 {
			t.Error("a connection on which a job was not started is never reused")
		}
		call.WriteRaw(notStarted)
		waitForOutcome(t, events)
		now = now.Add(lateAnswerWindow)
	}
}

// Workers that close idle connections long before IdleTimeout cost two attempts
// in total, not one each time: from then on the idle timeout is half of the shorter
// idle time of the two dead connections. It doubles after idleTimeoutRecovery
// without a dead connection.
func TestIdleTimeoutAdaptsToWorkers(t *testing.T) {
	target, p := wiretest.NewTarget(t), newPool()
	now := time.Now()
	p.Now = func() time.Time { return now }
	conns := 0
	attemptOnce := func(idle time.Duration, reused, lost bool) {
		t.Helper()
		now = now.Add(idle)
		if !reused {
			conns++
		}
		events := make(chan AttemptEvent, 4)
		p.Start(newAttemptRequest(), target.Addr, func(e AttemptEvent) { events <- e })
		call := wiretest.Get(t, target.Calls, "a request")
		if call.ConnNumber != conns {
			t.Fatalf("idle for %v: request arrived on connection %d, want %d", idle, call.ConnNumber, conns)
		}
		want := balance.Served
		if lost {
			call.Close()
			want = balance.StaleConnection
		} else {
			call.WriteRaw(wiretest.Lines(true, done))
		}
		if event := waitForOutcome(t, events); event.Outcome != want {
			t.Fatalf("got %+v", event)
		}
		wiretest.Until(t, "the connection to become idle",
			func() bool { idle, open := p.counts(); return idle == open && (idle == 1) == !lost })
	}
	attemptOnce(0, false, false)
	attemptOnce(600*time.Millisecond, true, true)
	attemptOnce(0, false, false)
	attemptOnce(800*time.Millisecond, true, false) // a single dead connection does not shorten the timeout
	attemptOnce(700*time.Millisecond, true, true)
	attemptOnce(0, false, false)
	attemptOnce(310*time.Millisecond, false, false) // the idle timeout is 0.3 s
	attemptOnce(290*time.Millisecond, true, false)
	p.CloseExpired()
	attemptOnce(idleTimeoutRecovery+time.Second, false, false)
	attemptOnce(590*time.Millisecond, true, false) // no dead connection since: the idle timeout is 0.6 s
}

// A connection that breaks before the request is written completely does not show
// that the worker is lost: the same attempt sends the job on a new connection.
func TestDeadConnectionIsReplaced(t *testing.T) {
	target, events := wiretest.NewTarget(t), make(chan AttemptEvent, 4)
	dead := func() *Pool {
		client, worker := net.Pipe()
		worker.Close()
		c := &conn{Conn: client, addr: target.Addr, limit: io.LimitedReader{R: client}, idleSince: time.Now()}
		c.reader = bufio.NewReader(&c.limit)
		p := newPool()
		p.idle, p.openConns = []*conn{c}, 1
		return p
	}
	dead().Start(newAttemptRequest(), target.Addr, func(e AttemptEvent) { events <- e })
	wiretest.Get(t, target.Calls, "a request").WriteRaw(wiretest.Lines(true, done))
	if event := waitForOutcome(t, events); event.Outcome != balance.Served {
		t.Errorf("got %+v", event)
	}
	dead().HealthCheck(target.Addr, nil, func(e AttemptEvent) { events <- e })
	wiretest.Get(t, target.Calls, "a health check").WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if event := wiretest.Get(t, events, "the outcome"); event.Outcome != balance.Served {
		t.Errorf("health check: got %+v", event)
	}
}

func TestIdleTimeoutClosesConnections(t *testing.T) {
	target, p := wiretest.NewTarget(t), newPool()
	now := time.Now()
	p.IdleTimeout, p.Now = 10*time.Second, func() time.Time { return now }
	p.HealthCheck(target.Addr, nil, func(AttemptEvent) {})
	wiretest.Get(t, target.Calls, "a health check").WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wiretest.Until(t, "the connection to become idle", func() bool { idle, _ := p.counts(); return idle == 1 })
	p.CloseExpired()
	if idle, _ := p.counts(); idle != 1 {
		t.Fatal("connection closed before its idle timeout")
	}
	now = now.Add(11 * time.Second)
	p.CloseExpired()
	if idle, open := p.counts(); idle != 0 || open != 0 {
		t.Fatalf("got %d idle and %d open connections after the idle timeout, want none", idle, open)
	}
}

// A lower limit, as each upgrade sets it, closes idle connections immediately and busy ones when they are
// returned. The next attempts can open connections within the limit.
func TestResizeToLowerLimit(t *testing.T) {
	target, other, p := wiretest.NewTarget(t), wiretest.NewTarget(t), newPool()
	events := make(chan AttemptEvent, 16)
	notify := func(e AttemptEvent) { events <- e }
	var calls []*wiretest.Call
	for range 8 {
		p.Start(newAttemptRequest(), target.Addr, notify)
		calls = append(calls, wiretest.Get(t, target.Calls, "a request"))
	}
	for n, c := range calls {
		if n == 6 {
			p.Resize(3)
			if idle, open := p.counts(); idle != 1 || open != 3 {
				t.Errorf("got %d idle and %d open connections right after Resize(3), want 1 and 3", idle, open)
			}
		}
		c.WriteRaw(wiretest.Lines(true, done))
		waitForOutcome(t, events)
		wiretest.Until(t, "the connection to be returned", func() bool {
			idle, open := p.counts()
			return idle == open-(7-n)
		})
	}
	if idle, open := p.counts(); idle != 3 || open != 3 {
		t.Errorf("got %d idle and %d open connections, want 3 and 3", idle, open)
	}
	p.Start(newAttemptRequest(), other.Addr, notify)
	p.Start(newAttemptRequest(), other.Addr, notify)
	for range 2 {
		wiretest.Get(t, other.Calls, "a request on a new connection").WriteRaw(wiretest.Lines(true, done))
		if event := waitForOutcome(t, events); event.Outcome != balance.Served {
			t.Errorf("got %+v", event)
		}
	}
}

func TestHealthChecks(t *testing.T) {
	target, p := wiretest.NewTarget(t), newPool()
	for _, c := range []struct {
		raw    string
		hangUp bool
		want   balance.Outcome
		report int
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"x0\":3,\"x1\":2}", false, balance.Served, 2},
		{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"x0\":\"no\"}", false, balance.Served, 0},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nno!", false, balance.Served, 0},
		{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, balance.Overloaded, 0},
		{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", false, balance.Failed, 0},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", true, balance.ConnectionLost, 0},
	} {
		events := make(chan AttemptEvent, 1)
		p.HealthCheck(target.Addr, []string{"x0", "x1"}, func(e AttemptEvent) { events <- e })
		call := wiretest.Get(t, target.Calls, "a health check")
		if call.Req.RequestURI != "/load" {
			t.Errorf("got a request for %s, want /load", call.Req.RequestURI)
		}
		call.WriteRaw(c.raw)
		if c.hangUp {
			call.Close()
		}
		if event := wiretest.Get(t, events, "the outcome"); event.Outcome != c.want || len(event.Report) != c.report {
			t.Errorf("%q: got %+v, want %s with %d values", c.raw, event, c.want, c.report)
		}
	}
}

// If a connection breaks before the request's last byte is written, the job has
// not run, so that even a job that is not idempotent may be sent again.
func TestPartlyWrittenRequestNeverRan(t *testing.T) {
	client, worker := net.Pipe()
	go func() {
		io.ReadFull(worker, make([]byte, 40))
		worker.Close()
	}()
	c := &conn{Conn: client, addr: "x", limit: io.LimitedReader{R: client}}
	end, clean := roundTripOn(newAttemptRequest(), c, time.Now().Add(time.Minute))
	if end.Outcome != balance.Unreachable || clean {
		t.Errorf("got %+v, clean %v", end, clean)
	}
}

// An attempt that gets no connection is Unreachable: the job has not run. If this
// process has no descriptor left, the attempt is Overloaded, since that is not the
// worker's fault and must not make it count as lost.
func TestConnectFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := l.Addr().String()
	l.Close()
	target, p := wiretest.NewTarget(t), newPool()
	p.MaxConns = 1
	events := make(chan AttemptEvent, 1)
	p.Start(newAttemptRequest(), refusing, func(e AttemptEvent) { events <- e })
	if event := wiretest.Get(t, events, "the outcome"); event.Outcome != balance.Unreachable {
		t.Errorf("connection refused: got %+v", event)
	}
	attempt := p.Start(newAttemptRequest(), target.Addr, func(AttemptEvent) {})
	wiretest.Get(t, target.Calls, "a request")
	p.Start(newAttemptRequest(), target.Addr, func(e AttemptEvent) { events <- e })
	if event := wiretest.Get(t, events, "the outcome"); event.Outcome != balance.Overloaded {
		t.Errorf("no descriptor left: got %+v", event)
	}
	attempt.Abandon()
	wiretest.Until(t, "the connection to close", func() bool { _, open := p.counts(); return open == 0 })
}

// If an attempt is blocked between dial and first byte, for example because
// operators cordon its worker, no byte is sent, neither on a reused nor on a new
// connection, and the job counts as never run.
func TestBlockedAttemptNeverRan(t *testing.T) {
	target := wiretest.NewTarget(t)
	p := newPool()
	attemptOnce := func(blocked balance.Outcome) AttemptEvent {
		request, events := newAttemptRequest(), make(chan AttemptEvent, 8)
		request.Blocked = func() balance.Outcome { return blocked }
		p.Start(request, target.Addr, func(e AttemptEvent) { events <- e })
		return waitForOutcome(t, events)
	}
	served := make(chan AttemptEvent, 1)
	go func() { served <- attemptOnce("") }()
	wiretest.Get(t, target.Calls, "an attempt that is not blocked").WriteRaw(wiretest.Lines(true, done))
	if event := wiretest.Get(t, served, "its outcome"); event.Outcome != balance.Served {
		t.Fatalf("got %+v", event)
	}
	wiretest.Until(t, "the connection to become idle", func() bool { idle, _ := p.counts(); return idle == 1 })
	// First on the idle connection, then on a new one.
	for _, end := range []balance.Outcome{balance.Unreachable, balance.Overloaded} {
		if event := attemptOnce(end); event.Outcome != end || event.retryable {
			t.Errorf("got %+v", event)
		}
	}
	wiretest.Get(t, target.Ends, "the first connection's end")
	wiretest.Get(t, target.Ends, "the second connection's end")
	if idle, open := p.counts(); len(target.Calls) > 0 || idle != 0 || open != 0 {
		t.Errorf("got %d requests, %d idle and %d open connections, want none", len(target.Calls), idle, open)
	}
}

// An answer that arrives in two parts, split at any byte, also within a chunk's length, is read like one
// that arrives in one part.
func TestAnswerSplitAtAnyByte(t *testing.T) {
	target := wiretest.NewTarget(t)
	p := newPool()
	answer := wiretest.Lines(true, started, running, done)
	for cut := 1; cut < len(answer); cut++ {
		events := make(chan AttemptEvent, 8)
		p.Start(newAttemptRequest(), target.Addr, func(e AttemptEvent) { events <- e })
		call := wiretest.Get(t, target.Calls, "the request")
		call.WriteRaw(answer[:cut])
		call.WriteRaw(answer[cut:])
		if event := waitForOutcome(t, events); event.Outcome != balance.Served ||
			string(event.Result) != "ok" || len(event.Report) != 2 {
			t.Fatalf("split at %d: got %+v", cut, event)
		}
	}
}

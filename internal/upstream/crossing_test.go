package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/lab/wiretest"
)

// An attempt that gets its connection only after SendBy is not sent, neither on an idle connection nor on a
// new one, and counts as never run.
func TestNothingIsSentAfterSendBy(t *testing.T) {
	target, p := wiretest.NewTarget(t), newPool()
	p.HealthCheck(target.Addr, nil, func(AttemptEvent) {})
	wiretest.Get(t, target.Calls, "a health check").WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wiretest.Until(t, "the connection to become idle", func() bool { idle, _ := p.counts(); return idle == 1 })
	for range 2 {
		request, events := newAttemptRequest(), make(chan AttemptEvent, 1)
		request.SendBy = time.Now()
		p.Start(request, target.Addr, func(e AttemptEvent) { events <- e })
		if event := waitForOutcome(t, events); event.Outcome != balance.Blocked || event.retryable {
			t.Errorf("got %+v", event)
		}
	}
	wiretest.Get(t, target.Ends, "the first connection's end")
	wiretest.Get(t, target.Ends, "the second connection's end")
	if len(target.Calls) > 0 {
		t.Error("a request arrived after SendBy")
	}
}

// deadlineRecorder is a connection that records its write and read deadlines.
type deadlineRecorder struct {
	net.Conn
	writeDeadline, readDeadline time.Time
	readDeadlineCalls           int // number of SetReadDeadline calls
}

func (c *deadlineRecorder) SetReadDeadline(t time.Time) error {
	c.readDeadline, c.readDeadlineCalls = t, c.readDeadlineCalls+1
	return c.Conn.SetReadDeadline(t)
}

func (c *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SendBy also bounds the last byte: a write that the worker blocks ends at SendBy, or deadlineGrace after the
// dial deadline if that is earlier.
func TestWriteDeadline(t *testing.T) {
	for _, left := range []time.Duration{-1, time.Minute} { // until SendBy; -1 leaves SendBy as it is, an hour from now
		client, worker := net.Pipe()
		go func() { io.ReadFull(worker, make([]byte, 40)); worker.Close() }()
		c, request, now := &deadlineRecorder{Conn: client}, newAttemptRequest(), time.Now()
		want := now.Add(time.Minute + deadlineGrace)
		if left > 0 {
			request.SendBy = now.Add(left)
			want = request.SendBy
		}
		roundTripOn(request, &conn{Conn: c, addr: "x", limit: io.LimitedReader{R: c}}, now.Add(time.Minute))
		if !c.writeDeadline.Equal(want) {
			t.Errorf("SendBy in %v: got write deadline %v, want %v", left, c.writeDeadline.Sub(now), want.Sub(now))
		}
	}
}

// A worker may send a second answer when the connection already carries the next request. That answer must
// not make a job that must not run twice count as not started, nor end an attempt whose connection stays open.
func TestSecondAnswerDuringNextRequest(t *testing.T) {
	const notStarted = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	line := func(state string) string {
		return wiretest.Lines(true, `{"id":"r","state":"`+state+`","result":"old"}`)
	}
	for _, c := range []struct {
		name, raw, lateAnswer string
		atMostOnce            bool
		connNumber            int             // the connection on which the next request arrives
		next                  balance.Outcome // its outcome, if the late answer is taken for its own
	}{
		{"served, then not started", line("done"), notStarted, true, 2, ""},
		{"served, then not started, and the next job may run twice", line("done"), notStarted, false, 1, balance.StaleConnection},
		{"returned twice, and the job is sent again", line("returned"), line("returned"), true, 2, ""},
		{"failed twice, and the job is sent again", line("failed"), line("failed"), false, 2, ""},
		{"returned, then not started", line("returned"), notStarted, false, 2, ""},
		{"error status, then not started", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", notStarted, false, 2, ""},
	} {
		target, p := wiretest.NewTarget(t), newPool()
		now := time.Now()
		p.Now = func() time.Time { return now }
		startAttempt := func() (*wiretest.Call, chan AttemptEvent) {
			request, events := newAttemptRequest(), make(chan AttemptEvent, 8)
			request.AtMostOnce = c.atMostOnce
			p.Start(request, target.Addr, func(e AttemptEvent) { events <- e })
			return wiretest.Get(t, target.Calls, "a request"), events
		}
		first, events := startAttempt()
		first.WriteRaw(c.raw)
		waitForOutcome(t, events)
		wiretest.Until(t, "the connection to become idle", func() bool { idle, _ := p.counts(); return idle == 1 })
		now = now.Add(lateAnswerWindow - 1)
		next, events := startAttempt()
		first.WriteRaw(c.lateAnswer)
		want := c.next
		if want == "" {
			want = balance.Served
			next.WriteRaw(wiretest.Lines(true, done))
		}
		if event := waitForOutcome(t, events); next.ConnNumber != c.connNumber || event.Outcome != want ||
			want == balance.Served && string(event.Result) != "ok" {
			t.Errorf("%s: the next request arrived on connection %d and ended as %s (%s)",
				c.name, next.ConnNumber, event.Outcome, event.Reason)
		}
		if want == balance.StaleConnection {
			wiretest.Get(t, target.Ends, "the end of the connection")
		}
	}
	// Without a second answer the connection is reused, immediately if it carried only a health check.
	target, p := wiretest.NewTarget(t), newPool()
	now := time.Now()
	p.Now = func() time.Time { return now }
	p.HealthCheck(target.Addr, nil, func(AttemptEvent) {})
	wiretest.Get(t, target.Calls, "a health check").WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	waitIdle := func() {
		t.Helper()
		wiretest.Until(t, "the connection to become idle", func() bool { idle, _ := p.counts(); return idle == 1 })
	}
	waitIdle()
	for _, answer := range []string{notStarted, line("returned"), line("done")} {
		request, events := newAttemptRequest(), make(chan AttemptEvent, 8)
		request.AtMostOnce = true
		p.Start(request, target.Addr, func(e AttemptEvent) { events <- e })
		call := wiretest.Get(t, target.Calls, "a request")
		call.WriteRaw(answer)
		if event := waitForOutcome(t, events); call.ConnNumber != 1 || event.Outcome == balance.StaleConnection {
			t.Errorf("request on connection %d, want 1, ended as %s", call.ConnNumber, event.Outcome)
		}
		waitIdle()
		now = now.Add(lateAnswerWindow)
	}
}

// A worker that repeats the state started must not fill the event loop's queue: it is reported once.
func TestStartIsReportedOnce(t *testing.T) {
	target, p, events := wiretest.NewTarget(t), newPool(), make(chan AttemptEvent, 1000)
	p.Start(newAttemptRequest(), target.Addr, func(e AttemptEvent) { events <- e })
	lines := []string{done}
	for range 500 {
		lines = append([]string{started}, lines...)
	}
	wiretest.Get(t, target.Calls, "a request").WriteRaw(wiretest.Lines(true, lines...))
	if first, last := wiretest.Get(t, events, "the start"), wiretest.Get(t, events, "the end"); first.Outcome != "" ||
		last.Outcome != balance.Served {
		t.Errorf("got %+v, then %+v; want a start, then the outcome Served", first, last)
	}
}

// A connection is not reused after a health check whose answer was not read to its end.
func TestUnreadHealthAnswerClosesConnection(t *testing.T) {
	target, p, events := wiretest.NewTarget(t), newPool(), make(chan AttemptEvent, 1)
	p.HealthCheck(target.Addr, []string{"x0"}, func(e AttemptEvent) { events <- e })
	call := wiretest.Get(t, target.Calls, "a health check")
	// The rest of the body is never sent, so that no unread bytes show that the answer is incomplete.
	call.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("x", maxLine))
	wiretest.Get(t, events, "the outcome")
	wiretest.Get(t, target.Ends, "the end of the connection")
	if idle, _ := p.counts(); idle > 0 {
		t.Error("the connection is idle in the pool")
	}
}

// errConn is a connection whose Write writes all bytes but returns an error.
type errConn struct{ net.Conn }

func (c *errConn) Write(b []byte) (int, error) { c.Conn.Write(b); return len(b), io.ErrClosedPipe }

// Once the last byte is written the job may have run, even if the write returns an error. The attempt must
// not be retried on a new connection.
func TestWriteErrorAfterLastByteIsNotRetried(t *testing.T) {
	client, worker := net.Pipe()
	go func() { worker.Read(make([]byte, 4096)); worker.Close() }()
	c := &errConn{client}
	end, clean := roundTripOn(newAttemptRequest(),
		&conn{Conn: c, addr: "x", limit: io.LimitedReader{R: c}, reader: bufio.NewReader(c)}, time.Now().Add(time.Minute))
	if end.Outcome != balance.ConnectionLost || end.retryable || clean {
		t.Errorf("got %+v, clean %v", end, clean)
	}
}

// An abandoned attempt writes nothing more and reports one outcome at most, whether it is abandoned when it
// gets an idle connection, between the Blocked call and its first byte, or in the Blocked call for the
// connection that replaces a broken one.
func TestAbandonBeforeFirstByte(t *testing.T) {
	for _, at := range []string{"takes idle connection", "first Blocked", "second Blocked"} {
		target, p := wiretest.NewTarget(t), newPool()
		attempts, events := make(chan Attempt, 1), make(chan AttemptEvent, 8)
		abandon := sync.OnceFunc(func() { (<-attempts).Abandon() })
		request := newAttemptRequest()
		switch at {
		case "takes idle connection":
			p.HealthCheck(target.Addr, nil, func(AttemptEvent) {})
			wiretest.Get(t, target.Calls, "a health check").WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			wiretest.Until(t, "the connection to become idle", func() bool { idle, _ := p.counts(); return idle == 1 })
			p.mu.Lock()
			p.Now = func() time.Time { abandon(); return time.Now() } // called when the pool looks for an idle connection
			p.mu.Unlock()
		case "first Blocked":
			request.Blocked = func() balance.Outcome { abandon(); return "" }
		case "second Blocked":
			client, worker := net.Pipe()
			worker.Close()
			c := &conn{Conn: client, addr: target.Addr, limit: io.LimitedReader{R: client}, idleSince: time.Now()}
			c.reader = bufio.NewReader(&c.limit)
			p.idle, p.openConns = []*conn{c}, 1
			calls := 0
			request.Blocked = func() balance.Outcome {
				if calls++; calls == 2 {
					abandon()
				}
				return ""
			}
		}
		attempts <- p.Start(request, target.Addr, func(e AttemptEvent) { events <- e })
		if event := waitForOutcome(t, events); event.Outcome == balance.Served {
			t.Errorf("%s: got %+v", at, event)
		}
		wiretest.Get(t, target.Ends, "the connection's end")
		wiretest.Until(t, "the connection to close", func() bool { _, open := p.counts(); return open == 0 })
		if len(target.Calls)+len(events) > 0 {
			t.Errorf("%s: got %d requests and %d more outcomes, want none", at, len(target.Calls), len(events))
		}
	}
}

// Abandon cancels a dial in progress: the attempt ends without waiting for the connection.
func TestAbandonDuringDial(t *testing.T) {
	addr := wiretest.StalledAddr(t)
	p, events := newPool(), make(chan AttemptEvent, 8)
	p.DialTimeout = time.Hour
	attempt := p.Start(newAttemptRequest(), addr, func(e AttemptEvent) { events <- e })
	wiretest.Until(t, "the dial", func() bool { _, open := p.counts(); return open == 1 })
	attempt.Abandon()
	if event := waitForOutcome(t, events); event.Outcome != balance.Unreachable || len(events) > 0 {
		t.Errorf("got %+v and %d more events, want Unreachable and none", event, len(events))
	}
	if _, open := p.counts(); open > 0 {
		t.Errorf("got %d open connections, want none", open)
	}
}

// Reads of an answer are bounded in time: up to the last line by the client's deadline plus deadlineGrace,
// then by drainTimeout (a quarter of a second), even if the rest keeps arriving slowly.
func TestReadDeadlines(t *testing.T) {
	client, worker := net.Pipe()
	go func() {
		http.ReadRequest(bufio.NewReader(worker))
		io.WriteString(worker, wiretest.Lines(false, started, done))
	}()
	recorder, request := &deadlineRecorder{Conn: client}, newAttemptRequest()
	c := &conn{Conn: recorder, addr: "x", limit: io.LimitedReader{R: recorder}}
	c.reader = bufio.NewReader(&c.limit)
	if end, _ := roundTripOn(request, c, time.Now()); end.Outcome != balance.Served ||
		!recorder.readDeadline.Equal(request.Deadline.Add(deadlineGrace)) {
		t.Errorf("got %+v with a read deadline %v after the client's deadline, want Served and deadlineGrace",
			end, recorder.readDeadline.Sub(request.Deadline))
	}
	before := time.Now()
	if c.drain() || recorder.readDeadline.Before(before.Add(drainTimeout)) ||
		recorder.readDeadline.After(time.Now().Add(drainTimeout)) || recorder.readDeadlineCalls != 2 {
		t.Errorf("drain: got read deadline after %v, set %d times in total; want drainTimeout and 2",
			recorder.readDeadline.Sub(before), recorder.readDeadlineCalls)
	}
}

// If a reused connection ends without an answer later than staleDetectionWindow after the request, the outcome
// is ConnectionLost, not StaleConnection: the connection was alive when the request was sent.
func TestStaleDetectionWindow(t *testing.T) {
	defer func(previous time.Duration) { staleDetectionWindow = previous }(staleDetectionWindow)
	for _, c := range []struct {
		within time.Duration
		want   balance.Outcome
	}{{time.Hour, balance.StaleConnection}, {0, balance.ConnectionLost}} {
		staleDetectionWindow = c.within
		client, worker := net.Pipe()
		go func() { http.ReadRequest(bufio.NewReader(worker)); worker.Close() }()
		reused := &conn{Conn: client, addr: "x", limit: io.LimitedReader{R: client}, idleFor: 1}
		reused.reader = bufio.NewReader(&reused.limit)
		if end, _ := roundTripOn(newAttemptRequest(), reused, time.Now().Add(time.Minute)); end.Outcome != c.want ||
			end.staleConn != (c.want == balance.StaleConnection) {
			t.Errorf("window %v: got %+v", c.within, end)
		}
	}
}

package downstream

import (
	"io"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/lab/wiretest"
)

// delayUntil measures a Unix time against the given reading of the system clock,
// and bounds the result by 0 and maxDelay.
func TestDelayUntil(t *testing.T) {
	now := time.Unix(1000, 500_000_000)
	for unix, want := range map[float64]time.Duration{1003: 2500 * time.Millisecond, 1000.5: 0, 999: 0, 0: 0, 9e10: 1e9 * time.Second} {
		if got := delayUntil(unix, now); got != want {
			t.Errorf("delay until %v: got %v, want %v", unix, got, want)
		}
	}
}

// A class that SetClasses adds is accepted immediately. A removed class is still
// accepted, with its settings, for removedClassGrace.
func TestSetClasses(t *testing.T) {
	s, d, l := startServer(t, 8)
	c := l.Dial()
	post := func(class string) {
		io.WriteString(c, "POST /"+class+" HTTP/1.1\r\nHost: x\r\nRequest-Id: "+class+"\r\nContent-Length: 0\r\n\r\n")
	}
	s.SetClasses(map[string]Class{"new": {Deadline: time.Second}, "safe": {Deadline: time.Second}})
	for class, deadline := range map[string]time.Duration{"new": time.Second, "safe": time.Second} {
		post(class)
		r := wiretest.Get(t, d.arrivals, class)
		if r.Timeout != deadline {
			t.Errorf("class %s: got unexpected deadline %v", class, r.Timeout)
		}
		r.Answer(Answer{Status: 200})
		c.Status(t)
	}
	post("keyed") // still accepted, and an idempotency key is still required
	if got, body := c.Status(t); got != 400 || !strings.Contains(body, "Idempotency-Key") {
		t.Errorf("class removed just now: got status %d and body %s", got, body)
	}
	removed := (*s.classes.Load())["keyed"]
	removed.removedAt = time.Now().Add(-time.Millisecond)
	(*s.classes.Load())["keyed"] = removed
	c = l.Dial()
	post("keyed")
	if got, _ := c.Status(t); got != 404 {
		t.Errorf("class removed long ago: got status %d, want 404", got)
	}
	s.SetClasses(classes)
	c = l.Dial()
	post("new")
	wiretest.Get(t, d.arrivals, "a request of a removed class").Answer(Answer{Status: 200})
	if s.SetClasses(classes); len(*s.classes.Load()) != 3 {
		t.Errorf("got %d classes, want 3", len(*s.classes.Load()))
	}
}

// A request that arrives in two parts, split at any byte, is parsed like one in a single part.
func TestRequestSplitAtAnyByte(t *testing.T) {
	_, d, l := startServer(t, 8)
	c := l.Dial()
	defer c.Close()
	request := job("id")
	for cut := 1; cut < len(request); cut++ {
		io.WriteString(c, request[:cut])
		io.WriteString(c, request[cut:])
		r := wiretest.Get(t, d.arrivals, "a request in two parts")
		if r.ID != "id" || r.Class != "safe" || string(r.Body) != "body" || r.Slots != 2 || r.Timeout != 480*time.Millisecond {
			t.Fatalf("split at %d: got %+v", cut, r)
		}
		r.Answer(Answer{Status: 200, Body: []byte("ok")})
		if got, body := c.Status(t); got != 200 || body != "ok" {
			t.Fatalf("split at %d: got status %d and body %q", cut, got, body)
		}
	}
}

// A request carries the definition that its class had when its head was read, though the class is replaced before the
// body arrives.
func TestRequestCarriesTheClassOfItsHead(t *testing.T) {
	s, d, l := startServer(t, 8)
	atHead := &balance.Class{Name: "safe", Idempotence: balance.Idempotent}
	s.SetClasses(map[string]Class{"safe": {Deadline: time.Second, Definition: atHead}})
	c := l.Dial()
	defer c.Close()
	io.WriteString(c, "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: r\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
	if got, _ := c.Status(t); got != 100 {
		t.Fatalf("got status %d, want 100: the head was read", got)
	}
	s.SetClasses(map[string]Class{"safe": {Deadline: time.Second, Definition: &balance.Class{Name: "safe", Idempotence: balance.NonIdempotent}}})
	io.WriteString(c, "b")
	r := wiretest.Get(t, d.arrivals, "the request")
	if r.ClassDefinition != atHead {
		t.Errorf("got definition %+v, want that of the head", r.ClassDefinition)
	}
	r.Answer(Answer{Status: 200})
}

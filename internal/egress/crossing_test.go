package egress

import (
	"io"
	"net"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/wiretest"
)

// What has waited for its connection until its time is over goes out neither on one in reserve nor on
// a new one, and counts as never run.
func TestNothingGoesOutPastItsTime(t *testing.T) {
	target, p := wiretest.NewTarget(t), newPool()
	p.Probe(target.Addr, nil, func(News) {})
	wiretest.Get(t, target.Calls, "a probe").Reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wiretest.Until(t, "the connection's return", func() bool { idle, _ := p.counts(); return idle == 1 })
	for range 2 {
		o, news := order(), make(chan News, 1)
		o.Until = time.Now()
		p.Start(o, target.Addr, func(n News) { news <- n })
		if n := outcome(t, news); n.Outcome != balance.Barred || n.again {
			t.Errorf("got %+v", n)
		}
	}
	wiretest.Get(t, target.Ends, "the first connection's end")
	wiretest.Get(t, target.Ends, "the second connection's end")
	if len(target.Calls) > 0 {
		t.Error("a request arrived")
	}
}

// limited is a connection that tells by when a write has to be through.
type limited struct {
	net.Conn
	write time.Time
}

func (c *limited) SetWriteDeadline(t time.Time) error { c.write = t; return c.Conn.SetWriteDeadline(t) }

// An attempt counts when its last byte arrives: a write that the target holds up ends with its time too.
func TestWriteEndsWithItsTime(t *testing.T) {
	for _, left := range []time.Duration{-1, time.Minute} {
		here, there := net.Pipe()
		go func() { io.ReadFull(there, make([]byte, 40)); there.Close() }()
		c, o, now := &limited{Conn: here}, order(), time.Now()
		want := now.Add(time.Minute + late)
		if left > 0 {
			o.Until = now.Add(left)
			want = o.Until
		}
		o.play(&conn{Conn: c, addr: "x", limit: io.LimitedReader{R: c}}, now.Add(time.Minute), func(News) {})
		if !c.write.Equal(want) {
			t.Errorf("%v left: a write ends at %v, want %v", left, c.write.Sub(now), want.Sub(now))
		}
	}
}

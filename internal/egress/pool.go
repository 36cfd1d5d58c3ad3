// Package egress is the zone workers' side: hops (one attempt each), probes,
// and the connections that both use again.
package egress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/sock"
)

// errCrowded says that no connection was to be had: all places are taken.
var errCrowded = errors.New("no descriptor left for an egress connection")

// Figures for connections used again: the weight of one more, and the share of
// dead ones at which idle ones are kept for less time: two of the last seven or so.
const (
	learn   = 0.1
	tooMany = 0.15
)

// regrow is how long the pool does without a stale connection before it keeps
// idle ones for twice as long.
const regrow = 30 * time.Second

// settle is how long a second answer to a job may still follow. To the next request "not started" would say
// that this one never ran, as it names none, and what names a job would say so of its next attempt. So for
// that long a connection is not used again behind any end but a result, nor, behind a result, for a job
// that must not run twice; and "not started" proves nothing to others.
const settle = 100 * time.Millisecond

// Pool holds the connections to all egress targets. Set the exported fields
// before use.
type Pool struct {
	Max  int           // connections at one time, busy ones included
	Dial time.Duration // until a connection counts as failed
	Keep time.Duration // an idle connection is not used after this
	Now  func() time.Time

	mu     sync.Mutex
	open   int
	idle   []*conn       // all targets', oldest first
	keep   time.Duration // Keep, or less where targets end connections sooner; 0 means Keep
	turned time.Time     // when it last changed
	lost   float64       // running share of the connections used again that turned out dead
	least  time.Duration // the shortest time that one of them had stood idle
}

// conn is one connection to an egress target. It is in use by one hop or
// probe, or idle in the pool.
type conn struct {
	net.Conn
	addr  string
	limit io.LimitedReader // what may still come in this answer
	r     *bufio.Reader
	since time.Time       // when it became idle
	age   time.Duration   // how long it was, when it came out of the pool; 0 means a new connection
	rest  io.Reader       // of the answer being read
	ended balance.Outcome // of the last job on it; empty behind a probe
	again time.Time       // from when on it may be used again
	sure  time.Time       // from when on no second answer to an earlier job is to be expected
	young bool            // it came out of the pool before that
}

// use is which connections will do.
type use int

const (
	anyConn   use = iota
	sureConn      // where no second answer to an earlier job is to be expected
	freshConn     // a new one
)

// get returns an idle connection to the address that will do, or opens one by the given time.
func (p *Pool) get(ctx context.Context, addr string, by time.Time, of use) (*conn, error) {
	for {
		c, err := p.reserve(addr, of)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.alive() {
			return c, nil
		}
		p.close(c)
	}
	d := net.Dialer{Deadline: by, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr, limit: io.LimitedReader{R: nc}}
	c.r = bufio.NewReaderSize(&c.limit, 2048)
	return c, nil
}

// reserve takes the youngest usable idle connection to the address. Where
// there is none it takes a place for a new one, and returns nil.
func (p *Pool) reserve(addr string, of use) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	now := p.Now()
	for i := len(p.idle) - 1; i >= 0 && of != freshConn; i-- {
		c := p.idle[i]
		if c.addr != addr || now.Before(c.again) || of == sureConn && now.Before(c.sure) {
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		c.age, c.young = max(1, now.Sub(c.since)), now.Before(c.sure)
		return c, nil
	}
	p.trim(p.Max - 1)
	if p.open >= p.Max {
		return nil, errCrowded
	}
	p.open++
	return nil, nil
}

// Resize changes how many connections there may be. Idle ones that are too many are
// closed at once, busy ones when they come back.
func (p *Pool) Resize(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Max = most
	p.trim(most)
}

// trim closes idle connections, the longest idle first, while more than most are open. It wants mu.
func (p *Pool) trim(most int) {
	for p.open > most && len(p.idle) > 0 {
		p.drop(0)
	}
}

// Retune changes the times of dialling and of keeping idle connections, for
// what is dialled and put back from now on.
func (p *Pool) Retune(dial, keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keep == p.Keep { // not shortened by what targets did
		p.keep = keep
	}
	p.Dial, p.Keep, p.keep = dial, keep, min(p.keep, keep)
}

// by is when a dial that begins at a time counts as failed.
func (p *Pool) by(start time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return start.Add(p.Dial)
}

// put gives back a connection on which nothing is out.
func (p *Pool) put(c *conn) {
	c.SetDeadline(time.Time{})
	c.since = p.Now()
	if c.ended != "" {
		c.sure = c.since.Add(settle)
		if c.ended != balance.Served {
			c.again = c.sure
		}
		c.ended = ""
	}
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.trim(p.Max)
	p.mu.Unlock()
}

func (p *Pool) close(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) drop(i int) {
	p.idle[i].Close()
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.open--
}

// sweep closes connections that stood idle for too long. The target closes
// them at caps.keepalive, and a request that crosses that close is a reset,
// which an unsafe job does not survive.
func (p *Pool) sweep() {
	now := p.Now()
	if p.keep == 0 {
		p.keep = p.Keep
	}
	if p.keep < p.Keep && now.Sub(p.turned) > regrow {
		p.keep, p.turned = min(2*p.keep, p.Keep), now
	}
	for len(p.idle) > 0 && now.Sub(p.idle[0].since) > p.keep {
		p.drop(0)
	}
}

// reused takes in whether a connection used again still worked. Targets were
// seen to end idle connections long before the time in the settings, without a
// sign. Where that goes on, half of the shortest idle time that was too long is
// safe. A single dead one proves nothing: connections break at any time.
func (p *Pool) reused(c *conn, dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !dead {
		p.lost *= 1 - learn
		return
	}
	if p.lost == 0 || c.age < p.least {
		p.least = c.age
	}
	if p.lost = p.lost*(1-learn) + learn; p.lost > tooMany {
		p.keep, p.turned, p.lost = max(min(p.least, p.keep)/2, 1), p.Now(), 0
	}
}

// Sweep closes what stood idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].addr == addr {
			p.drop(i)
		}
	}
}

// alive looks, without waiting, whether an idle connection was closed or
// reset by the other side, or holds bytes that nobody asked for.
func (c *conn) alive() bool { return c.r.Buffered() == 0 && sock.Quiet(c.Conn) }

// response reads the head of an answer, behind those of interim ones (1xx), and notes its
// body, so that finish can read the rest. An answer without end must not fill the memory.
func (c *conn) response(method string) (*http.Response, error) {
	c.limit.N = maxHead
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	for err == nil && resp.StatusCode/100 == 1 {
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("what follows is no HTTP: " + resp.Status)
		}
		resp, err = http.ReadResponse(c.r, &http.Request{Method: method})
	}
	if err == nil {
		c.limit.N, c.rest = maxAnswer, resp.Body
	}
	return resp, err
}

// finish reads what is left of the answer. Only then may the connection
// carry another request.
func (c *conn) finish() bool {
	c.SetReadDeadline(time.Now().Add(tailTime))
	n, err := io.CopyN(io.Discard, c.rest, maxLine)
	return errors.Is(err, io.EOF) && n < maxLine && c.r.Buffered() == 0
}

package egress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"example.org/bellstream/balance"
)

const (
	maxHead   = 32 << 10
	maxAnswer = 4 << 20
	maxLine   = 512 << 10              // of a target's answer: a result of 64 KiB, escaped
	tailTime  = 250 * time.Millisecond // for what follows the last line, before the connection is closed
	late      = time.Second            // past its deadline, after which a hop ends by itself
)

// staleTime is how long a connection that was dead before may take to show it. Tests change it.
var staleTime = 100 * time.Millisecond

// Order is what a hop carries to its egress target.
type Order struct {
	ID, Method, URI string
	IdempotencyKey  string
	Body            []byte
	Deadline        time.Time // when the client gives up
	Until           time.Time // no byte goes out later; not after Deadline
	Fields          []string  // names of the figures in a load report, in order
	Once            bool      // the job must not run twice at will: no doubt which request an answer is for
	// Barred is how the hop ends if it may not go out any more though Until has not come, empty where it may; nil: it
	// always may. It is asked right before the first byte, from the hop's goroutine.
	Barred func() balance.Outcome
}

// News is what a hop tells: that the job has started (Outcome is empty), or
// how the hop ended, once.
type News struct {
	Outcome balance.Outcome
	Result  []byte
	Report  []float64
	Why     string // for the log
	again   bool   // nothing went out whole, and a new connection may do better
	silent  bool   // a connection used before was dead
}

// Hop is one attempt that is out.
type Hop interface {
	// Abandon ends the hop from outside. When it returns the connection is
	// closed or will never be opened, so no byte of the hop leaves any more
	// and another attempt may go out.
	Abandon()
}

// hop is a Hop on a connection of a pool, which its goroutine alone reads and
// writes.
type hop struct {
	mu     sync.Mutex
	conn   *conn
	over   bool
	cancel context.CancelFunc
}

func (h *hop) Abandon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return
	}
	h.over = true
	h.cancel()
	if h.conn != nil {
		h.conn.Close()
	}
}

// hold ties a connection to the hop, unless the hop was abandoned meanwhile.
func (h *hop) hold(c *conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn = c
	return !h.over
}

// ended says that the hop was abandoned.
func (h *hop) ended() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.over
}

// free unties the connection; false if the hop was abandoned.
func (h *hop) free() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn = nil
	ok := !h.over
	h.over = true
	h.cancel()
	return ok
}

// Start sends an order to the address. All news comes by tell, from the hop's
// goroutine; after Abandon it may still be called.
func (p *Pool) Start(o *Order, addr string, tell func(News)) Hop {
	ctx, cancel := context.WithCancel(context.Background())
	h := &hop{cancel: cancel}
	by := p.by(time.Now())
	go func() {
		defer cancel()
		of := anyConn
		if o.Once {
			of = sureConn
		}
		c, end, clean := p.attempt(ctx, h, o, addr, by, of, tell)
		if end.again && !h.ended() {
			// It broke before the last byte was written. So the job never ran, and
			// one connection that breaks does not show a target that is lost.
			if c != nil {
				p.close(c)
			}
			c, end, clean = p.attempt(ctx, h, o, addr, by, freshConn, tell)
		}
		if c == nil {
			tell(end)
			return
		}
		// A result does not wait for the end of the chunked body. Any other
		// outcome may let another attempt out, so it is told when this one's
		// connection has come to its end or is closed.
		served := end.Outcome == balance.Served
		if served {
			tell(end)
		}
		clean = clean && c.finish()
		if h.free() && clean {
			p.put(c)
		} else {
			p.close(c)
		}
		if !served {
			tell(end)
		}
	}()
	return h
}

// attempt gets a connection that will do and plays the order on it. There is
// none to close where it never got one.
func (p *Pool) attempt(ctx context.Context, h *hop, o *Order, addr string, by time.Time, of use, tell func(News)) (*conn, News, bool) {
	c, err := p.get(ctx, addr, by, of)
	if err != nil {
		return nil, unsent(err), false
	}
	if !h.hold(c) {
		p.close(c)
		return nil, News{Outcome: balance.Cancelled}, false
	}
	end, clean := o.play(c, by, tell)
	c.ended = end.Outcome
	if c.age > 0 && !h.ended() {
		p.reused(c, end.again || end.silent)
	}
	return c, end, clean
}

// unsent words the end of what never got a connection. Where this side had no
// descriptor the target is not to blame, and counts as full, not as lost.
func unsent(err error) News {
	if errors.Is(err, errCrowded) {
		return News{Outcome: balance.Full, Why: err.Error()}
	}
	return News{Outcome: balance.Unreachable, Why: err.Error(), again: errors.Is(err, syscall.ECONNRESET)}
}

func (o *Order) head(addr string) []byte {
	var b bytes.Buffer
	left := max(0, time.Until(o.Deadline)).Seconds()
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout: %s\r\n",
		o.Method, o.URI, addr, o.ID, strconv.FormatFloat(left, 'f', 3, 64))
	if o.IdempotencyKey != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", o.IdempotencyKey)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(o.Body))
	b.Write(o.Body)
	return b.Bytes()
}

// play sends the request and reads up to the outcome. Clean says that the
// connection stands right behind the last line.
func (o *Order) play(c *conn, by time.Time, tell func(News)) (end News, clean bool) {
	if !time.Now().Before(o.Until) {
		return News{Outcome: balance.Barred, Why: "barred while the hop was under way: its time to be sent is over"}, false
	}
	if o.Barred != nil {
		if end := o.Barred(); end != "" {
			return News{Outcome: end, Why: "barred while the hop was under way: its client has left, its worker is left out or another than was listed, or other rules hold"}, false
		}
	}
	write := by.Add(late)
	if o.Until.Before(write) {
		write = o.Until
	}
	c.SetWriteDeadline(write)
	msg := o.head(c.addr)
	// Until the last byte is written the job cannot have run; from then on it may have.
	if n, err := c.Write(msg); n < len(msg) {
		return News{Outcome: balance.Unreachable, Why: fmt.Sprintf("wrote %d of %d bytes: %v", n, len(msg), err), again: true}, false
	}
	c.SetReadDeadline(o.Deadline.Add(late))
	sent := time.Now()
	resp, err := c.response(o.Method)
	if err != nil {
		end := broken(err)
		if time.Since(sent) < staleTime && c.silentEnd(err) {
			end.Outcome, end.silent = balance.Stale, true
		}
		return end, false
	}
	if resp.StatusCode != http.StatusOK {
		end := News{Outcome: balance.Errored, Report: report([]byte(resp.Header.Get("Server-Load")), o.Fields), Why: resp.Status}
		turned := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
		if turned && resp.Header.Get("Not-Started") == "1" {
			if end.Outcome = balance.Full; c.young {
				return News{Outcome: balance.Stale, Why: resp.Status + ", which may be a second answer to the request before"}, false
			}
		}
		return end, !resp.Close
	}
	started := false
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 1024), maxLine)
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if !gjson.ValidBytes(line) {
			return News{Outcome: balance.Broken, Why: "malformed line"}, false
		}
		v := gjson.ParseBytes(line)
		id, state := v.Get("id"), v.Get("state").String()
		if id.Exists() && id.String() != o.ID {
			return News{Outcome: balance.Broken, Why: "a line for another request"}, false
		}
		end := News{Report: report([]byte(v.Get("load").Raw), o.Fields)}
		switch state {
		case "started":
			if !started { // more of them would only fill the loop's queue
				tell(News{})
			}
			started = true
			continue
		case "done":
			result := v.Get("result")
			if !result.Exists() {
				return News{Outcome: balance.Broken, Why: "done without a result"}, false
			}
			end.Outcome, end.Result = balance.Served, []byte(result.String())
		case "failed":
			end.Outcome = balance.Errored
		case "returned":
			end.Outcome = balance.Full
		case "lost":
			end.Outcome = balance.Broken
		default:
			continue // progress, and what later targets may add
		}
		if !id.Exists() {
			return News{Outcome: balance.Broken, Why: "a last line that names no request"}, false
		}
		end.Why = state
		return end, !resp.Close
	}
	return broken(lines.Err()), false
}

// silentEnd says that a connection used before ended without a byte of an answer.
func (c *conn) silentEnd(err error) bool {
	var ne net.Error
	return c.age > 0 && c.limit.N == maxHead && !(errors.As(err, &ne) && ne.Timeout())
}

func broken(err error) News {
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return News{Outcome: balance.Broken, Why: err.Error()}
}

// report puts the figures of a load report in the order of the settings; nil
// where one is missing.
func report(raw []byte, fields []string) []float64 {
	if len(raw) == 0 || len(fields) == 0 || !gjson.ValidBytes(raw) {
		return nil
	}
	v := gjson.ParseBytes(raw)
	if !v.IsObject() {
		return nil
	}
	all := make([]float64, len(fields))
	for i, f := range fields {
		x := v.Get(f)
		if x.Type != gjson.Number {
			return nil
		}
		all[i] = x.Float()
	}
	return all
}

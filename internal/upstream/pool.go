package upstream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"example.org/bellstream/balance"
)

// errNoDescriptor means that MaxConns connections are open and none of them is idle.
var errNoDescriptor = errors.New("no descriptor left for an upstream connection")

// If many reused connections turn out to be dead, the idle timeout is shortened.
const (
	staleRatioWeight = 0.1  // weight of the latest reuse in the moving average of dead connections
	staleRatioLimit  = 0.15 // the idle timeout is shortened above this average

	// idleTimeoutRecovery is the time without a dead connection after which the idle timeout doubles.
	idleTimeoutRecovery = 30 * time.Second
)

// lateAnswerWindow is the time during which a worker may send a second answer to a job. If the connection
// already carries the next request, a late "not started", which names no job, would seem to prove that this
// next job never ran, and a late line that names the job would be taken for the answer to its next attempt.
// Within the window a connection is therefore not reused after any outcome but a result and, after a result,
// not for a job that must not run twice. For other jobs on it, "not started" is not taken as proof.
const lateAnswerWindow = 100 * time.Millisecond

// Pool holds the connections to all workers. The exported fields are set before use.
type Pool struct {
	MaxConns    int           // maximum number of open connections, busy or idle
	DialTimeout time.Duration // for opening a connection
	IdleTimeout time.Duration // maximum time that a connection stays idle
	Now         func() time.Time

	mu                   sync.Mutex
	openConns            int
	idle                 []*conn       // to all workers, the longest idle first
	idleTimeout          time.Duration // effective IdleTimeout, shorter if workers close sooner; 0 means IdleTimeout
	idleTimeoutChangedAt time.Time
	staleRatio           float64       // moving average of the share of reused connections that were dead
	shortestStaleIdle    time.Duration // shortest idle time of a dead connection since staleRatio was last 0
}

// reusePolicy says which connections an attempt may use.
type reusePolicy int

const (
	anyConn     reusePolicy = iota
	settledConn             // a new one, or an idle one whose settledAt has passed
	newConn
)

// get returns an idle connection to addr, or opens a new one, which fails if that takes until dialBy.
func (p *Pool) get(ctx context.Context, addr string, dialBy time.Time, policy reusePolicy) (*conn, error) {
	for {
		c, err := p.reserve(addr, policy)
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
	c, err := dial(ctx, addr, dialBy)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// reserve takes the most recently idle connection to addr that the policy allows out of the pool. If there is
// none, it counts a new connection as open, which the caller must dial, and returns nil. To stay within
// MaxConns it closes the longest idle connection; it returns errNoDescriptor if all are busy.
func (p *Pool) reserve(addr string, policy reusePolicy) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired()
	if policy != newConn {
		if c := p.takeIdle(addr, policy); c != nil {
			return c, nil
		}
	}
	p.trim(p.MaxConns - 1)
	if p.openConns >= p.MaxConns {
		return nil, errNoDescriptor
	}
	p.openConns++
	return nil, nil
}

// takeIdle removes and returns the most recently idle connection to addr that the policy allows, or nil. The
// caller holds mu.
func (p *Pool) takeIdle(addr string, policy reusePolicy) *conn {
	now := p.Now()
	for i, c := range slices.Backward(p.idle) {
		if c.addr != addr || now.Before(c.reusableAt) {
			continue
		}
		if policy == settledConn && now.Before(c.settledAt) {
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		c.idleFor = max(1, now.Sub(c.idleSince))
		c.unsettled = now.Before(c.settledAt)
		return c
	}
	return nil
}

// Resize changes MaxConns. If more connections are open, idle ones are closed immediately, and more of them as
// busy ones are returned.
func (p *Pool) Resize(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.MaxConns = maxConns
	p.trim(maxConns)
}

// trim closes idle connections, the longest idle first, while more than limit are open. The caller holds mu.
func (p *Pool) trim(limit int) {
	for p.openConns > limit && len(p.idle) > 0 {
		p.closeIdleAt(0)
	}
}

// SetTimeouts changes the timeouts. The dial timeout applies to attempts and health checks that start later, the
// idle timeout to all idle connections.
func (p *Pool) SetTimeouts(dialTimeout, idleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleTimeout == p.IdleTimeout { // not shortened because workers closed connections
		p.idleTimeout = idleTimeout
	}
	p.DialTimeout = dialTimeout
	p.IdleTimeout = idleTimeout
	p.idleTimeout = min(p.idleTimeout, idleTimeout)
}

// dialDeadline returns when a dial that begins at start times out.
func (p *Pool) dialDeadline(start time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return start.Add(p.DialTimeout)
}

// put returns a connection to the pool whose answer was read completely.
func (p *Pool) put(c *conn) {
	c.SetDeadline(time.Time{})
	c.idleSince = p.Now()
	if c.lastOutcome != "" {
		c.settledAt = c.idleSince.Add(lateAnswerWindow)
		if c.lastOutcome != balance.Served {
			c.reusableAt = c.settledAt
		}
		c.lastOutcome = ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
	p.trim(p.MaxConns)
}

// close closes a connection that is not idle.
func (p *Pool) close(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// closeIdleAt closes the idle connection at index i. The caller holds mu.
func (p *Pool) closeIdleAt(i int) {
	p.idle[i].Close()
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.openConns--
}

// closeExpired closes connections that were idle for longer than the effective idle timeout. Workers close
// them at caps.keepalive; a request sent at that moment is reset, and a job that is not idempotent cannot be
// sent again after that. The caller holds mu.
func (p *Pool) closeExpired() {
	now := p.Now()
	if p.idleTimeout == 0 {
		p.idleTimeout = p.IdleTimeout
	}
	if p.idleTimeout < p.IdleTimeout && now.Sub(p.idleTimeoutChangedAt) > idleTimeoutRecovery {
		p.idleTimeout = min(2*p.idleTimeout, p.IdleTimeout)
		p.idleTimeoutChangedAt = now
	}
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.idleTimeout {
		p.closeIdleAt(0)
	}
}

// recordReuse records whether a reused connection was dead. Workers may close idle connections long before
// IdleTimeout without notice. If that recurs, half of the shortest idle time of a dead connection becomes the
// idle timeout, or half of the idle timeout if that is less. A single dead connection proves nothing, as
// connections break at any time.
func (p *Pool) recordReuse(c *conn, dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !dead {
		p.staleRatio *= 1 - staleRatioWeight
		return
	}
	if p.staleRatio == 0 || c.idleFor < p.shortestStaleIdle {
		p.shortestStaleIdle = c.idleFor
	}
	p.staleRatio = p.staleRatio*(1-staleRatioWeight) + staleRatioWeight
	if p.staleRatio > staleRatioLimit {
		p.idleTimeout = max(min(p.shortestStaleIdle, p.idleTimeout)/2, 1)
		p.idleTimeoutChangedAt = p.Now()
		p.staleRatio = 0
	}
}

// CloseExpired closes connections that were idle for longer than the effective idle timeout.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired()
}

// CloseIdleTo closes the idle connections to addr.
func (p *Pool) CloseIdleTo(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if c.addr == addr {
			p.closeIdleAt(i)
		}
	}
}

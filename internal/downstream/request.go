package downstream

import (
	"sync/atomic"
	"time"

	"example.org/bellstream/balance"
)

// Request is one job as its client submitted it.
type Request struct {
	ID             string
	Class          string
	Tenant         string
	Method         string
	URI            string
	IdempotencyKey string
	Body           []byte
	Retry          bool
	Slots          float64
	Memory         float64
	DependsOn      []string      // IDs of the jobs that must be served first
	Delay          time.Duration // counted from Arrived, for which the job is to be deferred
	Arrived        time.Time     // when the last byte was read
	Timeout        time.Duration // how long the client waits
	// ClassDefinition is that of the class when the head was read and checked; nil: not known. A reload may change
	// the class before the body is complete.
	ClassDefinition *balance.Class

	// Answer sends the final answer. It must be called exactly once for every request that was passed to
	// the handler and whose client has not disconnected. It does not block.
	Answer       func(Answer)
	disconnected atomic.Bool
	peerClosed   func() bool // asks the connection whether the client has closed it; nil: not known
}

// MarkDisconnected records that the client has disconnected. It may be called repeatedly and from any goroutine.
func (r *Request) MarkDisconnected() { r.disconnected.Store(true) }

// Disconnected reports whether MarkDisconnected was called, or the client has closed the connection although bytes
// that it sent before are unread. From then on the request must not be sent to a worker, even if the handler has not
// processed ClientDisconnected yet. It may be called from any goroutine.
func (r *Request) Disconnected() bool {
	if !r.disconnected.Load() && r.peerClosed != nil && r.peerClosed() {
		r.MarkDisconnected()
	}
	return r.disconnected.Load()
}

// Class holds the settings of a request class that this package uses.
type Class struct {
	Keyed      bool           // requests must have an idempotency key
	Deadline   time.Duration  // timeout of requests without a Request-Timeout header
	Definition *balance.Class // what jobs of the class are accepted with; not used here, and not modified
	removedAt  time.Time      // when a class deleted from the settings stops being accepted; zero if not deleted
}

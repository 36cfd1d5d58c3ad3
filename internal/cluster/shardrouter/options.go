package shardrouter

import (
	"runtime"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// Timing holds the router's own intervals, in seconds. A value of 0 or less
// means the default, which is given first in each field's comment.
type Timing struct {
	TickInterval    float64 // 0.05: between two visits of an active shard
	RetryInterval   float64 // 0.25: until an unanswered message is sent again; doubles up to maxRetrySeconds
	OwnerTimeout    float64 // 5: how long an origin keeps jobs for an owner that does not respond
	RevokeTimeout   float64 // 1: how long a sealed owner waits for origins to settle its grants
	TransferTimeout float64 // 5: without a response of the other instance, after which a transfer is aborted
	CompareInterval float64 // 2: between two comparisons of an origin's open jobs with the owner's
	OriginGrace     float64 // 2: from a job's deadline until the owner drops it if its origin does not respond
}

var defaultTiming = Timing{
	TickInterval:    0.05,
	RetryInterval:   0.25,
	OwnerTimeout:    5,
	RevokeTimeout:   1,
	TransferTimeout: 5,
	CompareInterval: 2,
	OriginGrace:     2,
}

func (t *Timing) setDefaults() {
	setDefault(&t.TickInterval, defaultTiming.TickInterval)
	setDefault(&t.RetryInterval, defaultTiming.RetryInterval)
	setDefault(&t.OwnerTimeout, defaultTiming.OwnerTimeout)
	setDefault(&t.RevokeTimeout, defaultTiming.RevokeTimeout)
	setDefault(&t.TransferTimeout, defaultTiming.TransferTimeout)
	setDefault(&t.CompareInterval, defaultTiming.CompareInterval)
	setDefault(&t.OriginGrace, defaultTiming.OriginGrace)
}

func setDefault(seconds *float64, value float64) {
	if *seconds <= 0 {
		*seconds = value
	}
}

// Limits on queues and batches, in addition to those of package shard.
const (
	maxInbox          = 256      // messages of one shard that are not handled yet
	maxMessagesPerRun = 8        // messages that a worker handles each time that it runs a shard
	maxQueuedUpdates  = 1 << 14  // owner events of one shard for the balancer; at the limit, updates are not accepted
	maxQueuedGrants   = 1 << 14  // grants of one shard that are not executed here yet
	flushBytes        = 64 << 10 // a pending frame of this size or more is sent immediately
	chunkWindow       = 8        // chunks sent and not acknowledged
	maxInlineUpdates  = 4        // updates that the loop itself applies to an owner here, per call
	allUpdates        = 1 << 20  // no limit in practice: more updates than a log ever has
	MaxFrame          = 16 << 20 // bytes of a frame: room for one message after a frame of less than flushBytes
)

const (
	maxRetrySeconds     = 2.0  // the longest delay before a message is sent again
	minResendSeconds    = 0.05 // the shortest delay between two resends that fill a gap
	answerMarginSeconds = 0.06 // how long before a job's deadline its origin answers for an unresponsive owner

	defaultRetryAfterSeconds = 1
	maxDefaultWorkers        = 4
)

// Options configure a Router. The functions may be called concurrently. They must
// not call the Router, and must not block, except for Wake.
type Options struct {
	Name        string // this instance's name in the configuration
	Incarnation uint64 // increases with each start of this instance
	Cluster     string
	Config      balance.Config // the initial settings of the balancer

	// Table returns the table that the router may act on now, or nil if there is
	// none yet. It returns the same pointer until the table changes.
	Table func() *config.Table
	Now   func() float64 // the clock of Step, in seconds
	// Wake requests a call of Step soon. It may block, as no lock is held during
	// the call.
	Wake     func()
	Send     func(to string, frame []byte) bool // queues a frame for an instance; false: the frame was dropped
	Propose  func([]shard.OwnerChange)          // proposes changes of the agreed map; outdated ones have no effect
	InShards func(tenant string) bool           // reports whether a tenant is in a shard; nil: all tenants are

	Limits     shard.Limits // limits of each owner
	RetryAfter float64      // seconds, for clients that an origin answers itself; 0 means 1
	Workers    int          // number of worker goroutines; 0 means one per core, at most 4
	Timing     Timing
	Log        func(format string, args ...any)
}

func (o *Options) setDefaults() {
	o.Timing.setDefaults()
	if o.RetryAfter <= 0 {
		o.RetryAfter = defaultRetryAfterSeconds
	}
	if o.Workers <= 0 {
		o.Workers = min(runtime.GOMAXPROCS(0), maxDefaultWorkers)
	}
	if o.InShards == nil {
		o.InShards = func(string) bool { return true }
	}
}

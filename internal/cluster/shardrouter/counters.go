package shardrouter

import (
	"maps"
	"sync"
)

// Names of counters. They are keys of the admin status and must not change.
const (
	countAnsweredLocally     = "answered without a seat"
	countAttemptsNotGranted  = "attempts not granted here"
	countMismatches          = "comparisons that differed"
	countDecisionsNotGranted = "decisions not granted"
	countCorruptFrames       = "frames garbled"
	countFramesNotSent       = "frames not sent"
	countStaleFrames         = "frames of former lives"
	countGrantsResent        = "granted again"
	countGrantsReturned      = "grants taken back"
	countGrantsDeclined      = "grants turned down"
	countGrantsWaived        = "grants waived"
	countExpiredJobs         = "jobs of silent holders"
	countIncarnations        = "lives begun"
	countReconciled          = "mended"
	countInvalidMessages     = "messages " // prefix; the kind of error is appended
	countMessagesNotEncoded  = "messages not written"
	countMessagesUnknownPeer = "messages to nobody"
	countMessagesDropped     = "messages too many"
	countTransfersBegun      = "moves begun"
	countTransfersTimedOut   = "moves called off"
	countTransfersAborted    = "moves dropped"
	countChunksRejected      = "pieces refused"
	countRejectedByFullOwner = "refused by a full seat"
	countOpenedWithSnapshot  = "seats opened with a copy"
	countOpened              = "seats opened"
	countRenewed             = "seats renewed"
	countOwnersUnresponsive  = "seats silent"
	countShardsStarted       = "shards taken up"
	countUpdatesDeferred     = "tells put off"
	countUpdatesResent       = "told again"
	countRejectedOnArrival   = "turned away as they came"
)

// counters count events by name. The zero value is ready to use.
type counters struct {
	mu     sync.Mutex
	values map[string]uint64
}

func (c *counters) add(name string, n int) {
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.values == nil {
		c.values = map[string]uint64{}
	}
	c.values[name] += uint64(n)
}

func (c *counters) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.values)
}

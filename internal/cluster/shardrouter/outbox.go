package shardrouter

import (
	"strconv"
	"strings"

	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/cluster/shard/wire"
)

// peer is another instance.
type peer struct {
	rankedMutex
	name         string
	incarnation  string // the newest known incarnation; empty: none
	pendingFrame []byte // messages to be sent; nil: none
	dirty        bool   // the peer is listed in dirtyPeers
}

// maxPeers is the largest number of other instances that the router records. It is
// more than any agreed table names.
const maxPeers = 4096

// peerByName returns the peer with a name, and adds it if it is new. It returns
// nil if it is new and there are maxPeers already.
func (r *Router) peerByName(name string) *peer {
	r.peers.Lock()
	defer r.peers.Unlock()
	p := r.peers.byName[name]
	if p == nil && len(r.peers.byName) < maxPeers {
		p = &peer{name: name}
		p.rank = rankOutbox
		r.peers.byName[name] = p
	}
	return p
}

// incarnationOf returns the newest known incarnation of an instance, or "" if none
// is known.
func (r *Router) incarnationOf(name string) string {
	p := r.peerByName(name)
	if p == nil {
		return ""
	}
	p.Lock()
	defer p.Unlock()
	return p.incarnation
}

// send adds a message to the pending frame for an instance. The frame is sent by
// the next flushPeers, or immediately if it has reached flushBytes.
func (r *Router) send(to string, m shard.Message) {
	raw, err := wire.Encode(r.clusterDigest, m)
	if err != nil {
		r.counters.add(countMessagesNotEncoded, 1)
		r.Log("shards: a message to %s can't be encoded: %v", to, err)
		return
	}
	p := r.peerByName(to)
	if p == nil || to == "" || to == r.Name {
		r.counters.add(countMessagesUnknownPeer, 1)
		return
	}
	if r.enqueue(p, raw) {
		r.dirtyPeers.Lock()
		r.dirtyPeers.list = append(r.dirtyPeers.list, p)
		r.dirtyPeers.Unlock()
	}
}

// enqueue adds a message to a peer's pending frame and reports whether the caller
// has to list the peer in dirtyPeers.
func (r *Router) enqueue(p *peer, message []byte) bool {
	p.Lock()
	defer p.Unlock()
	if p.pendingFrame == nil {
		p.pendingFrame = newFrame(r.incarnation, 0)
	}
	p.pendingFrame = appendMessage(p.pendingFrame, message)
	if len(p.pendingFrame) >= flushBytes {
		r.sendFrame(p)
	}
	if p.dirty || p.pendingFrame == nil {
		return false
	}
	p.dirty = true
	return true
}

// sendFrame sends a peer's pending frame. The peer's lock is held, so that frames
// are sent in order.
func (r *Router) sendFrame(p *peer) {
	if p.pendingFrame == nil {
		return
	}
	raw := p.pendingFrame
	p.pendingFrame = nil
	if !r.Send(p.name, raw) {
		r.counters.add(countFramesNotSent, 1)
	}
}

// flushPeers sends all pending frames.
func (r *Router) flushPeers() {
	r.dirtyPeers.Lock()
	list := r.dirtyPeers.list
	r.dirtyPeers.list = nil
	r.dirtyPeers.Unlock()
	for _, p := range list {
		p.Lock()
		p.dirty = false
		r.sendFrame(p)
		p.Unlock()
	}
}

// requestHello asks an instance to send a frame, which shows its incarnation.
func (r *Router) requestHello(name string) { r.Send(name, newFrame(r.incarnation, flagReply)) }

// Receive handles a frame. The sender's name, from, is that of its connection. A
// frame is dropped if it is corrupt, names another instance, or comes from a former
// incarnation of the sender. Receive may be called from any goroutine.
func (r *Router) Receive(from string, raw []byte) {
	f, err := parseFrame(raw)
	if err != nil || instanceOf(f.incarnation) != from || from == r.Name {
		r.counters.add(countCorruptFrames, 1)
		return
	}
	if !r.observeIncarnation(from, f.incarnation) {
		r.counters.add(countStaleFrames, 1)
		return
	}
	if f.flags&flagReply != 0 {
		r.Send(from, newFrame(r.incarnation, 0))
	}
	for _, message := range f.messages {
		r.receiveMessage(from, message)
	}
}

func (r *Router) receiveMessage(from string, raw []byte) {
	m, err := wire.Decode(r.clusterDigest, raw)
	if err != nil {
		r.counters.add(countInvalidMessages+errorKind(err), 1)
		return
	}
	all := r.allShards()
	if n := m.ShardNumber(); n < len(all) {
		r.deliver(all[n], envelope{sender: from, message: m})
	}
}

// deliver adds an envelope to a shard's inbox. If the inbox is full, it drops
// messages, but not announcements of a new incarnation.
func (r *Router) deliver(sh *shardState, e envelope) {
	sh.Lock()
	fits := e.newIncarnation != "" || len(sh.inbox) < maxInbox
	if fits {
		sh.inbox = append(sh.inbox, e)
	}
	sh.Unlock()
	if !fits {
		r.counters.add(countMessagesDropped, 1)
	}
	r.schedule(sh)
}

// observeIncarnation records the incarnation of an instance, and announces it to
// all shards if it is new. It reports false if a newer one is known or there are
// too many instances.
func (r *Router) observeIncarnation(from, incarnation string) bool {
	known, ok := r.recordIncarnation(from, incarnation)
	if !ok || known == incarnation {
		return ok
	}
	r.counters.add(countIncarnations, 1)
	for _, sh := range r.allShards() {
		r.deliver(sh, envelope{sender: from, newIncarnation: incarnation})
	}
	return true
}

// recordIncarnation records the incarnation of an instance and returns the one
// that was known before. It reports false, and records nothing, if a newer one is
// known or there are too many instances.
func (r *Router) recordIncarnation(from, incarnation string) (known string, ok bool) {
	p := r.peerByName(from)
	if p == nil {
		return "", false
	}
	p.Lock()
	defer p.Unlock()
	known = p.incarnation
	if known != incarnation && known != "" && incarnationNumber(known) >= incarnationNumber(incarnation) {
		return known, false
	}
	p.incarnation = incarnation
	return known, true
}

func incarnationNumber(incarnation string) uint64 {
	n, _ := strconv.ParseUint(incarnation[strings.LastIndexByte(incarnation, '#')+1:], 10, 64)
	return n
}

// errorKind returns an error's text up to the first colon. The rest contains
// values that differ from error to error.
func errorKind(err error) string {
	text, _, _ := strings.Cut(err.Error(), ":")
	return text
}

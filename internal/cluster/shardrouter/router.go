// Package shardrouter runs shards inside a dispatcher. It sits between the
// dispatcher's loop and its balancer: it reports jobs of sharded tenants to the
// owner of their shard, and executes the grants that the owner sends back.
// Package balance makes the scheduling decisions; package shard determines which
// instance may make them, and which grants an origin executes.
// docs/design/shards.md describes how the two packages work together here, and
// the lock order.
//
// Three kinds of goroutines share the table of shards. The dispatcher's loop calls
// Step, which records this instance's jobs, passes events to its balancer and
// executes grants. A pool of workers handles and sends messages; at most one
// worker at a time handles a shard, and it handles the messages in order. A
// ticker schedules the shards that have work pending.
package shardrouter

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/cluster/shard/wire"
)

// Router is the scheduler that a dispatcher's loop uses in place of its balancer.
// Create one with New.
type Router struct {
	Options
	incarnation   string // this instance's name as an origin: "NAME#INCARNATION"
	clusterDigest uint64
	balancer      *balance.Balancer
	counters      counters
	loopTable     atomic.Pointer[config.Table] // copy of activeTable for other goroutines
	manual        bool                         // set by tests: no goroutines are started, the caller runs the shards

	// Set once, when the loop applies the first table that has shards.
	shards     atomic.Pointer[[]*shardState]
	runQueue   chan *shardState // contains each shard at most once
	wakeups    chan struct{}
	done       chan struct{}
	goroutines sync.WaitGroup
	closeOnce  sync.Once

	ready      readyList
	peers      peerTable
	dirtyPeers peerList
	proposals  proposalList

	loopState
}

// readyList holds the shards that have grants or owner events for the loop.
type readyList struct {
	rankedMutex
	list []*shardState
}

// peerTable holds the other instances.
type peerTable struct {
	rankedMutex
	byName map[string]*peer
}

// peerList holds the peers with a pending frame.
type peerList struct {
	rankedMutex
	list []*peer
}

// proposalList holds the ownership changes that the next tick proposes.
type proposalList struct {
	rankedMutex
	list []shard.OwnerChange
}

// loopState is accessed by the loop's goroutine only.
type loopState struct {
	activeTable   *config.Table
	everLeased    bool // a table has been applied under a lease
	settings      settings
	localJobs     map[string]*localJob
	batch         stepBatch
	actions       []balance.Action
	rejections    []rejection // for jobs that owners on this instance can't admit
	changedShards []*shardState
	needsStep     bool    // another Step is needed soon
	lastScan      float64 // time of the last scan for jobs whose owner does not respond
	shuttingDown  bool
}

// stepBatch collects the events of a step for the balancer. The balancer receives
// undo, then tenantEvents, then local.
type stepBatch struct {
	tightening   *balance.Tightening // by a configuration of this step; nil: none
	undo         []balance.Event     // revert the balancer's decisions that were not granted
	tenantEvents []balance.Event     // import or export tenants, and update their quota
	local        []balance.Event     // events that belong to no shard
	events       []balance.Event     // all of the above, and the events from owners
}

// settings are the parts of the balancer's configuration that the router uses.
type settings struct {
	classes              map[string]*balance.Class // not modified
	overloadedMayHaveRun bool                      // an Overloaded outcome does not prove that a job never ran
	startNotifications   bool
	maxRetryAfter        float64            // the longest Retry-After that clients honour, in seconds
	tenants              []string           // the configured tenants that are in shards
	longestTimeout       map[string]float64 // by class: the longest timeout seen, in seconds
}

// New returns a Router for a balancer. It starts no goroutines: Step starts them
// when it applies the first table that has shards.
func New(o Options, b *balance.Balancer) *Router {
	o.setDefaults()
	r := &Router{
		Options:       o,
		incarnation:   fmt.Sprintf("%s#%d", o.Name, o.Incarnation),
		clusterDigest: wire.ClusterDigest(o.Cluster),
		balancer:      b,
		wakeups:       make(chan struct{}, 1),
		done:          make(chan struct{}),
	}
	r.ready.rank = rankLists
	r.peers.rank = rankPeers
	r.dirtyPeers.rank = rankLists
	r.proposals.rank = rankLists
	r.peers.byName = map[string]*peer{}
	r.localJobs = map[string]*localJob{}
	r.settings.longestTimeout = map[string]float64{}
	r.configure(o.Config)
	return r
}

func (r *Router) configure(c balance.Config) {
	s := &r.settings
	s.classes = map[string]*balance.Class{}
	for _, class := range c.Classes {
		s.classes[class.Name] = &class
	}
	s.overloadedMayHaveRun = c.OverloadedMayHaveRun
	s.startNotifications = c.StartNotifications
	s.maxRetryAfter = c.MaxRetryAfter
	s.tenants = nil
	for _, t := range c.Tenants {
		if r.InShards(t.Name) {
			s.tenants = append(s.tenants, t.Name)
		}
	}
}

// acceptedClass returns the definition with which a job that arrives now is
// accepted, for an arrival that carries none.
func (s *settings) acceptedClass(name string, timeout float64) *balance.Class {
	if class := s.classes[name]; class != nil {
		return class
	}
	unknown := balance.UnknownClass(name, timeout)
	return &unknown
}

// classOf returns the definition with which a job was accepted, for the balancer.
// If its origin's build does not report it, the result is the present definition
// here, restricted by what that build does report; nil if there is none.
func (s *settings) classOf(record *shard.JobRecord) *balance.Class {
	present := s.classes[record.Class]
	switch {
	case record.Accepted != nil:
		return record.Accepted
	case present == nil || !record.AtMostOnce || present.Idempotence == balance.NonIdempotent:
		return present
	}
	restricted := *present
	restricted.Idempotence = balance.NonIdempotent
	return &restricted
}

// recordTimeout updates the longest timeout of a class with that of a job. The
// router needs it to compute the age of a job's first request in the same way as
// the balancer.
func (s *settings) recordTimeout(class string, timeout float64) {
	definition, known := s.classes[class]
	if !known {
		return
	}
	if definition.Deadline > 0 {
		timeout = min(timeout, definition.Deadline)
	}
	s.longestTimeout[class] = max(s.longestTimeout[class], timeout)
}

// retryAfter limits a Retry-After to the longest one that clients honour.
func (s *settings) retryAfter(seconds float64) float64 { return min(seconds, s.maxRetryAfter) }

// startShards creates the shards and starts the router's goroutines.
func (r *Router) startShards(count int) {
	all := make([]*shardState, count)
	for i := range all {
		all[i] = newShardState(r, i)
	}
	r.runQueue = make(chan *shardState, count)
	r.shards.Store(&all)
	if r.manual {
		return
	}
	for range r.Workers {
		r.goroutines.Go(r.workLoop)
	}
	r.goroutines.Go(r.wakeLoop)
	r.goroutines.Go(r.tickLoop)
}

// workLoop handles scheduled shards until the router is closed.
func (r *Router) workLoop() {
	for {
		select {
		case <-r.done:
			return
		case sh := <-r.runQueue:
			r.runShard(sh)
		}
	}
}

func (r *Router) wakeLoop() {
	for {
		select {
		case <-r.done:
			return
		case <-r.wakeups:
			r.Wake()
		}
	}
}

func (r *Router) tickLoop() {
	ticker := time.NewTicker(time.Duration(r.Timing.TickInterval * float64(time.Second)))
	defer ticker.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-ticker.C:
			r.tick()
		}
	}
}

// Close stops the goroutines that Step has started and waits for them. Step must
// not be called afterwards.
func (r *Router) Close() {
	r.closeOnce.Do(func() { close(r.done) })
	r.goroutines.Wait()
}

// allShards returns the shards, or nil before a table with shards was applied.
func (r *Router) allShards() []*shardState {
	if p := r.shards.Load(); p != nil {
		return *p
	}
	return nil
}

// shardOf returns a tenant's shard, or nil if the tenant is in no shard.
func (r *Router) shardOf(tenant string) *shardState {
	all := r.allShards()
	if all == nil || !r.InShards(tenant) {
		return nil
	}
	return all[shard.ForTenant(tenant, len(all))]
}

// tick schedules the active shards, sends proposals, and wakes the loop if the
// table has changed.
func (r *Router) tick() {
	for _, sh := range r.allShards() {
		if sh.active.Load() {
			r.schedule(sh)
		}
	}
	r.sendProposals()
	if !r.tableIsCurrent() {
		r.requestWake()
	}
}

func (r *Router) sendProposals() {
	r.proposals.Lock()
	changes := r.proposals.list
	r.proposals.list = nil
	r.proposals.Unlock()
	if len(changes) == 0 {
		return
	}
	slices.SortFunc(changes, func(a, b shard.OwnerChange) int { return a.Shard - b.Shard })
	r.Propose(slices.Compact(changes))
}

// schedule queues a shard for a worker.
func (r *Router) schedule(sh *shardState) {
	if sh.scheduled.CompareAndSwap(false, true) {
		r.runQueue <- sh // never blocks: the queue has space for each shard once
	}
}

// requestWake makes wakeLoop call Wake. It never blocks.
func (r *Router) requestWake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// markReady adds a shard to the list of those that have grants or owner events
// for the loop. The shard's lock is held.
func (r *Router) markReady(sh *shardState) {
	if sh.ready {
		return
	}
	sh.ready = true
	r.ready.Lock()
	r.ready.list = append(r.ready.list, sh)
	r.ready.Unlock()
}

// takeReady removes and returns the shards that are listed as ready.
func (r *Router) takeReady() []*shardState {
	r.ready.Lock()
	defer r.ready.Unlock()
	list := r.ready.list
	r.ready.list = nil
	return list
}

// instanceOf returns the instance name of an incarnation "NAME#NUMBER".
func instanceOf(incarnation string) string {
	if i := strings.LastIndexByte(incarnation, '#'); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}

// unsetTag is the value of a queue tag that the balancer has not set.
var unsetTag = math.Inf(-1)

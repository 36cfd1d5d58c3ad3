// Package hollow runs instances without clients, workers and a loop: what the
// operator's file switches on is made by the constructors of the dispatcher
// itself, from the same two files, and runs on real sockets. A generator of
// starts stands in the loop's place. Many share a process, so that a cluster of
// the size to come fits one machine. It is no part of the product's own path.
package hollow

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/usage"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/service"
)

// Files are those that a dispatcher is started with.
type Files struct {
	Config string `json:"config"` // the platform's
	File   string `json:"file"`   // the operator's
}

// Demand is what enters at one instance: starts a second, by tenant.
type Demand map[string]float64

// Instance is one of a cluster. Make one with Start.
type Instance struct {
	subsystems   *service.Subsystems
	config       *dispatcher.EffectiveConfig // the looker's own: the last that was taken
	configMu     sync.Mutex
	quotaUpdates atomic.Uint64 // news of shares that the loop would have got

	scheduler     dispatcher.Scheduler // of seats; nil: there are none
	clock         func() float64       // of its steps
	wakes         chan struct{}
	done          chan struct{}
	schedulerDone sync.WaitGroup

	mu              sync.Mutex // of what follows, which the generator uses
	rng             *rand.Rand
	tenants         []string
	cumulativeRates []float64 // running sums of the rates, in the order of tenants
	starts          uint64
	closed          bool
}

// State is what an instance knows.
type State struct {
	Name         string `json:"name"`
	Peers        int    `json:"peers"`      // that count here, without itself
	Joined       bool   `json:"joined"`     // has a home
	Sent         uint64 `json:"sent"`       // messages of the exchange
	SentBytes    uint64 `json:"sent_bytes"` // of them, as they are handed to membership
	Received     uint64 `json:"heard"`
	QuotaUpdates uint64 `json:"shares"` // that the loop would have been told
	Starts       uint64 `json:"starts"` // that were generated here
	Net          uint64 `json:"net"`    // slots started by all, as known here
	// Known is the same by tenant, of those that this instance knows of.
	Known       map[string]uint64 `json:"known,omitempty"`
	Leased      bool              `json:"leased"`
	Version     uint64            `json:"version"` // of the rules, in force as far as is known here
	Leads       bool              `json:"leads"`
	OwnedShards int               `json:"seats"` // shards whose seat here grants
}

// Start makes an instance of a dispatcher's files. Errors are those of service.NewSubsystems.
func Start(f Files, seed uint64, log zerolog.Logger) (*Instance, error) {
	s, err := service.NewSubsystems(f.Config, f.File, log)
	if err != nil {
		return nil, err
	}
	i := &Instance{subsystems: s, rng: rand.New(rand.NewPCG(seed, 0x401)), wakes: make(chan struct{}, 1), done: make(chan struct{})}
	if o := s.Options; o.NewScheduler != nil {
		bal, err := balance.New(o.Settings.Config(), o.Seed)
		if err != nil {
			s.Close()
			return nil, err
		}
		base := time.Now()
		i.clock = func() float64 { return time.Since(base).Seconds() }
		i.scheduler = o.NewScheduler(bal, i.clock)
		i.schedulerDone.Add(1)
		go i.runScheduler()
	}
	s.Bind(loopStub{i})
	i.refreshConfig()
	return i, nil
}

// runScheduler has seats look at the rules, and do what they ask to be woken for, as a loop without jobs does.
func (i *Instance) runScheduler() {
	defer i.schedulerDone.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		var events []balance.Event
		select {
		case <-i.done:
			return
		case <-i.wakes:
			events = append(events, balance.TimerFired{})
		case <-tick.C:
		}
		i.refreshConfig()
		i.scheduler.Step(i.clock(), events) // there are no jobs that it could act on
	}
}

// loopStub stands in the place of a dispatcher's loop.
type loopStub struct{ i *Instance }

func (l loopStub) UpdateQuotas(news []balance.QuotaUpdate) { l.i.quotaUpdates.Add(uint64(len(news))) }
func (l loopStub) Wake() {
	select {
	case l.i.wakes <- struct{}{}:
	default: // it will see this too
	}
}
func (l loopStub) Notify()                                   { go l.i.refreshConfig() } // a nudge must not wait
func (l loopStub) SetDeferredLimits(deferred.Limits)         {}
func (l loopStub) SetMaxWaits(map[string]float64)            {}
func (l loopStub) Stats() (f dispatcher.Stats, running bool) { return f, false }

// refreshConfig takes what the rules say, as the loop does before each of its steps.
func (i *Instance) refreshConfig() {
	r := i.subsystems.Options.ConfigSource
	if r == nil {
		return
	}
	i.configMu.Lock()
	defer i.configMu.Unlock()
	if now := r.Effective(time.Now()); now != i.config {
		i.config = now
		r.Acknowledge(now)
	}
}

// Demand has so much enter from now on. Tenants are those of the platform's settings.
func (i *Instance) Demand(d Demand) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tenants, i.cumulativeRates = nil, nil
	for t := range d {
		i.tenants = append(i.tenants, t)
	}
	slices.Sort(i.tenants) // the same seed draws the same tenants
	sum := 0.0
	for _, t := range i.tenants {
		sum += d[t]
		i.cumulativeRates = append(i.cumulativeRates, sum)
	}
}

// totalRate is how much enters, in starts a second.
func (i *Instance) totalRate() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.cumulativeRates) == 0 || i.closed || i.subsystems.Options.Usage == nil {
		return 0
	}
	return i.cumulativeRates[len(i.cumulativeRates)-1]
}

// generateStart has one start come in.
func (i *Instance) generateStart() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.cumulativeRates) == 0 || i.closed {
		return
	}
	k, _ := slices.BinarySearch(i.cumulativeRates, i.rng.Float64()*i.cumulativeRates[len(i.cumulativeRates)-1])
	t, c := i.tenants[min(k, len(i.tenants)-1)], i.subsystems.Options.Usage
	c.RecordArrival(t)
	c.RecordStart(t, 1)
	i.starts++
}

// State is what the instance knows now.
func (i *Instance) State() (s State) {
	i.mu.Lock()
	s.Starts = i.starts
	stopped := i.closed
	i.mu.Unlock()
	s.QuotaUpdates = i.quotaUpdates.Load()
	if n := i.subsystems.Gossip(); n != nil {
		x := n.Status()
		s.Name, s.Joined, s.Peers, s.Sent, s.SentBytes, s.Received = x.Name, x.Joined, len(x.Peers), x.Sent, x.SentBytes, x.Received
		s.Known = map[string]uint64{}
		for name, t := range n.Usage() {
			net := (t.Started - t.Refunded) / usage.MillislotsPerSlot
			s.Net += net
			s.Known[name] = net
		}
	}
	if m := i.subsystems.Leases(); m != nil {
		x := m.Status()
		s.Name, s.Leased, s.Version = x.Name, x.Leased, x.Version
		s.Leads = x.Voter != nil && x.Voter.IsLeader
	}
	if i.scheduler != nil && !stopped {
		s.OwnedShards = i.subsystems.Shards().Status().Owned
	}
	return s
}

// Stop ends it in good order: it says goodbye first.
func (i *Instance) Stop() {
	i.mu.Lock()
	was := i.closed
	i.closed = true
	i.mu.Unlock()
	if was {
		return
	}
	i.subsystems.Leave()
	close(i.done)
	i.schedulerDone.Wait()
	i.subsystems.Close()
}

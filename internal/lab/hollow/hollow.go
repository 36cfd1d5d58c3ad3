// Package hollow runs dispatcher instances without clients, workers and a
// dispatcher loop. The subsystems that the operator's file enables are made by
// the dispatcher's own constructors from the same two files, and use real
// sockets. A generator of starts replaces the loop. Many instances share a
// process, so that a large cluster fits on one machine. The product does not
// use this package.
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

// Files are the paths of the two files that a dispatcher is started with.
type Files struct {
	Config string `json:"config"` // the platform's settings
	File   string `json:"file"`   // the operator's file
}

// Demand is the rate of generated starts at one instance, per second and tenant.
type Demand map[string]float64

// Instance is a hollow instance of a cluster. Create it with Start.
type Instance struct {
	subsystems   *service.Subsystems
	config       *dispatcher.EffectiveConfig // the last one that was acknowledged; guarded by configMu
	configMu     sync.Mutex
	quotaUpdates atomic.Uint64 // quota updates that a loop would have received

	scheduler     dispatcher.Scheduler // nil if the operator's file has no shards
	clock         func() float64       // seconds, for its steps
	wakes         chan struct{}
	done          chan struct{}
	schedulerDone sync.WaitGroup

	mu              sync.Mutex // guards the fields below, which the generator uses
	rng             *rand.Rand
	tenants         []string
	cumulativeRates []float64 // running sums of the rates, in the order of tenants
	starts          uint64
	closed          bool // Stop has been called
}

// State is the state of an instance and what it knows of the cluster.
type State struct {
	Name         string `json:"name"`
	Peers        int    `json:"peers"`      // other instances in its exchange of quotas
	Joined       bool   `json:"joined"`     // may own parts of reservations
	Sent         uint64 `json:"sent"`       // messages of the exchange that were sent
	SentBytes    uint64 `json:"sent_bytes"` // bytes of the sent messages, as passed to membership
	Received     uint64 `json:"heard"`      // messages of the exchange that were received
	QuotaUpdates uint64 `json:"shares"`     // quota updates that a loop would have received
	Starts       uint64 `json:"starts"`     // starts that were generated at this instance
	Net          uint64 `json:"net"`        // slots started by all instances, as far as known here
	// Known is Net by tenant, for the tenants that this instance knows.
	Known       map[string]uint64 `json:"known,omitempty"`
	Leased      bool              `json:"leased"`
	Version     uint64            `json:"version"` // of the rules that are in force as far as known here
	Leads       bool              `json:"leads"`   // its voter is the leader
	OwnedShards int               `json:"seats"`   // shards that this instance owns
}

// Start starts an instance with a dispatcher's files. seed seeds its generator. Errors are those of
// service.NewSubsystems and balance.New.
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

// runScheduler applies new configurations and steps the scheduler when it asks to be woken, as a loop without jobs
// does, until the instance is stopped.
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
		i.scheduler.Step(i.clock(), events) // actions are ignored: there are no jobs
	}
}

// loopStub replaces a dispatcher's loop for the subsystems.
type loopStub struct{ i *Instance }

func (l loopStub) UpdateQuotas(list []balance.QuotaUpdate) { l.i.quotaUpdates.Add(uint64(len(list))) }
func (l loopStub) Wake() {
	select {
	case l.i.wakes <- struct{}{}:
	default: // a wake-up is pending already
	}
}
func (l loopStub) Notify()                                   { go l.i.refreshConfig() } // Notify must not block
func (l loopStub) SetDeferredLimits(deferred.Limits)         {}
func (l loopStub) SetMaxWaits(map[string]float64)            {}
func (l loopStub) Stats() (f dispatcher.Stats, running bool) { return f, false }

// refreshConfig acknowledges the configuration in force, as a loop does before each step.
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

// Demand sets the demand from now on. Tenants are those of the platform's settings.
func (i *Instance) Demand(d Demand) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tenants, i.cumulativeRates = nil, nil
	for t := range d {
		i.tenants = append(i.tenants, t)
	}
	slices.Sort(i.tenants) // so that the same seed draws the same tenants
	sum := 0.0
	for _, t := range i.tenants {
		sum += d[t]
		i.cumulativeRates = append(i.cumulativeRates, sum)
	}
}

// totalRate returns the rate of starts per second at this instance; 0 if it is stopped or does not count usage.
func (i *Instance) totalRate() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.cumulativeRates) == 0 || i.closed || i.subsystems.Options.Usage == nil {
		return 0
	}
	return i.cumulativeRates[len(i.cumulativeRates)-1]
}

// generateStart records the arrival and the start of one job, of a tenant drawn by its rate.
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

// State returns the current state.
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

// Stop announces to the cluster that the instance leaves, and ends it. A second call does nothing.
func (i *Instance) Stop() {
	i.mu.Lock()
	stopped := i.closed
	i.closed = true
	i.mu.Unlock()
	if stopped {
		return
	}
	i.subsystems.Leave()
	close(i.done)
	i.schedulerDone.Wait()
	i.subsystems.Close()
}

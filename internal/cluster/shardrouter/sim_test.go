package shardrouter

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// A simulation of a cluster in one process, with its own clock: routers with real Balancers, a simplified dispatcher's
// loop around each, workers with slots, a network that loses, delays, duplicates and reorders messages, and leases
// like those of accord.

const leaseSeconds = 1.0

// sim is a simulated cluster. Times and durations are in seconds.
type sim struct {
	t               testing.TB
	rng             *rand.Rand
	now             float64
	queue           events
	seq             int
	nodes           []*node
	workers         map[string]*worker
	jobs            map[string]*simJob
	grantOrder      []string // job ids in the order of their first grants
	cfg             balance.Config
	table           *config.Table
	nextTable       *config.Table // the table being agreed on; nil: none
	intersection    *config.Table // of table and nextTable, leased until nextTable is agreed on
	proposals       []shard.OwnerChange
	loss            float64 // probability that a message is lost
	repeat          float64 // probability that a message is duplicated
	delay           float64 // maximum delay of a message
	fallbackAnswers int     // answers that the loop gave because the router had not answered by the deadline
	failures        []string
	filter          func(from, to *node, m shard.Message) (shard.Message, bool) // may replace a message; false: it is lost
	ignoreLeaseEnd  bool                                                        // instances act as if their leases never ended
	epochs          map[string]uint64                                           // epochs of transmitted grants, by job and attempt
	reliableWorkers bool                                                        // attempts never fail
	skipGrantChecks bool                                                        // origins execute every Send without checking the grant
	breakFirstRun   bool                                                        // the first run of each job loses its connection
	zones           map[string]string                                           // zones of workers
	frames          float64                                                     // number of frames that instances have sent
	bytes           float64                                                     // bytes of these frames
}

type event struct {
	at  float64
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[k].at), e[i].seq-e[k].seq) < 0
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

func (s *sim) schedule(at float64, f func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, f})
}

type worker struct{ free int }

// simJob is a job as its client and the workers see it.
type simJob struct {
	id, class, tenant       string
	arrivedAt, deadline     float64
	node                    *node
	incarnation             string
	runs, inFlight, answers int
	attempts                int
	worker                  string
	ranOn                   []string // workers
	grantedAt               float64  // time of the first grant; 0: none
	answered, abandoned     bool     // abandoned: its origin has crashed
}

// node is a simulated instance.
type node struct {
	s             *sim
	name          string
	incarnation   uint64
	up            bool
	paused        bool
	isolated      bool // reaches neither the agreement nor other instances
	r             *Router
	leasedTable   *config.Table
	leaseEnd      float64
	unleasedTable *config.Table
	events        []balance.Event
	stepQueued    bool
	deferred      []func() // run when a paused instance resumes
}

func newSim(t testing.TB, seed uint64, instances, shards int, cfg balance.Config) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: 1000, workers: map[string]*worker{}, jobs: map[string]*simJob{}, epochs: map[string]uint64{}, cfg: cfg, delay: 0.002}
	for i := range 8 {
		s.workers[fmt.Sprint("w", i)] = &worker{4}
	}
	s.table = &config.Table{Version: 1, ShardOwners: make([]config.ShardOwner, shards)}
	for i := range instances {
		n := &node{s: s, name: string(rune('a' + i))}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	s.run(0.5)
	for i := range shards {
		if instances > 0 {
			s.proposals = append(s.proposals, shard.OwnerChange{Shard: i, To: s.nodes[i%instances].name})
		}
	}
	s.run(1.5)
	return s
}

func (s *sim) run(duration float64) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.f()
	}
	s.now = end
}

func (s *sim) fail(format string, args ...any) {
	if len(s.failures) < 10 {
		s.failures = append(s.failures, fmt.Sprintf("%.3f: ", s.now)+fmt.Sprintf(format, args...))
	}
}

// verbose makes simulations log what the routers and the loops do.
var verbose = os.Getenv("SEATING_LOG") != ""

func (s *sim) endpointUpdate() balance.EndpointUpdate {
	u := balance.EndpointUpdate{Kind: balance.EndpointsCached}
	for _, w := range slices.Sorted(maps.Keys(s.workers)) {
		u.Workers = append(u.Workers, balance.WorkerInfo{ID: w, Zone: s.zones[w], State: balance.Running})
	}
	return u
}

func (s *sim) advanceAgreement() {
	if s.nextTable != nil {
		for _, x := range s.nodes {
			if x.leasedTable != nil && s.now < x.leaseEnd && (x.leasedTable != s.intersection || x.r.loopTable.Load() != s.intersection) {
				return // this instance may still act on the old table
			}
		}
		s.table, s.nextTable, s.intersection = s.nextTable, nil, nil
		return
	}
	m := make(shard.Map, len(s.table.ShardOwners))
	for i, x := range s.table.ShardOwners {
		m[i] = shard.Ownership{Name: x.Name, Epoch: x.Epoch}
	}
	changed := false
	for _, c := range s.proposals {
		changed = m.Apply(c) || changed
	}
	s.proposals = nil
	if changed {
		next := *s.table
		next.Version++
		next.ShardOwners = make([]config.ShardOwner, len(m))
		for i, a := range m {
			next.ShardOwners[i] = config.ShardOwner{Name: a.Name, Epoch: a.Epoch}
		}
		s.nextTable, s.intersection = &next, config.Intersection(s.table, &next)
	}
}

func (n *node) crash() {
	n.up = false
	n.leaseEnd = 0
	for _, j := range n.s.jobs {
		if j.node == n && j.incarnation == n.r.incarnation && !j.answered {
			j.abandoned = true // the client's connection breaks
		}
	}
}

func (n *node) pause() { n.paused = true }
func (n *node) resume() {
	n.paused = false
	list := n.deferred
	n.deferred = nil
	for _, f := range list {
		n.runOrDefer(f)
	}
}

// verify checks the final state, after all jobs have had time to end, and reports the failures of the simulation.
func (s *sim) verify() {
	s.t.Helper()
	if s.checkFinalState(); len(s.failures) > 0 {
		s.t.Errorf("%s", strings.Join(s.failures, "\n"))
	}
}

func (s *sim) checkFinalState() {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; j.answers != 1 && !j.abandoned {
			s.fail("job %s of %s has %d answers, want 1", id, j.incarnation, j.answers)
		}
	}
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		st := n.r.Status()
		if st.LocalJobs > 0 || st.PendingGrants > 0 || len(n.r.localJobs) > 0 || st.UnresponsiveOwners > 0 {
			s.fail("%s still has open work: status %+v, %d local jobs", n.r.incarnation, st, len(n.r.localJobs))
		}
		if verbose {
			s.t.Logf("%s %+v", n.r.incarnation, st)
		}
	}
}

// counterTotal returns the sum of a counter over all routers.
func (s *sim) counterTotal(name string) (n uint64) {
	for _, x := range s.nodes {
		n += x.r.Status().Counters[name]
	}
	return n
}

func testConfig() balance.Config {
	return balance.Config{Dispatchers: 6, MaxAttempts: 3, HealthChecks: true, StartNotifications: true, Cancellation: true, DialTimeout: 0.2, Tick: 0.001, MaxRetryAfter: 5,
		ReportFields: []string{balance.FieldFreeSlots},
		Classes: []balance.Class{
			{Name: "read", LatencyObjective: 2, ObjectiveStretch: 2, Deadline: 8, LateWeightFraction: 0.5, Idempotence: balance.Idempotent},
			{Name: "write", LatencyObjective: 2, ObjectiveStretch: 2, Deadline: 8, LateWeightFraction: 0.5, Idempotence: balance.NonIdempotent},
		},
		Tenants: []balance.Tenant{{Name: "a", Quota: 20, Weight: 3}, {Name: "b", Quota: 40, Weight: 1}, {Name: "c", Weight: 1}}}
}

// generateLoad makes jobs arrive at random instances for duration seconds, on average rate per second.
func (s *sim) generateLoad(rate, duration float64) {
	end := s.now + duration
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		if n := s.nodes[s.rng.IntN(len(s.nodes))]; n.up {
			n.arrive([]string{"read", "write"}[s.rng.IntN(2)], []string{"a", "b", "c"}[s.rng.IntN(3)], 4+4*s.rng.Float64())
		}
		s.schedule(s.now+s.rng.ExpFloat64()/rate, next)
	}
	next()
}

// TestMain runs all tests of the package with a check of the lock order.
func TestMain(m *testing.M) {
	checkLockOrder()
	os.Exit(m.Run())
}

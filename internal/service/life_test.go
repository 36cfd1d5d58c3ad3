package service

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/lab/invariants"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// scenarioSettings are the dispatcher's settings, for fmt.Sprintf with the membership mode and the maximum number of
// attempts. Times are short, so that repeat windows and grace periods end within a run.
const scenarioSettings = `{"me":0,"balancers":1,"zone":"z","membership_mode":%q,"round":0.004,"kinds":["k"],
 "lanes":[{"name":"safe","aim":0.3,"hard_limit":1,"semantics":"safe","value":1},
  {"name":"unsafe","aim":0.3,"hard_limit":1,"semantics":"unsafe","value":1},
  {"name":"zoned","aim":0.3,"hard_limit":1,"semantics":"keyed","dedup_scope":"zone","repeat_window":0.2,"value":1},
  {"name":"keyed","aim":0.3,"hard_limit":1,"semantics":"keyed","dedup_scope":"all","repeat_window":0.2,"value":1}],
 "caps":{"max_attempts":%d,"probes":true,"cancelling":true,"dial_timeout":0.25,"retry_after":true,"max_retry_after":2},
 "family_info":{"report_x0":"free slots","tells_start":true},"reporting":{"how":"pull","fields":["x0"]},
 "parties":[{"name":"acme","quota_per_s":2000}],"rules":{"ask_every":10,"grace_to_answer":0.016,"drain_grace":0.1}}`

var scenarioClasses = []invariants.Class{{Name: "safe", Repeat: "safe"}, {Name: "unsafe", Repeat: "unsafe"},
	{Name: "zoned", Repeat: "keyed", Scope: "zone", Window: 0.2}, {Name: "keyed", Repeat: "keyed", Scope: "all", Window: 0.2}}

// disconnectDelay is how long, in seconds, after its client disconnected an attempt may begin. It is also the tolerance
// of times measured on connections.
const disconnectDelay = 0.1

// scenario is one randomized run of a dispatcher with clients, workers and discovery simulated by the test, all over
// loopback sockets. The simulated parties record what they observe in a history, which is checked against the rules of
// package invariants. Each request is received, queued, sent to a worker, and answered or abandoned by its client.
type scenario struct {
	started            time.Time
	loop               *dispatcher.Dispatcher
	server             *downstream.Server
	pool               *upstream.Pool
	addr               string
	membershipMode     string // how the dispatcher learns of workers
	workers            []*worker
	discoveryListeners [2]net.Listener
	wg                 sync.WaitGroup // goroutines of clients and workers

	mu                  sync.Mutex
	requestsByID        map[string]*clientRequest
	requests            []*clientRequest
	attempts            []*workerAttempt
	notifications       []invariants.EndpointChange
	violations          []string // independent of the clock
	timingViolations    []string // dependent on the clock
	log                 []string
	seq                 int
	health              []string // by worker
	watches             map[net.Conn]bool
	discoverySilent     bool // discovery sends no changes
	discoveryDown       bool // discovery resets new watches
	mayCloseConnections bool // the dispatcher may close connections between requests
	loopEnded           bool // the loop has ended
	stoppedInFlight     bool // the loop was stopped while requests were in flight
	served              int
}

// clientRequest is a client's record of a request.
type clientRequest struct {
	invariants.Request
	received       bool    // the dispatcher has received it
	disconnectKind string  // how its client disconnected
	firstByteAt    float64 // when its first byte was written
}

// workerAttempt is a worker's record of an attempt.
type workerAttempt struct {
	invariants.Attempt
	conn               net.Conn
	closedByDispatcher bool // the dispatcher closed the connection
	mayHaveQueued      bool // its connection may have waited in the accept backlog
	ended              bool
}

func (p *scenario) now() float64 { return 1 + time.Since(p.started).Seconds() }

func (p *scenario) fail(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%.3f s: ", p.now())+fmt.Sprintf(format, args...))
}

// recordingHandler is the dispatcher's handler; it records the requests that it receives.
type recordingHandler struct {
	*dispatcher.Dispatcher
	scenario *scenario
}

func (d recordingHandler) Arrive(q *downstream.Request) {
	d.scenario.mu.Lock()
	if a := d.scenario.requestsByID[q.ID]; a == nil || a.received {
		d.scenario.fail("request %s was received twice, or no client sent it", q.ID)
	} else {
		a.received = true
	}
	d.scenario.mu.Unlock()
	d.Dispatcher.Arrive(q)
}

// newScenario assembles the dispatcher as serve does.
func newScenario(t *testing.T, rng *rand.Rand) *scenario {
	p := &scenario{started: time.Now(), requestsByID: map[string]*clientRequest{}, watches: map[net.Conn]bool{}, seq: 1}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	for n := range 4 {
		w := &worker{scenario: p, index: n, name: fmt.Sprintf("w%d", n), l: listen(), rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), open: map[net.Conn]bool{}}
		p.workers, p.health = append(p.workers, w), append(p.health, "active")
		p.wg.Add(1)
		go w.accept()
	}
	for n := range p.discoveryListeners {
		p.discoveryListeners[n] = listen()
		p.wg.Add(1)
		go p.serveDiscovery(p.discoveryListeners[n])
	}
	p.membershipMode = []string{"pushed", "on_request"}[rng.IntN(2)]
	s, err := settings.Parse([]byte(fmt.Sprintf(scenarioSettings, p.membershipMode, 3)))
	if err != nil {
		t.Fatal(err)
	}
	logf := func(format string, args ...any) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.log = append(p.log, fmt.Sprintf("%.3f ", p.now())+fmt.Sprintf(format, args...))
	}
	dial, keep := poolTimeouts(s)
	phases := &dispatcher.Phases{}
	p.pool = &upstream.Pool{MaxConns: 12, DialTimeout: dial, IdleTimeout: keep, Now: time.Now}
	p.loop, err = dispatcher.New(dispatcher.Options{Settings: s, Seed: rng.Uint64(), CachedEndpoints: []byte(p.endpointLine(true, p.allWorkers()...)), Upstream: p.pool,
		Phases: phases, Log: logf, Now: time.Now, Discovery: p.discoveryListeners[0].Addr().String(), Watch: endpoints.Watch})
	if err != nil {
		t.Fatal(err)
	}
	p.server = downstream.NewServer(classes(s), recordingHandler{p.loop, p}, phases, 16, logf)
	l := listen()
	p.addr = l.Addr().String()
	go p.server.Serve(l)
	t.Cleanup(func() { l.Close() })
	return p
}

// describe returns the records of a request and its attempts.
func (p *scenario) describe(id string) string {
	a := p.requestsByID[id]
	if a == nil {
		return ""
	}
	s := fmt.Sprintf("\n\t\t%s: first byte %.3f, sent %.3f with timeout %.3f s, received %v, disconnected %.3f %s, answers %+v", a.Class, a.firstByteAt, a.SentAt, a.ClientTimeout, a.received, a.DisconnectedAt, a.disconnectKind, a.Answers)
	for _, t := range p.attempts {
		if t.ID == id {
			s += fmt.Sprintf("\n\t\tat %s from %.3f to %.3f, ended %.3f (by the dispatcher: %v; unstarted: %v; %q)", t.Worker, t.First, t.Last, t.End, t.closedByDispatcher, t.Unstarted, t.Result)
		}
	}
	return s
}

// Executes random steps of clients, workers, discovery and operators, and checks the rules of package
// invariants. Each run has a seed. BELLSTREAM_LIVES sets the number of runs; BELLSTREAM_LIFE is the seed of a
// single run, which also prints the log if it fails.
func TestRandomScenarios(t *testing.T) {
	runs, first := 60, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("BELLSTREAM_LIVES")); err == nil {
		runs = n
	}
	if n, err := strconv.ParseUint(os.Getenv("BELLSTREAM_LIFE"), 10, 64); err == nil {
		runs, first = 1, n
	}
	stalls := &stallMonitor{}
	for range 4 {
		stalls.watch(t)
	}
	totals := &scenarioTotals{outcomes: map[string]int{}}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, 24)
	for n := range runs {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			seed := first + uint64(n)
			p, timingViolations := runWithRetries(t, seed, stalls)
			totals.mu.Lock()
			defer totals.mu.Unlock()
			if len(timingViolations) > 0 && len(p.violations) == 0 {
				t.Logf("seed %d, timing violations that did not recur in each repetition:\n\t%s", seed, strings.Join(timingViolations, "\n\t"))
			}
			if p.stoppedInFlight && stalls.delayBoundSince(p.started) > maxStallSeconds {
				totals.notJudged++ // which requests a stop leaves unanswered depends on the clock
				return
			}
			totals.add(p)
			if len(p.violations) > 0 {
				t.Errorf("seed %d:\n\t%s", seed, strings.Join(p.violations, "\n\t"))
				if runs == 1 {
					t.Logf("log:\n\t%s", strings.Join(p.log, "\n\t"))
				}
			}
		})
	}
	wg.Wait()
	t.Logf("outcomes of requests: %v", totals.outcomes)
	t.Logf("%d runs: %d requests, %d attempts, %d served; %d runs were delayed by the machine and not judged",
		runs, totals.requests, totals.attempts, totals.served, totals.notJudged)
	if totals.notJudged == runs {
		t.Error("no run was judged: the machine delayed each of them")
	}
}

// runWithRetries runs a scenario up to four times while it has timing violations only: a machine that delays a
// goroutine causes them now and then, a fault in the program each time.
func runWithRetries(t *testing.T, seed uint64, stalls *stallMonitor) (p *scenario, timingViolations []string) {
	p = runScenario(t, seed, stalls)
	for n := 1; len(p.violations) == 0 && len(p.timingViolations) > 0; n++ {
		timingViolations = append(timingViolations, p.timingViolations...)
		if n == 4 {
			p.violations = timingViolations
			break
		}
		p = runScenario(t, seed, stalls)
	}
	return p, timingViolations
}

// scenarioTotals sums up the runs that were judged, and counts the runs that were not.
type scenarioTotals struct {
	mu        sync.Mutex
	requests  int
	attempts  int
	served    int
	notJudged int
	outcomes  map[string]int // number of requests by outcome
}

func (s *scenarioTotals) add(p *scenario) {
	s.requests += len(p.requests)
	s.attempts += len(p.attempts)
	s.served += p.served
	for _, a := range p.requests {
		switch {
		case a.NeverAccepted:
			s.outcomes["never"]++
		case len(a.Answers) > 0:
			s.outcomes[fmt.Sprint(a.Answers[0].Status)]++
		case a.DisconnectedAt > 0:
			s.outcomes["left"]++
		default:
			s.outcomes["none"]++
		}
	}
}

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

// The figures that the model plays by: short, so that windows and graces close within a play.
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

// disconnectDelay is how long after its client left an attempt may begin, and what times of the wire may
// be off by beside it.
const disconnectDelay = 0.1

// scenario is one play: a dispatcher between clients, workers and discovery that the test plays, all
// over sockets of the loopback. What these see is written down in a history, which the rules
// are held against. Each request is taken, waits, is out, and is answered or left.
type scenario struct {
	started            time.Time
	loop               *dispatcher.Dispatcher
	server             *downstream.Server
	pool               *upstream.Pool
	addr               string
	membershipMode     string // how the module learns of workers
	workers            []*worker
	discoveryListeners [2]net.Listener
	wg                 sync.WaitGroup // goroutines of clients and workers

	mu                  sync.Mutex
	requestsByID        map[string]*clientRequest
	requests            []*clientRequest
	attempts            []*workerAttempt
	notifications       []invariants.EndpointChange
	violations          []string // whatever the clock says
	timingViolations    []string // by the clock
	log                 []string
	seq                 int
	health              []string // of workers
	watches             map[net.Conn]bool
	discoverySilent     bool // discovery
	discoveryDown       bool
	mayCloseConnections bool // the dispatcher may close connections between requests
	loopEnded           bool // the loop has ended
	stoppedInFlight     bool // while requests were under way
	served              int
}

// clientRequest is a request as its client knows it.
type clientRequest struct {
	invariants.Request
	received    bool    // the dispatcher has it
	leftHow     string  // its client left
	firstByteAt float64 // to be written
}

// workerAttempt is an attempt as its worker knows it.
type workerAttempt struct {
	invariants.Attempt
	conn            net.Conn
	cutByDispatcher bool // ended by the dispatcher
	mayHaveQueued   bool // it may have stood in the backlog for a while
	ended           bool
}

func (p *scenario) now() float64 { return 1 + time.Since(p.started).Seconds() }

func (p *scenario) fail(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%.3f s: ", p.now())+fmt.Sprintf(format, args...))
}

// recordingHandler is the dispatcher's handler; it records the requests that it receives.
type recordingHandler struct {
	*dispatcher.Dispatcher
	p *scenario
}

func (d recordingHandler) Arrive(q *downstream.Request) {
	d.p.mu.Lock()
	if a := d.p.requestsByID[q.ID]; a == nil || a.received {
		d.p.fail("request %s was taken twice, or none asked for it", q.ID)
	} else {
		a.received = true
	}
	d.p.mu.Unlock()
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
		w := &worker{p: p, no: n, name: fmt.Sprintf("w%d", n), l: listen(), rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), open: map[net.Conn]bool{}}
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

// describe returns all that is known of a request.
func (p *scenario) describe(id string) string {
	a := p.requestsByID[id]
	if a == nil {
		return ""
	}
	s := fmt.Sprintf("\n\t\t%s: begun %.3f, asked %.3f for %.3f s, taken %v, left %.3f %s, answers %+v", a.Class, a.firstByteAt, a.SentAt, a.ClientTimeout, a.received, a.DisconnectedAt, a.leftHow, a.Answers)
	for _, t := range p.attempts {
		if t.ID == id {
			s += fmt.Sprintf("\n\t\tat %s from %.3f to %.3f, ended %.3f (by the dispatcher: %v; unstarted: %v; %q)", t.Worker, t.First, t.Last, t.End, t.cutByDispatcher, t.Unstarted, t.Result)
		}
	}
	return s
}

// Random steps of clients, workers, discovery and operators, each play by its seed.
// BELLSTREAM_LIVES says how many, where more than a few are to be played, BELLSTREAM_LIFE plays one.
func TestLives(t *testing.T) {
	lives, first := 60, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("BELLSTREAM_LIVES")); err == nil {
		lives = n
	}
	if n, err := strconv.ParseUint(os.Getenv("BELLSTREAM_LIFE"), 10, 64); err == nil {
		lives, first = 1, n
	}
	stalled := &stallMonitor{}
	for range 4 {
		stalled.watch(t)
	}
	totals := &scenarioTotals{ends: map[string]int{}}
	var wg sync.WaitGroup
	places := make(chan struct{}, 24)
	for n := range lives {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			seed := first + uint64(n)
			p, late := playUntilSure(t, seed, stalled)
			totals.mu.Lock()
			defer totals.mu.Unlock()
			if len(late) > 0 && len(p.violations) == 0 {
				t.Logf("seed %d, not each time:\n\t%s", seed, strings.Join(late, "\n\t"))
			}
			if p.stoppedInFlight && stalled.since(p.started) > maxStallSeconds {
				totals.notJudged++ // what a stop leaves unanswered goes by the clock
				return
			}
			totals.add(p)
			if len(p.violations) > 0 {
				t.Errorf("seed %d:\n\t%s", seed, strings.Join(p.violations, "\n\t"))
				if lives == 1 {
					t.Logf("log:\n\t%s", strings.Join(p.log, "\n\t"))
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%v", totals.ends)
	t.Logf("%d plays: %d requests, %d attempts, %d served; %d were held up by the machine and not judged",
		lives, totals.requests, totals.attempts, totals.served, totals.notJudged)
	if totals.notJudged == lives {
		t.Error("the machine held up every play")
	}
}

// playUntilSure plays a scenario up to four times while it has timing violations only: a machine that delays a
// goroutine makes a time look wrong now and then, a fault in the program does so each time.
func playUntilSure(t *testing.T, seed uint64, stalled *stallMonitor) (p *scenario, late []string) {
	p = playScenario(t, seed, stalled)
	for n := 1; len(p.violations) == 0 && len(p.timingViolations) > 0; n++ {
		late = append(late, p.timingViolations...)
		if n == 4 {
			p.violations = late
			break
		}
		p = playScenario(t, seed, stalled)
	}
	return p, late
}

// scenarioTotals sums up the scenarios that were judged.
type scenarioTotals struct {
	mu        sync.Mutex
	requests  int
	attempts  int
	served    int
	notJudged int
	ends      map[string]int // requests by how they ended
}

func (s *scenarioTotals) add(p *scenario) {
	s.requests += len(p.requests)
	s.attempts += len(p.attempts)
	s.served += p.served
	for _, a := range p.requests {
		switch {
		case a.NeverAccepted:
			s.ends["never"]++
		case len(a.Answers) > 0:
			s.ends[fmt.Sprint(a.Answers[0].Status)]++
		case a.DisconnectedAt > 0:
			s.ends["left"]++
		default:
			s.ends["none"]++
		}
	}
}

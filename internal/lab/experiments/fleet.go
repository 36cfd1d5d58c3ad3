package experiments

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/bellstream/internal/lab/emulator"
	"example.org/bellstream/internal/lab/fault"
	"example.org/bellstream/internal/lab/faultproxy"
	"example.org/bellstream/internal/lab/invariants"
)

// Job is a worker's record of one job.
type Job struct {
	At         time.Time // when its request arrived
	Started    time.Time // when it got a slot; zero: it did not start
	Done       time.Time // when it ended; zero: it did not
	Failed     bool      // it ran and failed
	ID, Worker string
	Tenant     string
	Entry      string // the dispatcher to which the client sent it
}

// Fleet emulates zone workers and discovery on loopback. Workers have slots and a queue, and send load reports
// with answers and probes, as the protocol specifies. Fleet records every job that a worker accepted.
type Fleet struct {
	Mean time.Duration // mean work of a job; work is exponentially distributed

	mu                sync.Mutex
	jobs              []Job
	attempts          []invariants.Attempt // all that arrived, including rejected ones
	base              time.Time
	seq               int           // sequence number of the latest change of the endpoint list
	changed           chan struct{} // closed at each change of the endpoint list
	endpointChanges   []invariants.EndpointChange
	rng               *rand.Rand
	workers           []*emulatedWorker
	discoveryListener net.Listener
	servers           []*http.Server
	faults            []*FleetFault

	priorities map[string]int // by class
}

type emulatedWorker struct {
	f           *Fleet
	name        string
	group       string
	zone        string
	kind        string
	addr        string
	health      string    // as reported by discovery; guarded by the fleet's mu
	seq         int       // sequence number of its last change
	restartedAt time.Time // time of the last restart; zero: never restarted
	mu          sync.Mutex
	model       *emulator.Worker
	pending     map[string]chan emulator.Event // events of each accepted job, by its ID
	timer       *time.Timer
	lag         time.Duration // age of its load reports
	noise       float64       // largest error of its load reports, as a fraction of its slots
	pastReports []pastReport  // kept if lag is set, oldest first
	silent      time.Time     // until this time it accepts requests without answering them
}

// pastReport is a load report with its time, in seconds on the fleet's clock.
type pastReport struct {
	at float64
	emulator.Report
}

// Silence makes a worker accept requests without answering them for the duration d.
func (f *Fleet) Silence(worker int, d time.Duration) {
	w := f.workers[worker%len(f.workers)]
	w.mu.Lock()
	w.silent = time.Now().Add(d)
	w.mu.Unlock()
}

// NewFleet starts workers and a discovery that lists them. The caller must Close the fleet.
func NewFleet(seed uint64, workers, slots int, mean time.Duration) (*Fleet, error) {
	f := newFleet(seed, mean)
	for i := range workers {
		if _, err := f.addWorker(fmt.Sprintf("w-%02d", i), "w", "z", "k", emulator.Settings{Slots: float64(slots), MaxQueue: 2 * slots}, nil); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.startDiscovery("127.0.0.1:0"); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func newFleet(seed uint64, mean time.Duration) *Fleet {
	return &Fleet{Mean: mean, base: time.Now(), seq: 1, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0xf1ee7))}
}

// addWorker starts a worker on a free loopback port. keyZone deduplicates its jobs by idempotency key; if it is nil,
// jobs are not deduplicated.
func (f *Fleet) addWorker(name, group, zone, kind string, s emulator.Settings, keyZone *emulator.Zone) (*emulatedWorker, error) {
	w := &emulatedWorker{f: f, health: "active", seq: 1, name: name, group: group, zone: zone, kind: kind, pending: map[string]chan emulator.Event{},
		model: emulator.New(s, keyZone)}
	w.timer = time.AfterFunc(time.Hour, func() { w.update(func(float64) {}) })
	l, err := f.serve("127.0.0.1:0", w)
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	f.workers = append(f.workers, w)
	return w, nil
}

// startDiscovery starts discovery at the address listen.
func (f *Fleet) startDiscovery(listen string) (err error) {
	f.discoveryListener, err = f.serve(listen, http.HandlerFunc(f.discovery))
	return err
}

func (f *Fleet) serve(listen string, h http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go s.Serve(l)
	return l, nil
}

// Close ends workers and discovery.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		s.Close()
	}
	for _, w := range f.workers {
		w.timer.Stop()
	}
}

// Discovery returns the address of discovery.
func (f *Fleet) Discovery() string { return f.discoveryListener.Addr().String() }

// Jobs returns a copy of the records so far.
func (f *Fleet) Jobs() []Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Job(nil), f.jobs...)
}

// Attempts returns all requests that arrived at workers, for an audit. Their times are on the clock of Clock.
func (f *Fleet) Attempts() []invariants.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]invariants.Attempt(nil), f.attempts...)
}

// Clock converts a time to the clock of the audit's records: seconds since the fleet was created.
func (f *Fleet) Clock(t time.Time) float64 { return t.Sub(f.base).Seconds() }

// Workers returns the fleet's workers, for an audit.
func (f *Fleet) Workers() (list []invariants.Worker) {
	for _, w := range f.workers {
		list = append(list, invariants.Worker{Name: w.name, Zone: w.zone, Slots: w.model.Slots})
	}
	return list
}

// InsertFaultProxy starts a fault proxy between dispatchers and workers. Discovery lists the address of the proxy's
// endpoint for each worker from then on.
func (f *Fleet) InsertFaultProxy(seed uint64, log func(faultproxy.Entry)) (*faultproxy.Proxy, error) {
	var endpoints []fault.Endpoint
	for _, w := range f.workers {
		endpoints = append(endpoints, fault.Endpoint{Name: w.name, Listen: "127.0.0.1:0", Target: w.addr, Network: "tcp"})
	}
	p, err := faultproxy.Start(faultproxy.Options{Seed: seed, Endpoints: endpoints, Log: log})
	if err != nil {
		return nil, err
	}
	for _, w := range f.workers {
		w.addr = p.Addr(w.name)
	}
	return p, nil
}

// JobsByTenant counts the accepted jobs by tenant.
func (f *Fleet) JobsByTenant() map[string]int {
	n := map[string]int{}
	for _, j := range f.Jobs() {
		n[j.Tenant]++
	}
	return n
}

// List returns the complete endpoint list in discovery's JSON format.
func (f *Fleet) List() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes(0)
}

// changes returns the entries changed after a sequence number, as JSON. The caller holds mu.
func (f *Fleet) changes(after int) string {
	var hosts []string
	for _, w := range f.workers {
		if w.seq > after {
			hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":%q,"block":0,"health":%q,"share":1.0,"born_ms":%d}`,
				w.name, w.addr, w.zone, w.kind, w.health, max(w.restartedAt.UnixMilli(), 0)))
		}
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, f.seq, after == 0, strings.Join(hosts, ","))
}

// SetHealth changes the state that discovery reports for a worker: active, leaving or left.
func (f *Fleet) SetHealth(worker int, health string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[worker]
	f.seq++
	w.health, w.seq = health, f.seq
	close(f.changed)
	f.changed = make(chan struct{})
}

// EndpointChanges returns the changes that discovery has sent to watchers, for an audit.
func (f *Fleet) EndpointChanges() []invariants.EndpointChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]invariants.EndpointChange(nil), f.endpointChanges...)
}

// discovery answers with the list; for a stream it then sends changes until the client disconnects.
func (f *Fleet) discovery(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	line, seen := f.changes(0), f.seq
	changed := f.changed
	f.mu.Unlock()
	fmt.Fprintln(w, line)
	if r.URL.Query().Get("stream") == "" {
		return
	}
	for r.Context().Err() == nil {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		case <-changed:
			f.mu.Lock()
			line, changed = f.changes(seen), f.changed
			for _, x := range f.workers {
				if x.seq > seen {
					f.endpointChanges = append(f.endpointChanges, invariants.EndpointChange{Dispatcher: "0", Worker: x.name, State: x.health, At: f.Clock(time.Now())})
				}
			}
			seen = f.seq
			f.mu.Unlock()
			fmt.Fprintln(w, line)
		}
	}
}

// update applies do to the worker's model at the current time and delivers the resulting events.
func (w *emulatedWorker) update(do func(now float64)) {
	w.apply(func(now float64) []emulator.Event { do(now); return nil })
}

// apply is update for a function that returns events of its own.
func (w *emulatedWorker) apply(do func(now float64) []emulator.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.f.Clock(time.Now())
	events := append(w.model.Advance(now), do(now)...)
	for _, e := range append(events, w.model.Advance(now)...) {
		if c := w.pending[e.ID]; c != nil && e.Kind != emulator.Suspended && e.Kind != emulator.Resumed {
			c <- e // never blocks: the channel has room for the start and the end of a job
		}
	}
	if w.lag > 0 {
		w.pastReports = append(w.pastReports, pastReport{now, w.model.Report(now)})
		for len(w.pastReports) > 1 && w.pastReports[1].at <= now-w.lag.Seconds() {
			w.pastReports = w.pastReports[1:]
		}
	}
	if next := w.model.Next(now); !math.IsInf(next, 1) {
		w.timer.Reset(time.Duration((next-now)*float64(time.Second)) + time.Microsecond)
	}
}

func (w *emulatedWorker) loadReport() (text string) {
	falseReport := w.activeFault(faultLies)
	offset := 0.0
	if w.noise > 0 {
		w.f.mu.Lock()
		offset = w.noise * (2*w.f.rng.Float64() - 1)
		w.f.mu.Unlock()
	}
	w.update(func(now float64) {
		r := w.model.Report(now)
		if len(w.pastReports) > 0 {
			r = w.pastReports[0].Report
		}
		r.FreeSlots = min(max(math.Round(r.FreeSlots+offset*w.model.Slots), 0), w.model.Slots)
		if falseReport != nil {
			r.FreeSlots, r.Queue = falseReport.Free, 0
		}
		text = fmt.Sprintf(`{"x0":%v,"waiting":%v}`, r.FreeSlots, r.Queue)
	})
	return text
}

// ServeHTTP answers a probe (GET) with a load report and runs any other request as a job.
func (w *emulatedWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		fmt.Fprint(out, w.loadReport())
		return
	}
	arrivedAt := time.Now()
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return
	}
	tenant, entry, _ := strings.Cut(string(body), " ")
	entry, fails := strings.CutSuffix(entry, " fail")
	entry, slotText, _ := strings.Cut(entry, " slots=")
	slots, err := strconv.Atoi(slotText)
	if err != nil {
		slots = 1
	}
	slots = max(1, min(slots, int(w.model.Slots)))
	id := r.Header.Get("Request-Id")
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	w.f.mu.Lock()
	work := time.Duration(w.f.rng.ExpFloat64() * float64(w.f.Mean))
	w.f.mu.Unlock()
	for _, kind := range []string{faultSlow, faultTail} {
		if x := w.activeFault(kind); x != nil {
			work = time.Duration(float64(work) * x.Factor)
		}
	}
	w.f.mu.Lock()
	attempt := len(w.f.attempts)
	w.f.attempts = append(w.f.attempts, invariants.Attempt{ID: id, Worker: w.name, Dispatcher: entry, First: w.f.Clock(arrivedAt), Last: w.f.Clock(time.Now()),
		Work: float64(slots) * work.Seconds()})
	w.f.mu.Unlock()
	var answer string
	var answeredAt time.Time // just before answer is written: the scheduler may resume this goroutine long after the write
	unstarted := false
	defer func() { // runs when the last line is written or the connection has ended
		end := time.Now()
		if answer != "" {
			end = answeredAt
		}
		w.f.mu.Lock()
		a := &w.f.attempts[attempt]
		a.End, a.Unstarted, a.Result = w.f.Clock(end), unstarted, answer
		w.f.mu.Unlock()
	}()
	w.mu.Lock()
	silent := time.Until(w.silent)
	w.mu.Unlock()
	if x := w.activeFault(faultSilent); x != nil {
		silent = time.Until(w.f.base.Add(x.end))
	}
	if silent > 0 {
		select {
		case <-time.After(silent):
		case <-r.Context().Done():
			return
		}
	}
	if w.activeFault(faultErrors) != nil {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	abortAnswer := w.activeFault(faultHalf) != nil
	events := make(chan emulator.Event, 4)
	outcome := emulator.QueueFull
	w.update(func(now float64) {
		if w.pending[id] == nil { // a second attempt of the same job at the same worker is rejected
			if outcome = w.model.Submit(now, emulator.Job{ID: id, IdempotencyKey: r.Header.Get("Idempotency-Key"), Priority: w.f.priorities[class], Slots: float64(slots), Work: work.Seconds()}); outcome == emulator.Accepted {
				w.pending[id] = events
			}
		}
	})
	if outcome == emulator.AlreadyDone { // the zone has already run the job, so it is answered without another run
		answer, answeredAt = fmt.Sprintf("%s known by %s, try %d", id, w.name, attempt), time.Now()
		fmt.Fprintf(out, `{"id":%q,"from":%q,"state":"done","result":%q,"load":%s}`+"\n", id, w.name, answer, w.loadReport())
		return
	}
	if outcome != emulator.Accepted {
		unstarted = true
		out.Header().Set("Not-Started", "1")
		out.Header().Set("Server-Load", w.loadReport())
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.update(func(now float64) {
		w.model.Cancel(now, id)
		delete(w.pending, id)
	})
	w.f.mu.Lock()
	jobIndex := len(w.f.jobs)
	w.f.jobs = append(w.f.jobs, Job{At: arrivedAt, ID: id, Worker: w.name, Tenant: tenant, Entry: entry})
	w.f.mu.Unlock()
	writeState := func(state, more string) {
		fmt.Fprintf(out, `{"id":%q,"from":%q,"state":%q%s}`+"\n", id, w.name, state, more)
		out.(http.Flusher).Flush()
	}
	out.(http.Flusher).Flush()
	for ended := false; !ended; {
		select {
		case e := <-events:
			switch e.Kind {
			case emulator.Returned:
				unstarted = true
				writeState("returned", fmt.Sprintf(`,"load":%s`, w.loadReport()))
				return
			case emulator.Lost:
				writeState("lost", "")
				return
			}
			w.f.mu.Lock()
			if ended = e.Kind == emulator.Done; ended {
				w.f.jobs[jobIndex].Done, w.f.jobs[jobIndex].Failed = time.Now(), fails
			} else {
				w.f.jobs[jobIndex].Started = time.Now()
			}
			w.f.mu.Unlock()
			if !ended {
				writeState("started", "")
			}
		case <-r.Context().Done():
			return
		}
	}
	if fails {
		writeState("failed", fmt.Sprintf(`,"load":%s`, w.loadReport()))
		return
	}
	if abortAnswer {
		fmt.Fprintf(out, `{"id":%q,"from":%q,"sta`, id, w.name)
		out.(http.Flusher).Flush()
		panic(http.ErrAbortHandler) // makes the server abort the connection
	}
	answer, answeredAt = fmt.Sprintf("%s by %s, try %d", id, w.name, attempt), time.Now()
	result, _ := json.Marshal(answer)
	writeState("done", fmt.Sprintf(`,"result":%s,"load":%s`, result, w.loadReport()))
}

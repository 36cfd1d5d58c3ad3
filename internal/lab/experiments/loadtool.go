package experiments

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/bellstream/internal/lab/loadgen"
)

// Limits of the load tool.
const (
	maxInFlight     = 20_000           // jobs; further ones are not sent and make the run void
	maxToolLateness = time.Millisecond // 99th percentile of the tool's own delay; a longer one makes the run void
)

// LoadOptions are the options of a run of the load tool.
type LoadOptions struct {
	Targets           []string // addresses of dispatchers, used in turn
	Settings          loadgen.Settings
	Trace             []loadgen.Job // replayed instead of jobs drawn by Settings; nil: drawn
	Progress          io.Writer     // receives a progress line each second; nil: none
	LatencyObjective  time.Duration // an answer with status 200 within it is in time; 0: every 200 is
	ClosedLoopClients int           // number of closed-loop clients, for comparison; 0: open loop
}

// LoadReport holds what the clients measured. Latencies count from the time at which a request was due, not from
// when it was sent. So neither a slow server nor a late tool hides waiting time.
type LoadReport struct {
	Jobs     int                 `json:"jobs"`
	Asked    int                 `json:"asked"`     // requests sent, retries included
	Unasked  int                 `json:"unasked"`   // jobs not sent because maxInFlight were in flight
	NoSocket int                 `json:"no_socket"` // requests that failed because no file descriptor or port was free
	Left     int                 `json:"left"`      // clients that disconnected early on purpose
	InTime   int                 `json:"in_time"`
	Seconds  float64             `json:"seconds"`
	Status   map[string]int      `json:"status"` // jobs by status of the final answer; "none": no answer
	Classes  map[string]*Latency `json:"classes"`
	Tenants  map[string]*Latency `json:"tenants"`
	ToolLate *Latency            `json:"tool_late"` // delay from when a request was due to when it was sent
	Void     string              `json:"void,omitempty"`
}

// Latency is a latency distribution, in milliseconds.
type Latency struct {
	N    int64   `json:"n"`
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
	h    *hdrhistogram.Histogram
}

// newLatency returns a histogram of 1 µs to 600 s with three significant digits.
func newLatency() *Latency { return &Latency{h: hdrhistogram.New(1, 600_000_000, 3)} }

func (l *Latency) add(d time.Duration) { l.h.RecordValue(min(max(d.Microseconds(), 1), 600_000_000)) }

// summarize sets the exported fields from the histogram.
func (l *Latency) summarize() {
	at := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	l.N, l.P50, l.P90, l.P99, l.P999, l.Max = l.h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(l.h.Max())/1000
}

// loadRun is a run of the load tool.
type loadRun struct {
	LoadOptions
	client    *http.Client
	startedAt time.Time
	pending   sync.WaitGroup
	mu        sync.Mutex
	inFlight  int
	lastID    int
	report    LoadReport
}

// RunLoad sends jobs until the source or the context ends, then waits for the answers. It returns an error if
// there is no target or the settings are invalid.
func RunLoad(ctx context.Context, o LoadOptions) (*LoadReport, error) {
	if len(o.Targets) == 0 {
		return nil, fmt.Errorf("target: none given")
	}
	if o.Trace == nil {
		if err := o.Settings.Validate(); err != nil {
			return nil, err
		}
	}
	l := &loadRun{LoadOptions: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 0, DisableCompression: true}},
		report: LoadReport{Status: map[string]int{}, Classes: map[string]*Latency{}, Tenants: map[string]*Latency{}, ToolLate: newLatency()}}
	defer l.client.CloseIdleConnections()
	source := loadgen.NewGenerator(o.Settings)
	next := source.Next
	if o.Trace != nil {
		rest := o.Trace
		next = func() (loadgen.Job, bool) {
			if len(rest) == 0 {
				return loadgen.Job{}, false
			}
			j := rest[0]
			rest = rest[1:]
			return j, true
		}
	}
	stop := make(chan struct{})
	if o.Progress != nil {
		go l.progress(stop)
	}
	l.startedAt = time.Now()
	// The runtime's timers fire up to a millisecond late in a mostly idle process, so this goroutine sleeps by
	// system calls on a thread of its own.
	runtime.LockOSThread()
	closedLoopSlots := make(chan struct{}, max(l.ClosedLoopClients, 1))
	for ctx.Err() == nil {
		j, ok := next()
		if !ok {
			break
		}
		due := l.startedAt.Add(time.Duration(j.At * float64(time.Second)))
		sleepUntil(ctx, due)
		if l.ClosedLoopClients > 0 { // closed loop: a slow server delays the next request
			closedLoopSlots <- struct{}{}
			due = time.Now()
		}
		l.mu.Lock()
		l.report.Jobs++
		full := l.inFlight >= maxInFlight
		if full {
			l.report.Unasked++
		} else {
			l.inFlight++
		}
		l.mu.Unlock()
		if !full {
			l.pending.Add(1)
			go func() {
				l.runJob(j, due)
				if l.ClosedLoopClients > 0 {
					<-closedLoopSlots
				}
			}()
		}
	}
	runtime.UnlockOSThread()
	l.report.Seconds = time.Since(l.startedAt).Seconds()
	l.pending.Wait()
	close(stop)
	return l.finish(ctx), nil
}

// sleepUntil sleeps by nanosleep until the given time or the end of ctx, which it checks every 100 ms.
func sleepUntil(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		left := time.Until(until)
		if left <= 0 {
			return
		}
		t := syscall.NsecToTimespec(int64(min(left, 100*time.Millisecond)))
		syscall.Nanosleep(&t, nil)
	}
}

// runJob sends a job's request and its retries, and records the outcome.
func (l *loadRun) runJob(j loadgen.Job, due time.Time) {
	defer l.pending.Done()
	end := due.Add(time.Duration(j.ClientTimeout * float64(time.Second)))
	status, left := 0, false
	for tries := 1; ; tries++ {
		var after float64
		status, after, left = l.sendRequest(j, due, end, tries)
		in, again := l.Settings.RetryDelay(status, tries, after, time.Until(end).Seconds())
		if !again || left {
			break
		}
		time.Sleep(time.Duration(in * float64(time.Second)))
	}
	latency := time.Since(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if left {
		l.report.Left++
		return
	}
	name := strconv.Itoa(status)
	if status == 0 {
		name = "none"
	}
	l.report.Status[name]++
	if status == http.StatusOK && (l.LatencyObjective == 0 || latency <= l.LatencyObjective) {
		l.report.InTime++
	}
	for m, key := range map[*map[string]*Latency]string{&l.report.Classes: j.Class, &l.report.Tenants: j.Tenant} {
		if (*m)[key] == nil {
			(*m)[key] = newLatency()
		}
		(*m)[key].add(latency)
	}
}

// sendRequest sends one request of a job. It returns the status, 0 without a complete answer, the value of
// Retry-After in seconds, and whether the client disconnected on purpose.
func (l *loadRun) sendRequest(j loadgen.Job, due, end time.Time, tries int) (status int, after float64, left bool) {
	l.mu.Lock()
	l.lastID++
	n := l.lastID
	l.mu.Unlock()
	until := end.Add(250 * time.Millisecond) // margin to receive an answer that is sent exactly at the time-out
	if j.DisconnectsAfter > 0 {
		until = due.Add(time.Duration(j.DisconnectsAfter * float64(time.Second)))
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Targets[n%len(l.Targets)]+"/"+j.Class,
		strings.NewReader(fmt.Sprintf("%s %d slots=%v", j.Tenant, n%len(l.Targets), j.Slots)))
	if err != nil {
		return 0, 0, false
	}
	id := fmt.Sprintf("%08x%08x", uint32(l.Settings.Seed), n)
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", j.Class)
	req.Header.Set("Tenant", j.Tenant)
	req.Header.Set("Request-Timeout", strconv.FormatFloat(max(time.Until(end).Seconds(), 0.001), 'f', 3, 64))
	if j.HasIdempotencyKey {
		req.Header.Set("Idempotency-Key", id+id)
	}
	if j.Slots > 1 {
		req.Header.Set("Request-Info", fmt.Sprintf("slots=%v", j.Slots))
	}
	if tries > 1 {
		req.Header.Set("Client-Retry", "1")
	}
	late := time.Since(due)
	l.mu.Lock()
	if l.report.Asked++; tries == 1 {
		l.report.ToolLate.add(late)
	}
	l.mu.Unlock()
	resp, err := l.client.Do(req)
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
		l.mu.Lock()
		l.report.NoSocket++
		l.mu.Unlock()
	}
	if err != nil {
		return 0, 0, j.DisconnectsAfter > 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20)); err != nil {
		return 0, 0, j.DisconnectsAfter > 0
	}
	after, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, after, false
}

// progress writes a progress line each second until stop is closed.
func (l *loadRun) progress(stop chan struct{}) {
	for t := time.NewTicker(time.Second); ; {
		select {
		case <-stop:
			t.Stop()
			return
		case <-t.C:
			l.mu.Lock()
			fmt.Fprintf(l.Progress, "\r%6.0f s  %d jobs, %d open, answers %v   ", time.Since(l.startedAt).Seconds(), l.report.Jobs, l.inFlight, l.report.Status)
			l.mu.Unlock()
		}
	}
}

// finish computes the distributions and sets Void if the run is invalid.
func (l *loadRun) finish(ctx context.Context) *LoadReport {
	r := &l.report
	for _, m := range []map[string]*Latency{r.Classes, r.Tenants} {
		for _, x := range m {
			x.summarize()
		}
	}
	r.ToolLate.summarize()
	switch {
	case ctx.Err() != nil:
		r.Void = "it was ended before its time"
	case r.Unasked > 0:
		r.Void = fmt.Sprintf("%d questions were not asked: %d were open", r.Unasked, maxInFlight)
	case r.NoSocket > 0:
		r.Void = fmt.Sprintf("%d questions found no descriptor or port left: raise the limit (ulimit -n)", r.NoSocket)
	case r.ToolLate.P99 > float64(maxToolLateness.Microseconds())/1000:
		r.Void = fmt.Sprintf("the tool itself was late: %.2f ms at the 99th percentile", r.ToolLate.P99)
	}
	if l.Progress != nil {
		fmt.Fprintln(l.Progress)
	}
	return r
}

// Print writes the report as text tables.
func (r *LoadReport) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%d jobs in %.1f s, %.0f a second; %d questions asked, %d clients left\n\nANSWER\tJOBS\n", r.Jobs, r.Seconds, float64(r.Jobs)/r.Seconds, r.Asked, r.Left)
	for _, s := range slices.Sorted(maps.Keys(r.Status)) {
		fmt.Fprintf(t, "%s\t%d\n", s, r.Status[s])
	}
	fmt.Fprintf(t, "\nMS\tN\tP50\tP90\tP99\tP99.9\tMAX\n")
	line := func(name string, l *Latency) {
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, l.N, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	for _, m := range []struct {
		what string
		of   map[string]*Latency
	}{{"class ", r.Classes}, {"tenant ", r.Tenants}} {
		for _, k := range slices.Sorted(maps.Keys(m.of)) {
			line(m.what+k, m.of[k])
		}
	}
	line("the tool's own lateness", r.ToolLate)
	if r.Void != "" {
		fmt.Fprintf(t, "\nVOID: %s\n", r.Void)
	}
	return t.Flush()
}

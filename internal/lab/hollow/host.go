package hollow

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/service"
)

// sweep is how often the loop's stand-ins look at the rules where nothing comes in, as a dispatcher's loop does.
const sweepInterval = 500 * time.Millisecond

// Spec is what a process of hollow instances is started with: its first line.
type Spec struct {
	Seed      uint64  `json:"seed"`
	Instances []Files `json:"instances"`
	Over      float64 `json:"over_s"` // in which they start one after the other: those of a real cluster do not go round in step
}

// Command is a line that the process is told. Each is answered by one line.
type Command struct {
	Demand []Demand `json:"demand,omitempty"` // by instance, in Spec's order; what is missing stays
	Stop   []int    `json:"stop,omitempty"`   // instances that end in good order
	Report bool     `json:"report,omitempty"`
}

// Response is what it answers: to Spec once all instances run, to an order when it is carried out.
type Response struct {
	Error string  `json:"error,omitempty"`
	Usage Usage   `json:"usage"`
	All   []State `json:"all,omitempty"` // with a report
}

// Usage is what the whole process takes of the machine.
type Usage struct {
	CPU         float64 `json:"cpu_s"` // user and system, since the start
	Resident    int64   `json:"resident"`
	Heap        uint64  `json:"heap"` // bytes in use, with what is not collected yet
	Goroutines  int     `json:"goroutines"`
	Descriptors int     `json:"descriptors"`
	Polls       uint64  `json:"looks"` // that the generator was to take until now
	LatePolls   uint64  `json:"late"`  // of them, that it took more than Tardy later: the machine did not keep up
}

// LateThreshold is how late a look may be that is not counted as late: a fifth of a round of 0.5 s.
const LateThreshold = 100 * time.Millisecond

// Measure is what this process takes now.
func Measure() (u Usage) {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r) // it has no error for this process
	u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap, u.Goroutines = m.HeapInuse, runtime.NumGoroutine()
	u.Resident, u.Descriptors = ProcessUsage(os.Getpid())
	return u
}

// ProcessUsage are the bytes of memory and the descriptors that a process has; 0 for one that is gone.
func ProcessUsage(pid int) (resident int64, descriptors int) {
	if raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		if f := strings.Fields(string(raw)); len(f) > 1 {
			pages, _ := strconv.ParseInt(f[1], 10, 64)
			resident = pages * int64(os.Getpagesize())
		}
	}
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return resident, len(list)
}

// Serve runs instances as it is told by lines of JSON, until there are no more.
func Serve(in io.Reader, out io.Writer, log zerolog.Logger) error {
	lines := bufio.NewReader(in)
	read := func(into any) error {
		raw, err := lines.ReadBytes('\n')
		if err != nil {
			return err
		}
		return json.Unmarshal(raw, into)
	}
	say := json.NewEncoder(out)
	var spec Spec
	if err := read(&spec); err != nil {
		return fmt.Errorf("hollow: the first line: %w", err)
	}
	h := &host{done: make(chan struct{}), demandChanged: make(chan struct{}, 1)}
	defer h.close()
	if len(spec.Instances) == 1 {
		// As a dispatcher keeps within its part of the machine.
		if err := service.ApplyLimits(spec.Instances[0].Config); err != nil {
			say.Encode(Response{Error: err.Error()})
			return err
		}
	}
	for n, f := range spec.Instances {
		i, err := Start(f, spec.Seed+uint64(n), log)
		if err != nil {
			say.Encode(Response{Error: err.Error()})
			return err
		}
		h.instances = append(h.instances, i)
		time.Sleep(time.Duration(spec.Over / float64(len(spec.Instances)) * float64(time.Second)))
	}
	h.running.Add(1)
	go h.run(spec.Seed)
	a := Response{Usage: Measure()}
	for {
		if err := say.Encode(a); err != nil {
			return nil // nobody listens any more
		}
		var o Command
		switch err := read(&o); {
		case err == io.EOF:
			return nil
		case err != nil:
			return fmt.Errorf("hollow: an order: %w", err)
		}
		a = h.execute(o)
	}
}

// host plays its instances.
type host struct {
	instances     []*Instance
	done          chan struct{}
	demandChanged chan struct{} // what enters
	running       sync.WaitGroup

	polls, latePolls atomic.Uint64
}

func (h *host) execute(o Command) (a Response) {
	for n, d := range o.Demand {
		if n < len(h.instances) && d != nil {
			h.instances[n].Demand(d)
		}
	}
	for _, n := range o.Stop {
		if n >= 0 && n < len(h.instances) {
			h.instances[n].Stop()
		}
	}
	select {
	case h.demandChanged <- struct{}{}:
	default: // it will see this too
	}
	if o.Report {
		a.Usage = Measure()
		a.Usage.Polls, a.Usage.LatePolls = h.polls.Load(), h.latePolls.Load() // before the states are asked for, which costs something
		for _, i := range h.instances {
			a.All = append(a.All, i.State())
		}
	}
	return a
}

// run has starts come in, each at a moment of its own, and the rules looked at.
func (h *host) run(seed uint64) {
	defer h.running.Done()
	rng := rand.New(rand.NewPCG(seed, 0x405))
	timer, looked := time.NewTimer(0), time.Now()
	defer timer.Stop()
	upTo := make([]float64, len(h.instances)) // running sums of the instances' rates
	next, comes, due := time.Now(), false, time.Time{}
	for {
		select {
		case <-h.done:
			return
		case <-h.demandChanged:
			sum := 0.0
			for k, i := range h.instances {
				sum += i.totalRate()
				upTo[k] = sum
			}
			next, comes = time.Now(), false // what was to come does not
		case <-timer.C:
			if h.polls.Add(1); !due.IsZero() && time.Since(due) > LateThreshold {
				h.latePolls.Add(1)
			}
		}
		now := time.Now()
		if now.Sub(looked) >= sweepInterval {
			for _, i := range h.instances {
				i.refreshConfig()
			}
			looked = now
		}
		at, all := looked.Add(sweepInterval), 0.0
		if len(upTo) > 0 {
			all = upTo[len(upTo)-1]
		}
		for ; all > 0 && !next.After(now); next = next.Add(time.Duration(rng.ExpFloat64() / all * float64(time.Second))) {
			if comes {
				k, _ := slices.BinarySearch(upTo, rng.Float64()*all)
				i := h.instances[min(k, len(h.instances)-1)]
				i.refreshConfig() // as the loop does before a step
				i.generateStart()
			}
			comes = true
		}
		if all > 0 && next.Before(at) {
			at = next
		}
		due = at
		timer.Reset(max(time.Until(at), 0))
	}
}

func (h *host) close() {
	close(h.done)
	h.running.Wait()
	var all sync.WaitGroup
	for _, i := range h.instances {
		all.Go(i.Stop)
	}
	all.Wait()
}

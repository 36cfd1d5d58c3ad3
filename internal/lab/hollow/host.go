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

// sweepInterval is the interval at which hollow instances refresh their configuration if no job starts, as a
// dispatcher's loop does.
const sweepInterval = 500 * time.Millisecond

// Spec configures a process of hollow instances. It is the first line of its input.
type Spec struct {
	Seed      uint64  `json:"seed"`
	Instances []Files `json:"instances"`
	Over      float64 `json:"over_s"` // seconds over which the starts of instances are spread, to desynchronise their periods
}

// Command is a line of input after the Spec. Each has a Response of one line.
type Command struct {
	Demand []Demand `json:"demand,omitempty"` // by instance, in the order of Spec; null or missing: unchanged
	Stop   []int    `json:"stop,omitempty"`   // indexes of instances to stop
	Report bool     `json:"report,omitempty"` // respond with the states and the polls of the generator
}

// Response is a line of output: the response to Spec once all instances run, to a Command once it is carried out.
type Response struct {
	Error string  `json:"error,omitempty"`
	Usage Usage   `json:"usage"`
	All   []State `json:"all,omitempty"` // states of all instances, if Command.Report is set
}

// Usage is the resource usage of the whole process.
type Usage struct {
	CPU         float64 `json:"cpu_s"`    // user and system time in seconds, since the start
	Resident    int64   `json:"resident"` // bytes
	Heap        uint64  `json:"heap"`     // bytes in use, including garbage that is not yet collected
	Goroutines  int     `json:"goroutines"`
	Descriptors int     `json:"descriptors"` // open ones
	Polls       uint64  `json:"looks"`       // wake-ups of the generator so far
	LatePolls   uint64  `json:"late"`        // wake-ups late by more than LateThreshold: the machine did not keep up
}

// LateThreshold is the greatest delay of a wake-up of the generator that is not counted as late: a fifth of a
// period of 0.5 s.
const LateThreshold = 100 * time.Millisecond

// Measure returns the resource usage of this process, without the polls of the generator.
func Measure() (u Usage) {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r) // never fails for the own process
	u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap, u.Goroutines = m.HeapInuse, runtime.NumGoroutine()
	u.Resident, u.Descriptors = ProcessUsage(os.Getpid())
	return u
}

// ProcessUsage returns the resident memory in bytes and the number of open descriptors of a process, or 0 if it has
// ended.
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

// Serve runs instances. It reads a Spec and then Commands, as lines of JSON, and writes a Response to each. It returns
// nil at the end of the input or if a response can't be written, and an error if an instance can't be started or a
// line can't be read. It stops all instances before it returns.
func Serve(in io.Reader, out io.Writer, log zerolog.Logger) error {
	lines := bufio.NewReader(in)
	read := func(into any) error {
		raw, err := lines.ReadBytes('\n')
		if err != nil {
			return err
		}
		return json.Unmarshal(raw, into)
	}
	encoder := json.NewEncoder(out)
	var spec Spec
	if err := read(&spec); err != nil {
		return fmt.Errorf("hollow: reading the spec from the first line: %w", err)
	}
	h := &host{done: make(chan struct{}), demandChanged: make(chan struct{}, 1)}
	defer h.close()
	if len(spec.Instances) == 1 {
		// A dispatcher applies the limits of its configuration to its process.
		if err := service.ApplyLimits(spec.Instances[0].Config); err != nil {
			encoder.Encode(Response{Error: err.Error()})
			return err
		}
	}
	for n, f := range spec.Instances {
		i, err := Start(f, spec.Seed+uint64(n), log)
		if err != nil {
			encoder.Encode(Response{Error: err.Error()})
			return err
		}
		h.instances = append(h.instances, i)
		time.Sleep(time.Duration(spec.Over / float64(len(spec.Instances)) * float64(time.Second)))
	}
	h.running.Add(1)
	go h.run(spec.Seed)
	a := Response{Usage: Measure()}
	for {
		if err := encoder.Encode(a); err != nil {
			return nil // the reader is gone
		}
		var o Command
		switch err := read(&o); {
		case err == io.EOF:
			return nil
		case err != nil:
			return fmt.Errorf("hollow: reading a command: %w", err)
		}
		a = h.execute(o)
	}
}

// host runs the instances of a process and generates their starts.
type host struct {
	instances     []*Instance
	done          chan struct{}
	demandChanged chan struct{} // the generator must compute its rates again
	running       sync.WaitGroup

	polls, latePolls atomic.Uint64 // see Usage
}

// execute carries out a command.
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
	default: // a change is pending already
	}
	if o.Report {
		a.Usage = Measure()
		a.Usage.Polls, a.Usage.LatePolls = h.polls.Load(), h.latePolls.Load() // before the states, whose collection is costly
		for _, i := range h.instances {
			a.All = append(a.All, i.State())
		}
	}
	return a
}

// run generates starts as a Poisson process and refreshes the configurations, until the host is closed.
func (h *host) run(seed uint64) {
	defer h.running.Done()
	rng := rand.New(rand.NewPCG(seed, 0x405))
	timer, refreshedAt := time.NewTimer(0), time.Now()
	defer timer.Stop()
	cumulativeRates := make([]float64, len(h.instances)) // running sums of the instances' rates, in order
	next, scheduled, due := time.Now(), false, time.Time{}
	for {
		select {
		case <-h.done:
			return
		case <-h.demandChanged:
			sum := 0.0
			for k, i := range h.instances {
				sum += i.totalRate()
				cumulativeRates[k] = sum
			}
			next, scheduled = time.Now(), false // the scheduled start was drawn by the former rates: drop it
		case <-timer.C:
			if h.polls.Add(1); !due.IsZero() && time.Since(due) > LateThreshold {
				h.latePolls.Add(1)
			}
		}
		now := time.Now()
		if now.Sub(refreshedAt) >= sweepInterval {
			for _, i := range h.instances {
				i.refreshConfig()
			}
			refreshedAt = now
		}
		at, all := refreshedAt.Add(sweepInterval), 0.0
		if len(cumulativeRates) > 0 {
			all = cumulativeRates[len(cumulativeRates)-1]
		}
		for ; all > 0 && !next.After(now); next = next.Add(time.Duration(rng.ExpFloat64() / all * float64(time.Second))) {
			if scheduled {
				k, _ := slices.BinarySearch(cumulativeRates, rng.Float64()*all)
				i := h.instances[min(k, len(h.instances)-1)]
				i.refreshConfig() // as a loop does before a step
				i.generateStart()
			}
			scheduled = true
		}
		if all > 0 && next.Before(at) {
			at = next
		}
		due = at
		timer.Reset(max(time.Until(at), 0))
	}
}

// close stops the generator and then all instances.
func (h *host) close() {
	close(h.done)
	h.running.Wait()
	var all sync.WaitGroup
	for _, i := range h.instances {
		all.Go(i.Stop)
	}
	all.Wait()
}

package experiments

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"example.org/bellstream/internal/hclfile"
	"example.org/bellstream/internal/lab/emulator"
)

// FleetFile is the HCL description of a fleet.
type FleetFile struct {
	Seed       uint64         `hcl:"seed,optional"`
	Discovery  string         `hcl:"discovery,optional"`     // listen address; default: a free port of the loopback
	Mean       string         `hcl:"mean,optional"`          // mean work of a job, exponentially distributed; default 150ms
	Record     string         `hcl:"record,optional"`        // file for JSON lines, one for each attempt; default: none
	Repeats    string         `hcl:"repeat_window,optional"` // for how long a zone drops repeats of a keyed job; default: it runs them
	Priorities map[string]int `hcl:"priorities,optional"`    // of classes in the workers' queues; higher ones go first; default 0
	Workers    []*WorkerGroup `hcl:"worker,block"`
	Faults     []*FleetFault  `hcl:"fault,block"`
	window     time.Duration
	mean       time.Duration
}

// WorkerGroup is a number of workers with the same settings, named NAME-00, NAME-01 ...
type WorkerGroup struct {
	Name      string  `hcl:"name,label"`
	Count     int     `hcl:"count,optional"` // default 1
	Slots     int     `hcl:"slots,optional"` // default 4
	Queue     *int    `hcl:"queue,optional"` // default twice the slots
	Zone      string  `hcl:"zone,optional"`
	Kind      string  `hcl:"kind,optional"`
	Speed     float64 `hcl:"speed,optional"`
	ColdFrom  float64 `hcl:"cold_from,optional"`
	WarmAfter string  `hcl:"warm_after,optional"`
	Suspends  bool    `hcl:"suspends,optional"`     // a job takes the slots of running jobs of lower priority
	Lag       string  `hcl:"report_delay,optional"` // age of the load reports
	Noise     float64 `hcl:"report_noise,optional"` // largest error of the load reports as a fraction of the slots, uniform
	lag       time.Duration
	warm      time.Duration
}

// FleetFault is a temporary fault of workers themselves. Faults of their connections are injected by
// bellstream-fault.
type FleetFault struct {
	Kind    string   `hcl:"kind,label"`
	Workers []string `hcl:"workers,optional"` // names of groups or workers; empty: all
	At      string   `hcl:"at,optional"`
	For     string   `hcl:"for,optional"`    // default: until the fleet ends
	Part    float64  `hcl:"part,optional"`   // fraction of the jobs; 0: all
	Factor  float64  `hcl:"factor,optional"` // for neighbour and heavy_tail: multiplies running times
	Free    float64  `hcl:"free,optional"`   // for lying_reports: reported free slots
	Drain   string   `hcl:"drain,optional"`  // for deploy: time from leaving to the restart of each worker; default 2s
	at, end time.Duration
	drain   time.Duration
}

// Kinds of worker faults.
const (
	faultSilent = "silent" // takes jobs and answers nothing until the fault ends
	faultErrors = "errors" // answers with status 500 immediately
	faultSlow   = "neighbour"
	faultTail   = "heavy_tail"
	faultLies   = "lying_reports"
	faultHalf   = "half_answers" // aborts the connection within the last line
	faultDeploy = "deploy"       // workers leave, restart cold and become active again, one after the other
)

var fleetFaults = []string{faultSilent, faultErrors, faultSlow, faultTail, faultLies, faultHalf, faultDeploy}

// LoadFleet reads, decodes and checks a fleet's file.
func LoadFleet(path string) (*FleetFile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFleet(path, raw)
}

// ParseFleet decodes and checks the text of a fleet's file. Errors name file, line and key.
func ParseFleet(path string, raw []byte) (*FleetFile, error) {
	f := &FleetFile{}
	text, err := hclfile.Decode(path, raw, f)
	if err != nil {
		return nil, err
	}
	var errs []error
	fail := func(block string, index int, key, format string, args ...any) {
		errs = append(errs, text.ErrorAt(block, index, key, fmt.Errorf(format, args...)))
	}
	duration := func(block string, index int, key, text string, fallback time.Duration) time.Duration {
		if text == "" {
			return fallback
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			fail(block, index, key, "%q is no duration such as \"1.5s\"", text)
		}
		return d
	}
	if f.Discovery == "" {
		f.Discovery = "127.0.0.1:0"
	} else if _, _, err := net.SplitHostPort(f.Discovery); err != nil {
		fail("", 0, "discovery", "%v", err)
	}
	if f.mean = duration("", 0, "mean", f.Mean, 150*time.Millisecond); f.mean == 0 {
		fail("", 0, "mean", "%q is not above 0", f.Mean)
	}
	f.window = duration("", 0, "repeat_window", f.Repeats, 0)
	names, count := map[string]bool{}, 0
	for i, w := range f.Workers {
		if w.Count == 0 {
			w.Count = 1
		}
		if w.Slots == 0 {
			w.Slots = 4
		}
		w.warm = duration("worker", i, "warm_after", w.WarmAfter, 0)
		w.lag = duration("worker", i, "report_delay", w.Lag, 0)
		switch {
		case w.Count < 0 || w.Count > 1000:
			fail("worker", i, "count", "%d is not from 1 to 1000", w.Count)
		case w.Slots < 0 || w.Slots > 1024:
			fail("worker", i, "slots", "%d is not from 1 to 1024", w.Slots)
		case w.Queue != nil && *w.Queue < 0:
			fail("worker", i, "queue", "%d is below 0", *w.Queue)
		case w.Speed < 0:
			fail("worker", i, "speed", "%v is below 0", w.Speed)
		case w.ColdFrom < 0 || w.ColdFrom > 1:
			fail("worker", i, "cold_from", "%v is not from 0 to 1", w.ColdFrom)
		case w.lag > time.Minute:
			fail("worker", i, "report_delay", "%v is above 1m: all reports since are kept", w.lag)
		case w.Noise < 0 || w.Noise > 1:
			fail("worker", i, "report_noise", "%v is not from 0 to 1", w.Noise)
		case names[w.Name]:
			fail("worker", i, "name", "%q is there twice", w.Name)
		}
		names[w.Name] = true
		count += w.Count
		for k := range min(max(w.Count, 0), 1000) {
			names[fmt.Sprintf("%s-%02d", w.Name, k)] = true
		}
	}
	if count == 0 {
		fail("", 0, "worker", "there is none")
	}
	for i, x := range f.Faults {
		x.at = duration("fault", i, "at", x.At, 0)
		x.end = x.at + duration("fault", i, "for", x.For, 1000*time.Hour)
		x.drain = duration("fault", i, "drain", x.Drain, 2*time.Second)
		for _, w := range x.Workers {
			if !names[w] {
				fail("fault", i, "workers", "there is no worker %q", w)
			}
		}
		switch {
		case !slices.Contains(fleetFaults, x.Kind):
			fail("fault", i, "kind", "%q is none of %v", x.Kind, fleetFaults)
		case x.Part < 0 || x.Part > 1:
			fail("fault", i, "part", "%v is not from 0 to 1", x.Part)
		case (x.Kind == faultSlow || x.Kind == faultTail) && !(x.Factor > 0):
			fail("fault", i, "factor", "missing, or not above 0")
		case x.Free < 0:
			fail("fault", i, "free", "%v is below 0", x.Free)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return f, nil
}

// Start starts the described fleet. Times of faults count from now on; ctx ends deployments.
func (x *FleetFile) Start(ctx context.Context) (*Fleet, error) {
	f := newFleet(x.Seed, x.mean)
	f.faults, f.priorities = x.Faults, x.Priorities
	zones := map[string]*emulator.Zone{}
	for _, g := range x.Workers {
		s := emulator.Settings{Slots: float64(g.Slots), MaxQueue: 2 * g.Slots, Speed: g.Speed, SlowStartFloor: g.ColdFrom, SlowStartSeconds: g.warm.Seconds(), Preempts: g.Suspends}
		if g.Queue != nil {
			s.MaxQueue = *g.Queue
		}
		for k := range g.Count {
			if x.window > 0 && zones[g.Zone] == nil {
				zones[g.Zone] = &emulator.Zone{Window: x.window.Seconds()}
			}
			w, err := f.addWorker(fmt.Sprintf("%s-%02d", g.Name, k), g.Name, g.Zone, g.Kind, s, zones[g.Zone])
			if err != nil {
				f.Close()
				return nil, err
			}
			w.lag, w.noise = g.lag, g.Noise
		}
	}
	if err := f.startDiscovery(x.Discovery); err != nil {
		f.Close()
		return nil, err
	}
	for _, d := range x.Faults {
		if d.Kind == faultDeploy {
			go f.deploy(ctx, d)
		}
	}
	return f, nil
}

// isActive reports whether the fault is of this kind and affects a worker at now, the time since the fleet's start.
func (x *FleetFault) isActive(w *emulatedWorker, kind string, now time.Duration) bool {
	return x.Kind == kind && now >= x.at && now < x.end && x.targets(w)
}

func (x *FleetFault) targets(w *emulatedWorker) bool {
	return len(x.Workers) == 0 || slices.Contains(x.Workers, w.name) || slices.Contains(x.Workers, w.group)
}

// activeFault returns a fault of a kind that affects the worker's current job, or nil. With Part set, chance decides.
func (w *emulatedWorker) activeFault(kind string) *FleetFault {
	now := time.Since(w.f.base)
	for _, x := range w.f.faults {
		if !x.isActive(w, kind, now) {
			continue
		}
		if x.Part == 0 || x.Part == 1 {
			return x
		}
		w.f.mu.Lock()
		hit := w.f.rng.Float64() < x.Part
		w.f.mu.Unlock()
		if hit {
			return x
		}
	}
	return nil
}

// deploy makes one worker after the other leave, return its queued jobs, restart cold and become active again.
func (f *Fleet) deploy(ctx context.Context, x *FleetFault) {
	sleep := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if !sleep(time.Until(f.base.Add(x.at))) {
		return
	}
	for i, w := range f.workers {
		if !x.targets(w) || time.Since(f.base) > x.end {
			continue
		}
		f.SetHealth(i, "leaving")
		w.apply(func(now float64) []emulator.Event { return w.model.Drain(now) })
		if !sleep(x.drain) {
			return
		}
		w.apply(func(now float64) []emulator.Event { return w.model.Restart(now) })
		f.mu.Lock()
		w.restartedAt = time.Now()
		f.mu.Unlock()
		f.SetHealth(i, "active")
	}
}

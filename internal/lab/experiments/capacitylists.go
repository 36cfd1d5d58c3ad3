package experiments

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/lab/simulation"
	"example.org/bellstream/internal/upstream"
)

var listsPart = CapacityPart{
	Name:  "lists",
	About: "Discovery's lists and probes of workers: bytes on loopback, how often in virtual time.",
	Run:   runCapacityLists,
}

// countingProxy forwards TCP connections and counts the bytes that they carry.
type countingProxy struct {
	net.Listener
	target   string
	out, in  atomic.Int64 // bytes to the target, and back
	open     sync.WaitGroup
	mu       sync.Mutex
	sessions []net.Conn
}

func newCountingProxy(target string) (*countingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &countingProxy{Listener: l, target: target}
	m.open.Go(m.serve)
	return m, nil
}

func (m *countingProxy) serve() {
	for {
		client, err := m.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", m.target)
		if err != nil {
			client.Close()
			continue
		}
		m.mu.Lock()
		m.sessions = append(m.sessions, client, upstream)
		m.mu.Unlock()
		forward := func(to, from net.Conn, count *atomic.Int64) {
			defer to.Close()
			io.Copy(io.MultiWriter(to, byteCounter{count}), from)
		}
		m.open.Go(func() { forward(upstream, client, &m.out) })
		m.open.Go(func() { forward(client, upstream, &m.in) })
	}
}

// Close closes the listener and all connections, and waits until they have ended.
func (m *countingProxy) Close() error {
	err := m.Listener.Close()
	m.mu.Lock()
	for _, c := range m.sessions {
		c.Close()
	}
	m.mu.Unlock()
	m.open.Wait()
	return err
}

type byteCounter struct{ n *atomic.Int64 }

func (c byteCounter) Write(p []byte) (int, error) { c.n.Add(int64(len(p))); return len(p), nil }

// listCost is what reading the workers' list costs one client.
type listCost struct {
	full   float64 // bytes of a full list with its request
	change float64 // bytes of a change of one worker
	idle   float64 // bytes per second while nothing changes
	parse  float64 // ms of CPU time to parse and apply a full list
	table  float64 // bytes of the table
}

// measureList reads the list of a fleet of the given number of workers through endpoints.Watch.
func measureList(workers int) (cost listCost, err error) {
	fleet, err := NewFleet(1, workers, 6, time.Second)
	if err != nil {
		return cost, err
	}
	defer fleet.Close()
	proxy, err := newCountingProxy(fleet.Discovery())
	if err != nil {
		return cost, err
	}
	defer proxy.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	updates := make(chan int, 16)
	go endpoints.Watch(ctx, proxy.Addr().String(), 0, func(u *endpoints.Update) { updates <- len(u.Endpoints) })
	next := func() error {
		select {
		case <-updates:
			return nil
		case <-time.After(10 * time.Second):
			return fmt.Errorf("no list of %d workers within 10 s", workers)
		}
	}
	if err := next(); err != nil {
		return cost, err
	}
	bytes := func() float64 { return float64(proxy.in.Load() + proxy.out.Load()) }
	cost.full = bytes()
	const changes = 8
	for i := range changes {
		fleet.SetHealth(i%workers, "leaving")
		if err := next(); err != nil {
			return cost, err
		}
	}
	cost.change = (bytes() - cost.full) / changes
	cost.idle = 6.0 / 2 // an empty line as a chunk, every 2 s

	// CPU time of one thread over repeated parses, without the network.
	raw := []byte(fleet.List())
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	tables := make([]*endpoints.Table, 20)
	heapBefore, began := heapInUse(), threadTime()
	for i := range tables {
		u, err := endpoints.Parse(raw)
		if err != nil {
			return cost, err
		}
		tables[i] = endpoints.NewTable()
		if tables[i].Apply(u, 0); tables[i].Len() == 0 {
			return cost, fmt.Errorf("a list of %d workers is empty", workers)
		}
	}
	cost.parse = 1000 * (threadTime() - began) / float64(len(tables))
	cost.table = (float64(heapInUse()) - float64(heapBefore)) / float64(len(tables))
	runtime.KeepAlive(tables)
	return cost, nil
}

// measureProbe checks a worker's health through upstream.Pool and returns the mean bytes of a probe with its answer.
func measureProbe() (bytes float64, err error) {
	fleet, err := NewFleet(1, 1, 6, time.Second)
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	proxy, err := newCountingProxy(fleet.workers[0].addr)
	if err != nil {
		return 0, err
	}
	defer proxy.Close()
	pool := &upstream.Pool{MaxConns: 8, DialTimeout: time.Second, IdleTimeout: time.Minute, Now: time.Now}
	const probes = 20
	for range probes {
		done := make(chan upstream.AttemptEvent, 1)
		pool.HealthCheck(proxy.Addr().String(), []string{balance.FieldFreeSlots, balance.FieldQueueLength}, func(event upstream.AttemptEvent) { done <- event })
		if event := <-done; event.Outcome != balance.Served {
			return 0, fmt.Errorf("worker probe ended with outcome %s", event.Outcome)
		}
	}
	return float64(proxy.in.Load()+proxy.out.Load()) / probes, nil
}

// decisionCost is what decisions on jobs cost a dispatcher at the peak.
type decisionCost struct {
	probes   float64 // per second
	attempts float64 // attempts per task
	cpu      float64 // ms per second
	heap     float64 // bytes
	inTime   float64 // tasks in time, as a fraction of those that one queue with full knowledge achieves
}

// measureDecisions simulates the peak at a percentage of the target with the real decision code and modelled workers.
// Tasks' run times are exponentially distributed.
func measureDecisions(p CapacityParams, percent, n int, span float64) (cost decisionCost, err error) {
	load := p.Load(percent)
	slots := 0
	for _, w := range load.Workers {
		slots += w.Slots
	}
	mean := float64(slots) / float64(len(load.Workers))
	fleet, err := simulation.NewFleet(simulation.FleetSettings{Seed: p.Seed, Workers: len(load.Workers), Slots: float64(int(mean)), Dispatchers: n, MeanWork: capacity.MeanRun,
		Load: load.Starts * capacity.MeanRun / float64(len(load.Workers)*int(mean)), LatencyObjective: 2 * capacity.MeanRun, Timeout: 10 * capacity.MeanRun, Tick: 0.02, Span: span, KeepAlive: 15})
	if err != nil {
		return cost, err
	}
	result := fleet.Run()
	dispatcherSeconds := span * float64(n)
	return decisionCost{float64(result.HealthChecks) / dispatcherSeconds, float64(result.Attempts) / float64(result.Jobs), 1000 * result.CPU.Seconds() / dispatcherSeconds, float64(result.Heap) / float64(n),
		float64(result.InTime) / float64(result.Ideal)}, nil
}

func runCapacityLists(p CapacityParams) (*CapacityResult, error) {
	f := &CapacityResult{}
	repeats, span := 3, 100.0
	if p.Quick {
		repeats, span = 1, 30
	}
	probe, err := measureProbe()
	if err != nil {
		return nil, err
	}
	f.Note("a probe and its answer", probe, "B")
	const dispatchers = 44
	var fullLists, change, parseTimes, table, probeRates, cpu []capacity.Point
	byPercent := map[int]listCost{}
	for _, percent := range p.Percents {
		load := p.Load(percent)
		n, cost := len(load.Workers), listCost{}
		for range repeats {
			if cost, err = measureList(n); err != nil {
				return nil, err
			}
			fullLists, change = append(fullLists, capacity.Point{X: float64(n), Y: cost.full}), append(change, capacity.Point{X: float64(n), Y: cost.change})
			parseTimes, table = append(parseTimes, capacity.Point{X: float64(n), Y: cost.parse}), append(table, capacity.Point{X: float64(n), Y: cost.table})
		}
		byPercent[percent] = cost
		decisions, err := measureDecisions(p, percent, dispatchers, span)
		if err != nil {
			return nil, err
		}
		probeRates, cpu = append(probeRates, capacity.Point{X: float64(n), Y: decisions.probes}), append(cpu, capacity.Point{X: float64(n), Y: decisions.cpu})
		changes := 0.0 // per day
		for _, e := range load.MachineEvents(dispatchers) {
			if e.Machine >= n {
				continue // dispatchers are not in the workers' list
			}
			if e.Restart {
				changes += capacity.ListChangesOfRestart
			} else {
				changes += capacity.ListChangesOfFailure
			}
		}
		zone := slices.MaxFunc(load.Zones, func(a, b capacity.Zone) int { return a.Workers - b.Workers }).Workers
		add := func(kind capacity.Kind, line, what string, bound, measured float64, unit string, how capacity.How) {
			r := capacity.AtMost(line, percent, what, bound, measured, unit, how)
			r.Kind = kind
			f.AddRows(r)
		}
		day := cost.idle + changes*cost.change/capacity.Day
		add(capacity.Lists, capacity.Bytes, "lists, mean of an ordinary day", capacity.Target.Bytes, day, "B/s", capacity.OnSockets)
		add(capacity.Lists, capacity.Bytes, "lists, the second in which a whole one comes", capacity.Target.Bytes, cost.full, "B/s", capacity.OnSockets)
		last := &f.Rows[len(f.Rows)-1]
		last.When, last.Shown = capacity.Second, true
		add(capacity.Lists, capacity.Bytes, "lists, the minute after the largest zone went: its workers one by one, and the whole list once more", capacity.Target.Bytes,
			(cost.full+float64(zone)*cost.change)/60+cost.idle, "B/s", capacity.OnSockets)
		f.Rows[len(f.Rows)-1].When = capacity.Minute
		add(capacity.Probes, capacity.Bytes, "probes of workers at 44 dispatchers, mean of the peak", capacity.Target.Bytes, decisions.probes*probe, "B/s", capacity.VirtualTime)
		for _, when := range []capacity.When{capacity.Second, capacity.Minute} { // probes depend on the jobs, so there are no more than at the peak
			add(capacity.Probes, capacity.Bytes, "probes of workers at 44 dispatchers, "+string(when), capacity.Target.Bytes, decisions.probes*probe, "B/s", capacity.VirtualTime)
			last = &f.Rows[len(f.Rows)-1]
			last.When, last.Shown = when, when == capacity.Second
		}
		add(capacity.Lists, capacity.Core, "lists, a whole one a minute", capacity.Target.Core, cost.parse/60/10, "%", capacity.OnSockets)
		add(capacity.Lists, capacity.Memory, "lists, the table of workers", capacity.Target.Memory, cost.table/1e6, "MB", capacity.OnSockets)
		f.AddRows(shownRow(capacity.AtMost(capacity.Memory, percent, "decisions on jobs and workers at 44 dispatchers, heap", capacity.Target.Memory, decisions.heap/1e6, "MB", capacity.VirtualTime)))
		for _, line := range []string{capacity.Workers, capacity.Starts, capacity.Running} {
			f.AddRows(capacity.AtLeast(line, percent, "tasks in time at 44 dispatchers, against one queue that sees all", scaleMinWorth, decisions.inTime, "part", capacity.VirtualTime))
		}
		f.AddRows(shownRow(capacity.AtMost(capacity.Core, percent, "all decisions on jobs at 44 dispatchers, probes among them, mean of the peak", capacity.Target.Core, decisions.cpu/10, "%", capacity.VirtualTime)))
		p.Log("%d workers: full list %.0f B, change %.0f B, parsing %.3f ms, table %.0f B, %d changes a day; %.2f probes a second, %.2f attempts a job, %.2f ms/s",
			n, cost.full, cost.change, cost.parse, cost.table, int(changes), decisions.probes, decisions.attempts, decisions.cpu)
	}
	target := byPercent[100]
	f.AtMost("a worker in a whole list", 200, target.full/float64(capacity.Target.Workers), "B")
	f.AtMost("a change of one worker in the list", 400, target.change, "B")
	f.AtMost("a probe and its answer", 400, probe, "B")
	if len(p.Percents) < 4 {
		return f, nil
	}
	for _, x := range []struct {
		what, unit string
		how        capacity.How
		kind       capacity.Kind
		points     []capacity.Point
	}{
		{"a whole list", "B", capacity.OnSockets, capacity.Lists, fullLists},
		{"a change of one worker in the list", "B", capacity.OnSockets, capacity.Lists, change},
		{"a whole list, read and taken in", "ms", capacity.OnSockets, capacity.Lists, parseTimes},
		{"the table of workers", "B", capacity.OnSockets, capacity.Lists, table},
		{"probes of a dispatcher at the peak, 44 dispatchers", "a second", capacity.VirtualTime, capacity.Probes, probeRates},
		{"decisions on jobs, 44 dispatchers", "ms/s", capacity.VirtualTime, "", cpu},
	} {
		if err := f.AddSlope(x.what, capacity.ByWorkers, x.unit, x.how, x.kind, x.points); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// shownRow marks a row as shown only, not judged.
func shownRow(r capacity.Row) capacity.Row {
	r.Shown = true
	return r
}

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

// meter passes a connection on and counts what it carries.
type meter struct {
	net.Listener
	target   string
	out, in  atomic.Int64 // to the target, and back
	open     sync.WaitGroup
	mu       sync.Mutex
	sessions []net.Conn
}

func newMeter(target string) (*meter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &meter{Listener: l, target: target}
	m.open.Go(m.serve)
	return m, nil
}

func (m *meter) serve() {
	for {
		c, err := m.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp", m.target)
		if err != nil {
			c.Close()
			continue
		}
		m.mu.Lock()
		m.sessions = append(m.sessions, c, t)
		m.mu.Unlock()
		pass := func(to, from net.Conn, n *atomic.Int64) {
			defer to.Close()
			io.Copy(io.MultiWriter(to, counter{n}), from)
		}
		m.open.Go(func() { pass(t, c, &m.out) })
		m.open.Go(func() { pass(c, t, &m.in) })
	}
}

// Close ends what goes through.
func (m *meter) Close() error {
	err := m.Listener.Close()
	m.mu.Lock()
	for _, c := range m.sessions {
		c.Close()
	}
	m.mu.Unlock()
	m.open.Wait()
	return err
}

type counter struct{ n *atomic.Int64 }

func (c counter) Write(p []byte) (int, error) { c.n.Add(int64(len(p))); return len(p), nil }

// listCost is what one list's reader sends, receives and works.
type listCost struct {
	whole  float64 // bytes of a whole list with its question
	change float64 // bytes of a change of one worker
	idle   float64 // bytes a second while nothing changes
	read   float64 // ms to read a whole list and take it in
	table  float64 // bytes of the table
}

// measureList reads the list of a fleet of so many workers through the product's own watch.
func measureList(workers int) (c listCost, err error) {
	f, err := NewFleet(1, workers, 6, time.Second)
	if err != nil {
		return c, err
	}
	defer f.Close()
	m, err := newMeter(f.Discovery())
	if err != nil {
		return c, err
	}
	defer m.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	heard := make(chan int, 16)
	go endpoints.Watch(ctx, m.Addr().String(), 0, func(u *endpoints.Update) { heard <- len(u.Endpoints) })
	next := func() error {
		select {
		case <-heard:
			return nil
		case <-time.After(10 * time.Second):
			return fmt.Errorf("a list of %d workers did not come", workers)
		}
	}
	if err := next(); err != nil {
		return c, err
	}
	bytes := func() float64 { return float64(m.in.Load() + m.out.Load()) }
	c.whole = bytes()
	const told = 8
	for i := range told {
		f.SetHealth(i%workers, "leaving")
		if err := next(); err != nil {
			return c, err
		}
	}
	c.change = (bytes() - c.whole) / told
	c.idle = 6.0 / 2 // a blank line as a chunk, every 2 s

	// Again and again in one thread's time: the list's words alone.
	raw := []byte(f.List())
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	tables := make([]*endpoints.Table, 20)
	was, began := heapInUse(), threadTime()
	for i := range tables {
		u, err := endpoints.Parse(raw)
		if err != nil {
			return c, err
		}
		tables[i] = endpoints.NewTable()
		if tables[i].Apply(u, 0); tables[i].Len() == 0 {
			return c, fmt.Errorf("a list of %d workers is empty", workers)
		}
	}
	c.read = 1000 * (threadTime() - began) / float64(len(tables))
	c.table = (float64(heapInUse()) - float64(was)) / float64(len(tables))
	runtime.KeepAlive(tables)
	return c, nil
}

// measureProbe asks a worker for its report through the product's own pool.
func measureProbe() (bytes float64, err error) {
	f, err := NewFleet(1, 1, 6, time.Second)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	m, err := newMeter(f.workers[0].addr)
	if err != nil {
		return 0, err
	}
	defer m.Close()
	p := &upstream.Pool{MaxConns: 8, DialTimeout: time.Second, IdleTimeout: time.Minute, Now: time.Now}
	const asked = 20
	for range asked {
		done := make(chan upstream.AttemptEvent, 1)
		p.HealthCheck(m.Addr().String(), []string{balance.FieldFreeSlots, balance.FieldQueueLength}, func(n upstream.AttemptEvent) { done <- n })
		if n := <-done; n.Outcome != balance.Served {
			return 0, fmt.Errorf("a probe ended as %s", n.Outcome)
		}
	}
	return float64(m.in.Load()+m.out.Load()) / asked, nil
}

// decided is what a dispatcher's decisions on jobs come to, at the peak.
type decided struct {
	probes float64 // a second
	tries  float64 // attempts a task
	busy   float64 // ms a second
	heap   float64 // bytes
	worth  float64 // tasks in time against one queue that sees all
}

// decisions plays the peak of a percentage against modelled workers, by the decisions themselves. Tasks' times
// are exponential there.
func decisions(p CapacityParams, percent, n int, span float64) (d decided, err error) {
	l := p.Load(percent)
	slots := 0
	for _, w := range l.Workers {
		slots += w.Slots
	}
	mean := float64(slots) / float64(len(l.Workers))
	f, err := simulation.NewFleet(simulation.FleetSettings{Seed: p.Seed, Workers: len(l.Workers), Slots: float64(int(mean)), Dispatchers: n, MeanWork: capacity.MeanRun,
		Load: l.Starts * capacity.MeanRun / float64(len(l.Workers)*int(mean)), LatencyObjective: 2 * capacity.MeanRun, Timeout: 10 * capacity.MeanRun, Tick: 0.02, Span: span, KeepAlive: 15})
	if err != nil {
		return d, err
	}
	x := f.Run()
	by := span * float64(n)
	return decided{float64(x.HealthChecks) / by, float64(x.Attempts) / float64(x.Jobs), 1000 * x.CPU.Seconds() / by, float64(x.Heap) / float64(n),
		float64(x.InTime) / float64(x.Ideal)}, nil
}

func runCapacityLists(p CapacityParams) (*CapacityFound, error) {
	f := &CapacityFound{}
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
	var whole, change, read, table, asks, busy []capacity.Point
	at := map[int]listCost{}
	for _, percent := range p.Percents {
		l := p.Load(percent)
		n, c := len(l.Workers), listCost{}
		for range repeats {
			if c, err = measureList(n); err != nil {
				return nil, err
			}
			whole, change = append(whole, capacity.Point{X: float64(n), Y: c.whole}), append(change, capacity.Point{X: float64(n), Y: c.change})
			read, table = append(read, capacity.Point{X: float64(n), Y: c.read}), append(table, capacity.Point{X: float64(n), Y: c.table})
		}
		at[percent] = c
		d, err := decisions(p, percent, dispatchers, span)
		if err != nil {
			return nil, err
		}
		asks, busy = append(asks, capacity.Point{X: float64(n), Y: d.probes}), append(busy, capacity.Point{X: float64(n), Y: d.busy})
		changes := 0.0 // a day
		for _, e := range l.MachineEvents(dispatchers) {
			if e.Machine >= n {
				continue // a dispatcher is in no list of workers
			}
			if e.Restart {
				changes += capacity.ListChangesOfRestart
			} else {
				changes += capacity.ListChangesOfFailure
			}
		}
		zone := slices.MaxFunc(l.Zones, func(a, b capacity.Zone) int { return a.Workers - b.Workers }).Workers
		add := func(kind capacity.Kind, line, what string, bound, measured float64, unit string, how capacity.How) {
			r := capacity.AtMost(line, percent, what, bound, measured, unit, how)
			r.Kind = kind
			f.Row(r)
		}
		day := c.idle + changes*c.change/capacity.Day
		add(capacity.Lists, capacity.Bytes, "lists, mean of an ordinary day", capacity.Target.Bytes, day, "B/s", capacity.OnSockets)
		add(capacity.Lists, capacity.Bytes, "lists, the second in which a whole one comes", capacity.Target.Bytes, c.whole, "B/s", capacity.OnSockets)
		last := &f.Rows[len(f.Rows)-1]
		last.When, last.Shown = capacity.Second, true
		add(capacity.Lists, capacity.Bytes, "lists, the minute after the largest zone went: its workers one by one, and the whole list once more", capacity.Target.Bytes,
			(c.whole+float64(zone)*c.change)/60+c.idle, "B/s", capacity.OnSockets)
		f.Rows[len(f.Rows)-1].When = capacity.Minute
		add(capacity.Probes, capacity.Bytes, "probes of workers at 44 dispatchers, mean of the peak", capacity.Target.Bytes, d.probes*probe, "B/s", capacity.VirtualTime)
		for _, when := range []capacity.When{capacity.Second, capacity.Minute} { // asked by what jobs are worth, so no more than at the peak
			add(capacity.Probes, capacity.Bytes, "probes of workers at 44 dispatchers, "+string(when), capacity.Target.Bytes, d.probes*probe, "B/s", capacity.VirtualTime)
			last = &f.Rows[len(f.Rows)-1]
			last.When, last.Shown = when, when == capacity.Second
		}
		add(capacity.Lists, capacity.Core, "lists, a whole one a minute", capacity.Target.Core, c.read/60/10, "%", capacity.OnSockets)
		add(capacity.Lists, capacity.Memory, "lists, the table of workers", capacity.Target.Memory, c.table/1e6, "MB", capacity.OnSockets)
		f.Row(shown(capacity.AtMost(capacity.Memory, percent, "decisions on jobs and workers at 44 dispatchers, heap", capacity.Target.Memory, d.heap/1e6, "MB", capacity.VirtualTime)))
		for _, line := range []string{capacity.Workers, capacity.Starts, capacity.Running} {
			f.Row(capacity.AtLeast(line, percent, "tasks in time at 44 dispatchers, against one queue that sees all", scaleWorth, d.worth, "part", capacity.VirtualTime))
		}
		f.Row(shown(capacity.AtMost(capacity.Core, percent, "all decisions on jobs at 44 dispatchers, probes among them, mean of the peak", capacity.Target.Core, d.busy/10, "%", capacity.VirtualTime)))
		p.Log("%d workers: whole list %.0f B, change %.0f B, read %.3f ms, table %.0f B, %d changes a day; %.2f probes a second, %.2f attempts a job, %.2f ms/s",
			n, c.whole, c.change, c.read, c.table, int(changes), d.probes, d.tries, d.busy)
	}
	full := at[100]
	f.AtMost("a worker in a whole list", 200, full.whole/float64(capacity.Target.Workers), "B")
	f.AtMost("a change of one worker in the list", 400, full.change, "B")
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
		{"a whole list", "B", capacity.OnSockets, capacity.Lists, whole},
		{"a change of one worker in the list", "B", capacity.OnSockets, capacity.Lists, change},
		{"a whole list, read and taken in", "ms", capacity.OnSockets, capacity.Lists, read},
		{"the table of workers", "B", capacity.OnSockets, capacity.Lists, table},
		{"probes of a dispatcher at the peak, 44 dispatchers", "a second", capacity.VirtualTime, capacity.Probes, asks},
		{"decisions on jobs, 44 dispatchers", "ms/s", capacity.VirtualTime, "", busy},
	} {
		if err := f.Slope(x.what, capacity.ByWorkers, x.unit, x.how, x.kind, x.points); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// shown is a row that is shown beside the others and not judged.
func shown(r capacity.Row) capacity.Row {
	r.Shown = true
	return r
}

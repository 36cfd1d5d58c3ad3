package experiments

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"example.org/bellstream/internal/lab/hollow"
	"example.org/bellstream/internal/logging"
)

// HollowCommand is the word by which the laboratory's own program is started as a host of hollow instances.
const HollowCommand = "hollow"

// ServeHollow is that program: what it is told comes by the standard input, and its log goes to the standard error.
func ServeHollow() error {
	log, err := logging.New(os.Stderr, "warn", "")
	if err != nil {
		return err
	}
	return hollow.Serve(os.Stdin, os.Stdout, log)
}

// HollowHost is a process of hollow instances.
type HollowHost struct {
	Nodes []*Instance // in its own order
	Name  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	in      io.WriteCloser
	pipe    io.ReadCloser
	out     *json.Decoder
	timeout time.Duration // that an answer is waited for
	dead    bool
}

// startHollow starts a process of hollow instances and waits until all of them run.
func startHollow(p Params, name string, seed uint64, nodes []*Instance) (*HollowHost, error) {
	h := &HollowHost{Name: name, Nodes: nodes, timeout: hollowTimeout}
	spec := hollow.Spec{Seed: seed, Over: 1}
	for _, x := range nodes {
		spec.Instances = append(spec.Instances, hollow.Files{Config: x.Config, File: x.File})
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(p.Out, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	h.cmd = exec.Command(self, HollowCommand)
	h.cmd.Stderr = log
	// It must not outlive the laboratory, however that ends.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if h.in, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if h.pipe, err = h.cmd.StdoutPipe(); err != nil {
		return nil, err
	}
	h.out = json.NewDecoder(h.pipe)
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	if err := h.sendSpec(spec); err != nil {
		h.Kill()
		return nil, fmt.Errorf("%s: %w: see %s", name, err, log.Name())
	}
	return h, nil
}

func (h *HollowHost) sendSpec(spec hollow.Spec) error {
	if err := json.NewEncoder(h.in).Encode(spec); err != nil {
		return err
	}
	_, err := h.readResponse()
	return err
}

// hollowTimeout is how long a process of hollow instances may take to answer. A start of 22 takes some 2 s, a report
// milliseconds; one that hangs must not hold up an experiment for ever.
const hollowTimeout = 60 * time.Second

func (h *HollowHost) readResponse() (a hollow.Response, err error) {
	if p, ok := h.pipe.(interface{ SetReadDeadline(time.Time) error }); ok {
		p.SetReadDeadline(time.Now().Add(h.timeout))
	}
	if err = h.out.Decode(&a); errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("no answer within %v", h.timeout)
	} else if err == nil && a.Error != "" {
		err = fmt.Errorf("%s", a.Error)
	}
	return a, err
}

// Execute gives an order and waits until it is carried out.
func (h *HollowHost) Execute(o hollow.Command) (a hollow.Response, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return a, fmt.Errorf("%s lives no more", h.Name)
	}
	if err = json.NewEncoder(h.in).Encode(o); err != nil {
		return a, err
	}
	return h.readResponse()
}

// Pid is the process's; 0: it lives no more.
func (h *HollowHost) Pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return 0
	}
	return h.cmd.Process.Pid
}

// Kill ends it at once.
func (h *HollowHost) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return
	}
	h.dead = true
	h.cmd.Process.Kill()
	h.in.Close()
	h.cmd.Wait()
}

// Pid is the process's; 0: it does not live.
func (x *Instance) Pid() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return 0
	}
	return x.cmd.Process.Pid
}

// ProcessCPUSeconds is the processor time of a process's threads until now, in seconds. Those of threads that have ended
// are missing; the runtime keeps its own.
func ProcessCPUSeconds(pid int) (seconds float64) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, t := range threads {
		raw, err := os.ReadFile(t)
		if err != nil {
			continue // it has just ended
		}
		ran, _, _ := strings.Cut(string(raw), " ")
		ns, _ := strconv.ParseInt(ran, 10, 64)
		seconds += time.Duration(ns).Seconds()
	}
	return seconds
}

// Cost is what an instance of a group cost, on the average over a span.
type Cost struct {
	By             map[TrafficKind]Traffic // a second
	Sent, Received float64                 // bytes a second of all kinds
	Worst          float64                 // bytes, sent and received, in the worst second of any of them
	CPU            float64                 // ms a second; of a process that several share, in equal parts
	Memory         float64                 // bytes resident, as CPU
	Descriptors    float64                 // as CPU
	Goroutines     float64                 // the same, of hollow ones
	Heap           float64                 // bytes, the same
	Alive          int                     // instances at the end of the span
}

// Total is what it sent and received a second.
func (c Cost) Total() float64 { return c.Sent + c.Received }

// addTraffic adds an instance's part of what passed between two looks at the relay's meter.
func (c *Cost) addTraffic(was, now map[TrafficKind]Traffic, part float64) {
	if c.By == nil {
		c.By = map[TrafficKind]Traffic{}
	}
	for k, t := range now {
		b, s := was[k], c.By[k]
		s.Sent.Bytes += (t.Sent.Bytes - b.Sent.Bytes) * part
		s.Sent.Messages += (t.Sent.Messages - b.Sent.Messages) * part
		s.Received.Bytes += (t.Received.Bytes - b.Received.Bytes) * part
		s.Received.Messages += (t.Received.Messages - b.Received.Messages) * part
		c.By[k] = s
		c.Sent += (t.Sent.Bytes - b.Sent.Bytes) * part
		c.Received += (t.Received.Bytes - b.Received.Bytes) * part
	}
}

// totalBytes is that of all kinds, sent and received.
func totalBytes(by map[TrafficKind]Traffic) (bytes float64) {
	for _, t := range by {
		bytes += t.Sent.Bytes + t.Received.Bytes
	}
	return bytes
}

// hostProcess is that of an instance, and how many instances share it; 0: none.
func (x *Instance) hostProcess() (pid, many int) {
	if x.host != nil {
		return x.host.Pid(), len(x.host.Nodes)
	}
	return x.Pid(), 1
}

// Measure looks on for a span and says what an instance of each group cost. Bytes are the relay's; CPU, memory
// and descriptors the system's, of the process. Instances that have no process at the end count for nothing, but in Worst.
func (c *Processes) Measure(span time.Duration, groups ...[]*Instance) (list []Cost, err error) {
	list = make([]Cost, len(groups))
	work := func() (by []float64) {
		for _, g := range groups {
			s := 0.0
			for _, x := range g {
				if pid, many := x.hostProcess(); pid > 0 {
					s += ProcessCPUSeconds(pid) / float64(many)
				}
			}
			by = append(by, s)
		}
		return by
	}
	began, was, worked := time.Now(), c.Relay.Traffic(), work()
	last := was
	for time.Since(began) < span {
		time.Sleep(min(time.Second, span-time.Since(began)))
		now := c.Relay.Traffic()
		for k, g := range groups {
			for _, x := range g {
				list[k].Worst = max(list[k].Worst, totalBytes(now[x.Index])-totalBytes(last[x.Index]))
			}
		}
		last = now
	}
	took, until := time.Since(began).Seconds(), work()
	usage := map[*HollowHost]hollow.Usage{}
	for k, g := range groups {
		o := &list[k]
		for _, x := range g {
			if pid, _ := x.hostProcess(); pid > 0 {
				o.Alive++
			}
		}
		part := 1 / float64(max(o.Alive, 1))
		o.CPU = 1000 * (until[k] - worked[k]) / took * part
		for _, x := range g {
			pid, many := x.hostProcess()
			if pid == 0 {
				continue
			}
			o.addTraffic(was[x.Index], last[x.Index], part/took)
			mine := part / float64(many)
			mem, fds := hollow.ProcessUsage(pid)
			o.Memory, o.Descriptors = o.Memory+float64(mem)*mine, o.Descriptors+float64(fds)*mine
			if x.host == nil {
				continue
			}
			u, known := usage[x.host]
			if !known {
				a, err := x.host.Execute(hollow.Command{Report: true})
				if err != nil {
					return nil, err
				}
				u = a.Usage
				usage[x.host] = u
			}
			o.Goroutines, o.Heap = o.Goroutines+float64(u.Goroutines)*mine, o.Heap+float64(u.Heap)*mine
		}
	}
	return list, nil
}

// HollowStates are those of all hollow instances that live, by name.
func (c *Processes) HollowStates() (map[string]hollow.State, error) {
	all := map[string]hollow.State{}
	for _, h := range c.Hosts {
		if h.Pid() == 0 {
			continue
		}
		a, err := h.Execute(hollow.Command{Report: true})
		if err != nil {
			return nil, err
		}
		for _, s := range a.All {
			all[s.Name] = s
		}
	}
	return all, nil
}

// SetDemand has so much enter at each hollow instance, by its index; what is missing stays.
func (c *Processes) SetDemand(by map[int]hollow.Demand) error {
	for _, h := range c.Hosts {
		if h.Pid() == 0 {
			continue
		}
		o := hollow.Command{}
		for _, x := range h.Nodes {
			o.Demand = append(o.Demand, by[x.Index])
		}
		if _, err := h.Execute(o); err != nil {
			return err
		}
	}
	return nil
}

// hostName is that of a site's process of hollow instances.
func hostName(c *Processes, k int) string { return fmt.Sprintf("hollow%d-%d", c.Nodes[0].Index, k) }

// startHosts starts the processes of hollow instances that a site's have been given to.
func (c *Processes) startHosts(p Params) error {
	by := map[int][]*Instance{}
	last := -1
	for _, x := range c.Nodes {
		if x.shares >= 0 {
			by[x.shares] = append(by[x.shares], x)
			last = max(last, x.shares)
		}
	}
	for k := 0; k <= last; k++ {
		if len(by[k]) == 0 {
			continue
		}
		h, err := startHollow(p, hostName(c, k), rand.New(rand.NewPCG(p.Seed, uint64(k))).Uint64(), by[k])
		if err != nil {
			return err
		}
		c.Hosts = append(c.Hosts, h)
		for _, x := range by[k] {
			x.host = h
		}
	}
	return nil
}

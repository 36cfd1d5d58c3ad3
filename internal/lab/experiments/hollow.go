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

// HollowCommand is the command-line argument that starts the laboratory's program as a host of hollow instances.
const HollowCommand = "hollow"

// ServeHollow runs a host of hollow instances: it reads commands from standard input, writes responses to standard
// output and logs to standard error.
func ServeHollow() error {
	log, err := logging.New(os.Stderr, "warn", "")
	if err != nil {
		return err
	}
	return hollow.Serve(os.Stdin, os.Stdout, log)
}

// HollowHost is a process that runs hollow instances.
type HollowHost struct {
	Nodes []*Instance // in the order of the process
	Name  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	in      io.WriteCloser
	pipe    io.ReadCloser
	out     *json.Decoder
	timeout time.Duration // longest wait for a response
	dead    bool
}

// startHollow starts a process of hollow instances and waits until all of them run.
func startHollow(p Params, name string, seed uint64, nodes []*Instance) (*HollowHost, error) {
	host := &HollowHost{Name: name, Nodes: nodes, timeout: hollowTimeout}
	spec := hollow.Spec{Seed: seed, Over: 1}
	for _, node := range nodes {
		spec.Instances = append(spec.Instances, hollow.Files{Config: node.Config, File: node.File})
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
	host.cmd = exec.Command(self, HollowCommand)
	host.cmd.Stderr = log
	// The process must not outlive the laboratory, however the laboratory ends.
	host.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if host.in, err = host.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if host.pipe, err = host.cmd.StdoutPipe(); err != nil {
		return nil, err
	}
	host.out = json.NewDecoder(host.pipe)
	if err := host.cmd.Start(); err != nil {
		return nil, err
	}
	if err := host.sendSpec(spec); err != nil {
		host.Kill()
		return nil, fmt.Errorf("%s: %w: see %s", name, err, log.Name())
	}
	return host, nil
}

func (h *HollowHost) sendSpec(spec hollow.Spec) error {
	if err := json.NewEncoder(h.in).Encode(spec); err != nil {
		return err
	}
	_, err := h.readResponse()
	return err
}

// hollowTimeout is how long a process of hollow instances may take to respond. A start of 22 instances takes some 2
// s, a report milliseconds; a process that hangs must not block an experiment forever.
const hollowTimeout = 60 * time.Second

func (h *HollowHost) readResponse() (response hollow.Response, err error) {
	if deadliner, ok := h.pipe.(interface{ SetReadDeadline(time.Time) error }); ok {
		deadliner.SetReadDeadline(time.Now().Add(h.timeout))
	}
	if err = h.out.Decode(&response); errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("no answer within %v", h.timeout)
	} else if err == nil && response.Error != "" {
		err = fmt.Errorf("%s", response.Error)
	}
	return response, err
}

// Execute sends a command and waits for the response. It returns an error if the process has been killed, does not
// respond in time or reports an error.
func (h *HollowHost) Execute(command hollow.Command) (response hollow.Response, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return response, fmt.Errorf("%s has been killed", h.Name)
	}
	if err = json.NewEncoder(h.in).Encode(command); err != nil {
		return response, err
	}
	return h.readResponse()
}

// Pid returns the process ID, or 0 after Kill.
func (h *HollowHost) Pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return 0
	}
	return h.cmd.Process.Pid
}

// Kill kills the process and waits until it has exited. Later calls do nothing.
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

// Pid returns the ID of the instance's process, or 0 if it has none.
func (x *Instance) Pid() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return 0
	}
	return x.cmd.Process.Pid
}

// ProcessCPUSeconds returns the CPU time that a process's threads have used until now, in seconds. Threads that have
// exited are not counted; the Go runtime keeps its threads.
func ProcessCPUSeconds(pid int) (seconds float64) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, thread := range threads {
		raw, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has just exited
		}
		ran, _, _ := strings.Cut(string(raw), " ")
		ns, _ := strconv.ParseInt(ran, 10, 64)
		seconds += time.Duration(ns).Seconds()
	}
	return seconds
}

// Cost is the average cost of an instance of a group over a time span.
type Cost struct {
	By             map[TrafficKind]Traffic // per second
	Sent, Received float64                 // bytes per second of all kinds
	Worst          float64                 // bytes sent and received in the worst second of any instance of the group
	CPU            float64                 // ms per second; of a process that several instances share, in equal parts
	Memory         float64                 // bytes resident, divided like CPU
	Descriptors    float64                 // divided like CPU
	Goroutines     float64                 // divided like CPU; hollow instances only
	Heap           float64                 // bytes, divided like CPU; hollow instances only
	Alive          int                     // instances at the end of the span
}

// Total returns the bytes sent and received per second.
func (c Cost) Total() float64 { return c.Sent + c.Received }

// addTraffic adds the traffic of one instance between two readings of the relay's meter, times a weight.
func (c *Cost) addTraffic(before, after map[TrafficKind]Traffic, weight float64) {
	if c.By == nil {
		c.By = map[TrafficKind]Traffic{}
	}
	for k, t := range after {
		start, total := before[k], c.By[k]
		total.Sent.Bytes += (t.Sent.Bytes - start.Sent.Bytes) * weight
		total.Sent.Messages += (t.Sent.Messages - start.Sent.Messages) * weight
		total.Received.Bytes += (t.Received.Bytes - start.Received.Bytes) * weight
		total.Received.Messages += (t.Received.Messages - start.Received.Messages) * weight
		c.By[k] = total
		c.Sent += (t.Sent.Bytes - start.Sent.Bytes) * weight
		c.Received += (t.Received.Bytes - start.Received.Bytes) * weight
	}
}

// totalBytes returns the bytes of all kinds, sent and received.
func totalBytes(by map[TrafficKind]Traffic) (bytes float64) {
	for _, t := range by {
		bytes += t.Sent.Bytes + t.Received.Bytes
	}
	return bytes
}

// hostProcess returns the ID of the process that runs the instance, and how many instances share that process. The ID
// is 0 if there is no such process.
func (x *Instance) hostProcess() (pid, sharing int) {
	if x.host != nil {
		return x.host.Pid(), len(x.host.Nodes)
	}
	return x.Pid(), 1
}

// Measure observes the cluster for a time span and returns the average cost of an instance of each group. Bytes are
// measured by the relay; CPU, memory and descriptors by the operating system for each process. Instances that have no
// process at the end count only in Worst.
func (c *Processes) Measure(span time.Duration, groups ...[]*Instance) (costs []Cost, err error) {
	costs = make([]Cost, len(groups))
	cpuByGroup := func() (by []float64) {
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
	began, startTraffic, startCPU := time.Now(), c.Relay.Traffic(), cpuByGroup()
	lastTraffic := startTraffic
	for time.Since(began) < span {
		time.Sleep(min(time.Second, span-time.Since(began)))
		traffic := c.Relay.Traffic()
		for k, g := range groups {
			for _, x := range g {
				costs[k].Worst = max(costs[k].Worst, totalBytes(traffic[x.Index])-totalBytes(lastTraffic[x.Index]))
			}
		}
		lastTraffic = traffic
	}
	elapsed, endCPU := time.Since(began).Seconds(), cpuByGroup()
	usage := map[*HollowHost]hollow.Usage{}
	for k, g := range groups {
		cost := &costs[k]
		for _, x := range g {
			if pid, _ := x.hostProcess(); pid > 0 {
				cost.Alive++
			}
		}
		weight := 1 / float64(max(cost.Alive, 1))
		cost.CPU = 1000 * (endCPU[k] - startCPU[k]) / elapsed * weight
		for _, x := range g {
			pid, many := x.hostProcess()
			if pid == 0 {
				continue
			}
			cost.addTraffic(startTraffic[x.Index], lastTraffic[x.Index], weight/elapsed)
			share := weight / float64(many)
			memory, fds := hollow.ProcessUsage(pid)
			cost.Memory, cost.Descriptors = cost.Memory+float64(memory)*share, cost.Descriptors+float64(fds)*share
			if x.host == nil {
				continue
			}
			report, known := usage[x.host]
			if !known {
				response, err := x.host.Execute(hollow.Command{Report: true})
				if err != nil {
					return nil, err
				}
				report = response.Usage
				usage[x.host] = report
			}
			cost.Goroutines, cost.Heap = cost.Goroutines+float64(report.Goroutines)*share, cost.Heap+float64(report.Heap)*share
		}
	}
	return costs, nil
}

// HollowStates returns the states of all hollow instances whose process is alive, by name.
func (c *Processes) HollowStates() (map[string]hollow.State, error) {
	all := map[string]hollow.State{}
	for _, host := range c.Hosts {
		if host.Pid() == 0 {
			continue
		}
		response, err := host.Execute(hollow.Command{Report: true})
		if err != nil {
			return nil, err
		}
		for _, state := range response.All {
			all[state.Name] = state
		}
	}
	return all, nil
}

// SetDemand sets the demand at each hollow instance, by the instance's index; an instance without an entry keeps its
// demand.
func (c *Processes) SetDemand(by map[int]hollow.Demand) error {
	for _, host := range c.Hosts {
		if host.Pid() == 0 {
			continue
		}
		command := hollow.Command{}
		for _, node := range host.Nodes {
			command.Demand = append(command.Demand, by[node.Index])
		}
		if _, err := host.Execute(command); err != nil {
			return err
		}
	}
	return nil
}

// hostName returns the name of process k of a site's hollow instances.
func hostName(c *Processes, k int) string { return fmt.Sprintf("hollow%d-%d", c.Nodes[0].Index, k) }

// startHosts starts the processes of hollow instances that the site's instances have been assigned to.
func (c *Processes) startHosts(p Params) error {
	byHost := map[int][]*Instance{}
	last := -1
	for _, node := range c.Nodes {
		if node.hostIndex >= 0 {
			byHost[node.hostIndex] = append(byHost[node.hostIndex], node)
			last = max(last, node.hostIndex)
		}
	}
	for k := 0; k <= last; k++ {
		if len(byHost[k]) == 0 {
			continue
		}
		host, err := startHollow(p, hostName(c, k), rand.New(rand.NewPCG(p.Seed, uint64(k))).Uint64(), byHost[k])
		if err != nil {
			return err
		}
		c.Hosts = append(c.Hosts, host)
		for _, node := range byHost[k] {
			node.host = host
		}
	}
	return nil
}

package experiments

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/lab/invariants"
)

// Build compiles bellstream into a folder and returns the path of the executable. It is meant for tests.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "bellstream")
	if out, err := exec.Command("go", "build", "-o", path, "example.org/bellstream/cmd/bellstream").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// Site describes a cluster of real processes.
type Site struct {
	N                        int
	Workers, Slots           int
	Mean                     time.Duration // mean work of a job
	Link                     Link          // state of every link without faults
	ClassesJSON, TenantsJSON string        // elements of the settings' JSON arrays lanes and parties
	ExtraRules               string        // more members of the settings' JSON object rules, each after a comma
	Sockets                  int           // socket limit per process, with 768 MB of memory; 0: 1024 sockets and 192 MB
	// File returns the operator's file of an instance. It is called when all addresses are known.
	File func(c *Processes, x *Instance) string
	// Hollow returns the number of the hollow process that runs instance i. Below 0, or if Hollow is nil,
	// the instance is a process of bellstream itself.
	Hollow func(i int) int
}

// Instance is one instance of a cluster. It keeps its addresses when its process is restarted.
type Instance struct {
	*Dispatcher
	Index        int    // among the instances of all sites on the relay
	GossipListen string // listen address for gossip
	GossipAddr   string // address of the forwarder to GossipListen, which the other instances use
	AccordListen string // listen address of the accord (configuration consensus)
	AccordAddr   string // address of the forwarder to AccordListen: one for all senders, since voters pass it on
	JobsListen   string // listen address for jobs forwarded by other instances
	JobsAddr     string // address of the forwarder to JobsListen
	Dir          string // its state; Wipe removes it
	Journal      string // pipe to which it writes the configuration that it acts on; a pipe works even if the disk is full

	hostIndex int         // number of the hollow process that runs it; -1: none does
	host      *HollowHost // the hollow process that runs it

	mu               sync.Mutex // held while the process is started, ended, frozen or limited
	generation       int        // number of starts
	frozenGeneration int        // generation that is frozen; 0: none
	pauses           []invariants.Pause

	journalMu   sync.Mutex
	journalData bytes.Buffer
}

// Processes is a cluster of real processes on one machine, with a fleet of workers and a client load. Each pair of
// instances is connected by links on which faults can be injected in each direction.
type Processes struct {
	Nodes          []*Instance
	Fleet          *Fleet
	Relay          *Relay
	Load           *Load
	Hosts          []*HollowHost // hollow processes
	Sites          []*Processes  // all clusters on this relay, including this one
	seed           uint64
	journalPipes   []*os.File // writing ends, held open so that readers see no EOF between two runs of a process
	journalReaders sync.WaitGroup
}

// MonotonicNow returns the machine's CLOCK_MONOTONIC in ns, which all processes share.
func MonotonicNow() int64 {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // can't fail for this clock
	return t.Nano()
}

// MonotonicAt converts a time taken by this process with time.Now to the clock of MonotonicNow.
func MonotonicAt(t time.Time) int64 { return MonotonicNow() - int64(time.Since(t)) }

// Start starts a site's processes. If one of them does not serve, all are closed.
func (s Site) Start(p Params) (*Processes, error) {
	sites, err := StartSites(p, s)
	if err != nil {
		return nil, err
	}
	return sites[0], nil
}

// StartSites starts several sites at once: each has its own fleet and client load, and all share one relay, whose
// links without faults are as in the first site. Instances are numbered consecutively over all sites.
func StartSites(p Params, sites ...Site) (list []*Processes, err error) {
	relay, first := NewRelay(p.Seed, sites[0].Link), 0
	defer func() {
		if err != nil {
			relay.Close()
			for _, c := range list {
				c.Close()
			}
			list = nil
		}
	}()
	for _, s := range sites {
		c := &Processes{Relay: relay, seed: p.Seed + uint64(first)}
		list = append(list, c)
		if err = s.createInstances(p, c, first); err != nil {
			return
		}
		first += s.N
	}
	for i, c := range list {
		c.Sites = list
		var addrs []string
		for _, x := range c.Nodes {
			addrs = append(addrs, x.Addr)
			if err = x.Write(sites[i].File(c, x)); err != nil {
				return
			}
			if x.hostIndex >= 0 {
				continue
			}
			if err = x.Start(); err != nil {
				return
			}
		}
		if err = c.startHosts(p); err != nil {
			return
		}
		c.Load = NewLoad(c.seed, addrs)
	}
	return
}

// createInstances gives each instance of a site its addresses and files; the first one has the number first.
func (s Site) createInstances(p Params, c *Processes, first int) (err error) {
	if c.Fleet, err = NewFleet(c.seed, s.Workers, s.Slots, s.Mean); err != nil {
		return err
	}
	for indexInSite := range s.N {
		i := first + indexInSite
		name := fmt.Sprintf("n%d", i)
		x := &Instance{Index: i, hostIndex: -1, Dir: filepath.Join(p.Out, name), Journal: filepath.Join(p.Out, name+".journal")}
		if s.Hollow != nil {
			x.hostIndex = s.Hollow(indexInSite)
		}
		var addr, admin string
		for _, address := range []*string{&addr, &admin, &x.GossipListen, &x.AccordListen, &x.JobsListen} {
			if *address, err = freePort(IP(i).String()); err != nil {
				return err
			}
		}
		if x.GossipAddr, err = c.Relay.ForwardTraffic(peersService, Anyone, i, x.GossipListen); err != nil {
			return err
		}
		if x.AccordAddr, err = c.Relay.ForwardTraffic(accordService, Anyone, i, x.AccordListen); err != nil {
			return err
		}
		if x.JobsAddr, err = c.Relay.ForwardTraffic(seatsService, Anyone, i, x.JobsListen); err != nil {
			return err
		}
		limits := `"cores":1,"memory_mb":192,"sockets":1024`
		if s.Sockets > 0 {
			limits = fmt.Sprintf(`"cores":1,"memory_mb":768,"sockets":%d`, s.Sockets)
		}
		x.Dispatcher, err = NewDispatcher(p.executableOf(i), p.Out, name, platform(name, addr, c.Fleet, p.Seed+uint64(i), indexInSite, s.N, limits, s.ClassesJSON, s.TenantsJSON, s.ExtraRules), "")
		if err != nil {
			return err
		}
		x.Addr, x.Admin, x.File = addr, admin, filepath.Join(p.Out, name+".hcl")
		if p.processes != nil && x.hostIndex < 0 {
			*p.processes = append(*p.processes, x.Dispatcher)
		}
		c.Nodes = append(c.Nodes, x)
		if err = x.Wipe(); err != nil { // an earlier run may have left state in this folder
			return err
		}
		if err = c.collectJournal(x); err != nil {
			return err
		}
	}
	return nil
}

// collectJournal reads an instance's journal in the background, across restarts of its process.
func (c *Processes) collectJournal(x *Instance) error {
	os.Remove(x.Journal)
	if err := unix.Mkfifo(x.Journal, 0o600); err != nil {
		return err
	}
	reader, err := os.OpenFile(x.Journal, os.O_RDONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		return err
	}
	writer, err := os.OpenFile(x.Journal, os.O_WRONLY, 0)
	if err != nil {
		reader.Close()
		return err
	}
	c.journalPipes = append(c.journalPipes, writer)
	c.journalReaders.Go(func() {
		defer reader.Close()
		buf := make([]byte, 64<<10)
		for {
			n, err := reader.Read(buf)
			x.journalMu.Lock()
			x.journalData.Write(buf[:n])
			x.journalMu.Unlock()
			if err != nil {
				return
			}
		}
	})
	return nil
}

// Halt kills all processes and returns their journals and the times in which they did not run.
// The records of load and fleet can still be read.
func (c *Processes) Halt() invariants.Journals {
	for _, x := range c.Nodes {
		x.Kill()
	}
	for _, h := range c.Hosts {
		h.Kill()
	}
	for _, p := range c.journalPipes {
		p.Close()
	}
	c.journalPipes = nil
	c.journalReaders.Wait()
	var journals invariants.Journals
	for _, x := range c.Nodes {
		os.WriteFile(x.Journal+".jsonl", x.journalData.Bytes(), 0o600) // kept for later inspection
		lines, damaged := invariants.ReadJournal(x.journalData.Bytes())
		journals.Lines, journals.Damaged = append(journals.Lines, lines...), journals.Damaged+damaged
		journals.Pauses = append(journals.Pauses, x.pauses...)
	}
	return journals
}

// Close ends processes, load and fleet, and also the relay, so other sites on it lose their links.
func (c *Processes) Close() {
	c.Halt()
	c.Relay.Close()
	if c.Load != nil {
		c.Load.Close()
	}
	if c.Fleet != nil {
		c.Fleet.Close()
	}
}

// Index returns the position in Nodes of the instance of that name, -1 if there is none.
func (c *Processes) Index(name string) int {
	return slices.IndexFunc(c.Nodes, func(x *Instance) bool { return x.Name == name })
}

// History returns what clients and workers recorded, for an audit. If an instance was killed or frozen during a
// request, the audit must not count a missing or late answer as a fault: a request without an answer is recorded as
// disconnected by the client, and the client's timeout is extended to the time of a late answer.
func (c *Processes) History(rules invariants.Limits, classes []invariants.Class) *invariants.History {
	h := &invariants.History{Limits: rules, Classes: classes, Workers: c.Fleet.Workers(), Attempts: c.Fleet.Attempts()}
	for _, a := range c.Load.Answers() {
		r := a.auditRequest(c.Fleet.Clock)
		x := c.Nodes[a.Entry]
		x.mu.Lock()
		from, to := MonotonicAt(a.At), MonotonicAt(a.At.Add(a.Took))
		if slices.ContainsFunc(x.pauses, func(p invariants.Pause) bool { return p.Sent <= to && from <= p.To }) {
			if r.ClientTimeout = max(r.ClientTimeout, a.Took.Seconds()); a.Status == 0 {
				r.DisconnectedAt = c.Fleet.Clock(a.At.Add(a.Took))
			}
		}
		x.mu.Unlock()
		h.Requests = append(h.Requests, r)
	}
	return h
}

// Peering returns the blocks admin and peers of the operator's file, with which an instance joins
// the cluster through its first two instances. The period is in seconds.
func (x *Instance) Peering(c *Processes, period float64) string {
	return fmt.Sprintf("admin {\n  listen = %q\n}\npeers {\n  listen = %q\n  advertise = %q\n  join = [%q, %q]\n  cluster = \"lab\"\n  period = \"%gs\"\n}\n",
		x.Admin, x.GossipListen, x.GossipAddr, c.Nodes[0].GossipAddr, c.Nodes[1].GossipAddr, period)
}

// Write replaces the operator's file atomically.
func (x *Instance) Write(file string) error {
	if err := os.WriteFile(x.File+".new", []byte(file), 0o600); err != nil {
		return err
	}
	return os.Rename(x.File+".new", x.File)
}

// Reload makes the process, if it runs, read its files again.
func (x *Instance) Reload() error { return x.signal(syscall.SIGHUP) }

func (x *Instance) signal(s syscall.Signal) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return nil
	}
	return x.cmd.Process.Signal(s)
}

// Start starts the process, if it does not run, and waits until it serves.
func (x *Instance) Start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		return nil
	}
	if n := len(x.pauses); n > 0 && x.pauses[n-1].Killed {
		x.pauses[n-1].To = MonotonicNow()
	}
	x.generation++
	return x.Dispatcher.Start()
}

// Kill ends the process by SIGKILL.
func (x *Instance) Kill() { x.terminate(x.Dispatcher.Kill) }

// Stop ends the process by SIGTERM and returns how long that took.
func (x *Instance) Stop() (took time.Duration) {
	x.terminate(func() { took = x.Dispatcher.Stop() })
	return took
}

func (x *Instance) terminate(do func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return
	}
	sent := MonotonicNow()
	do()
	x.endFreeze()
	x.pauses = append(x.pauses, invariants.Pause{Name: x.Name, Sent: sent, From: MonotonicNow(), To: invariants.Forever, Killed: true})
}

// endFreeze records that the process is no longer frozen. The caller holds mu.
func (x *Instance) endFreeze() {
	if x.frozenGeneration != 0 {
		x.pauses[len(x.pauses)-1].To = MonotonicNow()
		x.frozenGeneration = 0
	}
}

// Freeze stops the process by SIGSTOP and returns when all its threads are stopped. thaw resumes it,
// unless it has been ended or restarted since.
func (x *Instance) Freeze() (thaw func(), err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil || x.frozenGeneration != 0 {
		return func() {}, nil
	}
	pid, sent := x.cmd.Process.Pid, MonotonicNow()
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return nil, err
	}
	for until := time.Now().Add(2 * time.Second); !allThreadsStopped(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return nil, fmt.Errorf("%s did not stop within 2 s of SIGSTOP", x.Name)
		}
	}
	generation := x.generation
	x.frozenGeneration = generation
	x.pauses = append(x.pauses, invariants.Pause{Name: x.Name, Sent: sent, From: MonotonicNow(), To: invariants.Forever})
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.frozenGeneration == generation {
			x.endFreeze()
			syscall.Kill(pid, syscall.SIGCONT) // the process is not reaped yet, so the pid is still its own
		}
	}, nil
}

// allThreadsStopped reports whether each thread of a process is stopped.
func allThreadsStopped(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, t := range threads {
		raw, err := os.ReadFile(t)
		_, rest, _ := strings.Cut(string(raw), ") ")
		if err == nil && !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return len(threads) > 0
}

// Wipe removes the state of an instance whose process does not run.
func (x *Instance) Wipe() error { return os.RemoveAll(x.Dir) }

// stateFiles returns the files of the state, the longest first, and the length of the longest in bytes.
func (x *Instance) stateFiles() (list []string, longest int64) {
	sizes := map[string]int64{}
	filepath.Walk(x.Dir, func(path string, f os.FileInfo, err error) error {
		if err == nil && f.Mode().IsRegular() {
			list, sizes[path] = append(list, path), f.Size()
			longest = max(longest, f.Size())
		}
		return nil
	})
	slices.SortStableFunc(list, func(a, b string) int { return int(sizes[b] - sizes[a]) })
	return list, longest
}

// Tear damages the end of the state's longest file as an unfinished write does: it truncates or overwrites up to 512
// bytes at the end of the data. Zeros at the end of the file do not count as data.
func (x *Instance) Tear(rng *rand.Rand) error {
	list, _ := x.stateFiles()
	if len(list) == 0 {
		return fmt.Errorf("%s has no state file to tear in %s", x.Name, x.Dir)
	}
	raw, err := os.ReadFile(list[0])
	if err != nil {
		return err
	}
	end := len(bytes.TrimRight(raw, "\x00"))
	from := max(0, end-1-rng.IntN(512))
	if rng.IntN(2) == 0 {
		return os.Truncate(list[0], int64(from))
	}
	for i := from; i < end; i++ {
		raw[i] ^= byte(1 + rng.IntN(255))
	}
	return os.WriteFile(list[0], raw, 0o600)
}

// Fill makes the kernel refuse each write beyond the length of the state's longest file (EFBIG), similar to a
// full disk, until removeLimit is called or the process ends. Writes within that length still succeed: refusing
// them would need a separate file system and the right to mount it.
func (x *Instance) Fill() (removeLimit func(), err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return func() {}, nil
	}
	var old unix.Rlimit
	pid, generation := x.cmd.Process.Pid, x.generation
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &old); err != nil {
		return nil, err
	}
	_, longest := x.stateFiles()
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(longest), Max: old.Max}, nil); err != nil {
		return nil, err
	}
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.generation == generation && x.cmd != nil {
			unix.Prlimit(pid, unix.RLIMIT_FSIZE, &old, nil) // fails if the process has ended, which does not matter
		}
	}, nil
}

// Until polls a condition every 20 ms until it holds. It returns an error if that takes longer than within.
func Until(within time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("timed out after %v waiting for: %s", within, what)
		}
	}
	return nil
}

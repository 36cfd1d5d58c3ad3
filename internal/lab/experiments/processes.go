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

// Build builds the program into a folder and returns where it is, for tests.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "bellstream")
	if out, err := exec.Command("go", "build", "-o", path, "example.org/bellstream/cmd/bellstream").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// Site is what a cluster of processes is made of.
type Site struct {
	N              int
	Workers, Slots int
	Mean           time.Duration // of a job's work
	Link           Link          // as every link usually is
	Lanes, Parties string        // of the platform's settings, JSON without the brackets
	Rules          string        // of the platform's, JSON that goes on after others: begins with a comma, or is empty
	Sockets        int           // each process may hold; 0: 1024, with 192 MB
	// File is the operator's file of an instance, whose addresses are known then.
	File func(c *Processes, x *Instance) string
	// Hollow says which of the site's processes of hollow instances one shares; below 0: it is a
	// process of the program's own. nil: all are.
	Hollow func(i int) int
}

// Instance is one process of a cluster. Its addresses are its own for all its lives.
type Instance struct {
	*Dispatcher
	Index   int    // among those of all sites on the relay
	Peers   string // where it listens for its peers
	Door    string // where they reach it
	Accord  string // where it listens for questions and entries
	Way     string // where the others reach that: one address for all, as voters tell it to each other
	Jobs    string // where it listens for others' jobs
	Line    string // where they reach that
	Dir     string // its state; Wipe throws it away
	Journal string // where it writes what it acts on: a pipe, which no full disk bounds

	shares int         // number of the process of hollow instances that it is one of; -1: it is none
	host   *HollowHost // that process

	mu      sync.Mutex // of all that is done to the process
	life    int
	stopped int // life that stands still; 0: none
	halts   []invariants.Pause

	journal sync.Mutex
	written bytes.Buffer
}

// Processes are real processes on one machine, each pair joined by links that can
// be struck in each direction, with a fleet of workers and what clients ask.
type Processes struct {
	Nodes []*Instance
	Fleet *Fleet
	Relay *Relay
	Load  *Load
	Hosts []*HollowHost // processes of hollow instances
	Sites []*Processes  // all that were started on this relay, itself too
	seed  uint64
	pipes []*os.File // writing ends, so that readers go on between lives
	reads sync.WaitGroup
}

// Steady is the machine's one steady clock, CLOCK_MONOTONIC in ns.
func Steady() int64 {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // it has no error on this clock
	return t.Nano()
}

// SteadyAt is what Steady was, or will be, at a time that this process took.
func SteadyAt(t time.Time) int64 { return Steady() - int64(time.Since(t)) }

// Start starts a site's processes. What has started is closed if one does not serve.
func (s Site) Start(p Params) (*Processes, error) {
	sites, err := StartSites(p, s)
	if err != nil {
		return nil, err
	}
	return sites[0], nil
}

// StartSites starts sites side by side: each has a fleet, a load and clients of its own, and
// all are on one relay, whose links are usually as the first site's. Their instances are numbered through.
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
		if err = s.lay(p, c, first); err != nil {
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
			if x.shares >= 0 {
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

// lay gives the instances of a site, of which the first has that number, their addresses and files.
func (s Site) lay(p Params, c *Processes, first int) (err error) {
	if c.Fleet, err = NewFleet(c.seed, s.Workers, s.Slots, s.Mean); err != nil {
		return err
	}
	for me := range s.N {
		i := first + me
		name := fmt.Sprintf("n%d", i)
		x := &Instance{Index: i, shares: -1, Dir: filepath.Join(p.Out, name), Journal: filepath.Join(p.Out, name+".journal")}
		if s.Hollow != nil {
			x.shares = s.Hollow(me)
		}
		var addr, admin string
		for _, to := range []*string{&addr, &admin, &x.Peers, &x.Accord, &x.Jobs} {
			if *to, err = freePort(IP(i).String()); err != nil {
				return err
			}
		}
		if x.Door, err = c.Relay.DoorTo(peersDoor, Anyone, i, x.Peers); err != nil {
			return err
		}
		if x.Way, err = c.Relay.DoorTo(accordDoor, Anyone, i, x.Accord); err != nil {
			return err
		}
		if x.Line, err = c.Relay.DoorTo(seatsDoor, Anyone, i, x.Jobs); err != nil {
			return err
		}
		limits := `"cores":1,"memory_mb":192,"sockets":1024`
		if s.Sockets > 0 {
			limits = fmt.Sprintf(`"cores":1,"memory_mb":768,"sockets":%d`, s.Sockets)
		}
		x.Dispatcher, err = NewDispatcher(p.executableOf(i), p.Out, name, platform(name, addr, c.Fleet, p.Seed+uint64(i), me, s.N, limits, s.Lanes, s.Parties, s.Rules), "")
		if err != nil {
			return err
		}
		x.Addr, x.Admin, x.File = addr, admin, filepath.Join(p.Out, name+".hcl")
		if p.processes != nil && x.shares < 0 {
			*p.processes = append(*p.processes, x.Dispatcher)
		}
		c.Nodes = append(c.Nodes, x)
		if err = x.Wipe(); err != nil { // what an earlier run left in this folder
			return err
		}
		if err = c.listen(x); err != nil {
			return err
		}
	}
	return nil
}

// listen takes in an instance's journal, over all its lives.
func (c *Processes) listen(x *Instance) error {
	os.Remove(x.Journal)
	if err := unix.Mkfifo(x.Journal, 0o600); err != nil {
		return err
	}
	from, err := os.OpenFile(x.Journal, os.O_RDONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		return err
	}
	to, err := os.OpenFile(x.Journal, os.O_WRONLY, 0)
	if err != nil {
		from.Close()
		return err
	}
	c.pipes = append(c.pipes, to)
	c.reads.Go(func() {
		defer from.Close()
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			x.journal.Lock()
			x.written.Write(buf[:n])
			x.journal.Unlock()
			if err != nil {
				return
			}
		}
	})
	return nil
}

// Halt kills all processes and returns what they acted on, and when they did not
// live. Load and fleet can still be asked.
func (c *Processes) Halt() invariants.Journals {
	for _, x := range c.Nodes {
		x.Kill()
	}
	for _, h := range c.Hosts {
		h.Kill()
	}
	for _, p := range c.pipes {
		p.Close()
	}
	c.pipes = nil
	c.reads.Wait()
	var acts invariants.Journals
	for _, x := range c.Nodes {
		os.WriteFile(x.Journal+".jsonl", x.written.Bytes(), 0o600) // for who wants to look at it later
		lines, damaged := invariants.ReadJournal(x.written.Bytes())
		acts.Lines, acts.Damaged = append(acts.Lines, lines...), acts.Damaged+damaged
		acts.Pauses = append(acts.Pauses, x.halts...)
	}
	return acts
}

// Close ends all of it, and the relay, also for other sites on it.
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

// Index is the number of the instance of that name; -1: there is none.
func (c *Processes) Index(name string) int {
	return slices.IndexFunc(c.Nodes, func(x *Instance) bool { return x.Name == name })
}

// History is what clients and workers saw, for an audit. Who asked an instance
// that was killed or stood still meanwhile is owed nothing in time: without an
// answer it is taken to have left, with a late one to have been that patient.
func (c *Processes) History(rules invariants.Limits, classes []invariants.Class) *invariants.History {
	h := &invariants.History{Limits: rules, Classes: classes, Workers: c.Fleet.Workers(), Attempts: c.Fleet.Attempts()}
	for _, a := range c.Load.Answers() {
		r := a.audited(c.Fleet.Clock)
		x := c.Nodes[a.Entry]
		x.mu.Lock()
		from, to := SteadyAt(a.At), SteadyAt(a.At.Add(a.Took))
		if slices.ContainsFunc(x.halts, func(h invariants.Pause) bool { return h.Sent <= to && from <= h.To }) {
			if r.ClientTimeout = max(r.ClientTimeout, a.Took.Seconds()); a.Status == 0 {
				r.DisconnectedAt = c.Fleet.Clock(a.At.Add(a.Took))
			}
		}
		x.mu.Unlock()
		h.Requests = append(h.Requests, r)
	}
	return h
}

// Peering is the part of the operator's file that has an instance join the others,
// by way of the first two.
func (x *Instance) Peering(c *Processes, period float64) string {
	return fmt.Sprintf("admin {\n  listen = %q\n}\npeers {\n  listen = %q\n  advertise = %q\n  join = [%q, %q]\n  cluster = \"lab\"\n  period = \"%gs\"\n}\n",
		x.Admin, x.Peers, x.Door, c.Nodes[0].Door, c.Nodes[1].Door, period)
}

// Write writes the operator's file, in one step.
func (x *Instance) Write(file string) error {
	if err := os.WriteFile(x.File+".new", []byte(file), 0o600); err != nil {
		return err
	}
	return os.Rename(x.File+".new", x.File)
}

// Reload has the process read its files again, if it lives.
func (x *Instance) Reload() error { return x.signal(syscall.SIGHUP) }

func (x *Instance) signal(s syscall.Signal) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return nil
	}
	return x.cmd.Process.Signal(s)
}

// Start starts the process, if it does not live, and waits until it serves.
func (x *Instance) Start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		return nil
	}
	if n := len(x.halts); n > 0 && x.halts[n-1].Killed {
		x.halts[n-1].To = Steady()
	}
	x.life++
	return x.Dispatcher.Start()
}

// Kill ends the process at once, by SIGKILL.
func (x *Instance) Kill() { x.end(x.Dispatcher.Kill) }

// Stop ends it in good order and returns how long that took.
func (x *Instance) Stop() (took time.Duration) {
	x.end(func() { took = x.Dispatcher.Stop() })
	return took
}

func (x *Instance) end(how func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return
	}
	sent := Steady()
	how()
	x.wake()
	x.halts = append(x.halts, invariants.Pause{Name: x.Name, Sent: sent, From: Steady(), To: invariants.Forever, Killed: true})
}

// wake notes that the process stands still no more. The lock is held.
func (x *Instance) wake() {
	if x.stopped != 0 {
		x.halts[len(x.halts)-1].To = Steady()
		x.stopped = 0
	}
}

// Freeze stops the process by SIGSTOP, and returns when it stands still; thaw has
// that life go on, if it lives yet.
func (x *Instance) Freeze() (thaw func(), err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil || x.stopped != 0 {
		return func() {}, nil
	}
	pid, sent := x.cmd.Process.Pid, Steady()
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return nil, err
	}
	for until := time.Now().Add(2 * time.Second); !still(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return nil, fmt.Errorf("%s does not stop", x.Name)
		}
	}
	life := x.life
	x.stopped = life
	x.halts = append(x.halts, invariants.Pause{Name: x.Name, Sent: sent, From: Steady(), To: invariants.Forever})
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.stopped == life {
			x.wake()
			syscall.Kill(pid, syscall.SIGCONT) // not reaped yet: it is of this life
		}
	}, nil
}

// still says that each thread of a process is stopped.
func still(pid int) bool {
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

// Wipe throws the state of a process away that does not live.
func (x *Instance) Wipe() error { return os.RemoveAll(x.Dir) }

// files are the state's, the longest first.
func (x *Instance) files() (list []string, longest int64) {
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

// Tear spoils the end of the longest file of the state as a write that was not
// finished does: its last bytes that are not zero are cut off, or others.
func (x *Instance) Tear(rng *rand.Rand) error {
	list, _ := x.files()
	if len(list) == 0 {
		return fmt.Errorf("%s has no file to tear in %s", x.Name, x.Dir)
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

// Fill has the system refuse the process every byte beyond the end of the longest
// file of its state (EFBIG), as a full disk does, until it is lifted or the life ends.
// What still fits into a file's present length is written: that needs a file
// system of its own to refuse, and rights to mount it.
func (x *Instance) Fill() (lift func(), err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return func() {}, nil
	}
	var was unix.Rlimit
	pid, life := x.cmd.Process.Pid, x.life
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &was); err != nil {
		return nil, err
	}
	_, longest := x.files()
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(longest), Max: was.Max}, nil); err != nil {
		return nil, err
	}
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.life == life && x.cmd != nil {
			unix.Prlimit(pid, unix.RLIMIT_FSIZE, &was, nil) // it may have ended
		}
	}, nil
}

// Until waits for what is to become true; it is an error if that takes longer.
func Until(within time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
	}
	return nil
}

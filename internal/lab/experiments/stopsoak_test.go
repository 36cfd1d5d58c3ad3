package experiments

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/invariants"
)

// Times of the protocol page.
const (
	soakLongestDeadline = 3 * time.Second
	soakKillAfter       = soakLongestDeadline + 700*time.Millisecond // from SIGTERM to SIGKILL, at the earliest
	soakConnectsFor     = 400 * time.Millisecond                     // after SIGTERM new connections keep arriving
	soakStallLimit      = 150 * time.Millisecond                     // between the end of a full drain and SIGKILL
	soakSlack           = 100 * time.Millisecond                     // from a client's close to the last attempt for it
	soakLateAnswer      = 500 * time.Millisecond                     // after its time; a later answer counts as lost
)

// Parameters of a run.
const (
	soakWarmUp      = 600 * time.Millisecond // before the stop
	soakClients     = 12
	soakSockets     = 128
	soakIdleCrowd   = 110 // idle clients, as many as descriptors allow
	soakBurst       = 80  // connects at once as the signal comes
	soakParallel    = 4
	soakDefaultRuns = 4

	// In a run with nothing left to drain.
	soakQuietAfter    = 950 * time.Millisecond // from SIGTERM to the first moment of a suspension
	soakQuietSpan     = 700 * time.Millisecond // to the last one
	soakQuietPause    = 60 * time.Millisecond
	soakQuietConnects = 3
)

// soakKinds are the kinds of runs.
var soakKinds = []string{"plain", "reloads", "reload and stops", "paused", "starting", "handover", "idle crowd", "connect crowd", "late connects",
	"quiet close"}

var soakClasses = []invariants.Class{
	{Name: "safe", Repeat: "safe"},
	{Name: "unsafe", Repeat: "unsafe"},
	{Name: "keyed", Repeat: "keyed", Scope: "all", Window: 5},
}

const soakClassesJSON = `{"name":"safe","aim":0.3,"hard_limit":3,"semantics":"safe","value":1},
{"name":"unsafe","aim":0.3,"hard_limit":3,"semantics":"unsafe","value":1},
{"name":"keyed","aim":0.3,"hard_limit":3,"semantics":"keyed","dedup_scope":"all","repeat_window":5,"value":1}`

// soakRun is one run: a process that is started as the platform does, clients, and a stop.
type soakRun struct {
	kind    string
	rng     *rand.Rand
	fleet   *Fleet
	record  *soakRecord
	program string
	dir     string
	addr    string
	control string
	config  string
	logs    []string

	listener  *net.TCPListener // of the platform, in a handover
	processes []*soakProcess
	clients   sync.WaitGroup
	stalls    soakStalls
	stopping  chan struct{} // closed soakConnectsFor after the stop
	ended     chan struct{} // closed when the process is out

	mu         sync.Mutex
	stoppedAt  time.Time
	suspended  time.Duration // all suspensions
	violations []string
}

type soakProcess struct {
	cmd   *exec.Cmd
	ended chan error
}

// Stops of real processes, with clients that keep using open connections until SIGKILL, signals in series, crowds and
// suspensions at random moments: no request may be lost, reset or run twice, and the process must end by itself.
// BELLSTREAM_SOAKS sets the number of runs of each kind, BELLSTREAM_SOAK the number of the first one. A run's seed is
// its number times the number of kinds, plus that of its kind.
func TestStopSoak(t *testing.T) {
	runs, first := soakDefaultRuns, 1
	if n, err := strconv.Atoi(os.Getenv("BELLSTREAM_SOAKS")); err == nil {
		runs = n
	}
	if n, err := strconv.Atoi(os.Getenv("BELLSTREAM_SOAK")); err == nil {
		first = n
	}
	program, err := Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	semaphore := make(chan struct{}, soakParallel)
	for k, kind := range soakKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for n := first; n < first+runs; n++ {
				semaphore <- struct{}{}
				runSoak(t, program, kind, uint64(n*len(soakKinds)+k))
				<-semaphore
			}
		})
	}
}

func runSoak(t *testing.T, program, kind string, seed uint64) {
	t.Helper()
	r, err := newSoakRun(t.TempDir(), program, kind, seed)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
		return
	}
	defer r.fleet.Close()
	finished := make(chan struct{})
	defer close(finished)
	go r.stalls.watch(finished)
	if err := r.play(); err != nil {
		t.Errorf("seed %d (%s): %v", seed, r.kind, err)
		return
	}
	r.check()
	answers := map[int]int{}
	for _, request := range r.record.requests {
		for _, answer := range request.Answers {
			answers[answer.Status]++
		}
	}
	t.Logf("seed %d (%s): %d requests on %d connections, %d connects refused, answers %v, suspended %v, stalls %v, %d violations",
		seed, r.kind, len(r.record.requests), r.record.connections, r.record.refused, answers, r.suspended, r.stalls.bound(), len(r.violations))
	if len(r.violations) > 0 {
		t.Errorf("seed %d (%s):\n\t%s", seed, r.kind, strings.Join(r.violations[:min(8, len(r.violations))], "\n\t"))
	}
}

func newSoakRun(dir, program, kind string, seed uint64) (*soakRun, error) {
	fleet, err := NewFleet(seed, 4, 4, 40*time.Millisecond)
	if err != nil {
		return nil, err
	}
	r := &soakRun{
		kind:     kind,
		rng:      rand.New(rand.NewPCG(seed, 0x50a4)),
		fleet:    fleet,
		record:   &soakRecord{clock: fleet.Clock},
		program:  program,
		dir:      dir,
		config:   filepath.Join(dir, "config.json"),
		stopping: make(chan struct{}),
		ended:    make(chan struct{}),
	}
	if r.addr, err = freePort("127.0.0.1"); err != nil {
		return nil, err
	}
	if r.control, err = freePort("127.0.0.1"); err != nil {
		return nil, err
	}
	if r.kind == "handover" {
		l, err := net.Listen("tcp", r.addr)
		if err != nil {
			return nil, err
		}
		r.listener = l.(*net.TCPListener)
	}
	return r, r.writeConfig(seed, 3)
}

// writeConfig writes the platform's configuration, whose maximum of attempts a reload changes.
func (r *soakRun) writeConfig(seed uint64, attempts int) error {
	config := platform("n0", r.addr, r.fleet, seed, 0, 1, fmt.Sprintf(`"cores":1,"memory_mb":64,"sockets":%d`, soakSockets),
		soakClassesJSON, `{"name":"t","quota_per_s":100}`, "")
	config = strings.Replace(config, `"max_attempts":3`, fmt.Sprintf(`"max_attempts":%d`, attempts), 1)
	next := r.config + ".next"
	if err := os.WriteFile(next, []byte(config), 0o600); err != nil {
		return err
	}
	return os.Rename(next, r.config)
}

// start starts the program as the deploy file's run does, with a control address of its own.
func (r *soakRun) start(control string) (*soakProcess, error) {
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("log%d", len(r.processes))))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &soakProcess{cmd: exec.Command(r.program), ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+r.config, "RELAY_CONTROL="+control, "TMPDIR="+r.dir)
	if r.listener != nil {
		socket, err := r.listener.File()
		if err != nil {
			return nil, err
		}
		defer socket.Close()
		p.cmd.ExtraFiles = []*os.File{socket}
		p.cmd.Env = append(p.cmd.Env, "RELAY_INHERITED_FD=3")
	}
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.ended <- p.cmd.Wait() }()
	r.processes = append(r.processes, p)
	r.logs = append(r.logs, log.Name())
	return p, nil
}

// awaitLog waits until the log of a process has a line with the text.
func (r *soakRun) awaitLog(process int, text string) error {
	return Until(10*time.Second, fmt.Sprintf("%q in the log of process %d", text, process), func() bool {
		log, err := os.ReadFile(r.logs[process])
		return err == nil && strings.Contains(string(log), text)
	})
}

// play runs the process with its clients until its end.
func (r *soakRun) play() error {
	p, err := r.start(r.control)
	if err != nil {
		return err
	}
	defer r.killAll()
	if err := r.awaitLog(0, "listens on"); err != nil {
		return err
	}
	if r.kind != "starting" {
		if err := r.awaitLog(0, "serving"); err != nil {
			return err
		}
	}
	clients := soakClients
	if r.kind == "quiet close" {
		clients = 0 // so that nothing is left to drain
	}
	for range clients {
		r.clients.Add(1)
		go r.playClient(rand.New(rand.NewPCG(r.rng.Uint64(), 1)), r.stopping)
	}
	if r.kind != "starting" {
		time.Sleep(soakWarmUp)
	}
	if err := r.prepareStop(); err != nil {
		return err
	}
	suspensions := make(chan struct{})
	rng := rand.New(rand.NewPCG(r.rng.Uint64(), 4)) // drawn here, as signalStop draws from r.rng meanwhile
	go func() {
		defer close(suspensions)
		if r.kind == "quiet close" {
			r.suspendAtClose(p, rng)
		} else {
			r.suspendAtRandom(p, rng)
		}
	}()
	r.signalStop(p)
	time.AfterFunc(soakConnectsFor, func() { close(r.stopping) })
	select {
	case <-p.ended:
	case <-time.After(time.Until(r.stoppedAt.Add(soakKillAfter))):
		p.cmd.Process.Kill()
		<-p.ended
		if stalls := r.stalls.bound(); stalls < soakStallLimit {
			r.fail("the process did not end within %v of SIGTERM", soakKillAfter)
		}
	}
	close(r.ended)
	<-suspensions
	r.clients.Wait()
	return nil
}

// prepareStop does what precedes the stop in this kind of run.
func (r *soakRun) prepareStop() error {
	switch r.kind {
	case "paused":
		conn, err := net.Dial("tcp", r.control)
		if err != nil {
			return err
		}
		defer conn.Close()
		_, err = io.WriteString(conn, "PAUSE\n")
		time.Sleep(time.Duration(r.rng.IntN(300)) * time.Millisecond)
		return err
	case "handover":
		control, err := freePort("127.0.0.1")
		if err != nil {
			return err
		}
		if _, err := r.start(control); err != nil {
			return err
		}
		return r.awaitLog(1, "serving")
	case "idle crowd":
		for range soakIdleCrowd {
			if conn, err := net.DialTimeout("tcp", r.addr, time.Second); err == nil {
				time.AfterFunc(6*time.Second, func() { conn.Close() })
			}
		}
	}
	return nil
}

// signalStop sends SIGTERM, with the other signals of this kind of run.
func (r *soakRun) signalStop(p *soakProcess) {
	reload := func() {
		r.writeConfig(1, 2+r.rng.IntN(3)) //nolint:errcheck // an old file is reloaded
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
	switch r.kind {
	case "reloads":
		for range 5 {
			reload()
			time.Sleep(time.Duration(r.rng.IntN(20)) * time.Millisecond)
		}
	case "reload and stops":
		reload()
	case "connect crowd":
		for range soakBurst {
			r.clients.Add(1)
			go r.sendOnce(rand.New(rand.NewPCG(r.rng.Uint64(), 2)))
		}
	case "late connects":
		r.clients.Add(1)
		go r.connectUntilEnd(rand.New(rand.NewPCG(r.rng.Uint64(), 3)))
	}
	r.mu.Lock()
	r.stoppedAt = time.Now()
	r.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGTERM)
	switch r.kind {
	case "reloads", "reload and stops":
		for range 3 {
			time.Sleep(time.Duration(r.rng.IntN(30)) * time.Millisecond)
			reload()
			p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
}

// suspendAtRandom suspends the process a few times for 20 to 500 ms, the last time so that it can end in time.
func (r *soakRun) suspendAtRandom(p *soakProcess, rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		pause := time.Duration(20+rng.IntN(480)) * time.Millisecond
		select {
		case <-r.ended:
			return
		case <-time.After(time.Duration(rng.IntN(900)) * time.Millisecond):
		}
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		p.cmd.Process.Signal(syscall.SIGCONT)
		r.mu.Lock()
		r.suspended += pause
		r.mu.Unlock()
	}
}

// suspendAtClose suspends the process, which has nothing left to drain, about when it closes its listener, and lets a few
// clients connect meanwhile.
func (r *soakRun) suspendAtClose(p *soakProcess, rng *rand.Rand) {
	time.Sleep(soakQuietAfter + time.Duration(rng.Int64N(int64(soakQuietSpan))))
	p.cmd.Process.Signal(syscall.SIGSTOP)
	for range soakQuietConnects {
		r.clients.Add(1)
		go r.sendOnce(rand.New(rand.NewPCG(rng.Uint64(), 7)))
	}
	time.Sleep(soakQuietPause)
	p.cmd.Process.Signal(syscall.SIGCONT)
	r.mu.Lock()
	r.suspended += soakQuietPause
	r.mu.Unlock()
}

// playClient sends requests on each connection until the dispatcher closes it, then connects again, until connects stop.
func (r *soakRun) playClient(rng *rand.Rand, stopping chan struct{}) {
	defer r.clients.Done()
	for {
		select {
		case <-stopping:
			return
		case <-r.ended:
			return
		default:
		}
		if c := r.record.dial(r.addr); c != nil {
			r.useConnection(c, rng)
		} else {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// useConnection sends requests until the connection ends or the client leaves.
func (r *soakRun) useConnection(c *soakClient, rng *rand.Rand) {
	defer c.conn.Close()
	for {
		request := c.send(soakClasses[rng.IntN(len(soakClasses))].Name, time.Duration(200+rng.IntN(2800))*time.Millisecond)
		if rng.IntN(25) == 0 {
			time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			c.leave(request)
			return
		}
		if !c.receive(request, soakLongestDeadline+soakKillAfter) {
			return
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

// sendOnce sends one request on a new connection.
func (r *soakRun) sendOnce(rng *rand.Rand) {
	defer r.clients.Done()
	c := r.record.dial(r.addr)
	if c == nil {
		return
	}
	defer c.conn.Close()
	request := c.send(soakClasses[rng.IntN(len(soakClasses))].Name, time.Second)
	c.receive(request, soakLongestDeadline+soakKillAfter)
}

// connectUntilEnd connects and sends once every few milliseconds until the process is out.
func (r *soakRun) connectUntilEnd(rng *rand.Rand) {
	defer r.clients.Done()
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(time.Duration(2+rng.IntN(10)) * time.Millisecond):
		}
		r.clients.Add(1)
		go r.sendOnce(rand.New(rand.NewPCG(rng.Uint64(), 5)))
	}
}

func (r *soakRun) killAll() {
	for _, p := range r.processes {
		p.cmd.Process.Kill()
	}
	if r.listener != nil {
		r.listener.Close()
	}
}

func (r *soakRun) fail(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// check verifies the records of clients and workers.
func (r *soakRun) check() {
	attempts := map[string]int{}
	h := invariants.History{
		Limits:   invariants.Limits{Grace: soakLateAnswer.Seconds(), DrainGrace: 2, NetworkSlack: (soakSlack + r.suspended + r.stalls.bound()).Seconds()},
		Classes:  soakClasses,
		Workers:  r.fleet.Workers(),
		Attempts: r.fleet.Attempts(),
	}
	for _, a := range h.Attempts {
		attempts[a.ID]++
	}
	for _, request := range r.record.requests {
		if len(request.Answers) == 0 && request.DisconnectedAt == 0 {
			r.checkUnanswered(request, attempts[request.ID])
			request.NeverAccepted = true // judged above
		}
		h.Requests = append(h.Requests, request.Request)
	}
	for _, v := range h.Check() {
		r.fail("%v", v)
	}
	r.violations = append(r.violations, r.record.surplus...)
}

// checkUnanswered verifies that a request without an answer was never taken: the dispatcher closed the connection,
// without a reset, while the request was on its way. The first request of a connection has to be answered, but
// when idle clients fill the descriptors, as the page allows then.
func (r *soakRun) checkUnanswered(request *soakRequest, attempts int) {
	stopped := r.fleet.Clock(r.stoppedAt)
	state := fmt.Sprintf("request %s on connection %d, connected %.3f s and sent %.3f s after SIGTERM: %v",
		request.ID, request.connection, request.connectedAt-stopped, request.SentAt-stopped, request.err)
	ended := errors.Is(request.err, io.EOF) || errors.Is(request.err, io.ErrUnexpectedEOF)
	switch {
	case attempts > 0:
		r.fail("%s; it was sent to a worker", state)
	case request.first && r.kind != "idle crowd":
		r.fail("%s; it was the first of its connection", state)
	case isReset(request.err) && r.kind != "idle crowd":
		r.fail("%s; reset", state)
	case !ended && !isReset(request.err):
		r.fail("%s; no answer", state)
	}
}

package experiments

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Dispatcher is one bellstream process.
type Dispatcher struct {
	Name, Addr, Admin string
	Config, File      string
	program, log      string
	cmd               *exec.Cmd
	ended             chan error
	died              bool // the process ended by itself
}

// reservedAddresses holds the addresses that this process has assigned to its children, which may not listen there yet.
var reservedAddresses sync.Map

// freePort returns an address of ip whose port is free for TCP and UDP.
func freePort(ip string) (at string, err error) {
	l, u, err := listenBoth(ip)
	if err != nil {
		return "", err
	}
	l.Close()
	u.Close()
	return l.Addr().String(), nil
}

// listenBoth listens for TCP and UDP at one port. The port is below the range from which the kernel
// takes source ports of connections, so that a restarted process finds its port free.
func listenBoth(ip string) (l net.Listener, u net.PacketConn, err error) {
	for range 50 {
		at := net.JoinHostPort(ip, strconv.Itoa(10_000+rand.IntN(22_000)))
		if _, taken := reservedAddresses.LoadOrStore(at, true); taken {
			continue
		}
		if l, err = net.Listen("tcp", at); err != nil {
			continue
		}
		if u, err = net.ListenPacket("udp", at); err == nil {
			return l, u, nil
		}
		l.Close()
	}
	return nil, nil, fmt.Errorf("no free port on %s (%v)", ip, err)
}

// NewDispatcher writes a dispatcher's configuration files; Start starts the process.
func NewDispatcher(program, dir, name, config, file string) (*Dispatcher, error) {
	d := &Dispatcher{Name: name, program: program, Config: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	if err := os.WriteFile(d.Config, []byte(config), 0o600); err != nil {
		return nil, err
	}
	if file != "" {
		d.File = filepath.Join(dir, name+".hcl")
		if err := os.WriteFile(d.File, []byte(file), 0o600); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// platform returns the platform's JSON configuration of dispatcher number me of n. limits, classes, tenants and rules
// are parts of that JSON.
func platform(name, addr string, fleet *Fleet, seed uint64, me, n int, limits, classes, tenants, rules string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{%s},
"known":%s,"settings":{"me":%d,"balancers":%d,"zone":"z","membership_mode":"pushed","round":0.004,"lanes":[%s],"parties":[%s],
"family_info":{"report_x0":"free slots","tells_start":true},"reporting":{"how":"pull","fields":["x0","waiting"]},"clients":{"marks_retry":true},
"caps":{"cancelling":true,"probes":true,"retry_after":true,"max_retry_after":2,"dial_timeout":0.25,"keepalive":15,"max_attempts":3},
"charges":{"probe":0.01},"rules":{"ask_every":10,"drain_grace":2,"grace_to_answer":0.016%s}}}`,
		name, addr, fleet.Discovery(), seed, limits, fleet.List(), me, n, classes, tenants, rules)
}

// startSingleDispatcher starts the only dispatcher of a fleet; classes holds the classes' JSON objects.
func startSingleDispatcher(p Params, fleet *Fleet, name, classes, file string) (*Dispatcher, error) {
	addr, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	config := platform(name, addr, fleet, p.Seed, 0, 1, `"cores":1,"memory_mb":512,"sockets":8192`, classes, `{"name":"t","quota_per_s":100}`, "")
	d, err := NewDispatcher(p.Program, p.Out, name, config, file)
	if err != nil {
		return nil, err
	}
	d.Addr = addr
	if p.processes != nil {
		*p.processes = append(*p.processes, d)
	}
	return d, d.Start()
}

// Start starts the process and waits until it serves.
func (d *Dispatcher) Start() error {
	log, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(d.program)
	d.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+d.Config, "BELLSTREAM_FILE="+d.File)
	d.cmd.Stderr = log
	// The kernel kills the process when its parent ends, for whatever reason.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan error) { ended <- cmd.Wait() }(d.cmd, d.ended)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-d.ended:
			d.cmd = nil
			return fmt.Errorf("%s exited during start-up (%v): see %s", d.Name, err, d.log)
		default:
		}
		if resp, err := http.Get("http://" + d.Addr + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s did not serve within 10 s: see %s", d.Name, d.log)
}

// Kill ends the process by SIGKILL and notes in died whether it had already ended by itself.
func (d *Dispatcher) Kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		select {
		case <-d.ended:
			d.died = true
		default:
			d.cmd.Process.Kill()
			<-d.ended
		}
		d.cmd = nil
	}
}

// Stop ends the process by SIGTERM, or by SIGKILL after 6 s, and returns how long that took.
func (d *Dispatcher) Stop() time.Duration {
	if d.cmd == nil {
		return 0
	}
	began := time.Now()
	d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(6 * time.Second):
		d.cmd.Process.Kill()
		<-d.ended
	}
	d.cmd = nil
	return time.Since(began)
}

// admin has a timeout because a frozen process does not answer.
var admin = http.Client{Timeout: 3 * time.Second}

// Ask decodes the JSON answer of the admin listener to a GET of path.
func (d *Dispatcher) Ask(path string, into any) error {
	resp, err := admin.Get("http://" + d.Admin + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", d.Admin, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

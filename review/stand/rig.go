package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// rig is what one case starts: processes of the project, stand-ins, and the record of what happened.
type rig struct {
	root    string // of the repository
	dir     string // temporary files
	trouble bool
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	procs    []*process
	closed   bool
	findings []string
}

// newRig opens the record in the case's folder and a temporary folder for the processes.
func newRig(caseDir string) (*rig, error) {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	r.note("case %s, trouble %v", filepath.Base(caseDir), r.trouble)
	return r, nil
}

// since returns the seconds since the case began.
func (r *rig) since() float64 { return time.Since(r.start).Seconds() }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", r.since()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
}

// say writes a line to the record and to standard output.
func (r *rig) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// found records a breach of the rule.
func (r *rig) found(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BREACH %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, text)
}

// verdict reports the breaches and returns the exit code.
func (r *rig) verdict(rule string) int {
	r.mu.Lock()
	findings := r.findings
	r.mu.Unlock()
	if len(findings) == 0 {
		r.say("rule %s: held", rule)
		return held
	}
	r.say("rule %s: broken %d times", rule, len(findings))
	for _, f := range findings[:min(len(findings), 10)] {
		r.say("  %s", f)
	}
	return broken
}

// close ends all processes and removes the temporary folder. No process is started after it.
func (r *rig) close() {
	r.mu.Lock()
	r.closed = true
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	for _, p := range procs {
		r.appendLog(p)
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

func (r *rig) appendLog(p *process) {
	const most = 200
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	r.note("log of %s, the last %d of %d lines:", p.name, min(most, len(lines)), len(lines))
	for _, line := range lines[max(0, len(lines)-most):] {
		fmt.Fprintln(r.record, "    "+line)
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// runCommand returns the command of the deploy file that starts a dispatcher.
func (r *rig) runCommand() (string, error) {
	raw, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := runLine.FindSubmatch(raw)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(match[1]), nil
}

// process is one dispatcher.
type process struct {
	rig     *rig
	name    string
	logPath string
	cmd     *exec.Cmd
	ended   chan struct{}
	killed  bool
}

// launch starts a dispatcher as the platform does, with more variables for the environment.
func (r *rig) launch(name, configPath string, env ...string) (*process, error) {
	command, err := r.runCommand()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, errors.New("the case has ended")
	}
	logPath := filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", name, len(r.procs)))
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(r.dir, fmt.Sprintf("tmp-%s-%d", name, len(r.procs)))
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = r.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "RELAY_NAME=" + name, "RELAY_CONFIG=" + configPath}
	cmd.Env = append(cmd.Env, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the player is killed
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{rig: r, name: name, logPath: logPath, cmd: cmd, ended: make(chan struct{})}
	r.procs = append(r.procs, p)
	go func() {
		r.note("started %s: %s", name, command)
		err := cmd.Wait()
		r.note("%s ended: %v", name, err)
		_ = log.Close()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	p.rig.note("signal %s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for it.
func (p *process) kill() {
	if p.running() {
		p.killed = true
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// usedPorts are the ports that freeAddress has returned.
var usedPorts = map[int]bool{}

// freeAddress returns a loopback address that nobody listens on. Its port is below those that the system gives to
// outgoing connections, so that none of these takes it meanwhile.
func freeAddress() string {
	for {
		port := 20000 + rand.IntN(12000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil || usedPorts[port] {
			if err == nil {
				_ = l.Close()
			}
			continue
		}
		_ = l.Close()
		usedPorts[port] = true
		return address
	}
}

// waitReady waits until the dispatcher at an address answers GET /healthz with 200.
func waitReady(address string, atMost time.Duration) error {
	for deadline := time.Now().Add(atMost); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, _ := get(address, "/healthz"); status == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", address, atMost)
}

// object is a JSON object.
type object = map[string]any

// writeJSON replaces a file as a whole.
func writeJSON(path string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// siteSettings returns the settings of bergvik-sone, as the page on the wire shows them, for one dispatcher.
func siteSettings(index, dispatchers int, zone string) object {
	lane := func(name string, aim, limit, value float64, semantics, scope string, window float64) object {
		return object{"aim": aim, "dedup_scope": scope, "hard_limit": limit, "late_worth": 0.0, "name": name,
			"repeat_window": window, "semantics": semantics, "streamed": false, "value": value}
	}
	tenant := func(name string, quota, share float64) object {
		return object{"name": name, "quota_per_s": quota, "share": share}
	}
	return object{
		"azs": []string{"sentrum", "laksevag", "fana", "asane"}, "balancers": dispatchers,
		"caps": object{"cancelling": true, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000, "dial_timeout": 0.25,
			"keepalive": 15.0, "max_attempts": 3, "max_retry_after": 2.0, "open_cap": 20000, "parallel_tries": false,
			"peers": false, "probes": true, "retry_after": true, "streams_per_conn": 1},
		"charges":    object{"cross_zone": 0.015, "late_fail": 0.034, "probe": 0.01, "waste": 0.25},
		"clients":    object{"marks_retry": true},
		"counted_by": "request", "family": "jobs",
		"family_info": object{"class_kind": []int{-1, -1, 0}, "class_priority": []int{0, 1, 0},
			"class_stretch": []float64{2, 2, 1.75}, "progress": 1.0, "queue_order": "priority",
			"report_x0": "free slots", "report_x1": "free memory", "tells_start": true},
		"kinds": []string{"stor-5k", "liten-4k"},
		"lanes": []object{
			lane("sone-oppslag", 0.15, 5, 5, "safe", "all", 5),
			lane("kurer-tildeling", 0.6, 25, 10, "unsafe", "all", 5),
			lane("sone-endring", 0.3, 8, 8, "keyed", "zone", 12),
		},
		"me": index, "membership_mode": "on_request", "over_share_worth": 0.1,
		"parties": []object{tenant("fjordmat", 14, 0.33), tenant("bryggekjokken", 13, 0.31),
			tenant("nordpizza", 8, 0.18), tenant("smaabiten", 8, 0.18)},
		"reporting": object{"fields": []string{"avg_ms", "waiting", "x0", "x1"}, "how": "pull"},
		"round":     0.004,
		"rules": object{"ask_every": 10.0, "cold_from": 0.3, "drain_grace": 2.0, "fall": 3.0, "fall_multiple": 3.0,
			"grace_to_answer": 0.016, "warm_after": 8.6},
		"stages": []string{"soneserver"}, "tier": 0, "weight_source": "silent", "zone": zone,
	}
}

// lane returns the settings of a class, to be changed in place.
func lane(settings object, name string) object {
	for _, l := range settings["lanes"].([]object) {
		if l["name"] == name {
			return l
		}
	}
	panic("no class " + name)
}

// config returns a dispatcher's configuration file.
func config(name, listen, discovery string, settings object) object {
	return object{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    object{"seq": 1, "whole": true, "hosts": []object{}},
		"settings": settings,
	}
}

// sorted returns the keys of a map in order.
func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// get sends a GET request on a new connection.
func get(address, path string) (status int, body []byte) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, nil
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address)
	var all bytes.Buffer
	_, _ = all.ReadFrom(c)
	head, body, _ := bytes.Cut(all.Bytes(), []byte("\r\n\r\n"))
	_, _ = fmt.Sscanf(string(head), "HTTP/1.1 %d", &status)
	return status, body
}

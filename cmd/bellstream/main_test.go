package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// TestMain runs the program instead of the tests if BELLSTREAM_MAIN is set, so that tests can start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv("BELLSTREAM_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startProgram starts the program with a configuration and returns it and its log.
func startProgram(t *testing.T, config string) (*exec.Cmd, *bufio.Reader) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, config)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "BELLSTREAM_MAIN=1", "RELAY_CONFIG="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return cmd, bufio.NewReader(log)
}

func writeFile(t *testing.T, path, config string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestInvalidConfigurationFailsStart(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	for _, config := range []string{"{", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","control":"here","settings":{"lanes":[{"name":"c","semantics":"safe"}]}}`,
		fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","control":%q,"settings":{"lanes":[{"name":"c","semantics":"safe"}]}}`, occupied.Addr()),
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}`,
		fmt.Sprintf(`{"listen":%q,"discovery":"127.0.0.1:1","settings":{"lanes":[{"name":"c","semantics":"safe"}]}}`, occupied.Addr())} {
		cmd, log := startProgram(t, config)
		out, _ := io.ReadAll(log)
		if err := cmd.Wait(); err == nil || !strings.HasPrefix(string(out), "bellstream: ") || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: exit %v, log %q, want a failure and one line that begins with bellstream:", config, err, out)
		}
	}
}

// sampleConfig is a format for a configuration. Its arguments are the addresses of discovery and of the one target.
const sampleConfig = `{"name":"n","listen":"127.0.0.1:0","discovery":%[1]q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":64,"sockets":128},
 "known":{"seq":7,"whole":true,"hosts":[{"host":"s","dial":%[2]q,"site":"z","health":"active"},
  {"host":"u","dial":%[2]q,"site":"z","health":"active"}]},
 "settings":{"balancers":1,"zone":"z","membership_mode":"pushed","round":0.004,
  "lanes":[{"name":"c","aim":1,"hard_limit":60,"semantics":"unsafe"}],"caps":{"max_attempts":1}}}`

const job = "POST /c HTTP/1.1\r\nHost: x\r\nRequest-Id: r\r\nRequest-Timeout: 30\r\nContent-Length: 2\r\n\r\nhi"

// waitForLog reads the log up to a line whose message contains words, and returns the rest of the message after them.
func waitForLog(t *testing.T, log *bufio.Reader, words string) string {
	t.Helper()
	for {
		line, err := log.ReadString('\n')
		var entry struct{ Message string }
		json.Unmarshal([]byte(line), &entry)
		if _, rest, ok := strings.Cut(entry.Message, words); ok {
			return rest
		}
		if err != nil {
			t.Fatalf("log ended without %q", words)
		}
	}
}

// waitUntilReady waits until the health check at addr succeeds, which requires a first list from discovery.
func waitUntilReady(t *testing.T, addr string) {
	t.Helper()
	wiretest.Until(t, "the program to be ready", func() bool {
		c := dial(t, addr)
		defer c.Close()
		io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		got, _ := c.Status(t)
		return got == 200
	})
}

// SIGHUP while a job runs: an invalid file changes nothing; with a new discovery address the new service is watched at
// once and the old watch ends; and neither many SIGHUPs nor one together with SIGTERM prevents the job's answer.
func TestReloads(t *testing.T) {
	target, old, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t), wiretest.NewDiscovery(t)
	cmd, log := startProgram(t, fmt.Sprintf(sampleConfig, old.Addr, target.Addr))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "RELAY_CONFIG=")
	wiretest.Get(t, old.Calls, "the watch")
	client := dial(t, waitForLog(t, log, "listens on "))
	io.WriteString(client, job)
	call := wiretest.Get(t, target.Calls, "the job")
	next := fmt.Sprintf(sampleConfig, discovery.Addr, target.Addr)
	writeFile(t, path, next[:len(next)/2])
	cmd.Process.Signal(syscall.SIGHUP)
	waitForLog(t, log, "the old configuration stays in force")
	writeFile(t, path, strings.Replace(next, "127.0.0.1:0", "127.0.0.1:1", 1))
	cmd.Process.Signal(syscall.SIGHUP)
	waitForLog(t, log, "discovery address is now "+discovery.Addr)
	waitForLog(t, log, "listen address stay")
	if c := wiretest.Get(t, discovery.Calls, "the new watch"); c.Req.URL.Query().Get("index") != "7" {
		t.Errorf("new watch: got URL %s, want index 7", c.Req.URL)
	}
	wiretest.Get(t, old.Ends, "the old watch's end")
	for range 20 {
		cmd.Process.Signal(syscall.SIGHUP)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	waitForLog(t, log, "draining")
	call.WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"one"}`))
	if got, body := client.Status(t); got != 200 || body != "one" {
		t.Errorf("response: got %d %q, want 200 and one", got, body)
	}
	client.Close()
	io.Copy(io.Discard, log)
	if err := cmd.Wait(); err != nil || len(old.Calls) > 0 {
		t.Errorf("exit: got %v, want success; old discovery got %d more watches, want 0", err, len(old.Calls))
	}
}

// A job is served although SIGTERM arrives while it runs, and so are jobs that arrive after the signal.
func TestServesAndDrains(t *testing.T) {
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	cmd, log := startProgram(t, fmt.Sprintf(sampleConfig, discovery.Addr, target.Addr))
	wiretest.Get(t, discovery.Calls, "the watch")
	addr := waitForLog(t, log, "listens on ")
	waitUntilReady(t, addr)
	client := dial(t, addr)
	io.WriteString(client, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	if got, _ := client.Status(t); got != 200 {
		t.Fatalf("health check: got status %d, want 200", got)
	}
	io.WriteString(client, job)
	call := wiretest.Get(t, target.Calls, "the job")
	cmd.Process.Signal(syscall.SIGTERM)
	waitForLog(t, log, "retiring")
	// Requests are still served while retiring, but the health check fails so that no new clients are sent here.
	third := dial(t, addr)
	io.WriteString(third, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	if got, _ := third.Status(t); got != 503 {
		t.Errorf("health check after the signal: got status %d, want 503", got)
	}
	io.WriteString(third, strings.Replace(job, "Request-Id: r", "Request-Id: p", 1))
	wiretest.Get(t, target.Calls, "the third job").WriteRaw(wiretest.Lines(true, `{"id":"p","state":"done","result":"three"}`))
	resp, err := http.ReadResponse(third.Reader, nil)
	if err != nil || resp.StatusCode != 200 || resp.Close {
		t.Errorf("job while retiring: got %+v, %v; want 200 without a close", resp, err)
	}
	if err == nil {
		resp.Body.Close()
	}
	third.Close()
	waitForLog(t, log, "draining")
	// Clients that connect while draining are answered too.
	second := dial(t, addr)
	io.WriteString(second, strings.Replace(job, "Request-Id: r", "Request-Id: q", 1))
	other := wiretest.Get(t, target.Calls, "the second job")
	other.WriteRaw(wiretest.Lines(true, `{"id":"q","state":"done","result":"two"}`))
	call.WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"one"}`))
	for c, want := range map[*wiretest.Client]string{client: "one", second: "two"} {
		resp, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 || string(body) != want || !resp.Close {
			t.Errorf("response while draining: got %d %q, close %v; want 200 %q and a close", resp.StatusCode, body, resp.Close, want)
		}
		c.Ended(t)
		c.Close()
	}
	io.Copy(io.Discard, log)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: got %v, want success", err)
	}
}

func dial(t *testing.T, addr string) *wiretest.Client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &wiretest.Client{Conn: c, Reader: bufio.NewReader(c)}
}

// Subcommands report errors by file, line and key, and misuse exits with 2.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.hcl"), filepath.Join(dir, "bad.hcl")
	writeFile(t, good, "peers {\n  listen = \"127.0.0.1:0\"\n  cluster = \"c\"\n}\ncounts {\n  max_error = 0.2\n}\n")
	writeFile(t, bad, "peers {\n  listen = \"127.0.0.1:0\"\n  cluster = \"c\"\n}\ncounts {\n  staleness = \"soon\"\n  floor = 2\n}\n")
	conf := filepath.Join(dir, "config.json")
	writeFile(t, conf, fmt.Sprintf(sampleConfig, "127.0.0.1:1", "127.0.0.1:1"))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, 0, "bellstream "},
		{[]string{"--help"}, 0, "serve"},
		{[]string{"check", good}, 0, "in order"},
		{[]string{"check", "--config", conf, good}, 0, "moves within"},
		{[]string{"check", bad}, 1, "bad.hcl:6: counts.staleness: \"soon\""},
		{[]string{"check", bad}, 1, "bad.hcl:7: counts.floor: 2"},
		{[]string{"check", filepath.Join(dir, "none.hcl")}, 1, "no such file"},
		{[]string{"peers"}, 1, "--admin"},
		{[]string{"control", "--at", "127.0.0.1:1", "STATUS"}, 1, "connection refused"},
		{[]string{"control", "--at", "127.0.0.1:1", "SUSPEND"}, 1, "SUSPEND wants the id of a worker"},
		{[]string{"serve", "--help"}, 0, "RELAY_INHERITED_FD"},
		{[]string{"serve", "--file", bad, "--config", conf}, 1, "bad.hcl:6"},
		{[]string{"serve", "--file=" + bad, "--config=" + conf}, 1, "bad.hcl:6"},
		{[]string{"--file", bad, "--config", conf}, 1, "bad.hcl:6"}, // serve is the default
		{[]string{"check", good, "--config", conf}, 0, "moves within"},
		{[]string{"check", "--", good}, 0, "in order"},
		{[]string{"check", "--", good, "--config"}, 2, "unexpected argument --config"},
		{[]string{"check", "--help"}, 0, "--config FILE"},
		{[]string{"check"}, 2, "expected FILE"},
		{[]string{"check", good, bad}, 2, "unexpected argument " + bad},
		{[]string{"control", "STATUS"}, 2, "missing flags: --at"},
		{[]string{"control", "--at", "127.0.0.1:1"}, 2, "expected LINE"},
		{[]string{"peers", "--nonsense"}, 2, "-nonsense"},
		{[]string{"nonsense"}, 2, "unexpected argument nonsense"},
	} {
		cmd := exec.Command(os.Args[0], c.args...)
		cmd.Env = append(os.Environ(), "BELLSTREAM_MAIN=1", "RELAY_CONFIG=", "BELLSTREAM_FILE=", "RELAY_CONTROL=")
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%v: got exit code %d and output %s; want %d and %q", c.args, code, out, c.code, c.want)
		}
	}
}

// Waiting jobs are shown by the metrics and by the command "waiting". A reload of a valid operator's file changes the
// bound on waiting; a reload of an invalid one logs the error with its line and changes nothing.
func TestWaitingJobsAreShown(t *testing.T) {
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	file := filepath.Join(t.TempDir(), "operator.hcl")
	const head = "admin {\n  listen = \"127.0.0.1:0\"\n}\nwaiting {}\n"
	writeFile(t, file, head)
	t.Setenv("BELLSTREAM_FILE", file)
	cmd, log := startProgram(t, fmt.Sprintf(sampleConfig, discovery.Addr, target.Addr))
	admin := waitForLog(t, log, "admin listens on ")
	client := dial(t, waitForLog(t, log, " listens on "))
	wiretest.Get(t, discovery.Calls, "the watch")
	io.WriteString(client, job)
	call := wiretest.Get(t, target.Calls, "the job")
	child := dial(t, client.RemoteAddr().String())
	io.WriteString(child, strings.Replace(job, "Request-Id: r", "Request-Id: s\r\nWait-For: r", 1))
	waitForMetric := func(want string) {
		t.Helper()
		var out strings.Builder
		// The child may not have arrived yet.
		for end := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), want); {
			out.Reset()
			resp, err := http.Get("http://" + admin + "/metrics")
			if err != nil || time.Now().After(end) {
				t.Fatalf("metrics: error %v, want %q in %s", err, want, out.String())
			}
			io.Copy(&out, resp.Body)
			resp.Body.Close()
		}
	}
	waitForMetric(`bellstream_queue_jobs{class="c",stage="held",tenant="other"} 1`)
	waitForMetric("bellstream_waiting_jobs 1")
	waitForMetric(`bellstream_first_hops_total{class="c"} 1`)
	http.DefaultClient.CloseIdleConnections()
	show := exec.Command(os.Args[0], "waiting", "--admin", admin)
	show.Env = append(os.Environ(), "BELLSTREAM_MAIN=1")
	if out, err := show.CombinedOutput(); err != nil || !strings.Contains(string(out), "held") || !strings.Contains(string(out), "1 jobs, ") {
		t.Errorf("waiting: error %v, output %s", err, out)
	}
	writeFile(t, file, head+"ageing {\n  max_wait = \"5s\"\n  classes = [\"none\"]\n}\n")
	cmd.Process.Signal(syscall.SIGHUP)
	if rest := waitForLog(t, log, "reload: "+file); !strings.Contains(rest, ":7") || !strings.Contains(rest, `there is no class "none"`) {
		t.Errorf("reload of an invalid file: got log text %q", rest)
	}
	writeFile(t, file, head+"ageing {\n  max_wait = \"5s\"\n  classes = [\"c\"]\n}\n")
	cmd.Process.Signal(syscall.SIGHUP)
	waitForLog(t, log, "reload: class c: sent within 5 s or rejected on arrival")
	call.WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"one"}`))
	call = wiretest.Get(t, target.Calls, "the child job")
	call.WriteRaw(wiretest.Lines(true, `{"id":"s","state":"done","result":"two"}`))
	if got, body := child.Status(t); got != 200 || body != "two" {
		t.Errorf("response to the child: got %d %q, want 200 and two", got, body)
	}
	client.Close()
	child.Close()
	cmd.Process.Signal(syscall.SIGTERM)
	io.Copy(io.Discard, log)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: got %v, want success", err)
	}
}

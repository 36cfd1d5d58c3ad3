package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test binary also run as bellstream-lab, if LAB_MAIN is set, and as the program that an experiment
// starts, if LAB_STAND_IN and RELAY_CONFIG are set: a server that answers every request with 200 and writes its process
// id to the file named by LAB_STAND_IN.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv("LAB_STAND_IN") != "" && os.Getenv("RELAY_CONFIG") != "":
		raw, _ := os.ReadFile(os.Getenv("RELAY_CONFIG"))
		var c struct{ Listen string }
		json.Unmarshal(raw, &c)
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			os.Exit(1)
		}
		os.WriteFile(os.Getenv("LAB_STAND_IN"), []byte(strconv.Itoa(os.Getpid())), 0o600)
		http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	case os.Getenv("LAB_MAIN") != "":
		main()
	default:
		os.Exit(m.Run())
	}
}

// After Ctrl-C in the middle of a run, the result is void, the report is written, and the processes and files
// of the experiment are removed.
func TestInterruptVoidsRunAndCleansUp(t *testing.T) {
	dir := t.TempDir()
	pidFile, reportFile, temp := filepath.Join(dir, "pid"), filepath.Join(dir, "report.html"), filepath.Join(dir, "temp")
	os.Mkdir(temp, 0o700)
	cmd := exec.Command(os.Args[0], "run", "silent", "--quick", "--seed", "3", "--json", "--report", reportFile, "--program", os.Args[0])
	cmd.Env = append(os.Environ(), "LAB_MAIN=1", "LAB_STAND_IN="+pidFile, "TMPDIR="+temp)
	var out strings.Builder
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(15 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not within 15 s: %s", what)
			}
		}
	}
	pid := 0
	until("the experiment's process has started", func() bool {
		raw, err := os.ReadFile(pidFile)
		pid, _ = strconv.Atoi(string(raw))
		return err == nil && pid > 0
	})
	cmd.Process.Signal(os.Interrupt)
	cmd.Wait()
	var r struct {
		Void string
		Held bool
	}
	if err := json.Unmarshal([]byte(out.String()), &r); err != nil || cmd.ProcessState.ExitCode() != 1 || r.Held || !strings.Contains(r.Void, "ended") {
		t.Errorf("interrupted run: got exit code %d, error %v, output %s", cmd.ProcessState.ExitCode(), err, out.String())
	}
	if raw, err := os.ReadFile(reportFile); err != nil || !strings.Contains(string(raw), "Void: it was ended") {
		t.Errorf("report of the interrupted run: got error %v, text %.100s", err, raw)
	}
	until("the experiment's process has ended", func() bool { return errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) })
	if left, _ := os.ReadDir(temp); len(left) > 0 {
		t.Errorf("files left in the temporary folder: %v", left)
	}
}

func TestMisuse(t *testing.T) {
	for _, args := range [][]string{{"run", "nonsense"}, {"run", "scale", "--without", "luck"}, {"load"}, {"load", "127.0.0.1:1", "--rate", "0"}, {"load", "127.0.0.1:1", "--trace", "none.jsonl"}} {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), "LAB_MAIN=1")
		if out, err := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 2 {
			t.Errorf("arguments %v: got error %v, output %s, want exit code 2", args, err, out)
		}
	}
}

// If the load tool runs out of file descriptors, it ends and reports the run as void, with the reason.
func TestDescriptorsUsedUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})}
	go server.Serve(l)
	defer server.Close()
	defer close(release)
	cmd := exec.Command("sh", "-c", `ulimit -n 32; exec "$0" load "$1" --rate 400 --span 0.5 --class a:1:0.5 --json`, os.Args[0], l.Addr().String())
	cmd.Env = append(os.Environ(), "LAB_MAIN=1")
	raw, _ := cmd.Output()
	var r struct {
		Void     string
		NoSocket int `json:"no_socket"`
		Jobs     int
		Status   map[string]int
	}
	if err := json.Unmarshal(raw, &r); err != nil || cmd.ProcessState.ExitCode() != 1 || r.NoSocket == 0 || !strings.Contains(r.Void, "descriptor") || r.Status["none"] != r.Jobs {
		t.Errorf("load without descriptors: got exit code %d, error %v, output %s", cmd.ProcessState.ExitCode(), err, raw)
	}
}

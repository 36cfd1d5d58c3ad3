package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// heldUp is how long a process may be held up, by the operators' page.
const heldUp = 150 * time.Millisecond

// manyWorkers returns a configuration with workers that all have the target's address.
func manyWorkers(discovery, target string, workers int) string {
	var hosts []string
	for n := range workers {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s%d","dial":%q,"site":"z","health":"active"}`, n, target))
	}
	conf := strings.Replace(fmt.Sprintf(sampleConfig, discovery, target), `"sockets":128`, `"sockets":1024`, 1)
	from, to := strings.Index(conf, `{"host":"s"`), strings.Index(conf, `]}`)
	return conf[:from] + strings.Join(hosts, ",") + conf[to:]
}

func jobWithID(id string) string { return strings.Replace(job, "Request-Id: r", "Request-Id: "+id, 1) }

// An id that a process has accepted is rejected by each process that starts beside it: of running jobs, of waiting
// ones and of those whose clients have left, also if the former process does not run meanwhile, and by the third one.
func TestIDsAreKnownToLaterProcesses(t *testing.T) {
	const workers, jobs = 6, 24
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	s := newSite(t, manyWorkers(discovery.Addr, target.Addr, workers))
	addr := s.listener.Addr().String()
	old := s.start()
	old.waitUntilReady(t)
	runs := map[string]int{}
	var clients []*wiretest.Client
	for n := range jobs {
		c := dial(t, addr)
		defer c.Close()
		io.WriteString(c, jobWithID(fmt.Sprint("j", n)))
		clients = append(clients, c)
		if n < workers {
			runs[wiretest.Get(t, target.Calls, "a job").Req.Header.Get("Request-Id")]++
		}
	}
	kept := dial(t, addr)
	defer kept.Close()
	if got := checkHealth(t, kept); got != 200 {
		t.Fatalf("health check: got status %d, want 200", got)
	}
	for _, c := range clients[:workers/2] {
		c.Close()
	}
	// waitUntilAccepted waits until an id, which was sent before, is in use.
	waitUntilAccepted := func(id string) {
		t.Helper()
		wiretest.Until(t, "the id "+id+" to be in use", func() bool {
			c := dial(t, addr)
			defer c.Close()
			c.SetDeadline(time.Now().Add(time.Second)) // this one may be the one that is accepted
			io.WriteString(c, jobWithID(id))
			answer, err := http.ReadResponse(c.Reader, nil)
			if err != nil {
				return false
			}
			answer.Body.Close()
			return answer.StatusCode == 409
		})
	}
	waitUntilAccepted(fmt.Sprint("j", jobs-1))
	checkRejected := func(what string) {
		t.Helper()
		for n := range jobs {
			c := dial(t, addr)
			c.SetDeadline(time.Now().Add(2 * time.Second))
			io.WriteString(c, jobWithID(fmt.Sprint("j", n)))
			if got, _ := c.Status(t); got != 409 {
				t.Errorf("%s: id j%d got status %d, want 409", what, n, got)
			}
			c.Close()
		}
	}
	old.Process.Signal(syscall.SIGSTOP)
	began := time.Now()
	next := s.start()
	next.waitUntilReady(t)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the second process was ready after %v beside a stopped one, want at most 5 s", took)
	}
	checkRejected("second process, first one stopped")
	fresh := dial(t, addr)
	defer fresh.Close()
	io.WriteString(fresh, jobWithID("new"))
	waitUntilAccepted("new")
	old.Process.Signal(syscall.SIGCONT)
	io.WriteString(kept, jobWithID("new"))
	if got, _ := kept.Status(t); got != 409 {
		t.Errorf("an id accepted by the second process got status %d from the first one, want 409", got)
	}
	third := s.start()
	third.waitUntilReady(t)
	next.waitForLog(t, "yielding")
	checkRejected("third process")
	old.Process.Kill()
	next.Process.Kill()
	old.Wait()
	next.Wait()
	checkRejected("third process, the others ended")
	last := s.start()
	last.waitUntilReady(t)
	third.waitForLog(t, "yielding")
	third.stop(t)
	checkRejected("fourth process")
	last.stop(t)
	for len(target.Calls) > 0 {
		runs[(<-target.Calls).Req.Header.Get("Request-Id")]++
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("job %s was sent %d times", id, n)
		}
	}
}

// A new process knows the ids that an earlier build beside it has accepted, which that build publishes only once it
// has noticed the new process, also if it is held up then. BELLSTREAM_EARLIER names its executable.
func TestIDsOfEarlierBuildAreKnown(t *testing.T) {
	earlier := os.Getenv("BELLSTREAM_EARLIER")
	if earlier == "" {
		t.Skip("BELLSTREAM_EARLIER names no executable of an earlier build")
	}
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	s := newSite(t, manyWorkers(discovery.Addr, target.Addr, 1))
	addr := s.listener.Addr().String()
	old := s.startProgram(earlier)
	old.waitUntilReady(t)
	defer dial(t, addr).Close()
	c := dial(t, addr)
	defer c.Close()
	io.WriteString(c, jobWithID("j"))
	wiretest.Get(t, target.Calls, "the job")
	old.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(heldUp, func() { old.Process.Signal(syscall.SIGCONT) })
	next := s.start()
	next.waitUntilReady(t)
	for range 200 {
		again := dial(t, addr)
		again.SetDeadline(time.Now().Add(2 * time.Second))
		io.WriteString(again, jobWithID("j"))
		if got, _ := again.Status(t); got != 409 {
			t.Fatalf("the id of a running job got status %d, want 409", got)
		}
		again.Close()
	}
	old.waitForLog(t, "yielding")
	next.stop(t)
}

// A process that is held up while others start beside it must not make them accept an id that is open there, nor
// accept one that they have accepted meanwhile.
func TestIDsAreKnownBesideAProcessThatIsHeldUp(t *testing.T) {
	const rounds = 5
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	s := newSite(t, manyWorkers(discovery.Addr, target.Addr, 8))
	addr := s.listener.Addr().String()
	old := s.start()
	old.waitUntilReady(t)
	runs := map[string]int{}
	for round := range rounds {
		id := fmt.Sprint("j", round)
		open := dial(t, addr)
		defer open.Close()
		io.WriteString(open, jobWithID(id))
		runs[wiretest.Get(t, target.Calls, "the job").Req.Header.Get("Request-Id")]++
		old.Process.Signal(syscall.SIGSTOP)
		resumed := make(chan struct{})
		time.AfterFunc(heldUp, func() { old.Process.Signal(syscall.SIGCONT); close(resumed) })
		began := time.Now()
		next := s.start()
		next.waitUntilReady(t)
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("the new process was ready after %v, want at most 5 s", took)
		}
		for range 100 {
			again := dial(t, addr)
			again.SetDeadline(time.Now().Add(2 * time.Second))
			io.WriteString(again, jobWithID(id))
			if got, _ := again.Status(t); got != 409 {
				t.Fatalf("round %d: the id of a running job got status %d, want 409", round, got)
			}
			again.Close()
		}
		<-resumed
		old.waitForLog(t, "yielding")
		old.Process.Kill()
		old.Wait()
		old = next
	}
	for len(target.Calls) > 0 {
		runs[(<-target.Calls).Req.Header.Get("Request-Id")]++
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("job %s was sent %d times", id, n)
		}
	}
	old.stop(t)
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	openJobs = 20 // that run while a new process starts
	callers  = 8  // bad clients

	stopWithin = 6 * time.Second // from the yes to SIGTERM
)

// playSameID: a new version starts beside the running process. Bad clients send the ids of requests that are open
// there. No job that must not run twice may run again.
func playSameID(s *site) (bool, error) {
	const rounds = 3 // new versions, one after the other
	var err error
	if s.discovery, err = newDiscovery(s.record, 1); err != nil {
		return false, err
	}
	s.fleet = newFleet(s.record, func(string, *rand.Rand) time.Duration { return 2600 * time.Millisecond })
	for i := range 6 {
		w, err := s.fleet.add("s-0badcaf"+string(rune('a'+i)), "sentrum", 1)
		if err != nil {
			return false, err
		}
		s.discovery.set(w.entry("active"))
	}
	former, next, err := s.twoVersions()
	if err != nil {
		return false, err
	}
	if err := former.start(s.root); err != nil {
		return false, err
	}
	if err := former.ready(20 * time.Second); err != nil {
		return false, fmt.Errorf("%w; its log ends:\n%s", err, former.logOf(10))
	}
	s.clients = newClients(s.record, 10, []string{former.listen})
	bad := &badClients{record: s.record, answers: map[int]int{}}
	for range rounds {
		if err := s.upgradeBeside(former, next, bad); err != nil {
			return false, err
		}
		changes, _ := s.discovery.seen()
		former = next
		if next, err = s.nextVersion(former, whole(0, changes)); err != nil {
			return false, err
		}
	}
	runs := map[string]int{}
	twice := 0
	for _, x := range s.fleet.all() {
		if runs[x.id]++; runs[x.id] == 2 {
			twice++
			s.record.add("%s came to %s as its second zone worker at %.3f s", x.id, x.worker, s.record.since(x.first))
		}
	}
	s.record.say("new versions %d, open jobs %d, sent to zone workers a second time %d; answers to bad clients %v",
		rounds, rounds*openJobs, twice, bad.answers)
	return twice == 0 && bad.answers[http.StatusOK] == 0, nil
}

// upgradeBeside starts a new version beside the running process while jobs are open there, and ends the former one.
func (s *site) upgradeBeside(former, next *dispatcher, bad *badClients) error {
	const kill = 3700 * time.Millisecond
	before := len(s.fleet.all())
	for range openJobs {
		s.clients.send(0, unsafeClass, tenants[0], 20*time.Second, nil)
	}
	sent := func() bool { return len(s.fleet.all()) == before+openJobs }
	if err := until(5*time.Second, "all jobs to be sent", s.unexpectedEnd, sent); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if s.trouble {
		all := s.clients.all()
		for range callers {
			wg.Go(func() { bad.play(former.listen, all[len(all)-openJobs:], stop) })
		}
	}
	time.Sleep(200 * time.Millisecond)
	if err := next.start(s.root); err != nil {
		return err
	}
	if err := until(20*time.Second, "the new process to say yes", s.unexpectedEnd, next.saysYes); err != nil {
		return err
	}
	yes := time.Now()
	s.record.add("the new process says yes")
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	if time.Since(yes) > stopWithin {
		return fmt.Errorf("SIGTERM would come %v after the yes", time.Since(yes))
	}
	former.stop(kill)
	s.clients.wait()
	time.Sleep(3 * time.Second) // what was begun ends
	return nil
}

// badClients send requests with ids of open requests, one on a connection, at full speed.
type badClients struct {
	record  *record
	mu      sync.Mutex
	answers map[int]int // by status; 0: closed without one
}

func (b *badClients) play(addr string, jobs []job, stop chan struct{}) {
	for k := rand.IntN(len(jobs)); ; k++ {
		select {
		case <-stop:
			return
		default:
		}
		of := jobs[k%len(jobs)]
		sent := time.Now()
		status := b.once(addr, of)
		if status != http.StatusConflict { // one line for each of the thousands of others would say nothing
			b.record.addAt(sent, "bad client: sent %s, answered %d", of.id, status)
		}
		b.mu.Lock()
		b.answers[status]++
		b.mu.Unlock()
	}
}

func (b *badClients) once(addr string, of job) int {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close() //nolint:errcheck // all is read
	c.SetDeadline(time.Now().Add(4 * time.Second))
	_, err = fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Tenant: %s\r\nRequest-Timeout: 4\r\nContent-Length: 3\r\n\r\nbad", of.class, of.id, of.class, of.tenant)
	if err != nil {
		return 0
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

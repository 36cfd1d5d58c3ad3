package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// halfOpen is a client that sends a request, ends its sending side and waits for the answer.
type halfOpen struct {
	id     string
	status int
	err    error
	unsent error
}

// shutAfter is the time after the last byte at which a client ends its sending: its job runs by then.
const shutAfter = 150 * time.Millisecond

// ask sends one job on a connection of its own. With shut it then ends its sending, as a client does that has no more
// to send; it keeps reading until the answer has come or its time is over. unsent is the error with which the request
// could not be sent.
func ask(addr, class, id string, patience time.Duration, shut bool) halfOpen {
	x := halfOpen{id: id}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		x.unsent = err
		return x
	}
	defer c.Close() //nolint:errcheck // all is read
	c.SetDeadline(time.Now().Add(patience + time.Second))
	body := "order " + id
	_, x.unsent = fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Tenant: fjordmat\r\nRequest-Timeout: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		class, id, class, patience.Seconds(), len(body), body)
	if x.unsent != nil {
		return x
	}
	if shut {
		time.Sleep(shutAfter)
		if x.unsent = c.(*net.TCPConn).CloseWrite(); x.unsent != nil {
			return x
		}
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		x.err = err
		return x
	}
	defer answer.Body.Close() //nolint:errcheck // read below
	if _, x.err = io.ReadAll(answer.Body); x.err == nil {
		x.status = answer.StatusCode
	}
	return x
}

// playHalfClose: one job in five comes from a client that ends its sending after the request.
func playHalfClose(s *site) (bool, error) {
	const (
		jobs     = 100
		patience = 5 * time.Second
	)
	var err error
	if s.discovery, err = newDiscovery(s.record, 2); err != nil {
		return false, err
	}
	s.fleet = newFleet(s.record, func(string, *rand.Rand) time.Duration { return 300 * time.Millisecond })
	for i, zone := range []string{"sentrum", "sentrum", "fana", "fana"} {
		w, err := s.fleet.add("s-0badcaf"+string(rune('a'+i)), zone, 2)
		if err != nil {
			return false, err
		}
		s.discovery.set(w.entry("active"))
	}
	for range 2 {
		if err := s.addDispatcher(2); err != nil {
			return false, err
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost, answers := 0, map[string]int{}
	var unsent error
	for k := range jobs {
		wg.Go(func() {
			shut := s.trouble && k%5 == 0
			class := []string{"sone-oppslag", "kurer-tildeling"}[k%2]
			id := fmt.Sprintf("c6%014x", k)
			s.record.add("client: %s %s to n%d, half-closed: %v", id, class, k%2, shut)
			x := ask(s.dispatchers[k%2].listen, class, id, patience, shut)
			s.record.add("client: %s answered %d %v", id, x.status, x.err)
			mu.Lock()
			defer mu.Unlock()
			unsent = errors.Join(unsent, x.unsent)
			answers[fmt.Sprintf("half-closed %v: %d", shut, x.status)]++
			if x.status == 0 {
				lost++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	begun := 0
	for _, x := range s.fleet.all() {
		if !x.started.IsZero() {
			begun++
		}
	}
	s.record.say("answers: %v; jobs that the zone workers began: %d of %d", answers, begun, jobs)
	s.record.say("%d jobs were taken and their connection ended without an answer", lost)
	return lost == 0, unsent
}

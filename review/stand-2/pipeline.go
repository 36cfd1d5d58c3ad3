package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sentAtOnce is one of several requests that a client has sent at once.
type sentAtOnce struct {
	id     string
	sent   time.Time
	ended  time.Time // zero: no answer
	status int
}

// sendAtOnce writes all requests in one go on one connection, and reads their answers in order. It waits for each until
// its time is over and bound has passed as well; then it gives up the connection. If the dispatcher closes the
// connection between two requests, the others are sent once more, each on a connection of its own, and their time
// begins anew. The error says that requests could not be sent.
func sendAtOnce(addr string, ids []string, patience, bound time.Duration) ([]*sentAtOnce, error) {
	var list []*sentAtOnce
	for _, id := range ids {
		list = append(list, &sentAtOnce{id: id})
	}
	answered, closed, err := exchange(addr, list, patience, bound)
	if err != nil || !closed {
		return list, err
	}
	for _, x := range list[answered:] {
		if _, _, err := exchange(addr, []*sentAtOnce{x}, patience, bound); err != nil {
			return list, err
		}
	}
	return list, nil
}

// exchange sends requests on a new connection and reads the answers. closed means that the dispatcher has closed the
// connection between two requests, after it had answered some.
func exchange(addr string, list []*sentAtOnce, patience, bound time.Duration) (answered int, closed bool, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer c.Close() //nolint:errcheck // all is read
	var text strings.Builder
	for _, x := range list {
		body := "order " + x.id
		_, _ = fmt.Fprintf(&text, "POST /sone-oppslag HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\n"+
			"Request-Class: sone-oppslag\r\nTenant: fjordmat\r\nRequest-Timeout: %.3f\r\nContent-Length: %d\r\n\r\n%s",
			x.id, patience.Seconds(), len(body), body)
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return 0, false, err
	}
	now := time.Now()
	for _, x := range list {
		x.sent = now
	}
	c.SetReadDeadline(now.Add(patience + bound))
	r := bufio.NewReader(c)
	for n, x := range list {
		if _, err := r.Peek(1); err != nil { // the time is over, or the dispatcher has closed the connection
			var late net.Error
			timeIsOver := errors.As(err, &late) && late.Timeout()
			return n, n > 0 && !timeIsOver, nil
		}
		answer, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return n, false, nil
		}
		_, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			return n, false, nil
		}
		x.status, x.ended = answer.StatusCode, time.Now()
		if answer.Close {
			return n + 1, true, nil
		}
	}
	return len(list), false, nil
}

// playPipeline: some clients send eight requests at once on a connection, each with the same time.
func playPipeline(s *site) (bool, error) {
	const (
		n        = 2
		rounds   = 12
		atOnce   = 8
		patience = time.Second
		// An answer up to 0.5 s later only earns nothing; each limit is 50 ms longer; a dispatcher may be held up for
		// 0.15 s.
		bound = 700 * time.Millisecond
	)
	var err error
	if s.discovery, err = newDiscovery(s.record, n); err != nil {
		return false, err
	}
	s.fleet = newFleet(s.record, func(string, *rand.Rand) time.Duration { return 350 * time.Millisecond })
	for i, zone := range []string{"sentrum", "sentrum", "fana", "fana"} {
		w, err := s.fleet.add("s-0badcaf"+string(rune('a'+i)), zone, n)
		if err != nil {
			return false, err
		}
		s.discovery.set(w.entry("active"))
	}
	for range n {
		if err := s.addDispatcher(n); err != nil {
			return false, err
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []*sentAtOnce
	var unsent error
	for round := range rounds {
		var ids []string
		for k := range atOnce {
			ids = append(ids, fmt.Sprintf("a7%08x%06x", round, k))
		}
		groups := [][]string{ids}
		if !s.trouble { // the same requests, one on a connection
			groups = nil
			for _, id := range ids {
				groups = append(groups, []string{id})
			}
		}
		for _, group := range groups {
			s.record.add("client: sends %d at once to n%d: %v", len(group), round%n, group)
			wg.Go(func() {
				list, err := sendAtOnce(s.dispatchers[round%n].listen, group, patience, bound)
				mu.Lock()
				defer mu.Unlock()
				unsent = errors.Join(unsent, err)
				all = append(all, list...)
			})
		}
		time.Sleep(time.Second)
	}
	wg.Wait()
	return s.judgeAtOnce(all, patience, bound), unsent
}

// judgeAtOnce reports whether each request has an answer within its time and bound.
func (s *site) judgeAtOnce(all []*sentAtOnce, patience, bound time.Duration) bool {
	lost, inTime, status := 0, 0, map[int]int{}
	begun := map[string]run{}
	for _, x := range s.fleet.all() {
		begun[x.id] = x
	}
	for _, x := range all {
		status[x.status]++
		ran := "never sent to a zone worker"
		if at, known := begun[x.id]; known {
			ran = fmt.Sprintf("sent to %s %.3f s after its last byte", at.worker, at.first.Sub(x.sent).Seconds())
		}
		if x.status != 0 && x.ended.Sub(x.sent) <= patience+bound {
			inTime++
			s.record.add("client: %s answered %d after %.3f s; %s", x.id, x.status, x.ended.Sub(x.sent).Seconds(), ran)
			continue
		}
		lost++
		s.record.add("client: %s has no answer %.3f s after its last byte; %s", x.id, (patience + bound).Seconds(), ran)
	}
	s.record.say("requests %d: answered in their time and %v more %d, lost %d, answers %v",
		len(all), bound, inTime, lost, status)
	return lost == 0
}

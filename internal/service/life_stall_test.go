package service

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// stallMonitor measures how long the machine delays this process. The test runs both sides of each connection, so a
// time that it measures on a connection may be wrong by such a delay.
type stallMonitor struct {
	mu     sync.Mutex
	stalls []stall
}

type stall struct {
	at       time.Time
	duration time.Duration
}

// watch sends a byte to and fro over a loopback connection until the test ends, and records round trips of over 5 ms.
func (s *stallMonitor) watch(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	go func() {
		defer server.Close()
		io.Copy(server, server)
	}()
	go func() {
		b := make([]byte, 1)
		for {
			start := time.Now()
			client.Write(b)
			if _, err := client.Read(b); err != nil {
				return
			}
			if roundTrip := time.Since(start); roundTrip > 5*time.Millisecond {
				s.mu.Lock()
				s.stalls = append(s.stalls, stall{time.Now(), roundTrip})
				s.mu.Unlock()
			}
			time.Sleep(time.Millisecond)
		}
	}()
}

// maxStallSeconds is the highest delay bound at which the result of a run counts if its loop was stopped with requests
// in flight.
const maxStallSeconds = 0.3

// delayBoundSince returns an upper bound, in seconds, of the time by which an event after from was delayed. A
// disconnect or an answer passes through three goroutines, and each may have been delayed by the longest stall since
// from.
func (s *stallMonitor) delayBoundSince(from time.Time) (bound float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.stalls {
		if x.at.After(from) {
			bound = max(bound, 3*x.duration.Seconds())
		}
	}
	return bound
}

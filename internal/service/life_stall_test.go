package service

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// stallMonitor measures by how much the machine holds this program up: what a time on the wire may be
// off by, as both sides of it are played here.
type stallMonitor struct {
	mu     sync.Mutex
	stalls []stall
}

type stall struct {
	at       time.Time
	duration time.Duration
}

// watch sends a byte to and fro over the loopback until it is closed.
func (s *stallMonitor) watch(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	here, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	there, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close() })
	go func() {
		defer there.Close()
		io.Copy(there, there)
	}()
	go func() {
		b := make([]byte, 1)
		for {
			began := time.Now()
			here.Write(b)
			if _, err := here.Read(b); err != nil {
				return
			}
			if late := time.Since(began); late > 5*time.Millisecond {
				s.mu.Lock()
				s.stalls = append(s.stalls, stall{time.Now(), late})
				s.mu.Unlock()
			}
			time.Sleep(time.Millisecond)
		}
	}()
}

// maxStallSeconds is the bound above which a play with a stop in its midst proves nothing.
const maxStallSeconds = 0.3

// delayBoundSince is a bound for what happened since a time, in seconds: a leave or an answer goes by way
// of three goroutines, each of which may have been held up as long as the longest time seen.
func (s *stallMonitor) delayBoundSince(from time.Time) (most float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.stalls {
		if x.at.After(from) {
			most = max(most, 3*x.duration.Seconds())
		}
	}
	return most
}

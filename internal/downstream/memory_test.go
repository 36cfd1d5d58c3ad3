package downstream

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

func largeJob(id string, length int, sent int) string {
	return fmt.Sprintf("POST /safe HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, length, strings.Repeat("x", sent))
}

// A head with very many short fields takes up far more memory than its bytes once it is parsed, so it is rejected.
func TestTooManyFields(t *testing.T) {
	for _, c := range []struct{ fields, want int }{{maxFields, 200}, {maxFields + 1, 431}, {1500, 431}} {
		synctest.Test(t, func(t *testing.T) {
			_, d, l := startServer(t, 8)
			client := l.Dial()
			defer client.Close()
			head := "POST /safe HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", c.fields-3) + "\r\n"
			go io.WriteString(client, head)
			if c.want == 200 {
				r := wiretest.Get(t, d.arrivals, "an arrival")
				r.Answer(Answer{Status: 200})
			}
			if got, _ := client.Status(t); got != c.want {
				t.Errorf("%d fields: got %d, want %d", c.fields, got, c.want)
			}
		})
	}
}

// The memory of requests stays within its limit: large requests beyond it are rejected with 503, small ones are served,
// and the memory is free again after an answer, an abort and a timeout, with a known and an unknown length.
func TestLimitOfRequestMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, l := startServer(t, 64)
		s.SetRequestMemory(2 * 65536)
		used := func() int64 {
			s.memory.mu.Lock()
			defer s.memory.mu.Unlock()
			return s.memory.used
		}
		send := func(raw string) *wiretest.Client {
			c := l.Dial()
			c.SetDeadline(time.Now().Add(time.Minute))
			go io.WriteString(c, raw)
			synctest.Wait()
			return c
		}
		first := send(largeJob("1", 60000, 60000))
		accepted := wiretest.Get(t, d.arrivals, "the first request")
		stalled := send(largeJob("2", 65536, 60000))
		if got := used(); got < 125536 || got > 2*65536 {
			t.Errorf("%d bytes are reserved for two large requests", got)
		}
		for _, raw := range []string{largeJob("3", 60000, 60000),
			strings.Replace(largeJob("4", 7, 0), "Content-Length: 7", "Transfer-Encoding: chunked", 1) + "ea60\r\n" + strings.Repeat("x", 60000)} {
			rejected := send(raw)
			if got, _ := rejected.Status(t); got != 503 {
				t.Errorf("a large request beyond the limit got status %d, want 503", got)
			}
			rejected.Close()
		}
		small := send(largeJob("5", 1000, 1000))
		r := wiretest.Get(t, d.arrivals, "a small request")
		r.Answer(Answer{Status: 200})
		if got, _ := small.Status(t); got != 200 {
			t.Errorf("a small request got status %d, want 200", got)
		}
		small.Close()
		if got, _ := stalled.Status(t); got != 408 {
			t.Errorf("a request that is not sent to its end got status %d, want 408", got)
		}
		stalled.Close()
		accepted.Answer(Answer{Status: 200})
		if got, _ := first.Status(t); got != 200 {
			t.Errorf("the first request got status %d, want 200", got)
		}
		first.Close()
		left := send(largeJob("6", 60000, 60000))
		wiretest.Get(t, d.arrivals, "a request whose client leaves")
		left.Close()
		synctest.Wait()
		aborted := send(largeJob("7", 60000, 30000))
		aborted.Close()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if got := used(); got != 0 {
			t.Errorf("%d bytes are still reserved after all requests have ended", got)
		}
	})
}

// Clients that stop half way through a large request don't keep those that send theirs from being served.
func TestStalledRequestsYieldTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, l := startServer(t, 64)
		s.SetRequestMemory(8 * 65536)
		for n := range 8 {
			stalled := l.Dial()
			defer stalled.Close()
			go io.WriteString(stalled, largeJob(fmt.Sprint("s", n), 65536, 60000))
		}
		time.Sleep(2 * newConnGrace)
		synctest.Wait()
		usual := l.Dial()
		defer usual.Close()
		go io.WriteString(usual, largeJob("usual", 60000, 60000))
		r := wiretest.Get(t, d.arrivals, "the usual request")
		r.Answer(Answer{Status: 200})
		if got, _ := usual.Status(t); got != 200 {
			t.Errorf("got status %d, want 200", got)
		}
	})
}

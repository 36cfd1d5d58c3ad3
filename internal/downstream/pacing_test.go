package downstream

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// Clients that send unsound requests or health checks at full speed must not take up the processor: beyond a burst,
// their answers are spread, and each comes within 3 s. A first health check on a connection is answered at once.
func TestUnsoundRequestsArePaced(t *testing.T) {
	for _, c := range []struct {
		name, request string
		want          int
		endsConn      bool
	}{
		{"no id", "POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 400, true},
		{"unknown class", "POST /none HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n", 404, true},
		{"health checks", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const clients, requests = 20, 100
				s, d, l := startServer(t, 64)
				began := time.Now()
				done := make(chan time.Duration, clients)
				for range clients {
					go func() {
						slowest := time.Duration(0)
						var conn *wiretest.Client
						for range requests {
							if conn == nil {
								conn = l.Dial()
							}
							sent := time.Now()
							conn.SetDeadline(sent.Add(time.Minute))
							io.WriteString(conn, c.request)
							if got, _ := conn.Status(t); got != c.want {
								t.Errorf("got status %d, want %d", got, c.want)
							}
							slowest = max(slowest, time.Since(sent))
							if c.endsConn {
								conn.Close()
								conn = nil
							}
						}
						if conn != nil {
							conn.Close()
						}
						done <- slowest
					}()
				}
				for range clients {
					if slowest := <-done; slowest > 3*time.Second {
						t.Errorf("an answer took %v, want at most 3 s", slowest)
					}
				}
				least := time.Duration(clients*requests-pacedBurst-clients) * time.Second / pacedRate
				if took := time.Since(began); took < least {
					t.Errorf("%d requests were answered within %v, want at least %v", clients*requests, took, least)
				}
				usual := l.Dial()
				usual.SetDeadline(time.Now().Add(time.Minute))
				defer usual.Close()
				asked := time.Now()
				io.WriteString(usual, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
				if got, _ := usual.Status(t); got != 200 || time.Since(asked) > 0 {
					t.Errorf("a first health check got status %d after %v, want 200 at once", got, time.Since(asked))
				}
				io.WriteString(usual, job("1"))
				wiretest.Get(t, d.arrivals, "a job").Answer(Answer{Status: 200})
				if got, _ := usual.Status(t); got != 200 {
					t.Errorf("a job got status %d, want 200", got)
				}
				if synctest.Wait(); s.InFlight() != 0 {
					t.Errorf("%d requests are in flight", s.InFlight())
				}
			})
		})
	}
}

// Connections whose unsound requests wait for their answers must not keep new clients out.
func TestPacedConnectionsYieldToNewClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConns = 32
		s, d, l := startServer(t, maxConns)
		for range pacedBurst + 2000 { // the answers to come are due in 2 s
			s.rejections.reserve(time.Now())
		}
		for range maxConns + maxConns/spareDivisor {
			bad := l.Dial()
			bad.SetDeadline(time.Now().Add(time.Minute))
			go func() {
				io.WriteString(bad, "POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
				bad.Status(t)
				bad.Close()
			}()
		}
		synctest.Wait()
		began := time.Now()
		usual := l.Dial()
		usual.SetDeadline(time.Now().Add(time.Minute))
		defer usual.Close()
		go io.WriteString(usual, job("1"))
		wiretest.Get(t, d.arrivals, "a job").Answer(Answer{Status: 200})
		if got, _ := usual.Status(t); got != 200 || time.Since(began) > 100*time.Millisecond {
			t.Errorf("a new client got status %d after %v, want 200 within 0.1 s", got, time.Since(began))
		}
		time.Sleep(5 * time.Second)
	})
}

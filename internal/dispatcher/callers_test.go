package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/settings"
)

// serialDiscovery is a discovery that serves its calls one after the other, in virtual time. A call that would wait
// longer than maxWait gets 503 after maxWait. A call whose caller has disconnected still takes its service time.
type serialDiscovery struct {
	sync.Mutex
	serviceTime, maxWait time.Duration
	servesRejected       bool // rejected calls take their service time too
	seq                  int
	up                   bool
	dialOverride         func(context.Context) (net.Conn, error) // replaces dialling; nil: connections are established
	freeAt               time.Time                               // when the last waiting call has been served
	open, silenced       []net.Conn                              // silenced ones stay open but receive nothing more
	calls, rejected      int                                     // all calls, and those rejected
}

func (s *serialDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	s.Lock()
	defer s.Unlock()
	if s.calls++; s.dialOverride != nil {
		override := s.dialOverride
		s.Unlock()
		defer s.Lock()
		return override(ctx)
	}
	if !s.up {
		return nil, syscall.ECONNREFUSED
	}
	local, remote := net.Pipe()
	s.open = append(s.open, remote)
	go s.serve(remote)
	return local, nil
}

func (s *serialDiscovery) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	s.Lock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	turn := s.freeAt.Sub(now)
	if turn > s.maxWait {
		s.rejected++
		if s.servesRejected {
			s.freeAt = s.freeAt.Add(s.serviceTime)
		}
		s.Unlock()
		time.Sleep(s.maxWait)
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	}
	s.freeAt = s.freeAt.Add(s.serviceTime)
	s.Unlock()
	time.Sleep(turn + s.serviceTime)
	line := fmt.Sprintf(strings.ReplaceAll(cachedListJSON, `"seq":1`, `"seq":%d`), s.currentSeq())
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line); err != nil {
			return
		}
		time.Sleep(2 * time.Second)
		line = ""
		s.Lock()
		silenced := slices.Contains(s.silenced, c)
		s.Unlock()
		if silenced {
			io.Copy(io.Discard, c)
			return
		}
	}
}

func (s *serialDiscovery) currentSeq() int {
	s.Lock()
	defer s.Unlock()
	return s.seq
}

// counts returns the number of calls, and how many of them were rejected.
func (s *serialDiscovery) counts() (calls, rejected int) {
	s.Lock()
	defer s.Unlock()
	return s.calls, s.rejected
}

// closeWatches closes all open watches and increments the version. Discovery stays up.
func (s *serialDiscovery) closeWatches() {
	s.Lock()
	defer s.Unlock()
	for _, c := range s.open {
		c.Close()
	}
	s.seq, s.open = s.seq+1, nil
}

// interruptWatches silences all open connections if discovery stays up, or closes them if it goes down, and
// increments the version of the list.
func (s *serialDiscovery) interruptWatches(up bool) {
	s.Lock()
	defer s.Unlock()
	if s.seq, s.up = s.seq+1, up; up {
		s.silenced = append(s.silenced, s.open...)
	} else {
		for _, c := range s.open {
			c.Close()
		}
	}
	s.open = nil
}

// dispatcherGroup runs dispatchers against serialDiscoveries and records when each was first notified of a version.
type dispatcherGroup struct {
	dispatchers []*Dispatcher
	mu          sync.Mutex
	notifiedAt  []map[int64]time.Time
	running     sync.WaitGroup
}

func runGroup(t *testing.T, n int, mode, known string, dials map[string]*serialDiscovery) *dispatcherGroup {
	m := &dispatcherGroup{notifiedAt: make([]map[int64]time.Time, n)}
	for i := range n {
		s, err := settings.Parse([]byte(strings.Replace(strings.Replace(settingsJSON, "on_request", mode, 1), `"balancers":1`, fmt.Sprintf(`"balancers":%d`, n), 1)))
		if err != nil {
			t.Fatal(err)
		}
		m.notifiedAt[i] = map[int64]time.Time{}
		r := &rig{t: t}
		d, err := New(Options{Settings: s, Seed: uint64(i + 1), CachedEndpoints: []byte(known), Upstream: r, Phases: &Phases{}, Log: func(string, ...any) {}, Now: time.Now,
			Discovery: "one", Watch: func(ctx context.Context, at string, seq int64, each func(*endpoints.Update)) error {
				return endpoints.WatchOver(ctx, dials[at].dial, at, seq, func(u *endpoints.Update) {
					each(u)
					m.mu.Lock()
					defer m.mu.Unlock()
					if m.notifiedAt[i][u.Seq].IsZero() {
						m.notifiedAt[i][u.Seq] = time.Now()
					}
				})
			}})
		if err != nil {
			t.Fatal(err)
		}
		m.dispatchers = append(m.dispatchers, d)
		m.running.Go(func() { d.Run(r) })
	}
	return m
}

// maxNotifyDelay returns how long after from the last dispatcher was notified of a version. A dispatcher that was not
// notified counts as one hour.
func (m *dispatcherGroup) maxNotifyDelay(seq int64, from time.Time) (worst time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seqs := range m.notifiedAt {
		took := time.Hour
		if at := seqs[seq]; !at.IsZero() {
			took = at.Sub(from)
		}
		worst = max(worst, took)
	}
	return worst
}

func (m *dispatcherGroup) stop() {
	for _, d := range m.dispatchers {
		d.Stop()
	}
	m.running.Wait()
	time.Sleep(5 * time.Second) // discovery notices the closed connections when it writes its next line
}

// 300 dispatchers call discovery at once: after an outage of 8 s, after all watches have gone silent, and after a
// new configuration has moved discovery. If discovery can serve them in time, all must get the list in time.
func TestAllWatchersAreNotifiedInTime(t *testing.T) {
	n := 300
	if raceEnabled {
		n = 5 // with the service time of each call as for 300
	}
	for _, mode := range []string{"pushed", "on_request"} {
		for _, c := range []struct {
			event       string
			total       time.Duration // service time of all calls together
			limit       time.Duration
			within      time.Duration
			calls, down int // limits: once calls can be answered, and while discovery is down
		}{
			{"outage", 3 * time.Second, 1500 * time.Millisecond, 6 * time.Second, 320, 1700},
			{"outage", 4 * time.Second, time.Second, 6 * time.Second, 420, 1700},
			{"outage", 4 * time.Second, 3 * time.Second, 6 * time.Second, 320, 1700},
			{"silent", 2 * time.Second, time.Second, 6 * time.Second, 520, 0},
			{"silent", 3 * time.Second, 3 * time.Second, 6 * time.Second, 320, 0},
			{"moved", 2 * time.Second, time.Second, 4 * time.Second, 520, 0},
			{"moved", 3 * time.Second, 3 * time.Second, 4 * time.Second, 320, 0},
		} {
			t.Run(fmt.Sprint(mode, " ", c.event, " ", c.total, " ", c.limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					one := &serialDiscovery{serviceTime: c.total / 300, maxWait: c.limit, seq: 1, up: true}
					two := &serialDiscovery{serviceTime: c.total / 300, maxWait: c.limit, seq: 2, up: true}
					m := runGroup(t, n, mode, cachedListJSON, map[string]*serialDiscovery{"one": one, "two": two})
					defer m.stop()
					time.Sleep(20 * time.Second)
					if m.maxNotifyDelay(1, time.Now()) > 0 {
						t.Fatal("not all dispatchers have a watch after 20 s")
					}
					before, _ := one.counts()
					from := time.Now()
					down := 0
					switch c.event {
					case "outage":
						one.interruptWatches(false)
						time.Sleep(8 * time.Second)
						synctest.Wait()
						all, _ := one.counts()
						down, before, from = all-before, all, time.Now()
						one.Lock()
						one.up = true
						one.Unlock()
					case "silent":
						one.interruptWatches(true)
					case "moved":
						for _, d := range m.dispatchers {
							d.Redirect("two")
						}
					}
					time.Sleep(12 * time.Second)
					synctest.Wait()
					calls, rejected := one.counts()
					more, rejectedByTwo := two.counts()
					took := m.maxNotifyDelay(2, from)
					calls += more - before
					t.Logf("last dispatcher notified after %v; %d calls, %d while discovery was down, %d rejected", took, calls, down, rejected+rejectedByTwo)
					if took > c.within || calls > c.calls*n/300 || down > c.down*n/300 {
						t.Errorf("last dispatcher notified after %v with %d calls, and %d while discovery was down; want at most %v, %d and %d",
							took, calls, down, c.within, c.calls*n/300, c.down*n/300)
					}
				})
			})
		}
	}
}

// 30 processes start at once without a cached list, while discovery takes 250 ms for each call. At least 90% of them
// must be ready within 10 s, although discovery rejects many calls.
func TestRestartedDispatchersAreReadyInTime(t *testing.T) {
	const n = 30
	for _, mode := range []string{"pushed", "on_request"} {
		for _, limit := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				s := &serialDiscovery{serviceTime: 250 * time.Millisecond, maxWait: limit, seq: 1, up: true}
				m := runGroup(t, n, mode, "", map[string]*serialDiscovery{"one": s})
				defer m.stop()
				time.Sleep(10 * time.Second)
				ready := 0
				for _, d := range m.dispatchers {
					if d.Phases.Ready() {
						ready++
					}
				}
				calls, rejected := s.counts()
				t.Logf("%s, maximum wait %v: %d ready, %d calls, %d rejected", mode, limit, ready, calls, rejected)
				if ready < n*9/10 {
					t.Errorf("%s, calls rejected after %v: %d of %d dispatchers ready after 10 s, want nine in ten", mode, limit, ready, n)
				}
			})
		}
	}
}

// After any failure of discovery, a dispatcher must have the list within 6 s of discovery's return, even if that call
// takes nearly the longest time allowed. If an earlier call hung on an open connection, slightly less time remains.
func TestListArrivesInTimeAfterFailure(t *testing.T) {
	const (
		callTime          = 2950 * time.Millisecond
		callTimeAfterHang = 2700 * time.Millisecond
	)
	refused := func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	hanging := func(ctx context.Context) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	silent := func(context.Context) (net.Conn, error) {
		local, remote := net.Pipe()
		go io.Copy(io.Discard, remote)
		return local, nil
	}
	for name, c := range map[string]struct {
		dialMeanwhile func(context.Context) (net.Conn, error)
		reset         bool // whether open watches are closed
		call          time.Duration
	}{
		"silent": {nil, false, callTime}, "reset": {nil, true, callTime}, "down": {refused, true, callTime},
		"cut": {hanging, false, callTime}, "hung": {silent, false, callTimeAfterHang},
	} {
		for _, mode := range []string{"pushed", "on_request"} {
			t.Run(name+" "+mode, func(t *testing.T) {
				for seed := range 25 {
					synctest.Test(t, func(t *testing.T) {
						chance := rand.New(rand.NewPCG(uint64(seed), 7))
						s := &serialDiscovery{maxWait: 3 * time.Second, seq: 1, up: true}
						m := runGroup(t, 1, mode, cachedListJSON, map[string]*serialDiscovery{"one": s})
						defer m.stop()
						time.Sleep(6*time.Second + time.Duration(chance.Float64()*float64(4*time.Second)))
						synctest.Wait()
						setDiscovery := func(serviceTime time.Duration, override func(context.Context) (net.Conn, error)) {
							s.Lock()
							defer s.Unlock()
							s.serviceTime, s.dialOverride, s.up = serviceTime, override, true
						}
						s.interruptWatches(!c.reset)
						setDiscovery(c.call, c.dialMeanwhile)
						from := time.Now()
						if c.dialMeanwhile != nil {
							time.Sleep(time.Duration(chance.Float64() * float64(9*time.Second)))
							from = time.Now()
							setDiscovery(c.call, nil)
						}
						time.Sleep(10 * time.Second)
						if took := m.maxNotifyDelay(2, from); took > 6*time.Second {
							t.Errorf("seed %d: notified after %v, want at most 6 s", seed, took)
						}
					})
				}
			})
		}
	}
}

package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"example.org/bellstream/internal/lab/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer returns the address of a server that sends back all data that it
// receives until the client has closed its side for writing.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var goroutines sync.WaitGroup
	t.Cleanup(func() { l.Close(); goroutines.Wait() })
	goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			goroutines.Go(func() { defer c.Close(); io.Copy(c, c) })
		}
	})
	return l.Addr().String()
}

// logRecorder records the entries of the event log.
type logRecorder struct {
	mu   sync.Mutex
	list []Entry
}

func (r *logRecorder) add(e Entry) { r.mu.Lock(); r.list = append(r.list, e); r.mu.Unlock() }

func (r *logRecorder) count(event string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.list {
		if e.Event == event {
			n++
		}
	}
	return n
}

func startProxy(t *testing.T, target string, rules ...fault.Rule) (*Proxy, *logRecorder) {
	t.Helper()
	log := &logRecorder{}
	p, err := Start(Options{Seed: 1, Endpoints: []fault.Endpoint{{Name: "d", Listen: "127.0.0.1:0", Target: target, Network: "tcp"}}, Rules: rules, Log: log.add})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, log
}

func dial(t *testing.T, p *Proxy) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr("d"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c.(*net.TCPConn)
}

// dialAndReadAll opens a connection and reads until its end. It returns the error of the
// dial or of the read, as a reset can occur in either.
func dialAndReadAll(t *testing.T, p *Proxy) error {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr("d"))
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.ReadAll(c)
	return err
}

func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(c, got); string(got) != want {
		t.Fatalf("got %q (%v), want %q", got[:n], err, want)
	}
}

// expectSilence checks that no data arrive within 60 ms and that the connection stays
// open.
func expectSilence(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
	n, err := c.Read(make([]byte, 1))
	if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %d bytes, error %v, want 0 bytes and a read timeout", n, err)
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
}

// Without rules, data are forwarded unchanged and completely in both directions.
func TestForwardsDataUnchanged(t *testing.T) {
	p, log := startProxy(t, startEchoServer(t))
	c := dial(t, p)
	text := strings.Repeat("0123456789", 300_000) // more than maxBufferedBytes
	var goroutines sync.WaitGroup
	goroutines.Go(func() { io.WriteString(c, text); c.CloseWrite() })
	got, err := io.ReadAll(c)
	goroutines.Wait()
	if err != nil || string(got) != text {
		t.Fatalf("got %d bytes, want the %d bytes that were sent; error %v", len(got), len(text), err)
	}
	for log.count("closes") == 0 { // until the proxy has recorded the end of the connection
		time.Sleep(time.Millisecond)
	}
}

// Cut, Reset and HalfClose rules with a byte position close a connection at that byte of the
// stream. A Reset rule without a position resets open and new connections until it is removed.
func TestConnectionFaults(t *testing.T) {
	for name, c := range map[string]struct {
		rule fault.Rule
		end  func(err error) bool
	}{
		"cut":        {fault.Rule{Kind: fault.Cut, Side: fault.Answer, Byte: 3}, func(err error) bool { return err == nil }},
		"reset":      {fault.Rule{Kind: fault.Reset, Side: fault.Request, Byte: 3}, func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }},
		"half close": {fault.Rule{Kind: fault.HalfClose, Side: fault.Answer, Byte: 3}, func(err error) bool { return err == nil }},
	} {
		p, log := startProxy(t, startEchoServer(t), c.rule)
		conn := dial(t, p)
		io.WriteString(conn, "abcdef")
		got, err := io.ReadAll(conn)
		if !c.end(err) || !strings.HasPrefix("abc", string(got)) || c.rule.Side == fault.Answer && string(got) != "abc" {
			t.Errorf("%s: got data %q, error %v", name, got, err)
		}
		if log.count("strikes") != 1 {
			t.Errorf("%s: got %d applications of the rule, want 1", name, log.count("strikes"))
		}
	}
	p, _ := startProxy(t, startEchoServer(t))
	open := dial(t, p)
	io.WriteString(open, "a")
	expect(t, open, "a")
	id, err := p.Inject(fault.Rule{Kind: fault.Reset})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(open); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("open connection: got error %v, want a reset", err)
	}
	if err := dialAndReadAll(t, p); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("new connection: got error %v, want a reset", err)
	}
	if !p.Remove(id) || p.Remove(id) {
		t.Error("Remove: want true for the first call and false for the second")
	}
	again := dial(t, p)
	io.WriteString(again, "b")
	expect(t, again, "b")
}

// A Silence rule holds the data of one direction and forwards them when the rule ends; the
// other direction is not affected.
func TestSilence(t *testing.T) {
	p, _ := startProxy(t, startEchoServer(t))
	c := dial(t, p)
	io.WriteString(c, "a")
	expect(t, c, "a")
	id, err := p.Inject(fault.Rule{Kind: fault.Silence, Side: fault.Answer})
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "bc")
	expectSilence(t, c)
	if rules := p.Rules(); len(rules) != 1 || rules[0].Kind != fault.Silence {
		t.Errorf("got rules %+v, want one silence", rules)
	}
	p.Remove(id)
	expect(t, c, "bc")
}

// A Mute rule leaves accepted connections unserved and resets them at its end. A Refuse
// rule closes the listener, which opens again at the same address when the rule ends.
// A connection is reset if the target can't be reached, and invalid rules are rejected.
func TestMuteAndRefuse(t *testing.T) {
	p, _ := startProxy(t, startEchoServer(t))
	id, _ := p.Inject(fault.Rule{Kind: fault.Mute})
	c := dial(t, p)
	io.WriteString(c, "x")
	expectSilence(t, c)
	p.Remove(id)
	if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of a mute connection: got error %v, want a reset", err)
	}
	for range 3 {
		id, _ = p.Inject(fault.Rule{Kind: fault.Refuse})
		if _, err := net.Dial("tcp", p.Addr("d")); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial of a refusing endpoint: got error %v, want connection refused", err)
		}
		p.Remove(id)
		c = dial(t, p)
		io.WriteString(c, "y")
		expect(t, c, "y")
	}
	p, log := startProxy(t, "127.0.0.1:1")
	if err := dialAndReadAll(t, p); !errors.Is(err, syscall.ECONNRESET) || log.count("fails") != 1 {
		t.Errorf("unreachable target: got error %v and %d failures in the log, want a reset and 1", err, log.count("fails"))
	}
	if _, err := p.Inject(fault.Rule{Kind: "explode"}); err == nil {
		t.Error("a rule of an unknown kind was accepted")
	}
}

// The seed determines which datagrams are lost. The answers to the others reach the sender.
func TestDatagrams(t *testing.T) {
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		buf := make([]byte, 100)
		for {
			n, src, err := server.ReadFromUDP(buf)
			if err != nil {
				return
			}
			server.WriteToUDP(buf[:n], src)
		}
	})
	defer goroutines.Wait()
	defer server.Close()
	plan := &fault.Plan{Seed: 5}
	rule := fault.Rule{Kind: fault.Loss, Loss: 0.4, Side: fault.Request}
	plan.Add(rule)
	p, err := Start(Options{Seed: 5, Endpoints: []fault.Endpoint{{Name: "u", Listen: "127.0.0.1:0", Target: server.LocalAddr().String(), Network: "udp"}}, Rules: []fault.Rule{rule}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c, err := net.Dial("udp", p.Addr("u"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	answered := ""
	for n := range 40 {
		fmt.Fprintf(c, "%02d", n)
		if _, lost := plan.Datagram(0, "u", fault.Request, uint64(n+1)); !lost {
			buf := make([]byte, 10)
			k, err := c.Read(buf)
			if err != nil || string(buf[:k]) != fmt.Sprintf("%02d", n) {
				t.Fatalf("got answer %q, error %v, want %02d", buf[:k], err, n)
			}
			answered += string(buf[:k])
		}
	}
	if len(answered) == 0 || len(answered) == 80 {
		t.Errorf("got answers %s, want some of the 40 datagrams lost and some answered", answered)
	}
}

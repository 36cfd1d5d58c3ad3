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

// startEchoServer sends back what it gets until the other side has ended its sending.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	t.Cleanup(func() { l.Close(); all.Wait() })
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() { defer c.Close(); io.Copy(c, c) })
		}
	})
	return l.Addr().String()
}

// logRecorder keeps the log.
type logRecorder struct {
	mu   sync.Mutex
	list []Entry
}

func (h *logRecorder) add(e Entry) { h.mu.Lock(); h.list = append(h.list, e); h.mu.Unlock() }

func (h *logRecorder) count(event string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.list {
		if e.Event == event {
			n++
		}
	}
	return n
}

func startProxy(t *testing.T, target string, rules ...fault.Rule) (*Proxy, *logRecorder) {
	t.Helper()
	h := &logRecorder{}
	p, err := Start(Options{Seed: 1, Endpoints: []fault.Endpoint{{Name: "d", Listen: "127.0.0.1:0", Target: target, Network: "tcp"}}, Rules: rules, Log: h.add})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, h
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

// dialAndReadAll is how a connection ends that is reset as it comes: while it is still
// being made, or as soon as it is.
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

// expectSilence checks that nothing comes for a moment, and that the connection lives.
func expectSilence(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
	n, err := c.Read(make([]byte, 1))
	if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
}

// What passes is unchanged, in both directions and to the end, when nothing is asked for.
func TestForwardsDataUnchanged(t *testing.T) {
	p, h := startProxy(t, startEchoServer(t))
	c := dial(t, p)
	text := strings.Repeat("0123456789", 300_000) // more than is held for one side
	var all sync.WaitGroup
	all.Go(func() { io.WriteString(c, text); c.CloseWrite() })
	got, err := io.ReadAll(c)
	all.Wait()
	if err != nil || string(got) != text {
		t.Fatalf("%d bytes of %d, %v", len(got), len(text), err)
	}
	for h.count("closes") == 0 { // the tool has noticed: ends by itself
		time.Sleep(time.Millisecond)
	}
}

// How connections break: in good order, by a reset, in one direction alone; in
// the middle of what passes; and those that are open as well as those that come.
func TestConnectionFaults(t *testing.T) {
	for name, c := range map[string]struct {
		rule fault.Rule
		end  func(err error) bool
	}{
		"cut":        {fault.Rule{Kind: fault.Cut, Side: fault.Answer, Byte: 3}, func(err error) bool { return err == nil }},
		"reset":      {fault.Rule{Kind: fault.Reset, Side: fault.Request, Byte: 3}, func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }},
		"half close": {fault.Rule{Kind: fault.HalfClose, Side: fault.Answer, Byte: 3}, func(err error) bool { return err == nil }},
	} {
		p, h := startProxy(t, startEchoServer(t), c.rule)
		x := dial(t, p)
		io.WriteString(x, "abcdef")
		got, err := io.ReadAll(x)
		if !c.end(err) || !strings.HasPrefix("abc", string(got)) || c.rule.Side == fault.Answer && string(got) != "abc" {
			t.Errorf("%s: %q, %v", name, got, err)
		}
		if h.count("strikes") != 1 {
			t.Errorf("%s: struck %d times", name, h.count("strikes"))
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
		t.Errorf("the open one: %v", err)
	}
	if err := dialAndReadAll(t, p); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("one that comes: %v", err)
	}
	if !p.Remove(id) || p.Remove(id) {
		t.Error("a rule ends once")
	}
	again := dial(t, p)
	io.WriteString(again, "b")
	expect(t, again, "b")
}

// A silent side holds what comes and lets it go when the rule ends; the other
// side goes on.
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
		t.Errorf("%+v", rules)
	}
	p.Remove(id)
	expect(t, c, "bc")
}

// A mute door takes connections and says nothing on them; one that refuses is
// closed to the system, and opens again at the same address.
func TestMuteAndRefuse(t *testing.T) {
	p, _ := startProxy(t, startEchoServer(t))
	id, _ := p.Inject(fault.Rule{Kind: fault.Mute})
	c := dial(t, p)
	io.WriteString(c, "x")
	expectSilence(t, c)
	p.Remove(id)
	if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the end of a mute connection: %v", err)
	}
	for range 3 {
		id, _ = p.Inject(fault.Rule{Kind: fault.Refuse})
		if _, err := net.Dial("tcp", p.Addr("d")); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("refused: %v", err)
		}
		p.Remove(id)
		c = dial(t, p)
		io.WriteString(c, "y")
		expect(t, c, "y")
	}
	p, h := startProxy(t, "127.0.0.1:1")
	if err := dialAndReadAll(t, p); !errors.Is(err, syscall.ECONNRESET) || h.count("fails") != 1 {
		t.Errorf("a target that is not there: %v, %d lines", err, h.count("fails"))
	}
	if _, err := p.Inject(fault.Rule{Kind: "explode"}); err == nil {
		t.Error("a rule that is none is taken")
	}
}

// Datagrams: lost ones are those that the seed says, answers find their sender.
func TestDatagrams(t *testing.T) {
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		buf := make([]byte, 100)
		for {
			n, src, err := server.ReadFromUDP(buf)
			if err != nil {
				return
			}
			server.WriteToUDP(buf[:n], src)
		}
	})
	defer all.Wait()
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
	want := ""
	for n := range 40 {
		fmt.Fprintf(c, "%02d", n)
		if _, lost := plan.Datagram(0, "u", fault.Request, uint64(n+1)); !lost {
			buf := make([]byte, 10)
			k, err := c.Read(buf)
			if err != nil || string(buf[:k]) != fmt.Sprintf("%02d", n) {
				t.Fatalf("%q, %v, want %02d", buf[:k], err, n)
			}
			want += string(buf[:k])
		}
	}
	if len(want) == 0 || len(want) == 80 {
		t.Errorf("passed: %s", want)
	}
}

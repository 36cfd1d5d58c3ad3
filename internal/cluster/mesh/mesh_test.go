package mesh

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type received struct {
	from  string
	frame []byte
}

func start(t *testing.T, name, cluster, ip string) (*Mesh, chan received) {
	t.Helper()
	c := make(chan received, 4096)
	m, err := New(Options{Name: name, Cluster: cluster, Listen: ip + ":0", IdleTimeout: 300 * time.Millisecond, Receive: func(from string, f []byte) { c <- received{from, f} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m, c
}

// until polls until a condition holds, for at most 10 s.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestFramesBothWays(t *testing.T) {
	a, toA := start(t, "a", "c", "127.0.0.2")
	b, toB := start(t, "b", "c", "127.0.0.3")
	if a.Send("b", nil) {
		t.Error("sent to an unknown peer")
	}
	addrs := map[string]string{"a": a.Addr(), "b": b.Addr()}
	a.SetPeers(addrs)
	b.SetPeers(addrs)
	until(t, "no connection", func() bool { return a.Status().Connected == 1 && b.Status().Connected == 1 })
	b.mu.Lock()
	for c := range b.conns {
		if host, _, _ := net.SplitHostPort(c.RemoteAddr().String()); host != "127.0.0.2" {
			t.Errorf("dialled from %s, want 127.0.0.2", host)
		}
	}
	b.mu.Unlock()
	for i := range 100 {
		if !a.Send("b", []byte{byte(i)}) || !b.Send("a", bytes.Repeat([]byte{byte(i)}, 10_000)) {
			t.Fatal("Send dropped a frame")
		}
	}
	for i := range 100 {
		if x := <-toB; x.from != "a" || x.frame[0] != byte(i) {
			t.Fatalf("b got wrong frame %d: %v", i, x)
		}
		if x := <-toA; x.from != "b" || len(x.frame) != 10_000 || x.frame[0] != byte(i) {
			t.Fatalf("a got wrong frame %d", i)
		}
	}
	if a.Send("b", make([]byte, MaxFrame+1)) {
		t.Error("Send accepted a frame larger than MaxFrame")
	}
	// A broken connection is dialled again.
	a.mu.Lock()
	a.peers["b"].conn.Close()
	a.mu.Unlock()
	until(t, "no new connection", func() bool {
		a.Send("b", []byte("again"))
		select {
		case x := <-toB:
			return string(x.frame) == "again"
		default:
			return false
		}
	})
	b.SetPeers(nil)
	until(t, "still connected", func() bool { return b.Status().Connected == 0 })
	if b.Send("a", nil) {
		t.Error("sent to a former peer")
	}
}

// If a peer does not read, the frames for it take no more memory than its outbox allows, and Send
// does not block.
func TestBoundedOutbox(t *testing.T) {
	unblock := make(chan struct{})
	b, err := New(Options{Name: "b", Cluster: "c", Listen: "127.0.0.1:0", IdleTimeout: 5 * time.Second, Receive: func(string, []byte) { <-unblock }})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	defer close(unblock)
	a, err := New(Options{Name: "a", Cluster: "c", Listen: "127.0.0.1:0", IdleTimeout: 5 * time.Second, Receive: func(string, []byte) {}})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	addrs := map[string]string{"a": a.Addr(), "b": b.Addr()}
	a.SetPeers(addrs)
	b.SetPeers(addrs)
	until(t, "no connection", func() bool { return a.Status().Connected == 1 && b.Status().Connected == 1 })
	frame, sent := make([]byte, 1<<20), 0
	for sent < 1000 && a.Send("b", frame) {
		sent++
	}
	if sent < 8 || sent > 64 || a.Status().Dropped["outbox full"] == 0 {
		t.Errorf("Send accepted %d frames of 1 MiB; status %v", sent, a.Status())
	}
}

// A connection of an unknown instance or another cluster, or with an invalid frame, is rejected and counted.
func TestUnexpectedConnections(t *testing.T) {
	b, toB := start(t, "b", "c", "127.0.0.1")
	b.SetPeers(map[string]string{"a": "127.0.0.1:1"})
	for name, x := range map[string]struct {
		sender *Mesh
		to     string
		modify func([]byte) []byte
		want   string
	}{
		"unknown sender": {&Mesh{Options: Options{Name: "aa"}}, "b", nil, "of unknown senders"},
		"higher name":    {&Mesh{Options: Options{Name: "x"}}, "b", nil, "of unknown senders"},
		"other receiver": {&Mesh{Options: Options{Name: "a"}}, "z", nil, "not who was meant"},
		"other cluster":  {&Mesh{Options: Options{Name: "a"}, clusterDigest: 7}, "b", nil, errWrongCluster.Error()},
		"wrong checksum": {&Mesh{Options: Options{Name: "a"}}, "b", func(b []byte) []byte { b[len(b)-1] ^= 1; return b }, peerconn.ErrChecksum.Error()},
		"too large":      {&Mesh{Options: Options{Name: "a"}}, "b", func(b []byte) []byte { b[0] = 0xff; return b }, errTooLarge.Error()},
		"too short":      {&Mesh{Options: Options{Name: "a"}}, "b", func(b []byte) []byte { return make([]byte, peerconn.HeaderLen) }, errCorrupt.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			if x.sender.clusterDigest == 0 {
				x.sender.clusterDigest = b.clusterDigest
			}
			c, err := net.Dial("tcp", b.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			raw := encode(x.sender.clusterDigest, kindHello, appendHello(nil, x.sender.Name, x.to))
			if x.modify != nil {
				raw = x.modify(raw)
			}
			before := b.Status().Dropped[x.want]
			c.Write(append(raw, encode(x.sender.clusterDigest, kindData, []byte("x"))...))
			io.Copy(io.Discard, c) // until the mesh closes the connection
			until(t, "the connection was not counted as dropped", func() bool { return b.Status().Dropped[x.want] == before+1 })
		})
	}
	if len(toB) > 0 || b.Status().Connected > 0 {
		t.Error("an unexpected connection was used")
	}
	_, err := New(Options{Listen: b.Addr()})
	if !errors.Is(err, ListenError{}) {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, raw := range [][]byte{encode(3, kindHello, []byte("\x01a\x01b")), encode(3, kindData, []byte("x")), encode(3, kindPing, nil), {0, 0, 0, 1}} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		kind, frame, err := decode(bytes.NewReader(raw), 3)
		if err == nil {
			if again := encode(3, kind, frame); !bytes.Equal(again, raw[:len(again)]) {
				t.Errorf("a decoded frame is encoded as %x, want %x", again, raw)
			}
		}
		parseHello(frame)
	})
}

package mesh

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

// updateGolden regenerates the files under testdata/golden. A changed file means a changed wire format.
var updateGolden = flag.Bool("update", false, "rewrite the files under testdata/golden")

// checkGolden compares encoded with a golden file and returns the content of the file.
func checkGolden(t *testing.T, file string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", file)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, raw) {
		t.Fatalf("%s: encoded\n%q\nwant\n%q", file, encoded, raw)
	}
	return raw
}

// TestGoldenFrames checks the bytes of each kind of frame.
func TestGoldenFrames(t *testing.T) {
	cluster := xxhash.Sum64String("cluster-1")
	for file, c := range map[string]struct {
		kind byte
		body []byte
	}{
		"hello.frame":      {kindHello, []byte("\x06node-a\x06node-b")},
		"data.frame":       {kindData, []byte("what it carries\x00\xff")},
		"data-empty.frame": {kindData, []byte{}},
		"ping.frame":       {kindPing, []byte{}},
	} {
		raw := checkGolden(t, file, encode(cluster, c.kind, c.body))
		kind, body, err := decode(bytes.NewReader(raw), cluster)
		if err != nil || kind != c.kind || !bytes.Equal(body, c.body) {
			t.Errorf("%s: decoded kind %d, content %q, error %v", file, kind, body, err)
		}
	}
	from, to, ok := parseHello([]byte("\x06node-a\x06node-b"))
	if from != "node-a" || to != "node-b" || !ok {
		t.Errorf("parseHello: got sender %q, receiver %q, ok %v", from, to, ok)
	}
}

// TestGoldenHandshake tests the accepting and the dialling end against the recorded bytes of a peer.
func TestGoldenHandshake(t *testing.T) {
	cluster := xxhash.Sum64String("cluster-1")
	hello := checkGolden(t, "hello.frame", encode(cluster, kindHello, []byte("\x06node-a\x06node-b")))
	answer := checkGolden(t, "hello-answer.frame", encode(cluster, kindHello, []byte("\x06node-b\x06node-a")))
	data := checkGolden(t, "data.frame", encode(cluster, kindData, []byte("what it carries\x00\xff")))

	t.Run("accepted", func(t *testing.T) {
		b, receivedByB := start(t, "node-b", "cluster-1", "127.0.0.1")
		b.SetPeers(map[string]string{"node-a": "127.0.0.1:1"})
		c, err := net.Dial("tcp", b.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		exchangeHellos(t, c, hello, answer)
		exchangeFrames(t, c, receivedByB, b, "node-a", data)
	})
	t.Run("dialled", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		a, receivedByA := start(t, "node-a", "cluster-1", "127.0.0.1")
		a.SetPeers(map[string]string{"node-b": l.Addr().String()})
		l.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		exchangeHellos(t, c, answer, hello)
		exchangeFrames(t, c, receivedByA, a, "node-b", data)
	})
}

// exchangeHellos sends a hello and checks the hello that the mesh sends. Either side may send first.
func exchangeHellos(t *testing.T, c net.Conn, hello, want []byte) {
	t.Helper()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Write(hello); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("got hello %q, want %q, error %v", got, want, err)
	}
}

// exchangeFrames sends one frame in each direction and checks the frames that arrive. It skips pings from the mesh.
func exchangeFrames(t *testing.T, c net.Conn, receivedFrames chan received, m *Mesh, name string, data []byte) {
	t.Helper()
	if _, err := c.Write(data); err != nil {
		t.Fatal(err)
	}
	var x received
	select {
	case x = <-receivedFrames:
	case <-time.After(10 * time.Second):
		t.Fatal("the mesh received no frame within 10 s")
	}
	if x.from != name || string(x.frame) != "what it carries\x00\xff" {
		t.Errorf("got frame %q from %q, want the frame that the peer sent", x.frame, x.from)
	}
	if !m.Send(name, []byte("what it carries\x00\xff")) {
		t.Fatal("Send dropped the frame")
	}
	ping := checkGolden(t, "ping.frame", encode(m.clusterDigest, kindPing, nil))
	for {
		got := make([]byte, len(ping))
		if _, err := io.ReadFull(c, got); err != nil {
			t.Fatal(err)
		}
		if bytes.Equal(got, ping) {
			continue
		}
		rest := make([]byte, len(data)-len(got))
		if _, err := io.ReadFull(c, rest); err != nil || !bytes.Equal(append(got, rest...), data) {
			t.Errorf("got %q followed by %q, want %q, error %v", got, rest, data, err)
		}
		return
	}
}

// TestGoldenStatus checks the JSON of the status, which operators read.
func TestGoldenStatus(t *testing.T) {
	encoded, err := json.MarshalIndent(Status{Connected: 1, Peers: 2, Dropped: map[string]uint64{"outbox full": 3}}, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "status.json", encoded)
}

// TestGoldenReasons checks the names of drop counters, which operators search for in the status.
func TestGoldenReasons(t *testing.T) {
	for want, err := range map[string]error{
		"damaged on the way": peerconn.ErrChecksum,
		"too large":          errTooLarge,
		"of another cluster": errWrongCluster,
		"of another version": errUnsupportedVersion,
		"garbled":            errCorrupt,
	} {
		if err.Error() != want {
			t.Errorf("got %q, want %q", err.Error(), want)
		}
	}
}

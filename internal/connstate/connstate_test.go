package connstate

import (
	"net"
	"testing"

	"example.org/bellstream/internal/lab/wiretest"
)

// IsQuiet must detect unread bytes and an unread end of the connection, must consume nothing, and must not block
// while a goroutine waits in Read.
func TestQuiet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	pair := func() (local, remote net.Conn) {
		local, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if remote, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { local.Close(); remote.Close() })
		return local, remote
	}
	conn, peer := pair()
	if !IsQuiet(conn) {
		t.Error("IsQuiet is false for a new connection")
	}
	peer.Write([]byte("x"))
	wiretest.Until(t, "IsQuiet to detect an unread byte", func() bool { return !IsQuiet(conn) })
	if n, _ := conn.Read(make([]byte, 4)); n != 1 || !IsQuiet(conn) {
		t.Errorf("read %d bytes, IsQuiet after that: %v; want 1, true", n, IsQuiet(conn))
	}
	peer.Close()
	wiretest.Until(t, "IsQuiet to detect that the peer has closed", func() bool { return !IsQuiet(conn) })
	reading, _ := pair()
	go reading.Read(make([]byte, 1))
	if !IsQuiet(reading) {
		t.Error("IsQuiet is false while a goroutine reads")
	}
	reading.Close()
	if IsQuiet(reading) {
		t.Error("IsQuiet is true for a connection closed on this side")
	}
}

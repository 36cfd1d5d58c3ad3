package service

import (
	"errors"
	"net"
	"os"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/lab/wiretest"
)

// inheritListener is a clients' socket as the platform hands it over, where calls wait in the system, and
// what listen makes of it.
func inheritListener(t *testing.T, multipath bool) sharedListener {
	t.Helper()
	var c net.ListenConfig
	c.SetMultipathTCP(multipath)
	own, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { own.Close() })
	f, err := own.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	handed, err := unix.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(inheritedKey, strconv.Itoa(handed))
	l, is, err := listen("")
	if err != nil || !is {
		t.Fatalf("listen: %v, inherited: %v", err, is)
	}
	if err := unix.SetNonblock(int(f.Fd()), false); err != nil { // handed on once more
		t.Fatal(err)
	}
	return l.(sharedListener)
}

// An Accept on a socket that is handed to a newer process just then must not wait in the system:
// nothing but a client would wake it, neither Hold nor the end.
func TestAcceptOnBlockingInheritedSocket(t *testing.T) {
	l := inheritListener(t, true)
	accepted := make(chan error, 1)
	l.SetDeadline(time.Now().Add(20 * time.Millisecond))
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	if err := wiretest.Get(t, accepted, "Accept to heed its deadline"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("accept: %v", err)
	}
	if l.Close(); l.Close() == nil {
		t.Error("closed twice")
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept behind the end: %v", err)
	}
}

// The same where that is set between the look at it and the call.
func TestBlockingAcceptOnInheritedSocketTimesOut(t *testing.T) {
	l := inheritListener(t, false)
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 1)
	go raw.Control(func(fd uintptr) {
		_, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK)
		accepted <- err
	})
	if err := wiretest.Get(t, accepted, "an accept where no client waits"); !errors.Is(err, unix.EAGAIN) {
		t.Errorf("accept: %v", err)
	}
	l.Close()
}

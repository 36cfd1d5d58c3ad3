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

// inheritListener passes a listening socket to listen as the platform does. It then clears the socket's O_NONBLOCK
// flag, so that system calls on it block, and returns the listener that listen made.
func inheritListener(t *testing.T, multipath bool) sharedListener {
	t.Helper()
	var c net.ListenConfig
	c.SetMultipathTCP(multipath)
	original, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { original.Close() })
	f, err := original.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	duplicate, err := unix.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(inheritedKey, strconv.Itoa(duplicate))
	l, isInherited, err := listen("")
	if err != nil || !isInherited {
		t.Fatalf("listen: %v, inherited: %v", err, isInherited)
	}
	if err := unix.SetNonblock(int(f.Fd()), false); err != nil { // as passing it to another process does
		t.Fatal(err)
	}
	return l.(sharedListener)
}

// Guards against an Accept that blocks in the system call because the socket was passed to a newer process, which
// cleared O_NONBLOCK: only a client could wake it, neither a deadline nor Close.
func TestAcceptOnBlockingInheritedSocket(t *testing.T) {
	l := inheritListener(t, true)
	accepted := make(chan error, 1)
	l.SetDeadline(time.Now().Add(20 * time.Millisecond))
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	if err := wiretest.Get(t, accepted, "Accept to return at its deadline"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("accept after the deadline: %v", err)
	}
	if l.Close(); l.Close() == nil {
		t.Error("second Close returned no error")
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after Close: %v", err)
	}
}

// The same if O_NONBLOCK is cleared after Accept has set it and before the system call: SO_RCVTIMEO bounds the call.
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
	if err := wiretest.Get(t, accepted, "accept to time out without a client"); !errors.Is(err, unix.EAGAIN) {
		t.Errorf("accept: %v", err)
	}
	l.Close()
}

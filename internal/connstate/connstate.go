// Package connstate inspects connections in ways that package net does not offer.
package connstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether the peer has neither closed nor reset a connection, and no received bytes are unread.
// It does not block, consumes no bytes, and may be called while another goroutine reads. A connection that is not
// a socket counts as quiet; one that is closed on this side does not.
func IsQuiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control rather than Read, which would wait for a goroutine that is reading.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}

// PeerClosed reports whether the peer has closed or reset a connection, or has ended its sending, even if bytes that it
// sent before are unread. It does not block, and may be called while another goroutine reads. A connection that is not
// a socket, or is closed on this side, does not count as closed by the peer.
func PeerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		closed = pollEvents(int(fd), unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}

// HasBacklog reports whether a listener's backlog holds a connection that Accept would return at once. It does not
// block, and may be called while another goroutine accepts. A listener that is not a socket, or is closed, has none.
func HasBacklog(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		ready = pollEvents(int(fd), unix.POLLIN) != 0
	})
	return err == nil && ready
}

// pollEvents returns those of the events, and of errors and hang-ups, that a descriptor has now. It returns 0 if that
// can't be determined.
func pollEvents(fd int, events int16) int16 {
	for {
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: events}}
		ready, err := unix.Poll(descriptors, 0)
		switch {
		case err == unix.EINTR: //nolint:errorlint // Poll returns a plain Errno
			continue
		case err != nil || ready <= 0:
			return 0
		}
		return descriptors[0].Revents
	}
}

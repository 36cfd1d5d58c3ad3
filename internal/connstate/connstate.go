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
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready = pollReadable(int(fd))
	})
	return err == nil && ready > 0
}

// pollReadable returns 1 if a descriptor is readable now, 0 if it is not, and -1 if that can't be determined.
func pollReadable(fd int) int {
	for {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		if err != unix.EINTR { //nolint:errorlint // Poll returns a plain Errno
			return ready
		}
	}
}

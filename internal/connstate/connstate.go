// Package connstate inspects connections in ways that package net does not offer.
package connstate

import (
	"net"
	"syscall"
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

package service

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// inheritedKey is the variable that holds the descriptor of the clients' listening socket.
	inheritedKey = "RELAY_INHERITED_FD"

	// maxBlockingAccept bounds an accept that blocks because another process has changed the socket's flags.
	maxBlockingAccept = 5 * time.Millisecond

	firstInheritedDescriptor = 3 // after standard input, output and error
)

// listen opens the clients' socket, or takes over the one that the platform passes. The caller must not close an
// inherited one, but leave that to the exit of the process: Close blocks for ever if another process has cleared the
// socket's O_NONBLOCK flag, as a blocked accept ignores deadlines.
func listen(address string) (l net.Listener, inherited bool, err error) {
	value := os.Getenv(inheritedKey)
	if value == "" {
		l, err = net.Listen("tcp", address)
		return l, false, err
	}
	descriptor, err := strconv.Atoi(value)
	if err != nil || descriptor < firstInheritedDescriptor {
		return nil, false, fmt.Errorf("%s: %q is not a descriptor number of at least %d",
			inheritedKey, value, firstInheritedDescriptor)
	}
	shared, err := openInherited(descriptor)
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", inheritedKey, err)
	}
	return shared, true, nil
}

func openInherited(descriptor int) (net.Listener, error) {
	accepting, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is not a listening socket (%w)", descriptor, err)
	}
	if accepting != 1 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket", descriptor)
	}
	timeout := unix.NsecToTimeval(maxBlockingAccept.Nanoseconds())
	if err := unix.SetsockoptTimeval(descriptor, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	file := os.NewFile(uintptr(descriptor), "clients")
	defer file.Close() // FileListener duplicates the descriptor
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("descriptor %d is not a TCP socket", descriptor)
	}
	return sharedListener{tcp}, nil
}

// sharedListener is a listening socket that other processes hold as well. All of them share its O_NONBLOCK flag,
// and a process that passes it to a new one may clear the flag. A blocking accept ignores deadlines and delays Close
// until a client connects. So Accept sets the flag each time; an accept that races with a change is bounded by
// SO_RCVTIMEO, which multipath TCP sockets ignore.
type sharedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l sharedListener) Accept() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	err = raw.Control(func(descriptor uintptr) {
		_ = unix.SetNonblock(int(descriptor), true) // accept reports an unusable descriptor
	})
	if err != nil {
		return nil, err // the listener is closed
	}
	return l.TCPListener.Accept()
}

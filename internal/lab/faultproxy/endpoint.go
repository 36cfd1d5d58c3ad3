package faultproxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"example.org/bellstream/internal/lab/fault"
)

// reopen retries, because an address may remain in use for a moment after its listener
// was closed.
const (
	reopenInterval = 20 * time.Millisecond
	reopenAttempts = 50
)

// endpoint is a listening address with its sockets.
type endpoint struct {
	fault.Endpoint
	proxy *Proxy

	mu            sync.Mutex
	listener      net.Listener // nil while connections are refused
	udp           *net.UDPConn
	sources       map[string]*net.UDPConn // socket to the target, by the sender's address
	connCount     uint64
	datagramCount [2]uint64 // of requests and of answers; guarded by the proxy's mu
	closing       bool
}

// open starts to listen. If the port in Listen is 0, the assigned port replaces it.
func (e *endpoint) open() error {
	if e.Network == "udp" {
		return e.openUDP()
	}
	listener, err := net.Listen("tcp", e.Listen)
	if err != nil {
		return err
	}
	e.Listen = listener.Addr().String()
	e.startAccepting(listener)
	return nil
}

func (e *endpoint) startAccepting(listener net.Listener) {
	e.listener = listener
	e.proxy.goroutines.Add(1)
	go e.accept(listener)
}

// refuse closes the listener if refused is true, so that the kernel refuses connections;
// otherwise it opens the listener again. UDP endpoints are not affected.
func (e *endpoint) refuse(refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Network == "udp" || e.closing || refused == (e.listener == nil) {
		return
	}
	if refused {
		_ = e.listener.Close()
		e.listener = nil
		return
	}
	e.reopen()
}

// reopen listens at the same address again and records a failure if that is not
// possible. The caller holds mu.
func (e *endpoint) reopen() {
	for range reopenAttempts {
		listener, err := net.Listen("tcp", e.Listen)
		if err == nil {
			e.startAccepting(listener)
			return
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			e.recordFailure(err.Error())
			return
		}
		time.Sleep(reopenInterval)
	}
	e.recordFailure("its address is still in use")
}

func (e *endpoint) recordFailure(reason string) {
	e.proxy.record(Entry{Event: eventFailed, Endpoint: e.Name, Reason: reason})
}

// close closes the endpoint's sockets.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closing = true
	if e.listener != nil {
		_ = e.listener.Close()
	}
	if e.udp != nil {
		_ = e.udp.Close()
	}
	for _, source := range e.sources {
		_ = source.Close()
	}
}

// accept serves connections until the listener is closed.
func (e *endpoint) accept(listener net.Listener) {
	defer e.proxy.goroutines.Done()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connCount++
		number := e.connCount
		e.mu.Unlock()
		e.proxy.goroutines.Add(1)
		go e.serve(accepted.(*net.TCPConn), number)
	}
}

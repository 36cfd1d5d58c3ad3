package faultproxy

import (
	"bytes"
	"net"
	"time"

	"example.org/bellstream/internal/lab/fault"
)

const (
	maxSources       = 256 // senders per endpoint; datagrams of further senders are dropped
	maxDatagramBytes = 64 << 10
)

func (e *endpoint) openUDP() error {
	addr, err := net.ResolveUDPAddr("udp", e.Listen)
	if err != nil {
		return err
	}
	e.udp, err = net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	e.Listen = e.udp.LocalAddr().String()
	e.proxy.goroutines.Add(1)
	go e.forwardRequests()
	return nil
}

// forwardDatagram sends a datagram at once or after a delay, or drops it, as the rules
// decide.
func (e *endpoint) forwardDatagram(side fault.Side, data []byte, send func([]byte)) {
	delay, lost := e.decideDatagram(side)
	if lost {
		return
	}
	if delay == 0 {
		send(data)
		return
	}
	delayed := bytes.Clone(data)
	time.AfterFunc(time.Duration(delay*float64(time.Second)), func() { send(delayed) })
}

// decideDatagram counts a datagram and returns its delay in seconds and whether it is
// lost.
func (e *endpoint) decideDatagram(side fault.Side) (delay float64, lost bool) {
	i := 0
	if side == fault.Answer {
		i = 1
	}
	p := e.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	e.datagramCount[i]++
	return p.plan.Datagram(p.clock(), e.Name, side, e.datagramCount[i])
}

// forwardRequests forwards datagrams to the target. Each sender has its own socket, so
// that the target's answers can be returned to the right sender.
func (e *endpoint) forwardRequests() {
	defer e.proxy.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := e.udp.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		source := e.source(sender)
		if source == nil {
			continue
		}
		e.forwardDatagram(fault.Request, buffer[:n], func(data []byte) { _, _ = source.Write(data) })
	}
}

// source returns the socket for a sender's datagrams and opens it if necessary. It
// returns nil if maxSources is reached or the socket can't be opened.
func (e *endpoint) source(sender *net.UDPAddr) *net.UDPConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	source := e.sources[sender.String()]
	if source != nil || len(e.sources) >= maxSources || e.closing {
		return source
	}
	target, err := net.ResolveUDPAddr("udp", e.Target)
	if err != nil {
		return nil
	}
	source, err = net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	e.sources[sender.String()] = source
	e.proxy.goroutines.Add(1)
	go e.forwardAnswers(source, sender)
	return source
}

// forwardAnswers forwards the target's datagrams to the sender of the requests, until
// the socket is closed.
func (e *endpoint) forwardAnswers(source *net.UDPConn, sender *net.UDPAddr) {
	defer e.proxy.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			e.removeSource(source, sender)
			return
		}
		e.forwardDatagram(fault.Answer, buffer[:n], func(data []byte) { _, _ = e.udp.WriteToUDP(data, sender) })
	}
}

func (e *endpoint) removeSource(source *net.UDPConn, sender *net.UDPAddr) {
	e.mu.Lock()
	delete(e.sources, sender.String())
	e.mu.Unlock()
	_ = source.Close()
}

package lab

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay stands between instances on loopback: each sends from an address of its
// own and is reached through the relay, which loses, delays, repeats and cuts
// by a seed. Streams are delayed and cut, not thinned: they would repair that.
type Relay struct {
	Loss, Repeat float64
	Delay        time.Duration // at most

	mu    sync.Mutex
	rng   *rand.Rand
	cut   func(from, to int) bool
	conns map[net.Conn][2]int
	doors []*door
}

type door struct {
	to     int
	target string
	udp    *net.UDPConn
	out    *net.UDPConn
	tcp    net.Listener
}

// NewRelay makes a relay with no doors.
func NewRelay(seed uint64, loss, repeat float64, delay time.Duration) *Relay {
	return &Relay{Loss: loss, Repeat: repeat, Delay: delay, rng: rand.New(rand.NewPCG(seed, 0x4e1a)),
		conns: map[net.Conn][2]int{}, cut: func(int, int) bool { return false }}
}

// IP is the address from which instance i sends.
func IP(i int) net.IP { return net.IPv4(127, 0, 1, byte(10+i)) }

func from(a net.Addr) int {
	var ip net.IP
	switch a := a.(type) {
	case *net.UDPAddr:
		ip = a.IP
	case *net.TCPAddr:
		ip = a.IP
	}
	return int(ip.To4()[3]) - 10
}

// Door opens a way to instance i, which listens at target, and returns where.
func (r *Relay) Door(i int, target string) (string, error) {
	var err error
	for range 20 { // one port that is free for both
		d := &door{to: i, target: target}
		if d.tcp, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return "", err
		}
		at := d.tcp.Addr().(*net.TCPAddr)
		if d.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err != nil {
			d.tcp.Close()
			continue
		}
		to, err := net.ResolveUDPAddr("udp", target)
		if err != nil {
			return "", err
		}
		if d.out, err = net.DialUDP("udp", nil, to); err != nil {
			return "", err
		}
		r.mu.Lock()
		r.doors = append(r.doors, d)
		r.mu.Unlock()
		go r.datagrams(d)
		go r.streams(d)
		return at.String(), nil
	}
	return "", err
}

// Cut divides the instances; nil joins them again. Open streams across are closed.
func (r *Relay) Cut(cut func(from, to int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cut == nil {
		cut = func(int, int) bool { return false }
	}
	r.cut = cut
	for c, ends := range r.conns {
		if cut(ends[0], ends[1]) {
			c.Close()
		}
	}
}

// Close ends it.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.doors {
		d.tcp.Close()
		d.udp.Close()
		d.out.Close()
	}
	for c := range r.conns {
		c.Close()
	}
}

// fate draws what becomes of a datagram: when each copy of it arrives.
func (r *Relay) fate(from, to int) (late []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut(from, to) || r.rng.Float64() < r.Loss {
		return nil
	}
	copies := 1
	if r.rng.Float64() < r.Repeat {
		copies = 2
	}
	for range copies {
		late = append(late, time.Duration(r.rng.Float64()*float64(r.Delay)))
	}
	return late
}

func (r *Relay) datagrams(d *door) {
	buf := make([]byte, 64<<10)
	for {
		n, src, err := d.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		for _, late := range r.fate(from(src), d.to) {
			time.AfterFunc(late, func() { d.out.Write(raw) })
		}
	}
}

func (r *Relay) streams(d *door) {
	for {
		c, err := d.tcp.Accept()
		if err != nil {
			return
		}
		src := from(c.RemoteAddr())
		r.mu.Lock()
		cut := r.cut(src, d.to)
		r.mu.Unlock()
		if cut { // silence, as a cut link gives; the caller's patience ends it
			time.AfterFunc(3*time.Second, func() { c.Close() })
			continue
		}
		go func() {
			defer c.Close()
			time.Sleep(r.Delay / 2)
			t, err := net.DialTimeout("tcp", d.target, time.Second)
			if err != nil {
				return
			}
			defer t.Close()
			r.mu.Lock()
			r.conns[c], r.conns[t] = [2]int{src, d.to}, [2]int{src, d.to}
			r.mu.Unlock()
			go func() { io.Copy(t, c); t.(*net.TCPConn).CloseWrite() }()
			io.Copy(c, t)
			r.mu.Lock()
			delete(r.conns, c)
			delete(r.conns, t)
			r.mu.Unlock()
		}()
	}
}

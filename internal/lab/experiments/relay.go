package experiments

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Limits of the relay.
const (
	reorderDelay    = 100 * time.Millisecond // extra delay of a datagram that later ones are to overtake
	chunkSize       = 16 << 10
	maxQueuedChunks = 64 // per direction of a stream; reading pauses while so many are queued
)

// Link describes how one instance's traffic to another is impaired. Loss, Repeat and Reorder affect datagrams
// only, since TCP would repair them.
type Link struct {
	Cut     bool          // datagrams are lost; streams, also new ones, stall until the cut ends, and no end gets an error
	Delay   time.Duration // of each datagram and chunk
	Jitter  time.Duration // upper bound of an additional delay, drawn for each datagram and chunk
	Rate    float64       // bytes per second of each stream; 0: unlimited
	Loss    float64       // fraction of the datagrams that are lost
	Repeat  float64       // fraction of the datagrams that arrive twice
	Reorder float64       // fraction of the datagrams that later ones overtake
}

// with combines two links, taking the worse value of each field.
func (l Link) with(m Link) Link {
	rate := max(l.Rate, m.Rate)
	if l.Rate > 0 && m.Rate > 0 {
		rate = min(l.Rate, m.Rate)
	}
	return Link{Cut: l.Cut || m.Cut, Delay: max(l.Delay, m.Delay), Jitter: max(l.Jitter, m.Jitter), Rate: rate,
		Loss: max(l.Loss, m.Loss), Repeat: max(l.Repeat, m.Repeat), Reorder: max(l.Reorder, m.Reorder)}
}

// Relay forwards the traffic between instances on loopback and injects faults: each instance sends from its own
// address and is reached through forwarders. How the nth datagram of a link is treated
// depends on seed, link and n alone.
type Relay struct {
	seed        uint64
	defaultLink Link

	mu         sync.Mutex
	faults     []*linkFault
	changed    chan struct{} // closed at each change of faults
	sent       map[[2]int]uint64
	streams    map[*stream]bool
	forwarders []*forwarder
	closed     bool
	goroutines sync.WaitGroup
	meter      trafficMeter
}

type linkFault struct {
	Link
	matches func(from, to int) bool
}

type forwarder struct {
	from, to int
	traffic  string // kind of traffic, by which it is counted
	target   string
	udp      *net.UDPConn
	out      *net.UDPConn
	tcp      net.Listener
}

// NewRelay returns a relay without forwarders; without faults each link is as defaultLink.
func NewRelay(seed uint64, usual Link) *Relay {
	return &Relay{seed: seed, defaultLink: usual, changed: make(chan struct{}), sent: map[[2]int]uint64{}, streams: map[*stream]bool{}}
}

// IP returns the loopback address from which instance i sends.
func IP(i int) net.IP { return net.IPv4(127, 0, byte(1+(firstIP+i)>>8), byte(firstIP+i)) }

// firstIP is the last byte of the address of instance 0.
const firstIP = 10

// Anyone is the sender of a forwarder that identifies senders by their source address.
const Anyone = -1

func (d *forwarder) sender(ip net.IP) int {
	if d.from != Anyone {
		return d.from
	}
	at := ip.To4()
	return (int(at[2])-1)<<8 + int(at[3]) - firstIP
}

// Forward opens a forwarder from one instance, or Anyone, to another, which listens at target, and returns
// the address of the forwarder.
func (r *Relay) Forward(from, to int, target string) (string, error) {
	return r.ForwardTraffic("", from, to, target)
}

// ForwardTraffic is Forward for one kind of traffic, under which the relay counts it.
func (r *Relay) ForwardTraffic(kind string, from, to int, target string) (string, error) {
	l, u, err := listenBoth("127.0.0.1") // both stay open: a child that is being forked may hold a closed port for a moment
	if err != nil {
		return "", err
	}
	d := &forwarder{from: from, to: to, traffic: kind, target: target, tcp: l, udp: u.(*net.UDPConn)}
	far, err := net.ResolveUDPAddr("udp", target)
	if err == nil {
		d.out, err = net.DialUDP("udp", nil, far)
	}
	if err != nil {
		d.tcp.Close()
		d.udp.Close()
		return "", err
	}
	r.mu.Lock()
	r.forwarders = append(r.forwarders, d)
	r.mu.Unlock()
	r.goroutines.Go(func() { r.datagrams(d) })
	r.goroutines.Go(func() { r.accept(d) })
	return l.Addr().String(), nil
}

// AddFault impairs the links for which matches returns true, until lift is called. Several faults may apply to one
// link.
func (r *Relay) AddFault(matches func(from, to int) bool, l Link) (lift func()) {
	x := &linkFault{l, matches}
	r.change(func() { r.faults = append(r.faults, x) })
	return func() {
		r.change(func() { r.faults = slices.DeleteFunc(r.faults, func(y *linkFault) bool { return x == y }) })
	}
}

func (r *Relay) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset aborts the open streams for which matches returns true, given opener and target. Both ends get a connection
// reset.
func (r *Relay) Reset(matches func(from, to int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		if matches(s.from, s.to) {
			s.end(true)
		}
	}
}

// Close closes all forwarders and streams and waits for the goroutines.
func (r *Relay) Close() {
	r.change(func() { r.closed = true })
	r.mu.Lock()
	for _, d := range r.forwarders {
		d.tcp.Close()
		d.udp.Close()
		d.out.Close()
	}
	for s := range r.streams {
		s.end(true)
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

// link returns the current state of a link. The caller holds mu.
func (r *Relay) link(from, to int) Link {
	l := r.defaultLink
	for _, x := range r.faults {
		if x.matches(from, to) {
			l = l.with(x.Link)
		}
	}
	return l
}

// datagramDelays draws the delay of each copy of a datagram; none if the datagram is lost.
func (r *Relay) datagramDelays(from, to int) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]int{from, to}
	r.sent[key]++
	rng := rand.New(rand.NewPCG(r.seed^r.sent[key]<<16, uint64(from)<<32|uint64(to)))
	l := r.link(from, to)
	lost, repeated, reordered := rng.Float64() < l.Loss, rng.Float64() < l.Repeat, rng.Float64() < l.Reorder
	if l.Cut || lost {
		return nil
	}
	delays = append(delays, l.Delay+time.Duration(rng.Float64()*float64(l.Jitter)))
	if reordered {
		delays[0] += reorderDelay
	}
	if repeated {
		delays = append(delays, l.Delay+time.Duration(rng.Float64()*float64(l.Jitter)))
	}
	return delays
}

func (r *Relay) datagrams(d *forwarder) {
	buf := make([]byte, 64<<10)
	for {
		n, src, err := d.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		from := d.sender(src.IP)
		late := r.datagramDelays(from, d.to)
		r.count(d, from, buf[:n], true, len(late) > 0)
		if len(late) == 1 && late[0] == 0 {
			d.out.Write(buf[:n])
			continue
		}
		raw := slices.Clone(buf[:n])
		for _, late := range late {
			time.AfterFunc(late, func() { d.out.Write(raw) })
		}
	}
}

func (r *Relay) accept(d *forwarder) {
	for {
		conn, err := d.tcp.Accept()
		if err != nil {
			return
		}
		s := &stream{r: r, from: d.sender(conn.RemoteAddr().(*net.TCPAddr).IP), to: d.to, traffic: d.traffic, near: conn.(*net.TCPConn), done: make(chan struct{})}
		r.mu.Lock()
		r.streams[s] = true
		if r.closed {
			s.end(true)
		}
		r.mu.Unlock()
		r.goroutines.Go(func() { s.run(d.target) })
	}
}

// stream is a TCP connection through a forwarder.
type stream struct {
	r        *Relay
	from, to int
	traffic  string
	near     *net.TCPConn
	done     chan struct{}
	once     sync.Once

	mu           sync.Mutex
	far          *net.TCPConn // nil: not connected yet
	awaitsCutEnd bool         // connecting waits for the end of a cut; if the opener closes first, no connection is made
	ended        bool
}

// chunk is a part of one direction of a stream, or its end.
type chunk struct {
	data []byte
	due  time.Time
	end  bool
	err  error // set if the direction ended by a reset
}

// end closes both connections, with a reset if abort is set.
func (s *stream) end(abort bool) {
	s.once.Do(func() {
		close(s.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = true
		for _, c := range []*net.TCPConn{s.near, s.far} {
			if c == nil {
				continue
			}
			if abort {
				c.SetLinger(0)
			}
			c.Close()
		}
	})
}

// run carries a stream from its opening to its end.
func (s *stream) run(target string) {
	defer func() {
		s.end(false)
		s.r.mu.Lock()
		delete(s.r.streams, s)
		s.r.mu.Unlock()
	}()
	forth, back := make(chan chunk, maxQueuedChunks), make(chan chunk, maxQueuedChunks)
	s.r.mu.Lock()
	s.awaitsCutEnd = s.r.link(s.from, s.to).Cut || s.r.link(s.to, s.from).Cut
	s.r.mu.Unlock()
	s.r.goroutines.Go(func() { s.read(s.near, s.from, s.to, forth) })
	// Connecting takes a message in each direction.
	if !s.waitUntilDue(s.from, s.to, time.Time{}) || !s.waitUntilDue(s.to, s.from, time.Time{}) {
		return
	}
	c, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		s.end(true)
		return
	}
	s.mu.Lock()
	s.far, s.awaitsCutEnd = c.(*net.TCPConn), false
	if s.ended {
		c.Close()
	}
	s.mu.Unlock()
	s.r.goroutines.Go(func() { s.read(s.far, s.to, s.from, back) })
	var directions sync.WaitGroup
	directions.Go(func() { s.write(s.far, s.from, s.to, forth) })
	directions.Go(func() { s.write(s.near, s.to, s.from, back) })
	directions.Wait()
}

// read reads one direction until it ends and queues its chunks.
func (s *stream) read(in *net.TCPConn, from, to int, chunks chan<- chunk) {
	counted := streamMeter{relay: s.r, serves: s.traffic, from: from, to: to}
	defer counted.flush()
	for {
		buf := make([]byte, chunkSize)
		n, err := in.Read(buf)
		counted.read(buf[:n])
		s.r.mu.Lock()
		l := s.r.link(from, to)
		s.r.mu.Unlock()
		p := chunk{data: buf[:n], due: time.Now().Add(l.Delay + time.Duration(rand.Float64()*float64(l.Jitter))), end: err != nil}
		if err != nil && !errors.Is(err, io.EOF) {
			p.err = err
		}
		s.mu.Lock()
		abandoned := p.end && s.awaitsCutEnd
		s.mu.Unlock()
		if abandoned {
			s.end(false)
		}
		select {
		case chunks <- p:
		case <-s.done:
			return
		}
		if p.end {
			return
		}
	}
}

// write sends the chunks of one direction when they are due and at the rate of the link.
func (s *stream) write(out *net.TCPConn, from, to int, chunks <-chan chunk) {
	var nextFree time.Time
	for {
		var p chunk
		select {
		case p = <-chunks:
		case <-s.done:
			return
		}
		if p.due.Before(nextFree) {
			p.due = nextFree
		}
		if !s.waitUntilDue(from, to, p.due) {
			return
		}
		if _, err := out.Write(p.data); err != nil || p.err != nil {
			s.end(true)
			return
		}
		if p.end {
			out.CloseWrite()
			return
		}
		s.r.mu.Lock()
		l := s.r.link(from, to)
		s.r.mu.Unlock()
		if l.Rate > 0 {
			nextFree = time.Now().Add(time.Duration(float64(len(p.data)) / l.Rate * float64(time.Second)))
		}
	}
}

// waitUntilDue waits until a link is not cut and the time due has come. It returns false if the stream has ended.
func (s *stream) waitUntilDue(from, to int, due time.Time) bool {
	for {
		s.r.mu.Lock()
		cut, changed := s.r.link(from, to).Cut, s.r.changed
		s.r.mu.Unlock()
		left := time.Until(due)
		if !cut && left <= 0 {
			return true
		}
		if cut {
			left = time.Hour // until the links change
		}
		t := time.NewTimer(left)
		select {
		case <-s.done:
			t.Stop()
			return false
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

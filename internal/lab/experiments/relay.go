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

// Figures of the relay.
const (
	holdBack   = 100 * time.Millisecond // longer that a datagram takes which others are to overtake
	pieceLen   = 16 << 10
	piecesMost = 64 // of one side of a stream that are on their way; then it is read no further
)

// Link is what becomes of what one instance sends to another. Streams keep
// their order and lose nothing: they would repair that.
type Link struct {
	Cut     bool          // datagrams are lost, streams stand still until it ends, new ones are not made; nobody is told
	Delay   time.Duration // of all that passes
	Jitter  time.Duration // at most, on top of that, drawn for each datagram and each piece of a stream
	Rate    float64       // bytes a second of each stream; 0: no bound
	Loss    float64       // part of the datagrams
	Repeat  float64       // part of the datagrams that come twice
	Reorder float64       // part of the datagrams that later ones overtake
}

// with joins two faults on one link: of each the worse.
func (l Link) with(m Link) Link {
	rate := max(l.Rate, m.Rate)
	if l.Rate > 0 && m.Rate > 0 {
		rate = min(l.Rate, m.Rate)
	}
	return Link{Cut: l.Cut || m.Cut, Delay: max(l.Delay, m.Delay), Jitter: max(l.Jitter, m.Jitter), Rate: rate,
		Loss: max(l.Loss, m.Loss), Repeat: max(l.Repeat, m.Repeat), Reorder: max(l.Reorder, m.Reorder)}
}

// Relay stands between instances on loopback: each sends from an address of its
// own and is reached through a door. What becomes of the nth datagram of a link
// is a function of seed, link and n.
type Relay struct {
	seed  uint64
	usual Link

	mu      sync.Mutex
	laid    []*laid
	changed chan struct{} // closed at each change of links
	sent    map[[2]int]uint64
	streams map[*stream]bool
	doors   []*door
	closed  bool
	all     sync.WaitGroup
	meter   trafficMeter
}

type laid struct {
	Link
	over func(from, to int) bool
}

type door struct {
	from, to int
	serves   string // what listens there
	target   string
	udp      *net.UDPConn
	out      *net.UDPConn
	tcp      net.Listener
}

// NewRelay makes a relay with no doors, whose links usually do that.
func NewRelay(seed uint64, usual Link) *Relay {
	return &Relay{seed: seed, usual: usual, changed: make(chan struct{}), sent: map[[2]int]uint64{}, streams: map[*stream]bool{}}
}

// IP is the address from which instance i sends.
func IP(i int) net.IP { return net.IPv4(127, 0, byte(1+(firstIP+i)>>8), byte(firstIP+i)) }

// firstIP is the last byte of the address of instance 0.
const firstIP = 10

// Anyone is who comes through a door that tells senders apart by their address.
const Anyone = -1

func (d *door) sender(ip net.IP) int {
	if d.from != Anyone {
		return d.from
	}
	at := ip.To4()
	return (int(at[2])-1)<<8 + int(at[3]) - firstIP
}

// Door opens a way from an instance, or Anyone, to another, which listens at
// target, and returns where.
func (r *Relay) Door(from, to int, target string) (string, error) {
	return r.DoorTo("", from, to, target)
}

// DoorTo is a door to what serves one kind of traffic, by which it is counted.
func (r *Relay) DoorTo(serves string, from, to int, target string) (string, error) {
	l, u, err := listenBoth("127.0.0.1") // and keeps both: a child that is being forked may hold a closed port for a moment
	if err != nil {
		return "", err
	}
	d := &door{from: from, to: to, serves: serves, target: target, tcp: l, udp: u.(*net.UDPConn)}
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
	r.doors = append(r.doors, d)
	r.mu.Unlock()
	r.all.Go(func() { r.datagrams(d) })
	r.all.Go(func() { r.accept(d) })
	return l.Addr().String(), nil
}

// Lay puts a fault on links until it is lifted. Several may lie on one link.
func (r *Relay) Lay(over func(from, to int) bool, l Link) (lift func()) {
	x := &laid{l, over}
	r.change(func() { r.laid = append(r.laid, x) })
	return func() {
		r.change(func() { r.laid = slices.DeleteFunc(r.laid, func(y *laid) bool { return x == y }) })
	}
}

func (r *Relay) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset breaks the open streams of the instances that opened them, so that both ends are told.
func (r *Relay) Reset(over func(from, to int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		if over(s.from, s.to) {
			s.end(true)
		}
	}
}

// Close ends it.
func (r *Relay) Close() {
	r.change(func() { r.closed = true })
	r.mu.Lock()
	for _, d := range r.doors {
		d.tcp.Close()
		d.udp.Close()
		d.out.Close()
	}
	for s := range r.streams {
		s.end(true)
	}
	r.mu.Unlock()
	r.all.Wait()
}

// link is what holds between two now. The lock is held.
func (r *Relay) link(from, to int) Link {
	l := r.usual
	for _, x := range r.laid {
		if x.over(from, to) {
			l = l.with(x.Link)
		}
	}
	return l
}

// fate draws what becomes of a datagram: when each copy of it arrives.
func (r *Relay) fate(from, to int) (late []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	way := [2]int{from, to}
	r.sent[way]++
	rng := rand.New(rand.NewPCG(r.seed^r.sent[way]<<16, uint64(from)<<32|uint64(to)))
	l := r.link(from, to)
	lost, twice, back := rng.Float64() < l.Loss, rng.Float64() < l.Repeat, rng.Float64() < l.Reorder
	if l.Cut || lost {
		return nil
	}
	late = append(late, l.Delay+time.Duration(rng.Float64()*float64(l.Jitter)))
	if back {
		late[0] += holdBack
	}
	if twice {
		late = append(late, l.Delay+time.Duration(rng.Float64()*float64(l.Jitter)))
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
		from := d.sender(src.IP)
		late := r.fate(from, d.to)
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

func (r *Relay) accept(d *door) {
	for {
		c, err := d.tcp.Accept()
		if err != nil {
			return
		}
		s := &stream{r: r, from: d.sender(c.RemoteAddr().(*net.TCPAddr).IP), to: d.to, serves: d.serves, near: c.(*net.TCPConn), done: make(chan struct{})}
		r.mu.Lock()
		r.streams[s] = true
		if r.closed {
			s.end(true)
		}
		r.mu.Unlock()
		r.all.Go(func() { s.carry(d.target) })
	}
}

// stream is a connection through a door.
type stream struct {
	r        *Relay
	from, to int
	serves   string
	near     *net.TCPConn
	done     chan struct{}
	once     sync.Once

	mu    sync.Mutex
	far   *net.TCPConn // nil: not made yet
	waits bool         // for the end of a cut to be made: if who asked ends it first, it never was
	ended bool
}

// piece is a part of one side, or its end.
type piece struct {
	data []byte
	due  time.Time
	end  bool
	err  error // of the end: the side was reset
}

// end closes both ends, in good order or not.
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

// carry plays a stream from its opening to its end.
func (s *stream) carry(target string) {
	defer func() {
		s.end(false)
		s.r.mu.Lock()
		delete(s.r.streams, s)
		s.r.mu.Unlock()
	}()
	there, back := make(chan piece, piecesMost), make(chan piece, piecesMost)
	s.r.mu.Lock()
	s.waits = s.r.link(s.from, s.to).Cut || s.r.link(s.to, s.from).Cut
	s.r.mu.Unlock()
	s.r.all.Go(func() { s.read(s.near, s.from, s.to, there) })
	// A connection is made by a message each way.
	if !s.pass(s.from, s.to, time.Time{}) || !s.pass(s.to, s.from, time.Time{}) {
		return
	}
	c, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		s.end(true)
		return
	}
	s.mu.Lock()
	s.far, s.waits = c.(*net.TCPConn), false
	if s.ended {
		c.Close()
	}
	s.mu.Unlock()
	s.r.all.Go(func() { s.read(s.far, s.to, s.from, back) })
	var ways sync.WaitGroup
	ways.Go(func() { s.write(s.far, s.from, s.to, there) })
	ways.Go(func() { s.write(s.near, s.to, s.from, back) })
	ways.Wait()
}

// read takes in one side until it ends.
func (s *stream) read(in *net.TCPConn, from, to int, pieces chan<- piece) {
	counted := streamMeter{relay: s.r, serves: s.serves, from: from, to: to}
	defer counted.flush()
	for {
		buf := make([]byte, pieceLen)
		n, err := in.Read(buf)
		counted.read(buf[:n])
		s.r.mu.Lock()
		l := s.r.link(from, to)
		s.r.mu.Unlock()
		p := piece{data: buf[:n], due: time.Now().Add(l.Delay + time.Duration(rand.Float64()*float64(l.Jitter))), end: err != nil}
		if err != nil && !errors.Is(err, io.EOF) {
			p.err = err
		}
		s.mu.Lock()
		never := p.end && s.waits
		s.mu.Unlock()
		if never {
			s.end(false)
		}
		select {
		case pieces <- p:
		case <-s.done:
			return
		}
		if p.end {
			return
		}
	}
}

// write lets one side out as the link has it.
func (s *stream) write(out *net.TCPConn, from, to int, pieces <-chan piece) {
	var free time.Time
	for {
		var p piece
		select {
		case p = <-pieces:
		case <-s.done:
			return
		}
		if p.due.Before(free) {
			p.due = free
		}
		if !s.pass(from, to, p.due) {
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
			free = time.Now().Add(time.Duration(float64(len(p.data)) / l.Rate * float64(time.Second)))
		}
	}
}

// pass waits until a link is open and a time has come; false: the stream has ended.
func (s *stream) pass(from, to int, due time.Time) bool {
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

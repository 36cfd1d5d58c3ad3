package fault

// OpKind is the kind of an Op.
type OpKind int

// The kinds of operations. After Close or Abort neither direction of the
// connection has further operations.
const (
	Write      OpKind = iota
	CloseWrite        // no more data follow in this direction
	Close             // both sides are closed
	Abort             // both sides are closed by a TCP reset
)

// Op is an operation on the receiving end of a stream. Operations are applied in
// order.
type Op struct {
	Kind OpKind
	At   float64 // earliest time, in seconds from the plan's start
	Data []byte  // of a Write
	Hold *Rule   // the operation also waits for the end of this rule; nil: none
	Rule int     // ID of the rule that caused the operation; 0: none
}

// Stream is one direction of a connection. It is not safe for concurrent use.
type Stream struct {
	plan     *Plan
	endpoint string
	side     Side
	conn     uint64

	byteCount  int64
	chunkCount uint64
	scan       scanner
	texts      map[int]*textSearch // by rule ID
	applied    map[int]bool        // by rule ID
	hold       *Rule
	rateFreeAt float64 // when the data accepted so far have been sent at the bounded rate
	lastAt     float64
	closed     bool
	pending    []Op
}

// NewStream returns one direction of the connection with number conn of an
// endpoint.
func NewStream(p *Plan, endpoint string, side Side, conn uint64) *Stream {
	return &Stream{
		plan:     p,
		endpoint: endpoint,
		side:     side,
		conn:     conn,
		texts:    map[int]*textSearch{},
		applied:  map[int]bool{},
	}
}

// activeRules returns the rules in force for the stream.
func (s *Stream) activeRules(now float64) (rules []*Rule) {
	for _, r := range s.plan.ActiveAt(now, s.endpoint) {
		if r.appliesToSide(s.side) && s.plan.Selects(r, s.endpoint, s.conn) {
			rules = append(rules, r)
		}
	}
	return rules
}

// Process returns the operations for data that were received. It may change the
// data in place.
func (s *Stream) Process(now float64, data []byte) []Op {
	rules := s.activeRules(now)
	s.applyDue(now, rules)
	s.chunkCount++
	c := chunk{
		now:   now,
		delay: s.delay(rules),
		rules: rules,
		data:  data,
	}
	for i := 0; i < len(data) && !s.closed; i++ {
		s.garble(&c, i)
		s.byteCount++
		s.scan.step(data[i])
		s.applyAfterByte(&c, i)
	}
	s.flush(&c, len(data))
	return s.drainPending()
}

// Begin returns the operations of the rules whose point has already been reached.
// It is called when the connection is opened and when a rule begins.
func (s *Stream) Begin(now float64) []Op {
	s.applyDue(now, s.activeRules(now))
	return s.drainPending()
}

// End returns the operations for the end of the received data. There are none
// after a rule has ended the stream.
func (s *Stream) End(now float64) []Op {
	if !s.closed {
		s.closed = true
		s.pending = append(s.pending, Op{
			Kind: CloseWrite,
			At:   max(now, s.lastAt),
			Hold: s.hold,
		})
	}
	return s.drainPending()
}

// chunk is the data of one Feed.
type chunk struct {
	now     float64
	delay   float64
	rules   []*Rule
	data    []byte
	flushed int // number of bytes for which operations exist
}

// delay returns the delay of the current chunk.
func (s *Stream) delay(rules []*Rule) float64 {
	delay := 0.0
	for _, r := range rules {
		if r.Kind == Delay {
			u := unitHash(s.plan.Seed, s.endpoint, s.side, uint64(r.ID), s.conn, s.chunkCount)
			delay += r.Delay + r.Jitter*u
		}
	}
	return delay
}

// flush appends a write of the chunk's remaining bytes up to an index.
func (s *Stream) flush(c *chunk, end int) {
	if end > c.flushed && !s.closed {
		at := s.rateLimit(c, end-c.flushed)
		s.lastAt = max(s.lastAt, at+c.delay) // operations must stay in order
		s.pending = append(s.pending, Op{
			Kind: Write,
			At:   s.lastAt,
			Data: c.data[c.flushed:end:end],
			Hold: s.hold,
		})
	}
	c.flushed = end
}

// rateLimit returns the time at which the rate rules allow a number of bytes to be
// sent.
func (s *Stream) rateLimit(c *chunk, size int) float64 {
	at := c.now
	for _, r := range c.rules {
		if r.Kind == Rate {
			s.rateFreeAt = max(s.rateFreeAt, c.now) + float64(size)/r.Rate
			at = s.rateFreeAt
		}
	}
	return at
}

// garble changes byte i for each Garble rule that is due.
func (s *Stream) garble(c *chunk, i int) {
	for _, r := range c.rules {
		if r.Kind == Garble && s.due(r) {
			// The mask is from 1 to 254, so that the byte differs.
			c.data[i] ^= byte(1 + 254*unitHash(s.plan.Seed, s.endpoint, s.side, uint64(r.ID), s.conn))
			s.applied[r.ID] = true
		}
	}
}

// applyAfterByte applies the rules that become due after byte i.
func (s *Stream) applyAfterByte(c *chunk, i int) {
	for _, r := range c.rules {
		if r.After == Text && !s.applied[r.ID] {
			s.searchText(r, c.data[i])
		}
		if r.appliesOnce() && r.Kind != Garble && s.due(r) {
			s.flush(c, i+1)
			s.apply(c.now, r)
		}
	}
}

func (s *Stream) searchText(r *Rule, b byte) {
	search := s.texts[r.ID]
	if search == nil {
		search = newTextSearch(r.Text)
		s.texts[r.ID] = search
	}
	search.step(b)
}

func (s *Stream) drainPending() []Op {
	ops := s.pending
	s.pending = nil
	return ops
}

// applyDue applies the rules whose point has been reached.
func (s *Stream) applyDue(now float64, rules []*Rule) {
	if s.hold != nil && !s.hold.Active(now) {
		s.hold = nil
	}
	for _, r := range rules {
		if r.appliesOnce() && r.Kind != Garble && s.due(r) {
			s.apply(now, r)
		}
	}
}

// due reports whether the stream has reached the point of a rule that has not yet
// been applied to the stream.
func (s *Stream) due(r *Rule) bool {
	if s.applied[r.ID] || s.closed {
		return false
	}
	nth := max(r.Nth, 1)
	switch r.After {
	case "":
		return s.byteCount >= r.Byte
	case Text:
		search := s.texts[r.ID]
		return search != nil && search.found >= nth
	}
	return s.scan.reached(r.After) >= nth
}

// apply applies a rule to the stream: Silence holds the operations that follow,
// the other kinds end the stream.
func (s *Stream) apply(now float64, r *Rule) {
	s.applied[r.ID] = true
	if r.Kind == Silence {
		s.hold = r
		return
	}
	op := Op{
		At:   max(now, s.lastAt),
		Rule: r.ID,
		Hold: s.hold,
	}
	switch r.Kind {
	case HalfClose:
		op.Kind = CloseWrite
	case Cut:
		op.Kind = Close
	case Reset:
		op.Kind = Abort
	}
	s.closed = true
	s.pending = append(s.pending, op)
}

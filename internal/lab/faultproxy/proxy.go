// Package faultproxy forwards connections and datagrams between sockets and
// applies the faults that package fault decides on. bellstream-fault and tests use
// it.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"

	"example.org/bellstream/internal/lab/fault"
)

// The events of the log.
const (
	eventRuleBegins  = "begins"
	eventRuleEnds    = "ends"
	eventRuleApplied = "strikes"
	eventConnOpened  = "opens"
	eventConnClosed  = "closes"
	eventFailed      = "fails"
)

// Entry is a line of the event log. Which fields are set depends on the event.
type Entry struct {
	Time      time.Time  `json:"time"`
	Event     string     `json:"event"` // begins, ends, strikes, opens, closes, fails
	Rule      int        `json:"rule,omitempty"`
	Kind      fault.Kind `json:"kind,omitempty"`
	Endpoint  string     `json:"door,omitempty"`
	Endpoints []string   `json:"doors,omitempty"`
	Conn      uint64     `json:"conn,omitempty"`
	Side      fault.Side `json:"side,omitempty"`
	Reason    string     `json:"why,omitempty"`
}

// Options are the parameters of a Proxy.
type Options struct {
	Seed      uint64
	Endpoints []fault.Endpoint
	Rules     []fault.Rule     // must be valid, see fault.Rule.Validate
	Log       func(Entry)      // receives all events, one call at a time; may be nil
	Now       func() time.Time // nil: time.Now
}

// Proxy forwards traffic between its endpoints and their targets.
type Proxy struct {
	log        func(Entry)
	now        func() time.Time
	startedAt  time.Time
	endpoints  []*endpoint
	done       chan struct{}
	goroutines sync.WaitGroup

	mu      sync.Mutex
	plan    *fault.Plan
	changed chan struct{} // closed and replaced at each refresh of the active rules
	active  map[int]fault.Rule
	conns   map[*conn]bool
	closed  bool

	logMu     sync.Mutex
	refreshMu sync.Mutex // serializes refresh
}

// Start opens the endpoints and begins to apply the rules. An error names the endpoint
// that could not be opened.
func Start(o Options) (*Proxy, error) {
	p := newProxy(o)
	for _, e := range o.Endpoints {
		opened := &endpoint{
			proxy:    p,
			Endpoint: e,
			sources:  map[string]*net.UDPConn{},
		}
		if err := opened.open(); err != nil {
			p.Close()
			return nil, fmt.Errorf("door %s: %w", e.Name, err)
		}
		p.endpoints = append(p.endpoints, opened)
	}
	p.refresh()
	p.goroutines.Add(1)
	go p.watch()
	return p, nil
}

func newProxy(o Options) *Proxy {
	p := &Proxy{
		log:     o.Log,
		now:     o.Now,
		plan:    &fault.Plan{Seed: o.Seed},
		changed: make(chan struct{}),
		done:    make(chan struct{}),
		active:  map[int]fault.Rule{},
		conns:   map[*conn]bool{},
	}
	if p.now == nil {
		p.now = time.Now
	}
	p.startedAt = p.now()
	for _, r := range o.Rules {
		p.plan.Add(r)
	}
	return p
}

// Addr returns the listening address of an endpoint, or an empty string if there is no
// endpoint of that name.
func (p *Proxy) Addr(name string) string {
	for _, e := range p.endpoints {
		if e.Name == name {
			return e.Listen
		}
	}
	return ""
}

// Endpoints returns all endpoints with the addresses at which they listen.
func (p *Proxy) Endpoints() (endpoints []fault.Endpoint) {
	for _, e := range p.endpoints {
		endpoints = append(endpoints, e.Endpoint)
	}
	return endpoints
}

// Inject adds a rule and returns its ID. The rule's At counts from now. An invalid rule
// is rejected with a *fault.RuleError.
func (p *Proxy) Inject(r fault.Rule) (int, error) {
	networks := map[string]string{}
	for _, e := range p.endpoints {
		networks[e.Name] = e.Network
	}
	if err := r.Validate(networks); err != nil {
		return 0, err
	}
	p.mu.Lock()
	r.At += p.clock()
	id := p.plan.Add(r)
	p.mu.Unlock()
	p.refresh()
	return id, nil
}

// Remove ends a rule and reports whether a rule with this ID existed.
func (p *Proxy) Remove(id int) bool {
	p.mu.Lock()
	removed := p.plan.Remove(p.clock(), id)
	p.mu.Unlock()
	p.refresh()
	return removed
}

// Rules returns the rules that have not ended.
func (p *Proxy) Rules() []fault.Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan.Rules(p.clock())
}

// Close closes all endpoints and connections and waits for their goroutines.
func (p *Proxy) Close() {
	if !p.closeConns() {
		return
	}
	for _, e := range p.endpoints {
		e.close()
	}
	p.goroutines.Wait()
}

// closeConns closes all connections. It returns false if the proxy was already closed.
func (p *Proxy) closeConns() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.closed = true
	close(p.done)
	for c := range p.conns {
		c.close(false)
	}
	return true
}

// clock returns the seconds since the proxy was started.
func (p *Proxy) clock() float64 { return p.now().Sub(p.startedAt).Seconds() }

func (p *Proxy) record(e Entry) {
	if p.log == nil {
		return
	}
	e.Time = p.now()
	p.logMu.Lock()
	defer p.logMu.Unlock()
	p.log(e)
}

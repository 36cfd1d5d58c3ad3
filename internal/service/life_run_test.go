package service

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/invariants"
	"example.org/bellstream/internal/lab/wiretest"
	"example.org/bellstream/internal/settings"
)

// scenarioRun executes one scenario.
type scenarioRun struct {
	*scenario
	rng     *rand.Rand
	clients []*scriptedClient
	ended   chan struct{} // closed when the loop has ended
}

// runScenario executes steps drawn from the seed, checks the history and records violations.
func runScenario(t *testing.T, seed uint64, stalls *stallMonitor) *scenario {
	rng := rand.New(rand.NewPCG(seed, 24))
	r := &scenarioRun{scenario: newScenario(t, rng), rng: rng, ended: make(chan struct{})}
	go r.runLoop()
	steps := make([]byte, 100)
	for i := range steps {
		steps[i] = byte(rng.Uint32())
	}
	stops := rng.IntN(3) == 0
	wiretest.Steps(steps, len(steps), func(step byte) {
		if kind := step % 32; kind < 21 || kind > 29 {
			r.clientStep(kind)
		} else {
			r.operatorStep(kind)
		}
		time.Sleep(time.Duration(rng.IntN(12000)) * time.Microsecond) // let steps overlap with the effects of earlier steps
	})
	if stops {
		r.mu.Lock()
		r.stoppedInFlight = true
		r.mayCloseConnections = true
		r.mu.Unlock()
		r.loop.Stop()
	}
	for end := time.Now().Add(8 * time.Second); !r.settled() && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	r.mu.Lock()
	r.mayCloseConnections = true
	r.mu.Unlock()
	r.loop.Stop()
	wiretest.Get(t, r.ended, "the loop to end")
	r.closeAll()
	r.validate(stalls)
	return r.scenario
}

func (p *scenarioRun) runLoop() {
	p.loop.Run(p.server)
	p.mu.Lock()
	p.loopEnded = true
	p.mu.Unlock()
	close(p.ended)
}

// pick returns a random connected client for which fits returns true, or nil.
func (p *scenarioRun) pick(fits func(c *scriptedClient) bool) *scriptedClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.clients)) {
		if c := p.clients[i]; !c.disconnected && !c.closedByServer && fits(c) {
			return c
		}
	}
	return nil
}

// idleClient returns a connected client without unfinished requests. If there is none, it connects a new one, up to 12;
// it returns nil beyond that.
func (p *scenarioRun) idleClient() *scriptedClient {
	c := p.pick(func(c *scriptedClient) bool { return len(c.queue) == 0 && c.unwritten == "" && !c.closeAnnounced })
	if c == nil && len(p.clients) < 12 {
		if c = p.connect(); c != nil {
			p.clients = append(p.clients, c)
		}
	}
	return c
}

func (p *scenarioRun) randomClassAndTimeout() (class string, clientTimeout float64) {
	return scenarioClasses[p.rng.IntN(len(scenarioClasses))].Name, 0.1 + 0.6*p.rng.Float64()
}

// clientStep executes a step of the clients.
func (p *scenarioRun) clientStep(step byte) {
	switch step {
	default: // a complete request
		if c := p.idleClient(); c != nil {
			class, clientTimeout := p.randomClassAndTimeout()
			c.startRequest(class, clientTimeout, 1)
		}
	case 10, 11, 12: // part of a request
		if c := p.idleClient(); c != nil {
			class, clientTimeout := p.randomClassAndTimeout()
			c.startRequest(class, clientTimeout, p.rng.Float64())
		}
	case 13, 14, 15: // the rest of a partial request
		if c := p.pick(func(c *scriptedClient) bool { return c.unwritten != "" }); c != nil {
			c.finishRequest()
		}
	case 16: // a pipelined request after one that is not answered yet
		if c := p.pick(func(c *scriptedClient) bool { return len(c.queue) == 1 && c.unwritten == "" && !c.closeAnnounced }); c != nil {
			class, _ := p.randomClassAndTimeout()
			c.startRequest(class, 1, 1) // its timeout counts from the answer to the first request
		}
	case 17, 18, 19:
		if c := p.pick(func(c *scriptedClient) bool { return len(c.queue) > 0 }); c != nil {
			c.disconnect(p.rng.IntN(3))
		}
	case 20: // disconnects after sending part of another request
		if c := p.pick(func(c *scriptedClient) bool { return len(c.queue) > 0 && c.unwritten == "" }); c != nil {
			class, clientTimeout := p.randomClassAndTimeout()
			c.startRequest(class, clientTimeout, 0.5)
			time.Sleep(time.Duration(p.rng.IntN(3000)) * time.Microsecond)
			c.disconnect(p.rng.IntN(2))
		}
	}
}

// operatorStep executes a step of discovery, operators or workers.
func (p *scenarioRun) operatorStep(step byte) {
	switch step {
	case 21, 22:
		p.changeHealth(p.rng.IntN(3), []string{"leaving", "active"}[p.rng.IntN(2)]) // the fourth worker stays active
	case 23:
		p.mu.Lock()
		p.discoverySilent = !p.discoverySilent
		p.mu.Unlock()
	case 24: // the watches end
		p.mu.Lock()
		p.discoveryDown = p.rng.IntN(2) == 0
		for c := range p.watches { // closes the sending side only, so that lines already sent arrive
			c.(*net.TCPConn).CloseWrite()
		}
		p.mu.Unlock()
	case 25:
		p.loop.Redirect(p.discoveryListeners[p.rng.IntN(2)].Addr().String())
	case 26:
		s, _ := settings.Parse([]byte(fmt.Sprintf(scenarioSettings, p.membershipMode, 2+p.rng.IntN(3))))
		p.pool.SetTimeouts(poolTimeouts(s))
		p.loop.ApplySettings(s)
		p.server.SetClasses(classes(s))
	case 27:
		p.pool.Resize(4 + p.rng.IntN(10))
	case 28:
		w := p.workers[p.rng.IntN(len(p.workers))]
		w.slow.Store(!w.slow.Load())
	case 29:
		w := p.workers[p.rng.IntN(len(p.workers))]
		w.mu.Lock()
		for c := range w.open { // with any attempts in flight on them
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		w.mu.Unlock()
	}
}

// settled reports whether each request is answered, abandoned by its client or known to get no answer, or the loop
// has ended.
func (p *scenarioRun) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.requests {
		if len(a.Answers) == 0 && a.DisconnectedAt == 0 && !a.NeverAccepted && !p.loopEnded {
			return false
		}
	}
	return true
}

// closeAll closes all sockets and waits for the goroutines that use them.
func (p *scenarioRun) closeAll() {
	for _, c := range p.clients {
		c.conn.Close()
	}
	for _, l := range p.discoveryListeners {
		l.Close()
	}
	for _, w := range p.workers {
		w.l.Close()
		w.mu.Lock()
		for c := range w.open {
			c.Close()
		}
		w.mu.Unlock()
	}
	p.mu.Lock()
	for c := range p.watches {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// validate checks the history against the rules of package invariants. Violations that remain with an unlimited time
// tolerance don't depend on the clock; the others are timing violations.
func (p *scenarioRun) validate(stalls *stallMonitor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slack := disconnectDelay + stalls.delayBoundSince(p.started)
	h := invariants.History{Limits: invariants.Limits{Grace: 0.016, DrainGrace: 0.1, NetworkSlack: slack}, Classes: scenarioClasses, EndpointChanges: p.notifications}
	for n, w := range p.workers {
		h.Workers = append(h.Workers, invariants.Worker{Name: w.name, Zone: string("zy"[n%2]), Cell: 1, Slots: 1})
	}
	for _, a := range p.requests {
		h.Requests = append(h.Requests, a.Request)
	}
	for _, x := range p.attempts {
		a := p.requestsByID[x.ID]
		if x.mayHaveQueued && a != nil && a.DisconnectedAt > 0 && x.First > a.DisconnectedAt {
			x.First, x.Last = a.DisconnectedAt, a.DisconnectedAt // it may have arrived before the disconnect
		}
		h.Attempts = append(h.Attempts, x.Attempt)
		if a != nil && a.DisconnectedAt > 0 && x.Last > a.DisconnectedAt+slack {
			p.timingViolations = append(p.timingViolations, fmt.Sprintf("request %s reached %s %.3f s after its client disconnected %s", x.ID, x.Worker, x.Last-a.DisconnectedAt, a.disconnectKind))
		}
	}
	all := h.Check()
	h.Limits.NetworkSlack = 1e6
	for _, f := range h.Check() { // violations that don't depend on the clock
		p.violations = append(p.violations, f.String()+p.describe(f.ID))
		all = slices.DeleteFunc(all, func(g invariants.Violation) bool { return g == f })
	}
	for _, f := range all {
		p.timingViolations = append(p.timingViolations, f.String()+p.describe(f.ID))
	}
}

package experiments

import (
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/lease/agent"
)

// agentGroup runs the configuration agents of many instances in this process, on real sockets. A relay between
// them adds delay. Each agent has a loop that adopts the effective configuration as a dispatcher's loop does.
// The simulated agreement is compared with such a group.
type agentGroup struct {
	loops []*agentLoop
	relay *Relay
}

// agentLoop is an agent and the loop that adopts its configuration.
type agentLoop struct {
	*agent.Agent
	wake, stop, stopped chan struct{}
	inForce             atomic.Uint64 // version that the loop applies
}

// agentLoopDelay is the time from waking a loop until it adopts the effective configuration: a dispatcher's round.
const agentLoopDelay = 4 * time.Millisecond

// startAgentGroup starts n agents, the first of them as voters. delay returns the one-way delay between two
// instances. On error, everything that was started is closed.
func startAgentGroup(p Params, n, voters int, s lease.Settings, delay func(from, to int) time.Duration) (c *agentGroup, err error) {
	c = &agentGroup{relay: NewRelay(p.Seed, Link{})}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	delays := map[time.Duration]bool{}
	for x := range n {
		for y := range n {
			delays[delay(x, y)] = true
		}
	}
	for d := range delays { // one fault of the relay covers all links with the same delay
		c.relay.AddFault(func(x, y int) bool { return delay(x, y) == d }, Link{Delay: d})
	}
	voterAddresses, listen := map[string]string{}, make([]string, n)
	for i := range n {
		if listen[i], err = freePort(IP(i).String()); err != nil {
			return nil, err
		}
		if i < voters {
			if voterAddresses[fmt.Sprint("n", i)], err = c.relay.ForwardTraffic(accordService, Anyone, i, listen[i]); err != nil {
				return nil, err
			}
		}
	}
	c.loops = make([]*agentLoop, n)
	for i := range n {
		c.loops[i] = &agentLoop{wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	}
	for i, x := range c.loops {
		name := fmt.Sprint("n", i)
		o := agent.Options{Name: name, Incarnation: uint64(i + 1), Cluster: "lab", StateDir: filepath.Join(p.Out, name), ListenAddress: listen[i], Voters: voterAddresses, LeaseSettings: s,
			Log: zerolog.Nop(), Now: time.Now, OnChange: func() {
				select {
				case x.wake <- struct{}{}:
				default:
				}
			}}
		if x.Agent, err = agent.New(o); err != nil {
			return nil, err
		}
		go x.run(s.PollIntervalSeconds)
	}
	return c, nil
}

// run adopts and acknowledges new configurations until stop is closed. It checks when woken and every
// pollInterval seconds.
func (x *agentLoop) run(pollInterval float64) {
	defer close(x.stopped)
	t := time.NewTicker(time.Duration(pollInterval * float64(time.Second)))
	defer t.Stop()
	var applied *config.Table
	for {
		if r := x.EffectiveConfig(time.Now()); r != applied {
			applied = r
			x.Acknowledge(r)
		}
		if s := x.Status(); s.Leased && s.Table == applied && s.Stage != lease.StageIntersection.String() {
			x.inForce.Store(s.Version)
		}
		select {
		case <-x.stop:
			return
		case <-x.wake:
			time.Sleep(agentLoopDelay)
		case <-t.C:
		}
	}
}

// waitForVersion waits up to timeout until all loops apply version or a later one, and reports whether they do.
func (c *agentGroup) waitForVersion(version uint64, timeout time.Duration) bool {
	return Until(timeout, "a version", func() bool {
		for _, x := range c.loops {
			if x.inForce.Load() < version {
				return false
			}
		}
		return true
	}) == nil
}

// close stops the loops and closes the agents and the relay.
func (c *agentGroup) close() {
	for _, x := range c.loops {
		if x != nil && x.Agent != nil {
			close(x.stop)
			<-x.stopped
			x.Agent.Close()
		}
	}
	c.relay.Close()
}

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

// members are instances' parts of the agreed rules, many in this process, on real sockets that
// stand apart by a relay. A loop takes what holds as a dispatcher's does. They are what the
// agreement in virtual time is held against.
type members struct {
	all   []*memberLoop
	relay *Relay
}

type memberLoop struct {
	*agent.Agent
	wake, end, gone chan struct{}
	inForce         atomic.Uint64 // version that the loop acts on
}

// memberTurn is until a loop that is woken has taken what holds: a dispatcher's round.
const memberTurn = 4 * time.Millisecond

// startMembers starts them, the first of them as voters, with that delay from one to another.
func startMembers(p Params, n, voters int, s lease.Settings, delay func(from, to int) time.Duration) (c *members, err error) {
	c = &members{relay: NewRelay(p.Seed, Link{})}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	apart := map[time.Duration]bool{}
	for x := range n {
		for y := range n {
			apart[delay(x, y)] = true
		}
	}
	for d := range apart {
		c.relay.AddFault(func(x, y int) bool { return delay(x, y) == d }, Link{Delay: d})
	}
	at, listen := map[string]string{}, make([]string, n)
	for i := range n {
		if listen[i], err = freePort(IP(i).String()); err != nil {
			return nil, err
		}
		if i < voters {
			if at[fmt.Sprint("n", i)], err = c.relay.ForwardTraffic(accordDoor, Anyone, i, listen[i]); err != nil {
				return nil, err
			}
		}
	}
	c.all = make([]*memberLoop, n)
	for i := range n {
		c.all[i] = &memberLoop{wake: make(chan struct{}, 1), end: make(chan struct{}), gone: make(chan struct{})}
	}
	for i, x := range c.all {
		name := fmt.Sprint("n", i)
		o := agent.Options{Name: name, Incarnation: uint64(i + 1), Cluster: "lab", StateDir: filepath.Join(p.Out, name), ListenAddress: listen[i], Voters: at, LeaseSettings: s,
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

func (x *memberLoop) run(look float64) {
	defer close(x.gone)
	t := time.NewTicker(time.Duration(look * float64(time.Second)))
	defer t.Stop()
	var took *config.Table
	for {
		if r := x.EffectiveConfig(time.Now()); r != took {
			took = r
			x.Acknowledge(r)
		}
		if s := x.Status(); s.Leased && s.Table == took && s.Stage != lease.StageIntersection.String() {
			x.inForce.Store(s.Version)
		}
		select {
		case <-x.end:
			return
		case <-x.wake:
			time.Sleep(memberTurn)
		case <-t.C:
		}
	}
}

// reached waits until all act on a version.
func (c *members) reached(version uint64, most time.Duration) bool {
	return Until(most, "a version", func() bool {
		for _, x := range c.all {
			if x.inForce.Load() < version {
				return false
			}
		}
		return true
	}) == nil
}

func (c *members) close() {
	for _, x := range c.all {
		if x != nil && x.Agent != nil {
			close(x.end)
			<-x.gone
			x.Agent.Close()
		}
	}
	c.relay.Close()
}

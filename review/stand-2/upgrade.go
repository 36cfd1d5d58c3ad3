package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// playUpgrade: a new version starts beside the running process while discovery is down. The dispatcher, of which both
// are a part, had been told before that a zone worker drains. It must send nothing new to that worker.
func playUpgrade(s *site) (bool, error) {
	const (
		grace  = 2*time.Second + 50*time.Millisecond
		hold   = 150 * time.Millisecond // a dispatcher may be held up so long between its clock and a write
		outage = 8 * time.Second
		kill   = 3700 * time.Millisecond // after SIGTERM
	)
	var err error
	if s.discovery, err = newDiscovery(s.record, 1); err != nil {
		return false, err
	}
	s.fleet = newFleet(s.record, func(_ string, r *rand.Rand) time.Duration {
		return time.Duration(min(r.ExpFloat64(), 4) * float64(200*time.Millisecond))
	})
	var drained *worker
	for i := range 4 {
		w, err := s.fleet.add("s-0badcaf"+string(rune('a'+i)), "sentrum", 1)
		if err != nil {
			return false, err
		}
		s.discovery.set(w.entry("active"))
		drained = w
	}
	former, next, err := s.twoVersions()
	if err != nil {
		return false, err
	}
	if err := former.start(s.root); err != nil {
		return false, err
	}
	if err := former.ready(20 * time.Second); err != nil {
		return false, fmt.Errorf("%w; its log ends:\n%s", err, former.logOf(10))
	}
	s.clients = newClients(s.record, 9, []string{former.listen})
	stop := make(chan struct{})
	s.clients.wg.Go(func() { s.steady(stop) })
	time.Sleep(2 * time.Second)
	seq := s.discovery.set(drained.entry("leaving"))
	time.Sleep(3 * time.Second)
	back := time.Now().Add(outage)
	s.discovery.setDown(s.trouble)
	time.Sleep(time.Second)
	if err := next.start(s.root); err != nil {
		return false, err
	}
	if err := until(20*time.Second, "the new process to say yes", s.unexpectedEnd, next.saysYes); err != nil {
		return false, err
	}
	ready := time.Now()
	s.record.add("the new process says yes")
	time.Sleep(2 * time.Second)
	former.stop(kill)
	time.Sleep(time.Until(back))
	s.discovery.setDown(false)
	time.Sleep(time.Second)
	close(stop)
	s.clients.wait()
	told, wasTold := s.discovery.toldAt(0, seq)
	if !wasTold {
		return false, fmt.Errorf("the dispatcher was never told of version %d", seq)
	}
	return s.judgeDrain(drained, told, ready, grace+hold)
}

// judgeDrain reports whether nothing new came to a worker later than bound after the dispatcher was told that it
// drains, nor, from the new process on, later than bound after that one said yes.
func (s *site) judgeDrain(w *worker, told, ready time.Time, bound time.Duration) (bool, error) {
	before, excused, after := 0, 0, 0
	for _, x := range s.fleet.all() {
		if x.worker != w.name {
			continue
		}
		switch {
		case x.first.Before(told):
			before++
		case x.first.Sub(told) <= bound || x.first.After(ready) && x.first.Sub(ready) <= bound:
			excused++
		default:
			after++
			s.record.add("%s came to %s %.3f s after the dispatcher was told, %.3f s after the yes", x.id, w.name,
				x.first.Sub(told).Seconds(), x.first.Sub(ready).Seconds())
		}
	}
	status := map[int]int{}
	for _, j := range s.clients.all() {
		status[j.status]++
	}
	s.record.say("told at %.3f s, yes at %.3f s; jobs to %s: %d before, %d in the times allowed, %d after; answers %v",
		s.record.since(told), s.record.since(ready), w.name, before, excused, after, status)
	if before == 0 || status[0] > 0 {
		return false, fmt.Errorf("no job came to %s before the drain, or jobs got no answer: %v", w.name, status)
	}
	return after == 0, nil
}

// steady sends jobs until stop is closed.
func (s *site) steady(stop chan struct{}) {
	classes := []string{"sone-oppslag", "kurer-tildeling"}
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
			s.clients.send(0, classes[k%len(classes)], tenants[k%len(tenants)], 5*time.Second, nil)
		}
	}
}

// twoVersions prepares a dispatcher and the new version of it that will start beside it. Both configurations have the
// list as it is now.
func (s *site) twoVersions() (former, next *dispatcher, err error) {
	changes, _ := s.discovery.seen()
	known := whole(0, changes)
	if err := s.addDispatcher(1); err != nil {
		return nil, nil, err
	}
	former = s.dispatchers[0]
	if err := s.holdSocket(former); err != nil {
		return nil, nil, err
	}
	ports, err := freePorts(1)
	if err != nil {
		return nil, nil, err
	}
	former.control = ports[0]
	former.env = append(former.env, "RELAY_CONTROL="+former.control)
	more := map[string]any{"control": former.control, "known": known}
	if err := s.configure(former, 1, usual(), nil, more); err != nil {
		return nil, nil, err
	}
	next, err = s.nextVersion(former, known)
	return former, next, err
}

// holdSocket opens the clients' listening socket, as the platform does, for the processes to inherit.
func (s *site) holdSocket(d *dispatcher) error {
	l, err := net.Listen("tcp", d.listen)
	if err != nil {
		return err
	}
	defer l.Close() //nolint:errcheck // the file is a descriptor of its own
	d.socket, err = l.(*net.TCPListener).File()
	return err
}

// nextVersion prepares a second process of a dispatcher: the same name, addresses, socket and temporary folder, another
// second address. Its configuration has a list.
func (s *site) nextVersion(former *dispatcher, known listJSON) (*dispatcher, error) {
	ports, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	next := &dispatcher{record: s.record, index: former.index, name: former.name, listen: former.listen,
		control: ports[0], dir: former.dir + "-next", socket: former.socket}
	if err := os.MkdirAll(next.dir, 0o700); err != nil {
		return nil, err
	}
	for _, e := range former.env {
		switch {
		case strings.HasPrefix(e, "RELAY_CONFIG="):
			next.env = append(next.env, "RELAY_CONFIG="+filepath.Join(next.dir, "config.json"))
		case !strings.HasPrefix(e, "RELAY_CONTROL="):
			next.env = append(next.env, e)
		}
	}
	next.env = append(next.env, "RELAY_CONTROL="+next.control)
	s.add(next)
	return next, s.configure(next, 1, usual(), nil, map[string]any{"control": next.control, "known": known})
}

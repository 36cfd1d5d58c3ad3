package main

import (
	"math/rand/v2"
	"time"
)

// playDrain: three dispatchers with shards. The list with a zone worker that drains comes late to all but one of them.
// That one must send nothing new to the worker from the grace after it was told.
func playDrain(s *site) (bool, error) {
	const (
		n      = 3
		shards = 12
		late   = 5 * time.Second
		grace  = 2*time.Second + 50*time.Millisecond
		hold   = 150 * time.Millisecond // a dispatcher may be held up so long between its clock and a write
	)
	var err error
	if s.discovery, err = newDiscovery(s.record, n); err != nil {
		return false, err
	}
	s.fleet = newFleet(s.record, 1, func(_ string, r *rand.Rand) time.Duration {
		return time.Duration(min(r.ExpFloat64(), 4) * float64(200*time.Millisecond))
	})
	var drained *worker
	for i, zone := range []string{"sentrum", "sentrum", "fana", "fana"} {
		w, err := s.fleet.add("s-0badcaf"+string(rune('a'+i)), zone, 5, n)
		if err != nil {
			return false, err
		}
		s.discovery.set(w.entry("active"))
		if i == 0 {
			drained = w
		}
	}
	for range n {
		if err := s.addDispatcher(n, usual(), nil); err != nil {
			return false, err
		}
	}
	if err := s.shardFiles(shards, []string{"n0", "n1", "n2"}); err != nil {
		return false, err
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	if err := s.waitForOwners(shards); err != nil {
		return false, err
	}
	s.clients = newClients(s.record, 6, s.addrs())
	stop := time.After(14 * time.Second)
	drainAt := time.After(5 * time.Second)
	seq := 0
	classes := []string{"sone-oppslag", "sone-oppslag", "kurer-tildeling", "sone-endring"}
	for k := 0; ; k++ {
		select {
		case <-drainAt:
			if s.trouble {
				s.discovery.setLate(1, late)
				s.discovery.setLate(2, late)
			}
			seq = s.discovery.set(drained.entry("leaving"))
			continue
		case <-stop:
		case <-time.After(25 * time.Millisecond):
			class := classes[k%len(classes)]
			s.clients.send(k%n, class, tenants[k/n%len(tenants)], 5*time.Second,
				map[string]string{"Idempotency-Key": time.Now().Format("150405.000000000")})
			continue
		}
		break
	}
	s.clients.wait()
	ok := true
	for i := range n {
		told, known := s.discovery.toldAt(i, seq)
		if !known {
			s.record.say("n%d was never told", i)
			continue
		}
		early, inGrace, after := 0, 0, 0
		for _, x := range s.fleet.all() {
			if x.worker != drained.name || x.from != i {
				continue
			}
			switch d := x.first.Sub(told); {
			case d < 0:
				early++
			case d <= grace+hold:
				inGrace++
			default:
				after++
				s.record.add("n%d sent %s to %s %.3f s after it was told", i, x.id, drained.name, d.Seconds())
			}
		}
		s.record.say("n%d, told at %.3f s, sent %s: %d before, %d within the grace, %d after it", i,
			s.record.since(told), drained.name, early, inGrace, after)
		ok = ok && after == 0
	}
	status := map[int]int{}
	for _, j := range s.clients.all() {
		status[j.status]++
	}
	s.record.say("answers by status: %v", status)
	return ok, nil
}

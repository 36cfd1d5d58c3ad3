package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const unsafeClass = "kurer-tildeling"

// playBrokenFile: a new configuration lacks a key, so nothing is to be taken from it. A zone worker fails quickly
// meanwhile. Jobs of the class that must not run twice must not be sent again after an attempt that failed.
func playBrokenFile(s *site) (bool, error) {
	const (
		n       = 2
		share   = 0.6              // of the bad worker's requests fail: 42 to 92 %
		bad     = 12 * time.Second // 5.7 to 23 s
		takenBy = time.Second      // after the signal
	)
	var err error
	if s.discovery, err = newDiscovery(s.record, n); err != nil {
		return false, err
	}
	s.fleet = newFleet(s.record, func(string, *rand.Rand) time.Duration { return 300 * time.Millisecond })
	var first *worker
	for i := range 6 { // one of six fails: 17 %, at most 19 % may
		w, err := s.fleet.add("s-0badcaf"+string(rune('a'+i)), "sentrum", n)
		if err != nil {
			return false, err
		}
		s.discovery.set(w.entry("active"))
		if i == 0 {
			first = w
		}
	}
	for range n {
		if err := s.addDispatcher(n); err != nil {
			return false, err
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	s.clients = newClients(s.record, 7, s.addrs())
	time.Sleep(time.Second) // no signal comes in the first second
	if s.trouble {
		for _, d := range s.dispatchers {
			if err := s.breakFile(d, n); err != nil {
				return false, err
			}
			d.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(takenBy)
	first.setFailing(share)
	for k := range int(bad / (50 * time.Millisecond)) {
		s.clients.send(k%n, unsafeClass, tenants[k/n%len(tenants)], 10*time.Second, nil)
		time.Sleep(50 * time.Millisecond)
	}
	first.setFailing(0)
	s.clients.wait()
	return s.neverTwice()
}

// breakFile writes a configuration in which a tenant has lost its key quota_per_s. Besides, it has the class run as
// safe.
func (s *site) breakFile(d *dispatcher, n int) error {
	lanes := usual()
	lanes[1]["semantics"] = "safe"
	tenantsLeft := []map[string]any{{"name": "fjordmat", "quota_per_s": 14.0, "share": 0.33},
		{"name": "bryggekjokken", "share": 0.31}, {"name": "nordpizza", "quota_per_s": 8.0, "share": 0.18},
		{"name": "smaabiten", "quota_per_s": 8.0, "share": 0.18}}
	s.record.add("%s: new configuration: parties[1] has no quota_per_s, %s is safe", d.name, unsafeClass)
	return s.configure(d, n, lanes, map[string]any{"parties": tenantsLeft}, nil)
}

// neverTwice reports whether no job was sent again after an attempt that may have run.
func (s *site) neverTwice() (bool, error) {
	again, failed := 0, 0
	before := map[string]run{}
	for _, x := range s.fleet.all() {
		if former, known := before[x.id]; known {
			again++
			s.record.add("%s was sent to %s again, %.3f s after it had begun at %s", x.id, x.worker,
				x.first.Sub(former.started).Seconds(), former.worker)
		}
		before[x.id] = x
		if !x.served {
			failed++
		}
	}
	status := map[int]int{}
	for _, j := range s.clients.all() {
		status[j.status]++
	}
	s.record.say("%s", fmt.Sprintf("jobs %d, attempts that failed %d, jobs sent again after one %d, answers %v",
		len(s.clients.all()), failed, again, status))
	if failed == 0 || status[0] > 0 {
		return false, fmt.Errorf("no attempt failed, or jobs got no answer: %v", status)
	}
	return again == 0, nil
}

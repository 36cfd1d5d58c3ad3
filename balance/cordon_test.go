package balance

import (
	"math/rand/v2"
	"testing"
)

// countUses returns the number of sends and health checks that name a worker.
func countUses(acts []Action, w string) (n int) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			if a.Worker == w {
				n++
			}
		case HealthCheck:
			if a.Worker == w {
				n++
			}
		}
	}
	return n
}

// A cordoned worker gets no sends and no health checks, whatever the endpoint list says. Its running attempts are not
// cancelled, and jobs that need a retry are sent to other workers.
func TestCordonedGetsNothing(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w", "v")...)
	s := actionsOf[Send](r.step(r.job("read", "a"), r.report("w", 1)))
	if len(s) != 1 || s[0].Worker != "w" {
		t.Fatalf("got sends %v, want one to w", s)
	}
	r.step(Cordon{"w", true}, Cordon{"w", true})
	if acts := r.stepAt(101, r.report("w", 5), r.job("read", "a")); countUses(acts, "w") > 0 || len(actionsOf[Cancel](acts)) > 0 {
		t.Errorf("got actions %v, want no use of cordoned w and no Cancel", acts)
	}
	restarted := runningWorkers("w")
	restarted[0].StartedAt = 101
	acts := r.stepAt(102, EndpointUpdate{Kind: EndpointsDelta, Workers: restarted}, done(s[0], 0, ConnectionLost),
		r.report("v", 2))
	if countUses(acts, "w") > 0 || len(actionsOf[Send](acts)) == 0 {
		t.Errorf("got actions %v, want no use of w, which is listed as running but cordoned, and its job sent to v", acts)
	}
	// After snapshots without it and with it again, the worker is still cordoned.
	r.step(EndpointUpdate{Kind: EndpointsSnapshot, Workers: runningWorkers("v")})
	acts = r.stepAt(103, EndpointUpdate{Kind: EndpointsSnapshot, Workers: runningWorkers("v", "w")}, r.job("read", "a"), r.job("read", "a"))
	if countUses(acts, "w") > 0 {
		t.Errorf("got actions %v, want no use of cordoned w after it left the list and was listed again", acts)
	}
	// A worker that is cordoned before any list names it is cordoned once it is listed.
	r.step(Cordon{"x", true})
	if acts := r.stepAt(104, EndpointUpdate{Kind: EndpointsDelta, Workers: runningWorkers("x")},
		r.job("read", "a")); countUses(acts, "x") > 0 {
		t.Errorf("got actions %v, want no use of x, which was cordoned before it was listed", acts)
	}
}

// A worker that is uncordoned once, however often it was cordoned, warms up from then on and is checked before it is
// used. A later start in the endpoint list counts as the start of its warm-up, and its listed state still applies.
func TestUncordoned(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartFloor, cfg.SlowStartSeconds, cfg.OverloadMultiple, cfg.OverloadSeconds = 0.5, 20, 3, 3
	r := newRig(t, cfg, runningWorkers("w", "v")...)
	r.step(Cordon{"w", true}, Cordon{"w", true}, r.report("v", 9))
	r.stepAt(150, Cordon{"w", false})
	w := r.b.workersByID["w"]
	if r.b.capacityShare(w) != 0.5 {
		t.Errorf("got capacity share %v right after the uncordon, want 0.5", r.b.capacityShare(w))
	}
	acts := r.stepAt(150.1, r.job("read", "a"), r.report("v", 9))
	checked := false
	for _, check := range actionsOf[HealthCheck](acts) {
		checked = checked || check.Worker == "w"
	}
	for _, s := range actionsOf[Send](acts) {
		if s.Worker == "w" {
			t.Error("job sent to w before its health check")
		}
	}
	if !checked {
		t.Errorf("got actions %v, want a health check of w", acts)
	}
	// If the list has a start after the cordon, that start counts.
	r.stepAt(200, Cordon{"v", true})
	late := runningWorkers("v")
	late[0].StartedAt = 201
	r.stepAt(205, EndpointUpdate{Kind: EndpointsDelta, Workers: late})
	r.stepAt(210, Cordon{"v", false})
	if got := r.b.capacityShare(r.b.workersByID["v"]); got < 0.7 || got > 0.75 {
		t.Errorf("got capacity share %v 9 s after the start, with a warm-up of 20 s, want 0.7 to 0.75", got)
	}
	// A worker that is listed as draining is not used after an uncordon.
	r.stepAt(300, Cordon{"w", true}, EndpointUpdate{Kind: EndpointsDelta,
		Workers: []WorkerInfo{{ID: "w", Zone: "here", Kind: "k", State: Draining}}})
	if acts := r.stepAt(301, Cordon{"w", false}, r.job("read", "a"), r.report("w", 3)); countUses(acts, "w") > 0 {
		t.Errorf("got actions %v, want no use of draining w", acts)
	}
}

// The next job goes nearly always to a worker that was uncordoned, though another one has far more capacity. After
// that job the worker is no longer preferred.
func TestUncordonedWorkerGetsNextJob(t *testing.T) {
	first := 0
	for seed := range uint64(40) {
		b, err := New(testConfig(), seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: 100}
		r.step(EndpointUpdate{Kind: EndpointsCached, Workers: runningWorkers("w", "v")}, Cordon{"w", true}, r.report("v", 4))
		r.stepAt(150, Cordon{"w", false}, r.report("v", 4))
		r.stepAt(150.1, r.report("w", 2), r.report("v", 4))
		for _, s := range actionsOf[Send](r.step(r.job("read", "a"))) {
			if s.Worker == "w" {
				first++
			}
		}
		if first > 0 && r.b.workersByID["w"].uncordoned && r.b.workersByID["w"].busySlots > 0 {
			t.Fatal("uncordoned worker is still preferred after it got a job")
		}
	}
	if first < 32 {
		t.Errorf("uncordoned worker got the next job in %d of 40 runs, want 32 or more", first)
	}
}

// A worker that was removed from the list can be uncordoned and is used once it is listed again.
func TestUncordonedWhileRemoved(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w", "v")...)
	r.step(Cordon{"w", true}, EndpointUpdate{Kind: EndpointsSnapshot, Workers: runningWorkers("v")})
	if acts := r.stepAt(110, Cordon{"w", false}, r.job("read", "a"), r.report("v", 0)); countUses(acts, "w") > 0 {
		t.Errorf("got actions %v, want no use of removed w", acts)
	}
	acts := r.stepAt(120, EndpointUpdate{Kind: EndpointsSnapshot, Workers: runningWorkers("v", "w")}, r.job("read", "a"), r.report("w", 2))
	if countUses(acts, "w") == 0 {
		t.Errorf("got actions %v, want a use of w, which is listed again and not cordoned", acts)
	}
}

// With random cordons, endpoint updates, jobs and outcomes, a cordoned worker never gets a send or a health check. Once
// all workers are listed, uncordoned and answer again, all are used.
func TestCordonAtRandom(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		ids := []string{"u", "v", "w"}
		r := newRig(t, testConfig(), runningWorkers(ids...)...)
		cordoned, live := map[string]bool{}, []Send{}
		attempts := map[string]int{}
		for range 400 {
			var ev []Event
			id := ids[rng.IntN(3)]
			switch rng.IntN(8) {
			case 0:
				cordoned[id] = true
				ev = append(ev, Cordon{id, true})
			case 1:
				cordoned[id] = false
				ev = append(ev, Cordon{id, false})
			case 2:
				i := runningWorkers(id)
				i[0].State = []WorkerState{Running, Running, Draining, Removed}[rng.IntN(4)]
				i[0].StartedAt = float64(rng.IntN(2)) * r.now
				ev = append(ev, EndpointUpdate{Kind: EndpointsDelta, Workers: i})
			case 3, 4, 5:
				ev = append(ev, r.job([]string{"read", "write", "put"}[rng.IntN(3)], "a"), r.report(id, float64(rng.IntN(4))))
			default:
				if len(live) > 0 {
					s := live[0]
					live = live[1:]
					ev = append(ev, done(s, attempts[s.ID]-1,
						[]Outcome{Served, Failed, ConnectionLost, Unreachable, Overloaded}[rng.IntN(5)]))
				}
			}
			r.now += rng.Float64() * 0.2
			for _, a := range r.step(ev...) {
				switch a := a.(type) {
				case Send:
					if attempts[a.ID]++; cordoned[a.Worker] {
						t.Fatalf("seed %d: job sent to cordoned worker %s", seed, a.Worker)
					}
					live = append(live, a)
				case HealthCheck:
					if cordoned[a.Worker] {
						t.Fatalf("seed %d: health check sent to cordoned worker %s", seed, a.Worker)
					}
				}
			}
		}
		// From here on, every attempt is served and every health check is answered.
		used := map[string]bool{}
		answer := func(acts []Action) {
			for len(acts) > 0 {
				a := acts[0]
				acts = acts[1:]
				switch a := a.(type) {
				case HealthCheck:
					acts = append(acts, r.step(r.report(a.Worker, 3))...)
				case Send:
					used[a.Worker] = true
					acts = append(acts, r.step(AttemptStarted{a.ID, attempts[a.ID]}, done(a, attempts[a.ID], Served))...)
					attempts[a.ID]++
				}
			}
		}
		for _, s := range live {
			answer(r.step(done(s, attempts[s.ID]-1, Served)))
		}
		answer(r.stepAt(r.now+60, EndpointUpdate{Kind: EndpointsSnapshot, Workers: runningWorkers(ids...)},
			Cordon{"u", false}, Cordon{"v", false}, Cordon{"w", false}, r.report("u", 3), r.report("v", 3), r.report("w", 3)))
		clear(used)
		for range 400 {
			r.now += 0.2
			answer(r.step(r.job("read", "b")))
		}
		if len(used) != 3 {
			t.Fatalf("seed %d: got jobs on workers %v only, want all three used", seed, used)
		}
	}
}

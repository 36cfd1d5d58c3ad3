package balance

import (
	"math/rand/v2"
	"testing"
)

// countUses are the sends and health checks that name a worker.
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

// A worker that operators leave out gets nothing, whatever the list says, and
// what runs there goes on. Its jobs that have to go again go elsewhere.
func TestCordonedGetsNothing(t *testing.T) {
	r := newRig(t, base(), up("w", "v")...)
	s := of[Send](r.step(r.job("read", "a"), r.report("w", 1)))
	if len(s) != 1 || s[0].Worker != "w" {
		t.Fatalf("sent %v", s)
	}
	r.step(Cordon{"w", true}, Cordon{"w", true})
	if acts := r.at(101, r.report("w", 5), r.job("read", "a")); countUses(acts, "w") > 0 || len(of[Cancel](acts)) > 0 {
		t.Errorf("%v though w is cordoned", acts)
	}
	restarted := up("w")
	restarted[0].StartedAt = 101
	acts := r.at(102, EndpointUpdate{Kind: EndpointsDelta, Workers: restarted}, done(s[0], 0, ConnectionLost), r.report("v", 2))
	if countUses(acts, "w") > 0 || len(of[Send](acts)) == 0 {
		t.Errorf("%v: the list says active, but it is cordoned; its job goes elsewhere", acts)
	}
	// Gone and back in the list, also under a whole one, it is still cordoned.
	r.step(EndpointUpdate{Kind: EndpointsSnapshot, Workers: up("v")})
	acts = r.at(103, EndpointUpdate{Kind: EndpointsSnapshot, Workers: up("v", "w")}, r.job("read", "a"), r.job("read", "a"))
	if countUses(acts, "w") > 0 {
		t.Errorf("%v after it left the list and came back", acts)
	}
	// One that no list has named yet is cordoned when one does.
	r.step(Cordon{"x", true})
	if acts := r.at(104, EndpointUpdate{Kind: EndpointsDelta, Workers: up("x")}, r.job("read", "a")); countUses(acts, "x") > 0 {
		t.Errorf("%v: named first by operators, then by the list", acts)
	}
}

// Uncordoned once, however often it was cordoned, a worker warms up from then on, is checked before it is used,
// and is the next to get a job, within its budget.
func TestUncordoned(t *testing.T) {
	cfg := base()
	cfg.SlowStartFloor, cfg.SlowStartSeconds, cfg.OverloadMultiple, cfg.OverloadSeconds = 0.5, 20, 3, 3
	r := newRig(t, cfg, up("w", "v")...)
	r.step(Cordon{"w", true}, Cordon{"w", true}, r.report("v", 9))
	r.at(150, Cordon{"w", false})
	w := r.b.workersByID["w"]
	if r.b.capacityShare(w) != 0.5 {
		t.Errorf("warm to %v right after it was called back", r.b.capacityShare(w))
	}
	acts := r.at(150.1, r.job("read", "a"), r.report("v", 9))
	probed := false
	for _, p := range of[HealthCheck](acts) {
		probed = probed || p.Worker == "w"
	}
	for _, s := range of[Send](acts) {
		if s.Worker == "w" {
			t.Error("used before it was asked")
		}
	}
	if !probed {
		t.Errorf("%v: not asked for its report", acts)
	}
	// Where the list knows a start since the cordon, that one counts.
	r.at(200, Cordon{"v", true})
	late := up("v")
	late[0].StartedAt = 201
	r.at(205, EndpointUpdate{Kind: EndpointsDelta, Workers: late})
	r.at(210, Cordon{"v", false})
	if got := r.b.capacityShare(r.b.workersByID["v"]); got < 0.7 || got > 0.75 {
		t.Errorf("warm to %v, 9 of 20 s after its start", got)
	}
	// One that the list calls draining is not used when operators take it back.
	r.at(300, Cordon{"w", true}, EndpointUpdate{Kind: EndpointsDelta, Workers: []WorkerInfo{{ID: "w", Zone: "here", Kind: "k", State: Draining}}})
	if acts := r.at(301, Cordon{"w", false}, r.job("read", "a"), r.report("w", 3)); countUses(acts, "w") > 0 {
		t.Errorf("%v to one that drains", acts)
	}
}

// While another has far more capacity, the next job goes to one that was uncordoned,
// nearly always, and only that one.
func TestUncordonedWorkerGetsNextJob(t *testing.T) {
	first := 0
	for seed := range uint64(40) {
		b, err := New(base(), seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: 100}
		r.step(EndpointUpdate{Kind: EndpointsCached, Workers: up("w", "v")}, Cordon{"w", true}, r.report("v", 4))
		r.at(150, Cordon{"w", false}, r.report("v", 4))
		r.at(150.1, r.report("w", 2), r.report("v", 4))
		for _, s := range of[Send](r.step(r.job("read", "a"))) {
			if s.Worker == "w" {
				first++
			}
		}
		if first > 0 && r.b.workersByID["w"].uncordoned && r.b.workersByID["w"].busySlots > 0 {
			t.Fatal("it stays preferred")
		}
	}
	if first < 32 {
		t.Errorf("next in %d of 40", first)
	}
}

// One that the list has removed can be uncordoned: it is used when a list names it again.
func TestUncordonedWhileRemoved(t *testing.T) {
	r := newRig(t, base(), up("w", "v")...)
	r.step(Cordon{"w", true}, EndpointUpdate{Kind: EndpointsSnapshot, Workers: up("v")})
	if acts := r.at(110, Cordon{"w", false}, r.job("read", "a"), r.report("v", 0)); countUses(acts, "w") > 0 {
		t.Errorf("%v to one that is gone", acts)
	}
	acts := r.at(120, EndpointUpdate{Kind: EndpointsSnapshot, Workers: up("v", "w")}, r.job("read", "a"), r.report("w", 2))
	if countUses(acts, "w") == 0 {
		t.Errorf("%v: back in the list and in use, it gets nothing", acts)
	}
}

// Random operators, lists, jobs and ends: nothing is ever decided for a worker
// that is cordoned, and one that is not in use for another reason is used again.
func TestCordonAtRandom(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		ids := []string{"u", "v", "w"}
		r := newRig(t, base(), up(ids...)...)
		out, live := map[string]bool{}, []Send{}
		tries := map[string]int{}
		for range 400 {
			var ev []Event
			id := ids[rng.IntN(3)]
			switch rng.IntN(8) {
			case 0:
				out[id] = true
				ev = append(ev, Cordon{id, true})
			case 1:
				out[id] = false
				ev = append(ev, Cordon{id, false})
			case 2:
				i := up(id)
				i[0].State = []WorkerState{Running, Running, Draining, Removed}[rng.IntN(4)]
				i[0].StartedAt = float64(rng.IntN(2)) * r.now
				ev = append(ev, EndpointUpdate{Kind: EndpointsDelta, Workers: i})
			case 3, 4, 5:
				ev = append(ev, r.job([]string{"read", "write", "put"}[rng.IntN(3)], "a"), r.report(id, float64(rng.IntN(4))))
			default:
				if len(live) > 0 {
					s := live[0]
					live = live[1:]
					ev = append(ev, done(s, tries[s.ID]-1, []Outcome{Served, Failed, ConnectionLost, Unreachable, Overloaded}[rng.IntN(5)]))
				}
			}
			r.now += rng.Float64() * 0.2
			for _, a := range r.step(ev...) {
				switch a := a.(type) {
				case Send:
					if tries[a.ID]++; out[a.Worker] {
						t.Fatalf("seed %d: sent to %s, which is cordoned", seed, a.Worker)
					}
					live = append(live, a)
				case HealthCheck:
					if out[a.Worker] {
						t.Fatalf("seed %d: %s was checked, which is cordoned", seed, a.Worker)
					}
				}
			}
		}
		// All is well again: every job that is out ends, and every health check is answered.
		used := map[string]bool{}
		play := func(acts []Action) {
			for len(acts) > 0 {
				a := acts[0]
				acts = acts[1:]
				switch a := a.(type) {
				case HealthCheck:
					acts = append(acts, r.step(r.report(a.Worker, 3))...)
				case Send:
					used[a.Worker] = true
					acts = append(acts, r.step(AttemptStarted{a.ID, tries[a.ID]}, done(a, tries[a.ID], Served))...)
					tries[a.ID]++
				}
			}
		}
		for _, s := range live {
			play(r.step(done(s, tries[s.ID]-1, Served)))
		}
		play(r.at(r.now+60, EndpointUpdate{Kind: EndpointsSnapshot, Workers: up(ids...)}, Cordon{"u", false}, Cordon{"v", false},
			Cordon{"w", false}, r.report("u", 3), r.report("v", 3), r.report("w", 3)))
		clear(used)
		for range 400 {
			r.now += 0.2
			play(r.step(r.job("read", "b")))
		}
		if len(used) != 3 {
			t.Fatalf("seed %d: only %v are used when all are back", seed, used)
		}
	}
}

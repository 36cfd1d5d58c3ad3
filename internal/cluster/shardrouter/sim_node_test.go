package shardrouter

import (
	"fmt"
	"slices"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// start starts a new incarnation of the instance.
func (n *node) start() {
	s := n.s
	n.incarnation++
	n.up, n.paused, n.events, n.deferred, n.stepQueued = true, false, nil, nil, false
	n.unleasedTable, n.leasedTable, n.leaseEnd = &config.Table{Strict: true}, nil, 0
	n.unleasedTable.ShardOwners = make([]config.ShardOwner, len(s.table.ShardOwners))
	bal, err := balance.New(s.cfg, uint64(n.name[0]))
	if err != nil {
		s.t.Fatal(err)
	}
	incarnation := n.incarnation
	n.r = New(Options{Name: n.name, Incarnation: incarnation, Cluster: "c", Config: s.cfg, Now: func() float64 { return s.now }, Limits: shard.Limits{MaxJobs: 100_000},
		Table: n.currentTable,
		Wake:  func() { n.scheduleStep() },
		Send:  func(to string, frame []byte) bool { s.transmit(n, to, slices.Clone(frame)); return true },
		Propose: func(list []shard.OwnerChange) {
			if !n.isolated {
				s.proposals = append(s.proposals, list...)
			}
		},
		Log: func(format string, args ...any) {
			if verbose {
				s.t.Logf("%.3f %s "+format, append([]any{s.now, n.r.incarnation}, args...)...)
			}
		}}, bal)
	n.r.manual = true
	n.post(s.endpointUpdate())
	var tick, renew func()
	alive := func() bool { return n.up && n.incarnation == incarnation }
	tick = func() {
		if alive() {
			n.runOrDefer(func() { n.r.tick(); n.runWorkers() })
			s.schedule(s.now+0.05, tick)
		}
	}
	renew = func() {
		if alive() {
			n.runOrDefer(n.renewLease)
			s.schedule(s.now+0.05, renew)
		}
	}
	s.schedule(s.now+s.rng.Float64()*0.05, tick)
	renew()
}

// currentTable returns the table that the instance may act on: the leased one until the lease ends.
func (n *node) currentTable() *config.Table {
	if n.leasedTable != nil && (n.s.now < n.leaseEnd || n.s.ignoreLeaseEnd) {
		return n.leasedTable
	}
	return n.unleasedTable
}

// renewLease renews the lease and advances the agreement.
func (n *node) renewLease() {
	s := n.s
	if n.isolated {
		return
	}
	t := s.table
	if s.nextTable != nil {
		t = s.intersection
	}
	n.leaseEnd = s.now + leaseSeconds
	if n.leasedTable != t {
		n.leasedTable = t
		n.unleasedTable = &config.Table{Strict: true, ShardOwners: make([]config.ShardOwner, len(t.ShardOwners))}
		for i := range t.ShardOwners {
			n.unleasedTable.ShardOwners[i].Epoch = t.ShardOwners[i].Epoch
		}
		n.scheduleStep()
	}
	s.advanceAgreement()
}

// runOrDefer calls f immediately, or on resume if the instance is paused, or never if the instance is down.
func (n *node) runOrDefer(f func()) {
	if n.paused {
		n.deferred = append(n.deferred, f)
	} else if n.up {
		f()
	}
}

func (n *node) runWorkers() {
	for len(n.r.runQueue) > 0 {
		n.r.runShard(<-n.r.runQueue)
	}
	select {
	case <-n.r.wakeups:
		n.scheduleStep()
	default:
	}
}

func (n *node) post(e ...balance.Event) {
	n.events = append(n.events, e...)
	n.scheduleStep()
}

func (n *node) scheduleStep() {
	if n.stepQueued {
		return
	}
	n.stepQueued = true
	incarnation := n.incarnation
	n.s.schedule(n.s.now+0.001, func() {
		n.runOrDefer(func() {
			if n.incarnation == incarnation {
				n.stepQueued = false
				n.runStep()
			}
		})
	})
}

// runStep calls the router's Step as the dispatcher's loop does, and executes the actions.
func (n *node) runStep() {
	s, ev := n.s, n.events
	n.events = nil
	for _, a := range slices.Clone(n.r.Step(s.now, ev)) {
		switch a := a.(type) {
		case balance.Send:
			n.send(a.ID, a.Worker)
		case balance.Reject:
			n.answer(a.ID, false)
		case balance.Fail:
			n.answer(a.ID, false)
		case balance.Cancel:
			if j := s.jobs[a.ID]; j != nil && j.inFlight > 0 {
				n.endAttempt(j, balance.Cancelled)
			}
		case balance.HealthCheck:
			n.postAfter(0.002, balance.HealthCheckDone{Worker: a.Worker, Outcome: balance.Served, Report: []float64{float64(s.workers[a.Worker].free)}})
		case balance.SetTimer:
			n.postAfter(a.After, balance.TimerFired{})
		}
	}
	n.runWorkers()
}

func (n *node) postAfter(after float64, e balance.Event) {
	incarnation := n.incarnation
	n.s.schedule(n.s.now+after, func() {
		n.runOrDefer(func() {
			if n.incarnation == incarnation {
				n.post(e)
			}
		})
	})
}

// arrive simulates a client's request, with a timeout in seconds.
func (n *node) arrive(class, tenant string, timeout float64) {
	s := n.s
	j := &simJob{id: fmt.Sprintf("j%05d", len(s.jobs)), class: class, tenant: tenant, arrivedAt: s.now, deadline: s.now + timeout, node: n, incarnation: n.r.incarnation}
	s.jobs[j.id] = j
	n.runOrDefer(func() {
		n.post(balance.JobArrived{ID: j.id, Class: class, Tenant: tenant, Timeout: j.deadline - s.now, Slots: 1})
	})
	s.schedule(j.deadline, func() {
		if j.node.r.incarnation == j.incarnation {
			n.runOrDefer(func() { n.expire(j) })
		}
	})
}

// expire is called at a job's deadline. If the router does not answer the job then, the loop does.
func (n *node) expire(j *simJob) {
	if j.answered || j.abandoned {
		return
	}
	if j.inFlight > 0 {
		n.endAttempt(j, balance.TimedOut)
	}
	n.runStep()
	if !j.answered {
		n.s.fallbackAnswers++
		n.answer(j.id, false)
		n.post(balance.ClientDisconnected{ID: j.id})
	}
}

func (n *node) answer(id string, served bool) {
	j := n.s.jobs[id]
	if verbose {
		n.s.t.Logf("%.3f %s answers job %s, served %v; %d attempts, %d in flight, deadline %.3f", n.s.now, n.r.incarnation, id, served, j.attempts, j.inFlight, j.deadline)
	}
	if j.answers++; j.answers > 1 {
		n.s.fail("job %s has two answers", id)
	}
	if j.answered = true; j.inFlight > 0 {
		n.endAttempt(j, balance.Cancelled)
	}
}

func (n *node) send(id, name string) {
	s, j := n.s, n.s.jobs[id]
	w := s.workers[name]
	if j.answered {
		s.fail("job %s was sent after its answer", id)
	}
	if e, sh := s.epochs[fmt.Sprint(id, " ", j.attempts)], n.r.shardOf(j.tenant); n.r.localJobs[id] != nil && sh.origin.ownerName != n.name && e < sh.jobLog.Epoch() {
		s.fail("job %s was sent under a grant of epoch %d, while epoch %d is known", id, e, sh.jobLog.Epoch())
	}
	j.attempts++
	s.recordFirstGrant(id)
	if j.inFlight++; j.inFlight > 1 {
		s.fail("job %s has two attempts in flight", id)
	}
	if j.worker = name; w.free <= 0 {
		w.free--
		n.scheduleEnd(j, 0.003, balance.Overloaded)
		return
	}
	w.free--
	switch x := s.rng.Float64(); {
	case s.breakFirstRun && j.runs == 0:
		n.recordRun(j)
		n.scheduleEnd(j, 0.05, balance.ConnectionLost)
	case s.reliableWorkers:
		n.recordRun(j)
		n.scheduleEnd(j, 0.1, balance.Served)
	case x < 0.01:
		n.scheduleEnd(j, 0.003, balance.Blocked)
	case x < 0.02:
		n.scheduleEnd(j, 0.003, balance.Unreachable)
	case x < 0.06:
		n.recordRun(j)
		n.scheduleEnd(j, 0.05, balance.ConnectionLost)
	default:
		n.recordRun(j)
		n.postAfter(0.004, balance.AttemptStarted{ID: id, Attempt: j.attempts - 1})
		n.scheduleEnd(j, 0.05+0.1*s.rng.Float64(), balance.Served)
	}
}

// recordFirstGrant records the time and the order of a job's first grant.
func (s *sim) recordFirstGrant(id string) {
	if j := s.jobs[id]; j.grantedAt == 0 {
		j.grantedAt = s.now
		s.grantOrder = append(s.grantOrder, id)
	}
}

func (n *node) recordRun(j *simJob) {
	j.ranOn = append(j.ranOn, j.worker)
	if j.runs++; j.runs > 1 && j.class == "write" {
		n.s.fail("job %s, which is not idempotent, ran twice", j.id)
	}
}

func (n *node) scheduleEnd(j *simJob, after float64, outcome balance.Outcome) {
	s, attempt, incarnation := n.s, j.attempts, n.incarnation
	s.schedule(s.now+after, func() {
		end := func() {
			if j.attempts == attempt && j.inFlight > 0 {
				n.endAttempt(j, outcome)
			}
		}
		if n.incarnation != incarnation || !n.up {
			s.workers[j.worker].free++
			return
		}
		n.runOrDefer(end)
	})
}

// endAttempt ends the job's attempt in flight with an outcome.
func (n *node) endAttempt(j *simJob, outcome balance.Outcome) {
	s := n.s
	j.inFlight--
	s.workers[j.worker].free++
	e := balance.AttemptDone{ID: j.id, Attempt: j.attempts - 1, Worker: j.worker, Outcome: outcome}
	if outcome == balance.Served {
		n.answer(j.id, true)
		e.Report = []float64{float64(max(0, s.workers[j.worker].free))}
	}
	e.JobFinished = j.answered
	n.post(e)
}

package shard

import (
	"fmt"
	"maps"
	"slices"

	"example.org/bellstream/balance"
)

// successor is a state that may follow; fault marks one that follows by a fault, which runWithoutFaults avoids.
type successor struct {
	*model
	fault bool
}

func (w *model) successors(on ruleset) (all []successor) {
	add := func(fault bool, what string, f func(n *model)) {
		n := *w
		n.previous, n.description = w, what
		f(&n)
		n.deliverSent(on, func(n *model) { all = append(all, successor{n, fault || n.budget.delayed < w.budget.delayed}) })
	}
	for i, m := range w.delayedMessages {
		add(false, "delayed message arrives: "+m.key, func(n *model) {
			n.delayedMessages = slices.Delete(slices.Clone(n.delayedMessages), i, i+1)
			n.deliver(m, on)
		})
	}
	for i, x := range w.instances {
		w.instanceSteps(i, x, on, add)
	}
	// A coordinator assigns a shard whose owner is down, has restarted or does not renew its lease.
	for _, x := range w.instances {
		if x.name == w.ownership.Name && (!x.up || x.isolated || x.startEpoch >= w.ownership.Epoch) && w.ownership.Epoch < w.budget.epochs {
			for _, y := range w.instances {
				if y.up && (x == y) == (x.up && !x.isolated) {
					add(false, "the coordinator assigns the shard to "+y.incarnationName(), func(n *model) { n.send(toAgreement, 0, proposal{OwnerChange{0, n.ownership.Epoch, y.name}, ""}) })
				}
			}
		}
	}
	if w.jobsAdded < w.budget.jobs {
		add(false, "the origin accepts a job", func(n *model) {
			n.mutableLog().Add(0, JobRecord{ID: fmt.Sprint("j", n.jobsAdded), Timeout: 9, AtMostOnce: true})
			n.jobsAdded++
		})
	}
	if w.log.epoch < w.ownership.Epoch {
		add(false, "the origin learns of the map", func(n *model) { n.observe(n.mutableLog(), n.ownership.Epoch, on) })
	}
	for _, id := range slices.Sorted(maps.Keys(w.log.jobs)) {
		j := w.log.jobs[id]
		if i := int(id[1] - '0'); j.InFlight() && !j.Finished {
			for _, o := range []balance.Outcome{balance.Served, balance.ConnectionLost, balance.Unreachable} {
				add(false, string(o)+" "+id, func(n *model) {
					n.mutableLog().FinishAttempt(0, id, AttemptResult{Outcome: o, MayHaveRun: o != balance.Unreachable, Answered: o == balance.Served})
					n.inFlight[i]--
					switch o {
					case balance.Served:
						n.answers[i]++
					case balance.Unreachable:
						n.mayHaveRun[i]--
					}
				})
			}
		}
	}
	w.updateSteps(add)
	if w.budget.crashOrigin && w.budget.crashes > 0 {
		add(true, "the origin crashes", func(n *model) {
			n.budget.crashes--
			n.incarnation++
			n.log, n.logKey = NewJobLog(0, n.originName()), ""
			n.inFlight = [2]int{}
		})
	}
	return all
}

// updateSteps adds the updates that the origin can send to the owner of its epoch.
func (w *model) updateSteps(add func(bool, string, func(*model))) {
	to := slices.IndexFunc(w.instances[:], func(x *instance) bool { return x.name == w.ownership.Name })
	if to < 0 || w.log.epoch != w.ownership.Epoch || !w.instances[to].up || w.instances[to].owner.epoch != w.log.epoch {
		return
	}
	for _, again := range []bool{false, true} {
		next := func(l *JobLog) (JobUpdate, bool) {
			if again {
				return l.Resend(0)
			}
			return l.NextUpdate(0)
		}
		if n := *w; again {
			if _, ok := next(n.log); !ok {
				continue
			}
		} else if _, ok := next(n.mutableLog()); !ok {
			continue
		}
		add(false, fmt.Sprint("the origin sends an update, resent: ", again), func(n *model) {
			m, _ := next(n.mutableLog())
			n.send(to, n.instances[to].incarnation, m)
		})
	}
}

// doFunc adds a step of one instance.
type doFunc func(fault bool, what string, f func(n *model, x *instance))

// instanceSteps adds the steps of one instance.
func (w *model) instanceSteps(i int, x *instance, on ruleset, add func(bool, string, func(*model))) {
	do := func(fault bool, what string, f func(n *model, x *instance)) {
		add(fault, x.incarnationName()+" "+what, func(n *model) { f(n, n.mutableInstance(i)) })
	}
	if !x.up {
		do(false, "restarts", func(n *model, x *instance) { n.instances[i] = newInstance(x.name, x.incarnation+1, n.ownership.Epoch) })
		return
	}
	w.faultSteps(x, do)
	w.agreementSteps(i, x, on, do)
	if x.owner.state == StateOpen && x.leased {
		w.ownerSteps(i, x, on, do)
	}
	if x.exporting != nil {
		w.exportSteps(i, x, on, do)
		w.abortSteps(i, x, on, do)
	}
	if x.importing.Staged() {
		w.importSteps(i, x, on, do)
	}
}

func (w *model) faultSteps(x *instance, do doFunc) {
	if w.budget.crashes > 0 {
		do(true, "crashes", func(n *model, x *instance) { n.budget.crashes--; x.up, x.leased, x.isolated = false, false, false })
	}
	if w.budget.isolations > 0 && !x.isolated {
		do(true, "is isolated", func(n *model, x *instance) { n.budget.isolations--; x.isolated = true })
	}
	if x.isolated && x.leased {
		do(false, "loses its lease", func(n *model, x *instance) { x.leased = false })
	}
}

func (w *model) agreementSteps(i int, x *instance, on ruleset, do doFunc) {
	other := w.instances[1-i]
	mine := w.ownership.Name == x.name && x.owner.epoch < w.ownership.Epoch && (x.startEpoch < w.ownership.Epoch || !on.startEpoch)
	if mine && on.exclusiveLease { // guaranteed by the agreement: the instance that acted on an older map has the new one, or its lease has expired
		mine = !other.up || !other.leased || other.knownEpoch == w.ownership.Epoch
	}
	if !x.leased || x.isolated || x.knownEpoch < w.ownership.Epoch || mine {
		do(false, "learns of the map", func(n *model, x *instance) { n.adoptMap(x, mine) })
	}
	for _, k := range slices.Sorted(maps.Keys(x.owner.origins)) {
		if k != w.originName() && !x.owner.origins[k].lost {
			do(false, "learns that the origin has crashed", func(n *model, x *instance) { x.owner.OriginLost(k) })
		}
	}
}

func (w *model) ownerSteps(i int, x *instance, on ruleset, do doFunc) {
	s := x.owner
	other := w.instances[1-i]
	fewGrants := s.lastGrant < 4 // bounds the grants of an owner that never receives an update
	for _, k := range slices.SortedFunc(maps.Keys(s.jobs), compareJobKeys) {
		if fewGrants && len(s.jobs[k].Attempts) < w.budget.attempts {
			do(false, "sends "+k.ID, func(n *model, x *instance) { n.grant(x, Send, k) })
		}
		if fewGrants && w.budget.reject {
			do(false, "rejects "+k.ID, func(n *model, x *instance) { n.grant(x, Reject, k) })
		}
	}
	if len(s.grants) > 0 {
		do(false, "resends grants", func(n *model, x *instance) {
			for _, g := range x.owner.PendingGrants(9) {
				n.send(toOrigin, n.incarnation, g)
			}
		})
	}
	if w.budget.transfers > 0 && other.up {
		do(true, "begins a transfer", func(n *model, x *instance) {
			n.budget.transfers--
			x.exporting, _ = x.owner.BeginTransfer(other.incarnationName())
			x.exporting.chunkSize = 1
			if !on.transferNumbers {
				x.exporting.number = 1
			}
		})
	}
}

func (w *model) exportSteps(i int, x *instance, on ruleset, do doFunc) {
	s := x.owner
	switch x.exporting.Stage() {
	case StageRevoking:
		if len(s.grants) > 0 {
			do(false, "revokes", func(n *model, x *instance) {
				for _, r := range x.owner.Revokes() {
					n.send(toOrigin, n.incarnation, r)
				}
			})
		}
		if len(s.grants) == 0 || w.budget.waive {
			do(false, "freezes", func(n *model, x *instance) {
				x.exporting.Freeze(0, []TenantTags{{"t", float64(x.charged), float64(x.lineage)}}, true)
				n.sealedChecksums = maps.Clone(n.sealedChecksums)
				n.sealedChecksums[[2]uint64{x.exporting.epoch, x.exporting.number}] = x.exporting.checksum
				if !on.sealing {
					x.owner.state = StateOpen
				}
			})
		}
	case StageCopying:
		do(false, "sends chunks", func(n *model, x *instance) {
			for _, p := range x.exporting.Chunks(0, 1) {
				n.send(1-i, n.instances[1-i].incarnation, p)
			}
		})
	case StageAborting:
		do(false, "sends the abort", func(n *model, x *instance) {
			m, _ := x.exporting.AbortMessage()
			n.send(1-i, n.instances[1-i].incarnation, m)
		})
	}
}

// abortSteps adds the steps by which an old owner aborts a transfer or reclaims the shard.
func (w *model) abortSteps(i int, x *instance, on ruleset, do doFunc) {
	o := x.exporting
	other := w.instances[1-i]
	if st := o.Stage(); st != StageDone && st != StageAborting && (w.budget.aborts > 0 || o.target != other.incarnationName() || !other.up) {
		do(true, "aborts", func(n *model, x *instance) {
			n.budget.aborts = max(0, n.budget.aborts-1)
			x.exporting.Abort()
			if !on.reopenAfterAborted && x.exporting.stage == StageAborting {
				x.exporting.reopen()
			}
		})
	}
	if c, ok := o.Reclaim(x.name); ok && (o.Stage() == StageAborting || o.target != other.incarnationName() || !other.up) && w.ownership.Epoch < w.budget.epochs {
		do(false, "reclaims", func(n *model, x *instance) { n.send(toAgreement, 0, proposal{c, ""}) })
	}
}

func (w *model) importSteps(i int, x *instance, on ruleset, do doFunc) {
	if w.budget.epochs > w.ownership.Epoch {
		do(false, "proposes", func(n *model, x *instance) {
			if c, ok := x.importing.Propose(x.name); ok {
				n.send(toAgreement, 0, proposal{c, x.incarnationName()})
			}
			x.importing.proposed = x.importing.proposed && on.noAbortAfterProposal
		})
	}
	if w.budget.aborts > 0 && !x.importing.proposed {
		do(true, "aborts the import", func(n *model, x *instance) {
			n.budget.aborts--
			if d := x.importing.Abort("full"); d != nil {
				n.send(1-i, n.instances[1-i].incarnation, *d)
			}
		})
	}
}

func (w *model) grant(x *instance, kind Kind, k JobKey) {
	if g, err := x.owner.Grant(k, Decision{Kind: kind, Worker: "w"}); err == nil {
		if kind == Send {
			x.charged++
		}
		w.send(toOrigin, w.incarnation, g)
	}
}

// adoptMap makes an instance renew its lease and act on the map; mine says that it may open as the owner.
func (w *model) adoptMap(x *instance, mine bool) {
	x.knownEpoch, x.leased, x.isolated = w.ownership.Epoch, true, false
	x.owner.ObserveEpoch(w.ownership.Epoch)
	if !mine {
		x.importing.ObserveEpoch(w.ownership.Epoch)
		return
	}
	epoch, number := x.importing.epoch, x.importing.number
	c := x.importing.TakeSnapshot(w.ownership.Epoch)
	switch {
	case c != nil:
		if w.sealedChecksums[[2]uint64{epoch, number}] != checksumOf(c.Records, c.Tags) {
			w.fail("the copy is not the sealed snapshot")
		}
		x.owner.Open(w.ownership.Epoch, c)
		x.charged, x.lineage = int(c.Tags[0].Local), int(c.Tags[0].Global)
	case w.stagedBy == x.incarnationName():
		w.fail("opened without the staged snapshot")
	case x.owner.Renew(w.ownership.Epoch) != nil:
		x.owner.Open(w.ownership.Epoch, nil)
		x.charged, x.lineage = 0, 0
	}
	x.lineage |= 1 << w.ownership.Epoch
}

// observe makes the origin learn an epoch; without resendForEpoch it then sends none of its jobs.
func (w *model) observe(l *JobLog, epoch uint64, on ruleset) {
	if l.ObserveEpoch(epoch) && !on.resendForEpoch {
		l.unsent, l.snapshotSize = nil, 0
		for _, j := range l.jobs {
			j.queued = false
		}
	}
}

package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

func appendRecordKey(b []byte, e *JobRecord) []byte {
	b = append(b, e.ID...)
	b = append(append(b, e.Origin...), boolByte(e.Admitted), boolByte(e.Granted), boolByte(e.Finished))
	for _, a := range e.Attempts {
		b = append(append(b, 't'), a.Outcome...)
	}
	return append(b, ';')
}

func compareJobKeys(a, b JobKey) int { return strings.Compare(a.ID+a.Origin, b.ID+b.Origin) }

func (x *instance) print() string {
	b := append([]byte(nil), byte(x.incarnation), boolByte(x.up), boolByte(x.leased), boolByte(x.isolated), byte(x.knownEpoch), byte(x.startEpoch), byte(x.charged), byte(x.lineage))
	s := x.owner
	b = append(b, s.state[0], byte(s.epoch), byte(s.transfers), byte(s.lastGrant))
	for _, k := range slices.SortedFunc(maps.Keys(s.jobs), compareJobKeys) {
		b = append(appendRecordKey(b, &s.jobs[k].JobRecord), boolByte(s.jobs[k].confirmed), byte(s.grants[k].Number), byte(len(s.grants[k].Kind)))
	}
	for _, k := range slices.Sorted(maps.Keys(s.origins)) {
		b = append(append(b, k...), byte(s.origins[k].next), boolByte(s.origins[k].snapshotComplete), boolByte(s.origins[k].lost))
	}
	appendSnapshot := func(c *Snapshot) {
		for i := range c.Records {
			b = appendRecordKey(b, &c.Records[i])
		}
		for _, t := range c.Tags {
			b = append(b, byte(t.Local), byte(t.Global))
		}
	}
	if o := x.exporting; o != nil && o.Stage() != StageDone {
		b = append(append(b, 'o', byte(o.number), boolByte(o.lastChunkMade), byte(o.nextChunk)), o.stage...)
		b = append(b, o.target...)
		appendSnapshot(&o.snapshot)
	}
	in := x.importing
	b = append(b, 'i', byte(in.knownEpoch), byte(in.epoch), byte(in.number), byte(in.nextChunk), byte(in.chunkCount), boolByte(in.proposed), byte(len(in.abortReason)))
	appendSnapshot(&in.snapshot)
	return string(b)
}

func (w *model) key() string {
	b := make([]byte, 0, 512)
	for _, x := range w.instances {
		if x.key == "" {
			x.key = x.print()
		}
		b = append(append(b, x.key...), '|')
	}
	if w.logKey == "" {
		l := w.log
		k := []byte{byte(l.epoch), byte(l.revokedThrough), byte(l.firstUnacknowledged), byte(l.snapshotSize), boolByte(l.announced), boolByte(l.acknowledged)}
		for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
			j := l.jobs[id]
			k = append(appendRecordKey(k, &j.JobRecord), boolByte(j.queued), byte(j.lastNumber))
		}
		w.logKey = string(k) + fmt.Sprint(l.unsent, l.unacknowledged)
	}
	b = append(append(b, w.logKey...), w.ownership.Name...)
	b = append(append(b, w.stagedBy...), byte(w.ownership.Epoch), byte(w.incarnation), byte(w.jobsAdded))
	for i := range w.mayHaveRun {
		b = append(b, byte(w.mayHaveRun[i]), byte(w.inFlight[i]), byte(w.answers[i]))
	}
	for _, n := range w.startsByEpoch {
		b = append(b, byte(n))
	}
	n := w.budget
	b = append(b, byte(n.transfers), byte(n.aborts), byte(n.crashes), byte(n.isolations), byte(n.delayed), byte(n.corrupt))
	for _, m := range w.delayedMessages {
		b = append(append(b, '|'), m.key...)
	}
	return string(b)
}

// violatedInvariant returns the invariant that the state violates; "": none.
func (w *model) violatedInvariant() string {
	if w.violated != "" {
		return w.violated
	}
	for i := range w.mayHaveRun {
		switch {
		case w.mayHaveRun[i] > 1:
			return "an unsafe job ran twice"
		case w.inFlight[i] > 1:
			return "two attempts of a job in flight"
		case w.answers[i] > 1:
			return "two answers to a job"
		}
	}
	open := 0
	for _, x := range w.instances {
		if !x.up || x.owner.state == StateClosed {
			continue
		}
		if x.leased && x.owner.state == StateOpen {
			open++
		}
		sum := 0
		for e, n := range w.startsByEpoch {
			if x.lineage&(1<<e) != 0 {
				sum += n
			}
		}
		if sum > x.charged {
			return fmt.Sprintf("uncharged: %d starts, %d charged at %s", sum, x.charged, x.incarnationName())
		}
	}
	if open > 1 {
		return "two open owners"
	}
	return w.jobMismatch()
}

// jobMismatch compares the jobs of the owner of the origin's epoch with the origin's, if the origin considers that owner
// to be in sync. It returns a difference; "": none.
func (w *model) jobMismatch() string {
	for _, x := range w.instances {
		if !x.up || x.owner.state == StateClosed || x.owner.epoch != w.log.epoch || !w.log.Synced() || x.owner.origins[w.originName()] == nil {
			continue
		}
		for id, j := range w.log.jobs {
			e := x.owner.jobs[JobKey{w.originName(), id}]
			if e == nil || len(e.Attempts) != len(j.Attempts) || e.InFlight() != j.InFlight() {
				return "job lost: " + id
			}
		}
		for k := range x.owner.jobs {
			if k.Origin == w.originName() && w.log.jobs[k.ID] == nil {
				return "job only at the owner: " + k.ID
			}
		}
	}
	return ""
}

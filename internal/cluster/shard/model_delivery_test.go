package shard

import (
	"errors"
	"slices"
)

func (w *model) deliver(m message, on ruleset) {
	switch body := m.body.(type) {
	case proposal:
		now := Map{w.ownership}
		if now.Apply(body.OwnerChange) {
			w.ownership, w.stagedBy = now[0], body.by
		}
		return
	case Grant, Revoke, Ack:
		if m.incarnation == w.incarnation {
			w.deliverToOrigin(m, on)
		}
		return
	}
	if x := w.instances[m.to]; x.up && (x.incarnation == m.incarnation || !on.incarnations) {
		w.deliverToInstance(m, on)
	}
}

func (w *model) deliverToOrigin(m message, on ruleset) {
	switch body := m.body.(type) {
	case Grant:
		w.executeGrant(body, on)
	case Revoke:
		l := w.mutableLog()
		w.observe(l, body.Epoch, on)
		if s, err := l.Revoke(body); err == nil {
			w.sendDecline(s)
		}
	case Ack:
		l := w.mutableLog()
		w.observe(l, body.Epoch, on)
		l.Acknowledge(body)
	}
}

func (w *model) deliverToInstance(m message, on ruleset) {
	x := w.mutableInstance(m.to)
	from := 1 - m.to
	switch body := m.body.(type) {
	case JobUpdate:
		if h := x.owner.origins[body.Origin]; h != nil && !on.updateNumbers {
			body.First = h.next
		} else if h == nil && !on.removeUnconfirmed {
			x.owner.origins[body.Origin] = &originStream{next: 1, snapshotComplete: true}
		}
		updates, ack, err := x.owner.ApplyUpdate(0, body)
		for _, n := range updates {
			if n.GrantUnused {
				x.charged--
			}
		}
		if err == nil {
			w.send(toOrigin, w.incarnation, ack)
		}
	case Decline:
		if !on.declineOrder {
			body.LastUpdate = 0
		}
		for _, g := range x.owner.ApplyDecline(body) {
			if g.Kind == Send {
				x.charged--
			}
		}
	case Chunk:
		if !on.incarnations {
			body.Target = x.incarnationName()
		}
		if !on.checksums {
			body.Checksum = checksumOf(body.Records, body.Tags)
			if body.Index == body.Count-1 {
				x.importing.checksum = checksumOf(append(slices.Clip(x.importing.snapshot.Records), body.Records...), body.Tags)
				body.TotalChecksum = x.importing.checksum
			}
		}
		ack, aborted, err := x.importing.AddChunk(0, body)
		if aborted != nil {
			w.send(from, w.instances[from].incarnation, *aborted)
		} else if err == nil {
			w.send(from, w.instances[from].incarnation, ack)
		}
	case Abort:
		if d, _ := x.importing.HandleAbort(body); d != nil {
			w.send(from, w.instances[from].incarnation, *d)
			if !on.transferNumbers { // a new import accepts the chunks of any transfer
				x.importing = NewImportTransfer(0, x.incarnationName(), 9)
			}
		}
	case ChunkAck:
		if o := x.exporting; o != nil {
			o.Acknowledge(body)
		}
	case Aborted:
		if o := x.exporting; o != nil {
			o.HandleAborted(body)
		}
	}
}

// sendDecline sends a decline to the owner of its epoch.
func (w *model) sendDecline(s Decline) {
	for i, x := range w.instances {
		if x.owner.epoch == s.Epoch && x.up {
			w.send(i, x.incarnation, s)
		}
	}
}

// executeGrant handles a grant at the origin: it starts an attempt, rejects the job or declines the grant.
func (w *model) executeGrant(g Grant, on ruleset) {
	l := w.mutableLog()
	j := l.jobs[g.ID]
	grantEpoch := g.Epoch
	w.observe(l, g.Epoch, on)
	if !on.epochs {
		g.Epoch = max(g.Epoch, l.epoch)
	}
	if !on.revocation {
		l.revokedThrough = 0
	}
	if !on.attempts && j != nil {
		g.Attempt = len(j.Attempts)
	}
	if !on.atMostOnce && j != nil {
		j.AtMostOnce = false
	}
	err := l.Accept(0, g)
	i := int(g.ID[1] - '0')
	switch {
	case err == nil, !on.oneInFlight && errors.Is(err, AttemptInFlightError{}), !on.singleAnswer && errors.Is(err, JobFinishedError{}):
		if g.Kind == Reject {
			w.answers[i]++
			if w.mayHaveRun[i] > 0 {
				w.fail("rejected a job that may have run")
			}
			return
		}
		w.mayHaveRun[i]++
		w.inFlight[i]++
		w.startsByEpoch[grantEpoch]++
		for _, x := range w.instances {
			if h := x.owner.origins[w.originName()]; x.up && x.owner.state == StateOpen && x.owner.epoch > grantEpoch && h != nil && h.snapshotComplete {
				w.fail("a start that the new owner, which has the origin's full snapshot, did not grant")
			}
		}
	default:
		if s, ok := l.Decline(g); ok {
			w.sendDecline(s)
		}
	}
}

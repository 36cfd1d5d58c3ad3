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
		news, ack, err := x.owner.ApplyUpdate(0, body)
		for _, n := range news {
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
		took, dropped, err := x.importing.AddChunk(0, body)
		if dropped != nil {
			w.send(from, w.instances[from].incarnation, *dropped)
		} else if err == nil {
			w.send(from, w.instances[from].incarnation, took)
		}
	case Abort:
		if d, _ := x.importing.HandleAbort(body); d != nil {
			w.send(from, w.instances[from].incarnation, *d)
			if !on.transferNumbers { // nothing sends it from the next
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

// sendDecline sends a decline to the owner of the epoch.
func (w *model) sendDecline(s Decline) {
	for i, x := range w.instances {
		if x.owner.epoch == s.Epoch && x.up {
			w.send(i, x.incarnation, s)
		}
	}
}

// executeGrant is a grant at the origin.
func (w *model) executeGrant(g Grant, on ruleset) {
	l := w.mutableLog()
	j := l.jobs[g.ID]
	old := g.Epoch
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
				w.fail("rejected what ran")
			}
			return
		}
		w.mayHaveRun[i]++
		w.inFlight[i]++
		w.startsByEpoch[old]++
		for _, x := range w.instances {
			if h := x.owner.origins[w.originName()]; x.up && x.owner.state == StateOpen && x.owner.epoch > old && h != nil && h.snapshotComplete {
				w.fail("a start that the new owner, which knows all of the origin, did not grant")
			}
		}
	default:
		if s, ok := l.Decline(g); ok {
			w.sendDecline(s)
		}
	}
}

package lease

import "github.com/cespare/xxhash/v2"

// Bytes that mark optional parts of a key, and the capacity reserved for a key.
const (
	noLeader        = 252
	requestPending  = 253
	holderReleased  = 254
	endOfPart       = 255
	typicalKeyBytes = 256
)

// appendInts appends the low byte of each number.
func appendInts(b []byte, list ...int) []byte {
	for _, v := range list {
		b = append(b, byte(v))
	}
	return b
}

// revisionNumber returns a number that distinguishes the revision from others.
func revisionNumber(r Revision) int { return int(r.Version)<<2 | int(r.Stage) }

// remainingHalfSeconds returns the time left in units of 0.5 s, or 0 for all times that have passed.
func remainingHalfSeconds(until, now float64) int { return int(max(0, 2*(until-now))) }

func appendView(b []byte, v *View) []byte {
	b = appendInts(b, revisionNumber(v.Revision))
	if v.InForce.Number != 0 {
		b = appendInts(b, int(tableBit(v.InForce.Table)))
	}
	if v.Next.Number != 0 {
		b = appendInts(b, int(tableBit(v.Next.Table)))
	}
	return appendInts(b, endOfPart)
}

// key returns a 128-bit hash of the parts of a world that affect what can follow, by which search recognizes worlds
// that it has visited.
func (w *world) key() [2]uint64 {
	b := make([]byte, 0, typicalKeyBytes)
	b = appendInts(b, w.now, int(w.term), w.leader)
	b = w.remaining.appendKey(b)
	for _, n := range w.nodes {
		b = w.appendNode(b, n)
	}
	for i := range w.holders {
		b = w.appendHolder(b, i)
	}
	for _, m := range w.messages {
		b = append(b, m.key...)
	}
	return [2]uint64{xxhash.Sum64(b), xxhash.Sum64(append(b, 1))}
}

func (l bounds) appendKey(b []byte) []byte {
	return appendInts(b, l.requests, l.versions, l.withdrawals, l.elections, l.restarts, l.releases, l.duplicates,
		l.fileLosses, l.shorterLeases)
}

func (w *world) appendNode(b []byte, n *node) []byte {
	if n.grantor.term == 0 {
		return appendInts(b, noLeader)
	}
	b = appendView(b, n.state.View())
	b = appendInts(b, int(n.grantor.term), remainingHalfSeconds(n.grantor.inheritedExpiry(), w.leaderClock()),
		int(2*n.state.longestLeaseSeconds), int(2*n.grantor.settings.LeaseSeconds))
	for _, x := range w.holders {
		for earlier := range x.holder.incarnation {
			record, ok := n.grantor.leases[holderKey{instance: x.holder.instance, incarnation: earlier + 1}]
			if ok && record.expiresAt > w.leaderClock() {
				b = appendInts(b, int(x.holder.instance[0]), int(earlier), revisionNumber(record.appliedRevision),
					remainingHalfSeconds(record.expiresAt, w.leaderClock()))
			}
		}
	}
	return appendInts(b, endOfPart)
}

func (w *world) appendHolder(b []byte, i int) []byte {
	x := w.holders[i]
	h := x.holder
	now := w.clock(i)
	b = appendInts(b, int(h.incarnation), revisionNumber(h.knownRevision), revisionNumber(h.appliedRevision),
		revisionNumber(x.highestRevision), remainingHalfSeconds(h.expiresAt, now), int(h.request.nonce),
		remainingHalfSeconds(x.expiresAt, now))
	if w.effectiveTables(i) != 0 {
		b = appendInts(b, int(x.tables))
	}
	if h.content.view != nil {
		b = appendView(b, h.content.view)
	}
	if h.released {
		b = appendInts(b, holderReleased)
	}
	if h.request.pending {
		b = appendInts(b, remainingHalfSeconds(h.request.sentAt+h.settings.LeaseSeconds, now), requestPending)
	}
	return appendInts(b, endOfPart)
}

package shard

import "cmp"

// ImportTransfer is the new owner's side of the transfers of one shard to one
// incarnation of an instance.
type ImportTransfer struct {
	shard       int
	incarnation string
	maxRecords  int
	knownEpoch  uint64 // newest epoch of the shard in the map that this instance knows
	epoch       uint64 // epoch of the newest transfer known
	number      uint64 // number of that transfer
	nextChunk   int
	chunkCount  int
	checksum    Checksum
	snapshot    Snapshot
	proposed    bool
	abortReason string // empty: not aborted
}

// NewImportTransfer returns an ImportTransfer for a shard at an incarnation of an
// instance. It accepts at most maxRecords records, and no more than MaxRecords.
func NewImportTransfer(shard int, incarnation string, maxRecords int) *ImportTransfer {
	return &ImportTransfer{
		shard:       shard,
		incarnation: incarnation,
		maxRecords:  min(maxRecords, MaxRecords),
	}
}

// restart discards the state of the current transfer and sets the epoch and number of another.
func (t *ImportTransfer) restart(epoch, number uint64) {
	*t = ImportTransfer{
		shard:       t.shard,
		incarnation: t.incarnation,
		maxRecords:  t.maxRecords,
		knownEpoch:  t.knownEpoch,
		epoch:       epoch,
		number:      number,
	}
}

// ObserveEpoch records that the map has reached an epoch. Messages of transfers of
// older epochs are rejected from then on. The records of a transfer of epoch N are
// kept for TakeSnapshot at epoch N+1, and discarded once the map is past N+1.
func (t *ImportTransfer) ObserveEpoch(epoch uint64) {
	t.knownEpoch = max(t.knownEpoch, epoch)
	if t.knownEpoch > t.epoch+1 {
		t.chunkCount = 0
		t.snapshot = Snapshot{}
	}
}

// Staged reports whether all chunks of the newest transfer have arrived and it was not aborted.
func (t *ImportTransfer) Staged() bool {
	return t.chunkCount > 0 && t.nextChunk == t.chunkCount && t.abortReason == ""
}

// compareTo compares a message's transfer with the newest transfer known: negative if older, positive if newer.
func (t *ImportTransfer) compareTo(epoch, number uint64) int {
	return cmp.Or(cmp.Compare(epoch, t.epoch), cmp.Compare(number, t.number))
}

func (t *ImportTransfer) rejected(epoch, number uint64, reason string) error {
	return TransferRejectedError{t.shard, epoch, number, reason}
}

// Reasons for rejecting or aborting a transfer.
const (
	reasonOtherIncarnation = "it is for another incarnation of this instance"
	reasonSuperseded       = "a newer transfer has begun"
	reasonChunkChecksum    = "a chunk does not match its count or digest"
	reasonTotalChecksum    = "the chunks together do not match count and digest"
	reasonTooLarge         = "more records than this instance accepts"
	reasonProposed         = "the change of the map is proposed"
	reasonAborted          = "the old owner has aborted it"
	reasonOpened           = "it has been opened"
)

// AddChunk adds a chunk to the transfer and returns the acknowledgement, with the
// chunk expected next. A repeated chunk, or one after a gap, is ignored and
// acknowledged. The error says why the chunk was rejected: a
// TransferRejectedError or a StaleEpochError. If the transfer is aborted, Aborted
// is set; the caller sends it to the old owner, which may then open again.
func (t *ImportTransfer) AddChunk(now float64, c Chunk) (ChunkAck, *Aborted, error) {
	if err := t.checkTransfer(c.Target, c.Epoch, c.TransferNumber); err != nil {
		return ChunkAck{}, nil, err
	}
	if t.compareTo(c.Epoch, c.TransferNumber) > 0 {
		t.restart(c.Epoch, c.TransferNumber)
		t.chunkCount = c.Count
		t.checksum = c.TotalChecksum
	}
	if t.abortReason != "" {
		return t.abortWith(c, t.abortReason)
	}
	ack := ChunkAck{
		Shard:          t.shard,
		Epoch:          t.epoch,
		TransferNumber: t.number,
		Next:           t.nextChunk,
	}
	if c.Index != t.nextChunk {
		return ack, nil, nil // repeated, or after a gap
	}
	if c.Count != t.chunkCount || c.TotalChecksum != t.checksum || checksumOf(c.Records, c.Tags) != c.Checksum {
		return ack, nil, t.rejected(c.Epoch, c.TransferNumber, reasonChunkChecksum)
	}
	if len(t.snapshot.Records)+len(c.Records) > t.maxRecords {
		return t.abortWith(c, reasonTooLarge)
	}
	t.addRecords(now, c)
	ack.Next = t.nextChunk
	if t.nextChunk == t.chunkCount && checksumOf(t.snapshot.Records, t.snapshot.Tags) != t.checksum {
		return t.abortWith(c, reasonTotalChecksum)
	}
	return ack, nil, nil
}

// checkTransfer returns an error for a message of a transfer to another
// incarnation, of an older epoch, or that a newer transfer has superseded.
func (t *ImportTransfer) checkTransfer(target string, epoch, number uint64) error {
	switch {
	case target != t.incarnation:
		return t.rejected(epoch, number, reasonOtherIncarnation)
	case epoch < t.knownEpoch:
		return StaleEpochError{t.shard, epoch, t.knownEpoch}
	case t.compareTo(epoch, number) < 0:
		return t.rejected(epoch, number, reasonSuperseded)
	}
	return nil
}

func (t *ImportTransfer) abortWith(c Chunk, reason string) (ChunkAck, *Aborted, error) {
	return ChunkAck{}, t.abort(reason), t.rejected(c.Epoch, c.TransferNumber, reason)
}

func (t *ImportTransfer) addRecords(now float64, c Chunk) {
	// The delay of a chunk on the network makes its AsOf too late, so the earliest
	// AsOf is the most accurate one.
	if asOf := now - c.Age; t.nextChunk == 0 || asOf < t.snapshot.AsOf {
		t.snapshot.AsOf = asOf
	}
	t.snapshot.Records = append(t.snapshot.Records, c.Records...)
	t.snapshot.Tags = append(t.snapshot.Tags, c.Tags...)
	t.nextChunk++
}

func (t *ImportTransfer) abort(reason string) *Aborted {
	t.abortReason = reason
	t.snapshot = Snapshot{}
	return &Aborted{
		Shard:          t.shard,
		Epoch:          t.epoch,
		TransferNumber: t.number,
		Reason:         reason,
	}
}

// Propose returns the change of the agreed map that makes name, the new owner, the
// owner of the shard; the caller proposes it. It returns false unless the transfer
// is staged and its epoch is the map's current one. After Propose the new owner does
// not abort the transfer any more. Propose may be called repeatedly.
func (t *ImportTransfer) Propose(name string) (OwnerChange, bool) {
	if !t.Staged() || t.epoch < t.knownEpoch {
		return OwnerChange{}, false
	}
	t.proposed = true
	return OwnerChange{
		Shard: t.shard,
		Epoch: t.epoch,
		To:    name,
	}, true
}

// HandleAbort aborts a transfer at the request of the old owner. It returns a
// TransferRejectedError if the transfer is to another incarnation, was superseded,
// or its change was proposed, and a StaleEpochError if the map has changed. Once the
// change was proposed or the map has changed, the transfer cannot be aborted, and
// the old owner may only Reclaim the shard.
func (t *ImportTransfer) HandleAbort(m Abort) (*Aborted, error) {
	if err := t.checkTransfer(m.Target, m.Epoch, m.TransferNumber); err != nil {
		return nil, err
	}
	if t.compareTo(m.Epoch, m.TransferNumber) > 0 { // chunks of it that are in flight must not be staged later
		t.restart(m.Epoch, m.TransferNumber)
	} else if t.proposed {
		return nil, t.rejected(m.Epoch, m.TransferNumber, reasonProposed)
	}
	return t.abort(reasonAborted), nil
}

// Abort aborts the newest transfer for a reason of this instance. It returns nil,
// with no effect, if there is no transfer, its change was proposed, or the map has
// passed its epoch.
func (t *ImportTransfer) Abort(reason string) *Aborted {
	if t.number == 0 || t.proposed || t.epoch < t.knownEpoch {
		return nil
	}
	return t.abort(reason)
}

// TakeSnapshot returns the snapshot with which the owner on this instance opens at
// an epoch. The caller has seen that the map names this instance at that epoch.
// TakeSnapshot returns nil unless a transfer of the previous epoch is staged, and
// returns each snapshot only once.
func (t *ImportTransfer) TakeSnapshot(epoch uint64) *Snapshot {
	t.ObserveEpoch(epoch)
	if !t.Staged() || t.epoch+1 != epoch {
		return nil
	}
	snapshot := t.snapshot
	t.restart(t.epoch, t.number)
	t.abortReason = reasonOpened
	return &snapshot
}

package shard

import (
	"cmp"
	"slices"
)

// Stage is the progress of a transfer at the old owner.
type Stage string

// The stages of a transfer at the old owner. The new owner proposes the change of
// the map, and only once it has all records.
const (
	StageRevoking Stage = "sealed"     // the owner is sealed and its pending grants are being revoked
	StageCopying  Stage = "copied"     // records are being sent in chunks
	StageStaged   Stage = "staged"     // the new owner has acknowledged all chunks
	StageAborting Stage = "called off" // aborted here, not yet confirmed by the new owner
	StageDone     Stage = "over"       // the old owner is open again, or closed
)

// ExportTransfer is the old owner's side of a transfer.
type ExportTransfer struct {
	owner         *Owner
	epoch         uint64
	number        uint64
	target        string
	chunkSize     int // records per chunk
	stage         Stage
	lastChunkMade bool // the last chunk may have been sent: the new owner may have all records
	snapshot      Snapshot
	chunkCount    int
	nextChunk     int // index of the chunk that the new owner expects
	checksum      Checksum
}

// Snapshot holds the jobs and tags of a sealed owner. AsOf is a time in seconds of
// the holder's own clock; the times of jobs and tags are relative to AsOf.
type Snapshot struct {
	AsOf    float64
	Records []JobRecord
	Tags    []TenantTags
}

// BeginTransfer seals the owner and begins a transfer to target, an incarnation
// of another instance. It returns a TransferRejectedError if the owner is not
// open, for example during another transfer.
func (o *Owner) BeginTransfer(target string) (*ExportTransfer, error) {
	if o.state != StateOpen {
		return nil, TransferRejectedError{o.shard, o.epoch, o.transfers, "this instance's owner is " + string(o.state)}
	}
	o.transfers++
	o.state = StateSealed
	return &ExportTransfer{
		owner:     o,
		epoch:     o.epoch,
		number:    o.transfers,
		target:    target,
		chunkSize: MaxChunkRecords,
		stage:     StageRevoking,
	}, nil
}

// Stage returns the progress of the transfer.
func (t *ExportTransfer) Stage() Stage {
	if t.owner.epoch != t.epoch || t.owner.state == StateClosed {
		return StageDone
	}
	return t.stage
}

// Freeze takes the snapshot of the sealed owner. The caller passes the tags of the
// shard's tenants, in seconds relative to now. Freeze returns a TransferRejectedError
// if the stage is not StageRevoking, or while grants are pending (see Owner.Revokes
// and Owner.ApplyDecline) unless waivePending is set. With waivePending the transfer
// does not wait for origins that do not answer: jobs with a pending Send are
// transferred as Granted, their charges stay, and the updates of the origins to the
// new owner settle these grants.
func (t *ExportTransfer) Freeze(now float64, tags []TenantTags, waivePending bool) error {
	if t.Stage() != StageRevoking {
		return t.rejected("its stage is " + string(t.Stage()))
	}
	if len(t.owner.grants) > 0 && !waivePending {
		return t.rejected("grants are still pending")
	}
	records := t.owner.recordsForTransfer(now)
	t.snapshot = Snapshot{
		AsOf:    now,
		Records: records,
		Tags:    tags,
	}
	t.chunkCount = max(1, ceilDiv(len(records), t.chunkSize), ceilDiv(len(tags), MaxChunkTags))
	t.checksum = checksumOf(records, tags)
	t.stage = StageCopying
	return nil
}

func (t *ExportTransfer) rejected(reason string) error {
	return TransferRejectedError{t.owner.shard, t.epoch, t.number, reason}
}

// recordsForTransfer returns all jobs sorted by origin and id; those with a pending Send are marked as Granted.
func (o *Owner) recordsForTransfer(now float64) []JobRecord {
	records := make([]JobRecord, 0, len(o.jobs))
	for key, j := range o.jobs {
		r := j.recordAt(now)
		if o.grants[key].Kind == Send {
			r.Granted = true
		}
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b JobRecord) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.ID, b.ID))
	})
	return records
}

func ceilDiv(n, size int) int { return (n + size - 1) / size }

// Chunks returns at most n chunks, from the one that the new owner expects next,
// including chunks that were sent before; none unless the stage is StageCopying.
func (t *ExportTransfer) Chunks(now float64, n int) []Chunk {
	if t.Stage() != StageCopying {
		return nil
	}
	var chunks []Chunk
	for i := t.nextChunk; i < min(t.nextChunk+n, t.chunkCount); i++ {
		chunks = append(chunks, t.chunk(now, i))
		t.lastChunkMade = t.lastChunkMade || i == t.chunkCount-1
	}
	return chunks
}

func (t *ExportTransfer) chunk(now float64, index int) Chunk {
	records := chunkOf(t.snapshot.Records, index, t.chunkSize)
	tags := chunkOf(t.snapshot.Tags, index, MaxChunkTags)
	return Chunk{
		Shard:          t.owner.shard,
		Epoch:          t.epoch,
		TransferNumber: t.number,
		Target:         t.target,
		Index:          index,
		Count:          t.chunkCount,
		Age:            now - t.snapshot.AsOf,
		Records:        records,
		Tags:           tags,
		Checksum:       checksumOf(records, tags),
		TotalChecksum:  t.checksum,
	}
}

// chunkOf returns the part of a list that belongs to the chunk with the index; it may be empty.
func chunkOf[T any](list []T, index, size int) []T {
	return list[min(index*size, len(list)):min((index+1)*size, len(list))]
}

// Acknowledge records which chunk the new owner expects next. Once the new owner
// has all chunks, the transfer is staged.
func (t *ExportTransfer) Acknowledge(ack ChunkAck) {
	if t.Stage() != StageCopying || !t.matches(ack.Shard, ack.Epoch, ack.TransferNumber) || ack.Next > t.chunkCount {
		return
	}
	t.nextChunk = max(t.nextChunk, ack.Next)
	if t.nextChunk == t.chunkCount {
		t.stage = StageStaged
	}
}

// matches reports whether a message belongs to this transfer.
func (t *ExportTransfer) matches(shard int, epoch, number uint64) bool {
	return shard == t.owner.shard && epoch == t.epoch && number == t.number
}

// Abort ends the transfer. If the last chunk was never made, the new owner cannot
// have all records, and the old owner opens again at once, at the same epoch.
// Otherwise the new owner has to confirm with Aborted first, and the caller sends
// it the AbortMessage until then.
func (t *ExportTransfer) Abort() {
	switch t.Stage() {
	case StageDone:
	case StageRevoking, StageCopying:
		if !t.lastChunkMade {
			t.reopen()
			return
		}
		t.stage = StageAborting
	default:
		t.stage = StageAborting
	}
}

// AbortMessage returns the message that asks the new owner to abort the transfer.
// It returns false unless the stage is StageAborting.
func (t *ExportTransfer) AbortMessage() (Abort, bool) {
	return Abort{
		Shard:          t.owner.shard,
		Epoch:          t.epoch,
		TransferNumber: t.number,
		Target:         t.target,
	}, t.Stage() == StageAborting
}

// HandleAborted handles the new owner's confirmation that it has aborted the
// transfer: the old owner opens again at the same epoch. It returns false, with
// no effect, if the transfer is done or the message belongs to another one.
func (t *ExportTransfer) HandleAborted(m Aborted) bool {
	if t.Stage() == StageDone || !t.matches(m.Shard, m.Epoch, m.TransferNumber) {
		return false
	}
	t.reopen()
	return true
}

func (t *ExportTransfer) reopen() {
	t.stage = StageDone
	t.owner.state = StateOpen
}

// Reclaim returns the change that the old owner proposes if the new owner's
// incarnation has ended or does not answer. It makes self, the old owner, the owner
// of the shard for the next epoch too. Once the map has changed accordingly, the
// caller calls Owner.Renew. Reclaim returns false if the transfer is done, or if the
// last chunk was never made, because Abort is enough then.
func (t *ExportTransfer) Reclaim(self string) (OwnerChange, bool) {
	return OwnerChange{
		Shard: t.owner.shard,
		Epoch: t.epoch,
		To:    self,
	}, t.lastChunkMade && t.Stage() != StageDone
}

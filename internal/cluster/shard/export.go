package shard

import (
	"cmp"
	"slices"
)

// Stage is the progress of a transfer at the old owner.
type Stage string

// The stages of a transfer. The map may change while it is in StageStaged alone,
// and only the new owner proposes that.
const (
	StageRevoking Stage = "sealed" // grants are revoked
	StageCopying  Stage = "copied" // records are sent in chunks
	StageStaged   Stage = "staged" // the new owner has all of them
	StageAborting Stage = "called off"
	StageDone     Stage = "over" // the owner is open again, or closed
)

// ExportTransfer is a transfer at the old owner.
type ExportTransfer struct {
	owner         *Owner
	epoch         uint64
	number        uint64
	target        string
	chunkSize     int // records of a chunk
	stage         Stage
	lastChunkMade bool // the new owner may be staged
	snapshot      Snapshot
	chunkCount    int
	nextChunk     int // that the new owner expects
	checksum      Checksum
}

// Snapshot is what an owner had when it was sealed, as it is at the time AsOf.
type Snapshot struct {
	AsOf    float64
	Records []JobRecord
	Tags    []TenantTags
}

// BeginTransfer seals the owner for a transfer to an incarnation of another
// instance. It is rejected while one is under way or the owner is not open.
func (o *Owner) BeginTransfer(target string) (*ExportTransfer, error) {
	if o.state != StateOpen {
		return nil, TransferRejectedError{o.shard, o.epoch, o.transfers, "the owner here is " + string(o.state)}
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

// Freeze takes the snapshot of the sealed owner, with the tags of its tenants as
// distances from now, once no grant is pending (Owner.Revokes,
// Owner.ApplyDecline). With waive it does not wait for origins that do not
// answer: what was granted to them is transferred as Granted, charged, and is
// settled by what they send to the new owner.
func (t *ExportTransfer) Freeze(now float64, tags []TenantTags, waive bool) error {
	if t.Stage() != StageRevoking {
		return t.rejected("it is " + string(t.Stage()))
	}
	if len(t.owner.grants) > 0 && !waive {
		return t.rejected("grants are not settled yet")
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

// recordsForTransfer returns all jobs by origin and id, with pending sends marked as Granted.
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

// Chunks returns the next ones that the new owner expects, at most n, whether
// they were sent before or not.
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

// chunkOf returns the part of a list that belongs to a chunk; it may be empty.
func chunkOf[T any](list []T, index, size int) []T {
	return list[min(index*size, len(list)):min((index+1)*size, len(list))]
}

// Acknowledge records how far the new owner is.
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

// Abort ends the transfer. While the new owner can't have all of it the old one
// opens again at once, at the same epoch; otherwise the new one has to confirm
// with Aborted first, and AbortMessage is to be sent to it until then.
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

// AbortMessage returns what the new owner is to receive of an aborted transfer;
// false: the transfer is not aborting.
func (t *ExportTransfer) AbortMessage() (Abort, bool) {
	return Abort{
		Shard:          t.owner.shard,
		Epoch:          t.epoch,
		TransferNumber: t.number,
		Target:         t.target,
	}, t.Stage() == StageAborting
}

// HandleAborted takes in that the new owner has aborted the transfer: the old
// one opens again at the same epoch. It reports whether it did.
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

// Reclaim returns what the old owner proposes when the new one's incarnation has
// ended or it does not answer: that the map names the old one again. If it takes
// effect the owner is renewed. Before the new owner can have all, Abort is
// enough.
func (t *ExportTransfer) Reclaim(self string) (OwnerChange, bool) {
	return OwnerChange{
		Shard: t.owner.shard,
		Epoch: t.epoch,
		To:    self,
	}, t.lastChunkMade && t.Stage() != StageDone
}

package wire

import (
	"math"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
)

// decoder converts a message and records whether any part of it is invalid.
type decoder struct {
	shard   int
	epoch   uint64
	origin  string
	invalid bool
}

func (d *decoder) require(ok bool) { d.invalid = d.invalid || !ok }

func (d *decoder) requiredName(b []byte) string {
	d.require(len(b) > 0 && len(b) <= MaxName)
	return string(b)
}

func (d *decoder) optionalName(b []byte) string {
	d.require(len(b) <= MaxName)
	return string(b)
}

func (d *decoder) finite(f float64) float64 {
	d.require(!math.IsNaN(f) && !math.IsInf(f, 0))
	return f
}

// bounded returns a number and requires that it is below a bound.
func (d *decoder) bounded(n uint32, bound int) int {
	d.require(int64(n) < int64(bound))
	return int(n)
}

func decodeEnvelope(e *Envelope) (shard.Message, error) {
	d := &decoder{epoch: e.Epoch}
	d.shard = d.bounded(e.Shard, shard.MaxShards)
	d.require(e.Epoch > 0)
	message := d.transferMessage(e)
	if message == nil {
		d.origin = d.requiredName(e.Origin)
		message = d.originMessage(e)
	}
	if d.invalid || message == nil {
		return nil, ErrCorrupt
	}
	return message, nil
}

// transferMessage decodes a message between two owners; nil: the envelope holds another kind, or is invalid.
func (d *decoder) transferMessage(e *Envelope) shard.Message {
	switch body := e.Body.(type) {
	case *Envelope_Chunk:
		return d.chunk(body.Chunk)
	case *Envelope_ChunkAck:
		return d.chunkAck(body.ChunkAck)
	case *Envelope_Abort:
		return d.abort(body.Abort)
	case *Envelope_Aborted:
		return d.aborted(body.Aborted)
	}
	return nil
}

// originMessage decodes a message between an origin and the owner; nil: the
// envelope is empty, invalid, or of a kind that a newer build added.
func (d *decoder) originMessage(e *Envelope) shard.Message {
	switch body := e.Body.(type) {
	case *Envelope_Grant:
		return d.grant(body.Grant)
	case *Envelope_JobUpdate:
		return d.jobUpdate(body.JobUpdate)
	case *Envelope_Ack:
		return shard.Ack{Shard: d.shard, Epoch: d.epoch, Origin: d.origin, Next: body.Ack.GetNext()}
	case *Envelope_Revoke:
		return shard.Revoke{Shard: d.shard, Epoch: d.epoch, Origin: d.origin, Through: body.Revoke.GetThrough()}
	case *Envelope_Decline:
		return d.decline(body.Decline)
	case *Envelope_Digest:
		return d.digest(body.Digest)
	case *Envelope_DigestMismatch:
		return d.mismatch(body.DigestMismatch)
	case *Envelope_BucketContents:
		return d.contents(body.BucketContents)
	case *Envelope_ResendRequest:
		return d.resendRequest(body.ResendRequest)
	}
	return nil
}

func (d *decoder) grant(m *GrantMessage) shard.Message {
	d.require(m.GetKind() > 0)
	kind := d.bounded(m.GetKind(), len(grantKinds))
	if d.invalid {
		return nil
	}
	return shard.Grant{
		Shard:      d.shard,
		Epoch:      d.epoch,
		Number:     m.Number,
		Kind:       grantKinds[kind],
		Origin:     d.origin,
		ID:         d.requiredName(m.Id),
		Attempt:    d.bounded(m.Attempt, shard.MaxAttempts+1),
		Worker:     d.optionalName(m.Worker),
		RetryAfter: d.finite(m.RetryAfter),
	}
}

func (d *decoder) jobUpdate(m *JobUpdateMessage) shard.Message {
	return shard.JobUpdate{
		Shard:        d.shard,
		Epoch:        d.epoch,
		Origin:       d.origin,
		First:        m.GetFirst(),
		SnapshotSize: m.GetSnapshotSize(),
		Records:      d.records(m.GetRecords(), m.GetClasses()),
	}
}

func (d *decoder) decline(m *DeclineMessage) shard.Message {
	return shard.Decline{
		Shard:      d.shard,
		Epoch:      d.epoch,
		Origin:     d.origin,
		Number:     m.GetNumber(),
		ID:         d.optionalName(m.GetId()),
		LastUpdate: m.GetLastUpdate(),
	}
}

func (d *decoder) chunk(m *ChunkMessage) shard.Message {
	d.require(m.GetCount() > 0 && m.GetCount() <= maxChunks)
	d.require(m.GetIndex() < m.GetCount())
	d.require(len(m.GetTags()) <= shard.MaxChunkTags)
	if d.invalid {
		return nil
	}
	c := shard.Chunk{
		Shard:          d.shard,
		Epoch:          d.epoch,
		TransferNumber: m.TransferNumber,
		Target:         d.requiredName(m.Target),
		Index:          int(m.Index),
		Count:          int(m.Count),
		Age:            d.finite(m.Age),
		Records:        d.records(m.Records, m.Classes),
		Checksum:       checksum(m.Checksum),
		TotalChecksum:  checksum(m.TotalChecksum),
	}
	for _, t := range m.Tags {
		c.Tags = append(c.Tags, shard.TenantTags{
			Tenant: d.optionalName(t.GetTenant()),
			Local:  d.finite(t.GetLocal()),
			Global: d.finite(t.GetGlobal()),
		})
	}
	return c
}

func (d *decoder) chunkAck(m *ChunkAckMessage) shard.Message {
	return shard.ChunkAck{
		Shard:          d.shard,
		Epoch:          d.epoch,
		TransferNumber: m.GetTransferNumber(),
		Next:           d.bounded(m.GetNext(), maxChunks+1),
	}
}

func (d *decoder) abort(m *AbortMessage) shard.Message {
	return shard.Abort{
		Shard:          d.shard,
		Epoch:          d.epoch,
		TransferNumber: m.GetTransferNumber(),
		Target:         d.requiredName(m.GetTarget()),
	}
}

func (d *decoder) aborted(m *AbortedMessage) shard.Message {
	return shard.Aborted{
		Shard:          d.shard,
		Epoch:          d.epoch,
		TransferNumber: m.GetTransferNumber(),
		Reason:         d.optionalName(m.GetReason()),
	}
}

func (d *decoder) digest(m *DigestMessage) shard.Message {
	d.require(len(m.GetChecksums()) == shard.BucketCount)
	digest := shard.Digest{
		Shard:      d.shard,
		Epoch:      d.epoch,
		Origin:     d.origin,
		LastUpdate: m.GetLastUpdate(),
	}
	for _, s := range m.GetChecksums() {
		digest.Checksums = append(digest.Checksums, checksum(s))
	}
	return digest
}

func (d *decoder) mismatch(m *DigestMismatchMessage) shard.Message {
	d.require(len(m.GetBuckets()) <= shard.BucketCount)
	mismatch := shard.DigestMismatch{
		Shard:  d.shard,
		Epoch:  d.epoch,
		Origin: d.origin,
	}
	for _, n := range m.GetBuckets() {
		mismatch.Buckets = append(mismatch.Buckets, d.bounded(n, shard.BucketCount))
	}
	return mismatch
}

func (d *decoder) contents(m *BucketContentsMessage) shard.Message {
	d.require(len(m.GetIds()) == len(m.GetDigests()))
	d.require(len(m.GetIds()) <= shard.MaxChunkRecords)
	if d.invalid {
		return nil
	}
	contents := shard.BucketContents{
		Shard:      d.shard,
		Epoch:      d.epoch,
		Origin:     d.origin,
		LastUpdate: m.GetLastUpdate(),
		Bucket:     d.bounded(m.GetBucket(), shard.BucketCount),
		From:       d.optionalName(m.GetFrom()),
		To:         d.optionalName(m.GetTo()),
	}
	for i, id := range m.GetIds() {
		contents.Jobs = append(contents.Jobs, shard.JobStatus{
			ID:     d.requiredName(id),
			Digest: m.Digests[i],
		})
	}
	return contents
}

func (d *decoder) resendRequest(m *ResendRequestMessage) shard.Message {
	d.require(len(m.GetIds()) <= shard.MaxChunkRecords)
	request := shard.ResendRequest{
		Shard:  d.shard,
		Epoch:  d.epoch,
		Origin: d.origin,
	}
	for _, id := range m.GetIds() {
		request.IDs = append(request.IDs, d.requiredName(id))
	}
	return request
}

func checksum(m *ChecksumMessage) shard.Checksum {
	return shard.Checksum{
		Count:  m.GetCount(),
		Digest: m.GetDigest(),
	}
}

// records decodes the records of an update, which all belong to the origin of the
// envelope, or of a chunk, where each record names its own origin.
func (d *decoder) records(messages []*RecordMessage, definitions []*ClassMessage) []shard.JobRecord {
	d.require(len(messages) <= shard.MaxChunkRecords)
	d.require(len(definitions) <= shard.MaxChunkRecords)
	if d.invalid || len(messages) == 0 {
		return nil
	}
	records := make([]shard.JobRecord, len(messages))
	classes := d.classes(definitions)
	for i, m := range messages {
		records[i].Accepted = d.acceptedClass(classes, m.GetAccepted())
		if !d.fillRecord(&records[i], m) {
			return nil
		}
	}
	return records
}

// fillRecord decodes a record. It returns false if the record has too many attempts.
func (d *decoder) fillRecord(r *shard.JobRecord, m *RecordMessage) bool {
	r.ID = d.requiredName(m.GetId())
	r.Class = d.optionalName(m.GetClass())
	r.Tenant = d.optionalName(m.GetTenant())
	r.Origin = d.origin
	if d.origin == "" {
		r.Origin = d.requiredName(m.GetOrigin())
	}
	r.Slots = d.finite(m.GetSlots())
	r.Memory = d.finite(m.GetMemory())
	r.Timeout = d.finite(m.GetTimeout())
	r.Age = d.finite(m.GetAge())
	r.AtMostOnce = m.GetAtMostOnce()
	r.Admitted = m.GetAdmitted()
	r.Granted = m.GetGranted()
	r.Finished = m.GetFinished()
	r.Order = m.GetOrder()
	r.Retry = m.GetRetry()
	r.StartsNow = m.GetStartsNow()
	return d.fillAttempts(r, m.GetAttempts())
}

func (d *decoder) fillAttempts(r *shard.JobRecord, messages []*AttemptMessage) bool {
	if len(messages) > shard.MaxAttempts {
		d.require(false)
		return false
	}
	if len(messages) > 0 {
		r.Attempts = make([]shard.Attempt, len(messages))
	}
	for i, m := range messages {
		d.require(len(m.GetOutcome()) > 0 || i == len(messages)-1) // only the last attempt can be in flight
		r.Attempts[i] = d.attempt(m)
	}
	return true
}

func (d *decoder) attempt(m *AttemptMessage) shard.Attempt {
	d.require(len(m.GetReport()) <= shard.MaxReportValues)
	for _, v := range m.GetReport() {
		d.finite(v)
	}
	return shard.Attempt{
		Worker:     d.optionalName(m.GetWorker()),
		Outcome:    balance.Outcome(d.optionalName(m.GetOutcome())),
		MayHaveRun: m.GetMayHaveRun(),
		Elapsed:    d.finite(m.GetElapsed()),
		Started:    m.GetStarted(),
		RunningFor: d.finite(m.GetRunningFor()),
		Report:     m.GetReport(),
	}
}

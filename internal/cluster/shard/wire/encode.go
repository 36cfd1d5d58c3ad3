package wire

import (
	"fmt"
	"slices"

	"example.org/bellstream/internal/cluster/shard"
)

// envelope converts a message, without the fields that Encode sets for all
// messages.
func envelope(message shard.Message) (*Envelope, error) {
	switch m := message.(type) {
	case shard.Grant:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_Grant{grantMessage(m)}), nil
	case shard.JobUpdate:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_JobUpdate{jobUpdateMessage(m)}), nil
	case shard.Ack:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_Ack{&AckMessage{Next: m.Next}}), nil
	case shard.Revoke:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_Revoke{&RevokeMessage{Through: m.Through}}), nil
	case shard.Decline:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_Decline{declineMessage(m)}), nil
	case shard.Digest:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_Digest{digestMessage(m)}), nil
	case shard.DigestMismatch:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_DigestMismatch{mismatchMessage(m)}), nil
	case shard.BucketContents:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_BucketContents{contentsMessage(m)}), nil
	case shard.ResendRequest:
		return originEnvelope(m.Shard, m.Epoch, m.Origin, &Envelope_ResendRequest{resendMessage(m)}), nil
	case shard.Chunk:
		return transferEnvelope(m.Shard, m.Epoch, &Envelope_Chunk{chunkMessage(m)}), nil
	case shard.ChunkAck:
		return transferEnvelope(m.Shard, m.Epoch, &Envelope_ChunkAck{chunkAckMessage(m)}), nil
	case shard.Abort:
		return transferEnvelope(m.Shard, m.Epoch, &Envelope_Abort{abortMessage(m)}), nil
	case shard.Aborted:
		return transferEnvelope(m.Shard, m.Epoch, &Envelope_Aborted{abortedMessage(m)}), nil
	}
	return nil, fmt.Errorf("%w: %T", ErrCorrupt, message)
}

// originEnvelope wraps a message between an origin and the owner.
func originEnvelope(number int, epoch uint64, origin string, body isEnvelope_Body) *Envelope {
	e := transferEnvelope(number, epoch, body)
	e.Origin = []byte(origin)
	return e
}

// transferEnvelope wraps a message between two owners.
func transferEnvelope(number int, epoch uint64, body isEnvelope_Body) *Envelope {
	return &Envelope{
		Shard: uint32(number),
		Epoch: epoch,
		Body:  body,
	}
}

func grantMessage(g shard.Grant) *GrantMessage {
	return &GrantMessage{
		Number:     g.Number,
		Kind:       uint32(max(slices.Index(grantKinds, g.Kind), 0)), // Decode rejects 0
		Id:         []byte(g.ID),
		Attempt:    uint32(g.Attempt),
		Worker:     []byte(g.Worker),
		RetryAfter: g.RetryAfter,
	}
}

func jobUpdateMessage(u shard.JobUpdate) *JobUpdateMessage {
	var classes classTable
	return &JobUpdateMessage{
		First:        u.First,
		SnapshotSize: u.SnapshotSize,
		Records:      recordMessages(u.Records, false, &classes),
		Classes:      classes.messages,
	}
}

func declineMessage(d shard.Decline) *DeclineMessage {
	return &DeclineMessage{
		Number:     d.Number,
		Id:         []byte(d.ID),
		LastUpdate: d.LastUpdate,
	}
}

func chunkMessage(c shard.Chunk) *ChunkMessage {
	var classes classTable
	m := &ChunkMessage{
		TransferNumber: c.TransferNumber,
		Target:         []byte(c.Target),
		Index:          uint32(c.Index),
		Count:          uint32(c.Count),
		Age:            c.Age,
		Records:        recordMessages(c.Records, true, &classes),
		Classes:        classes.messages,
		Checksum:       checksumMessage(c.Checksum),
		TotalChecksum:  checksumMessage(c.TotalChecksum),
	}
	for _, t := range c.Tags {
		m.Tags = append(m.Tags, &TagsMessage{
			Tenant: []byte(t.Tenant),
			Local:  t.Local,
			Global: t.Global,
		})
	}
	return m
}

func chunkAckMessage(a shard.ChunkAck) *ChunkAckMessage {
	return &ChunkAckMessage{
		TransferNumber: a.TransferNumber,
		Next:           uint32(a.Next),
	}
}

func abortMessage(a shard.Abort) *AbortMessage {
	return &AbortMessage{
		TransferNumber: a.TransferNumber,
		Target:         []byte(a.Target),
	}
}

func abortedMessage(a shard.Aborted) *AbortedMessage {
	return &AbortedMessage{
		TransferNumber: a.TransferNumber,
		Reason:         []byte(a.Reason),
	}
}

func digestMessage(d shard.Digest) *DigestMessage {
	m := &DigestMessage{LastUpdate: d.LastUpdate}
	for _, s := range d.Checksums {
		m.Checksums = append(m.Checksums, checksumMessage(s))
	}
	return m
}

func mismatchMessage(d shard.DigestMismatch) *DigestMismatchMessage {
	m := &DigestMismatchMessage{}
	for _, b := range d.Buckets {
		m.Buckets = append(m.Buckets, uint32(b))
	}
	return m
}

func contentsMessage(c shard.BucketContents) *BucketContentsMessage {
	m := &BucketContentsMessage{
		LastUpdate: c.LastUpdate,
		Bucket:     uint32(c.Bucket),
		From:       []byte(c.From),
		To:         []byte(c.To),
	}
	for _, job := range c.Jobs {
		m.Ids = append(m.Ids, []byte(job.ID))
		m.Digests = append(m.Digests, job.Digest)
	}
	return m
}

func resendMessage(r shard.ResendRequest) *ResendRequestMessage {
	m := &ResendRequestMessage{}
	for _, id := range r.IDs {
		m.Ids = append(m.Ids, []byte(id))
	}
	return m
}

func checksumMessage(s shard.Checksum) *ChecksumMessage {
	return &ChecksumMessage{
		Count:  s.Count,
		Digest: s.Digest,
	}
}

// recordMessages converts records, with one allocation for all messages. Updates
// carry the origin in their envelope instead of in each record.
func recordMessages(records []shard.JobRecord, withOrigin bool, classes *classTable) []*RecordMessage {
	all := make([]RecordMessage, len(records))
	out := make([]*RecordMessage, len(records))
	for i := range records {
		fillRecord(&all[i], &records[i])
		all[i].Accepted = classes.index(records[i].Accepted)
		if withOrigin {
			all[i].Origin = []byte(records[i].Origin)
		}
		out[i] = &all[i]
	}
	return out
}

func fillRecord(m *RecordMessage, r *shard.JobRecord) {
	m.Id = []byte(r.ID)
	m.Class = []byte(r.Class)
	m.Tenant = []byte(r.Tenant)
	m.Slots = r.Slots
	m.Memory = r.Memory
	m.Timeout = r.Timeout
	m.Age = r.Age
	m.AtMostOnce = r.AtMostOnce
	m.Admitted = r.Admitted
	m.Granted = r.Granted
	m.Finished = r.Finished
	m.Order = r.Order
	m.Retry = r.Retry
	m.StartsNow = r.StartsNow
	for _, a := range r.Attempts {
		m.Attempts = append(m.Attempts, attemptMessage(a))
	}
}

func attemptMessage(a shard.Attempt) *AttemptMessage {
	return &AttemptMessage{
		Worker:     []byte(a.Worker),
		Outcome:    []byte(a.Outcome),
		MayHaveRun: a.MayHaveRun,
		Elapsed:    a.Elapsed,
		Started:    a.Started,
		RunningFor: a.RunningFor,
		Report:     a.Report,
	}
}

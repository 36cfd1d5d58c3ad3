package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Reconciliation is a safety net for the updates: origin and owner compare their
// open jobs by count and digest, and repair differences job by job. Without a
// fault in the updates it finds none.

// BucketCount is the number of buckets of job ids that are compared separately.
const BucketCount = 64

// digestBufferSize is the size, in bytes, that the encoded status of most jobs fits into.
const digestBufferSize = 256

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % BucketCount) }

// Digest returns the digest that the owner compares with its own. It returns false
// while updates are unsent or unacknowledged: then the owner cannot compare yet.
func (l *JobLog) Digest() (Digest, bool) {
	if !l.Synced() {
		return Digest{}, false
	}
	sums := make([]Checksum, BucketCount)
	buffer := make([]byte, 0, digestBufferSize)
	for id, j := range l.jobs {
		sums[bucketOf(id)].add(j.statusDigest(buffer))
	}
	return Digest{
		Shard:      l.shard,
		Epoch:      l.epoch,
		Origin:     l.origin,
		LastUpdate: l.lastUpdate(),
		Checksums:  sums,
	}, true
}

// BucketContents lists the jobs of the buckets that differ, at most
// MaxChunkRecords per message. It returns none for a past epoch, or while updates
// are unsent or unacknowledged.
func (l *JobLog) BucketContents(mismatch DigestMismatch) []BucketContents {
	if mismatch.Epoch != l.epoch || !l.Synced() {
		return nil
	}
	statuses := l.statusesByBucket(mismatch.Buckets)
	var contents []BucketContents
	for _, bucket := range mismatch.Buckets {
		if bucket >= 0 && bucket < BucketCount {
			contents = l.appendContents(contents, bucket, statuses[bucket])
		}
	}
	return contents
}

func (l *JobLog) statusesByBucket(wanted []int) [][]JobStatus {
	statuses := make([][]JobStatus, BucketCount)
	buffer := make([]byte, 0, digestBufferSize)
	for id, j := range l.jobs {
		bucket := bucketOf(id)
		if slices.Contains(wanted, bucket) {
			statuses[bucket] = append(statuses[bucket], JobStatus{ID: id, Digest: j.statusDigest(buffer)})
		}
	}
	return statuses
}

// appendContents splits one bucket into messages whose id ranges are contiguous.
func (l *JobLog) appendContents(contents []BucketContents, bucket int, jobs []JobStatus) []BucketContents {
	slices.SortFunc(jobs, func(a, b JobStatus) int { return cmp.Compare(a.ID, b.ID) })
	from := ""
	for {
		n := min(len(jobs), MaxChunkRecords)
		message := BucketContents{
			Shard:      l.shard,
			Epoch:      l.epoch,
			Origin:     l.origin,
			LastUpdate: l.lastUpdate(),
			Bucket:     bucket,
			From:       from,
			Jobs:       jobs[:n],
		}
		jobs = jobs[n:]
		if len(jobs) > 0 {
			message.To = jobs[0].ID
		}
		contents = append(contents, message)
		if message.To == "" {
			return contents
		}
		from = message.To
	}
}

// QueueResend queues the jobs that the owner requests again and returns their number.
func (l *JobLog) QueueResend(request ResendRequest) int {
	queued := 0
	for _, id := range request.IDs {
		if j := l.jobs[id]; j != nil && request.Epoch == l.epoch {
			l.markChanged(j)
			queued++
		}
	}
	return queued
}

// inSyncWith reports whether the owner has applied exactly the updates up to
// lastUpdate of an origin, so that its message can be compared.
func (o *Owner) inSyncWith(epoch, lastUpdate uint64, origin string) bool {
	stream := o.origins[origin]
	return o.state != StateClosed && epoch == o.epoch &&
		stream != nil && stream.snapshotComplete && stream.next == lastUpdate+1
}

// Compare returns the buckets in which the owner differs from an origin. It returns
// false if there are none, or if the owner has not applied exactly the updates that
// the digest covers.
func (o *Owner) Compare(d Digest) (DigestMismatch, bool) {
	if !o.inSyncWith(d.Epoch, d.LastUpdate, d.Origin) || len(d.Checksums) != BucketCount {
		return DigestMismatch{}, false
	}
	sums := make([]Checksum, BucketCount)
	buffer := make([]byte, 0, digestBufferSize)
	for key, j := range o.jobs {
		if key.Origin == d.Origin {
			sums[bucketOf(key.ID)].add(j.statusDigest(buffer))
		}
	}
	mismatch := DigestMismatch{Shard: o.shard, Epoch: o.epoch, Origin: d.Origin}
	for i := range sums {
		if sums[i] != d.Checksums[i] {
			mismatch.Buckets = append(mismatch.Buckets, i)
		}
	}
	return mismatch, len(mismatch.Buckets) > 0
}

// Reconcile removes the jobs that the origin does not have and requests those that
// the owner lacks or has in another state. The caller counts both as differences:
// the updates and the requested ids.
func (o *Owner) Reconcile(contents BucketContents) ([]Update, ResendRequest) {
	request := ResendRequest{Shard: o.shard, Epoch: o.epoch, Origin: contents.Origin}
	if !o.inSyncWith(contents.Epoch, contents.LastUpdate, contents.Origin) {
		return nil, request
	}
	listed := make(map[string]bool, len(contents.Jobs))
	buffer := make([]byte, 0, digestBufferSize)
	for _, status := range contents.Jobs {
		listed[status.ID] = true
		j := o.jobs[JobKey{contents.Origin, status.ID}]
		if j == nil || j.statusDigest(buffer) != status.Digest {
			request.IDs = append(request.IDs, status.ID)
		}
	}
	unlisted := func(j *ownedJob) bool { return contents.covers(j.ID) && !listed[j.ID] }
	return o.removeWhere(contents.Origin, unlisted, nil), request
}

// covers reports whether an id belongs to the bucket and the range of the message.
func (c *BucketContents) covers(id string) bool {
	return bucketOf(id) == c.Bucket && id >= c.From && (c.To == "" || id < c.To)
}

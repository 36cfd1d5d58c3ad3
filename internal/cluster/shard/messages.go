package shard

// Message is a message between an origin and an owner of a shard, or between two
// owners: one of the types below.
type Message interface {
	// ShardNumber returns the shard that the message is about.
	ShardNumber() int
}

// Kind is the action that a grant requests from the job's origin.
type Kind string

// The kinds of grants. Each corresponds to an action of package balance.
const (
	Send   Kind = "send"   // start an attempt
	Reject Kind = "refuse" // answer the client: not served, a retry is harmless
	Fail   Kind = "fail"   // answer the client: not served, the job may have run
	Cancel Kind = "cancel" // stop waiting for an attempt
)

// Grant is an owner's decision on one job. The origin may receive it late,
// several times or never.
type Grant struct {
	Shard  int
	Epoch  uint64
	Number uint64 // within the epoch, from 1; a grant that is resent keeps its number
	Kind   Kind
	Origin string
	ID     string
	// Attempt is the index, from 0, of the attempt that Send starts or Cancel
	// stops. For the other kinds it is the number of attempts begun that the owner
	// knows of.
	Attempt    int
	Worker     string  // for Send
	RetryAfter float64 // for Reject: seconds until the client may retry; 0: no advice
}

// JobUpdate carries changed job records from an origin to the owner. Within an
// epoch the records are numbered; those of this message have the numbers First,
// First+1 and so on. The first SnapshotSize numbers of an epoch belong to the
// jobs that the origin had when it learned of the epoch.
type JobUpdate struct {
	Shard        int
	Epoch        uint64
	Origin       string
	First        uint64
	SnapshotSize uint64
	Records      []JobRecord // in their state at sending, which may be later than when they were numbered
}

// Ack carries the record number that an owner expects next from an origin.
type Ack struct {
	Shard  int
	Epoch  uint64
	Origin string
	Next   uint64
}

// Revoke revokes all grants of an epoch with numbers up to Through that the
// origin has not executed yet.
type Revoke struct {
	Shard   int
	Epoch   uint64
	Origin  string
	Through uint64
}

// Decline promises that the origin will never execute a job's grant with the
// number Number, unless the updates up to LastUpdate show that it did. If ID is
// empty the promise covers all grants with numbers up to Number.
type Decline struct {
	Shard      int
	Epoch      uint64
	Origin     string
	Number     uint64
	ID         string
	LastUpdate uint64
}

// Chunk carries a part of a sealed shard from the old owner to the new one.
type Chunk struct {
	Shard          int
	Epoch          uint64  // epoch of the old owner
	TransferNumber uint64  // counted by the old owner, from 1 in each epoch
	Target         string  // incarnation of the new owner
	Index          int     // from 0
	Count          int     // number of chunks of the transfer
	Age            float64 // seconds since the snapshot of the records and tags was taken
	Records        []JobRecord
	Tags           []TenantTags
	Checksum       Checksum // of this chunk
	TotalChecksum  Checksum // of all chunks
}

// ChunkAck carries the index of the chunk that the new owner expects next, which
// is the number of chunks once it has all of them.
type ChunkAck struct {
	Shard          int
	Epoch          uint64
	TransferNumber uint64
	Next           int
}

// Abort asks the new owner to abort a transfer, so that the old one may open
// again.
type Abort struct {
	Shard          int
	Epoch          uint64
	TransferNumber uint64
	Target         string
}

// Aborted confirms that the new owner has discarded a transfer and will never
// propose the change of ownership for it.
type Aborted struct {
	Shard          int
	Epoch          uint64
	TransferNumber uint64
	Reason         string
}

// Digest summarises the jobs of an origin by buckets of ids. It is comparable
// when the owner has applied exactly the updates up to LastUpdate.
type Digest struct {
	Shard      int
	Epoch      uint64
	Origin     string
	LastUpdate uint64
	Checksums  []Checksum // BucketCount of them
}

// DigestMismatch lists the buckets in which the owner differs from the origin.
type DigestMismatch struct {
	Shard   int
	Epoch   uint64
	Origin  string
	Buckets []int
}

// BucketContents lists the jobs of an origin in one bucket and one range of ids,
// after all updates up to LastUpdate.
type BucketContents struct {
	Shard      int
	Epoch      uint64
	Origin     string
	LastUpdate uint64
	Bucket     int
	From       string // start of the range, inclusive
	To         string // end of the range, exclusive; empty: unbounded
	Jobs       []JobStatus
}

// JobStatus is the id of a job and the digest of its progress.
type JobStatus struct {
	ID     string
	Digest uint64
}

// ResendRequest asks an origin to send the records of jobs again.
type ResendRequest struct {
	Shard  int
	Epoch  uint64
	Origin string
	IDs    []string
}

// ShardNumber implements Message.
func (m Grant) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m JobUpdate) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m Ack) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m Revoke) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m Decline) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m Chunk) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m ChunkAck) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m Abort) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m Aborted) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m Digest) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m DigestMismatch) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m BucketContents) ShardNumber() int { return m.Shard }

// ShardNumber implements Message.
func (m ResendRequest) ShardNumber() int { return m.Shard }

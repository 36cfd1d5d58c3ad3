package shard

import (
	"cmp"
	"maps"
	"slices"

	"example.org/bellstream/balance"
)

// State is the state of an Owner.
type State string

// The states of an owner.
const (
	StateClosed State = "closed" // never opened, or its epoch is past
	StateOpen   State = "open"   // takes updates and grants
	StateSealed State = "sealed" // takes updates but does not grant, because a transfer is under way
)

// maxSharedClasses bounds the definitions that an owner keeps for its jobs to share.
const maxSharedClasses = 1024

// Limits bound the jobs that an owner admits. It knows more jobs only until the
// origins of rejected jobs have reported them finished, and after a change of
// owner, because jobs that were admitted before are never rejected for the limit.
type Limits struct {
	MaxJobs int // jobs at a time; 1 to MaxRecords
}

// JobKey identifies a job. An id is unique only within its origin.
type JobKey struct {
	Origin string
	ID     string
}

// Update is a change that an owner has learned about a job.
type Update struct {
	JobRecord
	New          bool  // the job was not known before
	GrantUnused  bool  // the grant of a former owner was never executed: its charge is refunded
	RejectReason error // an OwnerFullError: the job is not admitted and is to be rejected; nil: admitted
}

// Owner is the state of one shard on the instance that owns it: the shard's jobs
// as their origins report them, and the pending grants. The caller decides what to
// grant. It lets an Owner grant only while the instance may act as owner: its
// lease is current, and the table that the lease covers (fallback or in force)
// names the instance.
type Owner struct {
	shard     int
	limits    Limits
	epoch     uint64
	state     State
	transfers uint64 // number of transfers begun in this epoch
	lastGrant uint64 // number of the last grant

	jobs              map[JobKey]*ownedJob
	grants            map[JobKey]Grant // pending grants of this epoch
	origins           map[string]*originStream
	classes           map[balance.Class]*balance.Class // one copy of each definition of this epoch, shared by its jobs
	tenants           map[string]*releaseRate
	tenantsAfterSweep int // size of tenants after tenants without waiting jobs were last removed
}

type ownedJob struct {
	JobRecord
	asOf      float64
	confirmed bool // received from its origin in this epoch, not only from the former owner
}

// originStream is the state of the updates received from one origin in this epoch.
type originStream struct {
	next             uint64 // number of the record expected next
	snapshotComplete bool   // all jobs that the origin had at the start of the epoch were received
	lost             bool   // the origin's incarnation has ended
}

// NewOwner returns an owner in StateClosed.
func NewOwner(shard int, limits Limits) *Owner {
	return &Owner{
		shard:  shard,
		limits: limits,
		state:  StateClosed,
		jobs:   map[JobKey]*ownedJob{},
	}
}

// State returns the owner's state.
func (o *Owner) State() State { return o.state }

// Epoch returns the epoch at which the owner was last opened or renewed; 0: never.
func (o *Owner) Epoch() uint64 { return o.epoch }

// JobCount returns the number of jobs that the owner knows.
func (o *Owner) JobCount() int { return len(o.jobs) }

// Job returns the record of a job with times relative to now; false: the job is not known.
func (o *Owner) Job(now float64, key JobKey) (JobRecord, bool) {
	j := o.jobs[key]
	if j == nil {
		return JobRecord{}, false
	}
	return j.recordAt(now), true
}

// recordAt returns the record with times relative to now.
func (j *ownedJob) recordAt(now float64) JobRecord { return j.advancedBy(now - j.asOf) }

// Jobs returns the records of all jobs, with times relative to now, sorted by origin and Order.
func (o *Owner) Jobs(now float64) []JobRecord {
	list := make([]JobRecord, 0, len(o.jobs))
	for _, j := range o.jobs {
		list = append(list, j.recordAt(now))
	}
	slices.SortFunc(list, func(a, b JobRecord) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Order, b.Order))
	})
	return list
}

// Open opens the owner at an epoch at which the agreed map names this instance. It
// starts from a transferred snapshot, or without jobs if snapshot is nil. Open
// returns a StaleEpochError unless the epoch is newer than the owner's.
//
// The caller guarantees that the map is in force under its lease, and that the
// epoch came into force during this incarnation of the instance: for an older
// epoch, a former incarnation may have opened the owner already.
func (o *Owner) Open(epoch uint64, snapshot *Snapshot) error {
	if epoch <= o.epoch {
		return StaleEpochError{o.shard, epoch, o.epoch}
	}
	o.resetForEpoch(epoch)
	o.jobs = map[JobKey]*ownedJob{}
	o.tenants = map[string]*releaseRate{}
	if snapshot != nil {
		for _, r := range snapshot.Records {
			o.insert(JobKey{r.Origin, r.ID}, &ownedJob{JobRecord: r, asOf: snapshot.AsOf}, snapshot.AsOf)
		}
	}
	return nil
}

// Renew opens the owner with its current jobs at the epoch after its own. It is
// for an owner that the map names again without another owner in between. It
// returns a StaleEpochError for any other epoch, or if the owner was never opened.
func (o *Owner) Renew(epoch uint64) error {
	if epoch != o.epoch+1 || o.epoch == 0 {
		return StaleEpochError{o.shard, epoch, o.epoch}
	}
	for key, j := range o.jobs {
		j.confirmed = false
		j.Granted = j.Granted || o.grants[key].Kind == Send
	}
	o.resetForEpoch(epoch)
	return nil
}

func (o *Owner) resetForEpoch(epoch uint64) {
	o.epoch = epoch
	o.state = StateOpen
	o.transfers = 0
	o.lastGrant = 0
	o.grants = map[JobKey]Grant{}
	o.origins = map[string]*originStream{}
	o.classes = map[balance.Class]*balance.Class{}
}

// ObserveEpoch records that the map in force has reached an epoch. An owner of an
// older epoch is closed, even during a transfer, until Open or Renew. A map that is
// not in force yet may be withdrawn: its epoch must not be passed to any
// ObserveEpoch of this package.
func (o *Owner) ObserveEpoch(epoch uint64) {
	if epoch > o.epoch && o.state != StateClosed {
		o.state = StateClosed
	}
}

// ApplyUpdate applies an origin's update and returns the changes. Records whose
// numbers were received before are skipped. Records after a gap are dropped; the
// Ack makes the origin send them again. ApplyUpdate applies nothing and returns a
// NotOwnerError if the owner is closed, a StaleEpochError with an Ack of the
// owner's epoch if the update is of another epoch, and a NotFoundError if the
// origin is lost.
func (o *Owner) ApplyUpdate(now float64, u JobUpdate) ([]Update, Ack, error) {
	if o.state == StateClosed {
		return nil, Ack{}, NotOwnerError{o.shard, o.state}
	}
	ack := Ack{Shard: o.shard, Epoch: o.epoch, Origin: u.Origin, Next: 1}
	if u.Epoch != o.epoch {
		return nil, ack, StaleEpochError{o.shard, u.Epoch, o.epoch}
	}
	stream := o.origins[u.Origin]
	if stream == nil {
		stream = &originStream{next: 1}
		o.origins[u.Origin] = stream
	}
	if stream.lost {
		return nil, Ack{}, NotFoundError{o.shard, u.Origin}
	}
	var updates []Update
	for i, r := range u.Records {
		if u.First+uint64(i) == stream.next {
			stream.next++
			r.Origin = u.Origin
			updates = o.applyRecord(now, r, updates)
		}
	}
	if !stream.snapshotComplete && stream.next > u.SnapshotSize {
		stream.snapshotComplete = true
		updates = o.removeWhere(u.Origin, func(j *ownedJob) bool { return !j.confirmed }, updates)
	}
	ack.Next = stream.next
	return updates, ack, nil
}

// applyRecord applies a job's newest record and appends the change to updates.
func (o *Owner) applyRecord(now float64, r JobRecord, updates []Update) []Update {
	key := JobKey{r.Origin, r.ID}
	known := o.jobs[key]
	r.Accepted = o.sharedClass(r.Accepted)
	o.settleGrant(now, key, &r)
	if r.Finished && known == nil {
		return updates
	}
	update := Update{JobRecord: r, New: known == nil}
	update.GrantUnused = known != nil && known.Granted && len(r.Attempts) == len(known.Attempts)
	if known == nil && !r.Admitted {
		update.RejectReason = o.admissionError(now, &r)
	}
	if known != nil {
		o.remove(key, known)
	}
	if !r.Finished {
		o.insert(key, &ownedJob{JobRecord: r, asOf: now, confirmed: true}, now)
	}
	return append(updates, update)
}

// sharedClass returns the copy of a definition that all its jobs share. Each message brings one of its own.
func (o *Owner) sharedClass(class *balance.Class) *balance.Class {
	if class == nil {
		return nil
	}
	if shared := o.classes[*class]; shared != nil {
		return shared
	}
	if len(o.classes) >= maxSharedClasses {
		clear(o.classes)
	}
	o.classes[*class] = class
	return class
}

func (o *Owner) insert(key JobKey, j *ownedJob, now float64) {
	o.jobs[key] = j
	if !j.InFlight() {
		o.rateOf(j.Tenant).enqueue(now)
	}
}

func (o *Owner) remove(key JobKey, j *ownedJob) {
	delete(o.jobs, key)
	if !j.InFlight() {
		o.rateOf(j.Tenant).waiting--
	}
}

// removeWhere removes the jobs of an origin that match and appends their updates, sorted by id.
func (o *Owner) removeWhere(origin string, match func(*ownedJob) bool, updates []Update) []Update {
	var keys []JobKey
	for key, j := range o.jobs {
		if key.Origin == origin && match(j) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b JobKey) int { return cmp.Compare(a.ID, b.ID) })
	for _, key := range keys {
		j := o.jobs[key]
		o.remove(key, j)
		delete(o.grants, key)
		record := j.JobRecord
		record.Finished = true
		// GrantUnused stays false: a job that a former owner granted may have begun and ended in the meantime.
		updates = append(updates, Update{JobRecord: record})
	}
	return updates
}

// Tighten restricts the retries of all jobs to those that a change of the agreed rules allows. Their origins do the
// same, and report it.
func (o *Owner) Tighten(t *balance.Tightening) {
	for _, j := range o.jobs {
		j.tighten(t)
	}
}

// Origins returns the origins of the known jobs, sorted.
func (o *Owner) Origins() []string {
	all := map[string]bool{}
	for key := range o.jobs {
		all[key.Origin] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// OriginLost removes the jobs of an origin whose incarnation has ended, because no
// instance can answer their clients any more. Later updates of this incarnation
// are rejected. Pending grants to it count as executed. After Open the caller has
// to check whether all Origins are alive.
func (o *Owner) OriginLost(origin string) []Update {
	o.origins[origin] = &originStream{lost: true}
	maps.DeleteFunc(o.grants, func(key JobKey, _ Grant) bool { return key.Origin == origin })
	return o.removeWhere(origin, func(*ownedJob) bool { return true }, nil)
}

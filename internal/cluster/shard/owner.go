package shard

import (
	"cmp"
	"maps"
	"slices"
)

// State is the state of an Owner.
type State string

// The states of an owner.
const (
	StateClosed State = "closed" // of no epoch, or of a past one
	StateOpen   State = "open"   // it grants
	StateSealed State = "sealed" // it takes updates in and grants nothing, as a transfer is under way
)

// Limits bound what an owner admits. It knows more jobs than that only while
// rejections are on their way, and after a transfer, which rejects none that was
// admitted before.
type Limits struct {
	MaxJobs int // at once; 1 to MaxRecords
}

// JobKey names a job: an id is unique for its origin alone.
type JobKey struct {
	Origin string
	ID     string
}

// Update is what an owner has learned of a job.
type Update struct {
	JobRecord
	New          bool  // it was not known
	GrantUnused  bool  // the grant of a former owner was never carried out: its charge is returned
	RejectReason error // an OwnerFullError: it is not admitted, and is to be rejected
}

// Owner is one shard at the instance that owns it. It knows the shard's jobs as
// their origins send them, and the grants that are pending. What to grant is
// decided elsewhere. The caller lets an owner grant only while its instance may
// act as one: the lease is current, and the table that it covers, fallback or in
// force, names the instance.
type Owner struct {
	shard     int
	limits    Limits
	epoch     uint64
	state     State
	transfers uint64 // begun in this epoch
	lastGrant uint64 // number of the last grant

	jobs              map[JobKey]*ownedJob
	grants            map[JobKey]Grant // of this epoch, pending
	origins           map[string]*originStream
	tenants           map[string]*releaseRate
	tenantsAfterSweep int // how many were left when those without jobs were last dropped
}

type ownedJob struct {
	JobRecord
	asOf      float64
	confirmed bool // received from its origin in this epoch, not merely copied
}

// originStream is what was received from one origin in this epoch.
type originStream struct {
	next             uint64
	snapshotComplete bool // all that it had at the epoch's start is here
	lost             bool // its incarnation has ended
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

// Epoch returns the epoch of the map at which it was last opened.
func (o *Owner) Epoch() uint64 { return o.epoch }

// JobCount returns how many jobs it knows.
func (o *Owner) JobCount() int { return len(o.jobs) }

// Job returns what is known of a job, as of now.
func (o *Owner) Job(now float64, key JobKey) (JobRecord, bool) {
	j := o.jobs[key]
	if j == nil {
		return JobRecord{}, false
	}
	return j.recordAt(now), true
}

// ownership returns the record as of now.
func (j *ownedJob) recordAt(now float64) JobRecord { return j.advancedBy(now - j.asOf) }

// Jobs returns all jobs that it knows, as of now, by origin and order.
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

// Open opens the owner at an epoch that the agreed map names it for, with a
// transferred snapshot; nil: with nothing but what origins send. The caller
// guarantees that the map is in force under its lease, and that the epoch came
// into force in this incarnation of the instance, as a former one may have
// opened an older epoch.
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

// Renew opens it with what it has, at the epoch after its own. It is for an
// owner that the map names again, with no other in between.
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
}

// ObserveEpoch records that the map in force has reached an epoch: an owner of
// an older one is closed for good, whatever it was doing. A map that is not in
// force yet may be withdrawn; its epoch must not be passed here, to a JobLog or
// to an ImportTransfer.
func (o *Owner) ObserveEpoch(epoch uint64) {
	if epoch > o.epoch && o.state != StateClosed {
		o.state = StateClosed
	}
}

// ApplyUpdate takes an origin's update in and returns what is new in it. Numbers
// that were received before are skipped, those after a gap are dropped: the Ack
// makes the origin send them again. A closed owner, or one of another epoch,
// takes nothing in; the error's epochs are for the origin to observe.
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

// applyRecord takes a job's newest state in.
func (o *Owner) applyRecord(now float64, r JobRecord, updates []Update) []Update {
	key := JobKey{r.Origin, r.ID}
	known := o.jobs[key]
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

// removeWhere removes the jobs of an origin that match, and appends their updates.
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
		// GrantUnused stays false: a job that a former owner granted may have begun and ended since.
		updates = append(updates, Update{JobRecord: record})
	}
	return updates
}

// Origins returns those of whom the owner has jobs.
func (o *Owner) Origins() []string {
	all := map[string]bool{}
	for key := range o.jobs {
		all[key.Origin] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// OriginLost drops the jobs of an origin whose incarnation has ended, as nobody
// is left to answer its clients, and ignores its updates that are still on their
// way. Pending grants to it count as carried out. After Open the caller has to
// check whether all Origins are alive.
func (o *Owner) OriginLost(origin string) []Update {
	o.origins[origin] = &originStream{lost: true}
	maps.DeleteFunc(o.grants, func(key JobKey, _ Grant) bool { return key.Origin == origin })
	return o.removeWhere(origin, func(*ownedJob) bool { return true }, nil)
}

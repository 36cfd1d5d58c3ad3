package drill

import (
	"fmt"

	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/cluster/shard/wire"
)

const (
	// cluster is the digest of the simulated cluster's name.
	cluster = 1
	// jobsPerTenant is the number of jobs of each tenant.
	jobsPerTenant = 50
	// originsPerTenant is the number of instances that accept a tenant's jobs.
	originsPerTenant = 3
	// chunkWindow is the maximum number of unacknowledged chunks of a transfer.
	chunkWindow = 16
)

type instance struct {
	name        string
	jobLogs     map[int]*shard.JobLog // by shard
	bytes       float64               // total size of the messages that it sent
	writesUntil float64               // when it finishes sending
	readsUntil  float64               // when it finishes receiving
}

func (i *instance) incarnation() string { return i.name + "#1" }

type fleet struct {
	Model
	Result
	owners     shard.Map
	instances  []*instance
	byName     map[string]*instance
	shards     []*shard.Owner
	cpuAtStart float64 // CPU time in seconds when the measurement began
}

// newFleet returns a fleet in which every shard has an open owner, and the owners
// know all jobs.
func newFleet(md Model, instances, count, jobs int) (*fleet, error) {
	f := &fleet{
		Model:  md,
		owners: make(shard.Map, count),
		byName: map[string]*instance{},
		shards: make([]*shard.Owner, count),
	}
	f.addInstances(instances)
	if err := f.assignUnowned(); err != nil {
		return nil, err
	}
	for s := range f.shards {
		if err := f.openOwner(s, nil); err != nil {
			return nil, err
		}
	}
	f.Assignments = 0
	for i := range jobs {
		if err := f.addJob(i); err != nil {
			return nil, err
		}
	}
	if err := f.syncAll(); err != nil {
		return nil, err
	}
	f.cpuAtStart = f.cpu()
	return f, nil
}

// addJob adds the i-th job to the log of one of the instances that accept its
// tenant's jobs.
func (f *fleet) addJob(i int) error {
	number := i / jobsPerTenant
	tenant := fmt.Sprint("tenant-", number)
	s := shard.ForTenant(tenant, len(f.owners))
	origin := f.instances[(number*7+i%originsPerTenant)%len(f.instances)]
	log := origin.jobLogs[s]
	if log == nil {
		log = shard.NewJobLog(s, origin.incarnation())
		log.ObserveEpoch(1)
		origin.jobLogs[s] = log
	}
	return log.Add(0, shard.JobRecord{
		ID:      fmt.Sprintf("request-%08d", i),
		Class:   "interactive",
		Tenant:  tenant,
		Timeout: 600,
		Slots:   1,
		Memory:  256,
	})
}

// syncAll applies all pending updates directly, without counting messages or time.
func (f *fleet) syncAll() error {
	for _, origin := range f.instances {
		for s, log := range origin.jobLogs {
			for update, ok := log.NextUpdate(0); ok; update, ok = log.NextUpdate(0) {
				_, ack, err := f.shards[s].ApplyUpdate(0, update)
				if err != nil {
					return err
				}
				log.Acknowledge(ack)
			}
		}
	}
	return nil
}

func (f *fleet) cpu() float64 {
	if f.CPU == nil {
		return 0
	}
	return f.CPU()
}

// addInstances adds instances until there are total instances.
func (f *fleet) addInstances(total int) {
	for i := len(f.instances); i < total; i++ {
		added := &instance{
			name:    fmt.Sprintf("i%04d", i),
			jobLogs: map[int]*shard.JobLog{},
		}
		f.instances = append(f.instances, added)
		f.byName[added.name] = added
	}
}

// removeInstances removes the first n instances, as if they had failed.
func (f *fleet) removeInstances(n int) {
	failed := f.instances[:n]
	f.instances = f.instances[n:]
	for _, i := range failed {
		delete(f.byName, i.name)
	}
	for _, owner := range f.shards {
		for _, i := range failed {
			owner.OriginLost(i.incarnation())
		}
	}
}

// reassign assigns new owners to the shards of failed owners and opens them. It
// returns a map whose value is true for these shards.
func (f *fleet) reassign() (map[int]bool, error) {
	moved := map[int]bool{}
	for s, ownership := range f.owners {
		moved[s] = f.byName[ownership.Name] == nil
	}
	if err := f.assignUnowned(); err != nil {
		return nil, err
	}
	for s := range f.owners {
		if !moved[s] {
			continue
		}
		if err := f.openOwner(s, nil); err != nil {
			return nil, err
		}
	}
	return moved, nil
}

func (f *fleet) plan(running []shard.Transfer) (shard.Plan, error) {
	var members []shard.Member
	for _, i := range f.instances {
		members = append(members, shard.Member{Name: i.name, Weight: 1})
	}
	bounds := shard.Bounds{Tolerance: f.Tolerance, MaxTransfers: f.MaxTransfers}
	return shard.Place(f.owners, members, nil, running, bounds)
}

// assignUnowned assigns an owner to each shard that has none or whose owner has failed.
func (f *fleet) assignUnowned() error {
	plan, err := f.plan(nil)
	for _, a := range plan.Assignments {
		f.owners.Apply(shard.OwnerChange{
			Shard: a.Shard,
			Epoch: f.owners[a.Shard].Epoch,
			To:    a.To,
		})
	}
	f.Assignments += len(plan.Assignments)
	return err
}

func (f *fleet) openOwner(s int, snapshot *shard.Snapshot) error {
	f.shards[s] = shard.NewOwner(s, shard.Limits{MaxJobs: shard.MaxRecords})
	return f.shards[s].Open(f.owners[s].Epoch, snapshot)
}

// minimumChanges returns the minimum number of shards that must change their owner,
// computed from the loads alone.
func (f *fleet) minimumChanges() int {
	load := map[string]int{}
	unowned := 0
	for _, ownership := range f.owners {
		if f.byName[ownership.Name] == nil {
			unowned++
		}
		load[ownership.Name]++
	}
	mean := float64(len(f.owners)) / float64(len(f.instances))
	low := int(mean * (1 - f.Tolerance))
	high := int(mean * (1 + f.Tolerance))
	if float64(high) < mean*(1+f.Tolerance) {
		high++
	}
	excess := 0
	deficit := 0
	for _, i := range f.instances {
		excess += max(0, load[i.name]-high)
		deficit += max(0, low-load[i.name])
	}
	return unowned + max(excess, deficit-unowned)
}

// roundTrip encodes a message and decodes it, as sender and receiver would, and adds
// its size to what the sender has sent.
func (f *fleet) roundTrip(from *instance, m shard.Message) (shard.Message, error) {
	raw, err := wire.Encode(cluster, m)
	if err != nil {
		return nil, err
	}
	from.bytes += float64(len(raw))
	return wire.Decode(cluster, raw)
}

// readAt returns the time at which a message has been received that is ready to be
// sent at a given time. It accounts for the time that both instances are busy.
func (f *fleet) readAt(ready float64, from, to *instance, records int) float64 {
	from.writesUntil = max(from.writesUntil, ready) + float64(records)/f.Rate
	to.readsUntil = max(to.readsUntil, from.writesUntil+f.Delay) + float64(records)/f.Rate
	return to.readsUntil
}

// transfer runs a transfer until it is staged. The simulated shards have no grants,
// so that sealing takes a single message.
func (f *fleet) transfer(now float64, planned shard.Transfer) (runningTransfer, error) {
	to := f.byName[planned.To]
	t := runningTransfer{
		Transfer:  planned,
		sealedAt:  now,
		stagedAt:  now,
		importing: shard.NewImportTransfer(planned.Shard, to.incarnation(), shard.MaxRecords),
	}
	export, err := f.shards[planned.Shard].BeginTransfer(to.incarnation())
	if err != nil {
		return t, err
	}
	if err := export.Freeze(now, nil, false); err != nil {
		return t, err
	}
	for export.Stage() == shard.StageCopying {
		for _, chunk := range export.Chunks(now, chunkWindow) {
			ack, err := f.sendChunk(now, &t, chunk)
			if err != nil {
				return t, err
			}
			export.Acknowledge(ack)
		}
	}
	return t, nil
}

func (f *fleet) sendChunk(now float64, t *runningTransfer, chunk shard.Chunk) (shard.ChunkAck, error) {
	from := f.byName[t.From]
	to := f.byName[t.To]
	received, err := f.roundTrip(from, chunk)
	if err != nil {
		return shard.ChunkAck{}, err
	}
	t.stagedAt = f.readAt(now, from, to, len(chunk.Records))
	ack, _, err := t.importing.AddChunk(t.stagedAt, received.(shard.Chunk))
	if err != nil {
		return ack, err
	}
	f.Records += len(chunk.Records)
	_, err = f.roundTrip(to, ack)
	return ack, err
}

// finish counts the lost jobs and fills in the CPU time and the bytes sent.
func (f *fleet) finish() Result {
	f.MeanCPU = (f.cpu() - f.cpuAtStart) / float64(len(f.instances))
	for _, origin := range f.instances {
		for s, log := range origin.jobLogs {
			digest, ok := log.Digest()
			if _, differs := f.shards[s].Compare(digest); !ok || differs {
				f.LostJobs += log.OpenJobs()
			}
		}
		f.MeanBytes += origin.bytes / float64(len(f.instances))
		f.MaxBytes = max(f.MaxBytes, origin.bytes)
	}
	return f.Result
}

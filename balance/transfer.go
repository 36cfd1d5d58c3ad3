package balance

import (
	"cmp"
	"math"
	"slices"
)

// A tenant's queue and tags can move to another Balancer. Times are exported relative to now, because the
// clocks of the two callers need not agree. This file makes no decisions.

// ExportTenant removes a tenant's queue, its jobs in flight and its tags. One TenantExported answers it.
type ExportTenant struct{ Tenant string }

// ImportTenant adds the state that another Balancer exported. Jobs that this Balancer already has are left
// unchanged. If no time passes between export and import, later decisions are the same as without the move,
// except that the end of an attempt does not count for its worker's zone if the worker has left the endpoint
// list in between.
type ImportTenant struct{ State TenantState }

// TenantExported answers an ExportTenant. From now on the Balancer holds nothing of the tenant.
type TenantExported struct{ State TenantState }

// SendAborted reports that a layer between the Balancer and the network did not carry out a job's last Send.
// The job is queued again as if it had not been sent, its tenant is refunded, and nothing is learned about
// the worker.
type SendAborted struct {
	ID      string
	Attempt int
}

// TenantState is the state of a tenant that moves between two Balancers. Times are in seconds.
type TenantState struct {
	Tenant       string
	LocalTag     float64 // relative to now; negative infinity: not set yet
	GlobalTag    float64 // relative to now
	QuotaDivisor float64 // 1 / the fraction of the reservation by which LocalTag was spaced
	Tokens       float64 // slots that it may send beyond its reservation before they count as surplus
	TokensAge    float64 // time since the bucket was last refilled
	Jobs         []JobState
}

// JobState is the state of a job that moves between two Balancers. Times are in seconds.
type JobState struct {
	ID              string
	Class           string
	Accepted        *Class // the class with which it was accepted; nil: the present one of the name; not modified
	Slots           float64
	Memory          float64
	Age             float64 // time since its arrival
	FirstRequestAge float64 // time since its client first sent it
	QueuedAge       float64 // time since it was last queued
	TimeLeft        float64 // time until its client gives up
	Queued          bool
	QueueOrder      uint64 // order in its tenant's queue among jobs that arrived at the same time
	GroupIndex      int    // index among jobs of its shape, gaps included: searches in a long queue depend on it
	GroupLength     int    // number of jobs of its shape, gaps included
	FailedAttempts  int    // attempts that ended with an error
	MayHaveRun      bool   // an attempt that ended may have run
	Closed          bool   // it needs no further answer, but an attempt is in flight
	// FirstWorker is the worker of the first attempt that may have run, with StartedAt as an age. Its ID is
	// empty if there is none.
	FirstWorker     WorkerInfo
	FirstAttemptAge float64
	Attempts        []AttemptState
}

// AttemptState is the state of an attempt that moves between two Balancers. Times are in seconds.
type AttemptState struct {
	Worker               WorkerInfo // for a Balancer that does not know the worker; StartedAt is an age
	SentAge              float64
	StartedAge           float64 // negative: no start has been reported
	Number               uint64  // sequence number over all attempts of the exporting dispatcher
	Done                 bool
	ChargedToReservation bool
	AwaitingStart        bool // it is hedged or moved if it does not start promptly
}

// exportTenant removes a tenant's jobs and tags and returns them.
func (b *Balancer) exportTenant(name string) TenantState {
	t := b.tenantsByName[name]
	if t == nil {
		return TenantState{Tenant: name, LocalTag: math.Inf(-1), GlobalTag: math.Inf(-1)}
	}
	state := TenantState{
		Tenant:       name,
		LocalTag:     t.localTag - b.now,
		GlobalTag:    t.globalTag - b.now,
		QuotaDivisor: t.quotaDivisor,
		Tokens:       t.tokens,
		TokensAge:    b.now - t.refilledAt,
		Jobs:         make([]JobState, 0, t.queue.count),
	}
	definitions := map[Class]*Class{}
	for _, j := range b.jobs {
		if j.tenant != t {
			continue
		}
		definition := j.class.Class
		definition.MaxWait = j.maxWait
		if definitions[definition] == nil {
			shared := definition
			definitions[definition] = &shared
		}
		exported := b.exportJob(j)
		exported.Accepted = definitions[definition]
		state.Jobs = append(state.Jobs, exported)
	}
	t.queue = queue{} // removing 20,000 jobs one by one would take a tenth of a second
	slices.SortFunc(state.Jobs, func(x, y JobState) int {
		return cmp.Or(cmp.Compare(y.Age, x.Age), cmp.Compare(x.QueueOrder, y.QueueOrder), cmp.Compare(x.ID, y.ID))
	})
	t.localTag = math.Inf(-1)
	t.globalTag = math.Inf(-1)
	t.tokens = idleCreditSlots
	t.refilledAt = b.now
	return state
}

// exportJob removes a job and returns its state, without the definition of its class. It does not remove the job from
// its tenant's queue.
func (b *Balancer) exportJob(j *job) JobState {
	state := JobState{
		ID:              j.id,
		Class:           j.class.Name,
		Slots:           j.slots,
		Memory:          j.memory,
		Age:             b.now - j.arrivedAt,
		FirstRequestAge: b.now - j.firstRequestedAt,
		QueuedAge:       b.now - j.enqueuedAt,
		TimeLeft:        j.deadline - b.now,
		Queued:          j.queue != nil,
		QueueOrder:      j.sequence,
		FailedAttempts:  j.failedAttempts,
		MayHaveRun:      j.mayHaveRun,
		Closed:          j.closed,
	}
	if state.Queued {
		state.GroupIndex = j.index
		state.GroupLength = len(j.group.jobs)
	}
	if j.firstWorker != nil {
		state.FirstWorker = b.exportWorker(j.firstWorker)
		state.FirstAttemptAge = b.now - j.firstAttemptAt
	}
	for _, a := range j.attempts {
		state.Attempts = append(state.Attempts, b.exportAttempt(a))
		if !a.done {
			b.detachAttempt(a)
		}
	}
	delete(b.jobs, j.id)
	if j.queue != nil {
		b.promised.remove(j)
		j.queuePosition = queuePosition{}
	}
	return state
}

func (b *Balancer) exportAttempt(a *attempt) AttemptState {
	state := AttemptState{
		Worker:               b.exportWorker(a.worker),
		SentAge:              b.now - a.sentAt,
		StartedAge:           -1,
		Number:               a.number,
		Done:                 a.done,
		ChargedToReservation: a.chargedToReservation,
		AwaitingStart:        slices.Contains(b.awaitingStart, a),
	}
	if a.started() {
		state.StartedAge = b.now - a.startedAt
	}
	return state
}

// exportWorker returns a worker's entry with its start time as an age.
func (b *Balancer) exportWorker(w *worker) WorkerInfo {
	info := w.WorkerInfo
	if info.StartedAt != 0 {
		info.StartedAt = b.now - info.StartedAt
	}
	return info
}

// importTenant adds a tenant's jobs and tags.
func (b *Balancer) importTenant(state TenantState) {
	t := b.tenantFor(state.Tenant)
	b.importTags(t, state)
	var inFlight []*attempt
	for _, s := range state.Jobs {
		if b.jobs[s.ID] != nil {
			continue
		}
		j := b.importJob(t, s)
		for _, a := range j.attempts {
			if !a.done {
				inFlight = append(inFlight, a)
			}
		}
		if s.Queued {
			t.queue.add(j)
			b.promised.add(j)
		}
	}
	b.restoreGroupIndexes(t, state.Jobs)
	b.attachAttempts(inFlight)
}

func (b *Balancer) importTags(t *tenant, state TenantState) {
	// Jobs that were sent here before the import were charged to tags that started when they arrived.
	t.localTag = max(t.localTag, b.now+state.LocalTag)
	t.globalTag = max(t.globalTag, b.now+state.GlobalTag)
	if state.QuotaDivisor <= 0 {
		return
	}
	if t.quotaDivisor != state.QuotaDivisor {
		t.localTag += max(0, t.localTag-b.now) * (t.quotaDivisor/state.QuotaDivisor - 1)
	}
	t.tokens = state.Tokens
	t.refilledAt = b.now - state.TokensAge
}

func (b *Balancer) importJob(t *tenant, s JobState) *job {
	j := &job{
		id:               s.ID,
		class:            b.classOf(s.Class, s.Accepted, s.Age+s.TimeLeft),
		tenant:           t,
		firstRequestedAt: b.now - s.FirstRequestAge,
		arrivedAt:        b.now - s.Age,
		enqueuedAt:       b.now - s.QueuedAge,
		deadline:         b.now + s.TimeLeft,
		slots:            s.Slots,
		memory:           s.Memory,
		failedAttempts:   s.FailedAttempts,
		mayHaveRun:       s.MayHaveRun,
		closed:           s.Closed,
	}
	j.maxWait = j.class.MaxWait
	if s.Accepted != nil {
		j.maxWait = s.Accepted.MaxWait
	}
	if s.FirstWorker.ID != "" {
		j.firstWorker = b.importWorker(s.FirstWorker)
		j.firstAttemptAt = b.now - s.FirstAttemptAge
	}
	for _, attemptState := range s.Attempts {
		a := b.importAttempt(j, attemptState)
		j.attempts = append(j.attempts, a)
		if !a.done && attemptState.AwaitingStart {
			b.awaitingStart = append(b.awaitingStart, a)
		}
	}
	b.jobs[j.id] = j
	return j
}

func (b *Balancer) importAttempt(j *job, s AttemptState) *attempt {
	a := &attempt{
		job:                  j,
		worker:               b.importWorker(s.Worker),
		sentAt:               b.now - s.SentAge,
		number:               s.Number,
		done:                 s.Done,
		chargedToReservation: s.ChargedToReservation,
	}
	if s.StartedAge >= 0 {
		a.startedAt = b.now - s.StartedAge
	}
	return a
}

// importWorker returns the worker of an imported entry. If the endpoint list of this Balancer does not
// contain the worker, or the entry states that it was removed, the result is a new, removed worker.
func (b *Balancer) importWorker(info WorkerInfo) *worker {
	// The entry of a removed worker may belong to an earlier process with the same ID.
	if w := b.workersByID[info.ID]; w != nil && info.State != Removed {
		return w
	}
	info.State = Removed
	if info.StartedAt != 0 {
		info.StartedAt = b.now - info.StartedAt
	}
	return b.newWorker(info)
}

// restoreGroupIndexes moves the imported jobs to the indexes that they had among the jobs of their shape.
func (b *Balancer) restoreGroupIndexes(t *tenant, states []JobState) {
	for _, s := range slices.Backward(states) {
		if j := b.jobs[s.ID]; s.Queued && j.tenant == t && j.queue != nil {
			j.group.moveTo(j, s.GroupIndex, s.GroupLength)
		}
	}
}

// attachAttempts adds attempts in flight to their workers, in the order in which they were sent.
func (b *Balancer) attachAttempts(inFlight []*attempt) {
	bySending := func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.sentAt, y.sentAt), cmp.Compare(x.number, y.number))
	}
	for _, a := range inFlight {
		b.attachAttempt(a)
	}
	for _, a := range inFlight {
		slices.SortStableFunc(a.worker.attempts, bySending)
	}
	slices.SortStableFunc(b.awaitingStart, bySending)
}

func (b *Balancer) attachAttempt(a *attempt) {
	j := a.job
	w := a.worker
	j.inFlight++
	b.inFlight++
	b.addBusy(w, j.slots, j.memory)
	if b.config.StartNotifications && a.started() {
		b.addRunning(w, j.slots, j.memory)
	}
	w.attempts = append(w.attempts, a)
}

// detachAttempt removes an attempt in flight from its worker.
func (b *Balancer) detachAttempt(a *attempt) {
	b.inFlight--
	b.freeWorker(a)
	b.awaitingStart = slices.DeleteFunc(b.awaitingStart, func(other *attempt) bool { return other == a })
}

// undoSend removes the last attempt of a job as if it had never been sent.
func (b *Balancer) undoSend(e SendAborted) {
	a := b.findAttempt(e.ID, e.Attempt)
	if a == nil || e.Attempt != len(a.job.attempts)-1 {
		return
	}
	j := a.job
	b.detachAttempt(a)
	b.chargeTags(j.tenant, -j.size(), a.chargedToReservation)
	j.attempts = j.attempts[:len(j.attempts)-1]
	j.inFlight--
	if j.inFlight == 0 && !j.mayHaveRun {
		j.firstWorker = nil
	}
	switch {
	case j.closed:
		b.closeJob(j)
	case j.inFlight == 0:
		b.enqueue(j)
	}
}

package simulation

import (
	"fmt"
	"math"
	"slices"

	"example.org/bellstream/internal/cluster/migration"
	"example.org/bellstream/internal/cluster/migration/wire"
	"example.org/bellstream/internal/cluster/quota"
)

// ServicesSettings configure a run of Services.
type ServicesSettings struct {
	Seed                   uint64
	Moves                  int  // to complete; rejected ones do not count
	Faults                 bool // inject faults; ServicesResult lists their kinds
	WithoutReservation     bool // a destination accepts each offer without checking its capacity
	WithoutSequenceNumbers bool // a shift is applied each time that it is received
	SingleStep             bool // no pacing: a service moves in one step
}

// ServicesResult is the result of Services. Each migration.Amount is the maximum over all times of the run.
type ServicesResult struct {
	// Moves by outcome.
	Moved, RolledBack, Split, Refused, Unfinished int

	// Injected faults, interventions of operators and of the pacer, and plans that failed.
	Partitions, Restarts, Paused, CapacityDrops        int
	Reversals, Releases, PacerReversals, RejectedPlans int
	NeedlessReversals                                  int // by the pacer, although the destination served well

	Oversubscribed      migration.Amount // usable by all instances in excess of the reservation
	DoubleCounted, Lost migration.Amount // shifts that were counted twice or lost, by the records of both sides
	OverCapacity        migration.Amount // promised in excess of a cluster's capacity
	InTransit           migration.Amount // the largest shift: usable on neither side while in transit
	Audit               []migration.Violation

	Steps           []int     // of each move
	StepsUnreversed []int     // of each complete move that was never reversed
	Durations       []float64 // of each move, in seconds
	ValueRatio      float64   // value earned by the moving services, divided by their value without a move
	Records         int
	Messages        int
	Span            float64 // of virtual time, in seconds
}

// Constants of the model.
const (
	serviceInstances    = 3
	serviceLeaseSeconds = 3.0  // s
	serviceTickSeconds  = 0.2  // s; between two ticks of a cluster
	serviceDemand       = 0.9  // fraction of a reservation that clients request
	healthyJobValue     = 0.97 // mean value of a served job
	degradedJobValue    = 0.4  // the same at a degraded destination
)

var servicePacer = migration.Pacer{
	SlowStart:      migration.SlowStart{SlowStartFloor: 0.1, SlowStartSeconds: 30, OverloadMultiple: 2},
	MinJobs:        64,
	MaxWaitSeconds: 5,
	Tolerance:      0.1,
}

// serviceInstance is an instance of a cluster.
type serviceInstance struct {
	view               *migration.State
	applied            int     // index of view in the log
	leaseUntil         float64 // end of the lease by the instance's own record; it uses its view until then
	recordedLeaseUntil float64 // end of the lease by the cluster's record
	pausedUntil        float64 // it does nothing until then, although its lease may be valid
}

// serviceCluster is a cluster without a consensus protocol: a record is committed 5 to 20 ms
// after its proposal or, if the cluster restarts before that, never. Each instance applies it
// after its own delay. The record is in force when all instances with a lease have applied it.
type serviceCluster struct {
	*serviceWorld
	number       int
	log          []*migration.State // the state after each record; nil before inForceIndex
	journal      migration.Journal
	instances    [serviceInstances]serviceInstance
	inForceIndex int
	downUntil    float64 // all its instances are down until then
	incarnation  int
	capacity     migration.Amount
	observations map[migration.ID]*moveObservation // in its leader's memory: a restart clears it
}

// moveObservation is what one side of a move has observed of it.
type moveObservation struct {
	since, step     float64 // times at which this side applied the first and the latest sequence number
	number          uint64
	jobs, value     float64           // the service's jobs requested here since the move began, and their value
	last            float64           // jobs at the time of the latest sequence number
	received        migration.Message // the latest message received
	rollBackPending bool              // the pacer has decided to roll back, which is not yet proposed
}

// serviceMove is an open move.
type serviceMove struct {
	migration.ID
	began             float64
	since             float64 // when the destination received the first step; 0: not yet
	degraded          bool    // the destination serves badly
	steps             int
	recordsUntilFault int // number of records until its fault
	fault             func()
	lastDirection     migration.Direction // the latest that its operator has requested
	reversed          bool
	split             [2]migration.Amount // the service's usable amount on each side when the move began
}

// serviceWorld is the state of a run of Services.
type serviceWorld struct {
	*Cluster
	settings         ServicesSettings
	sides            [2]*serviceCluster
	services         []string
	expected         map[string]migration.Amount
	partitionedUntil float64 // the clusters can't reach each other until then
	moves            []*serviceMove
	placements       []migration.Placement
	endedMoves       int
	earned           float64
	baseline         float64
	result           ServicesResult
}

// Services runs two clusters of three instances that move services between each other. The
// states, records, messages, pacing and plans are the product's own code; consensus, the link,
// workers and clients are modelled.
func Services(set ServicesSettings) ServicesResult {
	w := &serviceWorld{
		Cluster:  New(set.Seed, quota.Settings{}, Network{}, nil),
		settings: set,
		expected: map[string]migration.Amount{},
	}
	for n, name := range []string{"east", "west"} {
		c := &serviceCluster{
			serviceWorld: w,
			number:       n,
			log:          []*migration.State{migration.New(name)},
			journal:      migration.Journal{Cluster: name},
			capacity:     600 * migration.SlotStart,
			observations: map[migration.ID]*moveObservation{},
		}
		w.sides[n] = c
		for i := range c.instances {
			c.instances[i].view = c.log[0]
		}
		c.agree(migration.Record{Step: migration.StepSetCapacity, Amount: c.capacity})
	}
	for i := range 12 {
		name := fmt.Sprintf("s%02d", i)
		w.services = append(w.services, name)
		w.sides[i%2].agree(migration.Record{
			Step:    migration.StepReserve,
			Service: name,
			Amount:  migration.Amount(30+w.Rand.IntN(90)) * migration.SlotStart,
		})
	}
	for _, c := range w.sides {
		for i := range c.instances {
			w.After(0, func() { c.renew(i) })
		}
		w.After(w.Rand.Float64()*serviceTickSeconds, c.tick)
		w.After(1, c.proposeLocalSteps)
	}
	w.After(1, w.startMoves)
	w.After(serviceTickSeconds, w.serve)
	end := math.Inf(1)
	for w.Now < float64(600+60*set.Moves) && (w.Now < end || len(w.moves) > 0 && w.Now < end+600) {
		w.Run(w.Now+10, nil)
		if w.endedMoves >= set.Moves && math.IsInf(end, 1) {
			end = w.Now
		}
	}
	w.result.Unfinished, w.result.Span = len(w.moves)+max(0, set.Moves-w.endedMoves), w.Now
	w.result.Audit = migration.Audit(w.sides[0].journal, w.sides[1].journal)
	w.result.ValueRatio = w.earned / w.baseline
	return w.result
}

// served returns the observed outcomes, with the value in thousandths.
func (k *moveObservation) served() migration.Outcomes {
	return migration.Outcomes{Jobs: uint64(k.jobs), PriorityWeight: uint64(1000 * k.value)}
}

func (w *serviceWorld) chance(p float64) bool { return w.Rand.Float64() < p }

// agreed returns the state after the last committed record.
func (c *serviceCluster) agreed() *migration.State { return c.log[len(c.log)-1] }

// up reports whether a majority of the instances runs.
func (c *serviceCluster) up() bool {
	n := 0
	for i := range c.instances {
		if c.Now >= c.instances[i].pausedUntil {
			n++
		}
	}
	return c.Now >= c.downUntil && n > serviceInstances/2
}

// propose commits a record after 5 to 20 ms, unless the cluster restarts or is down then.
func (c *serviceCluster) propose(r migration.Record) {
	incarnation := c.incarnation
	c.After(0.005+0.015*c.Rand.Float64(), func() {
		if c.incarnation == incarnation && c.up() {
			c.agree(r)
		}
	})
}

// agree commits a record unless it can't be applied, and checks the invariants.
func (c *serviceCluster) agree(r migration.Record) {
	before := c.agreed()
	start := *before
	if c.settings.WithoutReservation && r.Step == migration.StepReceive && r.Message.Type == migration.MessageOffer {
		start.Capacity = migration.MaxAmount
	}
	n, err := start.Apply(r)
	if err != nil || n == &start {
		return
	}
	next := *n
	if r.Step != migration.StepSetCapacity {
		next.Capacity = before.Capacity
	}
	c.log = append(c.log, &next)
	c.journal.Entries = append(c.journal.Entries, migration.Entry{AtSeconds: c.Now, Record: r})
	c.result.Records++
	if r.Step == migration.StepReserve {
		c.expected[r.Service] += r.Amount
	}
	if b := next.Ledger(); b.Free() < 0 && b.Promised() > before.Ledger().Promised() {
		c.result.OverCapacity = max(c.result.OverCapacity, -b.Free())
	}
	if c.sides[1] != nil {
		for _, v := range migration.CheckInvariants(c.expected, c.sides[0].agreed(), c.sides[1].agreed()) {
			switch v.Problem {
			case "a step is counted twice":
				c.result.DoubleCounted = max(c.result.DoubleCounted, v.By)
			case "a step is lost":
				c.result.Lost = max(c.result.Lost, v.By)
			}
		}
	}
	index := len(c.log) - 1
	for i := range c.instances {
		c.After(0.05*c.Rand.Float64(), func() { c.apply(i, index) })
	}
	c.onRecord(r)
}

// apply makes an instance use the state after a record.
func (c *serviceCluster) apply(i, index int) {
	x := &c.instances[i]
	if c.Now < c.downUntil || c.Now < x.pausedUntil || index <= x.applied || c.log[index] == nil {
		return
	}
	x.applied, x.view = index, c.log[index]
	c.checkOversubscription()
}

// renew renews an instance's lease, which includes the newest state.
func (c *serviceCluster) renew(i int) {
	x := &c.instances[i]
	if c.Now >= x.pausedUntil && c.up() {
		c.apply(i, len(c.log)-1)
		x.leaseUntil = c.Now + serviceLeaseSeconds
		x.recordedLeaseUntil = x.leaseUntil
		c.checkOversubscription()
	}
	c.After(0.5, func() { c.renew(i) })
}

// usableBy returns how much of a service's reservation the instances with a lease may use together, by their own
// views. If cut is true, the amount is reduced when the capacity is below the promised amount.
func (c *serviceCluster) usableBy(service string, cut bool) (sum migration.Amount) {
	for i := range c.instances {
		x := &c.instances[i]
		if c.Now >= x.leaseUntil {
			continue
		}
		u := x.view.Usable(service)
		if cut {
			u = x.view.Ledger().Usable(service)
		}
		sum += u*migration.Amount(i+1)/serviceInstances - u*migration.Amount(i)/serviceInstances
	}
	return sum
}

// checkOversubscription records by how much the instances may use more than the reservations. Call it whenever an
// instance may use more than before.
func (c *serviceCluster) checkOversubscription() {
	for _, s := range c.services {
		usable := c.sides[0].usableBy(s, false) + c.sides[1].usableBy(s, false)
		c.result.Oversubscribed = max(c.result.Oversubscribed, usable-c.expected[s])
	}
}

// inForce returns the newest state that every instance with a recorded lease has applied. It removes older states
// from the log.
func (c *serviceCluster) inForce() *migration.State {
	index := len(c.log) - 1
	for i := range c.instances {
		if x := &c.instances[i]; c.Now < x.recordedLeaseUntil {
			index = min(index, x.applied)
		}
	}
	for ; c.inForceIndex < index; c.inForceIndex++ {
		c.log[c.inForceIndex] = nil
	}
	return c.log[c.inForceIndex]
}

// observation returns what the cluster has observed of a move, and begins to observe a new one.
func (c *serviceCluster) observation(id migration.ID) *moveObservation {
	m := c.observations[id]
	if m == nil {
		m = &moveObservation{since: c.Now, step: c.Now}
		c.observations[id] = m
	}
	return m
}

// tick sends the messages of the outbox and proposes the records that are due.
func (c *serviceCluster) tick() {
	c.After(serviceTickSeconds, c.tick)
	if !c.up() {
		return
	}
	list := c.inForce().Outbox()
	for i := range list {
		c.advise(&list[i])
	}
	c.send(list)
	s := c.agreed()
	for _, r := range s.DueRecords() {
		c.propose(r)
	}
	for i := range s.Moves {
		m := &s.Moves[i]
		if m.End != migration.Open {
			continue
		}
		r := migration.Record{Move: m.ID.Key, Seq: m.ID.Seq}
		k := c.observation(m.ID)
		if k.number != m.Number {
			if k.number == 0 {
				k.since = c.Now
			}
			k.number, k.step, k.last = m.Number, c.Now, k.jobs
		}
		switch {
		case m.Stage() == migration.StageSettled && m.Source && m.Request.Direction == migration.Forward:
			r.Step = migration.StepFinish
		case k.rollBackPending:
			r.Step, r.Direction, k.rollBackPending = migration.StepSetDirection, migration.Backward, false
			c.result.PacerReversals++
			if i := slices.IndexFunc(c.moves, func(x *serviceMove) bool { return x.ID == m.ID }); !c.moves[i].degraded {
				c.result.NeedlessReversals++
			}
		default:
			if r.Amount = servicePacer.NextShift(m, k.received); c.settings.SingleStep {
				r.Amount = m.Shiftable()
			}
			if r.Step = migration.StepShift; r.Amount == 0 {
				continue
			}
		}
		c.propose(r)
	}
}

// advise sets the advice of a message to what its sender has observed.
func (c *serviceCluster) advise(w *migration.Message) {
	m := c.agreed().Move(w.ID.Key)
	if m == nil || m.ID != w.ID || m.Number != w.Number || m.HasToken {
		return
	}
	k, ledger := c.observation(w.ID), c.agreed().Ledger()
	since := k.since
	if m.Number == 0 {
		since = c.Now
	}
	w.Advice = migration.Advice{
		CapacityStep:   servicePacer.CapacityStep(m, ledger, since, c.Now),
		Jobs:           k.served().Jobs,
		PriorityWeight: k.served().PriorityWeight,
		ServedPPM:      ledger.ServedPPM(),
	}
	tooEarly := k.jobs-k.last < float64(servicePacer.MinJobs) && c.Now-k.step < servicePacer.MaxWaitSeconds
	if tooEarly && m.Number > 0 && !m.Source {
		w.Advice.CapacityStep = 0 // too few jobs have been observed since the latest step
	}
}

func (c *serviceCluster) send(list []migration.Message) {
	c.result.Messages += len(list)
	to := c.sides[1-c.number]
	for _, raw := range wire.MarshalMessages(list) {
		for range 1 + c.Rand.IntN(20)/19 { // a few messages are sent twice
			if c.chance(0.1) || c.Now < c.partitionedUntil {
				continue
			}
			delay := 0.1 * c.Rand.Float64()
			if c.chance(0.01) {
				delay = 20 * c.Rand.Float64()
			}
			c.After(delay, func() {
				if messages, err := wire.UnmarshalMessages(raw); err == nil && to.up() {
					to.receive(messages)
				}
			})
		}
	}
}

func (c *serviceCluster) receive(list []migration.Message) {
	var answers []migration.Message
	for _, w := range list {
		m := c.agreed().Move(w.ID.Key)
		if c.settings.WithoutSequenceNumbers && m != nil && w.Type == migration.MessageShift && w.Number <= m.Number {
			w.Number = m.Number + 1
		}
		r, changes, err := c.agreed().RecordFor(w)
		if err != nil {
			continue
		}
		if changes {
			c.propose(r)
		}
		if a, ok := c.inForce().Answer(w); ok {
			c.advise(&a)
			answers = append(answers, a)
		}
		if m == nil || m.ID != w.ID || w.Number != m.Number {
			continue
		}
		k := c.observation(w.ID)
		k.received = w
		if m.Source && m.HasToken && m.Request.Direction == migration.Forward {
			atDestination := migration.Outcomes{Jobs: w.Advice.Jobs, PriorityWeight: w.Advice.PriorityWeight}
			if atDestination.Jobs >= servicePacer.MinJobs {
				verdict := servicePacer.Evaluate(k.served(), atDestination, servicePacer.MinJobs, 0)
				k.rollBackPending = verdict == migration.VerdictRollBack
			}
		}
	}
	c.send(answers)
}

// proposeLocalSteps changes the reservation of a service that never moves, so that the free capacity varies.
func (c *serviceCluster) proposeLocalSteps() {
	c.After(2, c.proposeLocalSteps)
	if a := migration.Amount(c.Rand.IntN(160)-80) * migration.SlotStart; c.up() && c.agreed().Usable("local")+a >= 0 {
		c.propose(migration.Record{Step: migration.StepReserve, Service: "local", Amount: a})
	}
}

// restart stops all instances of a cluster for some seconds. Committed records survive.
func (c *serviceCluster) restart(s float64) {
	c.result.Restarts++
	c.incarnation++
	c.downUntil = max(c.downUntil, c.Now+s)
	c.observations = map[migration.ID]*moveObservation{}
	for i := range c.instances {
		c.instances[i].leaseUntil = 0
	}
}

// startMoves begins new moves once no move is open: those of the next round of a plan, or one that an operator
// requests without a plan.
func (w *serviceWorld) startMoves() {
	w.After(1, w.startMoves)
	if len(w.moves) > 0 || w.endedMoves >= w.settings.Moves || !w.sides[0].up() || !w.sides[1].up() {
		return
	}
	if w.chance(0.5) { // an operator's move: the destination accepts or rejects it
		s := w.services[w.Rand.IntN(len(w.services))]
		c := w.sides[w.Rand.IntN(2)]
		if a := c.agreed().Unclaimed(s); a > 0 {
			c.propose(migration.Record{
				Step:   migration.StepBeginMove,
				Move:   migration.Key{From: c.agreed().Cluster, To: w.sides[1-c.number].agreed().Cluster, Service: s},
				Amount: a,
			})
		}
		return
	}
	ledgers := []*migration.CapacityLedger{w.sides[0].agreed().Ledger(), w.sides[1].agreed().Ledger()}
	rounds, err := migration.Plan(ledgers, w.placements, migration.Limits{MaxPieces: 8})
	if err != nil {
		w.result.RejectedPlans++
	}
	if len(rounds) == 0 {
		w.placements = nil
		for _, i := range w.Rand.Perm(len(w.services))[:2+w.Rand.IntN(4)] {
			w.placements = append(w.placements, migration.Placement{
				Service: w.services[i],
				Cluster: ledgers[w.Rand.IntN(2)].Cluster,
			})
		}
		return
	}
	for _, p := range rounds[0] {
		c := w.sides[0]
		if c.agreed().Cluster != p.From {
			c = w.sides[1]
		}
		c.propose(migration.Record{Step: migration.StepBeginMove, Move: p.Key, Amount: p.Amount})
	}
}

// onRecord updates the list of open moves after a record of either side, and injects the fault of a move when
// recordsUntilFault reaches 0.
func (c *serviceCluster) onRecord(r migration.Record) {
	if r.Step == migration.StepBeginMove {
		m := c.agreed().Move(r.Move)
		x := &serviceMove{
			ID:    m.ID,
			began: c.Now,
			split: [2]migration.Amount{
				c.sides[0].agreed().Usable(r.Move.Service),
				c.sides[1].agreed().Usable(r.Move.Service),
			},
		}
		if c.settings.Faults {
			x.degraded, x.recordsUntilFault, x.fault = c.chance(0.1), 1+c.Rand.IntN(30), c.fault(x)
		}
		c.moves = append(c.moves, x)
		return
	}
	key := r.Move
	if r.Step == migration.StepReceive {
		key = r.Message.ID.Key
	}
	i := slices.IndexFunc(c.moves, func(x *serviceMove) bool { return x.Key == key })
	if i < 0 {
		return
	}
	x, m := c.moves[i], c.agreed().Move(key)
	switch r.Step {
	case migration.StepShift:
		x.steps++
		c.result.InTransit = max(c.result.InTransit, r.Amount)
	case migration.StepPassToken:
		x.reversed = true
	}
	if x.since == 0 && !m.Source && m.Local > 0 {
		x.since = c.Now
	}
	if x.recordsUntilFault--; x.recordsUntilFault == 0 {
		x.fault()
	}
	if m.Source && m.Closed {
		c.moves = slices.Delete(c.moves, i, i+1)
		switch {
		case m.End == migration.Rejected:
			c.result.Refused++
			return
		case m.Local == 0:
			c.result.Moved++
		case m.Local == m.Amount:
			c.result.RolledBack++
		default:
			c.result.Split++
		}
		c.endedMoves++
		c.result.Steps, c.result.Durations = append(c.result.Steps, x.steps), append(c.result.Durations, c.Now-x.began)
		if !x.reversed && m.Local == 0 {
			c.result.StepsUnreversed = append(c.result.StepsUnreversed, x.steps)
		}
	}
}

// fault returns a function that injects a randomly drawn fault into a move.
func (w *serviceWorld) fault(x *serviceMove) func() {
	c, p := w.sides[w.Rand.IntN(2)], w.Rand.Float64()
	source := w.sides[0]
	if source.agreed().Cluster != x.From {
		source = w.sides[1]
	}
	var propose func()
	propose = func() { // repeated until the cluster, which may be down, has committed it
		m := source.agreed().Move(x.Key)
		if m.ID == x.ID && m.End == migration.Open && m.Request.Direction != x.lastDirection {
			source.propose(migration.Record{
				Step:      migration.StepSetDirection,
				Move:      x.Key,
				Seq:       x.Seq,
				Direction: x.lastDirection,
			})
			w.After(1, propose)
		}
	}
	request := func(direction migration.Direction) {
		w.result.Reversals++
		x.lastDirection = direction
		propose()
	}
	span := serviceLeaseSeconds * (2 + 3*w.Rand.Float64())
	return func() {
		switch {
		case p < 0.25:
			w.result.Partitions++
			w.partitionedUntil = max(w.partitionedUntil, w.Now+span)
		case p < 0.45:
			c.restart(span / 3)
		case p < 0.5: // both clusters
			w.sides[0].restart(span / 3)
			w.sides[1].restart(span / 2)
		case p < 0.6:
			w.result.Paused++
			c.instances[w.Rand.IntN(serviceInstances)].pausedUntil = w.Now + span
		case p < 0.7:
			w.result.CapacityDrops++
			c.propose(migration.Record{Step: migration.StepSetCapacity, Amount: c.capacity / 2})
			w.After(span, func() { c.propose(migration.Record{Step: migration.StepSetCapacity, Amount: c.capacity}) })
			w.After(3*span, func() { // again, in case the first proposal was lost
				c.propose(migration.Record{
					Step:   migration.StepSetCapacity,
					Amount: c.capacity,
				})
			})
		case p < 0.9:
			request(migration.Backward)
			if w.chance(0.5) {
				w.After(span/3, func() { request(migration.Forward) })
			}
		case p < 0.95:
			request(migration.Stop)
			w.After(span, func() { request(migration.Forward) })
		default:
			w.result.Releases++
			c.propose(migration.Record{Step: migration.StepForceRelease, Move: x.Key, Seq: x.Seq})
		}
	}
}

// serve serves the clients' jobs of the services that move. Jobs are divided between the clusters in proportion to
// the usable amounts. For comparison it also adds up what the service would earn without the move.
func (w *serviceWorld) serve() {
	w.After(serviceTickSeconds, w.serve)
	for _, x := range w.moves {
		reservation := w.expected[x.Service].SlotStarts()
		demand := serviceDemand * reservation * serviceTickSeconds
		usable := [2]migration.Amount{w.sides[0].usableBy(x.Service, true), w.sides[1].usableBy(x.Service, true)}
		for n, c := range w.sides {
			m := c.agreed().Move(x.Key)
			part := float64(x.split[n]) / float64(x.split[0]+x.split[1])
			w.baseline += healthyJobValue * min(demand*part, serviceTickSeconds*x.split[n].SlotStarts()*c.liveShare())
			if m == nil || usable[n] == 0 {
				continue
			}
			load := demand * float64(usable[n]) / float64(usable[0]+usable[1])
			served, value := min(load, serviceTickSeconds*usable[n].SlotStarts()), healthyJobValue
			if !m.Source && m.ID == x.ID {
				fraction := servicePacer.Fraction(w.Now - x.since)
				warm := (usable[n].SlotStarts() - m.Local.SlotStarts()) + m.Amount.SlotStarts()*fraction
				served = min(served, serviceTickSeconds*max(0, warm))
				if x.degraded {
					value = degradedJobValue
				}
			}
			w.earned += value * served
			k := c.observation(x.ID)
			k.jobs, k.value = k.jobs+load, k.value+value*served
		}
	}
}

// liveShare returns the fraction of any reservation that the cluster can serve now, by its instances with a
// lease and its capacity.
func (c *serviceCluster) liveShare() float64 {
	n := 0.0
	for i := range c.instances {
		if c.Now < c.instances[i].leaseUntil {
			n++
		}
	}
	ledger := c.agreed().Ledger()
	return n / serviceInstances * float64(ledger.ServedPPM()) / 1e6
}

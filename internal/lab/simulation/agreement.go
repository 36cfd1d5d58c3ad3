package simulation

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/lease/agent"
)

// AgreementSettings configure an Agreement. Times are in seconds.
type AgreementSettings struct {
	Seed      uint64
	Instances int
	Voters    int // number of voters: the first instances
	Leases    lease.Settings

	Delay  func(from, to int) float64 // one-way delay of a frame
	Jitter float64                    // up to this fraction of Delay is added to it at random

	DiskSyncSeconds       float64        // duration of a synced write
	SchedulerDelaySeconds float64        // until a woken dispatcher loop has applied the configuration
	RevokePollSeconds     float64        // between two polls for shards to give up; 0: no polls
	CPUSeconds            func() float64 // processor time of this thread; nil: not measured
}

// ProposalFunc returns the table that an instance proposes; see [agent.Proposal].
type ProposalFunc = agent.Proposal

// Agreement runs the agreement on config versions in virtual time. The decisions and messages are the
// product's own code: lease's State, Grantor, Holder and View, and raft's state machine as package consensus
// configures it; every frame is encoded and decoded. The goroutines, files and sockets of the packages
// consensus and agent are modelled with their constants and order of steps. A write takes DiskSyncSeconds,
// and frames stay in order on a link.
//
// The same seed gives the same run, including elections.
type Agreement struct {
	AgreementSettings
	Now                    float64
	Members                []*AgreementInstance
	Partitioned            func(from, to int) bool // whether frames between them are lost; set by SetPartition
	InForceEverywhereAt    map[uint64]float64      // by version: when it was in force on all running instances
	UnleasedSeconds        float64                 // summed over running instances, since the last Reset
	LongestUnleasedSeconds float64                 // longest time of one instance without a lease, since the last Reset

	events                  eventQueue
	lastEvent               int
	rng                     *rand.Rand
	electionSource          *rand.ChaCha8            // source of raft's election timeouts
	lastArrivals            map[[2]int]float64       // by link
	partitionedAt           float64                  // time of the last SetPartition
	newestInForceEverywhere uint64                   // newest version that has been in force on all running instances
	decodedTables           map[uint64]*config.Table // by version; shared by the instances' histories to save memory
	sampledUntil            float64
}

var (
	agreementClusterDigest = wire.ClusterDigest("virtual")
	agreementIdentity      = wire.Identity{1}
)

// NewAgreement starts all instances with synchronised clocks and without a configuration.
func NewAgreement(s AgreementSettings) *Agreement {
	a := &Agreement{
		AgreementSettings:   s,
		InForceEverywhereAt: map[uint64]float64{},
		Partitioned:         func(int, int) bool { return false },
		rng:                 rand.New(rand.NewPCG(s.Seed, 0xacc0)),
		electionSource:      rand.NewChaCha8(electionSeed(s.Seed)),
		lastArrivals:        map[[2]int]float64{},
		decodedTables:       map[uint64]*config.Table{},
	}
	withElectionSource(a.electionSource, a.start)
	return a
}

// start makes all instances and schedules their first events.
func (a *Agreement) start() {
	var voterIDs []uint64
	for i := range a.Voters {
		voterIDs = append(voterIDs, wire.NodeID(instanceName(i)))
	}
	for i := range a.Instances {
		in := a.newInstance(i)
		a.Members = append(a.Members, in)
		if i < a.Voters {
			in.voter = newVoter(in, voterIDs)
		}
	}
	for _, in := range a.Members {
		a.scheduleLoops(in)
	}
	first := a.Members[0].voter
	a.after(0.001, a.Members[0], func() {
		first.enqueue(func() { first.mustSucceed(first.node.Campaign()) })
	})
}

func (a *Agreement) newInstance(i int) *AgreementInstance {
	in := &AgreementInstance{
		Name:        instanceName(i),
		Up:          true,
		Sent:        map[string]Flow{},
		Received:    map[string]Flow{},
		agreement:   a,
		index:       i,
		connections: map[int]bool{},
	}
	in.preferredVoter = a.rng.IntN(a.Voters)
	in.holder = lease.NewHolder(in.Name, a.rng.Uint64()|1, a.Leases)
	return in
}

// scheduleLoops starts an instance's periodic work, each at a random phase.
func (a *Agreement) scheduleLoops(in *AgreementInstance) {
	if in.voter != nil {
		a.after(a.rng.Float64()*agent.TickInterval.Seconds(), in, in.voter.tick)
	}
	a.after(a.rng.Float64()*a.Leases.RenewIntervalSeconds, in, in.step)
	a.after(a.rng.Float64()*pingIntervalSeconds, in, in.ping)
	if a.RevokePollSeconds > 0 {
		a.after(a.rng.Float64()*a.RevokePollSeconds, in, in.pollRevocations)
	}
}

// electionSeed returns the seed of a run's election timeouts.
func electionSeed(seed uint64) (key [32]byte) {
	binary.BigEndian.PutUint64(key[:], seed)
	return key
}

func instanceName(i int) string { return fmt.Sprintf("dispatcher-%03d", i) }

// after schedules an action of an instance and measures the processor time that it takes.
func (a *Agreement) after(seconds float64, in *AgreementInstance, do func()) {
	a.lastEvent++
	heap.Push(&a.events, event{a.Now + max(seconds, 0), a.lastEvent, func() {
		if a.CPUSeconds == nil {
			do()
			return
		}
		from := a.CPUSeconds()
		do()
		in.CPUSeconds += a.CPUSeconds() - from
	}})
}

// Run runs until the given time, or until done, which is called after each event, returns true.
func (a *Agreement) Run(until float64, done func() bool) {
	withElectionSource(a.electionSource, func() { a.playEvents(until, done) })
}

func (a *Agreement) playEvents(until float64, done func() bool) {
	for len(a.events) > 0 && a.events[0].at <= until {
		e := heap.Pop(&a.events).(event)
		a.Now = max(a.Now, e.at)
		a.sample()
		e.do()
		if done != nil && done() {
			return
		}
	}
	a.Now = until
}

const sampleIntervalSeconds = 0.02

// sample adds up the time without a lease of each instance until now.
func (a *Agreement) sample() {
	for ; a.sampledUntil+sampleIntervalSeconds <= a.Now; a.sampledUntil += sampleIntervalSeconds {
		for _, in := range a.Members {
			switch {
			case in.Up && !in.holder.EffectiveConfig(a.sampledUntil).Leased:
				a.UnleasedSeconds += sampleIntervalSeconds
				in.UnleasedSeconds += sampleIntervalSeconds
			case in.Up:
				in.UnleasedSeconds = 0
			}
			a.LongestUnleasedSeconds = max(a.LongestUnleasedSeconds, in.UnleasedSeconds)
		}
	}
}

// Leased reports whether all running instances have a lease.
func (a *Agreement) Leased() bool {
	for _, in := range a.Members {
		if in.Up && !in.holder.EffectiveConfig(a.Now).Leased {
			return false
		}
	}
	return true
}

// Leader returns the running voter that leads in the highest term, or nil if there is none.
func (a *Agreement) Leader() *AgreementInstance {
	var last *AgreementInstance
	for _, in := range a.Members[:a.Voters] {
		if in.Up && in.voter.leaderTerm != 0 && (last == nil || in.voter.leaderTerm > last.voter.leaderTerm) {
			last = in
		}
	}
	return last
}

// Propose makes an instance propose a new table until it is accepted or rejected permanently.
func (a *Agreement) Propose(in *AgreementInstance, proposal ProposalFunc) {
	in.proposal = proposal
	in.nextProposalAt = 0
	in.rejectedPermanently = false
	a.after(0, in, in.step)
}

// Kill stops an instance. If machine is false only the process ends, and its port refuses dials at once. If machine
// is true the machine stops as well, and dials get no answer.
func (a *Agreement) Kill(in *AgreementInstance, machine bool) {
	in.Up = false
	in.diedAt = a.Now
	in.refusesDials = !machine
	a.recordVersionsInForceEverywhere()
}

// SetPartition sets the pairs of instances between which frames are lost from now on.
func (a *Agreement) SetPartition(partitioned func(from, to int) bool) {
	a.Partitioned = partitioned
	a.partitionedAt = a.Now
}

// Reset clears the counts of frames, processor time and time without a lease.
func (a *Agreement) Reset() {
	a.UnleasedSeconds = 0
	a.LongestUnleasedSeconds = 0
	for _, in := range a.Members {
		in.Sent = map[string]Flow{}
		in.Received = map[string]Flow{}
		in.CPUSeconds = 0
	}
}

// recordVersionsInForceEverywhere records the current time for each version that has newly come into
// force on all running instances.
func (a *Agreement) recordVersionsInForceEverywhere() {
	oldest := uint64(math.MaxUint64)
	for _, in := range a.Members {
		if in.Up {
			oldest = min(oldest, in.InForce)
		}
	}
	for ; oldest != math.MaxUint64 && a.newestInForceEverywhere < oldest; a.newestInForceEverywhere++ {
		a.InForceEverywhereAt[a.newestInForceEverywhere+1] = a.Now
	}
}

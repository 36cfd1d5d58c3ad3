// Package drill simulates the shards of a large fleet in virtual time. It runs the
// code of package shard for placement, updates, transfers and opening, and encodes
// and decodes every message. Only delays, rates and the steps of the agreement on
// the configuration are modelled. It does no I/O.
package drill

import (
	"cmp"
	"fmt"
	"slices"

	"example.org/bellstream/internal/cluster/shard"
)

// Model holds the parameters that the simulated code does not determine. All times
// are in seconds.
type Model struct {
	Delay               float64        // of each message, one way
	Rate                float64        // records per second that an instance can send, and that it can receive
	Lease               float64        // of a version of the configuration
	Drift               float64        // relative drift of clocks
	CoordinatorInterval float64        // between two runs of the coordinator
	AgreementStep       float64        // duration of one of the agreementSteps of a version, when all instances answer
	BatchDelay          float64        // how long a version waits for more changes after the first one
	Tolerance           float64        // see shard.Bounds
	MaxTransfers        int            // see shard.Bounds
	CPU                 func() float64 // returns the CPU time of the process so far; nil: not measured
}

// agreementSteps is the number of steps of the agreement on a version.
const agreementSteps = 3

// DefaultModel models a fleet in one building.
var DefaultModel = Model{
	Delay:               0.002,
	Rate:                100_000,
	Lease:               3,
	Drift:               0.01,
	CoordinatorInterval: 0.25,
	AgreementStep:       0.25,
	BatchDelay:          0.05,
	Tolerance:           0.1,
	MaxTransfers:        64,
}

// Result holds the results of a simulation. All times are in seconds.
type Result struct {
	OwnedAfter     float64    // time at which every shard had an open owner again
	KnownAfter     float64    // time at which the remaining origins had acknowledgements of every job
	Assignments    int        // number of shards that got a new owner without a snapshot
	Transfers      int        // transfers that ran (Grow) or that the plan still calls for (Simulate)
	MinimumChanges int        // lower bound of Assignments+Transfers, computed from bounds and loads
	SealedFor      [3]float64 // time that a shard was sealed: median, 99th percentile, maximum
	Records        int        // number of records sent in updates and chunks
	MeanCPU        float64    // CPU time per instance
	MeanBytes      float64    // bytes sent per instance
	MaxBytes       float64    // bytes sent by the instance that sent most
	LostJobs       int        // open jobs in logs of remaining origins that differ from the owner's; must be 0
}

// Simulate simulates the failure of lost instances at the same time, until every
// shard has an owner that knows all jobs of the remaining instances. count is the
// number of shards.
func (md Model) Simulate(instances, count, jobs, lost int) (Result, error) {
	f, err := newFleet(md, instances, count, jobs)
	if err != nil {
		return Result{}, err
	}
	f.removeInstances(lost)
	f.MinimumChanges = f.minimumChanges()
	moved, err := f.reassign()
	if err != nil {
		return Result{}, err
	}
	if p, _ := f.plan(nil); len(p.Transfers) > 0 {
		f.Transfers = len(p.Transfers) + p.Deferred
	}
	// The leases of the failed instances have to expire, the coordinator's next run proposes the change, and the
	// agreement on it takes its steps.
	f.OwnedAfter = f.Lease*(1+f.Drift) + f.CoordinatorInterval + agreementSteps*f.AgreementStep
	if f.KnownAfter, err = f.sendUpdates(f.OwnedAfter, moved); err != nil {
		return Result{}, err
	}
	return f.finish(), nil
}

// Grow simulates the growth of the fleet from one number of instances to another. It
// runs the transfers that follow until the loads are within their bounds. count is
// the number of shards.
func (md Model) Grow(from, to, count, jobs int) (Result, error) {
	f, err := newFleet(md, from, count, jobs)
	if err != nil {
		return Result{}, err
	}
	f.addInstances(to)
	f.MinimumChanges = f.minimumChanges()
	g := growth{fleet: f}
	for {
		if err := g.beginTransfers(); err != nil {
			return Result{}, err
		}
		if len(g.running) == 0 {
			break
		}
		if err := g.finishStaged(); err != nil {
			return Result{}, err
		}
	}
	f.SealedFor = percentiles(g.sealed)
	return f.finish(), nil
}

// percentiles returns the median, the 99th percentile and the maximum, or zeros for
// an empty list. It sorts the list in place.
func percentiles(values []float64) [3]float64 {
	n := len(values)
	if n == 0 {
		return [3]float64{}
	}
	slices.Sort(values)
	return [3]float64{values[n/2], values[n*99/100], values[n-1]}
}

// growth is the state of Grow.
type growth struct {
	*fleet
	now     float64
	running []runningTransfer
	sealed  []float64 // for how many seconds each transferred shard was sealed
}

// runningTransfer is a transfer that has not been completed.
type runningTransfer struct {
	shard.Transfer
	sealedAt  float64
	stagedAt  float64 // when the new owner had received all records
	importing *shard.ImportTransfer
}

// beginTransfers starts the transfers that the plan allows now.
func (g *growth) beginTransfers() error {
	var running []shard.Transfer
	for _, t := range g.running {
		running = append(running, t.Transfer)
	}
	plan, err := g.plan(running)
	if err != nil {
		return err
	}
	for _, planned := range plan.Transfers {
		t, err := g.transfer(g.now, planned)
		if err != nil {
			return err
		}
		g.running = append(g.running, t)
	}
	return nil
}

// finishStaged advances the time to the next version of the map. The version
// includes all transfers that are staged when it is proposed.
func (g *growth) finishStaged() error {
	slices.SortStableFunc(g.running, func(a, b runningTransfer) int { return cmp.Compare(a.stagedAt, b.stagedAt) })
	first := g.running[0].stagedAt
	last := g.running[len(g.running)-1].stagedAt
	g.now = max(g.now, min(first+g.BatchDelay, last))
	staged := 0
	for staged < len(g.running) && g.running[staged].stagedAt <= g.now {
		staged++
	}
	g.now += g.Delay + agreementSteps*g.AgreementStep
	moved := map[int]bool{}
	for _, t := range g.running[:staged] {
		if err := g.open(t); err != nil {
			return err
		}
		moved[t.Shard] = true
		g.sealed = append(g.sealed, g.now-t.sealedAt)
	}
	g.running = g.running[staged:]
	g.Transfers += staged
	g.OwnedAfter = g.now
	known, err := g.sendUpdates(g.now, moved)
	g.KnownAfter = max(g.KnownAfter, known)
	return err
}

// open completes a transfer: it changes the map and opens the new owner with the
// snapshot.
func (g *growth) open(t runningTransfer) error {
	change, ok := t.importing.Propose(t.To)
	if !ok || !g.owners.Apply(change) {
		return fmt.Errorf("shard %d: owner change was not applied", t.Shard)
	}
	return g.openOwner(t.Shard, t.importing.TakeSnapshot(change.Epoch+1))
}

package migration

import "math"

// Pacer decides how much of a service the next shift moves and whether a move continues.
//
// The receiving side advertises how much its workers can take, and the side that holds
// the token never debits more. For a move of amount M, the destination holds at most
// M x SlowStart.Fraction(time since the first shift): workers that were all started at
// the first shift could serve that much. A shift is at least M/MaxSteps, or the
// remainder. A move therefore has at most MaxSteps shifts. It takes SlowStartSeconds
// and, for each shift, a round trip and the time of MinJobs jobs (at most
// MaxWaitSeconds).
type Pacer struct {
	SlowStart
	MaxSteps       int     // maximum number of shifts of a move; 0: 32
	MinJobs        uint64  // jobs that must end after a shift before the service quality is evaluated
	MaxWaitSeconds float64 // time after a shift from which fewer jobs are enough
	Tolerance      float64 // priority weight by which a job may earn less at the destination than at the source
}

const (
	defaultMaxSteps = 32
	overloadSafety  = 0.8 // fraction of OverloadMultiple that is used, as loads are estimates
)

// smallestStep returns the smallest shift of a move of an amount in total; only the last
// shift may be smaller.
func smallestStep(total Amount, steps int) Amount {
	if steps <= 0 {
		steps = defaultMaxSteps
	}
	return (total + Amount(steps) - 1) / Amount(steps)
}

// CapacityStep returns the largest next shift of a move that this side can take at the
// time now, or 0 if it can't take one yet. since is when this side received the move's
// first shift; the source ignores it, as its workers already serve the service. Both
// times are in seconds. ledger is this side's ledger with its present capacity.
func (p Pacer) CapacityStep(m *Move, ledger *CapacityLedger, since, now float64) Amount {
	rest := m.Amount - m.Local
	step := rest
	if !m.Source {
		step = Amount(float64(m.Amount)*p.Fraction(now-since)) - m.Local
	}
	step = min(step, rest, p.headroom(ledger))
	if step < min(rest, smallestStep(m.Amount, p.MaxSteps)) {
		return 0
	}
	return step
}

// headroom returns the capacity that is not reserved. With an OverloadMultiple below
// 1/overloadSafety it counts only the part of the capacity that does not overload workers.
func (p Pacer) headroom(ledger *CapacityLedger) Amount {
	headroom := ledger.Capacity
	if p.OverloadMultiple > 0 {
		headroom = Amount(float64(headroom) * min(1, overloadSafety*p.OverloadMultiple))
	}
	for _, a := range ledger.Accounts {
		headroom -= a.Reserved
	}
	return headroom
}

// NextShift returns the amount that the side with the token may debit now, according to
// the last message of the other side, or 0 if none. A message that does not acknowledge
// the move's last number is ignored.
func (p Pacer) NextShift(m *Move, last Message) Amount {
	if last.ID != m.ID || last.Number != m.Number {
		return 0
	}
	return min(m.Shiftable(), last.Advice.CapacityStep)
}

// Outcomes sums up a service's jobs that ended at a cluster since its move began there.
type Outcomes struct {
	Jobs           uint64
	PriorityWeight uint64 // earned by the jobs, in thousandths of a job that is answered in time
}

// mean returns the mean priority weight earned per job and its uncertainty, 2/sqrt(jobs).
func (o Outcomes) mean() (weight, uncertainty float64) {
	weight = float64(o.PriorityWeight) / 1000 / float64(o.Jobs)
	uncertainty = 2 / math.Sqrt(float64(o.Jobs))
	return weight, uncertainty
}

// Verdict is the source's decision about a move.
type Verdict string

// The verdicts.
const (
	VerdictWait     Verdict = "wait"
	VerdictContinue Verdict = "go on"
	VerdictRollBack Verdict = "back"
)

// Evaluate compares the outcomes of both sides. newJobs is the number of jobs that ended
// at the destination in the waitedSeconds since its last shift. The verdict is to roll
// back if the mean weight per job at the destination is below that at the source by more
// than Tolerance plus 2/sqrt(jobs) of each side. If both sides serve equally well, the
// probability that one evaluation rolls back is at most
// 2 x exp(-2 x (2 + Tolerance x sqrt(MinJobs)/2)^2), which is 2e-5 for 64 jobs and 0.1.
func (p Pacer) Evaluate(source, destination Outcomes, newJobs uint64, waitedSeconds float64) Verdict {
	if newJobs < p.MinJobs && waitedSeconds < p.MaxWaitSeconds {
		return VerdictWait
	}
	if source.Jobs == 0 || destination.Jobs == 0 {
		return VerdictContinue // without jobs on a side there is nothing to compare
	}
	sourceWeight, sourceUncertainty := source.mean()
	destinationWeight, destinationUncertainty := destination.mean()
	if sourceWeight-destinationWeight > p.Tolerance+sourceUncertainty+destinationUncertainty {
		return VerdictRollBack
	}
	return VerdictContinue
}

package experiments

import (
	"fmt"
	"slices"

	"example.org/bellstream/internal/lab/simulation"
)

var clustersExperiment = Experiment{
	Name:    "clusters",
	About:   "Virtual time: two clusters of 3 instances move services between them, with cuts, restarts, turns; are reservations sold twice or lost?",
	Without: []string{"holds", "numbers"},
	Run:     runClusters,
}

const (
	clustersSteps = 32   // upper bound for a move that is never reversed
	clustersWorth = 0.97 // fraction of the value that services earn while they move without faults, relative to no move
)

func runClusters(p Params) (*Result, error) {
	moves := 100
	if p.Quick {
		moves = 20
	}
	set := simulation.ServicesSettings{Seed: p.Seed, Moves: moves, Faults: true, WithoutReservation: p.Without == "holds", WithoutSequenceNumbers: p.Without == "numbers"}
	x := simulation.Services(set)
	set.Faults = false
	calm := simulation.Services(set)
	set.SingleStep = true
	once := simulation.Services(set)
	r := &Result{Size: fmt.Sprintf("in virtual time over the product's own states, words, pace and plans, %d moves of 12 services between 2 clusters of 3 instances with faults, and as many without; agreement, link, workers and clients are played", moves)}
	p.Log("moved %d, back %d, split %d, refused %d, turned by the pace %d (%d by mistake), plans refused %d; cuts %d, restarts %d, stopped instances %d, falls of capacity %d, turns and stops %d, releases %d; %d records, %d words, %.0f s of virtual time",
		x.Moved, x.RolledBack, x.Split, x.Refused, x.PacerReversals, x.NeedlessReversals, x.RejectedPlans, x.Partitions, x.Restarts, x.Paused, x.CapacityDrops, x.Reversals, x.Releases, x.Records, x.Messages, x.Span)
	for _, v := range x.Audit[:min(5, len(x.Audit))] {
		p.Log("audit: %v", v)
	}
	const unit = "slot-starts/s"
	r.AtMost("usable by what all instances act on, beyond what is reserved, at any instant", 0, x.Oversubscribed.SlotStarts(), unit)
	r.AtMost("steps counted twice, from both sides' records, at any instant", 0, x.DoubleCounted.SlotStarts(), unit)
	r.AtMost("steps lost, likewise", 0, x.Lost.SlotStarts(), unit)
	r.AtMost("a book promises beyond its capacity", 0, x.OverCapacity.SlotStarts(), unit)
	r.AtMost("violations that the audit finds in both journals", 0, float64(len(x.Audit)), "")
	r.AtMost("moves that did not end on both sides once faults did", 0, float64(x.Unfinished+calm.Unfinished), "")
	r.AtMost("moves that the pace turned back without faults, all places serving alike", 0, float64(calm.NeedlessReversals), "moves")
	if len(x.Steps) == 0 || len(calm.StepsUnreversed) == 0 {
		return r, nil // no move ended; the claims above fail then
	}
	slices.Sort(x.Steps)
	slices.Sort(x.Durations)
	r.AtMost("steps of a move that was never turned", clustersSteps, float64(slices.Max(append(calm.StepsUnreversed, x.StepsUnreversed...))), "steps")
	r.AtLeast("worth of services while they move, without faults, against no move", clustersWorth, calm.ValueRatio, "part")
	r.Note("the same with faults, against the same faults and no move", x.ValueRatio, "part")
	r.Note("the same without faults, all in one step to cold workers", once.ValueRatio, "part")
	r.Note("steps of a move, median", float64(x.Steps[len(x.Steps)/2]), "steps")
	r.Note("steps of a move, at most, turned ones too", float64(x.Steps[len(x.Steps)-1]), "steps")
	r.Note("a move takes, median", x.Durations[len(x.Durations)/2], "s")
	r.Note("a move takes without faults, at most", slices.Max(calm.Durations), "s")
	r.Note("largest step: neither here nor there for a round trip", x.InTransit.SlotStarts(), unit)
	return r, nil
}

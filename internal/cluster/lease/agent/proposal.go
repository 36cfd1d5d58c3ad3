package agent

import (
	"errors"
	"time"

	"example.org/bellstream/internal/cluster/config"
)

// Proposal returns the table to propose for an operator's file. The last table of
// history is the newest version. If the file does not differ from it, Proposal
// returns the same pointer.
type Proposal func(history []*config.Table, proposer string) (*config.Table, error)

// proposalState is the progress of the proposal of the operator's file.
type proposalState struct {
	pending    Proposal  // nil if there is nothing to propose
	generation uint64    // number of calls of Propose; results of earlier proposals are ignored
	notBefore  time.Time // when the next proposal may be sent
	base       uint64    // version that the last proposal was based on
	rejected   bool      // the proposal based on base was rejected; only a newer version lets the agent repeat it
	rejection  string    // error of the last failed proposal; empty if none failed
}

// Propose makes the agent propose the configuration of an operator's file instead
// of that of any earlier file. With nil the agent stops proposing.
func (a *Agent) Propose(p Proposal) {
	a.post(proposeRequest{proposal: p})
}

type proposeRequest struct {
	proposal Proposal
}

func (r proposeRequest) handle(a *Agent) {
	a.proposal = proposalState{
		pending:    r.proposal,
		generation: a.proposal.generation + 1,
		base:       a.proposal.base,
	}
}

// proposePending proposes the configuration of the operator's file once the
// newest version is known.
func (a *Agent) proposePending() {
	if a.proposal.pending == nil {
		return
	}
	known := len(a.history) > 0
	history := a.history
	if !known {
		if a.leaseFile.revision.Version > 0 {
			return // a configuration exists, but has not been received yet
		}
		history = []*config.Table{{}}
	}
	newest := history[len(history)-1]
	table, err := a.proposal.pending(history, a.Name)
	switch {
	case known && err == nil && table == newest:
		a.proposal.pending = nil
		a.proposal.rejection = ""
	case !known && err != nil:
	case a.Now().Before(a.proposal.notBefore):
	case a.proposal.rejected && newest.Version <= a.proposal.base:
		a.abandonProposal()
	default:
		// A newer version may have nothing to do with the file (for example, if it only moves shards), so
		// propose the file again.
		a.proposal.rejected = false
		a.sendProposal(table, err, newest.Version)
	}
}

// sendProposal proposes a table that is based on a version. If err is set or the
// table can't be encoded, it abandons the proposal instead.
func (a *Agent) sendProposal(table *config.Table, err error, base uint64) {
	var encoded []byte
	if err == nil {
		encoded, err = config.Encode(table)
	}
	if err != nil {
		a.proposal.rejection = err.Error()
		a.abandonProposal()
		return
	}
	a.proposal.notBefore = a.Now().Add(2 * ProposeTimeout)
	a.proposal.base = base
	generation := a.proposal.generation
	a.goroutines.Go(func() {
		_, err := a.callLeader(payloadProposal, encoded, ProposeTimeout.Seconds())
		a.post(proposalResult{generation: generation, err: err})
	})
}

func (a *Agent) abandonProposal() {
	a.proposal.pending = nil
	if a.proposal.rejection != "" {
		a.Log.Error().Msgf("accord: the rules of the operator's file are not in force: %s", a.proposal.rejection)
	}
}

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	generation uint64
	err        error
}

// handle ends a proposal that was accepted and schedules a retry of one that
// failed. A retry is idempotent, because a proposal names its base version.
func (r proposalResult) handle(a *Agent) {
	if a.proposal.pending == nil || a.proposal.generation != r.generation {
		return // the operator's file was replaced
	}
	if r.err == nil {
		a.proposal.pending = nil
		a.proposal.rejection = ""
		a.Log.Info().Msg("accord: the rules of the operator's file are agreed on")
		return
	}
	a.proposal.rejection = r.err.Error()
	if rejected, ok := errors.AsType[*RejectedError](r.err); ok && rejected.Permanent {
		// Another instance may have proposed the same file earlier. If so, this instance receives that version
		// within one lease duration.
		a.proposal.rejected = true
		a.proposal.notBefore = a.Now().Add(secondsToDuration(a.LeaseSettings.LeaseSeconds))
		return
	}
	a.proposal.notBefore = a.Now().Add(ProposalRetryDelay)
	a.logLimiter.Do("proposal", func(int) {
		a.Log.Warn().Msgf("accord: proposing the rules of the operator's file failed and will be retried: %v", r.err)
	})
}

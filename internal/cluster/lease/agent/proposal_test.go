package agent

import (
	"errors"
	"testing"
	"time"

	"example.org/bellstream/internal/cluster/config"
)

// A proposal that was rejected because another version was accepted first is evaluated again once that version is
// known, because versions that only move shards do not outdate an operator's file. Without a newer version the agent
// gives up.
func TestRejectedProposalIsReevaluated(t *testing.T) {
	a := &Agent{
		Options:   Options{Now: time.Now},
		leaseFile: &leaseFile{},
		proposal:  proposalState{rejected: true, rejection: "outdated", base: 7},
		history:   []*config.Table{{Version: 7}},
	}
	a.proposal.pending = func([]*config.Table, string) (*config.Table, error) {
		return &config.Table{Version: 8, BaseVersion: 7}, nil
	}
	a.proposePending()
	if a.proposal.pending != nil || a.proposal.rejection != "outdated" {
		t.Errorf("after a permanent rejection: pending %v, rejection %q, want none pending and the rejection kept",
			a.proposal.pending != nil, a.proposal.rejection)
	}
	a.proposal.pending = func([]*config.Table, string) (*config.Table, error) {
		return nil, errors.New("evaluated again")
	}
	a.proposal.rejected = true
	a.history = append(a.history, &config.Table{Version: 8})
	a.proposePending()
	if a.proposal.rejection != "evaluated again" {
		t.Errorf("rejection after a newer version: %q, want that of the second evaluation", a.proposal.rejection)
	}
}

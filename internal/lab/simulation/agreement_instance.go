package simulation

import (
	"errors"
	"fmt"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/lease/agent"
)

// AgreementInstance is one simulated instance: its lease agent and, if it votes, its consensus node.
type AgreementInstance struct {
	Name              string
	Up                bool
	Sent, Received    map[string]Flow
	CPUSeconds        float64
	AppliedRevision   lease.Revision // applied by the dispatcher's loop
	InForce           uint64         // the version in force in the dispatcher's loop
	RejectedProposals int
	UnleasedSeconds   float64 // in the current span without a lease; 0 with a lease

	agreement    *Agreement
	index        int
	voter        *voter       // nil if it does not vote
	connections  map[int]bool // voters to which it has an open connection
	diedAt       float64
	refusesDials bool // its process has ended, but its machine runs

	holder            *lease.Holder
	requestPending    bool
	timerGeneration   int
	table             *config.Table
	publishedRevision lease.Revision
	publishedInForce  uint64
	history           []*config.Table
	preferredVoter    int

	proposal            ProposalFunc
	nextProposalAt      float64
	proposedBase        uint64
	rejectedPermanently bool
}

// pollRevocations polls the leader for shards to give up.
func (in *AgreementInstance) pollRevocations() {
	if !in.Up {
		return
	}
	payload := []byte(`{"from":"` + in.Name + `"}`)
	in.request(requestRevocations, payload, in.agreement.Leases.RequestTimeoutSeconds(), func([]byte, error) {
		in.agreement.after(in.agreement.RevokePollSeconds, in, in.pollRevocations)
	})
}

// step is one pass of the agent's loop: a lease request if one is due, a proposal, the next timer.
func (in *AgreementInstance) step() {
	if !in.Up {
		return
	}
	a := in.agreement
	in.timerGeneration++
	generation := in.timerGeneration
	next := a.Now + a.Leases.RenewIntervalSeconds
	if !in.requestPending {
		request, send, due := in.holder.NextRequest(a.Now)
		next = due
		if send {
			in.requestPending = true
			in.request(requestLease, request.Marshal(), a.Leases.RequestTimeoutSeconds(), in.handleLeaseResponse)
		}
	}
	in.propose()
	a.after(max(next-a.Now, 0.001), in, func() {
		if in.timerGeneration == generation {
			in.step()
		}
	})
}

func (in *AgreementInstance) handleLeaseResponse(raw []byte, err error) {
	var grant lease.Grant
	if err == nil {
		grant, err = lease.UnmarshalGrant(raw)
	}
	in.requestPending = false
	if err != nil || in.holder.HandleGrant(in.agreement.Now, grant) != nil {
		in.step()
		return
	}
	_, revision := in.holder.DurableState()
	if revision == in.publishedRevision {
		in.publish()
		in.step()
		return
	}
	in.requestPending = true // a new revision is written to disk before the loop applies it
	in.agreement.after(2*in.agreement.DiskSyncSeconds, in, func() {
		in.requestPending = false
		in.publish()
		in.step()
	})
}

// publish passes the effective configuration to the dispatcher's loop, which acknowledges it to the holder. An
// unchanged table is acknowledged at once.
func (in *AgreementInstance) publish() {
	effective := in.holder.EffectiveConfig(in.agreement.Now)
	if !effective.Leased {
		return
	}
	changed := effective.Table != in.table
	if effective.Revision != in.publishedRevision {
		in.extendHistory()
	}
	in.table = effective.Table
	in.publishedRevision = effective.Revision
	in.publishedInForce = in.holder.View().InForce.Number
	if !changed {
		in.acknowledge(in.publishedRevision, in.publishedInForce)
		return
	}
	revision := in.publishedRevision
	inForce := in.publishedInForce
	table := in.table
	in.agreement.after(in.agreement.SchedulerDelaySeconds, in, func() {
		if in.Up && in.table == table {
			in.acknowledge(revision, inForce)
			in.step()
		}
	})
}

func (in *AgreementInstance) acknowledge(revision lease.Revision, inForce uint64) {
	in.AppliedRevision = revision
	if in.InForce != inForce && revision.Stage != lease.StageIntersection {
		in.InForce = inForce
		in.agreement.recordVersionsInForceEverywhere()
	}
	in.holder.Acknowledge(in.agreement.Now, revision)
}

// extendHistory adds a new view's versions to the history.
func (in *AgreementInstance) extendHistory() {
	view := in.holder.View()
	for _, version := range []lease.Version{view.InForce, view.Next} {
		n := len(in.history)
		if version.Number == 0 || n > 0 && version.Number <= in.history[n-1].Version {
			continue
		}
		table, err := config.Decode(version.Table) // decoded by each instance, because its processor time is measured
		if err != nil {
			continue
		}
		shared := in.agreement.decodedTables[version.Number]
		if shared != nil && shared.ProposedBy == table.ProposedBy {
			table = shared
		}
		in.agreement.decodedTables[version.Number] = table
		if n > 0 && version.Number > in.history[n-1].Version+1 {
			in.history = nil
		}
		in.history = append(in.history, table)
	}
	in.history = in.history[max(0, len(in.history)-lease.MaxHistoryLength):]
}

// propose sends the proposed table to the leader once the table that it is based on is known.
func (in *AgreementInstance) propose() {
	if in.proposal == nil {
		return
	}
	history := in.history
	if len(history) == 0 {
		history = []*config.Table{{}}
	}
	table, err := in.proposal(history, in.Name)
	newest := history[len(history)-1]
	switch {
	case err == nil && table == newest && len(in.history) > 0:
		in.proposal = nil
		return
	case err != nil && len(in.history) == 0, in.agreement.Now < in.nextProposalAt:
		return
	case in.rejectedPermanently && newest.Version > in.proposedBase:
		in.rejectedPermanently = false
	case in.rejectedPermanently || err != nil:
		in.proposal = nil
		return
	}
	raw, err := config.Encode(table)
	if err != nil {
		panic(err) // the table is the experiment's own and valid
	}
	in.nextProposalAt = in.agreement.Now + 2*agent.ProposeTimeout.Seconds()
	in.proposedBase = newest.Version
	proposal := in.proposal
	in.request(requestProposal, raw, agent.ProposeTimeout.Seconds(), func(_ []byte, err error) {
		in.handleProposalResponse(proposal, err)
	})
}

func (in *AgreementInstance) handleProposalResponse(proposal ProposalFunc, err error) {
	var rejected *agent.RejectedError
	switch {
	case in.proposal == nil || fmt.Sprintf("%p", proposal) != fmt.Sprintf("%p", in.proposal): // Propose has replaced it
	case err == nil:
		in.proposal = nil
	case errors.As(err, &rejected) && rejected.Permanent:
		in.RejectedProposals++
		in.rejectedPermanently = true
		in.nextProposalAt = in.agreement.Now + in.agreement.Leases.LeaseSeconds
	default:
		in.RejectedProposals++
		in.nextProposalAt = in.agreement.Now + agent.ProposalRetryDelay.Seconds()
	}
	in.step()
}

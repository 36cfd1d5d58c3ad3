package simulation

import (
	"errors"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/lease/agent"
)

const (
	identifyIntervalSeconds = 1
	forwardTimeoutTicks     = 20
)

// handleRequest responds to an instance's request if this voter leads. Otherwise it forwards the request to the
// leader, unless the request has been forwarded already.
func (v *voter) handleRequest(from string, forwarded bool, payload []byte, respond func(*wire.Response)) {
	if v.leaderTerm != 0 {
		v.serveAsLeader(payload, func(out []byte) { respond(&wire.Response{Payload: out}) })
		return
	}
	leader := v.agreement.voterByID(v.node.BasicStatus().Lead)
	switch {
	case leader == nil || leader == v.instance:
		respond(&wire.Response{Result: wire.Response_NO_QUORUM})
	case forwarded:
		respond(&wire.Response{Result: wire.Response_NOT_LEADER, Leader: leader.Name})
	default:
		v.forward(leader, from, payload, respond)
	}
}

func (v *voter) forward(leader *AgreementInstance, from string, payload []byte, respond func(*wire.Response)) {
	ended := false
	once := func(response *wire.Response) {
		if !ended {
			ended = true
			respond(response)
		}
	}
	v.agreement.after(forwardTimeoutTicks*agent.TickInterval.Seconds(), v.instance, func() {
		if v.instance.Up {
			once(&wire.Response{Result: wire.Response_NO_QUORUM})
		}
	})
	kind := payload[0]
	request := &wire.Request{Id: 1, From: from, Forwarded: true, Payload: payload}
	v.instance.send(leader, requestFlow(kind, false), wire.Frame{Request: request}, func(f wire.Frame) {
		sendBack := func(response *wire.Response) {
			leader.send(v.instance, requestFlow(kind, true), wire.Frame{Response: response}, func(f wire.Frame) {
				v.enqueue(func() { once(f.Response) })
			})
		}
		leader.voter.enqueue(func() {
			leader.voter.handleRequest(f.Request.From, true, f.Request.Payload, sendBack)
		})
	})
}

func (v *voter) serveAsLeader(payload []byte, respond func([]byte)) {
	body := payload[1:]
	switch payload[0] {
	case requestRevocations:
		respond([]byte("ynull")) // no shard ever has to be given up
	case requestProposal:
		v.serveProposal(body, respond)
	default:
		v.serveLeaseRequest(body, respond)
	}
}

// rejection encodes an error as a response.
func rejection(err error) []byte {
	kind := responseRejectedForNow
	var stale *lease.StaleProposalError
	var invalid config.ValidationErrors
	if errors.As(err, &stale) || errors.As(err, &invalid) {
		kind = responseRejected
	}
	return append([]byte{kind}, err.Error()...)
}

func (v *voter) serveProposal(body []byte, respond func([]byte)) {
	entry, err := v.proposalEntry(body)
	if err != nil {
		respond(rejection(err))
		return
	}
	v.submit(entry, func(err error) {
		if err != nil {
			respond(rejection(err))
			return
		}
		respond([]byte{responseOK})
		v.advance()
	})
}

// proposalEntry returns the log entry of a proposed table, or an error if the table has the wrong base version.
func (v *voter) proposalEntry(body []byte) (lease.Entry, error) {
	table, err := config.Decode(body)
	v.mustSucceed(err)
	view := v.state.View()
	switch {
	case view.Cluster == "" || table.BaseVersion > view.NewestNumber():
		return lease.Entry{}, &lease.NotReadyError{}
	case table.BaseVersion != view.NewestNumber():
		return lease.Entry{}, &lease.StaleProposalError{Base: table.BaseVersion, Newest: view.NewestNumber()}
	}
	return view.Proposal(table, table.ProposedBy, table.BaseVersion)
}

func (v *voter) serveLeaseRequest(body []byte, respond func([]byte)) {
	request, err := lease.UnmarshalRequest(body)
	if err == nil {
		err = v.grantor.ReceiveRequest(v.agreement.Now, request)
	}
	if err != nil {
		respond(rejection(err))
		return
	}
	v.pendingReads = append(v.pendingReads, func(term uint64, err error) {
		var grant lease.Grant
		if err == nil {
			grant, err = v.grantor.Grant(v.agreement.Now, term, request)
		}
		if err != nil {
			respond(rejection(err))
			return
		}
		respond(append([]byte{responseOK}, grant.Marshal()...))
		v.advance()
	})
	v.advance()
}

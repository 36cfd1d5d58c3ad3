package agent

import (
	"errors"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/consensus"
	"example.org/bellstream/internal/cluster/lease"
)

// payloadKind is the first byte of a request to the leader.
type payloadKind byte

const (
	payloadLeaseRequest payloadKind = 'q'
	payloadLeaseRelease payloadKind = 'b'
	payloadProposal     payloadKind = 'p'
	payloadShardReport  payloadKind = 's'
	payloadMigration    payloadKind = 'w' // messages from another cluster
)

// responseKind is the first byte of the leader's response.
type responseKind byte

const (
	responseAccepted   responseKind = 'y'
	responseRetryLater responseKind = 'l' // a retry may be accepted
	responseRejected   responseKind = 'n'
)

// Names of the messages in errors.
const (
	subjectRequest     = "a request"
	subjectResponse    = "a response"
	subjectShardReport = "a shard report"
)

func encodePayload(kind payloadKind, body []byte) []byte {
	return append([]byte{byte(kind)}, body...)
}

func encodeResponse(kind responseKind, body []byte) []byte {
	return append([]byte{byte(kind)}, body...)
}

// decodeResponse returns the body of an accepted request, or a *RejectedError.
func decodeResponse(raw []byte) ([]byte, error) {
	if len(raw) == 0 {
		return nil, &lease.CorruptMessageError{Subject: subjectResponse, Reason: "it is empty"}
	}
	body := raw[1:]
	switch kind := responseKind(raw[0]); kind {
	case responseAccepted:
		return body, nil
	case responseRetryLater, responseRejected:
		return nil, &RejectedError{Reason: string(body), Permanent: kind == responseRejected}
	}
	return nil, &lease.UnsupportedFormatError{Subject: subjectResponse}
}

// responder sends the response to one request. It must be called once.
type responder func(raw []byte)

func (r responder) accept(body []byte) {
	r(encodeResponse(responseAccepted, body))
}

func (r responder) reject(err error) {
	kind := responseRetryLater
	if isPermanent(err) {
		kind = responseRejected
	}
	r(encodeResponse(kind, []byte(err.Error())))
}

// finish accepts or rejects a request.
func (r responder) finish(body []byte, err error) {
	if err != nil {
		r.reject(err)
		return
	}
	r.accept(body)
}

// isPermanent reports whether a retry of the same request would be rejected again.
func isPermanent(err error) bool {
	if rejected, ok := errors.AsType[*RejectedError](err); ok {
		return rejected.Permanent
	}
	return !matches[*consensus.NoQuorumError](err) &&
		!matches[*consensus.NotLeaderError](err) &&
		!matches[*consensus.OverloadedError](err) &&
		!matches[*consensus.DiskFullError](err) &&
		!matches[*lease.NotLeaderError](err) &&
		!matches[*lease.ProposalInProgressError](err) &&
		!matches[*lease.NotReadyError](err)
}

// matches reports whether an error of type E is in the chain of err.
func matches[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

// handleRequest is the node's callback for a request to the leader.
func (v *voter) handleRequest(_ string, payload []byte, send func([]byte)) {
	r := responder(send)
	if len(payload) == 0 {
		r.reject(&lease.CorruptMessageError{Subject: subjectRequest, Reason: "it is empty"})
		return
	}
	if v.applyError != nil {
		// The rejection is not permanent: this voter retires, and another one will lead.
		r.reject(&RejectedError{Reason: v.applyError.Error()})
		return
	}
	select {
	case <-v.ready:
	default:
		r.reject(&lease.NotReadyError{Reason: "this instance is starting"})
		return
	}
	v.dispatch(payloadKind(payload[0]), payload[1:], r)
}

func (v *voter) dispatch(kind payloadKind, body []byte, r responder) {
	switch kind {
	case payloadLeaseRequest:
		v.handleLeaseRequest(body, r)
	case payloadLeaseRelease:
		v.handleLeaseRelease(body, r)
	case payloadProposal:
		v.handleProposal(body, r)
	case payloadMigration:
		v.handleMigration(body, r)
	case payloadShardReport:
		r.finish(v.placer.handleReport(body))
	default:
		r.reject(&lease.UnsupportedFormatError{Subject: subjectRequest})
	}
}

// handleLeaseRequest grants a lease once the voters have confirmed that this instance leads.
func (v *voter) handleLeaseRequest(body []byte, r responder) {
	request, err := lease.UnmarshalRequest(body)
	if err == nil {
		err = v.grantor.ReceiveRequest(v.agent.elapsed(), request)
	}
	if err == nil {
		err = v.node.ReadIndexAsync(func(_, term uint64, err error) {
			v.grantLease(request, term, err, r)
		})
	}
	if err != nil {
		r.reject(err)
		return
	}
	v.tick()
}

func (v *voter) grantLease(request lease.Request, term uint64, err error, r responder) {
	if err != nil {
		r.reject(err)
		return
	}
	grant, err := v.grantor.Grant(v.agent.elapsed(), term, request)
	if err != nil {
		r.reject(err)
		return
	}
	r.accept(grant.Marshal())
	v.tick()
}

func (v *voter) handleLeaseRelease(body []byte, r responder) {
	if release, err := lease.UnmarshalRelease(body); err == nil {
		v.grantor.Release(release)
	}
	r.accept(nil)
	v.tick()
}

func (v *voter) handleProposal(body []byte, r responder) {
	entry, err := v.checkProposal(body)
	if err != nil {
		r.reject(err)
		return
	}
	v.submit(entry, func(err error) {
		if err != nil {
			r.reject(err)
			return
		}
		r.accept(nil)
		v.tick()
	})
}

// checkProposal returns the entry for a proposal. The leader validates the table
// again, because the proposing instance may run another build.
func (v *voter) checkProposal(body []byte) (lease.Entry, error) {
	table, err := config.Decode(body)
	if err != nil {
		return lease.Entry{}, err
	}
	view := v.state.View()
	if view.Cluster == "" || table.BaseVersion > view.NewestNumber() {
		return lease.Entry{}, &RejectedError{
			Reason: "the voters have only just started, or their new leader has not applied all versions yet",
		}
	}
	if table.BaseVersion != view.NewestNumber() {
		err := &lease.StaleProposalError{
			Base:    table.BaseVersion,
			Newest:  view.NewestNumber(),
			Changes: v.state.ChangesSince(table.BaseVersion),
		}
		v.migration.backOff(err)
		return lease.Entry{}, err
	}
	if err := v.validateProposal(table); err != nil {
		return lease.Entry{}, err
	}
	entry, err := view.Proposal(table, table.ProposedBy, table.BaseVersion)
	if err != nil {
		v.migration.backOff(err)
	}
	return entry, err
}

func (v *voter) handleMigration(body []byte, r responder) {
	answers, err := v.migration.receive(body)
	if err != nil {
		r.reject(err)
		return
	}
	r.accept(answers)
	v.tick()
}

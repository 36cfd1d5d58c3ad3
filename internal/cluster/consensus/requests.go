package consensus

import "example.org/bellstream/internal/cluster/consensus/wire"

// forwardedRequest is a request that was forwarded to the leader and has no
// response yet.
type forwardedRequest struct {
	deadlineTick uint64
	respond      func(*wire.Response)
}

// handleRequest passes a request to the application if this voter leads, and
// forwards it to the leader otherwise. A request is forwarded at most once.
func (l *loop) handleRequest(request *wire.Request, respond func(*wire.Response)) {
	if l.leaderTerm != 0 {
		l.handleAsLeader(request, respond)
		return
	}
	name, address := l.currentLeader()
	leader := l.node.transport.connectionTo(name)
	switch {
	case name == "" && l.stateReason != nil:
		respond(unavailable(l.stateReason.Error()))
	case name == "":
		respond(&wire.Response{Result: wire.Response_NO_QUORUM})
	case request.Forwarded || leader == nil:
		respond(&wire.Response{Result: wire.Response_NOT_LEADER, Leader: name, LeaderAddress: address})
	case len(l.forwarded) >= maxForwardedRequests:
		respond(&wire.Response{Result: wire.Response_OVERLOADED})
	default:
		l.forward(request, leader, respond)
	}
}

func unavailable(reason string) *wire.Response {
	return &wire.Response{Result: wire.Response_UNAVAILABLE, Reason: reason[:min(len(reason), wire.MaxNameBytes)]}
}

func (l *loop) handleAsLeader(request *wire.Request, respond func(*wire.Response)) {
	if l.options.HandleRequest == nil {
		respond(unavailable("it handles no requests"))
		return
	}
	l.options.HandleRequest(request.From, request.Payload, func(out []byte) {
		if len(out) > MaxPayloadBytes {
			err := &TooLargeError{len(out), MaxPayloadBytes}
			respond(unavailable(err.Error()))
			return
		}
		respond(&wire.Response{Payload: out})
	})
}

func (l *loop) forward(request *wire.Request, leader *connection, respond func(*wire.Response)) {
	l.lastSequence++
	id := l.lastSequence
	l.status.Forwarded++
	l.forwarded[id] = &forwardedRequest{deadlineTick: l.ticks + forwardTimeoutTicks, respond: respond}
	sent := leader.send(wire.Frame{
		Identity: l.storage.identity(),
		Request:  &wire.Request{Id: id, From: request.From, Forwarded: true, Payload: request.Payload},
	})
	if !sent {
		delete(l.forwarded, id)
		respond(&wire.Response{Result: wire.Response_OVERLOADED})
	}
}

func (l *loop) handleForwardedResponse(response *wire.Response) {
	request := l.forwarded[response.Id]
	if request == nil {
		l.node.drops.Add(dropLateResponse)
		return
	}
	delete(l.forwarded, response.Id)
	request.respond(response)
}

func (l *loop) expireForwarded() {
	for id, request := range l.forwarded {
		if l.ticks >= request.deadlineTick {
			delete(l.forwarded, id)
			request.respond(&wire.Response{Result: wire.Response_NO_QUORUM})
		}
	}
}

// responseResult returns the payload of a response, or the error that it reports.
func responseResult(address string, response *wire.Response) ([]byte, error) {
	switch response.Result {
	case wire.Response_OK:
		return response.Payload, nil
	case wire.Response_NOT_LEADER:
		return nil, &NotLeaderError{response.Leader, response.LeaderAddress}
	case wire.Response_NO_QUORUM:
		return nil, &NoQuorumError{}
	case wire.Response_OVERLOADED:
		return nil, &OverloadedError{"requests"}
	}
	return nil, &UnavailableError{address, response.Reason}
}

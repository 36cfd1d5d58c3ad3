package simulation

import (
	"example.org/bellstream/internal/cluster/consensus"
	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/lease/agent"
)

// The first byte of a request's payload names its kind, as in package agent.
const (
	requestLease       byte = 'q'
	requestProposal    byte = 'p'
	requestRevocations byte = 's'
)

// The first byte of a response's payload.
const (
	responseOK             byte = 'y'
	responseRejected       byte = 'n' // permanently
	responseRejectedForNow byte = 'l'
)

// request sends a payload to the leader through the instance's own voter, or through the voters in turn if it does
// not vote or its own finds no quorum.
func (in *AgreementInstance) request(kind byte, payload []byte, timeout float64, done func([]byte, error)) {
	payload = append([]byte{kind}, payload...)
	ended := false
	once := func(body []byte, err error) {
		if !ended && in.Up {
			ended = true
			done(body, err)
		}
	}
	if in.voter == nil {
		in.requestFromVoters(kind, payload, timeout, once)
		return
	}
	a := in.agreement
	deadline := a.Now + timeout
	a.after(timeout, in, func() { once(nil, &consensus.NoQuorumError{}) })
	respond := func(response *wire.Response) {
		a.after(0, in, func() {
			if response.Result == wire.Response_NO_QUORUM && !ended { // perhaps only this voter is cut off
				in.requestFromVoters(kind, payload, deadline-a.Now, once)
				return
			}
			once(decodeResponse(response))
		})
	}
	in.voter.enqueue(func() { in.voter.handleRequest(in.Name, false, payload, respond) })
}

// voterRequest tries the other voters in turn, each for a part of the remaining time, until one responds.
type voterRequest struct {
	instance *AgreementInstance
	kind     byte
	payload  []byte
	deadline float64
	voters   []int
	first    int // index in voters of the first attempt
	ended    bool
	done     func([]byte, error)
}

// voterAttempt is a voterRequest's attempt at one voter.
type voterAttempt struct {
	*voterRequest
	number int
	place  int // index in voters
	voter  *AgreementInstance
	over   bool // it has ended
}

func (in *AgreementInstance) requestFromVoters(
	kind byte, payload []byte, timeout float64, done func([]byte, error),
) {
	r := &voterRequest{
		instance: in,
		kind:     kind,
		payload:  payload,
		deadline: in.agreement.Now + timeout,
		done:     done,
	}
	for i := range in.agreement.Voters {
		if i != in.index {
			r.voters = append(r.voters, i)
		}
	}
	r.first = in.preferredVoter % len(r.voters)
	r.attempt(0)
}

func (r *voterRequest) end(body []byte, err error) {
	if !r.ended {
		r.ended = true
		r.done(body, err)
	}
}

func (r *voterRequest) attempt(number int) {
	if r.ended {
		return
	}
	in := r.instance
	if number >= len(r.voters) || in.agreement.Now >= r.deadline {
		in.preferredVoter = (r.first + 1) % len(r.voters)
		r.end(nil, &consensus.NoQuorumError{})
		return
	}
	place := (r.first + number) % len(r.voters)
	attempt := &voterAttempt{
		voterRequest: r,
		number:       number,
		place:        place,
		voter:        in.agreement.Members[r.voters[place]],
	}
	in.agreement.after(attempt.timeout(), in, attempt.next)
	in.connections[attempt.voter.index] = true
	attempt.send()
}

// timeout returns the number of seconds after which the next voter is tried.
func (t *voterAttempt) timeout() float64 {
	a := t.instance.agreement
	part := (t.deadline - a.Now) / float64(min(len(t.voters)-t.number, 2))
	partitioned := a.Partitioned(t.instance.index, t.voter.index)
	switch {
	case !t.voter.Up && t.voter.refusesDials:
		return 2 * a.Delay(t.instance.index, t.voter.index)
	case t.voter.Up && !partitioned:
		return part
	}
	silentSince := t.voter.diedAt
	if t.voter.Up {
		silentSince = a.partitionedAt
	}
	wait := min(part, silentSince+connectionTimeoutSeconds-a.Now)
	if wait <= 0 { // the connection has timed out: a new dial times out too
		wait = min(part, dialTimeoutSeconds)
	}
	return wait
}

// next ends this attempt and tries the next voter. It does nothing if the attempt has ended.
func (t *voterAttempt) next() {
	if !t.over && !t.ended {
		t.over = true
		t.attempt(t.number + 1)
	}
}

func (t *voterAttempt) send() {
	in := t.instance
	target := t.voter
	frame := wire.Frame{Request: &wire.Request{From: in.Name, Payload: t.payload}}
	in.send(target, requestFlow(t.kind, false), frame, func(f wire.Frame) {
		respond := func(response *wire.Response) {
			target.send(in, requestFlow(t.kind, true), wire.Frame{Response: response}, t.handleResponse)
		}
		target.voter.enqueue(func() {
			target.voter.handleRequest(f.Request.From, false, f.Request.Payload, respond)
		})
	})
}

func (t *voterAttempt) handleResponse(f wire.Frame) {
	if t.over {
		return
	}
	if f.Response.Result != wire.Response_OK {
		t.next()
		return
	}
	t.over = true
	t.instance.preferredVoter = t.place
	t.end(decodeResponse(f.Response))
}

// decodeResponse returns a response's body, or the error that it carries.
func decodeResponse(response *wire.Response) ([]byte, error) {
	if response.Result != wire.Response_OK || len(response.Payload) == 0 {
		return nil, &consensus.NoQuorumError{}
	}
	kind := response.Payload[0]
	body := response.Payload[1:]
	if kind == responseOK {
		return body, nil
	}
	return nil, &agent.RejectedError{Reason: string(body), Permanent: kind == responseRejected}
}

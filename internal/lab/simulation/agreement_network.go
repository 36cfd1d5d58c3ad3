package simulation

import (
	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/lease/agent"
)

// Flow counts the frames of one kind.
type Flow struct{ Frames, Bytes float64 }

// Kinds of frames.
const (
	FlowLeaseRequest = "question"  // lease request; counted once per hop
	FlowLeaseGrant   = "grant"     // lease grant, with the table if it is new to the holder
	FlowProposal     = "proposal"  // proposed table, and the response
	FlowRevokePoll   = "seats"     // poll for shards to give up, and the response
	FlowHeartbeat    = "heartbeat" // between voters; heartbeats also confirm reads
	FlowEntries      = "entries"   // between voters, and their acknowledgements
	FlowElection     = "election"
	FlowPing         = "ping"
)

func countFrame(flows map[string]Flow, kind string, bytes int) {
	flow := flows[kind]
	flow.Frames++
	flow.Bytes += float64(bytes)
	flows[kind] = flow
}

func requestFlow(kind byte, response bool) string {
	switch {
	case kind == requestRevocations:
		return FlowRevokePoll
	case kind != requestLease:
		return FlowProposal
	case response:
		return FlowLeaseGrant
	}
	return FlowLeaseRequest
}

// send sends a frame to another instance. It arrives after the frames that were sent on the same link before, or is
// lost if the instance is down or partitioned off.
func (in *AgreementInstance) send(to *AgreementInstance, kind string, frame wire.Frame, receive func(wire.Frame)) {
	a := in.agreement
	frame.Identity = agreementIdentity
	raw := wire.Encode(agreementClusterDigest, frame)
	countFrame(in.Sent, kind, len(raw))
	if !to.Up || a.Partitioned(in.index, to.index) {
		return
	}
	link := [2]int{in.index, to.index}
	arrival := max(a.lastArrivals[link], a.Now+a.Delay(in.index, to.index)*(1+a.Jitter*a.rng.Float64()))
	a.lastArrivals[link] = arrival
	a.after(arrival-a.Now, to, func() {
		if !to.Up {
			return
		}
		countFrame(to.Received, kind, len(raw))
		received, err := wire.Decode(agreementClusterDigest, raw)
		if err != nil {
			panic(err) // the build can't decode its own frame
		}
		receive(received)
	})
}

// Times of a connection. Pings prevent its timeout.
var (
	pingIntervalSeconds      = 10 * agent.TickInterval.Seconds()
	connectionTimeoutSeconds = 3 * pingIntervalSeconds
	dialTimeoutSeconds       = 10 * agent.TickInterval.Seconds()
)

// ping keeps the open connections alive. A voter has a connection with every other voter, another instance with
// every voter that it has sent a request to: neither side closes a connection in use.
func (in *AgreementInstance) ping() {
	if !in.Up {
		return
	}
	for i, peer := range in.agreement.Members[:in.agreement.Voters] {
		if peer == in || in.voter == nil && !in.connections[i] {
			continue
		}
		if !peer.Up || in.agreement.Partitioned(in.index, i) { // the connection times out
			delete(in.connections, i)
			continue
		}
		in.send(peer, FlowPing, wire.Frame{Ping: &wire.Ping{}}, func(wire.Frame) {})
		if in.voter == nil { // voters ping each other in their own loops
			peer.send(in, FlowPing, wire.Frame{Ping: &wire.Ping{}}, func(wire.Frame) {})
		}
	}
	in.agreement.after(pingIntervalSeconds, in, in.ping)
}

package agent

import (
	"context"
	"errors"
	"net"
	"time"

	"example.org/bellstream/internal/cluster/consensus"
)

// maxTimeoutDivisor is the largest divisor of the time that remains: an attempt
// gets half of it, and the last attempt gets all of it.
const maxTimeoutDivisor = 2

// RejectedError is returned for a request that the leader rejected.
type RejectedError struct {
	Reason    string
	Permanent bool // a retry would be rejected as well
}

func (e *RejectedError) Error() string { return e.Reason }

// newClient returns a client of a cluster's voters.
func (a *Agent) newClient(cluster string) *consensus.Client {
	return consensus.NewClient(consensus.ClientOptions{
		Name:    a.Name,
		Cluster: cluster,
		Listen:  a.ListenAddress,
		Tick:    TickInterval,
		Dial:    newDialer(a.ListenAddress),
	})
}

// newDialer returns a function that dials from the IP address of listenAddress,
// so that packet traces show which instance sent what.
func newDialer(listenAddress string) func(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	if host, _, err := net.SplitHostPort(listenAddress); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// callLeader sends a request to the leader, directly or through another voter,
// and returns the body of the response. If the leader rejects the request, the
// error is a *RejectedError.
func (a *Agent) callLeader(kind payloadKind, body []byte, timeoutSeconds float64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(a.ctx, secondsToDuration(timeoutSeconds))
	defer cancel()
	response, err := a.send(ctx, encodePayload(kind, body))
	if err != nil {
		return nil, err
	}
	return decodeResponse(response)
}

func (a *Agent) send(ctx context.Context, payload []byte) ([]byte, error) {
	if !a.isVoter() {
		return a.callVoters(ctx, payload)
	}
	response, err := a.voter.node.Request(ctx, payload)
	// A voter that reaches no leader may be partitioned from the leader only. Other voters can still forward the
	// request.
	if _, noQuorum := errors.AsType[*consensus.NoQuorumError](err); noQuorum && ctx.Err() == nil {
		return a.callVoters(ctx, payload)
	}
	return response, err
}

// isVoter reports whether this instance is a voter, or may become one without an
// operator's action. A voter that was removed or lost its file only knows the voters
// of that time, so it sends requests as a follower does.
func (a *Agent) isVoter() bool {
	if a.voter == nil || a.voter.retired.Load() {
		return false
	}
	switch a.voter.node.Status().State {
	case consensus.StateDiscovering, consensus.StateVoting, consensus.StateDiskFull:
		return true
	}
	return false
}

// callVoters sends a request to the other voters in turn until one answers. The
// next request starts with the voter that answered. If none did, it starts one
// voter later in the list.
func (a *Agent) callVoters(ctx context.Context, payload []byte) ([]byte, error) {
	var addresses []string
	for _, v := range *a.voters.Load() {
		if v.Name != a.Name {
			addresses = append(addresses, v.Address)
		}
	}
	first := int(a.lastVoter.Load())
	response, answered, err := callAnyVoter(ctx, a.client, addresses, first, payload)
	switch {
	case err == nil:
		a.lastVoter.Store(int32(answered))
	case len(addresses) > 0 && a.ctx.Err() == nil:
		// With a long network delay, a first voter that does not answer uses up the time that the others need.
		a.lastVoter.Store(int32((first + 1) % len(addresses)))
	}
	return response, err
}

// callAnyVoter sends a request to the voters in turn, starting at index first,
// until one answers, and returns that voter's index. Each attempt gets a part of
// the time that remains until the deadline of ctx.
func callAnyVoter(ctx context.Context, client *consensus.Client, addresses []string, first int,
	payload []byte) (response []byte, answered int, err error) {
	deadline, _ := ctx.Deadline()
	err = &consensus.NoQuorumError{}
	for n := range addresses {
		answered = (first + n) % len(addresses)
		divisor := min(len(addresses)-n, maxTimeoutDivisor)
		attempt, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(divisor))
		response, err = client.Request(attempt, addresses[answered], payload)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return response, answered, err
}

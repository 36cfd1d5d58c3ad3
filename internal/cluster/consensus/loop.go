package consensus

import (
	"errors"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"example.org/bellstream/internal/boltfile"
	"example.org/bellstream/internal/cluster/consensus/wire"
)

// loop holds the state that the node's loop goroutine owns.
type loop struct {
	node           *Node
	options        *Options
	storage        *storage
	nodeID         uint64
	incarnation    uint64 // identifies this process; only its proposals have callbacks here
	voterSetDigest uint64 // of the voters' names in the options

	state       VoterState
	stateReason error         // why this voter does not vote; nil while it votes
	rawNode     *raft.RawNode // nil while not voting

	members  membership
	applied  appliedPosition
	snapshot snapshotProgress
	pending  pendingOperations

	leaderTerm   uint64 // the term in which this voter leads, 0 if it does not
	lastSequence uint64 // of the last proposal, read batch, change of voters or forwarded request
	forwarded    map[uint64]*forwardedRequest

	ticks              uint64
	ticksWithoutLeader uint64
	snapshotSentTicks  map[uint64]uint64        // tick at which a snapshot was sent, by voter ID
	peers              map[string]advertisement // the last handshake of each peer, by name
	status             Status
}

// appliedPosition is the position of the last applied entry.
type appliedPosition struct {
	index uint64
	term  uint64
}

func newLoop(n *Node, s *storage) *loop {
	l := &loop{
		node:              n,
		options:           &n.options,
		storage:           s,
		nodeID:            wire.NodeID(n.options.Name),
		incarnation:       randomID(),
		voterSetDigest:    wire.VoterSetDigest(slices.Collect(maps.Keys(n.options.Voters))),
		state:             StateDiscovering,
		members:           membership{byID: map[uint64]*wire.Member{}},
		pending:           pendingOperations{proposals: map[uint64]func(error){}},
		forwarded:         map[uint64]*forwardedRequest{},
		snapshotSentTicks: map[uint64]uint64{},
		peers:             map[string]advertisement{},
	}
	l.stateReason = l.notVoter("not all other voters have reported yet whether there is a cluster: " +
		"start all voters")
	return l
}

func (l *loop) notVoter(reason string) error {
	return &NotVoterError{Name: l.options.Name, Reason: reason}
}

func (l *loop) run() {
	ticker := time.NewTicker(l.options.Tick)
	defer ticker.Stop()
	l.initialize()
	for {
		l.processReady()
		select {
		case <-l.node.stopping:
			l.abortPending(ErrClosed)
			return
		case <-ticker.C:
			l.handleTick()
		case frame := <-l.node.transport.inbox:
			l.handleFrame(frame)
		case call := <-l.node.calls:
			call()
		}
		l.handleQueued()
	}
}

// handleQueued handles frames and calls that are already queued, at most
// maxEventsPerWrite, so that they share one write to the file.
func (l *loop) handleQueued() {
	for range maxEventsPerWrite {
		select {
		case frame := <-l.node.transport.inbox:
			l.handleFrame(frame)
		case call := <-l.node.calls:
			call()
		default:
			return
		}
	}
}

// initialize starts to vote if the file holds a cluster's identity. Otherwise it
// looks for a cluster.
func (l *loop) initialize() {
	l.updatePeers()
	if l.storage.identity().IsZero() {
		l.evaluateMembership()
		return
	}
	l.startFromStorage()
}

func (l *loop) handleFrame(received receivedFrame) {
	frame := received.frame
	l.node.transport.queuedBytes.Add(-int64(received.bytes))
	switch {
	case frame.Handshake != nil:
		l.handleHandshake(received)
	case frame.Raft != nil:
		l.handleRaftMessage(frame.Raft)
	case frame.Request != nil:
		id := frame.Request.Id
		identity := l.storage.identity()
		l.handleRequest(frame.Request, func(response *wire.Response) {
			response.Id = id
			received.from.send(wire.Frame{Identity: identity, Response: response})
		})
	case frame.Response != nil:
		l.handleForwardedResponse(frame.Response)
	}
}

func (l *loop) handleRaftMessage(message *raftpb.Message) {
	if l.rawNode == nil {
		l.node.drops.Add(dropNotVoting)
		return
	}
	l.guardRaft(func() {
		_ = l.rawNode.Step(message) // fails for messages of former voters, which are ignored
	})
	// The message may end this voter's leadership: calls handled after it must not be
	// accepted as leader.
	l.updateLeadership()
}

func (l *loop) handleTick() {
	l.ticks++
	if l.rawNode != nil {
		l.guardRaft(l.rawNode.Tick)
		l.updateLeadership()
	}
	l.expireSentSnapshots()
	switch {
	case l.state == StateDiskFull && l.ticks%diskRetryTicks == 0:
		l.retryDisk()
	case l.rawNode != nil && l.rawNode.BasicStatus().Lead != raft.None:
		l.ticksWithoutLeader = 0
	default:
		l.ticksWithoutLeader++
		if l.ticksWithoutLeader%discoveryTicks == 0 && l.needsHandshakes() {
			l.requestHandshakes()
		}
	}
	l.proposeVoterChange()
	l.expireVoterChange()
	l.expireForwarded()
}

// needsHandshakes reports whether this voter has to ask its peers for the members:
// it does not vote, or has known no leader for more than two times electionTicks.
func (l *loop) needsHandshakes() bool {
	return l.rawNode == nil || l.ticksWithoutLeader > 2*electionTicks
}

// retryDisk resumes voting if the file can be written again.
func (l *loop) retryDisk() {
	err := l.storage.probeSpace()
	switch {
	case err == nil:
		l.options.Log.Info().Str("file", l.storage.path).
			Msg("consensus: disk space is available again: this voter resumes voting")
		l.state = StateVoting
		l.stateReason = nil
		l.startRaft()
	case !errors.Is(err, boltfile.ErrNoSpace):
		l.fail(&CorruptFileError{Path: l.storage.path, Err: err})
	}
}

// fail stops voting for the rest of this process.
func (l *loop) fail(reason error) {
	l.options.Log.Error().Err(reason).Msg("consensus: this voter stops voting")
	l.stopRaft(StateFailed, reason)
}

// stopRaft stops voting. Pending and later operations fail with reason.
func (l *loop) stopRaft(state VoterState, reason error) {
	l.rawNode = nil
	l.state = state
	l.stateReason = reason
	l.abortPending(reason)
}

// Package consensus replicates a log of opaque entries among a few voters with
// raft, and confirms which voter is the leader.
//
// One goroutine, the loop, owns raft's state machine, the voter's file and all
// callbacks. Connections have goroutines of their own, which only copy frames
// into the loop's bounded inbox. Frames that do not fit or are corrupt are dropped
// and counted; raft sends its messages again.
//
// [VoterState] describes whether a node votes and, if not, why.
package consensus

import "example.org/bellstream/internal/cluster/consensus/wire"

// Limits.
const (
	MaxProposalBytes = wire.MaxProposalBytes
	MaxPayloadBytes  = wire.MaxPayloadBytes // of a request or a response
	MaxVoters        = wire.MaxMembers
)

// Periods and timeouts, in ticks. A leader that hears from no majority for
// electionTicks steps down. The other voters start an election between one and
// two times electionTicks after the leader's last message.
const (
	heartbeatTicks          = 1
	electionTicks           = 10
	discoveryTicks          = 5  // between two rounds of handshakes while not voting or without a leader
	diskRetryTicks          = 10 // between two attempts to write after the disk was full
	snapshotLostTicks       = 30 // after which a sent snapshot counts as lost
	forwardTimeoutTicks     = 20
	voterChangeTimeoutTicks = 40
)

// Limits of queues.
const (
	maxQueuedCalls       = 1024 // calls waiting for the loop
	maxInboxFrames       = 1024
	maxPendingOperations = 4096 // proposals waiting for a majority, and separately reads waiting for a batch
	maxForwardedRequests = 1024
	maxKnownPeers        = 2 * MaxVoters
	maxEventsPerWrite    = 256 // calls and frames that share one write to the file
)

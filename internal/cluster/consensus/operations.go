package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"

	"example.org/bellstream/internal/cluster/consensus/wire"
)

// readCallback receives the applied index and the leader's term, or an error.
type readCallback func(index, term uint64, err error)

// pendingOperations are the calls that wait for a majority.
type pendingOperations struct {
	proposals   map[uint64]func(error) // by sequence number
	queuedReads []readCallback         // for the next batch
	readBatch   *readBatch
	voterChange *voterChange
}

// readBatch is a group of reads that are confirmed by one round of messages.
type readBatch struct {
	requestContext []byte
	index          uint64 // that has to be applied before the reads complete; set once confirmed
	confirmed      bool
	callbacks      []readCallback
}

func (l *loop) propose(data []byte, done func(error)) {
	if err := l.checkProposal(data); err != nil {
		done(err)
		return
	}
	l.lastSequence++
	var err error
	l.guardRaft(func() {
		err = l.rawNode.Propose(wire.EncodeProposal(l.incarnation, l.lastSequence, data))
	})
	switch {
	case l.rawNode == nil:
		done(l.stateReason)
	case err != nil: // raft has reached its limit of uncommitted proposals
		done(&OverloadedError{"proposals"})
	default:
		l.pending.proposals[l.lastSequence] = done
	}
}

func (l *loop) checkProposal(data []byte) error {
	if err := l.checkLeader(); err != nil {
		return err
	}
	if len(data) == 0 || len(data) > MaxProposalBytes {
		return &TooLargeError{len(data), MaxProposalBytes}
	}
	if len(l.pending.proposals) >= maxPendingOperations {
		return &OverloadedError{"proposals"}
	}
	return nil
}

func (l *loop) completeProposal(sequence uint64) {
	done := l.pending.proposals[sequence]
	if done == nil {
		return
	}
	delete(l.pending.proposals, sequence)
	l.status.Proposals++
	done(nil)
}

func (l *loop) readIndex(done readCallback) {
	err := l.checkLeader()
	if err == nil && len(l.pending.queuedReads) >= maxPendingOperations {
		err = &OverloadedError{"reads"}
	}
	if err != nil {
		done(0, 0, err)
		return
	}
	l.pending.queuedReads = append(l.pending.queuedReads, done)
}

// startReadBatch asks a majority to confirm the queued reads, unless a batch is
// already in progress.
func (l *loop) startReadBatch() {
	if l.pending.readBatch != nil || len(l.pending.queuedReads) == 0 || l.leaderTerm == 0 {
		return
	}
	l.lastSequence++
	requestContext := binary.BigEndian.AppendUint64(nil, l.incarnation)
	requestContext = binary.BigEndian.AppendUint64(requestContext, l.lastSequence)
	l.pending.readBatch = &readBatch{requestContext: requestContext, callbacks: l.pending.queuedReads}
	l.pending.queuedReads = nil
	l.guardRaft(func() { l.rawNode.ReadIndex(requestContext) })
}

func (l *loop) confirmReadBatch(states []raft.ReadState) {
	for _, state := range states {
		batch := l.pending.readBatch
		if batch != nil && bytes.Equal(state.RequestCtx, batch.requestContext) {
			batch.index = state.Index
			batch.confirmed = true
		}
	}
}

func (l *loop) completeReadBatch() {
	batch := l.pending.readBatch
	if batch == nil || !batch.confirmed || batch.index > l.applied.index || l.leaderTerm == 0 {
		return
	}
	l.pending.readBatch = nil
	l.status.Reads += uint64(len(batch.callbacks))
	for _, done := range batch.callbacks {
		done(l.applied.index, l.leaderTerm, nil)
	}
}

// abortPending ends this voter's leadership, if it leads, and fails all pending
// operations with reason.
func (l *loop) abortPending(reason error) {
	if term := l.leaderTerm; term != 0 {
		l.leaderTerm = 0
		l.notifyLeadership(term, false)
	}
	l.failProposals(withUnknownOutcome(reason))
	l.failReads(reason)
	if change := l.pending.voterChange; change != nil {
		l.pending.voterChange = nil
		if change.proposed() {
			reason = withUnknownOutcome(reason)
		}
		change.done(reason)
	}
}

func (l *loop) failProposals(reason error) {
	for _, sequence := range slices.Sorted(maps.Keys(l.pending.proposals)) {
		done := l.pending.proposals[sequence]
		delete(l.pending.proposals, sequence)
		done(reason)
	}
}

func (l *loop) failReads(reason error) {
	var callbacks []readCallback
	if l.pending.readBatch != nil {
		callbacks = l.pending.readBatch.callbacks
		l.pending.readBatch = nil
	}
	callbacks = append(callbacks, l.pending.queuedReads...)
	l.pending.queuedReads = nil
	for _, done := range callbacks {
		done(0, 0, reason)
	}
}

// withUnknownOutcome returns reason as an error with OutcomeUnknown set, for an
// operation that may still be committed.
func withUnknownOutcome(reason error) error {
	if noQuorum, ok := errors.AsType[*NoQuorumError](reason); ok {
		return &NoQuorumError{OutcomeUnknown: true, Err: noQuorum.Err}
	}
	if diskFull, ok := errors.AsType[*DiskFullError](reason); ok {
		return &DiskFullError{Path: diskFull.Path, OutcomeUnknown: true}
	}
	return &NoQuorumError{OutcomeUnknown: true, Err: reason}
}

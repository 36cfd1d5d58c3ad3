package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"example.org/bellstream/internal/boltfile"
	"example.org/bellstream/internal/cluster/consensus/wire"
)

// Limits that raft enforces.
const (
	maxInFlightMessages = 64       // unacknowledged messages with entries, per voter
	maxInFlightBytes    = 8 << 20  // total size of these messages
	maxMessageBytes     = 1 << 20  // of entries; a message holds at least one entry, whatever its size
	maxUncommittedBytes = 16 << 20 // of proposals waiting for a majority
)

// RaftConfig returns the configuration of raft's state machine. It is exported so
// that simulations use the same configuration. applied is the index of the last
// applied entry.
func RaftConfig(id uint64, s raft.Storage, applied uint64, log raft.Logger) *raft.Config {
	return &raft.Config{
		ID:                        id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   s,
		Applied:                   applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInFlightMessages,
		MaxInflightBytes:          maxInFlightBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    log,
	}
}

// startFromStorage restores the last snapshot and starts to vote.
func (l *loop) startFromStorage() {
	l.state = StateVoting
	l.stateReason = nil
	snapshot, err := l.storage.Snapshot()
	if err == nil && !raft.IsEmptySnap(snapshot) {
		err = l.restoreSnapshot(snapshot)
	}
	if err != nil {
		l.fail(&CorruptFileError{Path: l.storage.path, Record: recordSnapshot, Err: err})
		return
	}
	l.startRaft()
}

// startRaft creates raft's state machine from the contents of the file.
func (l *loop) startRaft() {
	l.guardRaft(func() {
		config := RaftConfig(l.nodeID, l.storage, l.applied.index, &raftLogger{l.options.Log})
		rawNode, err := raft.NewRawNode(config)
		if err != nil {
			panic(err)
		}
		l.rawNode = rawNode
	})
}

// guardRaft runs a step of raft's state machine and stops this voter if it panics.
// It panics on inconsistent input, for example if the file was replaced by an older
// copy, which lacks entries that this voter has acknowledged.
func (l *loop) guardRaft(step func()) {
	defer func() {
		if reason := recover(); reason != nil {
			err := fmt.Errorf("messages of others contradict it, as if it was replaced by an older copy: %v", reason)
			l.fail(&CorruptFileError{Path: l.storage.path, Err: err})
		}
	}()
	step()
}

// processReady handles raft's output until there is none left.
func (l *loop) processReady() {
	for l.rawNode != nil {
		l.updateLeadership()
		l.startReadBatch()
		if l.rawNode == nil || !l.rawNode.HasReady() {
			break
		}
		l.handleReady()
	}
	l.publishStatus()
}

// handleReady handles one batch of raft's output. The file is written before any
// message is sent.
func (l *loop) handleReady() {
	var ready raft.Ready
	l.guardRaft(func() { ready = l.rawNode.Ready() })
	if l.rawNode == nil {
		return
	}
	if !l.persist(ready) {
		return
	}
	l.sendMessages(ready.Messages)
	if !l.applyReady(ready) {
		return
	}
	l.confirmReadBatch(ready.ReadStates)
	l.guardRaft(func() { l.rawNode.Advance(ready) })
	l.completeReadBatch()
	l.maybeSnapshot()
}

// persist writes raft's output to the file and reports whether that succeeded. If
// the disk is full, the file is unchanged, and raft is restarted from it once there
// is space.
func (l *loop) persist(ready raft.Ready) bool {
	err := l.storage.saveReady(ready)
	switch {
	case err == nil:
		return true
	case errors.Is(err, boltfile.ErrNoSpace):
		l.options.Log.Error().Str("file", l.storage.path).
			Msg("consensus: disk full: this voter does not vote until there is space")
		l.stopRaft(StateDiskFull, &DiskFullError{Path: l.storage.path})
	default:
		l.fail(&CorruptFileError{Path: l.storage.path, Err: err})
	}
	return false
}

// applyReady applies a snapshot and committed entries, and reports whether this
// voter still votes.
func (l *loop) applyReady(ready raft.Ready) bool {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := l.restoreSnapshot(ready.Snapshot); err != nil {
			l.fail(&CorruptFileError{Path: l.storage.path, Record: recordSnapshot, Err: err})
			return false
		}
	}
	for _, entry := range ready.CommittedEntries {
		l.applyEntry(entry)
		if l.rawNode == nil {
			return false
		}
	}
	return true
}

func (l *loop) applyEntry(entry *raftpb.Entry) {
	l.applied = appliedPosition{index: entry.GetIndex(), term: entry.GetTerm()}
	l.snapshot.bytesSince += len(entry.GetData())
	confChange, change, err := wire.DecodeVoterChange(entry)
	if err != nil { // unexpected: entries are validated on receipt and when the file is read
		record := fmt.Sprintf("entry %d", entry.GetIndex())
		l.fail(&CorruptFileError{Path: l.storage.path, Record: record, Err: err})
		return
	}
	if confChange != nil {
		l.applyVoterChange(confChange, change)
		return
	}
	incarnation, sequence, data, ok := wire.DecodeProposal(entry.GetData())
	if !ok {
		return
	}
	l.options.Apply(entry.GetTerm(), entry.GetIndex(), data)
	if incarnation == l.incarnation {
		l.completeProposal(sequence)
	}
}

// updateLeadership reports the beginning and the end of this voter's leadership.
func (l *loop) updateLeadership() {
	if l.rawNode == nil {
		return
	}
	status := l.rawNode.BasicStatus()
	leads := status.RaftState == raft.StateLeader
	if l.leaderTerm != 0 && (!leads || status.GetTerm() != l.leaderTerm) {
		l.abortPending(&NoQuorumError{})
	}
	if leads && l.leaderTerm == 0 {
		l.leaderTerm = status.GetTerm()
		l.options.Log.Info().Uint64("term", l.leaderTerm).Msg("consensus: this voter became the leader")
		l.notifyLeadership(l.leaderTerm, true)
	}
}

func (l *loop) notifyLeadership(term uint64, leads bool) {
	if l.options.LeadershipChanged != nil {
		l.options.LeadershipChanged(term, leads)
	}
}

// checkLeader returns nil if this voter considers itself the leader, and otherwise
// the reason why it accepts no operations.
func (l *loop) checkLeader() error {
	if l.rawNode == nil {
		return l.stateReason
	}
	if l.leaderTerm != 0 {
		return nil
	}
	name, address := l.currentLeader()
	if name != "" && name != l.options.Name {
		return &NotLeaderError{Leader: name, Address: address}
	}
	return &NoQuorumError{}
}

// currentLeader returns the leader that raft knows or, while this voter does not
// vote, the one that its peers report. The name is empty if none is known, or if this
// voter has no connection to it: raft keeps a leader that has ended until the election
// timeout, and nobody should be sent there.
func (l *loop) currentLeader() (name, address string) {
	if l.rawNode == nil {
		return l.advertisedLeader()
	}
	member := l.members.byID[l.rawNode.BasicStatus().Lead]
	if member == nil {
		return "", ""
	}
	if member.Name != l.options.Name && l.node.transport.connectionTo(member.Name) == nil {
		return "", ""
	}
	return member.Name, member.Address
}

// advertisedLeader returns the leader of the highest term that a peer has reported.
// Leaders without a connection to this voter are skipped.
func (l *loop) advertisedLeader() (name, address string) {
	var latest *wire.Handshake
	for _, peer := range l.peers {
		h := peer.handshake
		if h.Leader == "" || l.node.transport.connectionTo(h.Leader) == nil {
			continue
		}
		if latest == nil || h.Term > latest.Term {
			latest = h
		}
	}
	if latest == nil {
		return "", ""
	}
	return latest.Leader, latest.LeaderAddress
}

func (l *loop) sendMessages(messages []*raftpb.Message) {
	for _, message := range messages {
		to := message.GetTo()
		conn := l.node.transport.connectionTo(l.voterName(to))
		sent := conn != nil && conn.send(wire.Frame{Identity: l.storage.identity(), Raft: message})
		if message.GetType() == raftpb.MsgSnap {
			l.snapshotSentTicks[to] = l.ticks
		}
		if !sent {
			l.guardRaft(func() { l.rawNode.ReportUnreachable(to) })
		}
	}
}

// voterName returns the name of the voter with an ID, or "" if it is unknown. It
// also finds connected voters that are not in this voter's list of members: one
// that was added while this voter was down may request its vote.
func (l *loop) voterName(id uint64) string {
	if member := l.members.byID[id]; member != nil {
		return member.Name
	}
	for _, conn := range l.node.transport.connectedVoters() {
		if wire.NodeID(conn.remote.Name) == id {
			return conn.remote.Name
		}
	}
	return ""
}

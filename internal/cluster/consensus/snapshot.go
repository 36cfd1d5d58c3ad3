package consensus

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/boltfile"
	"example.org/bellstream/internal/cluster/consensus/wire"
)

const snapshotIntervalBytes = 8 << 20 // of entries, between two snapshots

// snapshotProgress decides when the next snapshot is due.
type snapshotProgress struct {
	index      uint64 // of the last snapshot
	bytesSince int    // of entries applied since then
	// voterChanged makes a snapshot due immediately: raft ignores a received
	// snapshot in which the receiver is not a voter.
	voterChanged bool
	attemptTick  uint64 // of the last attempt to write a snapshot
}

func (p *snapshotProgress) written(index uint64) {
	p.index = index
	p.bytesSince = 0
	p.voterChanged = false
}

// restoreSnapshot replaces the members and the application's state by those of a
// snapshot.
func (l *loop) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	state, err := wire.DecodeSnapshotState(snapshot)
	if err != nil {
		return err
	}
	l.members = newMembership(state)
	metadata := snapshot.GetMetadata()
	l.applied = appliedPosition{index: metadata.GetIndex(), term: metadata.GetTerm()}
	l.snapshot.written(l.applied.index)
	if state.Data != nil {
		if err := l.options.Restore(state.Data); err != nil {
			return err
		}
	}
	l.updatePeers()
	return nil
}

// encodeSnapshot returns the content of a snapshot. data is the application's
// state, or nil if there is none yet.
func (l *loop) encodeSnapshot(data []byte) ([]byte, error) {
	state := &wire.SnapshotState{
		Members:      l.members.sorted,
		RemovedNames: l.members.removedNames,
		Data:         data,
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// snapshotDue reports whether enough entries were applied since the last snapshot,
// or the voters have changed. After a failed attempt, the next one is due after
// diskRetryTicks.
func (l *loop) snapshotDue() bool {
	if l.rawNode == nil {
		return false
	}
	entries := l.applied.index - l.snapshot.index
	due := entries >= uint64(l.options.SnapshotCount) || l.snapshot.bytesSince >= snapshotIntervalBytes ||
		l.snapshot.voterChanged
	if !due {
		return false
	}
	return l.status.SnapshotError == "" || l.ticks >= l.snapshot.attemptTick+diskRetryTicks
}

func (l *loop) maybeSnapshot() {
	if !l.snapshotDue() {
		return
	}
	data := l.options.Snapshot()
	if data == nil {
		return
	}
	err := l.writeSnapshot(data)
	l.snapshot.attemptTick = l.ticks
	switch {
	case err == nil:
		l.snapshot.written(l.applied.index)
		l.status.Snapshots++
		l.status.SnapshotError = ""
	case errors.Is(err, boltfile.ErrCommitFailed):
		l.fail(&CorruptFileError{Path: l.storage.path, Err: err})
	default:
		l.status.SnapshotError = "no snapshot: " + err.Error()
		l.options.Log.Error().Err(err).
			Msg("consensus: failed to write a snapshot: the log grows until one is written")
	}
}

func (l *loop) writeSnapshot(data []byte) error {
	encoded, err := l.encodeSnapshot(data)
	if err != nil {
		return err
	}
	if len(encoded) > wire.MaxSnapshotBytes {
		return &TooLargeError{len(encoded), wire.MaxSnapshotBytes}
	}
	keep := uint64(l.options.SnapshotCount) / 4
	return l.storage.saveSnapshot(l.applied.index, encoded, keep)
}

// expireSentSnapshots reports to raft that snapshots sent snapshotLostTicks ago are
// finished. Until then, raft sends no entries to the voter. The voter's next
// response shows whether the snapshot has arrived.
func (l *loop) expireSentSnapshots() {
	if l.rawNode == nil {
		return
	}
	for id, sentTick := range l.snapshotSentTicks {
		if l.ticks-sentTick < snapshotLostTicks {
			continue
		}
		delete(l.snapshotSentTicks, id)
		l.guardRaft(func() { l.rawNode.ReportSnapshot(id, raft.SnapshotFinish) })
	}
}

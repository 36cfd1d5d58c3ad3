package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/boltfile"
	"example.org/bellstream/internal/cluster/consensus/wire"
)

var (
	errInvalidRecord = errors.New("its checksum or content is invalid")
	errEntryMissing  = errors.New("it is missing")
	errNotVoterFile  = errors.New("it is not a voter's file")
	errBucketMissing = errors.New("one of its two buckets is missing")
)

// load reads and validates all records of the file.
func (s *storage) load(tx *bbolt.Tx) error {
	records := tx.Bucket(bucketRecords)
	log := tx.Bucket(bucketLog)
	if records == nil && log == nil {
		if key, _ := tx.Cursor().First(); key != nil {
			return s.corrupt("", errNotVoterFile)
		}
		return nil // a new file
	}
	if records == nil || log == nil {
		return s.corrupt("", errBucketMissing)
	}
	owner, err := s.loadOwner(records)
	if err != nil {
		return err
	}
	state, err := s.loadLogState(records, owner)
	if err != nil {
		return err
	}
	snapshot, err := s.loadSnapshot(records)
	if err != nil {
		return err
	}
	entries, err := s.loadEntries(log, snapshot, state)
	if err != nil {
		return err
	}
	s.owner = owner
	commit := max(state.Commit, snapshot.GetMetadata().GetIndex())
	s.hardState = &raftpb.HardState{Term: &state.Term, Vote: &state.Vote, Commit: &commit}
	return s.Append(entries)
}

// readRecord decodes the record of a key, and reports whether it exists.
func readRecord(records *bbolt.Bucket, key []byte, record proto.Message) (bool, error) {
	value := records.Get(key)
	if value == nil {
		return false, nil
	}
	encoded, ok := boltfile.DecodeRecord(key, value)
	if !ok || proto.Unmarshal(encoded, record) != nil {
		return true, errInvalidRecord
	}
	return true, nil
}

func (s *storage) loadOwner(records *bbolt.Bucket) (*wire.FileOwner, error) {
	owner := &wire.FileOwner{}
	found, err := readRecord(records, keyOwner, owner)
	validIdentity := len(owner.Identity) == 0 || len(owner.Identity) == len(wire.Identity{})
	if err != nil || !found || len(owner.Seed) != wire.SeedLen || !validIdentity {
		return nil, s.corrupt(recordOwner, errors.Join(errors.New("it is missing or invalid"), err))
	}
	return owner, nil
}

func (s *storage) loadLogState(records *bbolt.Bucket, owner *wire.FileOwner) (*wire.LogState, error) {
	state := &wire.LogState{}
	found, err := readRecord(records, keyLogState, state)
	if err != nil {
		return nil, s.corrupt(recordLogState, err)
	}
	if found != (len(owner.Identity) > 0) {
		return nil, s.corrupt(recordLogState, errors.New("it is missing, or present although there is no identity"))
	}
	return state, nil
}

// loadSnapshot returns an empty snapshot if there is none.
func (s *storage) loadSnapshot(records *bbolt.Bucket) (*raftpb.Snapshot, error) {
	snapshot := &raftpb.Snapshot{}
	found, err := readRecord(records, keySnapshot, snapshot)
	if err != nil {
		return nil, s.corrupt(recordSnapshot, err)
	}
	if !found {
		return snapshot, nil
	}
	if _, err := wire.DecodeSnapshotState(snapshot); err != nil {
		return nil, s.corrupt(recordSnapshot, err)
	}
	if err := s.ApplySnapshot(snapshot); err != nil {
		return nil, s.corrupt(recordSnapshot, err)
	}
	s.confState = snapshot.GetMetadata().GetConfState()
	return snapshot, nil
}

// loadEntries returns the entries after the snapshot. It compares the last one with
// the log state, because a log whose last entries are missing looks valid by itself.
func (s *storage) loadEntries(
	log *bbolt.Bucket, snapshot *raftpb.Snapshot, state *wire.LogState,
) ([]*raftpb.Entry, error) {
	lastIndex := snapshot.GetMetadata().GetIndex()
	lastTerm := snapshot.GetMetadata().GetTerm()
	var entries []*raftpb.Entry
	err := log.ForEach(func(key, value []byte) error {
		entry, err := decodeEntry(key, value, lastIndex, lastTerm)
		if err != nil {
			return s.corrupt(fmt.Sprintf("entry after %d", lastIndex), err)
		}
		lastIndex = entry.GetIndex()
		lastTerm = entry.GetTerm()
		entries = append(entries, entry)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if lastIndex != state.LastIndex || lastTerm != state.LastTerm || state.Commit > lastIndex {
		err := fmt.Errorf("the log ends with entry %d of term %d, not with entry %d of term %d",
			lastIndex, lastTerm, state.LastIndex, state.LastTerm)
		return nil, s.corrupt(fmt.Sprintf("entry %d", state.LastIndex), err)
	}
	return entries, nil
}

// decodeEntry decodes and validates the entry that follows the one with lastIndex
// and lastTerm.
func decodeEntry(key, value []byte, lastIndex, lastTerm uint64) (*raftpb.Entry, error) {
	if len(key) != 8 || binary.BigEndian.Uint64(key) != lastIndex+1 {
		return nil, errEntryMissing
	}
	entry := &raftpb.Entry{}
	encoded, ok := boltfile.DecodeRecord(key, value)
	if !ok || proto.Unmarshal(encoded, entry) != nil {
		return nil, errInvalidRecord
	}
	if entry.GetIndex() != lastIndex+1 || entry.GetTerm() < lastTerm {
		return nil, errInvalidRecord
	}
	if _, _, err := wire.DecodeVoterChange(entry); err != nil {
		return nil, err
	}
	return entry, nil
}

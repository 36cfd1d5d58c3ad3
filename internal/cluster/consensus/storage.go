package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/boltfile"
	"example.org/bellstream/internal/cluster/consensus/wire"
)

const (
	fileName          = "accord.db"
	fileFormatVersion = 1
	spaceProbeBytes   = 64 << 10 // written to test whether there is space again
)

var (
	bucketRecords = []byte("one") // single records by key
	bucketLog     = []byte("log") // entries by index

	keyOwner      = []byte("self")
	keyLogState   = []byte("mark")
	keySnapshot   = []byte("snapshot")
	keySpaceProbe = []byte("room")
)

// Names of records in errors.
const (
	recordOwner    = "record self"
	recordLogState = "record mark"
	recordSnapshot = "record snapshot"
)

// storage is a voter's file: its owner, raft's hard state, the last snapshot and
// the entries after it. The snapshot and entries that raft reads are also kept in
// memory, bounded by compaction.
type storage struct {
	*raft.MemoryStorage
	path      string
	file      *boltfile.File
	owner     *wire.FileOwner
	hardState *raftpb.HardState
	confState *raftpb.ConfState // as of the last applied entry
}

// InitialState implements raft.Storage.
func (s *storage) InitialState() (*raftpb.HardState, *raftpb.ConfState, error) {
	return proto.CloneOf(s.hardState), proto.CloneOf(s.confState), nil
}

// openStorage opens a voter's file. If there is none, it creates one with a new
// seed. A corrupt file is not modified; the error is a CorruptFileError that names
// the record.
func openStorage(dir, name, cluster string) (*storage, error) {
	s := &storage{
		MemoryStorage: raft.NewMemoryStorage(),
		path:          filepath.Join(dir, fileName),
		hardState:     &raftpb.HardState{},
		confState:     raftpb.EnsureConfState(nil),
	}
	_, err := os.Stat(s.path)
	isNew := errors.Is(err, fs.ErrNotExist)
	if s.file, err = boltfile.Open(s.path, s.load); err != nil {
		return nil, s.openError(err)
	}
	if s.owner == nil {
		err = s.create(name, cluster)
		if err == nil && isNew {
			err = syncDirectory(dir) // so that the new file survives a power failure
		}
	}
	if err != nil {
		err = fmt.Errorf("consensus: %s: %w", s.path, err)
	} else {
		err = s.checkOwner(name, cluster)
	}
	if err != nil {
		s.file.Close()
		return nil, err
	}
	return s, nil
}

func (s *storage) openError(err error) error {
	var corrupt *CorruptFileError
	switch {
	case errors.As(err, &corrupt):
		return corrupt
	case errors.Is(err, boltfile.ErrCorrupt):
		return s.corrupt("", err)
	}
	return fmt.Errorf("consensus: %w", err)
}

// create writes the first records of an empty file.
func (s *storage) create(name, cluster string) error {
	seed := make([]byte, wire.SeedLen)
	rand.Read(seed)
	s.owner = &wire.FileOwner{FormatVersion: fileFormatVersion, Name: name, Cluster: cluster, Seed: seed}
	return s.file.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucket(bucketLog); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketRecords); err != nil {
			return err
		}
		return writeRecord(tx, keyOwner, s.owner)
	})
}

func (s *storage) checkOwner(name, cluster string) error {
	if s.owner.Name != name || s.owner.Cluster != cluster {
		return fmt.Errorf("consensus: %s is the file of voter %q of cluster %q: give voter %q of %q its own directory",
			s.path, s.owner.Name, s.owner.Cluster, name, cluster)
	}
	if s.owner.FormatVersion > fileFormatVersion {
		return fmt.Errorf("consensus: %s has format version %d, this build supports at most %d: start a newer build",
			s.path, s.owner.FormatVersion, fileFormatVersion)
	}
	return nil
}

func syncDirectory(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (s *storage) corrupt(record string, err error) error {
	return &CorruptFileError{Path: s.path, Record: record, Err: err}
}

func writeRecord(tx *bbolt.Tx, key []byte, record proto.Message) error {
	encoded, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketRecords).Put(key, boltfile.EncodeRecord(key, encoded))
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func (s *storage) identity() wire.Identity {
	var identity wire.Identity
	copy(identity[:], s.owner.Identity)
	return identity
}

// saveIdentity writes the identity of the cluster that this voter joins. first is
// the initial snapshot if this voter creates the cluster, and nil otherwise.
func (s *storage) saveIdentity(identity wire.Identity, first *raftpb.Snapshot) error {
	owner := proto.CloneOf(s.owner)
	owner.Identity = identity[:]
	index := first.GetMetadata().GetIndex()
	term := first.GetMetadata().GetTerm()
	err := s.file.Update(func(tx *bbolt.Tx) error {
		if err := writeRecord(tx, keyOwner, owner); err != nil {
			return err
		}
		if first != nil {
			if err := writeRecord(tx, keySnapshot, first); err != nil {
				return err
			}
		}
		return writeRecord(tx, keyLogState, &wire.LogState{Term: term, Commit: index, LastIndex: index, LastTerm: term})
	})
	if err != nil {
		return err
	}
	s.owner = owner
	if first == nil {
		return nil
	}
	s.hardState = &raftpb.HardState{Term: &term, Vote: new(uint64), Commit: &index}
	s.confState = first.GetMetadata().GetConfState()
	return s.ApplySnapshot(first)
}

// saveReady writes the part of raft's output that has to be durable before messages
// are sent. If only the commit index has changed, nothing is written until the next
// change: raft learns the index again after a restart.
func (s *storage) saveReady(ready raft.Ready) error {
	hardState := s.hardState
	if !raft.IsEmptyHardState(ready.HardState) {
		hardState = ready.HardState
	}
	snapshot := ready.Snapshot
	if raft.IsEmptySnap(snapshot) {
		snapshot = nil
	}
	if len(ready.Entries) == 0 && snapshot == nil && !raft.MustSync(hardState, s.hardState, 0) {
		s.hardState = hardState
		return nil
	}
	state, err := s.logState(hardState)
	if err != nil {
		return err
	}
	err = s.file.Update(func(tx *bbolt.Tx) error {
		if snapshot != nil {
			return writeWithSnapshot(tx, state, snapshot, ready.Entries)
		}
		return writeEntries(tx, state, ready.Entries)
	})
	if err != nil {
		return err
	}
	s.hardState = hardState
	if snapshot != nil {
		if err := s.ApplySnapshot(snapshot); err != nil {
			return err
		}
		s.confState = snapshot.GetMetadata().GetConfState()
	}
	return s.Append(ready.Entries)
}

// logState returns a hard state and the position of the log's last entry.
func (s *storage) logState(hardState *raftpb.HardState) (*wire.LogState, error) {
	lastIndex, err := s.LastIndex()
	if err != nil {
		return nil, err
	}
	lastTerm, err := s.Term(lastIndex)
	if err != nil {
		return nil, err
	}
	return &wire.LogState{
		Term:      hardState.GetTerm(),
		Vote:      hardState.GetVote(),
		Commit:    hardState.GetCommit(),
		LastIndex: lastIndex,
		LastTerm:  lastTerm,
	}, nil
}

// writeWithSnapshot replaces the log by a snapshot and the entries after it.
func writeWithSnapshot(tx *bbolt.Tx, state *wire.LogState, snapshot *raftpb.Snapshot, entries []*raftpb.Entry) error {
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(bucketLog); err != nil {
		return err
	}
	if err := writeRecord(tx, keySnapshot, snapshot); err != nil {
		return err
	}
	state.LastIndex = snapshot.GetMetadata().GetIndex()
	state.LastTerm = snapshot.GetMetadata().GetTerm()
	if err := putEntries(tx, state, entries); err != nil {
		return err
	}
	return writeRecord(tx, keyLogState, state)
}

// writeEntries writes entries, and deletes all old entries after them, which a
// former leader has proposed.
func writeEntries(tx *bbolt.Tx, state *wire.LogState, entries []*raftpb.Entry) error {
	oldLast := state.LastIndex
	if err := putEntries(tx, state, entries); err != nil {
		return err
	}
	log := tx.Bucket(bucketLog)
	for index := state.LastIndex + 1; index <= oldLast; index++ {
		if err := log.Delete(entryKey(index)); err != nil {
			return err
		}
	}
	return writeRecord(tx, keyLogState, state)
}

func putEntries(tx *bbolt.Tx, state *wire.LogState, entries []*raftpb.Entry) error {
	log := tx.Bucket(bucketLog)
	for _, entry := range entries {
		encoded, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		key := entryKey(entry.GetIndex())
		if err := log.Put(key, boltfile.EncodeRecord(key, encoded)); err != nil {
			return err
		}
		state.LastIndex = entry.GetIndex()
		state.LastTerm = entry.GetTerm()
	}
	return nil
}

// saveSnapshot replaces the entries up to index by a snapshot. The last keep of these
// entries stay in memory for voters that lag slightly behind.
func (s *storage) saveSnapshot(index uint64, data []byte, keep uint64) error {
	term, err := s.Term(index)
	if err != nil {
		return err
	}
	metadata := &raftpb.SnapshotMetadata{ConfState: proto.CloneOf(s.confState), Index: &index, Term: &term}
	snapshot := &raftpb.Snapshot{Data: data, Metadata: metadata}
	state, err := s.logState(s.hardState)
	if err != nil {
		return err
	}
	err = s.file.Update(func(tx *bbolt.Tx) error {
		if err := writeRecord(tx, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := deleteEntries(tx, index); err != nil {
			return err
		}
		return writeRecord(tx, keyLogState, state)
	})
	if err != nil {
		return err
	}
	if _, err := s.CreateSnapshot(index, s.confState, data); err != nil {
		return err
	}
	first, err := s.FirstIndex()
	if err != nil || index < first+keep {
		return err
	}
	return s.Compact(index - keep)
}

// deleteEntries deletes the entries up to and including index.
func deleteEntries(tx *bbolt.Tx, index uint64) error {
	cursor := tx.Bucket(bucketLog).Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= index; key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// probeSpace returns an error if spaceProbeBytes can't be written to the file.
func (s *storage) probeSpace() error {
	return s.file.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketRecords).Put(keySpaceProbe, make([]byte, spaceProbeBytes))
	})
}

func (s *storage) close() error { return s.file.Close() }

// Package jobstore keeps the job ledger's records on disk. Queued records are committed in
// groups; a record is durable once its commit has returned.
package jobstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"go.etcd.io/bbolt"

	"example.org/bellstream/internal/boltfile"
	"example.org/bellstream/internal/jobledger"
)

const (
	maxRecordsPerCommit = 512
	maxQueuedRecords    = 4096 // records that wait for a commit; if the queue is full, Append blocks
	maxIDBytes          = 1 << 10
)

var (
	// ErrCommitFailed is returned after a commit that may have left the file in any state.
	ErrCommitFailed = boltfile.ErrCommitFailed
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("jobstore: closed")
)

// Store is an open file. Its methods may be called from any goroutine.
type Store struct {
	file  *boltfile.File
	queue chan pendingWrite
	wg    sync.WaitGroup

	closeMu sync.RWMutex // guards closed; held for reading while a record is queued
	closed  bool

	nextNumber map[string]uint64 // of each job's next record; used only by Open and writeLoop
}

// pendingWrite is a record to append, or a job to delete, that waits for its commit.
type pendingWrite struct {
	id     string
	record []byte // nil if the job's records are to be deleted
	done   func(error)
}

// Open opens a file, or creates it if it does not exist, and returns the ledger that results
// from its records. If a record is corrupt or missing, the error names the job and the record
// and the file is not changed. Open also fails if another process has the file open.
func Open(path string) (*Store, *jobledger.Ledger, error) {
	s := &Store{
		queue:      make(chan pendingWrite, maxQueuedRecords),
		nextNumber: map[string]uint64{},
	}
	ledger := jobledger.New()
	isNew := false
	var err error
	s.file, err = boltfile.Open(path, func(tx *bbolt.Tx) error {
		isNew = isEmpty(tx)
		if isNew {
			return nil
		}
		return s.load(tx, ledger)
	})
	if err != nil {
		return nil, nil, fmt.Errorf("jobstore: %w", err)
	}
	if isNew {
		if err := s.file.Update(create); err != nil {
			s.file.Close()
			return nil, nil, fmt.Errorf("jobstore: %s: %w", path, err)
		}
	}
	s.wg.Go(s.writeLoop)
	return s, ledger, nil
}

// load applies all records of the file to the ledger.
func (s *Store) load(tx *bbolt.Tx, ledger *jobledger.Ledger) error {
	if err := checkFormat(tx); err != nil {
		return err
	}
	return ForEachRecord(tx, func(id string, number uint64, record jobledger.Record) error {
		if number != s.nextNumber[id] {
			return fmt.Errorf("job %q: record %d is missing", id, s.nextNumber[id])
		}
		s.nextNumber[id]++
		return ledger.Apply(record)
	})
}

// Append queues a record to be written. It calls done from another goroutine, with nil once
// the record is durable, or with an error. Records of one job are written in the order of
// the calls. Append blocks while the queue is full.
func (s *Store) Append(record jobledger.Record, done func(error)) {
	encoded, err := json.Marshal(record)
	s.enqueue(pendingWrite{id: record.ID, record: encoded, done: done}, err)
}

// Delete queues the deletion of a job's records and calls done as Append does.
func (s *Store) Delete(id string, done func(error)) {
	s.enqueue(pendingWrite{id: id, done: done}, nil)
}

func (s *Store) enqueue(write pendingWrite, err error) {
	if err == nil && (write.id == "" || len(write.id) > maxIDBytes) {
		err = fmt.Errorf("jobstore: ID has %d bytes, want 1 to %d", len(write.id), maxIDBytes)
	}
	s.closeMu.RLock()
	defer s.closeMu.RUnlock()
	if err == nil && s.closed {
		err = ErrClosed
	}
	if err != nil {
		go write.done(err)
		return
	}
	s.queue <- write
}

// writeLoop commits queued writes in groups until the queue is closed and empty.
func (s *Store) writeLoop() {
	for write := range s.queue {
		group := s.collect(write)
		err := s.commit(group)
		for _, write := range group {
			write.done(err)
		}
	}
}

// collect returns a group of a write and those queued behind it, at most maxRecordsPerCommit
// together. It does not wait for more.
func (s *Store) collect(first pendingWrite) []pendingWrite {
	group := []pendingWrite{first}
	for len(group) < maxRecordsPerCommit {
		select {
		case write, open := <-s.queue:
			if !open {
				return group
			}
			group = append(group, write)
		default:
			return group
		}
	}
	return group
}

// commit writes a group atomically.
func (s *Store) commit(group []pendingWrite) error {
	var next map[string]uint64 // numbers of the next records of the jobs in this group
	err := s.file.Update(func(tx *bbolt.Tx) error {
		next = map[string]uint64{}
		for _, write := range group {
			number, changed := next[write.id]
			if !changed {
				number = s.nextNumber[write.id]
			}
			var err error
			if next[write.id], err = writeJob(tx, write, number); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("jobstore: %w", err)
	}
	for id, number := range next {
		if number == 0 {
			delete(s.nextNumber, id)
		} else {
			s.nextNumber[id] = number
		}
	}
	return nil
}

// writeJob appends a record or deletes all records of a job, and returns the
// number of the job's next record.
func writeJob(tx *bbolt.Tx, write pendingWrite, number uint64) (uint64, error) {
	records := tx.Bucket(bucketRecords)
	if write.record != nil {
		key := recordKey(write.id, number)
		return number + 1, records.Put(key, boltfile.EncodeRecord(key, write.record))
	}
	for i := range number {
		if err := records.Delete(recordKey(write.id, i)); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// Close waits until the queued writes are committed and closes the file. Further calls do nothing.
func (s *Store) Close() error {
	if !s.closeQueue() {
		return nil
	}
	s.wg.Wait()
	return s.file.Close()
}

// closeQueue closes the queue and reports whether it was open before.
func (s *Store) closeQueue() bool {
	s.closeMu.Lock()
	defer s.closeMu.Unlock()
	if s.closed {
		return false
	}
	s.closed = true
	close(s.queue)
	return true
}

// Package boltfile opens bbolt files and detects corruption: a corrupt file leads to an
// error instead of a panic or the silent use of an older state, stored values carry
// checksums, and a full disk is distinguished from other failures of a commit.
package boltfile

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const lockTimeout = 200 * time.Millisecond // for the wait if another process has the file open

var (
	// ErrNoSpace is returned if the disk is full. The file is unchanged and may be
	// written again.
	ErrNoSpace = errors.New("not written: the disk is full")
	// ErrCommitFailed is returned after any other failed commit, which may have
	// left the file in any state.
	ErrCommitFailed = errors.New("a commit failed: the file may be in any state and is no longer written")
	// ErrCorrupt is returned if the pages of the file are invalid.
	ErrCorrupt = errors.New("corrupt pages")
)

// File is an open file. Its methods may be called from any goroutine.
type File struct {
	// Commit runs a transaction. It is db.Update, unless a test replaces it.
	Commit func(func(*bbolt.Tx) error) error

	db      *bbolt.DB
	mu      sync.Mutex
	failure error
	// panicked is set after a panic in a commit. The file then stays open, because
	// closing it would wait for the transaction that never ended.
	panicked bool
}

// Open opens a file, or creates it if it does not exist, and calls load to read its
// content. If the library panics on corrupt pages meanwhile, Open returns an error that
// matches ErrCorrupt. It also fails if another process has the file open.
func Open(path string, load func(*bbolt.Tx) error) (file *File, err error) {
	// On invalid pages the library panics, or reads beyond the end of the file.
	// The file then stays open, because the library does not release it.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			file = nil
			err = fmt.Errorf("%s: %w: %v", path, ErrCorrupt, reason)
		}
	}()
	// With the array type the same commits write the same file, which a fault may depend on; the map type allocates
	// pages in random order. NoFreelistSync stays off: if the list of free pages is not written with each commit, the
	// library searches for them in a goroutine of its own, in which a panic can't be recovered.
	options := &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistArrayType}
	db, err := bbolt.Open(path, 0o600, options)
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has the file open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err = check(path); err == nil {
		err = db.View(load)
	}
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &File{Commit: db.Update, db: db}, nil
}

// check verifies the pages of a file. It returns an error that matches ErrCorrupt if one is invalid.
func check(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	last, err := checkMetaPages(file)
	if err != nil {
		return err
	}
	return checkPages(file, last)
}

// Update commits a change atomically. An error matches ErrNoSpace or ErrCommitFailed.
// After ErrCommitFailed, every later call returns the same error and writes nothing.
func (f *File) Update(change func(*bbolt.Tx) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return f.failure
	}
	err := f.commit(change)
	switch {
	case err == nil:
		return nil
	case isNoSpace(err):
		return fmt.Errorf("%w: %w", ErrNoSpace, err) // rolled back
	}
	f.failure = fmt.Errorf("%w (%w)", ErrCommitFailed, err)
	return f.failure
}

// isNoSpace reports whether the system refused to extend the file, because of a full
// disk, a quota, or a limit of the process. The library returns some of these errors as
// text only, so their texts are compared too.
func isNoSpace(err error) bool {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, errno) || strings.HasSuffix(err.Error(), ": "+errno.Error()) {
			return true
		}
	}
	return false
}

// View runs a read-only transaction.
func (f *File) View(read func(*bbolt.Tx) error) error { return f.db.View(read) }

// commit runs a transaction and turns a panic into an error that matches ErrCorrupt. A
// panic is still possible here: reading the content at Open touches only pages in use,
// while a commit also uses pages that the file lists as free, which may be corrupt.
func (f *File) commit(change func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			f.panicked = true
			err = fmt.Errorf("%w: %v", ErrCorrupt, reason)
		}
	}()
	return f.Commit(change)
}

// Close waits for running transactions and closes the file. After a panic in a commit it leaves the file open and
// returns the failure.
func (f *File) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.panicked {
		return f.failure
	}
	return f.db.Close()
}

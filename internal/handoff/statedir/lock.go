package statedir

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lockTimeout       = 300 * time.Millisecond
	lockRetryInterval = 2 * time.Millisecond
)

var sleep = time.Sleep // replaced by a test

// lock keeps other processes from changing the folder until unlock is called. It
// fails after lockTimeout, so that a process that is stopped while it holds the
// lock doesn't delay commands.
func (m *Membership) lock() (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(m.path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(lockTimeout)
	if time.Since(m.lockTimedOut) < modTimeResolution {
		deadline = time.Time{} // after a recent timeout, try only once: waits of several calls would add up
	}
	for {
		if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return func() { f.Close() }, nil
		}
		if time.Now().After(deadline) {
			f.Close()
			m.lockTimedOut = time.Now()
			return nil, fmt.Errorf("the lock of %s is held by another process", m.path)
		}
		sleep(lockRetryInterval)
	}
}

package statedir

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/handoff"
)

const maxStateBytes = 32 // read from a process's state file

func (m *Membership) statePath(id uint64) string {
	return filepath.Join(m.path, processPrefix+strconv.FormatUint(id, 10))
}

// writeStateFile replaces this process's state file. The new file is locked before
// it is renamed into place, so other processes never see it unlocked, and the old
// file is closed only after that.
func (m *Membership) writeStateFile() error {
	f, err := os.CreateTemp(m.path, temporaryPattern)
	if err != nil {
		return err
	}
	if err := m.publishStateFile(f); err != nil {
		os.Remove(f.Name())
		f.Close()
		return err
	}
	if m.stateFile != nil {
		m.stateFile.Close()
	}
	m.stateFile = f
	return nil
}

func (m *Membership) publishStateFile(f *os.File) error {
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return err
	}
	if _, err := f.WriteString(string(m.state) + "\n"); err != nil {
		return err
	}
	return os.Rename(f.Name(), m.statePath(m.id))
}

// parseName returns the process ID in the name of a file.
func parseName(name, prefix string) (id uint64, ok bool) {
	suffix, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(suffix, 10, 63)
	return id, err == nil
}

// processIDs returns the IDs of the processes that have a state file.
func (m *Membership) processIDs() map[uint64]bool { return m.idsOfFiles(processPrefix) }

// idsOfFiles returns the IDs of the processes that have a file with a prefix.
func (m *Membership) idsOfFiles(prefix string) map[uint64]bool {
	ids := map[uint64]bool{}
	entries, err := os.ReadDir(m.path)
	m.logError("read the folder", err)
	for _, entry := range entries {
		if id, ok := parseName(entry.Name(), prefix); ok {
			ids[id] = true
		}
	}
	return ids
}

// readProcesses returns the running processes, this one first.
func (m *Membership) readProcesses() []handoff.Process {
	processes := []handoff.Process{{ID: m.id, State: m.state}}
	for id := range m.processIDs() {
		if id == m.id {
			continue
		}
		if state, running := m.readProcess(id); running {
			processes = append(processes, handoff.Process{ID: id, State: state})
		}
	}
	return processes
}

// adoptJobIDs takes over the job IDs of processes that have left: they have removed their state file.
func (m *Membership) adoptJobIDs() {
	for id := range m.idsOfFiles(jobIDsPrefix) {
		if id == m.id {
			continue
		}
		if _, err := os.Stat(m.statePath(id)); errors.Is(err, fs.ErrNotExist) {
			m.jobIDs.adopt(id)
		}
	}
}

// readProcess returns the state of another process. A running process holds the
// lock of its state file. If the process has ended, its state file is removed and its job IDs
// are taken over.
func (m *Membership) readProcess(id uint64) (state handoff.ProcessState, running bool) {
	f, err := os.Open(m.statePath(id))
	if err != nil {
		return "", false
	}
	defer f.Close()
	if err := unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB); err != nil {
		content := make([]byte, maxStateBytes)
		n, _ := f.Read(content)
		return handoff.ProcessState(strings.TrimSpace(string(content[:n]))), true
	}
	if !m.isCurrent(f, id) {
		return m.readProcess(id) // the process has published a new state since the file was opened
	}
	os.Remove(m.statePath(id))
	m.jobIDs.adopt(id)
	return "", false
}

// isCurrent reports whether f is still the state file of a process.
func (m *Membership) isCurrent(f *os.File, id uint64) bool {
	opened, err := f.Stat()
	if err != nil {
		return false
	}
	current, err := os.Stat(m.statePath(id))
	return err == nil && os.SameFile(opened, current)
}

package statedir

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const maxJobIDReadBytes = 1 << 20 // per process and call

func (m *Membership) jobIDPath(id uint64) string {
	return filepath.Join(m.path, jobIDsPrefix+strconv.FormatUint(id, 10))
}

// PublishJobIDs makes the IDs of jobs that this process has accepted available to the other processes.
func (m *Membership) PublishJobIDs(ids []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(ids) == 0 || m.stateFile == nil {
		return
	}
	m.logError("publish job IDs", m.appendJobIDs(ids))
}

func (m *Membership) appendJobIDs(ids []string) error {
	if m.jobIDFile == nil {
		f, err := os.OpenFile(m.jobIDPath(m.id), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		m.jobIDFile = f
	}
	_, err := m.jobIDFile.WriteString(strings.Join(ids, "\n") + "\n")
	return err
}

// ReadJobIDs returns the IDs that other processes have published since the last
// call. It must be called before Refresh, which removes the files of processes
// that have ended.
func (m *Membership) ReadJobIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, process := range m.processes {
		if process.ID != m.id {
			ids = append(ids, m.readJobIDs(process.ID)...)
		}
	}
	return ids
}

func (m *Membership) readJobIDs(id uint64) []string {
	f, err := os.Open(m.jobIDPath(id))
	if err != nil {
		return nil // the process has published no IDs
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil
	}
	// The buffer is not larger than the new content, because this is called 200 times per second.
	offset := m.jobIDOffsets[id]
	content := make([]byte, min(max(info.Size()-offset, 0), maxJobIDReadBytes))
	n, _ := f.ReadAt(content, offset)
	end := bytes.LastIndexByte(content[:n], '\n') + 1 // an incomplete line is read later
	if end == 0 {
		return nil
	}
	m.jobIDOffsets[id] += int64(end)
	return strings.Split(string(content[:end-1]), "\n")
}

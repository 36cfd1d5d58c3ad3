// Package statedir stores the state that the processes of one dispatcher share in a
// folder: what operators' commands have set, the IDs of accepted jobs, and which
// processes are running. A running process holds a file lock, which the system
// releases when the process ends.
package statedir

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"example.org/bellstream/internal/handoff"
)

// Names in the folder.
const (
	operatorStateName = "shared"
	lockName          = "lock"
	processPrefix     = "process-"
	jobIDsPrefix      = "ids-"
	temporaryPattern  = "new-"
)

const (
	maxOperatorStateBytes = 1 << 20
)

// Membership is the membership of this process in the folder. Its methods may be
// called from any goroutine.
type Membership struct {
	path   string
	id     uint64
	errors *errorLog
	jobIDs *jobIDLog

	mu            sync.Mutex
	stateFile     *os.File // locked while the process is running; nil after Leave
	state         handoff.ProcessState
	operatorState *handoff.OperatorState
	processes     []handoff.Process // running processes, including this one
	folder        folderWatch
	lockTimedOut  time.Time // when the lock last timed out
}

// Path returns the path of a dispatcher's folder in a folder for temporary files,
// which several dispatchers may share.
func Path(tmp, name, listen string) string {
	hash := fnv.New32a()
	fmt.Fprintf(hash, "%s\x00%s", name, listen)
	plain := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, name)
	return filepath.Join(tmp, fmt.Sprintf("bellstream-%.32s-%08x", plain, hash.Sum32()))
}

// Join adds this process to the folder, in the state Starting. It creates the folder if it does not exist.
func Join(path string, logf func(string, ...any)) (*Membership, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	m := &Membership{
		path:          path,
		errors:        &errorLog{logf: logf},
		state:         handoff.Starting,
		operatorState: &handoff.OperatorState{},
		folder:        folderWatch{path: path},
	}
	unlock, err := m.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	m.id = m.newID()
	m.jobIDs = newJobIDLog(path, m.id, m.errors)
	if err := m.writeStateFile(); err != nil {
		return nil, err
	}
	m.refresh()
	return m, nil
}

// newID returns the current Unix time in milliseconds, or a higher ID if the folder
// has processes with that ID or above. A new process is thus not taken for one that
// has ended.
func (m *Membership) newID() uint64 {
	id := uint64(time.Now().UnixMilli())
	for other := range m.processIDs() {
		id = max(id, other+1)
	}
	return id
}

// View is what a process needs to know about the others.
type View struct {
	OperatorState  *handoff.OperatorState
	IsLeader       bool // whether this process accepts new clients
	OtherProcesses int  // number of other running processes
	AwaitsJobIDs   bool // an earlier process has not published the IDs that it knows
}

func (m *Membership) view() View {
	return View{
		OperatorState:  m.operatorState,
		IsLeader:       handoff.IsLeader(m.id, m.processes),
		OtherProcesses: len(m.processes) - 1,
		AwaitsJobIDs:   m.awaitsJobIDs(),
	}
}

// Refresh reads the folder if it may have changed, and passes the result to adopt.
// Calls of Refresh and Update do not overlap, so adopt never gets an older result
// after a newer one.
func (m *Membership) Refresh(adopt func(View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	adopt(m.view())
}

// Update changes the operators' state and passes the result to adopt. If the folder
// can't be locked or written, that is logged: the other processes may not get the
// change, but adopt still does. An error of change is returned, and nothing changes.
func (m *Membership) Update(
	change func(*handoff.OperatorState) (*handoff.OperatorState, error), adopt func(View),
) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	unlock, err := m.lock()
	if err == nil {
		defer unlock()
		m.folder.forceRead()
		m.refresh()
	}
	m.logError("lock the folder", err)
	next, err := change(m.operatorState)
	if err != nil {
		return err
	}
	if next != m.operatorState {
		m.operatorState = next
		m.logError("write "+operatorStateName, m.writeOperatorState(next.Encode()))
	}
	adopt(m.view())
	return nil
}

// SetState publishes the state of this process.
func (m *Membership) SetState(state handoff.ProcessState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == state || m.stateFile == nil {
		return
	}
	m.state = state
	m.logError("publish state "+string(state), m.writeStateFile())
	m.folder.forceRead()
	m.refresh()
}

// Leave removes this process from the folder.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stateFile == nil {
		return
	}
	os.Remove(m.statePath(m.id))
	m.jobIDs.close(len(m.readProcesses()) > 1)
	m.stateFile.Close()
	m.stateFile = nil
}

// refresh reads the folder if it has changed, or if there were other processes,
// which may have ended.
func (m *Membership) refresh() {
	if m.isUnchanged() {
		return
	}
	m.processes = m.readProcesses()
	m.adoptJobIDs()
	state, err := m.readOperatorState()
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil: // keep the known state
		m.logError("read "+operatorStateName, err)
	default:
		m.operatorState = state
	}
}

func (m *Membership) isUnchanged() bool {
	return !m.folder.mayHaveChanged() && len(m.processes) <= 1
}

func (m *Membership) readOperatorState() (*handoff.OperatorState, error) {
	encoded, err := os.ReadFile(filepath.Join(m.path, operatorStateName))
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxOperatorStateBytes {
		return nil, errors.New("the file is too long")
	}
	return handoff.Decode(encoded)
}

// writeOperatorState replaces the file atomically.
func (m *Membership) writeOperatorState(encoded []byte) error {
	f, err := os.CreateTemp(m.path, temporaryPattern)
	if err != nil {
		return err
	}
	_, err = f.Write(encoded)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(m.path, operatorStateName))
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

func (m *Membership) logError(action string, err error) { m.errors.log(action, err) }

// Package dir keeps what the processes of one dispatcher share in a folder:
// who lives, by locks that end with their process, and what operators said.
package dir

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/handover"
)

// Names in the folder, and how long a lock is waited for.
const (
	sharedName = "shared"
	lockName   = "lock"
	prefix     = "process-"
	idsPrefix  = "ids-"
	maxRead    = 1 << 20 // of another's ids at one time
	lockWait   = 300 * time.Millisecond
	settled    = time.Second // after a change the folder is read anew for so long: its time is coarse
	maxShared  = 1 << 20
)

var nap = time.Sleep // between tries for the lock; counted in a test

// Member is this process's place in the folder.
type Member struct {
	path string
	no   uint64
	log  func(format string, args ...any)

	mu      sync.Mutex
	own     *os.File // locked for as long as the process lives
	state   handover.State
	shared  *handover.Shared
	living  []handover.Process // the others, too
	ids     *os.File           // where ids are noted, once there are some
	taken   map[uint64]int64   // how far the others' were read
	changed time.Time          // the folder's time when it was last read
	read    time.Time          // when a change was last seen
	stuck   time.Time          // when the lock was last waited for in vain
	said    string             // the last complaint, so that it is made once
}

// Path is the folder of one dispatcher below a folder for temporary files,
// which it may share with others.
func Path(tmp, name, listen string) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s\x00%s", name, listen)
	plain := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, name)
	return filepath.Join(tmp, fmt.Sprintf("bellstream-%.32s-%08x", plain, h.Sum32()))
}

// Join enters the folder, which is made where there is none, as one that starts.
func Join(path string, log func(string, ...any)) (*Member, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	m := &Member{path: path, log: log, state: handover.Starting, shared: &handover.Shared{}, taken: map[uint64]int64{}}
	unlock, err := m.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	// Numbers are not used twice, so that nobody takes a new process for a dead one.
	m.no = uint64(time.Now().UnixMilli())
	for no := range m.files() {
		m.no = max(m.no, no+1)
	}
	if err := m.write(); err != nil {
		return nil, err
	}
	m.look()
	return m, nil
}

// write puts the own file in place, locked before anybody can see it. A state
// is told by a new file: the lock moves on before the old one goes.
func (m *Member) write() error {
	f, err := os.CreateTemp(m.path, "new-")
	if err != nil {
		return err
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		_, err = f.WriteString(string(m.state) + "\n")
	}
	if err == nil {
		err = os.Rename(f.Name(), m.file(m.no))
	}
	if err != nil {
		os.Remove(f.Name())
		f.Close()
		return err
	}
	if m.own != nil {
		m.own.Close()
	}
	m.own = f
	return nil
}

func (m *Member) file(no uint64) string {
	return filepath.Join(m.path, prefix+strconv.FormatUint(no, 10))
}

func (m *Member) idsFile(no uint64) string {
	return filepath.Join(m.path, idsPrefix+strconv.FormatUint(no, 10))
}

// Note tells the others of ids that this process has taken.
func (m *Member) Note(ids []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(ids) == 0 || m.own == nil {
		return
	}
	var err error
	if m.ids == nil {
		m.ids, err = os.OpenFile(m.idsFile(m.no), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	if err == nil {
		_, err = m.ids.WriteString(strings.Join(ids, "\n") + "\n")
	}
	m.complain("note ids", err)
}

// Noted returns the ids that others have taken since it was last asked. It is
// to be asked before Look, which lets go of what a dead process left.
func (m *Member) Noted() (ids []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.living {
		if p.No == m.no {
			continue
		}
		f, err := os.Open(m.idsFile(p.No))
		if err != nil {
			continue // it has noted none
		}
		var raw []byte // no more than there is: this is asked 200 times a second
		if fi, err := f.Stat(); err == nil {
			raw = make([]byte, min(max(fi.Size()-m.taken[p.No], 0), maxRead))
		}
		n, _ := f.ReadAt(raw, m.taken[p.No])
		f.Close()
		end := bytes.LastIndexByte(raw[:n], '\n') + 1 // half a line is read when it is whole
		if m.taken[p.No] += int64(end); end > 0 {
			ids = append(ids, strings.Split(string(raw[:end-1]), "\n")...)
		}
	}
	return ids
}

// files are the numbers of the processes that have a file.
func (m *Member) files() map[uint64]bool {
	all := map[uint64]bool{}
	entries, err := os.ReadDir(m.path)
	m.complain("read the folder", err)
	for _, e := range entries {
		if n, ok := strings.CutPrefix(e.Name(), prefix); ok {
			if no, err := strconv.ParseUint(n, 10, 63); err == nil {
				all[no] = true
			}
		}
	}
	return all
}

// lock keeps the other processes from changing the folder, for a moment only:
// one that was stopped with the lock must not hold up commands.
func (m *Member) lock() (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(m.path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(lockWait)
	if time.Since(m.stuck) < settled {
		end = time.Time{} // callers behind the first do not wait for it each in turn
	}
	for ; ; nap(2 * time.Millisecond) {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return func() { f.Close() }, nil
		}
		if time.Now().After(end) {
			f.Close()
			m.stuck = time.Now()
			return nil, fmt.Errorf("the lock of %s is held by another process", m.path)
		}
	}
}

// look reads the folder if it has changed, or if another process may have
// ended. It wants mu.
func (m *Member) look() {
	if fi, err := os.Stat(m.path); err == nil {
		now := time.Now()
		if !fi.ModTime().Equal(m.changed) {
			m.changed, m.read = fi.ModTime(), now
		}
		if now.Sub(m.read) > settled && len(m.living) <= 1 {
			return
		}
	}
	living := []handover.Process{{No: m.no, State: m.state}}
	for no := range m.files() {
		if no == m.no {
			continue
		}
		state, lives := m.other(no)
		if lives {
			living = append(living, handover.Process{No: no, State: state})
		}
	}
	m.living = living
	raw, err := os.ReadFile(filepath.Join(m.path, sharedName))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case err == nil && len(raw) > maxShared:
		err = errors.New("too long")
	}
	var s *handover.Shared
	if err == nil {
		s, err = handover.Decode(raw)
	}
	if err != nil { // what is known here goes on to hold
		m.complain("read "+sharedName, err)
		return
	}
	m.shared = s
}

// other says how far another process is, and whether it lives: while it does
// it holds the lock of its file. The file of one that does not is removed.
func (m *Member) other(no uint64) (handover.State, bool) {
	f, err := os.Open(m.file(no))
	if err != nil {
		return "", false
	}
	defer f.Close()
	if err := unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB); err == nil {
		// It may have told a new state meanwhile: only what is still there goes.
		if is, err := f.Stat(); err == nil {
			if there, err := os.Stat(m.file(no)); err == nil && os.SameFile(is, there) {
				os.Remove(m.file(no))
				os.Remove(m.idsFile(no))
				return "", false
			}
		}
		return m.other(no)
	}
	raw := make([]byte, 32)
	n, _ := f.Read(raw)
	return handover.State(strings.TrimSpace(string(raw[:n]))), true
}

// complain says what went wrong with the folder, each thing once in a row.
func (m *Member) complain(what string, err error) {
	if err == nil {
		return
	}
	if said := fmt.Sprintf("handover: could not %s: %v", what, err); said != m.said {
		m.said = said
		m.log("%s", said)
	}
}

// View is what a process has to know of the others.
type View struct {
	Shared *handover.Shared
	Leads  bool // this one takes new clients
	Others int  // that live beside it
}

func (m *Member) view() View {
	return View{Shared: m.shared, Leads: handover.Leads(m.no, m.living), Others: len(m.living) - 1}
}

// Look reads the folder again and has what holds now adopted. Calls of Look
// and Change do not overlap, so nothing older is adopted after it.
func (m *Member) Look(adopt func(View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.look()
	adopt(m.view())
}

// Change changes what is shared and has it adopted here, also where it could
// not be written: then the other processes do not hear of it, and the log says so.
func (m *Member) Change(change func(*handover.Shared) (*handover.Shared, error), adopt func(View)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	unlock, err := m.lock()
	if err == nil {
		defer unlock()
		m.read = time.Now() // the folder is read whatever its time says
		m.look()
	}
	m.complain("lock the folder", err)
	next, refused := change(m.shared)
	if refused != nil {
		return refused
	}
	if next != m.shared {
		m.shared = next
		m.complain("write "+sharedName, m.put(next.Encode()))
	}
	adopt(m.view())
	return nil
}

// put writes the shared file whole and moves it into place.
func (m *Member) put(raw []byte) error {
	f, err := os.CreateTemp(m.path, "new-")
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(m.path, sharedName))
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// Tell says to the others how far this process is.
func (m *Member) Tell(s handover.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == s || m.own == nil {
		return
	}
	m.state = s
	m.complain("tell "+string(s), m.write())
	m.read = time.Now()
	m.look()
}

// Leave takes the process out of the folder.
func (m *Member) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own != nil {
		os.Remove(m.file(m.no))
		if m.ids != nil {
			m.ids.Close()
			os.Remove(m.idsFile(m.no))
		}
		m.own.Close()
		m.own = nil
	}
}

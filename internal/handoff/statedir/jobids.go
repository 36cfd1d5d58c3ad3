package statedir

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxJobIDReadBytes = 1 << 20  // per process and call
	compactJobIDBytes = 64 << 10 // of IDs that need not be known any more, from which on they are removed
	maxJobIDReads     = 3        // of all files in one call, if files are removed meanwhile

	defaultJobIDRetention = time.Minute
)

// jobIDLog publishes the IDs of the jobs of this process and reads those of the others. Each process appends to a file
// of its own. One that publishes an ID before it reads those of the others sees the same ID at another process, or the
// other process sees it here: no ID is taken by two processes that both do so. It does not take the folder's lock,
// which a process that is stopped could hold.
type jobIDLog struct {
	path   string // of the folder
	ownID  uint64
	errors *errorLog

	mu        sync.Mutex
	closed    bool
	file      *os.File // nil until IDs are published
	size      int64    // of the file
	retention time.Duration
	markedAt  time.Time // the IDs before mark were published before this time
	mark      int64     // position in the file
	folder    folderWatch
	others    map[uint64]*jobIDFile // files of other processes, by process ID
}

// jobIDFile is how much of another process's file was read.
type jobIDFile struct {
	info    fs.FileInfo // of the file that was read last; a process may replace its file
	offset  int64
	adopted bool // its process has ended, and its IDs are in this process's file
}

func newJobIDLog(path string, ownID uint64, errors *errorLog) *jobIDLog {
	return &jobIDLog{
		path:      path,
		ownID:     ownID,
		errors:    errors,
		retention: defaultJobIDRetention,
		markedAt:  time.Now(),
		folder:    folderWatch{path: path},
		others:    map[uint64]*jobIDFile{},
	}
}

func jobIDPath(folder string, id uint64) string {
	return filepath.Join(folder, jobIDsPrefix+strconv.FormatUint(id, 10))
}

func (m *Membership) jobIDPath(id uint64) string { return jobIDPath(m.path, id) }

// RetainJobIDs sets the time for which published IDs must be available to processes that start later.
func (m *Membership) RetainJobIDs(retention time.Duration) {
	m.jobIDs.mu.Lock()
	defer m.jobIDs.mu.Unlock()
	m.jobIDs.retention = retention
}

// PublishJobIDs makes the IDs of jobs that this process has accepted available to the other processes, also to those
// that start later. An ID after [handoff.SentPrefix] is one of a job that is sent to a worker.
func (m *Membership) PublishJobIDs(ids []string) {
	if len(ids) > 0 {
		m.jobIDs.publish([]byte(strings.Join(ids, "\n") + "\n"))
	}
}

// AnnounceJobIDs lets other processes know that all IDs of this process are published, even if there are none yet.
func (m *Membership) AnnounceJobIDs() {
	m.jobIDs.mu.Lock()
	announced := m.jobIDs.size > 0
	m.jobIDs.mu.Unlock()
	if !announced {
		m.jobIDs.publish([]byte{'\n'})
	}
}

// ReadJobIDs returns the IDs that other processes have published since the last call, including processes that have
// ended. If there are many, further calls return the rest.
func (m *Membership) ReadJobIDs() []string { return m.jobIDs.read() }

// awaitsJobIDs reports whether a running process that joined earlier has published nothing. Builds before
// AnnounceJobIDs publish once they notice another process, unless they know no ID. The caller holds mu.
func (m *Membership) awaitsJobIDs() bool {
	for _, process := range m.processes {
		if process.ID >= m.id {
			continue
		}
		info, err := os.Stat(m.jobIDPath(process.ID))
		if err != nil || info.Size() == 0 {
			return true
		}
	}
	return false
}

func (l *jobIDLog) publish(lines []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.errors.log("publish job IDs", l.append(lines))
	l.errors.log("remove old job IDs", l.compactIfDue(time.Now()))
}

// open opens this process's file unless it is open.
func (l *jobIDLog) open() error {
	if l.file != nil {
		return nil
	}
	f, err := os.OpenFile(jobIDPath(l.path, l.ownID), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		l.file = f
	}
	return err
}

func (l *jobIDLog) append(lines []byte) error {
	if err := l.open(); err != nil {
		return err
	}
	n, err := l.file.Write(lines)
	l.size += int64(n)
	return err
}

// compactIfDue removes the IDs before mark once the retention has passed since it was set, unless other processes read
// the file: builds that do not notice a replaced file may be among them.
func (l *jobIDLog) compactIfDue(now time.Time) error {
	if now.Sub(l.markedAt) < l.retention {
		return nil
	}
	var err error
	if l.mark >= compactJobIDBytes && len(l.others) == 0 {
		err = l.compact()
	}
	l.mark = l.size
	l.markedAt = now
	return err
}

// compact replaces the file by one without the IDs before mark.
func (l *jobIDLog) compact() error {
	f, err := os.CreateTemp(l.path, temporaryPattern)
	if err != nil {
		return err
	}
	kept, err := copyFrom(f, l.file.Name(), l.mark)
	if err == nil {
		err = os.Rename(f.Name(), l.file.Name())
	}
	f.Close()
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	l.file.Close()
	l.file = nil
	l.size = kept
	return l.open()
}

// copyFrom appends the content of a file from an offset on, and returns its length.
func copyFrom(to io.Writer, path string, offset int64) (int64, error) {
	from, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer from.Close()
	if _, err := from.Seek(offset, io.SeekStart); err != nil {
		return 0, err
	}
	return io.Copy(to, from)
}

func (l *jobIDLog) read() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.folder.mayHaveChanged() {
		l.list()
	}
	var ids []string
	for range maxJobIDReads {
		found, complete := l.readOthers()
		ids = append(ids, found...)
		if complete {
			break
		}
		l.list() // the process that removed a file has copied its IDs to a file of its own
	}
	return ids
}

// list finds the files of other processes.
func (l *jobIDLog) list() {
	entries, err := os.ReadDir(l.path)
	l.errors.log("read the folder", err)
	for _, entry := range entries {
		id, ok := parseName(entry.Name(), jobIDsPrefix)
		if ok && id != l.ownID && l.others[id] == nil {
			l.others[id] = &jobIDFile{}
		}
	}
}

// readOthers returns what is new in the files of other processes. complete is false if a file does not exist any more.
func (l *jobIDLog) readOthers() (ids []string, complete bool) {
	complete = true
	for id, other := range l.others {
		content, err := other.readNew(jobIDPath(l.path, id))
		if errors.Is(err, fs.ErrNotExist) {
			delete(l.others, id)
			complete = false
			continue
		}
		l.errors.log("read job IDs", err)
		ids = append(ids, splitJobIDs(content)...)
		if other.adopted && len(content) == 0 {
			l.remove(id)
		}
	}
	return ids, complete
}

// remove removes the file of a process that has ended and whose IDs were read here.
func (l *jobIDLog) remove(id uint64) {
	os.Remove(jobIDPath(l.path, id))
	delete(l.others, id)
}

// readNew returns the complete lines that have been added since the last call.
func (j *jobIDFile) readNew(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if j.info == nil || !os.SameFile(j.info, info) {
		j.offset = 0
	}
	j.info = info
	// The buffer is not larger than the new content, because this is called often.
	content := make([]byte, min(max(info.Size()-j.offset, 0), maxJobIDReadBytes))
	n, _ := f.ReadAt(content, j.offset)
	end := bytes.LastIndexByte(content[:n], '\n') + 1 // an incomplete line is read later
	j.offset += int64(end)
	return content[:end], nil
}

// splitJobIDs returns the IDs in complete lines. Empty lines announce a process without IDs.
func splitJobIDs(lines []byte) (ids []string) {
	for line := range strings.Lines(string(lines)) {
		if id := strings.TrimSuffix(line, "\n"); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// adopt takes over the file of a process that has ended: its IDs are published as this process's own, for processes
// that start later. The file is removed once this process has read it.
func (l *jobIDLog) adopt(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	other := l.others[id]
	if other == nil {
		other = &jobIDFile{}
		l.others[id] = other
	}
	if l.closed || other.adopted {
		return
	}
	err := l.appendFile(id)
	if errors.Is(err, fs.ErrNotExist) {
		delete(l.others, id)
		return
	}
	l.errors.log("take over job IDs", err)
	other.adopted = err == nil
	if info, statErr := os.Stat(jobIDPath(l.path, id)); other.adopted && statErr == nil && info.Size() == other.offset {
		l.remove(id)
	}
}

// appendFile appends the IDs of another process to this process's file. An incomplete line is completed: an ID that
// was never accepted is harmless.
func (l *jobIDLog) appendFile(id uint64) error {
	path := jobIDPath(l.path, id)
	info, err := os.Stat(path)
	if err != nil || info.Size() <= 1 { // nothing but an announcement
		return err
	}
	if err := l.open(); err != nil {
		return err
	}
	n, err := copyFrom(l.file, path, 0)
	l.size += n
	if err != nil {
		return err
	}
	return l.append([]byte{'\n'})
}

// close ends publishing. The file is removed unless another process is running, which has to read it to its end and
// then takes it over.
func (l *jobIDLog) close(othersRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.file == nil {
		return
	}
	l.file.Close()
	if !othersRun {
		os.Remove(jobIDPath(l.path, l.ownID))
	}
}

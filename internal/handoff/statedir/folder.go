package statedir

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// modTimeResolution is the time after a change in which the folder is read again even if its modification time, which
// is coarse, has not changed.
const modTimeResolution = time.Second

// folderWatch tells whether files may have been added to a folder, replaced or removed.
type folderWatch struct {
	path           string
	lastModTime    time.Time // when it was last checked
	lastChangeSeen time.Time // when a change was last noticed
}

// mayHaveChanged reports whether the folder may have changed since the last call.
func (w *folderWatch) mayHaveChanged() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return true
	}
	now := time.Now()
	if !info.ModTime().Equal(w.lastModTime) {
		w.lastModTime = info.ModTime()
		w.lastChangeSeen = now
	}
	return now.Sub(w.lastChangeSeen) <= modTimeResolution
}

// forceRead makes mayHaveChanged report a change.
func (w *folderWatch) forceRead() { w.lastChangeSeen = time.Now() }

// errorLog logs errors, but none twice in a row. Its methods may be called from any goroutine.
type errorLog struct {
	logf func(format string, args ...any)

	mu   sync.Mutex
	last string
}

// log logs an error, unless it is nil or the same as the last logged one.
func (l *errorLog) log(action string, err error) {
	if err == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf("handoff: could not %s: %v", action, err)
	if text == l.last {
		return
	}
	l.last = text
	l.logf("%s", text)
}

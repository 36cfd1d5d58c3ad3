// Package logging creates the program's logger, which writes one JSON object per line, or text if the operator's
// file selects the console format.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	formatJSON    = "json"
	formatConsole = "console"

	jsonTimeFormat    = "2006-01-02T15:04:05.000000Z07:00"
	consoleTimeFormat = "2006-01-02 15:04:05.000"
)

var (
	// Levels are the log levels that the operator's file may select.
	Levels = []string{"debug", "info", "warn", "error"}

	// Formats are the output formats that the operator's file may select.
	Formats = []string{formatJSON, formatConsole}
)

// New creates a logger that writes to w. An empty levelName selects info, an empty format JSON; unknown names are
// errors.
func New(w io.Writer, levelName, format string) (zerolog.Logger, error) {
	level := zerolog.InfoLevel
	if levelName != "" {
		var err error
		level, err = zerolog.ParseLevel(levelName)
		if err != nil {
			return zerolog.Nop(), fmt.Errorf("level %q is not one of %v", levelName, Levels)
		}
	}
	switch format {
	case "", formatJSON:
		zerolog.TimeFieldFormat = jsonTimeFormat
	case formatConsole:
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: consoleTimeFormat, NoColor: true}
	default:
		return zerolog.Nop(), fmt.Errorf("format %q is not one of %v", format, Formats)
	}
	return zerolog.New(zerolog.SyncWriter(w)).Level(level).With().Timestamp().Logger(), nil
}

// Printf returns a function that formats a text and logs it at info level.
func Printf(l zerolog.Logger) func(format string, args ...any) {
	return func(format string, args ...any) { l.Info().Msgf(format, args...) }
}

// Limited limits log lines to one per key and interval, and counts the lines that it suppresses. Keys must come from
// a small fixed set, never from received data.
type Limited struct {
	interval time.Duration
	now      func() time.Time

	mu   sync.Mutex
	keys map[string]*keyState
}

type keyState struct {
	lastWritten time.Time
	suppressed  int // lines since lastWritten
}

// NewLimited creates a limiter that reads the time from now.
func NewLimited(interval time.Duration, now func() time.Time) *Limited {
	return &Limited{
		interval: interval,
		now:      now,
		keys:     map[string]*keyState{},
	}
}

// Do calls write with the number of lines suppressed since the last written one, or suppresses this line: write is
// then not called.
func (l *Limited) Do(key string, write func(suppressed int)) {
	if suppressed, ok := l.allow(key); ok {
		write(suppressed)
	}
}

func (l *Limited) allow(key string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	state := l.keys[key]
	if state == nil {
		l.keys[key] = &keyState{lastWritten: now}
		return 0, true
	}
	if now.Sub(state.lastWritten) < l.interval {
		state.suppressed++
		return 0, false
	}
	suppressed = state.suppressed
	state.lastWritten = now
	state.suppressed = 0
	return suppressed, true
}

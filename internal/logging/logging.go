// Package logging makes the program's log: zerolog, a JSON object a line on
// standard error, or lines for people where the operator's file asks for them.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Levels and formats that the operator's file may name.
var (
	Levels  = []string{"debug", "info", "warn", "error"}
	Formats = []string{"json", "console"}
)

// New makes a logger; empty strings mean info and json.
func New(w io.Writer, level, format string) (zerolog.Logger, error) {
	l := zerolog.InfoLevel
	if level != "" {
		var err error
		if l, err = zerolog.ParseLevel(level); err != nil {
			return zerolog.Nop(), fmt.Errorf("level %q is none of %v", level, Levels)
		}
	}
	switch format {
	case "", "json":
		zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00"
	case "console":
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "2006-01-02 15:04:05.000", NoColor: true}
	default:
		return zerolog.Nop(), fmt.Errorf("format %q is none of %v", format, Formats)
	}
	return zerolog.New(zerolog.SyncWriter(w)).Level(l).With().Timestamp().Logger(), nil
}

// Printf is a logger's info lines for code that writes plain text.
func Printf(l zerolog.Logger) func(format string, args ...any) {
	return func(format string, args ...any) { l.Info().Msgf(format, args...) }
}

// Limited lets one line through for each key and interval, and says with it how
// many were held back. Keys are few: reasons, never what peers or clients send.
type Limited struct {
	mu    sync.Mutex
	every time.Duration
	now   func() time.Time
	last  map[string]time.Time
	held  map[string]int
}

// NewLimited makes one; now is its clock.
func NewLimited(every time.Duration, now func() time.Time) *Limited {
	return &Limited{every: every, now: now, last: map[string]time.Time{}, held: map[string]int{}}
}

// Do calls write with the number of lines held back since the last one, or holds this one back.
func (l *Limited) Do(key string, write func(held int)) {
	l.mu.Lock()
	now := l.now()
	last, known := l.last[key]
	if known && now.Sub(last) < l.every {
		l.held[key]++
		l.mu.Unlock()
		return
	}
	held := l.held[key]
	l.last[key], l.held[key] = now, 0
	l.mu.Unlock()
	write(held)
}

package consensus

import (
	"fmt"

	"github.com/rs/zerolog"
)

// raftLogger logs raft's errors as errors, its warnings and information as debug
// lines, and discards its debug lines. Fatal panics like Panic, instead of ending
// the process; guardRaft recovers from both.
type raftLogger struct{ log zerolog.Logger }

func (l *raftLogger) debug(text string) { l.log.Debug().Msg("consensus: raft: " + text) }
func (l *raftLogger) error(text string) { l.log.Error().Msg("consensus: raft: " + text) }

func (l *raftLogger) Debug(...any)                     {}
func (l *raftLogger) Debugf(string, ...any)            {}
func (l *raftLogger) Info(v ...any)                    { l.debug(fmt.Sprint(v...)) }
func (l *raftLogger) Infof(format string, v ...any)    { l.debug(fmt.Sprintf(format, v...)) }
func (l *raftLogger) Warning(v ...any)                 { l.debug(fmt.Sprint(v...)) }
func (l *raftLogger) Warningf(format string, v ...any) { l.debug(fmt.Sprintf(format, v...)) }
func (l *raftLogger) Error(v ...any)                   { l.error(fmt.Sprint(v...)) }
func (l *raftLogger) Errorf(format string, v ...any)   { l.error(fmt.Sprintf(format, v...)) }
func (l *raftLogger) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l *raftLogger) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (l *raftLogger) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l *raftLogger) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }

// Package control implements the protocol of the control address: a client sends
// one line per connection and gets one line back. The package does no I/O and reads
// no clock.
//
// A line is a verb, followed by the ID of a zone worker if the verb takes one. Words
// are separated by spaces, tabs or carriage returns, which are ignored at the start
// and end of a line. Verbs are case-insensitive; IDs are compared byte by byte.
package control

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Limits in bytes.
const (
	MaxLine        = 512 // without the newline
	maxQuotedBytes = 32  // of a client's text that is quoted in an error
)

// Verb is a command's name.
type Verb string

// The verbs.
const (
	Status  Verb = "STATUS"  // report whether this process can serve
	Suspend Verb = "SUSPEND" // cordon a worker
	Restore Verb = "RESTORE" // uncordon a worker
	Pause   Verb = "PAUSE"   // drain the dispatcher
	Resume  Verb = "RESUME"  // end a pause
)

// takesWorkerID lists all verbs, and whether each takes a worker's ID.
var takesWorkerID = map[Verb]bool{
	Status:  false,
	Suspend: true,
	Restore: true,
	Pause:   false,
	Resume:  false,
}

// Command is a parsed line.
type Command struct {
	Verb Verb
	ID   string // of a worker, for Suspend and Restore
}

// String returns the command as a line, without the newline.
func (c Command) String() string { return strings.TrimSpace(string(c.Verb) + " " + c.ID) }

// UnknownVerbError reports a verb that does not exist.
type UnknownVerbError struct{ Verb string }

func (e *UnknownVerbError) Error() string {
	return fmt.Sprintf("unknown command %q", e.Verb[:min(len(e.Verb), maxQuotedBytes)])
}

var (
	errNotUTF8   = errors.New("the line is not UTF-8")
	errEmptyLine = errors.New("no command")
)

// Parse parses a line without the newline. An error can be passed to Answer.
func Parse(line []byte) (Command, error) {
	if err := checkLine(line); err != nil {
		return Command{}, err
	}
	words := strings.FieldsFunc(string(line), isBlank)
	if len(words) == 0 {
		return Command{}, errEmptyLine
	}
	verb := Verb(strings.ToUpper(words[0]))
	takesID, known := takesWorkerID[verb]
	if !known {
		return Command{}, &UnknownVerbError{Verb: words[0]}
	}
	arguments := words[1:]
	switch {
	case takesID && len(arguments) == 0:
		return Command{}, fmt.Errorf("%s wants the id of a worker", verb)
	case takesID && len(arguments) == 1:
		return Command{Verb: verb, ID: arguments[0]}, nil
	case len(arguments) > 0:
		return Command{}, fmt.Errorf("%s has too many arguments", verb)
	}
	return Command{Verb: verb}, nil
}

func checkLine(line []byte) error {
	if len(line) > MaxLine {
		return fmt.Errorf("the line is over %d bytes long", MaxLine)
	}
	if i := bytes.IndexFunc(line, isForbidden); i >= 0 {
		return fmt.Errorf("byte %d of the line is a control character", i+1)
	}
	if !utf8.Valid(line) {
		return errNotUTF8
	}
	return nil
}

func isBlank(r rune) bool { return r == ' ' || r == '\t' || r == '\r' }

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

func isForbidden(r rune) bool { return isControl(r) && !isBlank(r) }

// Answer returns the line that reports a command's outcome to the client, with the newline.
func Answer(err error) []byte {
	if err == nil {
		return []byte("ok\n")
	}
	// The error may quote the client's line. Control characters are replaced, so that the answer is one line.
	reason := strings.Map(func(r rune) rune {
		if isControl(r) {
			return ' '
		}
		return r
	}, err.Error())
	return []byte("fail " + reason + "\n")
}

// Handler executes commands. Its methods must not block, and return nil only if the
// command has taken effect. They may be called from any goroutine.
type Handler interface {
	Status() error
	Suspend(worker string) error
	Restore(worker string) error
	Pause() error
	Resume() error
}

// Execute calls the handler's method for the command and returns its error.
func (c Command) Execute(handler Handler) error {
	switch c.Verb {
	case Status:
		return handler.Status()
	case Suspend:
		return handler.Suspend(c.ID)
	case Restore:
		return handler.Restore(c.ID)
	case Pause:
		return handler.Pause()
	case Resume:
		return handler.Resume()
	}
	return &UnknownVerbError{Verb: string(c.Verb)}
}

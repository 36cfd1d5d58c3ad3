package control

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// recordingHandler records its calls, and returns err.
type recordingHandler struct {
	calls []string
	err   error
}

func (h *recordingHandler) record(s string) error { h.calls = append(h.calls, s); return h.err }
func (h *recordingHandler) Status() error         { return h.record("status") }
func (h *recordingHandler) Pause() error          { return h.record("pause") }
func (h *recordingHandler) Resume() error         { return h.record("resume") }

func (h *recordingHandler) Suspend(w string) error { return h.record("suspend " + w) }
func (h *recordingHandler) Restore(w string) error { return h.record("restore " + w) }

func TestParse(t *testing.T) {
	for _, c := range []struct{ line, calls, err string }{
		{"STATUS", "status", ""},
		{" pause\t\r", "pause", ""},
		{"Resume", "resume", ""},
		{"SUSPEND s-1", "suspend s-1", ""},
		{"restore\tS-1 ", "restore S-1", ""},
		{"SUSPEND", "", "SUSPEND wants the id of a worker"},
		{"RESTORE a b", "", "RESTORE has too many arguments"},
		{"", "", "no command"},
		{" \t\r", "", "no command"},
		{"STATUS now", "", "STATUS has too many arguments"},
		{"HALT", "", `unknown command "HALT"`},
		{strings.Repeat("x", 200), "", "unknown command"},
		{strings.Repeat(" ", MaxLine+1), "", "over 512 bytes"},
		{"SUSPEND s\xff", "", "not UTF-8"},
		{"STATUS\x00", "", "byte 7 of the line is a control character"},
	} {
		handler := &recordingHandler{}
		command, err := Parse([]byte(c.line))
		if err == nil {
			err = command.Execute(handler)
		}
		if c.err == "" && (err != nil || strings.Join(handler.calls, " ") != c.calls) {
			t.Errorf("%q: got calls %v, error %v", c.line, handler.calls, err)
		}
		if c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err) || len(handler.calls) > 0) {
			t.Errorf("%q: got error %v, calls %v; want error %q and no call", c.line, err, handler.calls, c.err)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"STATUS", "PAUSE x", " resume\r", "SUSPEND a", "\x00", "é"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		command, err := Parse(line)
		a := Answer(err)
		if !bytes.HasPrefix(a, []byte("ok")) && !bytes.HasPrefix(a, []byte("fail ")) || bytes.Count(a, []byte("\n")) != 1 || len(a) > 256 {
			t.Fatalf("%q: got answer %q", line, a)
		}
		if err == nil && (command.ID != "") != takesWorkerID[command.Verb] {
			t.Fatalf("%q: got command %+v", line, command)
		}
	})
}

func TestAnswerIsOneLine(t *testing.T) {
	if got := string(Answer(errors.New("a\nok\x07b"))); got != "fail a ok b\n" {
		t.Errorf("got %q", got)
	}
}

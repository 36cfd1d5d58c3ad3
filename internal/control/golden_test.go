package control

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the golden file anew")

// The commands of the control protocol and the answers to them don't change.
func TestGoldenAnswers(t *testing.T) {
	var got bytes.Buffer
	multiline := errors.New("unknown worker \"w\"\n") //nolint:revive // the answer must be one line even for this error
	for _, failure := range []error{nil, errors.New("paused"), multiline} {
		for _, c := range []struct {
			line string
			want Command
			fail bool
		}{
			{line: "STATUS", want: Command{Verb: Status}},
			{line: "SUSPEND w-1", want: Command{Verb: Suspend, ID: "w-1"}},
			{line: "RESTORE w-2", want: Command{Verb: Restore, ID: "w-2"}},
			{line: "PAUSE", want: Command{Verb: Pause}},
			{line: "RESUME", want: Command{Verb: Resume}},
			{line: "\t resume \r", want: Command{Verb: Resume}},
			{line: "restore W", want: Command{Verb: Restore, ID: "W"}},
			{line: "", fail: true},
			{line: "SUSPEND", fail: true},
			{line: "RESTORE a b", fail: true},
			{line: "PAUSE now", fail: true},
			{line: "HALT", fail: true},
			{line: "STATUS\x00", fail: true},
			{line: "SUSPEND \xff", fail: true},
			{line: string(bytes.Repeat([]byte("x"), MaxLine+1)), fail: true},
		} {
			command, err := Parse([]byte(c.line))
			if command != c.want || (err != nil) != c.fail {
				t.Errorf("%q: got %+v, %v, want %+v", c.line, command, err, c.want)
			}
			calls := ""
			if err == nil {
				handler := &recordingHandler{err: failure}
				err = command.Execute(handler)
				calls = fmt.Sprint(handler.calls)
			}
			fmt.Fprintf(&got, "%.20q %q %s %s", c.line, command, calls, Answer(err))
		}
	}
	const path = "testdata/golden/answers.txt"
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got\n%s, want\n%s", got.Bytes(), want)
	}
}

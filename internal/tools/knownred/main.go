// Command knownred runs a test command without the tests that are known to fail, then runs each of
// those on its own.
//
//	knownred go test -count=1 ./...
//	knownred --aside go test -count=1 -race ./internal/peers
//
// KNOWN-RED.txt in the working directory names them, one per line, in one of two forms:
//
//	TEST, cause, issue
//	TEST, intermittent: COMMAND; seed SEED; what was seen, issue
//
// TEST is a name as 'go test -v' prints it (TestX or TestX/part), and issue is a number. The first form
// is for a test that fails on every run, the second for one that fails on some runs: COMMAND is the
// 'go test' command with which it failed, and SEED is the seed of that run, or 'none' if the test draws
// nothing at random. Without the file, the command runs unchanged. With the file, the command runs
// without the named tests and has to pass; then each named test runs on its own, and its result is
// printed. A test of the first form must fail: if it does not, the command fails, and the line has to be
// removed. A test of the second form may pass or fail, but it has to run. The command also fails
// if the file has more than maxLines lines, a line of another form, a name that no test has, or a name
// that tests of several packages have. With --aside the named tests are skipped and not run on their own,
// for a second run over some of the packages.
//
// Flags of the test command are written -name=value.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

const (
	listName = "KNOWN-RED.txt"
	maxLines = 6 // the number of lines at present, so that listing another test takes a change of this limit
)

func main() {
	os.Exit(run(".", os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command line args in dir and returns the exit code: 0, 1 for a failure, 2 for wrong usage.
func run(dir string, args []string, stdout, stderr io.Writer) int {
	skipOnly := len(args) > 0 && args[0] == "--aside"
	if skipOnly {
		args = args[1:]
	}
	if len(args) < 3 || args[0] != "go" || args[1] != "test" {
		fmt.Fprintln(stderr, "usage: knownred [--aside] go test [FLAG=VALUE ...] PACKAGE ...")
		return 2
	}
	c := command{dir: dir, args: args[2:], stdout: stdout, stderr: stderr}
	text, err := os.ReadFile(filepath.Join(dir, listName))
	if errors.Is(err, fs.ErrNotExist) {
		return c.runOthers("")
	}
	var known []knownFailure
	if err == nil {
		known, err = parseList(string(text))
	}
	if err == nil && !skipOnly {
		err = c.locate(known)
	}
	if err != nil {
		fmt.Fprintf(stderr, "knownred: %v\n", err)
		return 1
	}
	code := c.runOthers(skipPattern(known))
	if skipOnly {
		return code
	}
	for _, r := range known {
		if !c.runKnown(r) {
			code = 1
		}
	}
	return code
}

// A knownFailure is a test that is known to fail, as given by one line of the file.
type knownFailure struct {
	test, cause, issue string
	intermittent       bool   // whether the test may also pass
	pkg                string // the package that has the test, set by locate
}

// intermittentMark begins the cause of a test that fails on some runs only.
const intermittentMark = "intermittent:"

var (
	testName    = regexp.MustCompile(`^(Test|Fuzz|Example)[^\s,/]*(/[^\s,/]+)*$`)
	issueNumber = regexp.MustCompile(`^#?[0-9]+$`)
	// evidencePattern matches what follows intermittentMark: command, seed and what was seen.
	evidencePattern = regexp.MustCompile(`^ go test [^;]*[^; ]; seed [^; ]+; [^ ].*$`)
)

// parseList parses the text of the file. An error names the line.
func parseList(text string) ([]knownFailure, error) {
	var known []knownFailure
	seen := map[string]bool{}
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		test, rest, _ := strings.Cut(line, ",")
		at := max(strings.LastIndex(rest, ","), 0)
		r := knownFailure{
			test:  strings.TrimSpace(test),
			cause: strings.TrimSpace(rest[:at]),
			issue: strings.TrimSpace(strings.TrimPrefix(rest[at:], ",")),
		}
		if !testName.MatchString(r.test) || r.cause == "" || !issueNumber.MatchString(r.issue) {
			return nil, fmt.Errorf("%s:%d: want 'TEST, cause, issue', have %q", listName, i+1, line)
		}
		if details, marked := strings.CutPrefix(r.cause, intermittentMark); marked {
			if !evidencePattern.MatchString(details) {
				return nil, fmt.Errorf("%s:%d: want 'TEST, %s go test ...; seed SEED; what was seen, issue', have %q",
					listName, i+1, intermittentMark, line)
			}
			r.intermittent = true
		}
		if seen[r.test] {
			return nil, fmt.Errorf("%s:%d: %s is listed twice", listName, i+1, r.test)
		}
		seen[r.test] = true
		known = append(known, r)
	}
	if len(known) > maxLines {
		return nil, fmt.Errorf("%s: %d lines, at most %d", listName, len(known), maxLines)
	}
	return known, nil
}

// pattern returns the argument of -run or -skip that matches the test r and no other.
func (r knownFailure) pattern() string {
	parts := strings.Split(r.test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

// skipPattern returns the argument of -skip that matches the known tests.
func skipPattern(known []knownFailure) string {
	var patterns []string
	for _, r := range known {
		patterns = append(patterns, r.pattern())
	}
	return strings.Join(patterns, "|")
}

// A command is a 'go test' command, its working directory and the writers for its output.
type command struct {
	dir            string
	args           []string // after 'go test'
	stdout, stderr io.Writer
}

// runOthers runs the command as it was given, without the tests that skip matches. It returns 0, or 1 if
// the command failed.
func (c command) runOthers(skip string) int {
	args := []string{"test"}
	if skip != "" {
		args = append(args, "-skip="+skip)
	}
	cmd := exec.Command("go", append(args, c.args...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.dir, c.stdout, c.stderr
	if err := cmd.Run(); err != nil {
		fmt.Fprintf(c.stderr, "knownred: go test: %v\n", err)
		return 1
	}
	return 0
}

// locate sets the package of each known test. It looks for the name before the first '/' only: whether
// the test has the named subtest shows when it runs.
func (c command) locate(known []knownFailure) error {
	_, packages := c.splitArgs()
	events, err := c.runJSON(append([]string{"-list=."}, packages...))
	if err != nil {
		return fmt.Errorf("go test -list: %w", err)
	}
	for i := range known {
		topLevel, _, _ := strings.Cut(known[i].test, "/")
		for _, e := range events {
			if e.Action != "output" || strings.TrimSpace(e.Output) != topLevel {
				continue
			}
			if known[i].pkg != "" {
				return fmt.Errorf("%s: %s is in %s and in %s",
					listName, topLevel, min(known[i].pkg, e.Package), max(known[i].pkg, e.Package))
			}
			known[i].pkg = e.Package
		}
		if known[i].pkg == "" {
			return fmt.Errorf("%s: no test is named %s", listName, topLevel)
		}
	}
	return nil
}

// runKnown runs the test r alone, prints its result and reports whether the line of r allows that result.
func (c command) runKnown(r knownFailure) bool {
	flags, _ := c.splitArgs()
	events, err := c.runJSON(append(append([]string{"-run=" + r.pattern()}, flags...), r.pkg))
	started, result := false, ""
	for _, e := range events {
		if e.Test != r.test {
			continue
		}
		switch e.Action {
		case "run":
			started = true
		case "pass", "fail", "skip":
			result = e.Action
		case "output":
			fmt.Fprintf(c.stdout, "    %s", e.Output)
		}
	}
	failed := result == "fail" || result == "" && err != nil // no result if the test ended the whole process
	switch {
	case !started:
		fmt.Fprintf(c.stdout, "known red: %s: no test has this name: the line in %s must go\n", r.test, listName)
		return false
	case r.intermittent && failed:
		fmt.Fprintf(c.stdout, "known red: %s failed on this run: %s, issue %s\n", r.test, r.cause, r.issue)
		return true
	case r.intermittent && result == "pass":
		fmt.Fprintf(c.stdout, "known red: %s passed on this run: %s, issue %s\n", r.test, r.cause, r.issue)
		return true
	case failed:
		fmt.Fprintf(c.stdout, "known red: %s still fails: %s, issue %s\n", r.test, r.cause, r.issue)
		return true
	default:
		fmt.Fprintf(c.stdout, "known red: %s does not fail any more (%s): the line in %s must go\n",
			r.test, result, listName)
		return false
	}
}

// splitArgs returns the command's flags and its packages.
func (c command) splitArgs() (flags, packages []string) {
	for _, arg := range c.args {
		if strings.HasPrefix(arg, "-") {
			flags = append(flags, arg)
		} else {
			packages = append(packages, arg)
		}
	}
	return flags, packages
}

// An event is a line of 'go test -json'.
type event struct {
	Action, Package, Test, Output string
}

// runJSON runs 'go test -json' with args. It returns the events that the command printed, and its error or, if there is
// none, that of decoding its output.
func (c command) runJSON(args []string) ([]event, error) {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Dir, cmd.Stderr = c.dir, c.stderr
	out, err := cmd.Output()
	var events []event
	for d := json.NewDecoder(bytes.NewReader(out)); ; {
		var e event
		if decodeErr := d.Decode(&e); decodeErr != nil {
			if decodeErr != io.EOF && err == nil {
				err = decodeErr
			}
			return events, err
		}
		events = append(events, e)
	}
}

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
// printed. A test of the first form must fail: if it does not, its line has to be removed, and the
// command fails. A test of the second form may pass or fail, but it has to run. The command also fails
// if the file has more than maxLines lines, a line of another form, a name that no test has, or a name
// that tests of several packages have. With --aside the named tests are only left out, for a second run
// over some of the packages.
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
	maxLines = 7 // the tests that are listed now: one more takes a change of this bound
)

func main() {
	os.Exit(run(".", os.Args[1:], os.Stdout, os.Stderr))
}

// run carries out the command line args in dir and returns the exit code.
func run(dir string, args []string, stdout, stderr io.Writer) int {
	aside := len(args) > 0 && args[0] == "--aside"
	if aside {
		args = args[1:]
	}
	if len(args) < 3 || args[0] != "go" || args[1] != "test" {
		fmt.Fprintln(stderr, "usage: knownred [--aside] go test [FLAG=VALUE ...] PACKAGE ...")
		return 2
	}
	c := command{dir: dir, args: args[2:], stdout: stdout, stderr: stderr}
	text, err := os.ReadFile(filepath.Join(dir, listName))
	if errors.Is(err, fs.ErrNotExist) {
		return c.others("")
	}
	var reds []red
	if err == nil {
		reds, err = parse(string(text))
	}
	if err == nil && !aside {
		err = c.locate(reds)
	}
	if err != nil {
		fmt.Fprintf(stderr, "knownred: %v\n", err)
		return 1
	}
	code := c.others(skip(reds))
	if aside {
		return code
	}
	for _, r := range reds {
		if !c.alone(r) {
			code = 1
		}
	}
	return code
}

// A red is a test that is known to fail, as one line of the file has it.
type red struct {
	test, cause, issue string
	intermittent       bool   // whether the test may also pass
	pkg                string // where locate found it
}

// intermittentMark begins the cause of a test that fails on some runs only.
const intermittentMark = "intermittent:"

var (
	testName = regexp.MustCompile(`^(Test|Fuzz|Example)[^\s,/]*(/[^\s,/]+)*$`)
	number   = regexp.MustCompile(`^#?[0-9]+$`)
	// evidence is what follows intermittentMark: command, seed and what was seen.
	evidence = regexp.MustCompile(`^ go test [^;]*[^; ]; seed [^; ]+; [^ ].*$`)
)

// parse reads the text of the file.
func parse(text string) ([]red, error) {
	var reds []red
	seen := map[string]bool{}
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		test, rest, _ := strings.Cut(line, ",")
		at := max(strings.LastIndex(rest, ","), 0)
		r := red{
			test:  strings.TrimSpace(test),
			cause: strings.TrimSpace(rest[:at]),
			issue: strings.TrimSpace(strings.TrimPrefix(rest[at:], ",")),
		}
		if !testName.MatchString(r.test) || r.cause == "" || !number.MatchString(r.issue) {
			return nil, fmt.Errorf("%s:%d: want 'TEST, cause, issue', have %q", listName, i+1, line)
		}
		if details, marked := strings.CutPrefix(r.cause, intermittentMark); marked {
			if !evidence.MatchString(details) {
				return nil, fmt.Errorf("%s:%d: want 'TEST, %s go test ...; seed SEED; what was seen, issue', have %q",
					listName, i+1, intermittentMark, line)
			}
			r.intermittent = true
		}
		if seen[r.test] {
			return nil, fmt.Errorf("%s:%d: %s stands there twice", listName, i+1, r.test)
		}
		seen[r.test] = true
		reds = append(reds, r)
	}
	if len(reds) > maxLines {
		return nil, fmt.Errorf("%s: %d lines, at most %d", listName, len(reds), maxLines)
	}
	return reds, nil
}

// pattern returns what -run and -skip take for the test r and no other.
func (r red) pattern() string {
	parts := strings.Split(r.test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

func skip(reds []red) string {
	var patterns []string
	for _, r := range reds {
		patterns = append(patterns, r.pattern())
	}
	return strings.Join(patterns, "|")
}

// A command is the arguments of a 'go test' and where it runs.
type command struct {
	dir            string
	args           []string // behind 'go test'
	stdout, stderr io.Writer
}

// others runs the command as it was given, without the tests that skip matches, and returns its exit
// code.
func (c command) others(skip string) int {
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

// locate finds the package of each of reds, by the name of the whole test: whether it has the part of
// a longer name shows when it runs.
func (c command) locate(reds []red) error {
	_, packages := c.split()
	events, err := c.events(append([]string{"-list=."}, packages...))
	if err != nil {
		return fmt.Errorf("go test -list: %w", err)
	}
	for i := range reds {
		whole, _, _ := strings.Cut(reds[i].test, "/")
		for _, e := range events {
			if e.Action != "output" || strings.TrimSpace(e.Output) != whole {
				continue
			}
			if reds[i].pkg != "" {
				return fmt.Errorf("%s: %s is in %s and in %s", listName, whole, min(reds[i].pkg, e.Package), max(reds[i].pkg, e.Package))
			}
			reds[i].pkg = e.Package
		}
		if reds[i].pkg == "" {
			return fmt.Errorf("%s: no test is named %s", listName, whole)
		}
	}
	return nil
}

// alone runs r, prints its result and reports whether the result is one that its line allows.
func (c command) alone(r red) bool {
	flags, _ := c.split()
	events, err := c.events(append(append([]string{"-run=" + r.pattern()}, flags...), r.pkg))
	began, result := false, ""
	for _, e := range events {
		if e.Test != r.test {
			continue
		}
		switch e.Action {
		case "run":
			began = true
		case "pass", "fail", "skip":
			result = e.Action
		case "output":
			fmt.Fprintf(c.stdout, "    %s", e.Output)
		}
	}
	failed := result == "fail" || result == "" && err != nil // "": the whole process ended
	switch {
	case !began:
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

// split returns the command's flags and its packages.
func (c command) split() (flags, packages []string) {
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

// events runs 'go test -json' with args and returns what it wrote, and the error it ended with.
func (c command) events(args []string) ([]event, error) {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Dir, cmd.Stderr = c.dir, c.stderr
	out, err := cmd.Output()
	var events []event
	for d := json.NewDecoder(bytes.NewReader(out)); ; {
		var e event
		if bad := d.Decode(&e); bad != nil {
			if bad != io.EOF && err == nil {
				err = bad
			}
			return events, err
		}
		events = append(events, e)
	}
}

package main

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"os/exec"
	"slices"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestMain runs the program itself when FAULT_MAIN is set, so that tests can execute the
// test binary instead of the program.
func TestMain(m *testing.M) {
	if os.Getenv("FAULT_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// The help texts, messages and exit codes of the command line stay.
func TestGoldenHelp(t *testing.T) {
	for name, args := range map[string][]string{
		"help.txt":       {"--help"},
		"help-run.txt":   {"run", "--help"},
		"help-check.txt": {"check", "--help"},
		"help-do.txt":    {"do", "--help"},
		"help-end.txt":   {"end", "--help"},
		"help-list.txt":  {"list", "--help"},
		"checked.txt":    {"check", "../../deploy/fault.hcl"},
		"no-admin.txt":   {"list"},
	} {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), "FAULT_MAIN=1", "COLUMNS=80")
		var stdout, stderr bytes.Buffer
		cmd.Stdout, cmd.Stderr = &stdout, &stderr
		var exit *exec.ExitError
		if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		got := slices.Concat([]byte{byte('0' + cmd.ProcessState.ExitCode()), '\n'}, stdout.Bytes(), stderr.Bytes())
		path := "testdata/golden/" + name
		if *update {
			if err := os.WriteFile(path, got, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%v: got\n%s, want\n%s", args, got, want)
		}
	}
}

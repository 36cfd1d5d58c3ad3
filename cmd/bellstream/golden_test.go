package main

import (
	"bytes"
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The help texts, error messages and exit codes of the command line equal the golden files.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("RELAY_CONTROL", "")
	t.Setenv("RELAY_CONFIG", "")
	t.Setenv("BELLSTREAM_FILE", "")
	for name, args := range map[string][]string{
		"help.txt":           {"--help"},
		"help-serve.txt":     {"serve", "--help"},
		"help-check.txt":     {"check", "--help"},
		"help-peers.txt":     {"peers", "--help"},
		"help-waiting.txt":   {"waiting", "--help"},
		"help-control.txt":   {"control", "--help"},
		"help-version.txt":   {"version", "--help"},
		"no-file.txt":        {"check"},
		"no-address.txt":     {"control", "STATUS"},
		"too-many.txt":       {"version", "now"},
		"unknown-flag.txt":   {"peers", "--nonsense"},
		"unknown-line.txt":   {"control", "--at", "127.0.0.1:1", "HALT"},
		"no-admin.txt":       {"peers"},
		"version-output.txt": {"version"},
	} {
		var out, errOut bytes.Buffer
		code := run(args, &out, &errOut)
		got := append(append([]byte{byte('0' + code), '\n'}, out.Bytes()...), errOut.Bytes()...)
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

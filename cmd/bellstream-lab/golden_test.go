package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"os/exec"
	"reflect"
	"slices"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// runProgram runs the program and returns its exit code and output.
func runProgram(t *testing.T, args ...string) (code int, stdout, stderr []byte) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "LAB_MAIN=1", "COLUMNS=80")
	var out, wrong bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &wrong
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.Bytes(), wrong.Bytes()
}

func compareWithGolden(t *testing.T, name string, got []byte) {
	t.Helper()
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
		t.Errorf("%s: got\n%s, want\n%s", name, got, want)
	}
}

// Help texts, the list of experiments and the error for an unknown experiment match the golden files.
func TestGoldenHelp(t *testing.T) {
	for name, args := range map[string][]string{
		"help.txt":          {"--help"},
		"help-list.txt":     {"list", "--help"},
		"help-run.txt":      {"run", "--help"},
		"help-load.txt":     {"load", "--help"},
		"help-fleet.txt":    {"fleet", "--help"},
		"help-compare.txt":  {"compare", "--help"},
		"help-capacity.txt": {"capacity", "--help"},
		"list.txt":          {"list"},
		"unknown.txt":       {"run", "nonsense"},
	} {
		code, stdout, stderr := runProgram(t, args...)
		compareWithGolden(t, name, slices.Concat([]byte{byte('0' + code), '\n'}, stdout, stderr))
	}
}

// jsonShape returns the keys and types of a JSON value; a list is represented by its first element.
func jsonShape(v any) any {
	switch v := v.(type) {
	case map[string]any:
		keys := map[string]any{}
		for k, in := range v {
			keys[k] = jsonShape(in)
		}
		return keys
	case []any:
		if len(v) == 0 {
			return []any{}
		}
		return []any{jsonShape(v[0])}
	case nil:
		return "null"
	}
	return reflect.TypeOf(v).String()
}

// The JSON output of an experiment has the keys, types and claim names of the golden file.
func TestGoldenRun(t *testing.T) {
	_, stdout, stderr := runProgram(t, "run", "scale", "--quick", "--seed", "1", "--json")
	var result map[string]any
	if err := json.Unmarshal(stdout, &result); err != nil {
		t.Fatalf("output of run scale is not JSON: %v: %s%s", err, stdout, stderr)
	}
	var names []any
	for _, c := range result["claims"].([]any) {
		names = append(names, c.(map[string]any)["name"])
	}
	raw, err := json.MarshalIndent(map[string]any{"form": jsonShape(result), "claims": names}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	compareWithGolden(t, "run-scale.json", append(raw, '\n'))
}

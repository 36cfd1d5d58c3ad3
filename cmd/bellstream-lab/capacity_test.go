package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"example.org/bellstream/internal/lab/capacity"
)

const emptyPage = "<!-- table target -->\n<!-- end -->\n<!-- table verdict -->\n<!-- end -->\n<!-- table budget -->\n<!-- end -->\n<!-- table runs -->\n<!-- end -->\n"

// The command writes a page, then finds it up to date with --check, and finds it stale after a run has another figure.
func TestCapacityPage(t *testing.T) {
	dir := t.TempDir()
	page, file := filepath.Join(dir, "page.md"), filepath.Join(dir, "run.json")
	put := func(name string, text []byte) {
		t.Helper()
		if err := os.WriteFile(name, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	run := func(measured float64) {
		raw, _ := json.Marshal(capacity.Run{Experiment: "capacity", Command: "run", Rows: []capacity.Row{capacity.AtMost(capacity.InForce, 100, "alone", 4, measured, "s", capacity.OnSockets)}})
		put(file, raw)
	}
	put(page, []byte(emptyPage))
	run(2)
	var out strings.Builder
	check := capacityCmd{Page: page, Runs: []string{file}, Check: true}
	if err := check.run(&out); !errors.Is(err, errStale) {
		t.Errorf("check of an empty page: got error %v, want errStale", err)
	}
	if err := (&capacityCmd{Page: page, Runs: []string{file}}).run(&out); err != nil {
		t.Fatal(err)
	}
	if err := check.run(&out); err != nil || !strings.Contains(out.String(), "has the tables") {
		t.Errorf("check of the written page: got output %s, error %v", out.String(), err)
	}
	run(5)
	if err := check.run(&out); !errors.Is(err, errStale) {
		t.Errorf("check after another figure: got error %v, want errStale", err)
	}
	put(file, []byte(`{"experiment":"scale"}`))
	if err := check.run(&out); err == nil || errors.Is(err, errStale) {
		t.Errorf("check with a run of another experiment: got error %v, want one other than errStale", err)
	}
}

// The tables of docs/CAPACITY.md match the runs in docs/capacity and the target in the code.
func TestCapacityPageIsOfItsRuns(t *testing.T) {
	runs, err := filepath.Glob("../../docs/capacity/*.json")
	if err != nil || len(runs) == 0 {
		t.Fatalf("no runs in docs/capacity: %v", err)
	}
	before, _ := filepath.Glob("../../docs/capacity/before/*.json")
	slices.Sort(runs)
	slices.Sort(before)
	var out strings.Builder
	if err := (&capacityCmd{Page: "../../docs/CAPACITY.md", Runs: runs, Before: before, Check: true}).run(&out); err != nil {
		t.Error(err)
	}
}

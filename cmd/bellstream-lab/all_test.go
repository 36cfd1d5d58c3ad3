package main

import (
	"errors"
	"strings"
	"testing"

	"example.org/bellstream/internal/lab/experiments"
)

// An experiment that fails, is void, breaks a claim or has no claims counts as broken, and the experiments after it
// still run.
func TestAllReportsBrokenExperiments(t *testing.T) {
	claim := func(bound, got float64) func(experiments.Params) (*experiments.Result, error) {
		return func(experiments.Params) (*experiments.Result, error) {
			r := &experiments.Result{}
			r.AtMost("an error of at most", bound, got, "part")
			return r, nil
		}
	}
	good := experiments.Experiment{Name: "good", Run: claim(2, 1)}
	bad := experiments.Experiment{Name: "bad", Run: claim(0.25, 0.5)}
	void := experiments.Experiment{Name: "void", Run: func(p experiments.Params) (*experiments.Result, error) {
		r, err := claim(2, 1)(p)
		r.Void = "one died"
		return r, err
	}}
	noClaims := experiments.Experiment{Name: "mute", Run: func(experiments.Params) (*experiments.Result, error) { return &experiments.Result{}, nil }}
	failed := experiments.Experiment{Name: "failed", Run: func(experiments.Params) (*experiments.Result, error) { return nil, errors.New("no port\nleft") }}
	for _, c := range []struct {
		list []experiments.Experiment
		held bool
		says []string
	}{
		{[]experiments.Experiment{good, good}, true, []string{"0 of 2 broken, seed 5"}},
		{[]experiments.Experiment{bad, good}, false, []string{"an error of at most: 0.5 part, stated 0.25\n", "good         held", "1 of 2"}},
		{[]experiments.Experiment{failed, void, noClaims, good}, false, []string{"no port left\n", "void: one died\n", "claims nothing\n", "3 of 4"}},
	} {
		var out strings.Builder
		held := runInTurn(c.list, experiments.Params{Seed: 5, Out: t.TempDir()}, &out)
		if text := out.String(); held != c.held || strings.Count(text, "\n") != len(c.list)+1 {
			t.Errorf("all held: got %v, want %v, and one line for each experiment plus a summary; output:\n%s", held, c.held, text)
		}
		for _, s := range c.says {
			if !strings.Contains(out.String(), s) {
				t.Errorf("%q is missing in the output:\n%s", s, out.String())
			}
		}
	}
}

func TestAllRejectsFlagsOfOneExperiment(t *testing.T) {
	for _, r := range []runCmd{{JSON: true}, {Report: "f"}, {Without: "x"}, {Only: "x"}, {Seeds: 2}} {
		if r.checkFlagsOfAll() == nil {
			t.Errorf("check accepts %+v", r)
		}
	}
	if err := (&runCmd{Seed: 3, Quick: true, Seeds: 1}).checkFlagsOfAll(); err != nil {
		t.Error(err)
	}
}

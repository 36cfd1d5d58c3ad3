package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"example.org/bellstream/internal/lab/experiments"
)

// checkFlagsOfAll returns an error if a flag is set that "run all" does not support: one that applies to a single
// experiment, or one with which each experiment would overwrite the results of the one before.
func (r *runCmd) checkFlagsOfAll() error {
	if r.JSON || r.Report != "" || r.Without != "" || r.Only != "" || r.Seeds > 1 {
		return errors.New("all takes --seed, --quick, --out and --program alone")
	}
	return nil
}

// runInTurn runs the experiments in turn, also after one that fails, writes one line for each
// and reports whether all claims of all experiments held.
func runInTurn(list []experiments.Experiment, p experiments.Params, w io.Writer) bool {
	began, broken := time.Now(), 0
	for _, e := range list {
		mine := p
		mine.Out = filepath.Join(p.Out, e.Name)
		start := time.Now()
		r, err := e.Play(mine)
		state, found := "held", ""
		if err != nil || !r.Held {
			broken++
			state, found = "BROKEN", ": "+brokenReason(r, err)
		}
		fmt.Fprintf(w, "%-12s %-6s %4.0f s%s\n", e.Name, state, time.Since(start).Seconds(), found)
	}
	fmt.Fprintf(w, "%d of %d broken, seed %d, %.1f min\n", broken, len(list), p.Seed, time.Since(began).Minutes())
	return broken == 0
}

// brokenReason returns the error, the void reason or the broken claims of an experiment, on one line.
func brokenReason(r *experiments.Result, err error) string {
	if err != nil {
		return strings.ReplaceAll(err.Error(), "\n", " ")
	}
	var found []string
	if r.Void != "" {
		found = append(found, "void: "+r.Void)
	}
	for _, c := range r.Claims {
		if !c.Held {
			found = append(found, fmt.Sprintf("%s: %.4g %s, stated %.4g", c.Name, c.Measured, c.Unit, c.Bound))
		}
	}
	if len(found) == 0 {
		return "it claims nothing"
	}
	return strings.Join(found, "; ")
}

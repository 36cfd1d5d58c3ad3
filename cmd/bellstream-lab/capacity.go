package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"example.org/bellstream/internal/lab/capacity"
)

type capacityCmd struct {
	Page   string   `required:"" help:"The page whose tables are written." placeholder:"FILE"`
	Runs   []string `arg:"" help:"What 'run capacity --json' printed, files; the page numbers them in this order."`
	Before []string `help:"The same, from before a mechanism was changed: for the table of changes alone." placeholder:"FILE"`
	Check  bool     `help:"Write nothing; say whether the page has the tables of these runs."`
}

// errStale is returned with --check if the tables of the page differ from those of the runs.
var errStale = errors.New("its tables are not those of the runs: write it anew without --check")

func (c *capacityCmd) run(out io.Writer) error {
	runs, err := readRuns(c.Runs)
	if err != nil {
		return err
	}
	before, err := readRuns(c.Before)
	if err != nil {
		return err
	}
	current, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	updated, err := capacity.Fill(string(current), capacity.Tables(runs, before))
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", c.Page, err)
	case updated == string(current):
		fmt.Fprintf(out, "%s: has the tables of these runs\n", c.Page)
		return nil
	case c.Check:
		return fmt.Errorf("%s: %w", c.Page, errStale)
	}
	return os.WriteFile(c.Page, []byte(updated), 0o644)
}

func readRuns(files []string) (runs []capacity.Run, err error) {
	for _, name := range files {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		r, err := capacity.ReadRun(raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		runs = append(runs, r)
	}
	return runs, nil
}

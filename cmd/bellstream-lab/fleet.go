package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"example.org/bellstream/internal/lab/experiments"
)

type fleetCmd struct {
	File  string `arg:"" help:"Workers and their faults, in HCL; deploy/fleet.hcl shows how."`
	Check bool   `help:"Say what is wrong with the file, and start nothing."`
}

func (c *fleetCmd) run(out io.Writer) error {
	x, err := experiments.LoadFleet(c.File)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintf(out, "%s: in order\n", c.File)
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, err := x.Start(ctx)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(out, "discovery listens on %s\n%s\n", f.Discovery(), f.List())
	<-ctx.Done()
	f.Close()
	if x.Record == "" {
		return nil
	}
	file, err := os.Create(x.Record)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := json.NewEncoder(file)
	for _, a := range f.Attempts() {
		if err := lines.Encode(a); err != nil {
			return err
		}
	}
	return file.Close()
}

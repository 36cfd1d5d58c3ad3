// Command bellstream-lab runs the project's experiments. It exits with 0 if all
// claims hold, with 1 if a claim does not hold, a run is void or an
// experiment is interrupted, and with 2 on wrong usage and other errors. In a comparison and
// with several seeds, a void run is an error.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/alecthomas/kong"

	"example.org/bellstream/internal/lab/experiments"
	"example.org/bellstream/internal/lab/loadgen"
)

type cli struct {
	List    struct{}   `cmd:"" help:"List the experiments."`
	Run     runCmd     `cmd:"" help:"Run one, or all in turn, a line each."`
	Load    loadCmd    `cmd:"" help:"Ask a dispatcher, open loop, and say what its clients saw."`
	Fleet   fleetCmd   `cmd:"" help:"Run a fleet of emulated workers and discovery, as a file describes it, until Ctrl-C."`
	Hollow  struct{}   `cmd:"" hidden:"" help:"Run hollow instances as the standard input says: for experiments, which start it themselves."`
	Compare compareCmd `cmd:"" help:"Compare two builds, or one with and without a mechanism, pair by pair on the same seeds."`

	Capacity capacityCmd `cmd:"" help:"Write the tables of docs/CAPACITY.md, of what 'run capacity --json' printed."`
}

type loadCmd struct {
	Targets []string `arg:"" name:"target" help:"Where dispatchers listen, host:port; asked in turn."`
	Rate    float64  `default:"100" help:"Jobs a second, in the mean."`
	Shape   string   `default:"poisson" help:"poisson, even, bursts or day."`
	Burst   int      `default:"10" help:"Jobs in one of the bursts."`
	Period  float64  `default:"60" help:"Seconds of a day."`
	Span    float64  `default:"10" help:"Seconds."`
	Most    int      `default:"1000000" help:"Jobs at most."`
	Class   []string `default:"job:1:3" help:"NAME:WEIGHT:PATIENCE[:keyed][:SLOTS=WEIGHT...], several." placeholder:"CLASS"`
	Tenant  []string `default:"t:1" help:"NAME:WEIGHT, several."`
	Leave   float64  `help:"Part of the clients that leave before their patience ends."`
	Retries int      `help:"How often a client asks again after a refusal."`
	Obey    bool     `help:"Clients wait as Retry-After says."`
	Trace   string   `help:"Play recorded jobs instead: JSON lines with at, class, tenant, slots, timeout." placeholder:"FILE"`
	Seed    uint64   `help:"Seed of all that is drawn; 0 draws one."`
	JSON    bool     `name:"json" help:"Print the report as JSON."`
	Quiet   bool     `help:"No progress on the terminal."`
}

func (c *loadCmd) settings() (loadgen.Settings, error) {
	s := loadgen.Settings{Seed: c.Seed, Rate: c.Rate, Shape: c.Shape, Burst: c.Burst, Period: c.Period, Span: c.Span, MaxJobs: c.Most,
		DisconnectFraction: c.Leave, MaxRetries: c.Retries, HonorRetryAfter: c.Obey}
	for _, text := range c.Class {
		x, err := loadgen.ParseClass(text)
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, x)
	}
	for _, text := range c.Tenant {
		x, err := loadgen.ParseWeightedName(text, ":")
		if err != nil {
			return s, fmt.Errorf("tenant %w", err)
		}
		s.Tenants = append(s.Tenants, x)
	}
	return s, s.Validate()
}

// run generates the load, prints the report and returns the exit code: 0, 1 if the run is void, 2 on an error.
func (c *loadCmd) run() int {
	if c.Seed == 0 {
		c.Seed = rand.Uint64() >> 11
	}
	s, err := c.settings()
	o := experiments.LoadOptions{Targets: c.Targets, Settings: s}
	if err == nil && c.Trace != "" {
		var f *os.File
		if f, err = os.Open(c.Trace); err == nil {
			o.Trace, err = loadgen.ReadTrace(c.Trace, f)
			f.Close()
		}
	}
	if !c.Quiet && !c.JSON {
		o.Progress = os.Stderr
	}
	var r *experiments.LoadReport
	if err == nil { // after Ctrl-C no more requests are sent; the sent ones are awaited and reported
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		r, err = experiments.RunLoad(ctx, o)
	}
	if err == nil {
		if c.JSON {
			err = json.NewEncoder(os.Stdout).Encode(r)
		} else {
			err = r.Print(os.Stdout)
		}
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
		return 2
	case r.Void != "":
		return 1
	}
	return 0
}

type runCmd struct {
	Name    string `arg:"" help:"Experiment, or all."`
	Seed    uint64 `help:"Seed of all that is drawn; 0 draws one."`
	Quick   bool   `help:"Smaller, within 50 s."`
	JSON    bool   `name:"json" help:"Print the result as JSON."`
	Seeds   int    `default:"1" help:"So many seeds, one after the other, from the first on; a table of how each claim fared."`
	Report  string `help:"Write a report, one HTML file." placeholder:"FILE"`
	Out     string `help:"Folder for logs and records." placeholder:"DIR"`
	Without string `help:"Mechanism to switch off." placeholder:"WHAT"`
	Only    string `help:"Play these parts alone, where an experiment has parts: PART or PART,PART." placeholder:"PART"`
	Program string `help:"The program to run; default: bellstream beside this one." placeholder:"FILE"`
}

func main() {
	var c cli
	k := kong.Must(&c, kong.Name("bellstream-lab"), kong.UsageOnError(),
		kong.Description("Runs experiments on bellstream, on loopback or in virtual time."))
	ctx, err := k.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
		os.Exit(2)
	}
	if ctx.Command() == "list" {
		for _, e := range experiments.Experiments {
			fmt.Printf("%-14s %s", e.Name, e.About)
			if len(e.Without) > 0 {
				fmt.Printf(" (--without %v)", e.Without)
			}
			if len(e.Parts) > 0 {
				fmt.Printf(" (--only %v)", e.Parts)
			}
			fmt.Println()
		}
		return
	}
	if ctx.Command() == experiments.HollowCommand {
		if err := experiments.ServeHollow(); err != nil {
			fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
			os.Exit(2)
		}
		return
	}
	if strings.HasPrefix(ctx.Command(), "load") {
		os.Exit(c.Load.run())
	}
	if strings.HasPrefix(ctx.Command(), "fleet") {
		if err := c.Fleet.run(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
			os.Exit(2)
		}
		return
	}
	if strings.HasPrefix(ctx.Command(), "capacity") {
		if err := c.Capacity.run(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
			os.Exit(2)
		}
		return
	}
	log := func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	if strings.HasPrefix(ctx.Command(), "compare") {
		c.Compare.out = scratchFolder("")
		onInterrupt(func() {
			removeScratch()
			fmt.Fprintln(os.Stderr, "bellstream-lab: ended before its time: nothing is compared")
			os.Exit(1)
		})
		err := c.Compare.run(os.Stdout, log)
		removeScratch()
		if err != nil {
			fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
			os.Exit(2)
		}
		return
	}
	r := c.Run
	e := experiments.Find(r.Name)
	if e == nil && r.Name != "all" {
		fmt.Fprintf(os.Stderr, "bellstream-lab: there is no experiment %q: see bellstream-lab list\n", r.Name)
		os.Exit(2)
	}
	if r.Seed == 0 {
		r.Seed = rand.Uint64() >> 11 // 53 bits, which a JSON number holds exactly
	}
	// Ctrl-C ends the run: the experiment's processes end with this one, and the report says that the run is void.
	p := experiments.Params{Seed: r.Seed, Quick: r.Quick, Without: r.Without, Only: r.Only, Out: scratchFolder(r.Out), Program: r.Program, Log: log}
	if r.Name == "all" {
		runAll(r, p)
	}
	onInterrupt(func() { finish(r, e.InterruptedResult(r.Seed)) })
	if r.Seeds > 1 {
		held, err := runSeeds(e, p, r.Seeds, os.Stdout)
		removeScratch()
		if err != nil {
			fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
			os.Exit(2)
		}
		if !held {
			os.Exit(1)
		}
		return
	}
	result, err := e.Play(p)
	if err != nil {
		removeScratch()
		fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
		os.Exit(2)
	}
	finish(r, result)
}

// runAll runs all experiments and exits with the program's exit code. It drops their log lines: the one result line of
// each experiment is enough to follow the progress.
func runAll(r runCmd, p experiments.Params) {
	if err := r.checkFlagsOfAll(); err != nil {
		removeScratch()
		fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
		os.Exit(2)
	}
	onInterrupt(func() {
		removeScratch()
		fmt.Fprintln(os.Stderr, "bellstream-lab: ended before its time: not all claims were tried")
		os.Exit(1)
	})
	p.Log = nil
	held := runInTurn(experiments.Experiments, p, os.Stdout)
	removeScratch()
	if !held {
		os.Exit(1)
	}
	os.Exit(0)
}

// removeScratch removes the temporary folder that scratchFolder made, if any.
var removeScratch = func() {}

// scratchFolder returns the folder for an experiment's files: the given one or, if that is
// empty, a new temporary folder, which removeScratch removes.
func scratchFolder(given string) string {
	if given != "" {
		return given
	}
	dir, err := os.MkdirTemp("", "bellstream-lab-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
		os.Exit(2)
	}
	removeScratch = func() { os.RemoveAll(dir) }
	return dir
}

// onInterrupt calls do when the program is interrupted or terminated.
func onInterrupt(do func()) {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stops
		do()
	}()
}

var finishLock sync.Mutex // locked by the first call of finish and never released: only one result is written

// finish writes the result and exits with the program's exit code.
func finish(r runCmd, result *experiments.Result) {
	finishLock.Lock()
	removeScratch()
	if r.Report != "" {
		if err := writeReport(r.Report, result); err != nil {
			fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
			os.Exit(2)
		}
	}
	if err := result.Print(os.Stdout, r.JSON); err != nil {
		os.Exit(2)
	}
	if !result.Held {
		os.Exit(1)
	}
	os.Exit(0)
}

func writeReport(path string, r *experiments.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := r.Page().Write(f); err != nil {
		return err
	}
	return f.Close()
}

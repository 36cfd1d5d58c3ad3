// Command bellstream-lab runs the project's experiments. It exits with 0 if all
// claims hold, with 1 if one does not, and with 2 if it is called wrongly.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/alecthomas/kong"

	"example.org/bellstream/internal/lab"
)

type cli struct {
	List struct{} `cmd:"" help:"List the experiments."`
	Run  runCmd   `cmd:"" help:"Run one."`
}

type runCmd struct {
	Name    string `arg:"" help:"Experiment."`
	Seed    uint64 `help:"Seed of all that is drawn; 0 draws one."`
	Quick   bool   `help:"Smaller, within 50 s."`
	JSON    bool   `name:"json" help:"Print the result as JSON."`
	Out     string `help:"Folder for logs and records." placeholder:"DIR"`
	Without string `help:"Mechanism to switch off." placeholder:"WHAT"`
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
		for _, e := range lab.Experiments {
			fmt.Printf("%-14s %s", e.Name, e.About)
			if len(e.Without) > 0 {
				fmt.Printf(" (--without %v)", e.Without)
			}
			fmt.Println()
		}
		return
	}
	r := c.Run
	e := lab.Find(r.Name)
	if e == nil {
		fmt.Fprintf(os.Stderr, "bellstream-lab: there is no experiment %q: see bellstream-lab list\n", r.Name)
		os.Exit(2)
	}
	if r.Seed == 0 {
		r.Seed = rand.Uint64() >> 11 // to be exact in JSON
	}
	result, err := e.Play(lab.Params{Seed: r.Seed, Quick: r.Quick, Without: r.Without, Out: r.Out, Program: r.Program,
		Log: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }})
	if err != nil {
		fmt.Fprintln(os.Stderr, "bellstream-lab:", err)
		os.Exit(2)
	}
	if err := result.Print(os.Stdout, r.JSON); err != nil {
		os.Exit(2)
	}
	if !result.Held {
		os.Exit(1)
	}
}

package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
)

// run executes the command that args name and returns the exit status: exitOK, exitFailed or exitMisuse.
func run(args []string, out, errOut io.Writer) int {
	list := commands(out)
	if len(args) > 0 && isHelp(args[0]) {
		printProgramHelp(out, list)
		return exitOK
	}
	selected, args := selectCommand(list, args)
	flags := flag.NewFlagSet(selected.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if selected.flags != nil {
		selected.flags(flags)
	}
	rest, err := parseArgs(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		printCommandHelp(out, selected, flags)
		return exitOK
	}
	if err == nil {
		err = selected.validate(rest)
	}
	if err != nil {
		fmt.Fprintln(errOut, "bellstream:", err)
		return exitMisuse
	}
	if err := selected.run(rest); err != nil {
		fmt.Fprintln(errOut, "bellstream:", err)
		return exitFailed
	}
	return exitOK
}

func isHelp(arg string) bool {
	return slices.Contains([]string{"help", "-h", "-help", "--help"}, arg)
}

// selectCommand returns the command that args name and its arguments; the default is the first command of the list.
func selectCommand(list []*command, args []string) (*command, []string) {
	if len(args) > 0 {
		for _, candidate := range list {
			if candidate.name == args[0] {
				return candidate, args[1:]
			}
		}
	}
	return list[0], args
}

// validate checks the required flags and the number of arguments.
func (c *command) validate(args []string) error {
	if c.missing != nil {
		if missing := c.missing(); missing != "" {
			return fmt.Errorf("missing flags: %s", missing)
		}
	}
	if len(args) < c.minArgs {
		return fmt.Errorf("expected %s", c.args)
	}
	if c.maxArgs != unlimited && len(args) > c.maxArgs {
		return fmt.Errorf("unexpected argument %s", args[c.maxArgs])
	}
	return nil
}

// parseArgs sets the flags and returns the positional arguments. Flags may follow positional arguments.
func parseArgs(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		remaining := flags.Args()
		if len(remaining) == 0 {
			return positional, nil
		}
		parsed := len(args) - len(remaining)
		if parsed > 0 && args[parsed-1] == "--" { // everything after -- is positional
			return append(positional, remaining...), nil
		}
		positional = append(positional, remaining[0])
		args = remaining[1:]
	}
}

func printProgramHelp(out io.Writer, list []*command) {
	fmt.Fprint(out, "Usage: bellstream [command] [flags]\n\n"+
		"Dispatches jobs from many clients to a fleet of zone workers.\n\nCommands:\n")
	for _, c := range list {
		fmt.Fprintf(out, "  %-8s %s\n", c.name, c.summary)
	}
	fmt.Fprint(out, "\n\"bellstream COMMAND --help\" says more of one.\n")
}

func printCommandHelp(out io.Writer, c *command, flags *flag.FlagSet) {
	fmt.Fprintf(out, "Usage: bellstream %s [flags] %s\n\n%s\n", c.name, c.args, c.summary)
	if c.details != "" {
		fmt.Fprintf(out, "\n%s\n", c.details)
	}
	flags.VisitAll(func(f *flag.Flag) {
		value, usage := flag.UnquoteUsage(f)
		fmt.Fprintf(out, "\n  --%s %s\n    \t%s\n", f.Name, value, usage)
	})
}

package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"example.org/bellstream/internal/service"
)

// Environment variables that give flags their defaults.
const (
	configVariable   = "RELAY_CONFIG"
	operatorVariable = "BELLSTREAM_FILE"
	controlVariable  = "RELAY_CONTROL"
)

// unlimited is the maxArgs of a command that takes any number of arguments.
const unlimited = -1

// command is a subcommand. The command line uses package flag instead of kong: kong calls methods by name through
// reflection, so the linker would keep every exported method of the program, which adds 3.5 MB to the binary.
type command struct {
	name    string
	args    string // as shown by usage
	summary string
	details string // shown by the command's help only
	minArgs int
	maxArgs int
	flags   func(f *flag.FlagSet)     // nil if there are none
	missing func() string             // returns the required flags that are not set; nil if none is required
	run     func(args []string) error // an error means exitFailed
}

// commandLine holds the values of the flags and the writer that commands print to.
type commandLine struct {
	out            io.Writer
	operatorPath   string
	configPath     string
	adminAddress   string
	controlAddress string
	json           bool
}

// commands returns the subcommands; the first one is the default.
func commands(out io.Writer) []*command {
	line := &commandLine{out: out}
	return []*command{
		line.serve(),
		line.check(),
		line.peers(),
		line.waiting(),
		line.control(),
		line.version(),
	}
}

func (l *commandLine) serve() *command {
	return &command{
		name:    "serve",
		summary: "Dispatch jobs until SIGTERM (the default).",
		details: "The platform may set RELAY_CONTROL (or 'control' in its configuration), an address for operators' " +
			"commands; RELAY_INHERITED_FD, the descriptor of the clients' listening socket, for an upgrade beside " +
			"the running process; and TMPDIR, where the processes of an instance keep what operators said.",
		flags: func(f *flag.FlagSet) {
			l.addOperatorFlag(f, "Operator's `FILE` (HCL); all that it can switch on is off without it")
			f.StringVar(&l.configPath, "config", os.Getenv(configVariable),
				"The platform's configuration (JSON), a `FILE` ($RELAY_CONFIG).")
		},
		run: func([]string) error { return service.Serve(l.configPath, l.operatorPath) },
	}
}

func (l *commandLine) check() *command {
	return &command{
		name:    "check",
		args:    "FILE",
		minArgs: 1,
		maxArgs: 1,
		summary: "Check an operator's file without starting; with --config also whether its promises fit.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&l.configPath, "config", "",
				"The platform's configuration (JSON), a `FILE`, to check promises against its tenants.")
		},
		run: func(args []string) error { return service.Check(l.out, args[0], l.configPath) },
	}
}

func (l *commandLine) peers() *command {
	return &command{
		name:    "peers",
		summary: "Show the cluster as a running instance sees it.",
		flags:   l.addQueryFlags,
		run:     func([]string) error { return service.ShowPeers(l.out, l.query()) },
	}
}

func (l *commandLine) waiting() *command {
	return &command{
		name:    "waiting",
		summary: "Show what waits at a running instance.",
		flags:   l.addQueryFlags,
		run:     func([]string) error { return service.ShowWaiting(l.out, l.query()) },
	}
}

func (l *commandLine) control() *command {
	return &command{
		name:    "control",
		args:    "LINE...",
		minArgs: 1,
		maxArgs: unlimited,
		summary: "Say a line to a running instance's control address: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&l.controlAddress, "at", os.Getenv(controlVariable),
				"The control address of the instance, `HOST:PORT` ($RELAY_CONTROL).")
		},
		missing: func() string {
			if l.controlAddress == "" {
				return "--at=HOST:PORT"
			}
			return ""
		},
		run: func(args []string) error { return service.SendCommand(l.out, l.controlAddress, args) },
	}
}

func (l *commandLine) version() *command {
	return &command{
		name:    "version",
		summary: "Print the version.",
		run: func([]string) error {
			_, err := fmt.Fprintln(l.out, "bellstream", service.Version)
			return err
		},
	}
}

func (l *commandLine) addOperatorFlag(f *flag.FlagSet, usage string) {
	f.StringVar(&l.operatorPath, "file", os.Getenv(operatorVariable), usage+" ($BELLSTREAM_FILE).")
}

// addQueryFlags adds the flags of the commands that read from an instance's admin listener.
func (l *commandLine) addQueryFlags(f *flag.FlagSet) {
	f.StringVar(&l.adminAddress, "admin", "", "Admin listener of the instance, `HOST:PORT`.")
	l.addOperatorFlag(f, "Operator's `FILE`, to take the admin listener from")
	f.BoolVar(&l.json, "json", false, "Print what the instance says as it is.")
}

func (l *commandLine) query() service.AdminQuery {
	return service.AdminQuery{
		Address:      l.adminAddress,
		OperatorPath: l.operatorPath,
		JSON:         l.json,
	}
}

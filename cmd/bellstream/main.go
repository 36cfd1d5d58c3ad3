// Command bellstream is the dispatcher: it takes jobs from clients and has
// zone workers run them, as the decision module says. Without arguments it
// serves; all else is subcommands.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"example.org/bellstream/internal/service"
)

type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Dispatch jobs until SIGTERM (the default)."`
	Check   checkCmd   `cmd:"" help:"Check an operator's file without starting; with --config also whether its promises fit."`
	Peers   peersCmd   `cmd:"" help:"Show the cluster as a running instance sees it."`
	Waiting waitingCmd `cmd:"" help:"Show what waits at a running instance."`
	Control controlCmd `cmd:"" help:"Say a line to a running instance's control address: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	File   string `help:"Operator's file (HCL); all that it can switch on is off without it." env:"BELLSTREAM_FILE" placeholder:"FILE"`
	Config string `help:"The platform's configuration (JSON)." env:"RELAY_CONFIG" placeholder:"FILE"`
}

// Help says what the platform sets beside the file.
func (*serveCmd) Help() string {
	return "The platform may set RELAY_CONTROL (or 'control' in its configuration), an address for operators' commands; " +
		"RELAY_INHERITED_FD, the descriptor of the clients' listening socket, for an upgrade beside the running process; " +
		"and TMPDIR, where the processes of an instance keep what operators said."
}

func (c *serveCmd) Run() error { return service.Serve(c.Config, c.File) }

type checkCmd struct {
	File   string `arg:"" help:"Operator's file (HCL)."`
	Config string `help:"The platform's configuration (JSON), to check promises against its tenants." placeholder:"FILE"`
}

func (c *checkCmd) Run(out io.Writer) error { return service.Check(out, c.File, c.Config) }

type peersCmd struct {
	Admin string `help:"Admin listener of the instance." placeholder:"HOST:PORT"`
	File  string `help:"Operator's file, to take the admin listener from." env:"BELLSTREAM_FILE" placeholder:"FILE"`
	JSON  bool   `name:"json" help:"Print what the instance says as it is."`
}

func (c *peersCmd) Run(out io.Writer) error { return service.ShowPeers(out, c.Admin, c.File, c.JSON) }

type waitingCmd struct {
	Admin string `help:"Admin listener of the instance." placeholder:"HOST:PORT"`
	File  string `help:"Operator's file, to take the admin listener from." env:"BELLSTREAM_FILE" placeholder:"FILE"`
	JSON  bool   `name:"json" help:"Print what the instance says as it is."`
}

func (c *waitingCmd) Run(out io.Writer) error {
	return service.ShowWaiting(out, c.Admin, c.File, c.JSON)
}

type controlCmd struct {
	At   string   `help:"The control address of the instance." env:"RELAY_CONTROL" placeholder:"HOST:PORT" required:""`
	Line []string `arg:"" help:"The command and, where it takes one, the id of a worker."`
}

func (c *controlCmd) Run(out io.Writer) error { return service.Say(out, c.At, c.Line) }

type versionCmd struct{}

func (versionCmd) Run(out io.Writer) error {
	_, err := fmt.Fprintln(out, "bellstream", service.Version)
	return err
}

func main() {
	if len(os.Args) == 1 { // as the platform starts it: no parser is built
		if err := service.Serve(os.Getenv("RELAY_CONFIG"), os.Getenv("BELLSTREAM_FILE")); err != nil {
			fmt.Fprintln(os.Stderr, "bellstream:", err)
			os.Exit(1)
		}
		return
	}
	var c cli
	k := kong.Must(&c, kong.Name("bellstream"), kong.UsageOnError(),
		kong.Description("Dispatches jobs from many clients to a fleet of zone workers."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	ctx, err := k.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "bellstream:", err)
		os.Exit(2)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bellstream:", err)
		os.Exit(1)
	}
}

// Command bellstream is the dispatcher: it receives jobs from clients and sends them to zone workers. Without
// arguments it serves; the subcommands are for operators.
package main

import (
	"fmt"
	"os"

	"example.org/bellstream/internal/service"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitMisuse = 2
)

func main() {
	if len(os.Args) == 1 { // as the platform starts it; no command line is parsed
		if err := service.Serve(os.Getenv(configVariable), os.Getenv(operatorVariable)); err != nil {
			fmt.Fprintln(os.Stderr, "bellstream:", err)
			os.Exit(exitFailed)
		}
		return
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command stand plays the cases of the review: it starts the project's dispatcher as the deploy file does, with
// stand-ins for zone workers, discovery and clients on loopback, and judges what they saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest is the time after which a case that has not ended is given up.
const longest = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*rig) (int, error){
	"deferred-class": deferredClass,
	"crowd":          crowd,
	"foreign-drain":  foreignDrain,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER, with CASE one of", sorted(cases))
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, whose folder is review/N, and returns the exit code. All processes have ended when it returns.
func play(name, folder string) int {
	folder, err := filepath.Abs(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	r, err := newRig(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer r.close()
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that leaves must not leave processes behind
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	codes := make(chan int, 1)
	go func() {
		code, err := cases[name](r)
		if err != nil {
			r.say("the case could not run: %v", err)
			code = unable
		}
		codes <- code
	}()
	select {
	case code := <-codes:
		return code
	case s := <-stops:
		r.say("ended by %s", s)
	case <-time.After(longest):
		r.say("not ended in %v", longest)
	}
	return unable
}

// Stand-2 is the stand-in for clients, zone workers, discovery and the platform in the cases of the second review.
//
//	stand-2 CASE FOLDER
//
// It plays a case, writes record.txt to the folder, and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case couldn't run. With TROUBLE=0 the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held    = 0
	broken  = 1
	noCase  = 2
	maxTime = 115 * time.Second
)

// play plays a case on a new site, and reports whether the rule held.
type play func(s *site) (ruleHeld bool, err error)

var cases = map[string]play{
	"brokenfile": playBrokenFile,
	"halfclose":  playHalfClose,
	"pipeline":   playPipeline,
	"sameid":     playSameID,
	"upgrade":    playUpgrade,
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "check" { // run.sh asks whether this program can run here
		return
	}
	os.Exit(run0())
}

func run0() int {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		return noCase
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noCase
	}
	s, err := newSite(root, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noCase
	}
	defer s.close()
	type result struct {
		ok  bool
		err error
	}
	done := make(chan result, 1)
	go func() {
		ok, err := cases[os.Args[1]](s)
		done <- result{ok, errors.Join(err, s.unexpectedEnd())}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			s.record.say("the case couldn't run: %v", r.err)
			return noCase
		case r.ok:
			s.record.say("the rule held")
			return held
		}
		s.record.say("the rule was broken")
		return broken
	case sig := <-interrupts:
		s.record.say("the case couldn't run: %v", sig)
		return noCase
	case <-time.After(maxTime):
		s.record.say("the case couldn't run: it took more than %v", maxTime)
		return noCase
	}
}

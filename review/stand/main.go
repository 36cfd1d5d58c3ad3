// Command stand plays the cases of the review: it starts the project's dispatcher as the deploy file does, with
// stand-ins for zone workers, discovery and clients on loopback, and judges what they saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name.
var cases = map[string]func(*rig) (int, error){
	"deferred-class": deferredClass,
	"foreign-drain":  foreignDrain,
	"crowd":          crowd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER, with CASE one of", sorted(cases))
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, whose folder is review/N, and returns the exit code.
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
	code, err := cases[name](r)
	if err != nil {
		r.say("the case could not run: %v", err)
		return unable
	}
	return code
}

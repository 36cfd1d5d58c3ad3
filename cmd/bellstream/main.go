// Command bellstream is the dispatcher: it takes jobs from clients and has
// zone workers run them, as the decision module says.
package main

import (
	"context"
	"fmt"
	"log"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/egress"
	"example.org/bellstream/internal/ingress"
	"example.org/bellstream/internal/route"
	"example.org/bellstream/internal/settings"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bellstream:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, and returns when all is answered.
func run() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	conf, err := settings.Load(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		return err
	}
	limit(conf)
	logs := log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds)
	in, out := places(conf.Sockets)
	s := conf.Settings
	// A dial that outlasts the drain grace would send to a target that drains.
	dial := min(seconds(s.Caps.DialTimeout, 0.25), seconds(s.Rules.DrainGrace, 60))
	pool := &egress.Pool{Max: out, Dial: dial, Keep: seconds(s.Caps.Keepalive, 15) * 2 / 3, Now: time.Now}
	phases := &dispatcher.Phases{}
	d, err := dispatcher.New(dispatcher.Options{Settings: s, Seed: conf.Seed, Known: conf.Known, Egress: pool,
		Phases: phases, Log: logs.Printf, Now: time.Now,
		Watch: func(ctx context.Context, seq int64, each func(*route.Update)) error {
			return route.Watch(ctx, conf.Discovery, seq, each)
		}})
	if err != nil {
		return err
	}
	classes := map[string]ingress.Class{}
	for _, l := range s.Lanes {
		classes[l.Name] = ingress.Class{Keyed: l.Semantics == "keyed", Deadline: seconds(l.HardLimit, 60)}
	}
	l, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return err
	}
	defer l.Close()
	server := ingress.NewServer(classes, d, phases, in, logs.Printf)
	go server.Serve(l)
	go func() {
		logs.Printf("%s: stopping", <-signals)
		d.Stop()
	}()
	logs.Printf("dispatcher %s listens on %s", conf.Name, l.Addr())
	d.Run(server)
	logs.Printf("stopped")
	return nil
}

// seconds is a setting as a duration, or the given default where it is not set.
func seconds(v, none float64) time.Duration {
	if v <= 0 {
		v = none
	}
	return time.Duration(v * float64(time.Second))
}

// limit keeps the program within its share of the machine. Over the memory
// limit it would be killed, so the collector works harder well before that.
func limit(c *settings.Instance) {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4)
	}
}

// places divides the descriptors between clients and egress targets. Some are
// kept back for the log, the listener, the watch and the runtime. A job that is
// out takes one of each kind, one that waits only the client's; a sixteenth more
// of those serves to turn clients away.
func places(sockets int) (in, out int) {
	if sockets <= 0 {
		sockets = 1024
	}
	free := max(sockets-24, 16)
	out = free * 7 / 16
	return (free - out) * 16 / 17, out
}

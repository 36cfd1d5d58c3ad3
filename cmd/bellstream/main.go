// Command bellstream is the dispatcher: it takes jobs from clients and has
// zone workers run them, as the decision module says.
package main

import (
	"fmt"
	"log"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
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
	// Channels of their own, so that no crowd of the one signal can displace
	// the other. They are there before all else: SIGHUP would end the program.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	path := os.Getenv("RELAY_CONFIG")
	conf, err := settings.Load(path)
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
		Phases: phases, Log: logs.Printf, Now: time.Now, Discovery: conf.Discovery, Watch: route.Watch})
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
		logs.Printf("%s: stopping", <-stops)
		d.Stop()
	}()
	go func() {
		for range reloads {
			next, err := settings.Load(path)
			if err != nil {
				logs.Printf("reload: the old configuration stays in force: %v", err)
				continue
			}
			for _, what := range changes(conf, next) {
				logs.Printf("reload: %s", what)
			}
			limit(next)
			in, out := places(next.Sockets)
			server.Resize(in)
			pool.Resize(out)
			d.Redirect(next.Discovery)
			// What waits for the next start is told again by each reload.
			conf.Discovery, conf.Cores, conf.MemoryMB, conf.Sockets = next.Discovery, next.Cores, next.MemoryMB, next.Sockets
		}
	}()
	logs.Printf("dispatcher %s listens on %s", conf.Name, l.Addr())
	d.Run(server)
	logs.Printf("stopped")
	return nil
}

// changes says what a reload changes, and what it leaves for the next start.
// Seed and known list are for a start only.
func changes(old, next *settings.Instance) (said []string) {
	say := func(format string, args ...any) { said = append(said, fmt.Sprintf(format, args...)) }
	if old.Discovery != next.Discovery {
		say("discovery is at %s now", next.Discovery)
	}
	if old.Cores != next.Cores || old.MemoryMB != next.MemoryMB || old.Sockets != next.Sockets {
		say("limits are %v cores, %d MB, %d descriptors now", next.Cores, next.MemoryMB, next.Sockets)
	}
	if old.Listen != next.Listen || old.Name != next.Name {
		say("name and listen address stay %s and %s until the next start", old.Name, old.Listen)
	}
	if !reflect.DeepEqual(old.Settings, next.Settings) {
		say("the settings stay the old ones until the next start")
	}
	if said == nil {
		say("nothing has changed")
	}
	return said
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

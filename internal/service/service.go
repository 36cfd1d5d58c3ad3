// Package service puts one dispatcher together: settings, sockets, the loop and
// the subsystems of the operator's file, and plays signals to them.
package service

import (
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/control/door"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/egress"
	"example.org/bellstream/internal/ingress"
	"example.org/bellstream/internal/logging"
	"example.org/bellstream/internal/operator"
	"example.org/bellstream/internal/route"
	"example.org/bellstream/internal/settings"
)

// subsystem is what the operator's file switches on. One is added by its
// construction and a line in parts; the loop knows none of them.
type subsystem interface {
	Reload(f *operator.File) error // SIGHUP, with the file as it is now
	Leave()                        // the stop has begun
	Close()                        // all is answered
}

// Version is the build's, set by the linker where it is known.
var Version = "dev"

// Serve serves until SIGTERM or SIGINT, and returns when all is answered. With
// no operator's file it does what the platform's own configuration says, and
// nothing else.
func Serve(config, file string) error {
	// Channels of their own, so that no crowd of the one signal can displace
	// the other. They are there before all else: SIGHUP would end the program.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	conf, err := settings.Load(config)
	if err != nil {
		return err
	}
	var op *operator.File
	if file != "" {
		if op, err = operator.Load(file); err != nil {
			return err
		}
	}
	if conf.Control == "" {
		conf.Control = os.Getenv("RELAY_CONTROL")
	}
	limit(conf)
	log, err := logger(op)
	if err != nil {
		return err
	}
	logf := logging.Printf(log)
	for _, w := range operator.Warnings(conf.Settings) {
		log.Warn().Msg(w)
	}
	in, out := places(room(conf))
	s := conf.Settings
	// A dial that outlasts the drain grace would send to a target that drains.
	dial := min(seconds(s.Caps.DialTimeout, 0.25), seconds(s.Rules.DrainGrace, 60))
	pool := &egress.Pool{Max: out, Dial: dial, Keep: seconds(s.Caps.Keepalive, 15) * 2 / 3, Now: time.Now}
	o := dispatcher.Options{Settings: s, Seed: conf.Seed, Known: conf.Known, Egress: pool, Phases: &dispatcher.Phases{},
		Log: logf, Now: time.Now, Discovery: conf.Discovery, Watch: route.Watch}
	parts, err := build(op, conf, log, &o)
	if err != nil {
		return err
	}
	defer parts.close()
	d, err := dispatcher.New(o)
	if err != nil {
		return err
	}
	parts.bind(d)
	classes := map[string]ingress.Class{}
	for _, l := range s.Lanes {
		classes[l.Name] = ingress.Class{Keyed: l.Semantics == "keyed", Deadline: seconds(l.HardLimit, 60)}
	}
	l, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return err
	}
	defer l.Close()
	server := ingress.NewServer(classes, d, o.Phases, in, logf)
	server.Waits = o.Waiting != nil
	if conf.Control != "" {
		cl, err := net.Listen("tcp", conf.Control)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		defer door.Open(cl, d, logf).Close()
		logf("control listens on %s", cl.Addr())
	}
	go server.Serve(l)
	go func() {
		logf("%s: stopping", <-stops)
		parts.leave()
		d.Stop()
	}()
	go func() {
		for range reloads {
			next, err := settings.Load(config)
			if err != nil {
				logf("reload: the old configuration stays in force: %v", err)
				continue
			}
			for _, what := range changes(conf, next) {
				logf("reload: %s", what)
			}
			next.Control = conf.Control // it is bound for good
			limit(next)
			in, out := places(room(next))
			server.Resize(in)
			pool.Resize(out)
			d.Redirect(next.Discovery)
			// What waits for the next start is told again by each reload.
			conf.Discovery, conf.Cores, conf.MemoryMB, conf.Sockets = next.Discovery, next.Cores, next.MemoryMB, next.Sockets
			if file != "" {
				parts.reload(file, log)
			}
		}
	}()
	logf("dispatcher %s listens on %s", conf.Name, l.Addr())
	d.Run(server)
	logf("stopped")
	return nil
}

func logger(op *operator.File) (zerolog.Logger, error) {
	level, format := "", ""
	if op != nil && op.Log != nil {
		level, format = op.Log.Level, op.Log.Format
	}
	return logging.New(os.Stderr, level, format)
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
	if next.Control != "" && old.Control != next.Control {
		say("control stays %s until the next start", old.Control)
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

// room is what is left of the descriptors beside those of the control address.
func room(c *settings.Instance) int {
	if c.Control != "" && c.Sockets > 0 {
		return c.Sockets - door.Most - 1
	}
	return c.Sockets
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

// Package service assembles a dispatcher: settings, sockets, the loop and the subsystems of the operator's
// file. It handles the signals of the process, and implements the subcommands that operators call.
package service

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/control/server"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/logging"
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// Version is the version of the build; the linker sets it.
var Version = "dev"

// Serve runs a dispatcher until SIGTERM or SIGINT, and returns when all requests are answered. If operatorPath is
// empty, only the platform's configuration applies.
func Serve(configPath, operatorPath string) error {
	// Each kind of signal has its own channel, so that many signals of one kind can't displace the other. The handlers
	// are registered first, as an unhandled SIGHUP would end the program.
	stops := make(chan os.Signal, 1)
	reloads := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	return serve(configPath, operatorPath, stops, reloads)
}

func serve(configPath, operatorPath string, stops, reloads <-chan os.Signal) error {
	conf, file, err := load(configPath, operatorPath)
	if err != nil {
		return err
	}
	applyLimits(conf, 1)
	log, err := newLogger(file)
	if err != nil {
		return err
	}
	logWarnings(log, conf, file)
	logf := logging.Printf(log)
	budget := splitDescriptors(descriptorBudget(conf))
	pool := newPool(conf.Settings, budget)
	options := loopOptions(conf, pool, logf)
	running, err := build(file, conf, log, &options)
	if err != nil {
		return err
	}
	defer running.close()
	loop, err := dispatcher.New(options)
	if err != nil {
		return err
	}
	running.bind(loop)
	if stoppedEarly(stops, logf) {
		return nil
	}
	listener, inherited, err := listen(conf.Listen)
	if err != nil {
		return err
	}
	clients := limitClients(conf, 1, budget.downstream)
	srv := downstream.NewServer(classes(conf.Settings), loop, options.Phases, clients, logf)
	srv.SetRequestMemory(requestBytes(conf, 1, clients))
	srv.AcceptDependencies = options.Deferred != nil
	inst := newInstance(configPath, conf, loop, &options)
	inst.server = srv
	inst.pool = pool
	closeControl, err := openControl(inst, inherited)
	if err != nil {
		return err
	}
	defer closeControl()
	go func() { _ = srv.Serve(listener) }() // the error is always nil
	go awaitStop(stops, loop, running, logf)
	go handleReloads(reloads, inst, running, operatorPath, log)
	logf("dispatcher %s listens on %s", conf.Name, listener.Addr())
	loop.Run(srv)
	logf("stopped")
	return nil
}

// handleReloads reloads the configuration at each signal, and the operator's file if the configuration is valid.
func handleReloads(
	reloads <-chan os.Signal, inst *instance, running *subsystems, operatorPath string, log zerolog.Logger,
) {
	for range reloads {
		if inst.reload() && operatorPath != "" {
			running.reload(operatorPath, log)
		}
	}
}

// load reads the platform's configuration and the operator's file; the file is nil if operatorPath is empty.
func load(configPath, operatorPath string) (*settings.Instance, *operatorconfig.File, error) {
	conf, err := settings.Load(configPath)
	if err != nil {
		return nil, nil, err
	}
	if conf.Control == "" {
		conf.Control = os.Getenv("RELAY_CONTROL")
	}
	if operatorPath == "" {
		return conf, nil, nil
	}
	file, err := operatorconfig.Load(operatorPath)
	if err != nil {
		return nil, nil, err
	}
	return conf, file, nil
}

func newLogger(file *operatorconfig.File) (zerolog.Logger, error) {
	if file == nil || file.Log == nil {
		return logging.New(os.Stderr, "", "")
	}
	return logging.New(os.Stderr, file.Log.Level, file.Log.Format)
}

func logWarnings(log zerolog.Logger, conf *settings.Instance, file *operatorconfig.File) {
	warnings := operatorconfig.Warnings(conf.Settings)
	if file != nil {
		warnings = append(warnings, file.Warnings()...)
	}
	for _, warning := range warnings {
		log.Warn().Msg(warning)
	}
}

func loopOptions(conf *settings.Instance, pool *upstream.Pool, logf func(string, ...any)) dispatcher.Options {
	return dispatcher.Options{
		Settings:        conf.Settings,
		Seed:            conf.Seed,
		CachedEndpoints: conf.CachedEndpoints,
		Upstream:        pool,
		Phases:          &dispatcher.Phases{},
		Log:             logf,
		Now:             time.Now,
		Discovery:       conf.Discovery,
		Watch:           endpoints.Watch,
		AcceptsCommands: conf.Control != "",
		MaxSentIDs:      conf.MemoryMB * sentIDsPerMB,
	}
}

// stoppedEarly reports whether the stop signal arrived during startup. In that case no client is accepted, as its
// connection would be closed again at once.
func stoppedEarly(stops <-chan os.Signal, logf func(string, ...any)) bool {
	select {
	case sig := <-stops:
		logf("%s: stopping during startup", sig)
		return true
	default:
		return false
	}
}

func newPool(s *settings.Settings, budget descriptorSplit) *upstream.Pool {
	dialTimeout, idleTimeout := poolTimeouts(s)
	return &upstream.Pool{
		MaxConns:    budget.upstream,
		DialTimeout: dialTimeout,
		IdleTimeout: idleTimeout,
		Now:         time.Now,
	}
}

// openControl opens the control address if one is configured. If so, or if the clients' socket is inherited, it also
// joins the other processes of the same dispatcher. The returned function ends both.
func openControl(inst *instance, inherited bool) (func(), error) {
	address := inst.conf.Control
	if address == "" && !inherited {
		return func() {}, nil
	}
	var listener net.Listener
	if address != "" {
		var err error
		listener, err = net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	group := newProcessGroup(inst.conf, inst.loop, inst, inst.logf)
	if listener == nil {
		return group.close, nil
	}
	control := server.Open(listener, group, inst.logf)
	inst.logf("control listens on %s", listener.Addr())
	return func() {
		control.Close()
		group.close()
	}, nil
}

// awaitStop waits for the stop signal and begins the shutdown; further signals have no effect. The loop is stopped
// first, as a subsystem's Leave may block while the time until the platform's SIGKILL passes.
func awaitStop(
	stops <-chan os.Signal, loop *dispatcher.Dispatcher, running *subsystems, logf func(string, ...any),
) {
	sig := <-stops
	loop.Stop()
	logf("%s: stopping", sig)
	running.leave()
}

package service

import (
	"sync"

	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// instance holds the parts of a dispatcher that a reload of the platform's configuration changes.
type instance struct {
	configPath string
	server     *downstream.Server
	pool       *upstream.Pool
	loop       *dispatcher.Dispatcher
	phases     *dispatcher.Phases
	logf       func(format string, args ...any)

	mu        sync.Mutex
	conf      *settings.Instance // the configuration in force
	processes int                // number that share the limits, including this one
}

// newInstance returns an instance whose process has the limits to itself. The caller sets server and pool.
func newInstance(
	configPath string, conf *settings.Instance, loop *dispatcher.Dispatcher, options *dispatcher.Options,
) *instance {
	return &instance{
		configPath: configPath,
		conf:       conf,
		loop:       loop,
		phases:     options.Phases,
		logf:       options.Log,
		processes:  1,
	}
}

// setProcesses sets the number of processes that share the limits, and applies this process's part.
func (i *instance) setProcesses(processes int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.processes = processes
	i.resize()
}

// resize applies this process's part of the limits; the caller holds mu.
func (i *instance) resize() {
	applyLimits(i.conf, i.processes)
	budget := splitDescriptors(descriptorBudget(i.conf) / i.processes)
	clients := limitClients(i.conf, i.processes, budget.downstream)
	i.server.Resize(clients)
	i.server.SetRequestMemory(requestBytes(i.conf, i.processes, clients))
	i.pool.Resize(budget.upstream)
}

// reload reads the configuration again and applies it. If the file is invalid, it changes nothing and returns false.
func (i *instance) reload() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	next, err := i.conf.Reload(i.configPath)
	if err != nil {
		i.logf("reload: the old configuration stays in force: %v", err)
		return false
	}
	for _, change := range describeChanges(i.conf, next) {
		i.logf("reload: %s", change)
	}
	for _, warning := range operatorconfig.Warnings(next.Settings) {
		i.logf("%s", warning)
	}
	i.apply(next)
	return true
}

// apply puts a configuration into force; the caller holds mu.
func (i *instance) apply(next *settings.Instance) {
	// Name, listen address and control address stay until a restart. Keeping the values in use makes each reload
	// report how the file differs from them.
	next.Name = i.conf.Name
	next.Listen = i.conf.Listen
	next.Control = i.conf.Control
	*i.conf = *next
	i.resize()
	i.pool.SetTimeouts(poolTimeouts(next.Settings))
	// The loop is updated before the server: it must know a class before the first job of the class arrives.
	i.loop.ApplySettings(next.Settings)
	i.server.SetClasses(classes(next.Settings))
	i.loop.Redirect(next.Discovery)
}

// classes returns the settings' classes by name, as package downstream uses them.
func classes(s *settings.Settings) map[string]downstream.Class {
	byName := map[string]downstream.Class{}
	definitions := s.Config().Classes
	for i, class := range s.Classes {
		byName[class.Name] = downstream.Class{
			Keyed:      class.Idempotence == "keyed",
			Deadline:   seconds(class.Deadline(), 0),
			Definition: &definitions[i],
		}
	}
	return byName
}

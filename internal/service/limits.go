package service

import (
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"example.org/bellstream/internal/control/server"
	"example.org/bellstream/internal/settings"
)

const (
	defaultDescriptors  = 1024
	reservedDescriptors = 24 // for the log, the listener, the watch of discovery and the runtime
	minFreeDescriptors  = 16

	sentIDsPerMB = 2048 // remembered ids of sent requests take up to 8 % of the memory

	defaultDialTimeoutSeconds = 0.25
	defaultIdleTimeoutSeconds = 15
	defaultDrainGraceSeconds  = 60
)

// descriptorSplit is the number of connections that may be open to clients and to workers.
type descriptorSplit struct {
	downstream, upstream int
}

// seconds converts a setting in seconds to a duration. A value that is not positive is replaced by the default.
func seconds(value, defaultValue float64) time.Duration {
	if value <= 0 {
		value = defaultValue
	}
	return time.Duration(value * float64(time.Second))
}

// Memory of a process, in bytes.
const (
	outsideHeapBytes = 13 << 20 // resident beside what the garbage collector limits: the program's file, mostly
	idleBytes        = 20 << 20 // resident with few connections, and what the collector needs beside them
	clientBytes      = 28 << 10 // a client's connection with a small request
	minHeapBytes     = 8 << 20
	minRequestBytes  = 1 << 20
	minClients       = 64
)

// applyLimits sets the runtime's CPU and memory limits. The memory limit is divided among the processes of the
// dispatcher. The garbage collector's limit is 3/4 of the memory, or what is left beside the program's file, as the
// platform kills a process that exceeds its memory limit.
func applyLimits(conf *settings.Instance, processes int) {
	if conf.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Cores))))
	}
	if memory := memoryBytes(conf); memory > 0 {
		heap := min(memory*3/4, memory-outsideHeapBytes) / int64(processes)
		debug.SetMemoryLimit(max(heap, minHeapBytes))
	}
}

// memoryBytes returns the configured memory limit; 0: none.
func memoryBytes(conf *settings.Instance) int64 { return int64(conf.MemoryMB) << 20 }

// limitClients limits the number of clients' connections to those that fit into a process's part of the memory.
func limitClients(conf *settings.Instance, processes, descriptors int) int {
	memory := memoryBytes(conf)
	if memory == 0 {
		return descriptors
	}
	clients := (memory - idleBytes) / clientBytes / int64(processes)
	return min(descriptors, max(int(clients), minClients))
}

// requestBytes returns a process's part of the memory for large requests; 0: no limit. It is half of what is left
// beside an idle process and the connections of clients, as the garbage collector needs the other half.
func requestBytes(conf *settings.Instance, processes, clients int) int64 {
	memory := memoryBytes(conf)
	if memory == 0 {
		return 0
	}
	left := (memory-idleBytes)/int64(processes) - int64(clients)*clientBytes
	return max(left/2, minRequestBytes)
}

// descriptorBudget returns the number of descriptors for clients and workers: the configured number without the
// descriptors of the control address. It is 0 if no number is configured.
func descriptorBudget(conf *settings.Instance) int {
	if conf.Control != "" && conf.Sockets > 0 {
		return conf.Sockets - server.MaxConnections - 1
	}
	return conf.Sockets
}

// splitDescriptors divides the descriptors between clients and workers. A job in flight takes one of each side, a
// queued job only the client's. Of the clients' descriptors, 1 in 17 is kept free, so that a client beyond the limit
// can be rejected with an answer.
func splitDescriptors(descriptors int) descriptorSplit {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	free := max(descriptors-reservedDescriptors, minFreeDescriptors)
	upstream := free * 7 / 16
	return descriptorSplit{
		downstream: (free - upstream) * 16 / 17,
		upstream:   upstream,
	}
}

// poolTimeouts returns the timeouts of a dial and of an idle connection. A dial never takes longer than the drain
// grace: otherwise an attempt could be sent to a worker whose drain grace is over.
func poolTimeouts(s *settings.Settings) (dial, idle time.Duration) {
	dialTimeout := seconds(s.Capabilities.DialTimeout, defaultDialTimeoutSeconds)
	drainGrace := seconds(s.FleetRules.DrainGrace, defaultDrainGraceSeconds)
	idleTimeout := seconds(s.Capabilities.IdleTimeout, defaultIdleTimeoutSeconds)
	return min(dialTimeout, drainGrace), idleTimeout * 2 / 3
}

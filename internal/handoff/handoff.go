// Package handoff decides which process of a dispatcher accepts new clients while
// an upgrade runs a new process beside the old one. It also holds the state that
// operators' commands set for all processes. It does no I/O and reads no clock.
package handoff

// ProcessState is the state of a process.
type ProcessState string

// The states of a process.
const (
	Starting ProcessState = "starting" // can't serve yet
	Ready    ProcessState = "ready"    // can serve
	Draining ProcessState = "leaving"  // drains before it stops
)

// Process is a running process.
type Process struct {
	ID    uint64 // higher for processes that started later
	State ProcessState
}

// IsLeader reports whether the process with an ID accepts new clients. The ready
// process with the highest ID does; if none is ready, all processes do.
func IsLeader(id uint64, running []Process) bool {
	var leader uint64
	for _, process := range running {
		if process.State == Ready {
			leader = max(leader, process.ID)
		}
	}
	return leader == 0 || leader == id
}

// SentPrefix stands before the ID of a job that is sent to a worker, in what processes publish. IDs don't begin
// with it.
const SentPrefix = "\t"

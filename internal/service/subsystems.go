package service

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/operatorconfig"
)

// Loop is the part of a dispatcher's loop that subsystems call. A call blocks at most until the loop's queue has room.
type Loop interface {
	UpdateQuotas(updates []balance.QuotaUpdate)
	Wake()
	Notify()
	SetDeferredLimits(l deferred.Limits)
	SetMaxWaits(waits map[string]float64)
	Stats() (dispatcher.Stats, bool)
}

// subsystem is a feature that a block of the operator's file enables. A new subsystem needs a step in builder; the
// loop doesn't depend on subsystems.
type subsystem interface {
	// Reload applies the operator's file as read again after a SIGHUP.
	Reload(file *operatorconfig.File) error
	// Leave is called when the shutdown begins.
	Leave()
	// Close is called when all requests are answered.
	Close()
}

// subsystems are the running subsystems; there are none without an operator's file.
type subsystems struct {
	mu      sync.Mutex // held during Reload, Leave and Close, so that a closed subsystem isn't called
	running []subsystem
	loop    atomic.Pointer[Loop]
	sharded bool // quota updates are dropped, as each shard's owner applies the full reservation
}

func (s *subsystems) add(added subsystem) { s.running = append(s.running, added) }

// bind sets the loop that the subsystems call. Calls before bind are dropped.
func (s *subsystems) bind(loop Loop) { s.loop.Store(&loop) }

func (s *subsystems) updateQuotas(updates []balance.QuotaUpdate) {
	if loop := s.loop.Load(); loop != nil && !s.sharded {
		(*loop).UpdateQuotas(updates)
	}
}

func (s *subsystems) triggerLoop() {
	if loop := s.loop.Load(); loop != nil {
		(*loop).Wake()
	}
}

func (s *subsystems) notifyConfigChange() {
	if loop := s.loop.Load(); loop != nil {
		(*loop).Notify()
	}
}

func (s *subsystems) stats() (dispatcher.Stats, bool) {
	if loop := s.loop.Load(); loop != nil {
		return (*loop).Stats()
	}
	return dispatcher.Stats{}, false
}

// leave announces the shutdown to all subsystems.
func (s *subsystems) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range s.running {
		running.Leave()
	}
}

// close ends all subsystems, in the reverse order of their start.
func (s *subsystems) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range slices.Backward(s.running) {
		running.Close()
	}
	s.running = nil
}

// reload reads the operator's file again and applies it. An invalid file changes nothing.
func (s *subsystems) reload(path string, log zerolog.Logger) {
	file, err := operatorconfig.Load(path)
	if err != nil {
		log.Error().Msgf("reload: the old operator's file stays in force: %v", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range s.running {
		if err := running.Reload(file); err != nil {
			log.Error().Msgf("reload: %v", err)
		}
	}
}

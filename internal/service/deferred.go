package service

import (
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
)

// outcomesPerMB is the number of outcomes of ended jobs kept for each MB of memory, unless the file sets it. One takes
// some 400 bytes, and clients choose how many there are.
const outcomesPerMB = 256

// deferredLimits returns the limits of the waiting block, which must be there, within the instance's memory.
func deferredLimits(file *operatorconfig.File, conf *settings.Instance) (deferred.Limits, error) {
	limits, err := file.DeferredLimits()
	if err == nil && file.Deferred.RetainedOutcomes == nil && conf.MemoryMB > 0 {
		limits.RetainedOutcomes = min(limits.RetainedOutcomes, conf.MemoryMB*outcomesPerMB)
	}
	return limits, err
}

// deferredSubsystem applies reloaded limits of the waiting block to jobs that arrive after the reload.
type deferredSubsystem struct {
	subsystems *subsystems
	conf       *settings.Instance // the configuration in force
}

// Reload applies new limits. If the file no longer has the block, the limits stay until a restart, as switching the
// feature off would lose deferred jobs.
func (s deferredSubsystem) Reload(file *operatorconfig.File) error {
	if file.Deferred == nil {
		return nil
	}
	limits, err := deferredLimits(file, s.conf)
	if err != nil {
		return err
	}
	(*s.subsystems.loop.Load()).SetDeferredLimits(limits)
	return nil
}

// Leave does nothing.
func (deferredSubsystem) Leave() {}

// Close does nothing.
func (deferredSubsystem) Close() {}

// maxWaitSubsystem applies reloaded maximum waits of the ageing blocks to jobs that arrive after the reload.
type maxWaitSubsystem struct {
	subsystems *subsystems
	conf       *settings.Instance // the configuration in force
}

// Reload applies new maximum waits.
func (s maxWaitSubsystem) Reload(file *operatorconfig.File) error {
	waits, err := file.MaxWaits(s.conf.Settings.Classes)
	if err != nil {
		return err
	}
	(*s.subsystems.loop.Load()).SetMaxWaits(waits)
	return nil
}

// Leave does nothing.
func (maxWaitSubsystem) Leave() {}

// Close does nothing.
func (maxWaitSubsystem) Close() {}

package service

import (
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
)

// deferredSubsystem applies reloaded limits of the waiting block to jobs that arrive after the reload.
type deferredSubsystem struct{ subsystems *subsystems }

// Reload applies new limits. If the file no longer has the block, the limits stay until a restart, as switching the
// feature off would lose deferred jobs.
func (s deferredSubsystem) Reload(file *operatorconfig.File) error {
	if file.Deferred == nil {
		return nil
	}
	limits, err := file.DeferredLimits()
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

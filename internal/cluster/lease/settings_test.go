package lease

import (
	"errors"
	"math"
	"testing"
)

func TestSettings(t *testing.T) {
	if err := DefaultSettings.Validate(); err != nil {
		t.Error(err)
	}
	for key, f := range map[string]func(s *Settings){
		"accord.lease":  func(s *Settings) { s.LeaseSeconds = math.NaN() },
		"accord.period": func(s *Settings) { s.RenewIntervalSeconds = 1.1 },
		"accord.delay":  func(s *Settings) { s.NetworkDelaySeconds = 0.2 },
		"accord.drift":  func(s *Settings) { s.ClockDrift = -0.1 },
		"accord.look":   func(s *Settings) { s.PollIntervalSeconds = 4 },
	} {
		s := DefaultSettings
		f(&s)
		var bad *InvalidSettingError
		if err := s.Validate(); !errors.As(err, &bad) || bad.Key != key {
			t.Errorf("invalid %s: got error %v", key, err)
		}
	}
	b := DefaultSettings.Bounds()
	if math.Abs(b.ConflictSeconds-3.08) > 1e-9 || b.PropagationSeconds >= b.ConflictSeconds || b.AdvanceSeconds <= b.PropagationSeconds || b.AdvanceAfterLossSeconds <= b.ConflictSeconds-0.1 || b.AdvanceAfterElectionSeconds <= b.AdvanceAfterLossSeconds {
		t.Errorf("bounds of the default settings: got %+v", b)
	}
}

package quota_test

import (
	"testing"

	"example.org/bellstream/internal/cluster/quota"
)

func TestSettingsValidation(t *testing.T) {
	good := settings(5)
	if key, err := good.Validate(5, 20, 10, 0.2); err != nil {
		t.Errorf("valid settings rejected for %s: %v", key, err)
	}
	for _, c := range []struct {
		key           string
		maxShareError float64
		change        func(*quota.Settings)
	}{
		{"period", 0, func(s *quota.Settings) { s.Period = 0 }},
		{"staleness", 0, func(s *quota.Settings) { s.LeaseDuration = 0.5 }},
		{"forget", 0, func(s *quota.Settings) { s.ForgetAfter = 5 }},
		{"loss", 0, func(s *quota.Settings) { s.LossRate = 0.7 }},
		{"delay", 0, func(s *quota.Settings) { s.MaxDelay = -1 }},
		{"floor", 0, func(s *quota.Settings) { s.RetainedFraction = 0.9 }},
		{"floor", 0.2, func(s *quota.Settings) { s.RetainedFraction = 0.4 }},
		{"period", 0.2, func(s *quota.Settings) { s.Period, s.LeaseDuration = 1, 8 }},
	} {
		s := good
		c.change(&s)
		if key, err := s.Validate(5, 20, 10, c.maxShareError); key != c.key || err == nil {
			t.Errorf("got key %s, error %v; want an error for %s", key, err, c.key)
		}
	}
}

package operatorconfig

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"example.org/bellstream/internal/cluster/lease"
)

// Lease configures how the instances of a cluster agree on a configuration.
type Lease struct {
	Cluster      string            `hcl:"cluster"`
	Name         string            `hcl:"name,optional"` // default: the instance's name
	Listen       string            `hcl:"listen"`        // TCP; an instance that does not vote dials from this address
	Folder       string            `hcl:"folder"`        // on persistent storage, used by no other instance
	Voters       map[string]string `hcl:"voters"`        // addresses by name
	Lease        string            `hcl:"lease,optional"`
	Period       string            `hcl:"period,optional"`
	Delay        string            `hcl:"delay,optional"`
	PollInterval string            `hcl:"look,optional"`
	Drift        *float64          `hcl:"drift,optional"`
	MaxConflict  string            `hcl:"max_loose,optional"` // the file is rejected if this can't be met
	Journal      string            `hcl:"journal,optional"`
	Leases       *bool             `hcl:"leases,optional"` // false: no leases, for experiments that show their effect
}

// LeaseSettings returns the settings of the accord block, with defaults for missing keys.
func (f *File) LeaseSettings() (lease.Settings, error) {
	s := lease.DefaultSettings
	block := f.Lease
	if block == nil {
		return s, nil
	}
	errs := &collector{file: f}
	maxConflictSeconds := 0.0
	errs.leaseDuration("lease", block.Lease, &s.LeaseSeconds)
	errs.leaseDuration("period", block.Period, &s.RenewIntervalSeconds)
	errs.leaseDuration("delay", block.Delay, &s.NetworkDelaySeconds)
	errs.leaseDuration("look", block.PollInterval, &s.PollIntervalSeconds)
	override(&s.ClockDrift, block.Drift)
	errs.leaseDuration("max_loose", block.MaxConflict, &maxConflictSeconds)
	var invalid *lease.InvalidSettingError
	if err := s.Validate(); errors.As(err, &invalid) {
		errs.add("accord", strings.TrimPrefix(invalid.Key, "accord."), errors.New(invalid.Reason))
	} else if len(errs.errs) == 0 {
		errs.add("accord", "max_loose", checkMaxConflict(s, maxConflictSeconds))
	}
	return s, errors.Join(errs.errs...)
}

// leaseDuration sets seconds to the duration in text, the value of a key of the accord block, unless that is
// empty. The duration must be above 0.
func (c *collector) leaseDuration(key, text string, seconds *float64) {
	if text == "" {
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 {
		c.add("accord", key, fmt.Errorf("%q is not a duration above 0 (examples: \"250ms\", \"3s\")", text))
		return
	}
	*seconds = duration.Seconds()
}

// checkMaxConflict checks that instances never act on two conflicting versions for longer than maxSeconds; 0
// means no limit.
func checkMaxConflict(s lease.Settings, maxSeconds float64) error {
	conflictSeconds := s.Bounds().ConflictSeconds
	if maxSeconds <= 0 || conflictSeconds <= maxSeconds {
		return nil
	}
	sufficientLease := (maxSeconds - s.PollIntervalSeconds) / (1 + s.ClockDrift)
	return fmt.Errorf("%.3g s can't be met: an instance without connection acts on its version for up to %.3g s; "+
		"set accord.lease to at most %.3g s", maxSeconds, conflictSeconds, sufficientLease)
}

// checkLease validates the accord block, and that placements have a clusters block.
func (f *File) checkLease(errs *collector) {
	block := f.Lease
	if block == nil {
		return
	}
	if f.Migration == nil && f.Config != nil && len(f.Config.Placements) > 0 {
		errs.add("rules", fmt.Sprintf("placement %q", f.Config.Placements[0].Service),
			errors.New("a placed service would have no reservation at any instance, "+
				"because none has a capacity ledger of its cluster: add a clusters block, or remove the placements"))
	}
	errs.add("accord", "listen", checkAddress(block.Listen, false))
	if block.Cluster == "" {
		errs.add("accord", "cluster", errors.New("must not be empty: it tells instances of other clusters apart"))
	}
	if block.Folder == "" {
		errs.add("accord", "folder", errors.New("must not be empty: the instance keeps its persistent state there"))
	}
	if n := len(block.Voters); n < 3 || n > 7 || n%2 == 0 {
		errs.add("accord", "voters", fmt.Errorf("there are %d, but there have to be 3, 5 or 7", n))
	}
	for name, address := range block.Voters {
		if err := checkAddress(address, true); err != nil {
			errs.add("accord", "voters", fmt.Errorf("%q: %w", name, err))
		}
	}
}

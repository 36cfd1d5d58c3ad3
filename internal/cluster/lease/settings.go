package lease

import (
	"fmt"
	"math"
)

// Limits of the settings.
const (
	MaxLeaseSeconds = 600
	MaxClockDrift   = 0.2
)

// RenewJitter is the fraction of the renew interval over which requests are spread.
const RenewJitter = 0.2

const (
	minLeaseSeconds         = 0.05
	minRenewIntervalSeconds = 0.01
	minNetworkDelaySeconds  = 0.0001
	minPollIntervalSeconds  = 0.0001

	// responseDelays is the number of one-way delays within which a response
	// arrives if no message is lost. Six messages are sent one after another:
	// holder to voter, voter to leader, leader to quorum, quorum to leader, leader
	// to voter, voter to holder. Two more delays pass if a quorum read is already
	// in progress: it does not cover a later request, which has to wait for it.
	responseDelays = 8
	// renewalsPerLease is the minimum number of renew intervals per lease, so that
	// one lost message does not cause the lease to expire.
	renewalsPerLease = 3
)

// Settings are the timing parameters of leases. All instances of a cluster
// should use the same settings; the protocol remains safe if they differ.
type Settings struct {
	// LeaseSeconds is how long an instance may act on a version without renewing its lease.
	LeaseSeconds float64
	// RenewIntervalSeconds is the longest time from one lease request to the next.
	RenewIntervalSeconds float64
	// NetworkDelaySeconds is the one-way delay of a message between two instances, queueing included.
	NetworkDelaySeconds float64
	// ClockDrift is the fraction by which one monotonic clock may run faster than another.
	ClockDrift float64
	// PollIntervalSeconds is the longest time between two checks of the lease by an instance's event loop.
	PollIntervalSeconds float64
}

// DefaultSettings contains the values used if the operator's file does not set them.
var DefaultSettings = Settings{
	LeaseSeconds:         3,
	RenewIntervalSeconds: 0.75,
	NetworkDelaySeconds:  0.05,
	ClockDrift:           0.01,
	PollIntervalSeconds:  0.05,
}

// responseSeconds returns the time within which a response arrives if no message is lost.
func (s Settings) responseSeconds() float64 {
	return responseDelays * s.NetworkDelaySeconds
}

// RequestTimeoutSeconds returns the timeout of a lease request, which covers all
// voters that are tried. The first voter gets half of the timeout, so the timeout
// is two response times if that is longer than half a lease; it is never longer
// than a lease.
func (s Settings) RequestTimeoutSeconds() float64 {
	return min(s.LeaseSeconds, max(s.LeaseSeconds/2, 2*s.responseSeconds()))
}

// grantorLeaseSeconds returns how long, on its own clock, the leader must assume
// that a lease that it granted is in use.
func (s Settings) grantorLeaseSeconds() float64 {
	return s.LeaseSeconds * (1 + s.ClockDrift)
}

// Validate returns an *InvalidSettingError that names the setting to change
// if the settings are out of range or contradict each other.
func (s Settings) Validate() error {
	if err := s.validateRanges(); err != nil {
		return err
	}
	retriedResponse := s.RenewIntervalSeconds + 2*s.responseSeconds()
	switch {
	case s.RenewIntervalSeconds > s.LeaseSeconds/renewalsPerLease:
		return invalidSetting("period", "%g s is more than a third of accord.lease: a single lost message "+
			"would let leases expire; set it to at most %.3g s, or accord.lease to at least %.3g s",
			s.RenewIntervalSeconds, s.LeaseSeconds/renewalsPerLease, renewalsPerLease*s.RenewIntervalSeconds)
	case retriedResponse >= s.LeaseSeconds:
		return invalidSetting("delay", "%g s is too long: "+
			"if a lease request is lost, the response to its retry would arrive after the lease has expired; "+
			"set it below %.3g s, or accord.lease above %.3g s",
			s.NetworkDelaySeconds, (s.LeaseSeconds-s.RenewIntervalSeconds)/(2*responseDelays), retriedResponse)
	case s.PollIntervalSeconds > s.LeaseSeconds:
		return invalidSetting("look", "%g s is longer than accord.lease, which is %g s",
			s.PollIntervalSeconds, s.LeaseSeconds)
	}
	return nil
}

func (s Settings) validateRanges() error {
	ranges := []struct {
		key   string
		value float64
		min   float64
		max   float64
	}{
		{"lease", s.LeaseSeconds, minLeaseSeconds, MaxLeaseSeconds},
		{"period", s.RenewIntervalSeconds, minRenewIntervalSeconds, MaxLeaseSeconds},
		{"delay", s.NetworkDelaySeconds, minNetworkDelaySeconds, MaxLeaseSeconds},
		{"drift", s.ClockDrift, 0, MaxClockDrift},
		{"look", s.PollIntervalSeconds, minPollIntervalSeconds, MaxLeaseSeconds},
	}
	for _, r := range ranges {
		// The negation also rejects NaN.
		if !(r.value >= r.min && r.value <= r.max) {
			return invalidSetting(r.key, "got %g, must be %g to %g", r.value, r.min, r.max)
		}
	}
	return nil
}

func invalidSetting(key, format string, args ...any) error {
	return &InvalidSettingError{
		Key:    "accord." + key,
		Reason: fmt.Sprintf(format, args...),
	}
}

// Bounds are the guarantees that follow from Settings, in seconds. They concern
// non-exclusive settings and the duration of stages: conflicting exclusive
// settings of two versions are never in effect at the same time.
type Bounds struct {
	// ConflictSeconds is the maximum time for which two instances may act on
	// conflicting non-exclusive settings while one of them is partitioned.
	ConflictSeconds float64 `json:"Loose"`
	// PropagationSeconds is the same while no message is lost.
	PropagationSeconds float64 `json:"Told"`
	// AdvanceSeconds is the maximum time from one stage to the next while all holders respond.
	AdvanceSeconds float64 `json:"Step"`
	// AdvanceAfterLossSeconds is the same if a holder crashed or is partitioned.
	AdvanceAfterLossSeconds float64 `json:"Gone"`
	// AdvanceAfterElectionSeconds is the same if a new leader was elected.
	AdvanceAfterElectionSeconds float64 `json:"Elected"`
}

// Bounds computes the guarantees of the settings.
func (s Settings) Bounds() Bounds {
	propagation := s.RenewIntervalSeconds + s.responseSeconds() + s.PollIntervalSeconds
	// The holder acknowledges immediately, to a voter, which forwards the request to the leader. Then the leader's
	// entry takes a round trip to a quorum.
	advance := propagation + 4*s.NetworkDelaySeconds
	commit := 2 * s.NetworkDelaySeconds
	afterLoss := max(advance, s.grantorLeaseSeconds()+commit)
	return Bounds{
		ConflictSeconds:             s.grantorLeaseSeconds() + s.PollIntervalSeconds,
		PropagationSeconds:          propagation,
		AdvanceSeconds:              advance,
		AdvanceAfterLossSeconds:     afterLoss,
		AdvanceAfterElectionSeconds: afterLoss + s.responseSeconds(),
	}
}

// String formats the guarantees for operators.
func (b Bounds) String() string {
	return fmt.Sprintf("exclusive rules never conflict; loose rules conflict for at most %.3g s, "+
		"%.3g s while no message is lost; a stage of a version takes %.3g s, %.3g s if an instance is lost, "+
		"%.3g s after an election", b.ConflictSeconds, b.PropagationSeconds, b.AdvanceSeconds,
		b.AdvanceAfterLossSeconds, b.AdvanceAfterElectionSeconds)
}

func isFinite(value float64) bool {
	return !math.IsNaN(value) && !math.IsInf(value, 0)
}

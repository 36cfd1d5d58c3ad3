package quota

import (
	"fmt"
	"math"
)

// FullReservation is a complete reservation in millionths, the unit of owned and lent parts.
const FullReservation = 1_000_000

// Limits of one message and of the messages to one peer.
const (
	maxInFlightMessages = 128 // unacknowledged messages to one peer
	maxMessageEntries   = 100 // entries in one message (see fractionEntries): about 1,200 bytes
)

// How demand is measured.
const (
	fastRateSeconds       = 1.0   // time constant of a rise
	slowRateSeconds       = 4.0   // time constant of a fall
	longRateMaxSeconds    = 60.0  // longest time constant, for small demands
	longRateJobs          = 8.0   // number of jobs over which a small demand is averaged
	newDemandSeconds      = 8.0   // shortest time constant of a demand that has just begun
	idleGapFactor         = 5.0   // a demand has ended after this multiple of the mean gap between jobs
	minIdleSeconds        = 2.0   // shortest time without jobs after which a demand has ended
	significantDeviations = 2.0   // a change must exceed the noise by this number of standard deviations
	minDemandPerSecond    = 0.005 // jobs per second; a lower rate counts as no demand
	demandMargin          = 1.25  // the demand is this multiple of the measured rate
)

// How demand is advertised to owners.
const (
	advertisedHeadroom     = 1.6  // multiple of the demand to advertise, so that noise seldom exceeds it
	advertisedLowFactor    = 3    // the advertised demand is lowered once the demand is at most 1/3 of it
	ownerMargin            = 1.25 // a demand is sent to this multiple of the owners that can cover it
	widenAfterSeconds      = 2.0  // time after which an unmet demand is sent to more owners
	batchSeconds           = 1.0  // longest time for which small changes wait to share a message
	urgentJobsPerSecond    = 1.0  // jobs per second; changes of a demand of at least this are sent at once
	urgentEndJobsPerSecond = 0.2  // jobs per second; the end of a demand of at least this is sent at once
)

// How owners lend.
const (
	clockDriftRatio      = 0.001 // largest relative difference between two machines' clocks over a lease
	rebalanceSeconds     = 8.0   // time between two revocations for small differences
	lendStepDivisor      = 8     // a change of a loan must exceed 1/8 of it plus lendStepMillionths
	lendStepMillionths   = 1000  // see lendStepDivisor
	starvedFactor        = 2     // loans are revoked at once if a user could have less than 1/2 of its target
	leaseRenewalAttempts = 4     // attempts to renew a loan that fit before it expires
)

// How usage counts are distributed.
const (
	fullMeshInstances    = 8     // largest cluster in which each instance sends its counts to every other
	usageReportSeconds   = 0.4   // delay before a count is sent to the tenant's aggregator, at most
	regionalRelaySeconds = 0.4   // delay before the aggregator relays a count within its region, at most
	remoteRelaySeconds   = 2.4   // the same for other regions
	relayPerUserSeconds  = 0.07  // per user of the tenant: lower bound of the relay delay
	userExpirySeconds    = 60.0  // time since its last report for which an instance counts as a user of a tenant
	usageWarmupSeconds   = 5.0   // time for which counts are not charged after an instance begins to follow them
	minUsageStepSlots    = 4.0   // slots that may be charged at once in any case
	compactAfterSeconds  = 600.0 // time without growth after which an ended incarnation is folded
)

// Settings are the settings of the exchange. Times are in seconds.
type Settings struct {
	Period            float64 // time between rounds of messages
	Fanout            int     // peers that get messages in one round; 0 means 32
	LeaseDuration     float64 // time after which a loan that is not renewed expires
	RetainedFraction  float64 // fraction of its own part that an instance never lends
	ForgetAfter       float64 // time after which a silent instance is removed; 0 means never
	ExpectedInstances int     // number of instances that must have been seen before one owns anything
	MaxDelay          float64 // of a message, one-way
	LossRate          float64 // fraction of the messages that are lost
	Owners            int     // owners of each reservation; 0: every instance owns a part and sends to all others
	Region            string  // region of this instance; owners are spread over regions; empty: unknown
}

const defaultFanout = 32

// Ranges of the settings.
const (
	minPeriodSeconds    = 0.02
	maxPeriodSeconds    = 10
	maxLossRate         = 0.5
	maxDelaySeconds     = 5
	maxRetainedFraction = 0.5
	maxOwners           = 16
)

// lateMessageRate is the fraction of the messages that may exceed the stated delays.
const lateMessageRate = 0.001

// withDefaults returns the settings with defaults for Fanout and ExpectedInstances if these are not set.
func (s Settings) withDefaults() Settings {
	if s.Fanout <= 0 {
		s.Fanout = defaultFanout
	}
	s.ExpectedInstances = max(s.ExpectedInstances, 1)
	return s
}

// attempts returns how many times a message has to be sent until it arrives, in 999 of 1000 cases.
func (s Settings) attempts() float64 {
	if s.LossRate <= 0 {
		return 1
	}
	return math.Max(1, math.Ceil(math.Log(lateMessageRate)/math.Log(min(s.LossRate, 1-lateMessageRate))))
}

// retrySeconds returns how long to wait for an acknowledgement before a message is sent again: two
// rounds and a round trip.
func (s Settings) retrySeconds() float64 { return 2*s.Period + 2*s.MaxDelay }

// deliverySeconds returns the time in seconds until an urgent message arrives, in 999 of 1000 cases.
func (s Settings) deliverySeconds() float64 {
	return s.Period + s.MaxDelay + (s.attempts()-1)*s.retrySeconds()
}

// usageReportDelay returns the time in seconds within which counts are sent to the aggregator in a
// cluster of n instances.
func usageReportDelay(n int) float64 { return min(usageReportSeconds, 0.01*float64(n)) }

// relayDelay returns the time in seconds within which the aggregator relays counts in a cluster of n
// instances.
func relayDelay(n int, sameRegion bool) float64 {
	if sameRegion {
		return min(regionalRelaySeconds, 0.04*float64(n))
	}
	return min(remoteRelaySeconds, 0.04*float64(n))
}

// minLeaseDuration returns the shortest lease in seconds that lets loans be renewed in time.
func (s Settings) minLeaseDuration(b Bounds) float64 {
	if s.Owners > 0 { // at least one renewal before a loan expires, with several attempts
		return 2*s.Period + s.MaxDelay + max(leaseRenewalAttempts, s.attempts())*s.retrySeconds()
	}
	return b.UsageDelay + s.MaxDelay + 2*s.Period
}

// Validate checks the settings for a cluster of n instances and a tenant with a reservation of quota
// jobs per second. The error of the tenant's share over window seconds must be at most maxError (0:
// any). If the settings can't work, Validate returns an error and the name of the setting to change
// in the operators' file as the key.
func (s Settings) Validate(n int, quota, window, maxError float64) (key string, err error) {
	if key, err := s.validateRanges(); err != nil {
		return key, err
	}
	b := s.Bounds(n, quota, window)
	if minLease := s.minLeaseDuration(b); s.LeaseDuration < minLease {
		return "staleness", fmt.Errorf("%.2f s is too short: a message and its answer may take %.2f s "+
			"with period %.2f s, delay %.2f s and loss %.2f",
			s.LeaseDuration, minLease, s.Period, s.MaxDelay, s.LossRate)
	}
	if s.ForgetAfter > 0 && s.ForgetAfter < 2*s.LeaseDuration {
		return "forget", fmt.Errorf("%.1f s is less than twice the staleness of %.1f s",
			s.ForgetAfter, s.LeaseDuration)
	}
	if maxError > 0 && b.ShareError > maxError {
		return s.largestError(b, n, quota, window), fmt.Errorf("max_error %.3f can't be met: the stated error is %.3f "+
			"(usage delay %.2f s, floor %.3f, %d instances, %.1f jobs a second)",
			maxError, b.ShareError, b.UsageDelay, s.RetainedFraction, n, quota)
	}
	return "", nil
}

// validateRanges checks the range of each setting.
func (s Settings) validateRanges() (key string, err error) {
	switch {
	case s.Period < minPeriodSeconds || s.Period > maxPeriodSeconds:
		return "period", fmt.Errorf("%v s is not from %v to %v s", s.Period, minPeriodSeconds, maxPeriodSeconds)
	case s.LossRate < 0 || s.LossRate >= maxLossRate:
		return "loss", fmt.Errorf("%v is not from 0 to below %v", s.LossRate, maxLossRate)
	case s.MaxDelay < 0 || s.MaxDelay > maxDelaySeconds:
		return "delay", fmt.Errorf("%v s is not from 0 to %v s", s.MaxDelay, maxDelaySeconds)
	case s.RetainedFraction < 0 || s.RetainedFraction > maxRetainedFraction:
		return "floor", fmt.Errorf("%v is not from 0 to %v", s.RetainedFraction, maxRetainedFraction)
	case s.Owners < 0 || s.Owners > maxOwners:
		return "homes", fmt.Errorf("%d is not from 0 to %d", s.Owners, maxOwners)
	}
	return "", nil
}

// largestError returns the name of the setting that contributes most to the stated error.
func (s Settings) largestError(b Bounds, n int, quota, window float64) (key string) {
	key = "period"
	largest := b.UsageDelay / window
	if retained := s.RetainedFraction * float64(n-1) / float64(n); retained > largest {
		key = "floor"
		largest = retained
	}
	if quota > 0 && float64(n)/(quota*window) > largest {
		key = "max_error"
	}
	return key
}

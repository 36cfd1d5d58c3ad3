package quota

import "math"

// Bounds holds the guarantees that follow from a set of settings; docs/design/counts.md derives them.
type Bounds struct {
	// UsageDelay is the time in seconds within which the users of a tenant receive its counts, in 999 of 1000 cases.
	UsageDelay float64 `json:"News"`
	// RegionalUsageDelay is UsageDelay within one region. With flat ownership it equals UsageDelay.
	RegionalUsageDelay float64 `json:"Near"`
	// ShareError is the largest fraction by which what a tenant gets in a window may differ from its share.
	ShareError float64 `json:"Share"`
	// ShiftDelay is the time in seconds until a tenant whose jobs move to one zone can use its reservation there.
	ShiftDelay float64 `json:"Move"`
	// FailoverDelay is the time in seconds until a tenant can use the remaining part of its reservation after
	// instances that had borrowed from it have failed.
	FailoverDelay float64 `json:"Gone"`
	// LoanExpiry is the time in seconds after which no loan to or from a silent instance is in use any more.
	LoanExpiry float64 `json:"Ends"`
	// AllotmentError is the fraction by which the sum of all allotments may exceed a reservation: always 0.
	AllotmentError float64 `json:"Slices"`
	// Owners is the number of instances that own a part of a reservation.
	Owners int `json:"Homes"`
	// RemainingFraction is the fraction of a reservation that can be used after one of its owners has failed, until
	// that owner is removed.
	RemainingFraction float64 `json:"Left"`
	// RemainingWithoutRegion is the same fraction after a region has failed; 0 if regions are unknown.
	RemainingWithoutRegion float64 `json:"Region"`
}

// Bounds computes the bounds for a tenant with a reservation of quota jobs per second, for windows
// of window seconds and a cluster of n instances.
func (s Settings) Bounds(n int, quota, window float64) Bounds {
	var b Bounds
	if s.Owners <= 0 {
		b = s.flatBounds(n)
	} else {
		b = s.ownerBounds(n, quota)
	}
	b.LoanExpiry = s.LeaseDuration
	b.ShareError = b.UsageDelay/window + s.RetainedFraction*float64(n-1)/float64(n)
	if quota > 0 {
		b.ShareError += float64(n) / (quota * window)
	}
	return b
}

// flatBounds returns the bounds with flat ownership, except those that [Settings.Bounds] sets itself.
func (s Settings) flatBounds(n int) Bounds {
	fanout := s.withDefaults().Fanout
	cycle := s.Period * math.Ceil(float64(max(n-1, 1))/float64(fanout))
	usageDelay := cycle*s.attempts() + s.MaxDelay
	shiftDelay := fastRateSeconds + 3*usageDelay
	return Bounds{
		UsageDelay:         usageDelay,
		RegionalUsageDelay: usageDelay,
		ShiftDelay:         shiftDelay,
		FailoverDelay:      shiftDelay + s.LeaseDuration,
		Owners:             n,
		RemainingFraction:  1 - 1/float64(max(n, 1)),
	}
}

// ownerBounds returns the bounds with a few owners for each reservation, except those that
// [Settings.Bounds] sets itself.
func (s Settings) ownerBounds(n int, quota float64) Bounds {
	owners := min(s.Owners, n)
	b := Bounds{
		Owners:            owners,
		RemainingFraction: 1 - 1/float64(max(owners, 1)),
	}
	if s.Region != "" {
		b.RemainingWithoutRegion = b.RemainingFraction
	}
	// A count is sent to one owner, which relays it; in a small cluster it is sent to every instance.
	b.UsageDelay = usageReportDelay(n) + s.deliverySeconds()
	b.RegionalUsageDelay = b.UsageDelay
	if n > fullMeshInstances {
		b.RegionalUsageDelay += relayDelay(n, true) + s.deliverySeconds()
		b.UsageDelay += relayDelay(n, false) + s.deliverySeconds()
	}
	// A shift takes the measurement of the demand and four deliveries: the advertisement, the
	// reduction of other loans, its confirmation and the new loan. The instance that served the
	// tenant before assumes for demandEndDelay that its demand continues: for some gaps between jobs
	// at a third of the rate. Small differences wait for the next rebalancing.
	demandEndDelay := longRateMaxSeconds
	if quota > 0 {
		demandEndDelay = min(longRateMaxSeconds, max(minIdleSeconds, idleGapFactor*3/quota))
	}
	b.ShiftDelay = fastRateSeconds + 4*s.deliverySeconds() + demandEndDelay + rebalanceSeconds
	b.FailoverDelay = b.ShiftDelay - demandEndDelay + max(demandEndDelay, s.LeaseDuration)
	return b
}

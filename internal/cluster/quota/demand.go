package quota

import "math"

// rateWeights holds the weights of a new sample in the moving averages, for a sample that covers
// elapsed seconds.
type rateWeights struct {
	elapsed float64
	fast    float64
	slow    float64
}

func newRateWeights(elapsed float64) rateWeights {
	return rateWeights{
		elapsed: elapsed,
		fast:    1 - math.Exp(-elapsed/fastRateSeconds),
		slow:    1 - math.Exp(-elapsed/slowRateSeconds),
	}
}

// measureDemand updates the estimated demand of each tenant. The estimate rises fast and falls
// slowly: an estimate that is too high costs other instances nothing while they do not need that
// part themselves. Arrivals are the totals by tenant index since the start.
func (a *Allocator) measureDemand(elapsed float64, arrivals []uint64) {
	if elapsed <= 0 || len(arrivals) != len(a.tenants.list) {
		return
	}
	weights := newRateWeights(elapsed)
	for i := range a.tenants.list {
		t := &a.tenants.list[i]
		d := &t.demand
		rate := float64(arrivals[i]-min(d.arrivals, arrivals[i])) / elapsed
		d.arrivals = arrivals[i]
		if d.hasEnded(a.rounds.last, rate, a.flat) {
			d.reset(a.rounds.last)
			continue
		}
		d.addSample(a.rounds.last, rate, weights)
		d.millionths = 0
		if t.Quota > 0 {
			d.millionths = uint32(min(FullReservation, d.jobsPerSecond(a.flat)*demandMargin/t.Quota*FullReservation))
		}
	}
}

// hasEnded reports whether there is no demand any more, or none yet. If rate is above 0, it records
// an arrival and returns false.
func (d *demandEstimate) hasEnded(now, rate float64, flat bool) bool {
	if rate > 0 {
		d.lastArrival = now
		return false
	}
	longestGap := max(minIdleSeconds, min(longRateMaxSeconds, idleGapFactor/d.arrivalRate))
	return !flat && now-d.lastArrival >= longestGap || d.longRate < minDemandPerSecond
}

// reset clears the rates and the demand.
func (d *demandEstimate) reset(now float64) {
	d.fastRate = 0
	d.slowRate = 0
	d.longRate = 0
	d.millionths = 0
	d.since = now
}

// addSample adds the rate of one round to the moving averages.
func (d *demandEstimate) addSample(now, rate float64, w rateWeights) {
	d.fastRate += (rate - d.fastRate) * w.fast
	d.slowRate += (rate - d.slowRate) * w.slow
	window := max(slowRateSeconds, min(longRateMaxSeconds, longRateJobs/d.longRate, now-d.since+newDemandSeconds))
	d.longRate += (rate - d.longRate) * min(1, w.elapsed/window)
	if rate > 0 {
		d.arrivalRate = d.longRate
	}
}

// jobsPerSecond returns the estimated demand in jobs per second.
func (d *demandEstimate) jobsPerSecond(flat bool) float64 {
	if flat {
		return max(d.fastRate, d.slowRate)
	}
	// Each change of the demand costs messages, so changes within the noise are suppressed.
	noise := significantDeviations * math.Sqrt(max(d.slowRate, d.longRate)/2/slowRateSeconds)
	d.longRate = max(d.slowRate-noise, min(d.slowRate+noise, d.longRate))
	fastNoise := significantDeviations * math.Sqrt(d.fastRate/2/fastRateSeconds)
	return max(d.fastRate-fastNoise, d.longRate)
}

// advertiseDemand updates the demands that are advertised to the owners: a rise at once, a fall
// only once it is not just noise.
func (a *Allocator) advertiseDemand(now float64) {
	for i := range a.tenants.list {
		a.advertiseTenant(now, &a.tenants.list[i])
	}
}

func (a *Allocator) advertiseTenant(now float64, t *tenantState) {
	demand := t.demand.millionths
	if a.leaving {
		demand = 0
	}
	advertised := t.request.millionths
	switch {
	case demand > advertised:
		next := withHeadroom(demand)
		a.setAdvertisedDemand(t, next, t.jobsPerSecond(next) >= urgentJobsPerSecond)
		t.request.lowSince = now
	case advertised == 0:
	case a.shouldWidenRequest(now, t):
		t.request.owners = min(len(t.ledger.owners), 2*t.request.owners)
		t.request.changedAt = now
		a.requestFromOwners(t, true)
	case demand == 0:
		a.setAdvertisedDemand(t, 0, t.jobsPerSecond(advertised) >= urgentEndJobsPerSecond)
	case demand > advertised/advertisedLowFactor:
		t.request.lowSince = now
	default:
		a.lowerAdvertisedDemand(now, t, demand)
	}
}

// shouldWidenRequest reports whether the owners to which the demand is sent have not lent enough
// within widenAfterSeconds, and there are other owners.
func (a *Allocator) shouldWidenRequest(now float64, t *tenantState) bool {
	return t.request.owners < len(t.ledger.owners) && now-t.request.changedAt >= widenAfterSeconds && !t.demandMet()
}

// lowerAdvertisedDemand lowers the advertised demand once the measured demand has been low for about
// longRateJobs jobs at the advertised rate.
func (a *Allocator) lowerAdvertisedDemand(now float64, t *tenantState, demand uint32) {
	rate := t.jobsPerSecond(t.request.millionths)
	if now-t.request.lowSince < max(minIdleSeconds, min(longRateMaxSeconds, longRateJobs/rate)) {
		return
	}
	next := withHeadroom(demand)
	if t.jobsPerSecond(next) < minDemandPerSecond*2 {
		next = 0
	}
	a.setAdvertisedDemand(t, next, rate >= urgentJobsPerSecond)
	t.request.lowSince = now
}

// withHeadroom returns the demand to advertise for a measured demand.
func withHeadroom(demand uint32) uint32 {
	return uint32(min(FullReservation, advertisedHeadroom*float64(demand)))
}

// setAdvertisedDemand changes the demand that is advertised to the owners of a tenant.
func (a *Allocator) setAdvertisedDemand(t *tenantState, millionths uint32, urgent bool) {
	r := &t.request
	if r.millionths == millionths {
		return
	}
	r.millionths = millionths
	r.changedAt = a.rounds.last
	if millionths == 0 {
		r.owners = 0
	} else {
		r.owners = max(r.owners, ownersForDemand(millionths, len(t.ledger.owners)))
	}
	a.markChanged(t)
	a.requestFromOwners(t, urgent)
}

// ownersForDemand returns how many of the owners are needed to cover an advertised demand, with a
// margin.
func ownersForDemand(advertised uint32, owners int) int {
	needed := math.Ceil(ownerMargin * float64(advertised) / advertisedHeadroom / FullReservation * float64(owners))
	return min(owners, int(needed))
}

// requestFromOwners requests the advertised demand from t.request.owners of the owners. The first of
// them depends on the tenant and on this instance, so that instances start with different owners.
func (a *Allocator) requestFromOwners(t *tenantState, urgent bool) {
	owners := t.ledger.owners
	if len(owners) == 0 {
		return
	}
	first := int(rendezvousScore(t.ID, a.self.hash) % uint64(len(owners)))
	remaining := t.request.owners
	for i := range owners {
		p := owners[(first+i)%len(owners)]
		request := t.request.millionths
		switch {
		case remaining <= 0 || a.leaving:
			request = 0
		case p == nil || p.presence.present:
			remaining--
		}
		if p == nil || !p.setRequested(t.ID, request) {
			continue
		}
		if urgent {
			p.pending.urgent = true
		} else if request > 0 {
			p.pending.sendCountsBy(a.rounds.last + batchSeconds)
		}
	}
}

// demandMet reports whether the own part and the loans of the owners cover the measured demand.
func (t *tenantState) demandMet() bool {
	total := t.ledger.owned
	for _, p := range t.ledger.owners {
		if p != nil {
			total += p.loans.borrowed[t.ID].millionths
		}
	}
	return total >= t.demand.millionths
}

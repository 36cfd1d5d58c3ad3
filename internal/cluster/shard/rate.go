package shard

import "maps"

const (
	// alwaysAdmitted is the number of waiting jobs up to which a tenant's jobs are
	// admitted regardless of its release rate, because so few do not give a usable
	// rate.
	alwaysAdmitted = 16
	// minTenants is the number of tenants up to which an owner keeps the release
	// rates of tenants without waiting jobs.
	minTenants = 1024
	// rateWindow is the number of releases over which the mean interval is averaged.
	rateWindow = 64
	// minRetryAfterSeconds is the shortest Retry-After of a rejected job.
	minRetryAfterSeconds = 1
)

// releaseRate measures how fast the jobs of a tenant are released while some are waiting.
type releaseRate struct {
	waiting      int
	lastRelease  float64 // time of the last release, or when the queue last became non-empty, if that is later
	meanInterval float64 // mean seconds between releases; 0: unknown
}

func (r *releaseRate) enqueue(now float64) {
	if r.waiting == 0 {
		r.lastRelease = now
	}
	r.waiting++
}

func (r *releaseRate) release(now float64) {
	interval := max(now-r.lastRelease, 0)
	if r.meanInterval == 0 {
		r.meanInterval = interval
	}
	r.meanInterval += (interval - r.meanInterval) / rateWindow
	r.lastRelease = now
}

// expectedWait returns how many seconds one more job would wait. An overdue
// release counts as if it happened now.
func (r *releaseRate) expectedWait(now float64) float64 {
	interval := r.meanInterval
	if sinceLast := now - r.lastRelease; sinceLast > interval {
		interval += (sinceLast - interval) / rateWindow
	}
	return interval * float64(r.waiting+1)
}

// rateOf returns the release rate of a tenant. Clients choose the tenants' names,
// so the table is swept as it grows, to bound its size.
func (o *Owner) rateOf(tenant string) *releaseRate {
	if r := o.tenants[tenant]; r != nil {
		return r
	}
	if len(o.tenants) >= max(minTenants, 2*o.tenantsAfterSweep) {
		maps.DeleteFunc(o.tenants, func(_ string, r *releaseRate) bool { return r.waiting == 0 })
		o.tenantsAfterSweep = len(o.tenants)
	}
	r := &releaseRate{}
	o.tenants[tenant] = r
	return r
}

// admissionError returns an OwnerFullError if a job cannot be admitted because the
// owner is full or would not release the job before the client's timeout, and nil
// if it can.
func (o *Owner) admissionError(now float64, r *JobRecord) error {
	rate := o.rateOf(r.Tenant)
	wait := rate.expectedWait(now)
	inTime := rate.waiting < alwaysAdmitted || wait <= r.Timeout
	if len(o.jobs) < o.limits.MaxJobs && inTime {
		return nil
	}
	return OwnerFullError{
		Shard:      o.shard,
		Tenant:     r.Tenant,
		Jobs:       len(o.jobs),
		RetryAfter: max(wait-r.Timeout, minRetryAfterSeconds),
	}
}

package deferred

import "fmt"

// Limits bound what a Store keeps. All but Retention must be above 0.
type Limits struct {
	Jobs               int     // jobs deferred at the same time
	Bytes              int64   // bytes of the bodies and heads of deferred jobs
	Parents            int     // distinct dependencies of one job
	Depth              int     // length of a chain of deferred jobs
	UnknownParents     int     // ids that deferred jobs depend on and that have not arrived
	UnknownParentGrace float64 // seconds that such an id may take to arrive
	Retention          float64 // seconds for which the outcome of a job is kept
	RetainedOutcomes   int     // outcomes kept at most; the oldest are dropped first
}

// Defaults returns limits that allow about 30 MB of deferred jobs.
func Defaults() Limits {
	return Limits{
		Jobs:               20_000,
		Bytes:              32 << 20,
		Parents:            32,
		Depth:              16_384,
		UnknownParents:     5_000,
		UnknownParentGrace: 2,
		Retention:          60,
		RetainedOutcomes:   100_000,
	}
}

// maxRetentionSeconds is the upper bound of Limits.Retention.
const maxRetentionSeconds = 86400

// Check returns an error for the first limit that is out of range, and the key of that limit in the operator's
// file.
func (l Limits) Check() (key string, err error) {
	for _, limit := range []struct {
		key   string
		value float64
		max   float64
	}{
		{"jobs", float64(l.Jobs), 1e6},
		{"bytes", float64(l.Bytes), 1 << 40},
		{"parents", float64(l.Parents), 1024},
		{"depth", float64(l.Depth), 1e6},
		{"strangers", float64(l.UnknownParents), 1e6},
		{"grace", l.UnknownParentGrace, 3600},
		{"ended", float64(l.RetainedOutcomes), 1e7},
	} {
		if !(limit.value > 0 && limit.value <= limit.max) {
			return limit.key, fmt.Errorf("%v is not above 0 and at most %v", limit.value, limit.max)
		}
	}
	if !(l.Retention >= 0 && l.Retention <= maxRetentionSeconds) {
		return "remember", fmt.Errorf("%v s is not from 0 to %d", l.Retention, maxRetentionSeconds)
	}
	return "", nil
}

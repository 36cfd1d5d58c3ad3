package shard

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/balance"
)

// Attempt is one attempt of a job.
type Attempt struct {
	Worker     string
	Outcome    balance.Outcome // empty while it is in flight
	MayHaveRun bool
	Elapsed    float64   // seconds since the attempt began
	Started    bool      // the worker has reported that the job runs
	RunningFor float64   // seconds since the worker reported that
	Report     []float64 // load report received with the result; only on the last attempt; never modified in place
}

// JobRecord is a job as its origin reports it and as owners transfer it. Its times
// are relative to the moment at which the message with the record was made.
type JobRecord struct {
	ID         string
	Class      string
	Tenant     string
	Origin     string // incarnation of an instance: a restarted instance is another origin
	Slots      float64
	Memory     float64
	Timeout    float64 // seconds until the client gives up
	Age        float64 // seconds since the origin accepted it
	Order      uint64  // order of arrival among its origin's jobs of the shard
	Retry      bool    // the client has sent the request before
	StartsNow  bool    // its age counts from now, even if a part of its timeout has passed
	AtMostOnce bool    // it must not run twice
	// Accepted is the definition of its class with which the origin accepted it. It is never modified in place. Nil:
	// the origin's build does not report it.
	Accepted *balance.Class
	Admitted bool      // an owner has admitted it: it is not rejected for lack of capacity any more
	Granted  bool      // a former owner granted the next attempt; the origin has not reported yet whether it began
	Finished bool      // it needs no answer any more
	Attempts []Attempt // oldest first; never modified in place
}

// InFlight reports whether an attempt is in flight.
func (r *JobRecord) InFlight() bool {
	return len(r.Attempts) > 0 && r.Attempts[len(r.Attempts)-1].Outcome == ""
}

// MayHaveRun reports whether the job may have run in an attempt that has ended.
func (r *JobRecord) MayHaveRun() bool {
	return slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return a.MayHaveRun })
}

// tighten restricts the job's retries and reports whether that changed anything.
func (r *JobRecord) tighten(t *balance.Tightening) bool {
	tightened := t.Apply(r.Accepted)
	if tightened == r.Accepted {
		return false
	}
	r.Accepted = tightened
	r.AtMostOnce = r.AtMostOnce || tightened.Idempotence == balance.NonIdempotent
	return true
}

// advancedBy returns the record with its times as they are some seconds later.
func (r JobRecord) advancedBy(seconds float64) JobRecord {
	r.Timeout -= seconds
	r.Age += seconds
	if len(r.Attempts) == 0 || seconds == 0 {
		return r
	}
	r.Attempts = slices.Clone(r.Attempts)
	for i := range r.Attempts {
		a := &r.Attempts[i]
		a.Elapsed += seconds
		if a.Started {
			a.RunningFor += seconds
		}
	}
	return r
}

// TenantTags are a tenant's positions in its shard's queue order, in seconds
// relative to now; negative values are in the past.
type TenantTags struct {
	Tenant string
	Local  float64
	Global float64
}

// Checksum is the number of added items and a digest that does not depend on their order.
type Checksum struct {
	Count  uint64
	Digest uint64
}

func (s *Checksum) add(hash uint64) {
	s.Count++
	s.Digest += hash
}

// checksumOf returns the checksum of the records and tags of a chunk or a snapshot.
func checksumOf(records []JobRecord, tags []TenantTags) Checksum {
	var sum Checksum
	buffer := make([]byte, 0, 256)
	for i := range records {
		sum.add(records[i].contentDigest(buffer))
	}
	for i := range tags {
		sum.add(tags[i].contentDigest(buffer))
	}
	return sum
}

// statusDigest covers what origin and owner must agree on: the identity and progress of the job.
func (r *JobRecord) statusDigest(buffer []byte) uint64 {
	b := appendString(buffer[:0], r.ID)
	b = appendString(b, r.Origin)
	b = append(b, byte(len(r.Attempts)))
	if n := len(r.Attempts); n > 0 {
		last := &r.Attempts[n-1]
		b = appendString(b, string(last.Outcome))
		b = append(b, boolByte(last.Started))
	}
	return xxhash.Sum64(b)
}

// contentDigest covers every field of the record but Accepted, which builds that do not know it can't include.
func (r *JobRecord) contentDigest(buffer []byte) uint64 {
	b := buffer[:0]
	for _, s := range []string{r.ID, r.Class, r.Tenant, r.Origin} {
		b = appendString(b, s)
	}
	for _, f := range []float64{r.Slots, r.Memory, r.Timeout, r.Age} {
		b = appendFloat(b, f)
	}
	b = binary.AppendUvarint(b, r.Order)
	for _, on := range []bool{r.AtMostOnce, r.Admitted, r.Granted, r.Finished, r.Retry, r.StartsNow} {
		b = append(b, boolByte(on))
	}
	for i := range r.Attempts {
		b = r.Attempts[i].appendContent(b)
	}
	return xxhash.Sum64(b)
}

func (a *Attempt) appendContent(b []byte) []byte {
	b = appendString(b, a.Worker)
	b = appendString(b, string(a.Outcome))
	b = appendFloat(b, a.Elapsed)
	b = appendFloat(b, a.RunningFor)
	b = append(b, boolByte(a.MayHaveRun), boolByte(a.Started), byte(len(a.Report)))
	for _, v := range a.Report {
		b = appendFloat(b, v)
	}
	return b
}

func (t *TenantTags) contentDigest(buffer []byte) uint64 {
	b := appendString(buffer[:0], t.Tenant)
	b = appendFloat(b, t.Local)
	b = appendFloat(b, t.Global)
	return xxhash.Sum64(b)
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendFloat(b []byte, f float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(f))
}

func boolByte(on bool) byte {
	if on {
		return 1
	}
	return 0
}

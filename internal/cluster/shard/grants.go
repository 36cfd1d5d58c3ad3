package shard

import (
	"cmp"
	"slices"
)

// PendingCount returns the number of pending grants.
func (o *Owner) PendingCount() int { return len(o.grants) }

// PendingGrant returns a job's pending grant; false: the job has none.
func (o *Owner) PendingGrant(key JobKey) (Grant, bool) {
	g, ok := o.grants[key]
	return g, ok
}

// Decision is the content of a grant: what the origin is to do with the job.
type Decision struct {
	Kind       Kind
	Worker     string  // for Send
	RetryAfter float64 // for Reject: seconds until the client may retry; 0: no advice
}

// Grant records a decision as a pending grant and assigns it the next number of
// the epoch. A job has at most one pending grant. Grant returns a NotOwnerError,
// NotFoundError, GrantPendingError, StaleAttemptError or AttemptInFlightError if
// the decision cannot be granted.
func (o *Owner) Grant(key JobKey, d Decision) (Grant, error) {
	if err := o.checkDecision(key, d.Kind); err != nil {
		return Grant{}, err
	}
	o.lastGrant++
	g := Grant{
		Shard:      o.shard,
		Epoch:      o.epoch,
		Number:     o.lastGrant,
		Kind:       d.Kind,
		Origin:     key.Origin,
		ID:         key.ID,
		Attempt:    len(o.jobs[key].Attempts),
		Worker:     d.Worker,
		RetryAfter: d.RetryAfter,
	}
	if d.Kind == Cancel {
		g.Attempt--
	}
	o.grants[key] = g
	return g, nil
}

func (o *Owner) checkDecision(key JobKey, kind Kind) error {
	if o.state != StateOpen {
		return NotOwnerError{o.shard, o.state}
	}
	j := o.jobs[key]
	_, pending := o.grants[key]
	switch {
	case j == nil:
		return NotFoundError{o.shard, key.ID}
	case pending || j.Granted:
		return GrantPendingError{o.shard, key.ID}
	case kind == Cancel && !j.InFlight():
		return StaleAttemptError{o.shard, key.ID, len(j.Attempts) - 1, len(j.Attempts)}
	case (kind == Send || kind == Reject) && j.InFlight():
		return AttemptInFlightError{o.shard, key.ID}
	}
	return nil
}

// PendingGrants returns at most n pending grants, oldest first, for a caller
// that resends them because their origins have not reported in time. It returns
// none unless the owner is open.
func (o *Owner) PendingGrants(n int) []Grant {
	if o.state != StateOpen {
		return nil
	}
	list := o.sortedGrants()
	return list[:min(n, len(list))]
}

func (o *Owner) sortedGrants() []Grant {
	list := make([]Grant, 0, len(o.grants))
	for _, g := range o.grants {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b Grant) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// ApplyDecline removes and returns the grants that the origin will never
// execute; the caller has to refund their charges. A decline of another epoch is
// dropped, and so is one for which an update that the origin sent earlier is
// missing.
func (o *Owner) ApplyDecline(d Decline) []Grant {
	stream := o.origins[d.Origin]
	if d.Epoch != o.epoch || o.state == StateClosed || stream == nil || stream.next <= d.LastUpdate {
		return nil
	}
	if d.ID != "" {
		return o.declineOne(d)
	}
	var declined []Grant
	for _, g := range o.sortedGrants() {
		if g.Origin == d.Origin && g.Number <= d.Number {
			delete(o.grants, JobKey{g.Origin, g.ID})
			declined = append(declined, g)
		}
	}
	return declined
}

func (o *Owner) declineOne(d Decline) []Grant {
	key := JobKey{d.Origin, d.ID}
	g, pending := o.grants[key]
	if !pending || g.Number != d.Number {
		return nil
	}
	delete(o.grants, key)
	return []Grant{g}
}

// Revokes returns the messages, one per origin with pending grants, by which a
// sealed owner revokes these grants; none if the owner is not sealed.
func (o *Owner) Revokes() []Revoke {
	if o.state != StateSealed {
		return nil
	}
	var revokes []Revoke
	for _, g := range o.sortedGrants() {
		known := slices.ContainsFunc(revokes, func(r Revoke) bool { return r.Origin == g.Origin })
		if !known {
			revokes = append(revokes, Revoke{
				Shard:   o.shard,
				Epoch:   o.epoch,
				Origin:  g.Origin,
				Through: o.lastGrant,
			})
		}
	}
	return revokes
}

// settleGrant removes a job's pending grant if the record shows that it was executed.
func (o *Owner) settleGrant(now float64, key JobKey, r *JobRecord) {
	g, pending := o.grants[key]
	if !pending || !g.reflectedIn(r) {
		return
	}
	delete(o.grants, key)
	if g.Kind == Send {
		o.rateOf(r.Tenant).release(now)
	}
}

// reflectedIn reports whether a record shows that the grant was executed.
func (g Grant) reflectedIn(r *JobRecord) bool {
	switch g.Kind {
	case Send:
		return len(r.Attempts) > g.Attempt
	case Cancel:
		return r.Finished || len(r.Attempts) > g.Attempt+1 || !r.InFlight()
	}
	return r.Finished
}

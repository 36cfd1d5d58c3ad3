package config

import "example.org/bellstream/balance"

// retryPolicy decides whether a job of a class may run more than once.
type retryPolicy struct {
	idempotence balance.Idempotence // empty: the platform's setting applies, which is not in any table
	dedupScope  balance.DedupScope
	dedupWindow float64 // in seconds
}

var neverRetry = retryPolicy{idempotence: balance.NonIdempotent}

func (c Class) retryPolicy() retryPolicy {
	return retryPolicy{c.Idempotence, c.DedupScope, c.DedupWindow}
}

func (t *Table) retryPolicy(class string) retryPolicy {
	if t.Strict {
		return neverRetry
	}
	entry, _ := t.Class(class)
	return entry.retryPolicy()
}

// isWithin reports whether p retries no job that other would not retry.
func (p retryPolicy) isWithin(other retryPolicy) bool {
	return p.idempotence == balance.NonIdempotent || intersectRetryPolicies(p, other) == p
}

// intersectRetryPolicies returns the policy that retries only jobs that both a and
// b retry. The platform's policy is not known here, so its intersection with one
// that needs a key is neverRetry.
func intersectRetryPolicies(a, b retryPolicy) retryPolicy {
	if a == b {
		return a
	}
	if a.idempotence == balance.Idempotent {
		a, b = b, a
	}
	if b.idempotence == balance.Idempotent {
		return a
	}
	if a.idempotence != balance.IdempotentWithKey || b.idempotence != balance.IdempotentWithKey {
		return neverRetry
	}
	scope, ok := intersectScopes(a.dedupScope, b.dedupScope)
	if !ok {
		return neverRetry
	}
	return retryPolicy{balance.IdempotentWithKey, scope, min(a.dedupWindow, b.dedupWindow)}
}

// intersectScopes returns the smaller of two scopes, or false if there is none:
// neither zone nor cell contains the other, as a cell may span zones.
func intersectScopes(a, b balance.DedupScope) (balance.DedupScope, bool) {
	switch {
	case a == b, b == balance.ScopeAll:
		return a, true
	case a == balance.ScopeAll:
		return b, true
	}
	return "", false
}

package fault

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minDurationSeconds is the shortest duration of a removed rule, as a duration of
// 0 means that the rule has no end.
const minDurationSeconds = 1e-9

// Plan is the set of rules. It is not safe for concurrent use.
type Plan struct {
	Seed   uint64
	rules  []*Rule
	lastID int
}

// Add adds a rule and returns its ID, from 1.
func (p *Plan) Add(r Rule) int {
	p.lastID++
	r.ID = p.lastID
	p.rules = append(p.rules, &r)
	return r.ID
}

// Remove ends a rule at the time now and reports whether the rule existed.
func (p *Plan) Remove(now float64, id int) bool {
	i := slices.IndexFunc(p.rules, func(r *Rule) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	rule := p.rules[i] // streams may hold this pointer and must observe the end
	rule.Duration = max(now-rule.At, minDurationSeconds)
	p.rules = slices.Delete(p.rules, i, i+1)
	return true
}

// Rules returns all rules that have not ended.
func (p *Plan) Rules(now float64) []Rule {
	var rules []Rule
	for _, r := range p.rules {
		if now < r.End() {
			rules = append(rules, *r)
		}
	}
	return rules
}

// ActiveAt returns the rules in force at an endpoint.
func (p *Plan) ActiveAt(now float64, endpoint string) (rules []*Rule) {
	for _, r := range p.rules {
		if r.Active(now) && r.appliesTo(endpoint) {
			rules = append(rules, r)
		}
	}
	return rules
}

// NextChange returns the next time at which a rule begins or ends, or infinity if
// there is none.
func (p *Plan) NextChange(now float64) float64 {
	next := math.Inf(1)
	for _, r := range p.rules {
		for _, at := range []float64{r.At, r.End()} {
			if at > now {
				next = min(next, at)
			}
		}
	}
	return next
}

// Selects reports whether a rule's Fraction includes the connection with number
// conn of an endpoint.
func (p *Plan) Selects(r *Rule, endpoint string, conn uint64) bool {
	return r.Fraction == 0 || unitHash(p.Seed, endpoint, "part", uint64(r.ID), conn) < r.Fraction
}

// Datagram returns the delay in seconds of the nth datagram on a side, and whether
// the datagram is lost.
func (p *Plan) Datagram(now float64, endpoint string, side Side, n uint64) (delay float64, lost bool) {
	for _, r := range p.ActiveAt(now, endpoint) {
		if !r.appliesToSide(side) {
			continue
		}
		u := unitHash(p.Seed, endpoint, side, uint64(r.ID), n)
		switch r.Kind {
		case Loss:
			lost = lost || u < r.Loss
		case Delay:
			delay += r.Delay + r.Jitter*u
		}
	}
	return delay, lost
}

// unitHash returns a uniformly distributed number from 0 to below 1 that depends
// only on its arguments.
func unitHash(seed uint64, endpoint string, side Side, nums ...uint64) float64 {
	h := xxhash.NewWithSeed(seed)
	fmt.Fprintf(h, "%s\x00%s\x00%d", endpoint, side, nums)
	return float64(h.Sum64()>>11) / (1 << 53)
}

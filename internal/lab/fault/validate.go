package fault

import (
	"fmt"
	"maps"
	"slices"
)

// Upper bounds of the numbers of a rule; the lower bound is 0.
const (
	maxSeconds  = 1e9
	maxRate     = 1e12 // bytes per second
	maxByte     = 1e12
	maxNth      = 1e9
	maxFraction = 1
)

// RuleError is an invalid value of a rule, with the key that holds it.
type RuleError struct {
	Key    string
	Reason string
}

func (e *RuleError) Error() string { return e.Key + ": " + e.Reason }

func ruleErrorf(key, format string, args ...any) error {
	return &RuleError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *RuleError if the rule is invalid. Networks holds the
// network, tcp or udp, of each endpoint by the endpoint's name.
func (r *Rule) Validate(networks map[string]string) error {
	if !slices.Contains(Kinds, r.Kind) {
		return ruleErrorf("kind", "%q is none of %v", r.Kind, Kinds)
	}
	if err := r.validateEndpoints(networks); err != nil {
		return err
	}
	if r.Side != "" && r.Side != Request && r.Side != Answer && r.Side != Both {
		return ruleErrorf("side", "%q is none of request, answer, both", r.Side)
	}
	if err := r.validateNumbers(); err != nil {
		return err
	}
	if err := r.validateRequired(); err != nil {
		return err
	}
	return r.validatePoint()
}

// validateEndpoints checks that the endpoints exist and that the fault can be
// applied to their networks.
func (r *Rule) validateEndpoints(networks map[string]string) error {
	for _, name := range r.Endpoints {
		if networks[name] == "" {
			return ruleErrorf("doors", "there is no door %q", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(networks)) {
		if !r.appliesTo(name) {
			continue
		}
		datagrams := networks[name] == networkUDP
		if datagrams && r.Kind != Loss && r.Kind != Delay {
			return ruleErrorf("doors", "%s can't be applied to door %q: it forwards datagrams", r.Kind, name)
		}
		if !datagrams && r.Kind == Loss {
			return ruleErrorf("doors", "loss can't be applied to door %q: TCP would retransmit lost data", name)
		}
	}
	return nil
}

func (r *Rule) validateNumbers() error {
	for _, number := range []struct {
		key   string
		value float64
		limit float64
	}{
		{"at", r.At, maxSeconds},
		{"for", r.Duration, maxSeconds},
		{"delay", r.Delay, maxSeconds},
		{"jitter", r.Jitter, maxSeconds},
		{"rate", r.Rate, maxRate},
		{"byte", float64(r.Byte), maxByte},
		{"nth", float64(r.Nth), maxNth},
		{"part", r.Fraction, maxFraction},
		{"loss", r.Loss, maxFraction},
	} {
		if !(number.value >= 0 && number.value <= number.limit) {
			return ruleErrorf(number.key, "%v is not from 0 to %v", number.value, number.limit)
		}
	}
	return nil
}

// validateRequired checks that the values that a kind requires are set.
func (r *Rule) validateRequired() error {
	switch {
	case r.Kind == Delay && r.Delay+r.Jitter == 0:
		return ruleErrorf("delay", "missing")
	case r.Kind == Rate && r.Rate == 0:
		return ruleErrorf("rate", "missing")
	case r.Kind == Loss && r.Loss == 0:
		return ruleErrorf("loss", "missing")
	}
	return nil
}

// validatePoint checks the values that set where in a stream the fault applies.
func (r *Rule) validatePoint() error {
	switch {
	case r.After != "" && !slices.Contains(points, r.After):
		return ruleErrorf("after", "%q is none of %v", r.After, points)
	case r.After != "" && r.Byte > 0:
		return ruleErrorf("byte", "can't be combined with after")
	case (r.After == Text) != (r.Text != ""):
		return ruleErrorf("text", "is required with after = \"text\" and allowed only with it")
	case r.Nth > 0 && r.After == "":
		return ruleErrorf("nth", "is allowed only with after")
	case (r.After != "" || r.Byte > 0) && !r.appliesOnce():
		return ruleErrorf("after", "%s does not apply at a point in the stream", r.Kind)
	}
	return nil
}

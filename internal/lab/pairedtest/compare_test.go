package pairedtest

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The interval holds the true ratio as often as it says, although seeds differ far
// more than the ways do.
func TestIntervalCoverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	covered := 0
	detected := 0
	const trials = 2000
	for range trials {
		var a, b []float64
		for range 8 {
			seed := math.Exp(rng.NormFloat64()) // what the seed does to both
			a = append(a, seed*math.Exp(0.05*rng.NormFloat64()))
			b = append(b, 1.1*seed*math.Exp(0.05*rng.NormFloat64()))
		}
		r, err := Compare(a, b)
		if err != nil {
			t.Fatal(err)
		}
		if r.Low <= 1.1 && 1.1 <= r.High {
			covered++
		}
		if r.Conclusion() == "higher" {
			detected++
		}
	}
	if part := float64(covered) / trials; part < 0.935 || part > 0.965 {
		t.Errorf("held in %.3f of the trials, stated 0.95", part)
	}
	if detected < trials*8/10 {
		t.Errorf("a tenth more was told in %d of %d", detected, trials)
	}
}

func TestFewOrUnusablePairs(t *testing.T) {
	if _, err := Compare([]float64{1}, nil); err == nil {
		t.Error("no error")
	}
	r, _ := Compare([]float64{0, math.NaN(), 2}, []float64{1, 1, 4})
	if r.Pairs != 1 || r.Skipped != 2 || r.Ratio < 2-1e-9 || r.Ratio > 2+1e-9 || r.Conclusion() != "too few pairs" || !math.IsInf(r.High, 1) {
		t.Errorf("%+v", r)
	}
	r, _ = Compare([]float64{1, 2, 3}, []float64{1, 2, 3})
	if r.Ratio != 1 || r.Conclusion() != "no difference shown" {
		t.Errorf("%+v", r)
	}
	if r, _ = Compare(nil, nil); r.Pairs != 0 || r.Conclusion() != "too few pairs" {
		t.Errorf("%+v", r)
	}
}

package pairedtest

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The confidence interval contains the true ratio in 95% of the trials, although figures
// differ far more between seeds than between the variants.
func TestIntervalCoverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	covered := 0
	detected := 0
	const trials = 2000
	for range trials {
		var a, b []float64
		for range 8 {
			seed := math.Exp(rng.NormFloat64()) // effect of the seed on both variants
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
	if fraction := float64(covered) / trials; fraction < 0.935 || fraction > 0.965 {
		t.Errorf("interval contains the true ratio in %.3f of the trials, want 0.95", fraction)
	}
	if detected < trials*8/10 {
		t.Errorf("ratio 1.1 concluded as higher in %d of %d trials, want 8 of 10", detected, trials)
	}
}

func TestFewOrUnusablePairs(t *testing.T) {
	if _, err := Compare([]float64{1}, nil); err == nil {
		t.Error("got no error for different numbers of figures")
	}
	r, _ := Compare([]float64{0, math.NaN(), 2}, []float64{1, 1, 4})
	if r.Pairs != 1 || r.Skipped != 2 || r.Ratio < 2-1e-9 || r.Ratio > 2+1e-9 || r.Conclusion() != "too few pairs" || !math.IsInf(r.High, 1) {
		t.Errorf("got unexpected ratio %+v", r)
	}
	r, _ = Compare([]float64{1, 2, 3}, []float64{1, 2, 3})
	if r.Ratio != 1 || r.Conclusion() != "no difference shown" {
		t.Errorf("got unexpected ratio %+v", r)
	}
	if r, _ = Compare(nil, nil); r.Pairs != 0 || r.Conclusion() != "too few pairs" {
		t.Errorf("got unexpected ratio %+v", r)
	}
}

// Package pairedtest compares two variants that were measured alternately with
// the same seeds. It compares the two figures of each seed, so that effects of
// the seed on both variants cancel out.
package pairedtest

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is the upper end of a two-sided interval with 95% confidence.
const upperQuantile = 0.975

// Ratio is the ratio of the second variant's figures to those of the first variant.
type Ratio struct {
	Pairs   int     `json:"pairs"`
	First   float64 `json:"first"`   // mean
	Second  float64 `json:"second"`  // mean
	Ratio   float64 `json:"ratio"`   // geometric mean over the pairs
	Low     float64 `json:"Low"`     // lower end of the 95% confidence interval of the ratio
	High    float64 `json:"High"`    // upper end
	Skipped int     `json:"skipped"` // pairs without a ratio, as a figure is 0, negative or not finite
}

// samples are the pairs that have a ratio.
type samples struct {
	first     []float64
	second    []float64
	logRatios []float64
}

// Compare computes the ratio of paired figures. With fewer than two pairs that
// have a ratio, the interval is from 0 to infinity. It returns an error if the
// numbers of figures differ.
func Compare(first, second []float64) (Ratio, error) {
	if len(first) != len(second) {
		return Ratio{}, fmt.Errorf("%d figures of the first variant, %d of the second", len(first), len(second))
	}
	valid := selectPairs(first, second)
	result := Ratio{
		Pairs:   len(valid.logRatios),
		Ratio:   math.NaN(),
		High:    math.Inf(1),
		Skipped: len(first) - len(valid.logRatios),
	}
	if result.Pairs == 0 {
		return result, nil
	}
	result.First = stat.Mean(valid.first, nil)
	result.Second = stat.Mean(valid.second, nil)
	mean, deviation := stat.MeanStdDev(valid.logRatios, nil)
	result.Ratio = math.Exp(mean)
	if result.Pairs > 1 {
		halfWidth := confidenceHalfWidth(result.Pairs, deviation)
		result.Low = math.Exp(mean - halfWidth)
		result.High = math.Exp(mean + halfWidth)
	}
	return result, nil
}

// selectPairs returns the pairs whose figures are both positive and finite.
func selectPairs(first, second []float64) (s samples) {
	for i, a := range first {
		b := second[i]
		if !(a > 0 && b > 0) || math.IsInf(a+b, 0) {
			continue
		}
		s.first = append(s.first, a)
		s.second = append(s.second, b)
		s.logRatios = append(s.logRatios, math.Log(b/a))
	}
	return s
}

// confidenceHalfWidth returns half the width of the mean's 95% confidence interval
// by Student's t distribution.
func confidenceHalfWidth(count int, deviation float64) float64 {
	t := distuv.StudentsT{Sigma: 1, Nu: float64(count - 1)}.Quantile(upperQuantile)
	return t * deviation / math.Sqrt(float64(count))
}

// Conclusion returns what the confidence interval shows about the second variant: higher,
// lower, no difference shown, or too few pairs.
func (r Ratio) Conclusion() string {
	switch {
	case r.Pairs < 2:
		return "too few pairs"
	case r.Low > 1:
		return "higher"
	case r.High < 1:
		return "lower"
	}
	return "no difference shown"
}

package capacity

import (
	"errors"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is a measurement of a cost.
type Point struct {
	X float64 `json:"x"` // size of what the cost grows with
	Y float64 `json:"y"`
}

// Slope is a cost as a linear function A + B x.
type Slope struct {
	What   string  `json:"what"`
	By     string  `json:"by"`   // what X counts, one of the By constants
	Unit   string  `json:"unit"` // of Y
	How    How     `json:"how"`
	Kind   Kind    `json:"kind,omitempty"`
	Points []Point `json:"points"`
	A      float64 `json:"a"`
	B      float64 `json:"b"`
	Spread float64 `json:"spread"` // of repeats at one size: half their range divided by their mean; the largest over the sizes
	Run    int     `json:"-"`      // number of the page's run that measured it, from 1
	Bend   float64 `json:"bend"`   // largest distance of a size's mean from the line, divided by the largest mean; over 0.1 the cost is not linear
}

// ErrFew is returned by Fit for points at fewer than four sizes.
var ErrFew = errors.New("a slope needs at least four sizes")

// Fit fits a line to the points by unweighted least squares. It returns ErrFew if they have fewer than four sizes.
func Fit(what, by, unit string, how How, points []Point) (Slope, error) {
	s := Slope{What: what, By: by, Unit: unit, How: how, Points: points}
	var xs, ys, sizes []float64
	costsAt := map[float64][]float64{}
	for _, p := range points {
		xs, ys = append(xs, p.X), append(ys, p.Y)
		if costsAt[p.X] == nil {
			sizes = append(sizes, p.X)
		}
		costsAt[p.X] = append(costsAt[p.X], p.Y)
	}
	if len(sizes) < 4 {
		return s, ErrFew
	}
	s.A, s.B = stat.LinearRegression(xs, ys, nil, false)
	maxDistance, maxMean := 0.0, 0.0
	for x, list := range costsAt {
		mean := stat.Mean(list, nil)
		maxDistance, maxMean = max(maxDistance, math.Abs(mean-s.At(x))), max(maxMean, math.Abs(mean))
		if mean != 0 {
			s.Spread = max(s.Spread, (slices.Max(list)-slices.Min(list))/2/math.Abs(mean))
		}
	}
	if maxMean > 0 {
		s.Bend = maxDistance / maxMean
	}
	return s, nil
}

// At returns the cost that the line gives for a size.
func (s *Slope) At(x float64) float64 { return s.A + s.B*x }

// Played reports whether a size lies within the range of the measured sizes.
func (s *Slope) Played(x float64) bool {
	lo, hi := math.Inf(1), math.Inf(-1)
	for _, p := range s.Points {
		lo, hi = min(lo, p.X), max(hi, p.X)
	}
	return x >= lo && x <= hi
}

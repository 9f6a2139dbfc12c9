package capacity

import (
	"math"
	"slices"
)

// Point holds the repeated measurements at one size.
type Point struct {
	X      float64   `json:"x"`
	Values []float64 `json:"values"`
}

// Mean returns the mean of the measurements, or 0 if there are none.
func (p Point) Mean() float64 {
	sum := 0.0
	for _, v := range p.Values {
		sum += v
	}
	return sum / float64(max(1, len(p.Values)))
}

// MinMax returns the smallest and the largest measurement, or zeros if there are none.
func (p Point) MinMax() (low, high float64) {
	if len(p.Values) == 0 {
		return 0, 0
	}
	return slices.Min(p.Values), slices.Max(p.Values)
}

// Line is a straight line fitted to points.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"` // coefficient of determination, 0 to 1
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least squares line through all measurements.
func Fit(points []Point) Line {
	var n, sx, sy, sxx, sxy, syy float64
	for _, p := range points {
		for _, v := range p.Values {
			n++
			sx, sy, sxx, sxy, syy = sx+p.X, sy+v, sxx+p.X*p.X, sxy+p.X*v, syy+v*v
		}
	}
	if n == 0 {
		return Line{}
	}
	dx, dy, d := sxx-sx*sx/n, syy-sy*sy/n, sxy-sx*sy/n
	if dx <= 0 {
		return Line{Intercept: sy / n}
	}
	l := Line{Slope: d / dx}
	l.Intercept = (sy - l.Slope*sx) / n
	if dy > 0 {
		l.R2 = math.Min(1, d*d/(dx*dy))
	}
	return l
}

// Series is a quantity measured at several sizes.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Size   string  `json:"size"` // description of the quantity on the x axis
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
}

// add records one measurement at x.
func (s *Series) add(x, value float64) {
	for i := range s.Points {
		if s.Points[i].X == x {
			s.Points[i].Values = append(s.Points[i].Values, value)
			s.Line = Fit(s.Points)
			return
		}
	}
	s.Points = append(s.Points, Point{X: x, Values: []float64{value}})
	s.Line = Fit(s.Points)
}

// at returns the mean of the measurements at x, or the value of the line if x was not measured.
func (s *Series) at(x float64) float64 {
	for _, p := range s.Points {
		if p.X == x {
			return p.Mean()
		}
	}
	return s.Line.At(x)
}

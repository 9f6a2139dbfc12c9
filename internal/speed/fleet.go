package speed

import (
	"math"
	"slices"
)

const (
	// knownWithin is the largest factor between Mean and High of a worker whose speed is known. With a larger one, estimates near the mean for lack of reports
	// make the spread of the fleet too low.
	knownWithin = 1.2
	// minKnown is the number of workers of known speed from which their spread says something of the others.
	minKnown = 10
	// slowQuantile is the quantile of the slowness of the workers of known speed that counts as that of the slow ones.
	slowQuantile = 0.9
)

// Known reports whether the estimate is certain enough to tell fast workers from slow ones.
func (e Estimate) Known() bool { return e.High < knownWithin*e.Mean }

// bounded returns the estimate with an uncertainty of at most a factor.
func (e Estimate) bounded(spread float64) Estimate {
	return Estimate{e.Mean, max(e.Low, e.Mean/spread), min(e.High, e.Mean*spread)}
}

// BoundUncertainty bounds the uncertainty of the estimates of a fleet by the spread of the workers of known speed: a fleet whose known workers hardly differ
// has few unknown ones that do.
func BoundUncertainty(estimates []Estimate) {
	factor, ok := spread(estimates)
	if !ok {
		return
	}
	for i, e := range estimates {
		estimates[i] = e.bounded(factor)
	}
}

// Slow returns the slowness of the slow workers of a fleet, 0 while the speed of too few is known.
func Slow(estimates []Estimate) float64 {
	var known []float64
	for _, e := range estimates {
		if e.Known() {
			known = append(known, e.Mean)
		}
	}
	if len(known) < minKnown {
		return 0
	}
	slices.Sort(known)
	return known[int(slowQuantile*float64(len(known)-1))]
}

// spread returns the factor of one standard deviation of the slowness of the workers of known speed, and false while too few are known.
func spread(estimates []Estimate) (factor float64, ok bool) {
	n, sum, squares := 0.0, 0.0, 0.0
	for _, e := range estimates {
		if e.Known() {
			x := math.Log(e.Mean)
			n, sum, squares = n+1, sum+x, squares+x*x
		}
	}
	if n < minKnown {
		return 0, false
	}
	return math.Exp(math.Sqrt(max(0, squares/n-sum*sum/(n*n)))), true
}

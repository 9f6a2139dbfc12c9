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
	// minSlowWorkers and slowShare are the number and the share of the workers that have to be slow for a fleet to have slow workers.
	minSlowWorkers, slowShare = 3, 0.02
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

// Slow returns the slowness that the slow workers of a fleet certainly have: the lower end of the estimates of slowShare of the workers is above it. It
// returns 0 for fewer than minSlowWorkers.
func Slow(estimates []Estimate) float64 {
	low := make([]float64, len(estimates))
	for i, e := range estimates {
		low[i] = e.Low
	}
	slices.Sort(low)
	n := max(minSlowWorkers, int(slowShare*float64(len(low))))
	if n > len(low) {
		return 0
	}
	return low[len(low)-n]
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

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
	// minOutliers and outlierShare are the number and the share of the workers that have to be slow, and fast, for a fleet to be uneven.
	minOutliers, outlierShare = 3, 0.02
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

// Unevenness returns how many times as long run times on the slow workers of a fleet certainly are as on the fast ones: the lower end of the estimates of the
// slowest outlierShare relative to the upper end of those of the fastest. It is 0 if these would be the same workers.
func Unevenness(estimates []Estimate) float64 {
	n := max(minOutliers, int(outlierShare*float64(len(estimates))))
	if len(estimates) < 2*n {
		return 0
	}
	low, high := make([]float64, len(estimates)), make([]float64, len(estimates))
	for i, e := range estimates {
		low[i], high[i] = e.Low, e.High
	}
	slices.Sort(low)
	slices.Sort(high)
	return low[len(low)-n] / high[n-1]
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

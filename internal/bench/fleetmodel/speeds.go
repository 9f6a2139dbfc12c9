package fleetmodel

import (
	"math"
	"slices"
	"time"
)

// SpeedQuality compares the estimated with the true speeds of the workers, some time after a leader took over.
type SpeedQuality struct {
	Leader   uint64  // epoch
	AfterS   float64 // seconds after the takeover
	Known    float64 // share of the workers of which the leader knows more than of any other
	Right    float64 // share of the known workers on the right side of the mean, of those that are not near it
	LogError float64 // mean of the absolute difference of the logarithms, of the known workers
}

// speedQualityTimes are the times after a takeover at which the estimates are compared.
var speedQualityTimes = []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, 20 * time.Second}

// nearMean is the absolute logarithm of the factor below which a worker is near the mean.
const nearMean = 0.1

// knownWidth is the width of the range of an estimate, relative to that of a worker that has never run anything, up to which the worker is known.
const knownWidth = 0.9

// measureSpeeds records the quality of the estimates at the times at which it is compared.
func (sim *simulation) measureSpeeds() {
	led := sim.fleet.now - sim.leadingSince
	if len(sim.fleet.scenario.Fleet.Speeds) == 0 || sim.core == nil || !slices.Contains(speedQualityTimes, led) {
		return
	}
	q := SpeedQuality{Leader: sim.leaderEpoch, AfterS: led.Seconds()}
	mean, known, right, counted := sim.fleet.meanFactor(), 0, 0, 0
	unknown := sim.core.Slowness("")
	for _, w := range sim.fleet.workers {
		e := sim.core.Slowness(w.ID)
		if e.High/e.Low > knownWidth*unknown.High/unknown.Low {
			continue
		}
		known++
		estimate, truth := math.Log(e.Mean), -math.Log(w.speed*mean)
		q.LogError += math.Abs(estimate - truth)
		if math.Abs(truth) < nearMean {
			continue
		}
		counted++
		if (estimate > 0) == (truth > 0) {
			right++
		}
	}
	q.Known, q.Right, q.LogError = ratio(known, len(sim.fleet.workers)), ratio(right, counted), q.LogError/float64(max(1, known))
	sim.speeds = append(sim.speeds, q)
}

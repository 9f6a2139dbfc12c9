package speed

import (
	"math"
	"time"
)

const (
	// minReportInterval is the least time between two observations of a run that are used.
	minReportInterval = 0.2
	// minProgress is the least progress, made or expected, from which an observation is used: progress comes in whole percent.
	minProgress = 0.03
	// maxProgress is the largest progress of a run that goes on from which it is used: workers may report 99% until the end of the run is known.
	maxProgress = 0.98
	// changeFactor is the least factor between the rates of two parts of a run that counts as a change of its worker's speed, and changeDeviations the
	// least number of standard deviations.
	changeFactor, changeDeviations = 1.7, 3.0
	// maxSlowdown bounds the slowdown of a worker; a run that hangs makes no progress at all.
	maxSlowdown = 10
	// slowdownDecay is the time constant in which a slowdown that no run shows any more is forgotten. Slowdowns of workers last for some seconds.
	slowdownDecay = 8 * time.Second
	// slowdownGain is the part of a change that one observation adds; another run on the worker may contradict it.
	slowdownGain = 0.8
	// negligibleSlowdown is the logarithm of the factor below which a slowdown has ended.
	negligibleSlowdown = 0.1
)

// slowdown is a temporary slowdown of a worker.
type slowdown struct {
	log    float64       // logarithm of a factor of at least 1
	seenAt time.Duration // when a run showed it
}

// at returns the logarithm of the factor that is assumed at a time.
func (s slowdown) at(now time.Duration) float64 {
	if s.log == 0 {
		return 0
	}
	return s.log * math.Exp(-max(0, now-s.seenAt).Seconds()/slowdownDecay.Seconds())
}

// slowdownOf returns the logarithm of the largest slowdown of the workers of a run.
func (m *Model) slowdownOf(r *runState) float64 {
	largest := 0.0
	for _, w := range r.workers {
		largest = max(largest, w.slowdown.at(m.now))
	}
	return largest
}

// usable reports whether an observation of a run adds enough to the last one that was used. slow is the logarithm of the slowdown of its workers.
func (r *runState) usable(p point, ended bool, slow float64) bool {
	took, gained := p.elapsed-r.last.elapsed, p.progress-r.last.progress
	switch {
	case took <= 0 || gained < 0:
		return false
	case ended:
		return gained > 0
	case took < minReportInterval || p.progress > maxProgress:
		return false
	}
	rate := 1 / r.expected
	if share := r.share(); share >= minProgress {
		rate = share / r.effective * math.Exp(-slow)
	}
	return max(gained, took*rate) >= minProgress
}

// share returns the progress that the messages of the run are based on.
func (r *runState) share() float64 { return r.last.progress - r.from.progress }

// advance adds an observation to a run. A change of the rate within a run shows a change of the speed of its workers, and the part after it tells nothing
// about their lasting slowness. The end of a run may be reported late, and changes no rate.
func (m *Model) advance(r *runState, p point, ended bool) {
	took, gained := p.elapsed-r.last.elapsed, p.progress-r.last.progress
	share := r.share()
	if share < minProgress || ended {
		r.effective += took * math.Exp(-m.slowdownOf(r))
		r.last = p
		return
	}
	counted := max(gained, progressError)
	change := math.Log(took / counted * share / r.effective)
	deviation := math.Sqrt(square(progressError/counted) + square(progressError/share) + square(timeError.Seconds()/took))
	threshold := max(math.Log(changeFactor), changeDeviations*deviation)
	switch {
	case change > threshold:
		m.slowed(r, min(change, math.Log(maxSlowdown)))
		r.effective += r.effective / share * gained
	case change < -threshold:
		// The run was slowed down from its start.
		m.recovered(r)
		r.from, r.effective = r.last, took
	default:
		m.recovered(r)
		r.effective += took
	}
	r.last = p
}

// slowed records that the rate of a run has dropped. In a gang any member may be the cause; a member that is known to be slow explains it.
func (m *Model) slowed(r *runState, change float64) {
	if len(r.workers) == 1 {
		w := r.workers[0]
		value := w.slowdown.at(m.now)
		w.slowdown = slowdown{value + slowdownGain*(change-value), m.now}
		return
	}
	for _, w := range r.workers {
		if w.slowdown.at(m.now) >= slowdownGain*change {
			w.slowdown = slowdown{w.slowdown.at(m.now), m.now}
			return
		}
	}
	for _, w := range r.workers {
		w.slowdown = slowdown{max(w.slowdown.at(m.now), change/float64(len(r.workers))), m.now}
	}
}

// recovered records that a run has its usual rate, so that none of its workers is slowed down.
func (m *Model) recovered(r *runState) {
	for _, w := range r.workers {
		if w.slowdown.log == 0 {
			continue
		}
		w.slowdown = slowdown{(1 - slowdownGain) * w.slowdown.at(m.now), m.now}
		if w.slowdown.log < negligibleSlowdown {
			w.slowdown = slowdown{}
		}
	}
}

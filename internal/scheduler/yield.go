package scheduler

import (
	"slices"
	"time"
)

// fitByYielding finds workers for a short job by preempting long borrowing gangs of the same or a less urgent class, which yield to it. It does so
// if the completion time that the job gains, multiplied by the share of the completion weight, exceeds yieldFactor times what the gangs lose.
func (s *state) fitByYielding(p *pending) ([]int32, bool) {
	if s.yieldSearches >= maxYieldSearches || s.noFitByYielding[p.Shape] {
		return nil, false
	}
	s.yieldSearches++
	run := s.snap.Estimates.Remaining(&p.Job, p.Progress, medianQuantile)
	q := &query{shape: p.Shape, excluded: p.excluded, exempt: func(g *gang) bool { return !s.mayYield(g, p, run) }}
	var best *victimSet
	for _, set := range s.candidateSets(q, func(w *worker) Resources { return w.total.minus(w.used).minus(w.reserved) }) {
		if v := s.chooseVictims(q, set); v != nil && s.gainExceedsCost(v, run) && (best == nil || v.better(best)) {
			best = v
		}
	}
	if best == nil {
		s.noFitByYielding[p.Shape] = true
		return nil, false
	}
	for _, g := range best.victims {
		s.preempt(g, Reason{Code: YieldedTo, OtherJob: p.ID})
	}
	workers, ok := s.fitOnWorkers(&query{shape: p.Shape, excluded: p.excluded, avail: (*worker).unreserved}, best.workers)
	return slices.Clone(workers), ok
}

// mayYield reports whether the gang may be preempted for a job with the given run time.
func (s *state) mayYield(g *gang, p *pending, run time.Duration) bool {
	return g.Class >= p.Class && g.Preemptions < MaxPreemptions && g.Started.Before(s.snap.Now) &&
		s.yieldGain(g) > s.yieldCost(g, run)
}

// yieldGain returns the time that a job saves if it does not have to wait for the end of the gang, multiplied by the share of the completion weight.
func (s *state) yieldGain(g *gang) time.Duration {
	return time.Duration(s.snap.Weights.completionShare() * float64(s.remaining(g)))
}

// yieldCost returns yieldFactor times the time that the gang loses if it yields to a job with the given run time.
func (s *state) yieldCost(g *gang, run time.Duration) time.Duration {
	return yieldFactor * (run + g.CheckpointAge + yieldOverhead)
}

// gainExceedsCost reports whether the gain of the job, the lowest yieldGain of all victims, exceeds the sum of their costs.
func (s *state) gainExceedsCost(v *victimSet, run time.Duration) bool {
	gain, cost := time.Duration(0), time.Duration(0)
	for i, g := range v.victims {
		saved := s.yieldGain(&s.gangs[g])
		if i == 0 || saved < gain {
			gain = saved
		}
		cost += s.yieldCost(&s.gangs[g], run)
	}
	return gain > cost
}

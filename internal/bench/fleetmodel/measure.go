package fleetmodel

import (
	"cmp"
	"slices"
	"time"
)

// result computes the result of a simulation that has ended.
func (sim *simulation) result(s *Scenario) Result {
	out := Result{Busy: sim.busyDuringArrivals / (s.LengthS * s.capacity()), Starts: sim.fleet.starts, Stops: sim.fleet.stops, Plan: sim.planTime, Speeds: sim.speeds}
	if sim.fleet.busy > 0 {
		out.Lost = sim.fleet.lost / sim.fleet.busy
	}
	earnedWorth, attainableWorth := 0.0, 0.0
	for i := range s.Classes {
		r, earned, attainable := sim.classResult(s, i)
		out.Classes = append(out.Classes, r)
		earnedWorth, attainableWorth = earnedWorth+earned, attainableWorth+attainable
	}
	if attainableWorth > 0 {
		out.Worth = earnedWorth / attainableWorth
	}
	return out
}

// capacity returns the capacity of the fleet in core equivalents.
func (s *Scenario) capacity() float64 {
	f := &s.Fleet
	return float64(s.workers()) * (float64(f.MilliCores)/1000 + acceleratorCores*float64(f.Accelerators))
}

// acceleratorCores is the number of cores that an accelerator counts for. The users specify it; package batch has the same number.
const acceleratorCores = 8

// The worth of a job relative to the worth of its class is fixedWorthShare plus a part in proportion to its work, at most maxRelativeWorth. The users
// specify these numbers.
const (
	fixedWorthShare  = 0.3
	maxRelativeWorth = 4
)

// classResult computes the result of a class, and the worth that its jobs earned and the worth that they could have earned.
func (sim *simulation) classResult(s *Scenario, class int) (r ClassResult, earnedWorth, attainableWorth float64) {
	c := &s.Classes[class]
	var counted []*arrival
	meanWork := 0.0
	for i := range sim.jobs {
		if a := &sim.jobs[i]; a.classIndex == class && a.cancelAt == 0 && !a.poison {
			counted = append(counted, a)
			meanWork += a.work
		}
	}
	if len(counted) == 0 {
		return r, 0, 0
	}
	meanWork /= float64(len(counted))
	var completions []time.Duration
	slices.SortFunc(counted, func(a, b *arrival) int { return -cmp.Compare(a.work, b.work) })
	large, largeServed, served := max(1, int(largeJobShare*float64(len(counted)))), 0, 0
	for i, a := range counted {
		worth := min(maxRelativeWorth, fixedWorthShare+(1-fixedWorthShare)*a.work/meanWork) * c.Worth
		attainableWorth += worth
		completion, ok := sim.completionTime(s, a)
		completions = append(completions, completion)
		switch {
		case ok && completion <= a.objective:
			r.InTime++
			earnedWorth += worth
		case ok && completion <= lateLimitFactor*a.objective:
			r.Late++
			earnedWorth += worth * c.LateWorth / c.Worth
		default:
			continue
		}
		served++
		if i < large {
			largeServed++
		}
	}
	slices.Sort(completions)
	r.Jobs, r.Worth = len(counted), earnedWorth/attainableWorth
	r.P50, r.P99 = completions[len(completions)/2], completions[len(completions)*99/100]
	if served > 0 {
		r.Large = float64(largeServed) / float64(large) / (float64(served) / float64(len(counted)))
	}
	return r, earnedWorth, attainableWorth
}

// completionTime returns the time from the arrival of a job to its completion. For a job that did not complete it returns the time to the end of the
// simulation, and false.
func (sim *simulation) completionTime(s *Scenario, a *arrival) (time.Duration, bool) {
	if at, ok := sim.completed(a.job.ID); ok {
		return at - a.arrivedAt, true
	}
	return seconds(s.LengthS+s.SettleS) - a.arrivedAt, false
}

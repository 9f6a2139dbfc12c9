package fleetmodel

import (
	"cmp"
	"slices"
	"time"
)

func (g *game) result(s *Scenario) Result {
	out := Result{Busy: g.busy / (s.LengthS * s.capacity()), Starts: g.fleet.starts, Stops: g.fleet.stops, Plan: g.cost}
	if g.fleet.busy > 0 {
		out.Lost = g.fleet.lost / g.fleet.busy
	}
	earned, owed := 0.0, 0.0
	for i := range s.Classes {
		r, e, o := g.classResult(s, i)
		out.Classes = append(out.Classes, r)
		earned, owed = earned+e, owed+o
	}
	if owed > 0 {
		out.Worth = earned / owed
	}
	return out
}

func (s *Scenario) capacity() float64 {
	f := &s.Fleet
	workers := float64(f.Racks * f.WorkersPerRack)
	return workers * (float64(f.MilliCores)/1000 + acceleratorCores*float64(f.Accelerators))
}

// acceleratorCores is the number of cores that an accelerator counts for, as in package batch; the figure is the users'.
const acceleratorCores = 8

// Weights of a job's worth: a fixed part, and a part in proportion to its work, up to a bound. The figures are the users'.
const (
	fixedWorth = 0.3
	maxWorth   = 4
)

func (g *game) classResult(s *Scenario, class int) (r ClassResult, earned, owed float64) {
	c := &s.Classes[class]
	var mine []*arrival
	mean := 0.0
	for i := range g.jobs {
		if a := &g.jobs[i]; a.class == class && a.cancelAt == 0 && !a.poison {
			mine = append(mine, a)
			mean += a.work
		}
	}
	if len(mine) == 0 {
		return r, 0, 0
	}
	mean /= float64(len(mine))
	var times []time.Duration
	slices.SortFunc(mine, func(a, b *arrival) int { return -cmp.Compare(a.work, b.work) })
	large, largeServed, served := max(1, int(largeShare*float64(len(mine)))), 0, 0
	for i, a := range mine {
		worth := min(maxWorth, fixedWorth+(1-fixedWorth)*a.work/mean) * c.Worth
		owed += worth
		took, ok := g.took(s, a)
		times = append(times, took)
		switch {
		case ok && took <= a.objective:
			r.InTime++
			earned += worth
		case ok && took <= lateFactor*a.objective:
			r.Late++
			earned += worth * c.LateWorth / c.Worth
		default:
			continue
		}
		served++
		if i < large {
			largeServed++
		}
	}
	slices.Sort(times)
	r.Jobs, r.Worth = len(mine), earned/owed
	r.P50, r.P99 = times[len(times)/2], times[len(times)*99/100]
	if served > 0 {
		r.Large = float64(largeServed) / float64(large) / (float64(served) / float64(len(mine)))
	}
	return r, earned, owed
}

// took returns the time from the arrival of a job to its completion; one that isn't completed counts with the rest of the simulation.
func (g *game) took(s *Scenario, a *arrival) (time.Duration, bool) {
	if at, ok := g.completed(a.job.ID); ok {
		return at - a.at, true
	}
	return seconds(s.LengthS+s.SettleS) - a.at, false
}

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
	teams := make([]teamWorth, len(s.Teams))
	for i := range s.Classes {
		out.Classes = append(out.Classes, sim.classResult(s, i, teams))
	}
	total := teamWorth{}
	for i, t := range s.Teams {
		out.Teams = append(out.Teams, TeamResult{Name: t.Name, Jobs: teams[i].jobs, Worth: teams[i].share()})
		total.add(teams[i].earned, teams[i].attainable)
	}
	out.Worth = total.share()
	return out
}

// teamWorth is the worth that the jobs of a team earned and could have earned.
type teamWorth struct {
	jobs               int
	earned, attainable float64
}

func (t *teamWorth) add(earned, attainable float64) {
	t.jobs++
	t.earned += earned
	t.attainable += attainable
}

// share returns the earned part of the worth, 0 if there was none to earn.
func (t *teamWorth) share() float64 {
	if t.attainable == 0 {
		return 0
	}
	return t.earned / t.attainable
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

// classResult computes the result of a class, and adds the worth of its jobs to that of their teams, which are in the order of the scenario.
func (sim *simulation) classResult(s *Scenario, class int, teams []teamWorth) (r ClassResult) {
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
		return r
	}
	meanWork /= float64(len(counted))
	slices.SortFunc(counted, func(a, b *arrival) int { return -cmp.Compare(a.work, b.work) })
	var total teamWorth
	completions, served := make([]time.Duration, len(counted)), make([]bool, len(counted))
	for i, a := range counted {
		worth := min(maxRelativeWorth, fixedWorthShare+(1-fixedWorthShare)*a.work/meanWork) * c.Worth
		earned := 0.0
		completion, ok := sim.completionTime(s, a)
		completions[i] = completion
		switch {
		case ok && completion <= a.objective:
			r.InTime++
			earned, served[i] = worth, true
		case ok && completion <= lateLimitFactor*a.objective:
			r.Late++
			earned, served[i] = worth*c.LateWorth/c.Worth, true
		}
		total.add(earned, worth)
		teams[slices.IndexFunc(s.Teams, func(t Team) bool { return t.Name == a.job.Team })].add(earned, worth)
	}
	slices.Sort(completions)
	r.Jobs, r.Worth = len(counted), total.share()
	r.P50, r.P99 = completions[len(completions)/2], completions[len(completions)*99/100]
	large := max(1, int(largeJobShare*float64(len(counted))))
	next := min(len(counted), large+max(1, int(nextJobShare*float64(len(counted)))))
	if all := servedShare(served); all > 0 {
		r.Large, r.Next = servedShare(served[:large])/all, servedShare(served[large:next])/all
	}
	return r
}

// servedShare returns the share of true values, 0 if there are none.
func servedShare(served []bool) float64 {
	n := 0
	for _, s := range served {
		if s {
			n++
		}
	}
	return float64(n) / float64(max(1, len(served)))
}

// completionTime returns the time from the arrival of a job to its completion. For a job that did not complete it returns the time to the end of the
// simulation, and false.
func (sim *simulation) completionTime(s *Scenario, a *arrival) (time.Duration, bool) {
	if at, ok := sim.completed(a.job.ID); ok {
		return at - a.arrivedAt, true
	}
	return seconds(s.LengthS+s.SettleS) - a.arrivedAt, false
}

package fleetmodel

import (
	"cmp"
	"slices"
	"time"

	"samphirewell/internal/batch"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/placement"
)

// Policy is a scheduling policy, which configure sets in the decision core.
type Policy struct {
	Name      string
	configure func(c *dispatch.Core, sim *simulation)
}

// Policies returns the policies that are compared by default; the first one is the product's own.
func Policies() []Policy {
	return []Policy{
		{"product", func(*dispatch.Core, *simulation) {}},
		{"fcfs-first-fit", func(c *dispatch.Core, _ *simulation) { c.SetPlanner(fcfsFirstFit) }},
		{"best-fit-backfill", func(c *dispatch.Core, _ *simulation) { c.SetPlanner(bestFitBackfill) }},
		{"oracle", func(c *dispatch.Core, sim *simulation) { c.SetRunTimes(trueRunTimes(sim.jobs)) }},
		{"speed-oracle", func(c *dispatch.Core, sim *simulation) { c.SetSlowness(sim.fleet.slowness) }},
	}
}

// trueRunTimes returns an estimator of run times that gives the longest true run time of a job's tasks.
func trueRunTimes(jobs []arrival) func(j *batch.Job, step int) time.Duration {
	byID := make(map[string]time.Duration, len(jobs))
	for i := range jobs {
		byID[jobs[i].job.ID] = slices.Max(jobs[i].taskRunTimes)
	}
	return func(j *batch.Job, _ int) time.Duration { return byID[j.ID] }
}

// fcfsFirstFit places requests in order of their wait, longest first, and ends at the first one that doesn't fit completely. Each task gets the first
// worker with sufficient free resources.
func fcfsFirstFit(in placement.Input) placement.Decision {
	return listSchedule(in, false, func(_ []placement.Worker, candidates []int, _ batch.Resources) int { return candidates[0] })
}

// bestFitBackfill places requests in order of their wait, longest first, and goes on after one that doesn't fit. Each task gets the worker with the
// least free resources that suffice.
func bestFitBackfill(in placement.Input) placement.Decision {
	return listSchedule(in, true, func(workers []placement.Worker, candidates []int, _ batch.Resources) int {
		return slices.MinFunc(candidates, func(a, b int) int {
			return cmp.Compare(workers[a].Free.CoreEquivalents(), workers[b].Free.CoreEquivalents())
		})
	})
}

// listSchedule is the common part of the baselines. They handle racks and the location of data as the product does, but do not preempt. With backfill
// set, requests after one that doesn't fit completely are placed too.
func listSchedule(in placement.Input, backfill bool, choose func(workers []placement.Worker, candidates []int, need batch.Resources) int) placement.Decision {
	var out placement.Decision
	order := make([]int, len(in.Requests))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return -cmp.Compare(in.Requests[a].WaitTime, in.Requests[b].WaitTime) })
	for _, i := range order {
		r := &in.Requests[i]
		placed := fitRequest(in.Workers, r, choose)
		if len(placed) > 0 {
			for _, w := range placed {
				in.Workers[w].Free = in.Workers[w].Free.Minus(r.Step.Need)
			}
			out.Placements = append(out.Placements, placement.Placement{Request: i, Workers: placed})
		}
		if len(placed) < r.Count && !backfill {
			break
		}
	}
	return out
}

// fitRequest returns workers for the tasks that fit: on the rack of the data, or on one rack if the step prefers that, else anywhere. A gang is
// placed as a whole or not at all.
func fitRequest(workers []placement.Worker, r *placement.Request, choose func([]placement.Worker, []int, batch.Resources) int) []int {
	var racks []string
	for i := range workers {
		if !slices.Contains(racks, workers[i].Rack) {
			racks = append(racks, workers[i].Rack)
		}
	}
	anywhere := []string{""}
	switch {
	case r.Step.DataRack != "":
		racks = []string{r.Step.DataRack}
	case !r.Step.SameRack:
		racks = anywhere
	}
	if r.Gang && !slices.ContainsFunc(racks, func(rack string) bool { return emptyRackCapacity(workers, r, rack) >= r.Count }) {
		racks = anywhere // it runs slower across racks, but would never be placed otherwise
	}
	var best []int
	for _, rack := range racks {
		if got := fitRack(workers, r, rack, choose); len(got) > len(best) {
			best = got
		}
	}
	if r.Gang && len(best) < r.Count {
		return nil
	}
	return best
}

// emptyRackCapacity returns how many tasks of the request fit on a rack without other tasks, or on all workers if rack is empty.
func emptyRackCapacity(workers []placement.Worker, r *placement.Request, rack string) int {
	n := 0
	for i := range workers {
		if rack == "" || workers[i].Rack == rack {
			n += workers[i].Capacity.FitCount(r.Step.Need, r.Count)
		}
	}
	return n
}

// fitRack returns workers of a rack, or of all racks if rack is empty, for as many tasks of the request as fit.
func fitRack(workers []placement.Worker, r *placement.Request, rack string, choose func([]placement.Worker, []int, batch.Resources) int) []int {
	freeByWorker := make(map[int]batch.Resources)
	var out []int
	for range r.Count {
		var candidates []int
		for i := range workers {
			free, ok := freeByWorker[i]
			if !ok {
				free = workers[i].Free
			}
			if workers[i].Usable && !r.AvoidedWorkers[i] && (rack == "" || workers[i].Rack == rack) && free.Covers(r.Step.Need) {
				candidates = append(candidates, i)
			}
		}
		if len(candidates) == 0 {
			return out
		}
		w := choose(workers, candidates, r.Step.Need)
		free, ok := freeByWorker[w]
		if !ok {
			free = workers[w].Free
		}
		freeByWorker[w] = free.Minus(r.Step.Need)
		out = append(out, w)
	}
	return out
}

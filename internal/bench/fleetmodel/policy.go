package fleetmodel

import (
	"cmp"
	"slices"
	"time"

	"samphirewell/internal/batch"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/placement"
)

// Policy is a way to decide.
type Policy struct {
	Name string
	set  func(c *dispatch.Core, jobs []arrival)
}

// Policies returns the policies that can be compared; the first one is the product's.
func Policies() []Policy {
	return []Policy{
		{"product", func(*dispatch.Core, []arrival) {}},
		{"fcfs-first-fit", func(c *dispatch.Core, _ []arrival) { c.SetPlanner(fcfsFirstFit) }},
		{"best-fit-backfill", func(c *dispatch.Core, _ []arrival) { c.SetPlanner(bestFitBackfill) }},
		{"oracle", func(c *dispatch.Core, jobs []arrival) { c.SetRunTimes(trueRunTimes(jobs)) }},
	}
}

// trueRunTimes tells the product's policy the longest true run time of a job's tasks.
func trueRunTimes(jobs []arrival) func(j *batch.Job, step int) time.Duration {
	byID := make(map[string]time.Duration, len(jobs))
	for i := range jobs {
		byID[jobs[i].job.ID] = slices.Max(jobs[i].runs)
	}
	return func(j *batch.Job, _ int) time.Duration { return byID[j.ID] }
}

// fcfsFirstFit serves requests in order of arrival and stops at the first one that doesn't fit; each task takes the first worker with room.
func fcfsFirstFit(in placement.Input) placement.Decision {
	return listSchedule(in, false, func(_ []placement.Worker, candidates []int, _ batch.Resources) int { return candidates[0] })
}

// bestFitBackfill serves requests in order of arrival and lets later ones pass those that don't fit; each task takes the worker with the least room left.
func bestFitBackfill(in placement.Input) placement.Decision {
	return listSchedule(in, true, func(workers []placement.Worker, candidates []int, _ batch.Resources) int {
		return slices.MinFunc(candidates, func(a, b int) int {
			return cmp.Compare(workers[a].Free.CoreEquivalents(), workers[b].Free.CoreEquivalents())
		})
	})
}

// listSchedule is the common part of the baselines. They know racks and data as the product does, but stop nothing.
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

// fitRequest returns workers for the tasks that fit: on the rack of the data, on one rack if the tasks belong together, else anywhere.
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
	if r.Gang && !slices.ContainsFunc(racks, func(rack string) bool { return slotsOf(workers, r, rack) >= r.Count }) {
		racks = anywhere // it runs slower there, but would wait for ever otherwise
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

// slotsOf returns how many tasks of the request an empty rack holds.
func slotsOf(workers []placement.Worker, r *placement.Request, rack string) int {
	n := 0
	for i := range workers {
		if rack == "" || workers[i].Rack == rack {
			n += workers[i].Capacity.FitCount(r.Step.Need, r.Count)
		}
	}
	return n
}

func fitRack(workers []placement.Worker, r *placement.Request, rack string, choose func([]placement.Worker, []int, batch.Resources) int) []int {
	free := make(map[int]batch.Resources)
	var out []int
	for range r.Count {
		var candidates []int
		for i := range workers {
			room, ok := free[i]
			if !ok {
				room = workers[i].Free
			}
			if workers[i].Usable && !r.AvoidedWorkers[i] && (rack == "" || workers[i].Rack == rack) && room.Covers(r.Step.Need) {
				candidates = append(candidates, i)
			}
		}
		if len(candidates) == 0 {
			return out
		}
		w := choose(workers, candidates, r.Step.Need)
		room, ok := free[w]
		if !ok {
			room = workers[w].Free
		}
		free[w] = room.Minus(r.Step.Need)
		out = append(out, w)
	}
	return out
}

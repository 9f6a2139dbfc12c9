package fleetmodel

import (
	"cmp"
	"math"
	"slices"

	"samphirewell/internal/dispatch"
	"samphirewell/internal/waitcost"
)

// orderPolicies returns the product's policy without fair shares between teams, and with other orders of the waiting jobs of a priority.
func orderPolicies() []Policy {
	out := []Policy{{"no-fair-shares", func(c *dispatch.Core, _ *simulation) { c.SetFairShares(false) }}}
	for _, o := range []struct {
		name  string
		order waitcost.Order
	}{{"oldest-first", oldestFirst}, {"least-slack", leastSlack}, {"weighted-shortest", weightedShortest}, {"value-then-shortest", valueThenShortest},
		{"cost-slope", costSlope}, {"price", admissionByPrice}} {
		out = append(out, Policy{o.name, func(c *dispatch.Core, _ *simulation) { c.SetOrder(o.order) }})
	}
	return out
}

// oldestFirst serves jobs in the order of their acceptance.
func oldestFirst(jobs []waitcost.Job) []waitcost.Key { return make([]waitcost.Key, len(jobs)) }

// leastSlack serves the job that has to start soonest first, those that can still meet their objective before the others.
func leastSlack(jobs []waitcost.Job) []waitcost.Key {
	keys := make([]waitcost.Key, len(jobs))
	for i := range jobs {
		keys[i] = waitcost.Key{Cost: jobs[i].Worth(0), Tie: -jobs[i].Slack().Seconds()}
	}
	return keys
}

// worthOf returns the expected worth of a job relative to that of a job of mean work.
func worthOf(j *waitcost.Job, meanWork float64) float64 {
	return j.Worth(0) * sizeWorth(j, meanWork)
}

// sizeWorth returns the worth of a job that meets its objective, relative to that of a job of mean work.
func sizeWorth(j *waitcost.Job, meanWork float64) float64 {
	return min(maxRelativeWorth, fixedWorthShare+(1-fixedWorthShare)*j.Work/meanWork)
}

// remainingWork returns the work of a job that isn't done, relative to the mean work of a job.
func remainingWork(j *waitcost.Job, meanWork float64) float64 {
	return max(1e-3, j.Work/meanWork*j.RemainingShare)
}

// meanWork returns the mean work of jobs; it is positive.
func meanWork(jobs []waitcost.Job) float64 {
	sum := 0.0
	for i := range jobs {
		sum += jobs[i].Work
	}
	return max(1e-9, sum/float64(max(1, len(jobs))))
}

// weightedShortest serves the greatest worth for each unit of remaining work first.
func weightedShortest(jobs []waitcost.Job) []waitcost.Key {
	keys, mean := make([]waitcost.Key, len(jobs)), meanWork(jobs)
	for i := range jobs {
		keys[i].Cost = worthOf(&jobs[i], mean) / remainingWork(&jobs[i], mean)
	}
	return keys
}

// valueThenShortest serves the jobs in the product's order, but equally valuable ones by weightedShortest.
func valueThenShortest(jobs []waitcost.Job) []waitcost.Key {
	keys := weightedShortest(jobs)
	for i := range keys {
		keys[i] = waitcost.Key{Cost: jobs[i].Value(), Tie: keys[i].Cost}
	}
	return keys
}

// costSlope serves the job first that loses most worth by another second of delay for each unit of remaining work, as in the apparent tardiness cost rule
// (Vepsalainen and Morton, 1987): the loss at the end of the slack counts less the longer the slack is.
func costSlope(jobs []waitcost.Job) []waitcost.Key {
	const scale = 3 // seconds of slack at which the loss counts 1/e
	keys, mean := make([]waitcost.Key, len(jobs)), meanWork(jobs)
	for i := range jobs {
		j := &jobs[i]
		loss := 0.0
		if s := (j.Objective - j.Age - j.Rest).Seconds(); s >= 0 || j.LongRunning {
			loss += (waitcost.InTime - waitcost.Late) * math.Exp(-max(0, s)/scale)
		}
		if s := (waitcost.LateFactor*j.Objective - j.Age - j.Rest).Seconds(); s >= 0 || j.LongRunning {
			loss += waitcost.Late * math.Exp(-max(0, s)/scale)
		}
		keys[i].Cost = loss * sizeWorth(j, mean) / remainingWork(j, mean)
	}
	return keys
}

// admissionByPrice admits jobs in the order of their latest start, as long as the work admitted so far fits before their latest end. Where it doesn't, the
// admitted job with the least worth for each unit of work is put behind all admitted ones: the rule of Moore and Hodgson for the fewest late jobs, with
// the price that this job would pay.
func admissionByPrice(jobs []waitcost.Job) []waitcost.Key {
	mean := meanWork(jobs)
	price := func(i int) float64 { return worthOf(&jobs[i], mean) / remainingWork(&jobs[i], mean) }
	work := func(i int) float64 { return jobs[i].Work * jobs[i].RemainingShare }
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(jobs[a].Slack(), jobs[b].Slack()) })
	keys := make([]waitcost.Key, len(jobs))
	var admitted []int
	total := 0.0
	for _, i := range order {
		keys[i].Tie = price(i)
		if jobs[i].Worth(0) == 0 {
			continue
		}
		admitted = append(admitted, i)
		total += work(i)
		if total <= (jobs[i].Slack() + jobs[i].Rest).Seconds() {
			continue
		}
		worst := slices.MinFunc(admitted, func(a, b int) int { return cmp.Compare(price(a), price(b)) })
		total -= work(worst)
		admitted = slices.DeleteFunc(admitted, func(a int) bool { return a == worst })
	}
	for _, a := range admitted {
		keys[a].Cost, keys[a].Tie = 1, -jobs[a].Slack().Seconds()
	}
	return keys
}

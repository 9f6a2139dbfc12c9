package placement

import (
	"cmp"
	"math"
	"slices"

	"samphirewell/internal/batch"
)

// victimIndex holds what the searches for victims of one cycle share.
type victimIndex struct {
	runsByWorker [][]int // runs on each worker; nil until the first search
	sorted       []bool  // the runs of the worker are sorted, cheapest first
	runCosts     []float64
	costs        map[victimClass]*workerCosts

	// Scratch space of a trial, valid where the stamp is that of the trial.
	trialStamp  int
	workerStamp []int
	futureFree  []batch.Resources
	placed      []int
	runStamp    []int // of the runs that are victims in the trial
	costScratch []float64
	found       []int // victims on one worker
}

// victimClass holds the properties of a request that decide which runs have to be stopped on a worker for one more of its tasks.
type victimClass struct {
	need            batch.Resources
	priority        int
	sensitive       bool // latency-sensitive
	withinGuarantee bool
	team            string // only for requests within a guarantee
}

// workerCosts caches the cost of one more task of a class on each worker, before a trial has placed any.
type workerCosts struct {
	cost    []float64 // infinite if it doesn't fit
	changes []int     // value of planner.changes for which the cost was computed, plus 1
}

// build lists the runs of each worker.
func (x *victimIndex) build(p *planner) {
	x.runsByWorker, x.sorted = make([][]int, len(p.workers)), make([]bool, len(p.workers))
	x.runCosts, x.costs = make([]float64, len(p.runs)), map[victimClass]*workerCosts{}
	x.workerStamp, x.futureFree, x.placed = make([]int, len(p.workers)), make([]batch.Resources, len(p.workers)), make([]int, len(p.workers))
	x.runStamp = make([]int, len(p.runs))
	for i := range p.runs {
		x.runCosts[i] = p.runs[i].cost()
		for _, part := range p.runs[i].Parts {
			if on := x.runsByWorker[part.Worker]; len(on) == 0 || on[len(on)-1] != i {
				x.runsByWorker[part.Worker] = append(on, i)
			}
		}
	}
}

// runsOn returns the runs on a worker, cheapest first.
func (x *victimIndex) runsOn(w int) []int {
	on := x.runsByWorker[w]
	if !x.sorted[w] {
		x.sorted[w] = true
		slices.SortFunc(on, func(a, b int) int { return cmp.Or(cmp.Compare(x.runCosts[a], x.runCosts[b]), cmp.Compare(a, b)) })
	}
	return on
}

// costsFor returns the costs of the request's class.
func (x *victimIndex) costsFor(p *planner, r *Request) *workerCosts {
	if x.runsByWorker == nil {
		x.build(p)
	}
	class := victimClass{need: r.Step.Need, priority: r.Priority, sensitive: r.Step.LatencyTarget > 0, withinGuarantee: r.WithinGuarantee}
	if r.WithinGuarantee {
		class.team = r.Team
	}
	c := x.costs[class]
	if c == nil {
		c = &workerCosts{make([]float64, len(p.workers)), make([]int, len(p.workers))}
		x.costs[class] = c
	}
	return c
}

// newTrial returns a trial without placed tasks. It ends the trial before.
func (x *victimIndex) newTrial(p *planner, r *Request, costs *workerCosts) *trial {
	x.trialStamp++
	return &trial{x: x, p: p, r: r, costs: costs}
}

// trial computes the victims for a request on one set of workers, without changing the planner.
type trial struct {
	x       *victimIndex
	p       *planner
	r       *Request
	costs   *workerCosts
	victims []int
	cost    float64
}

// placeTasks places up to count tasks, each on the worker where it costs least. It ends early once the cost reaches maxCost.
func (t *trial) placeTasks(workers []int, count int, maxCost float64) []int {
	costs := slices.Grow(t.x.costScratch[:0], len(workers))
	lowest := math.Inf(1)
	for _, w := range workers {
		cost := t.costOn(w)
		costs = append(costs, cost)
		lowest = min(lowest, cost-t.p.workers[w].HealthPenalty)
	}
	t.x.costScratch = costs
	if lowest >= maxCost {
		return nil
	}
	out := make([]int, 0, count)
	for len(out) < count && t.cost < maxCost {
		best := cheapest(costs)
		if best < 0 {
			return out
		}
		w := workers[best]
		found, _, _ := t.victimsOn(w)
		victims := slices.Clone(found)
		for _, v := range victims {
			t.addVictim(v)
		}
		t.touch(w)
		t.x.futureFree[w] = t.x.futureFree[w].Minus(t.r.Step.Need)
		t.x.placed[w]++
		out = append(out, w)
		t.updateCosts(workers, costs, w, victims)
	}
	return out
}

// cheapest returns the index of the first of the lowest costs, or -1 if all are infinite.
func cheapest(costs []float64) int {
	best, bestCost := -1, math.Inf(1)
	for i, c := range costs {
		if c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}

// updateCosts computes the costs again of the workers that the placing of a task has changed: its own, and those of the victims' other parts.
func (t *trial) updateCosts(workers []int, costs []float64, placedOn int, victims []int) {
	t.updateCost(workers, costs, placedOn)
	for _, v := range victims {
		for _, part := range t.p.runs[v].Parts {
			if part.Worker != placedOn {
				t.updateCost(workers, costs, part.Worker)
			}
		}
	}
}

func (t *trial) updateCost(workers []int, costs []float64, w int) {
	if i, ok := slices.BinarySearch(workers, w); ok {
		costs[i] = t.costOn(w)
	}
}

// touch makes the scratch space of a worker valid for this trial.
func (t *trial) touch(w int) {
	if t.x.workerStamp[w] != t.x.trialStamp {
		t.x.workerStamp[w], t.x.futureFree[w], t.x.placed[w] = t.x.trialStamp, t.p.workers[w].FutureFree, 0
	}
}

// changed reports whether the trial has changed what a task costs on a worker.
func (t *trial) changed(w int) bool { return t.x.workerStamp[w] == t.x.trialStamp }

// futureFreeOn returns the future free resources of a worker in this trial.
func (t *trial) futureFreeOn(w int) batch.Resources {
	if t.changed(w) {
		return t.x.futureFree[w]
	}
	return t.p.workers[w].FutureFree
}

// addVictim marks a run as to be stopped and adds its resources to the future free resources of its workers.
func (t *trial) addVictim(run int) {
	t.x.runStamp[run] = t.x.trialStamp
	t.victims = append(t.victims, run)
	t.cost += t.x.runCosts[run]
	for _, part := range t.p.runs[run].Parts {
		t.touch(part.Worker)
		t.x.futureFree[part.Worker] = t.x.futureFree[part.Worker].Plus(part.Need)
	}
}

// costOn returns the cost of one more task on a worker, including its health penalty. It is infinite if the task doesn't fit.
func (t *trial) costOn(w int) float64 {
	if !t.eligible(w) {
		return math.Inf(1)
	}
	if t.changed(w) {
		return t.computeCost(w)
	}
	if t.costs.changes[w] != t.p.changes[w]+1 {
		t.costs.changes[w], t.costs.cost[w] = t.p.changes[w]+1, t.computeCost(w)
	}
	return t.costs.cost[w]
}

func (t *trial) computeCost(w int) float64 {
	_, cost, ok := t.victimsOn(w)
	if !ok {
		return math.Inf(1)
	}
	return cost + t.p.workers[w].HealthPenalty
}

// eligible reports whether the worker could run one more task of the request if it were empty.
func (t *trial) eligible(w int) bool {
	if t.p.fitCount(t.r, w, 1, wholeCapacity) == 0 {
		return false
	}
	limit, placed := t.r.Step.MaxPerWorker, 0
	if t.changed(w) {
		placed = t.x.placed[w]
	}
	return limit == 0 || t.r.TasksPerWorker[w]+placed < limit
}

// victimsOn returns the runs to stop on a worker so that one more task fits, and their cost. The list of runs is valid until the next call.
func (t *trial) victimsOn(w int) (victims []int, cost float64, ok bool) {
	victims = t.x.found[:0]
	defer func() { t.x.found = victims }()
	free, need := t.futureFreeOn(w), t.r.Step.Need
	take := func(i int) {
		for _, part := range t.p.runs[i].Parts {
			if part.Worker == w {
				free = free.Plus(part.Need)
			}
		}
		victims = append(victims, i)
		cost += t.x.runCosts[i]
	}
	if !t.takeDisturbing(w, take) {
		return nil, 0, false
	}
	if free.Covers(need) {
		return victims, cost, true
	}
	for _, i := range t.x.runsOn(w) {
		if free.Covers(need) {
			break
		}
		if !t.stopping(i) && canPreempt(t.r, &t.p.runs[i]) && !slices.Contains(victims, i) {
			take(i)
		}
	}
	return victims, cost, free.Covers(need)
}

// stopping reports whether a run is a victim already, of this trial or of an earlier request.
func (t *trial) stopping(run int) bool {
	return t.x.runStamp[run] == t.x.trialStamp || t.p.preempted[run]
}

// takeDisturbing takes the runs on a worker that disturb latency-sensitive tasks if the request has such; false if not all of them may be stopped.
func (t *trial) takeDisturbing(w int, take func(run int)) bool {
	left := 0
	if t.r.Step.LatencyTarget > 0 {
		left = t.p.workers[w].BestEffortTasks
	}
	if left == 0 {
		return true
	}
	for _, i := range t.x.runsOn(w) {
		run := &t.p.runs[i]
		switch {
		case !run.BestEffort:
			continue
		case t.stopping(i):
		case canPreempt(t.r, run):
			take(i)
		default:
			return false
		}
		left -= run.tasksOn(w)
	}
	return left <= 0
}

// tasksOn returns the number of tasks of a run on a worker.
func (r *Run) tasksOn(w int) int {
	n := 0
	for _, part := range r.Parts {
		if part.Worker == w {
			n++
		}
	}
	return n
}

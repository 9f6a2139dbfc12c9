package placement

import (
	"cmp"
	"math"
	"slices"

	"samphirewell/internal/batch"
)

// selectVictims returns workers for count tasks, the runs to stop for them, and the cost of stopping these runs, in core-seconds. It returns no
// workers for a gang that doesn't fit as a whole.
func (p *planner) selectVictims(r *Request, count int) (workers, victims []int, preemptionCost float64) {
	p.indexRuns()
	bestCost := math.Inf(1)
	for _, workerSet := range p.candidateWorkerSets(r) {
		t := newTrial(p, r)
		got := t.placeTasks(workerSet, count)
		if len(got) < count && (r.Gang || len(got) <= len(workers)) {
			continue
		}
		if cost := t.cost + unplacedTaskCost*float64(count-len(got)); cost < bestCost {
			workers, victims, bestCost, preemptionCost = got, t.victims, cost, t.cost
		}
	}
	return workers, victims, preemptionCost
}

// unplacedTaskCost is the cost of a task that gets no worker, in core-seconds; it exceeds the cost of any victim.
const unplacedTaskCost = 1e9

// candidateWorkerSets returns the sets of workers within which the request may be placed.
func (p *planner) candidateWorkerSets(r *Request) [][]int {
	if p.restrictedToDataRack(r) {
		return [][]int{p.racks[r.Step.DataRack]}
	}
	if !r.Step.SameRack {
		return [][]int{p.allWorkers}
	}
	var out [][]int
	for _, name := range p.rackNames {
		out = append(out, p.racks[name])
	}
	if p.mayLeaveRack(r) || !p.fitsEmptyRack(r) {
		out = append(out, p.allWorkers)
	}
	return out
}

// indexRuns lists the runs of each worker, cheapest first.
func (p *planner) indexRuns() {
	if p.runsByWorker != nil {
		return
	}
	p.runsByWorker = make([][]int, len(p.workers))
	for i, run := range p.runs {
		for _, part := range run.Parts {
			if on := p.runsByWorker[part.Worker]; len(on) == 0 || on[len(on)-1] != i {
				p.runsByWorker[part.Worker] = append(on, i)
			}
		}
	}
	for _, on := range p.runsByWorker {
		slices.SortFunc(on, func(a, b int) int {
			return cmp.Or(cmp.Compare(p.runs[a].cost(), p.runs[b].cost()), cmp.Compare(a, b))
		})
	}
}

// cost returns the cost of stopping the run, in core-seconds. Lost work of a more urgent class costs more.
func (r *Run) cost() float64 {
	weight := 1.0
	if r.Priority < len(lossWeights) {
		weight = lossWeights[r.Priority]
	}
	return weight*r.LostWork + victimCost
}

// canPreempt reports whether the run may be stopped so that the request gets its resources. A request within its team's guarantee may also preempt
// unprotected runs of other teams at the same priority.
func canPreempt(r *Request, run *Run) bool {
	if run.NonPreemptible {
		return false
	}
	if run.Priority > r.Priority {
		return true
	}
	return r.WithinGuarantee && run.Priority == r.Priority && !run.WithinGuarantee && run.Team != r.Team
}

// trial computes the victims for a request on one set of workers, without changing the planner.
type trial struct {
	p          *planner
	r          *Request
	futureFree map[int]batch.Resources
	placed     map[int]int
	isVictim   map[int]bool
	victims    []int
	cost       float64
}

func newTrial(p *planner, r *Request) *trial {
	return &trial{p: p, r: r, futureFree: map[int]batch.Resources{}, placed: map[int]int{}, isVictim: map[int]bool{}}
}

// placeTasks places up to count tasks, each on the worker where it costs least.
func (t *trial) placeTasks(workers []int, count int) []int {
	var out []int
	for len(out) < count {
		worker, victims, ok := t.cheapestWorker(workers)
		if !ok {
			return out
		}
		for _, v := range victims {
			t.addVictim(v)
		}
		t.futureFree[worker] = t.futureFreeOn(worker).Minus(t.r.Step.Need)
		t.placed[worker]++
		out = append(out, worker)
	}
	return out
}

// futureFreeOn returns the future free resources of a worker in this trial.
func (t *trial) futureFreeOn(w int) batch.Resources {
	if free, ok := t.futureFree[w]; ok {
		return free
	}
	return t.p.workers[w].FutureFree
}

// addVictim marks a run as to be stopped and adds its resources to the future free resources of its workers.
func (t *trial) addVictim(run int) {
	t.isVictim[run] = true
	t.victims = append(t.victims, run)
	t.cost += t.p.runs[run].cost()
	for _, part := range t.p.runs[run].Parts {
		t.futureFree[part.Worker] = t.futureFreeOn(part.Worker).Plus(part.Need)
	}
}

// cheapestWorker returns the worker on which one more task costs least, and the runs to stop there. The cost of a worker includes its health penalty.
func (t *trial) cheapestWorker(workers []int) (worker int, victims []int, ok bool) {
	bestCost := math.Inf(1)
	for _, w := range workers {
		if !t.eligible(w) {
			continue
		}
		v, cost, fits := t.victimsOn(w)
		cost += t.p.workers[w].HealthPenalty
		if fits && cost < bestCost {
			worker, victims, bestCost, ok = w, v, cost, true
		}
		if ok && bestCost == 0 {
			return worker, victims, ok
		}
	}
	return worker, victims, ok
}

// eligible reports whether the worker could run one more task of the request if it were empty.
func (t *trial) eligible(w int) bool {
	total := func(worker *Worker) batch.Resources { return worker.Capacity }
	if t.p.fitCount(t.r, w, 1, total) == 0 {
		return false
	}
	limit := t.r.Step.MaxPerWorker
	return limit == 0 || t.r.TasksPerWorker[w]+t.placed[w] < limit
}

// victimsOn returns the runs to stop on a worker so that one more task fits, and their cost.
func (t *trial) victimsOn(w int) (victims []int, cost float64, ok bool) {
	free, need := t.futureFreeOn(w), t.r.Step.Need
	for _, i := range t.p.runsByWorker[w] {
		if free.Covers(need) {
			break
		}
		run := &t.p.runs[i]
		if t.isVictim[i] || t.p.preempted[i] || !canPreempt(t.r, run) {
			continue
		}
		for _, part := range run.Parts {
			if part.Worker == w {
				free = free.Plus(part.Need)
			}
		}
		victims = append(victims, i)
		cost += run.cost()
	}
	return victims, cost, free.Covers(need)
}

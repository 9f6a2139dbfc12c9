package placement

import (
	"math"
	"slices"
)

// selectVictims returns workers for count tasks, the runs to stop for them, and the cost of stopping these runs, in core-seconds. It returns no
// workers for a gang that doesn't fit as a whole.
func (p *planner) selectVictims(r *Request, count int) (workers, victims []int, preemptionCost float64) {
	costs := p.victims.costsFor(p, r)
	bestCost := math.Inf(1)
	for _, workerSet := range p.candidateWorkerSets(r) {
		if !p.fitsOn(r, workerSet, r.minOf(count), wholeCapacity) {
			continue
		}
		t := p.victims.newTrial(p, r, costs)
		got := t.placeTasks(workerSet, count, bestCost)
		if len(got) < count && (r.Gang || len(got) <= len(workers)) {
			continue
		}
		if cost := t.cost + unplacedTaskCost*float64(count-len(got)); cost < bestCost {
			workers, victims, bestCost, preemptionCost = got, t.victims, cost, t.cost
		}
	}
	return workers, victims, preemptionCost
}

// isCheaperOnPreferredRack reports whether the whole request can have a rack that its step prefers by stopping less work than running elsewhere adds.
func (p *planner) isCheaperOnPreferredRack(r *Request) bool {
	if !r.Step.SameRack && r.Step.DataRack == "" {
		return false
	}
	restricted := *r
	restricted.MaySpanRacks = false
	workers, _, cost := p.selectVictims(&restricted, r.Count)
	return len(workers) == r.Count && cost <= min(r.SpreadCost, r.PreemptionBudget)
}

// unplacedTaskCost is the cost of a task that gets no worker, in core-seconds; it exceeds the cost of any victim.
const unplacedTaskCost = 1e9

// candidateWorkerSets returns the sets of workers within which the request may be placed.
func (p *planner) candidateWorkerSets(r *Request) [][]int {
	if p.restrictedToDataRack(r) {
		return [][]int{p.dataRack(r)}
	}
	if !r.Step.SameRack {
		return [][]int{p.allWorkers}
	}
	out := slices.Clone(p.racks)
	if p.mayUseAllRacks(r) {
		out = append(out, p.allWorkers)
	}
	return out
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

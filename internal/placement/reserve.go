package placement

import (
	"cmp"
	"slices"

	"samphirewell/internal/batch"
)

// reserve excludes workers from the placement of later requests, so that a stream of small requests doesn't starve a large gang.
func (p *planner) reserve(request int) {
	r := &p.requests[request]
	if p.ample || !r.Gang || r.WaitTime < reserveAfter || len(p.decision.Reserved) >= maxReservations {
		return
	}
	workers := p.workersToReserve(r)
	if workers == nil {
		return
	}
	p.decision.Reserved = append(p.decision.Reserved, request)
	for _, w := range workers {
		p.workers[w].Free = batch.Resources{MilliCores: -1, MemoryMB: -1, Accelerators: -1}
		p.workers[w].FutureFree = p.workers[w].Free
		p.updateSlots(w)
	}
}

// workersToReserve returns the fewest workers on which the request fits once all but the long-running tasks there have ended. It prefers the workers
// with the most capacity in FutureFree.
func (p *planner) workersToReserve(r *Request) []int {
	var best []int
	bestFree := -1.0
	for _, workerSet := range p.candidateWorkerSets(r) {
		if !p.fitsOn(r, workerSet, r.Count, eventuallyFreeCapacity) {
			continue
		}
		chosen, futureFree := p.mostFree(r, workerSet)
		if chosen != nil && futureFree > bestFree {
			best, bestFree = chosen, futureFree
		}
	}
	return best
}

// mostFree selects some of the workers, those with the most capacity in FutureFree first, until the request will fit on them. It also returns the
// mean FutureFree of these workers, in core equivalents.
func (p *planner) mostFree(r *Request, workers []int) ([]int, float64) {
	order, free := slices.Clone(workers), make(map[int]float64, len(workers))
	for _, w := range workers {
		free[w] = p.workers[w].FutureFree.CoreEquivalents()
	}
	slices.SortStableFunc(order, func(a, b int) int { return -cmp.Compare(free[a], free[b]) })
	slots, futureFree := 0, 0.0
	for i, w := range order {
		slots += p.fitCount(r, w, r.Count, eventuallyFreeCapacity)
		futureFree += free[w]
		if slots >= r.Count {
			return order[:i+1], futureFree / float64(i+1)
		}
	}
	return nil, 0
}

package placement

import (
	"cmp"
	"slices"

	"samphirewell/internal/batch"
)

// reserve keeps workers free of later requests, so that a large gang isn't starved by a stream of small ones.
func (p *planner) reserve(r *Request) {
	if !p.crowded || !r.Gang || r.WaitTime < reserveAfter || p.reservations >= maxReservations {
		return
	}
	workers := p.reservable(r)
	if workers == nil {
		return
	}
	p.reservations++
	for _, w := range workers {
		p.workers[w].Free = batch.Resources{MilliCores: -1, MemoryMB: -1, Accelerators: -1}
		p.workers[w].FutureFree = p.workers[w].Free
	}
}

// reservable returns the fewest workers that could hold the request once the runs there that end have ended: those with the most room now.
func (p *planner) reservable(r *Request) []int {
	var best []int
	bestRoom := -1.0
	for _, group := range p.groups(r) {
		chosen, room := p.emptiest(r, group)
		if chosen != nil && room > bestRoom {
			best, bestRoom = chosen, room
		}
	}
	return best
}

// emptiest picks workers of the group, those with the most room first, until the request would fit on them.
func (p *planner) emptiest(r *Request, group []int) ([]int, float64) {
	order := slices.Clone(group)
	slices.SortStableFunc(order, func(a, b int) int {
		return -cmp.Compare(p.workers[a].FutureFree.CoreEquivalents(), p.workers[b].FutureFree.CoreEquivalents())
	})
	slots, room := 0, 0.0
	for i, w := range order {
		slots += p.times(r, w, r.Count, endingRoom)
		room += p.workers[w].FutureFree.CoreEquivalents()
		if slots >= r.Count {
			return order[:i+1], room / float64(i+1)
		}
	}
	return nil, 0
}

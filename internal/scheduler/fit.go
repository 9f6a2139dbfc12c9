package scheduler

import (
	"cmp"
	"slices"
)

// query describes a search for workers for all parts of a shape.
type query struct {
	shape    Shape
	avail    func(*worker) Resources // resources of a worker that may be used
	excluded []int32                 // workers that must not be used

	includeMovable  bool             // guaranteed gangs that fill a slot are victims too: victims are migrated, not preempted
	uncommittedOnly bool             // count only resources that belong to no footprint
	exempt          func(*gang) bool // reports gangs that must not be victims; nil exempts none
}

// candidate is a worker on which at least one part fits.
type candidate struct {
	worker    int32
	count     int // number of parts that fit
	available int // available accelerators; for shapes without accelerators, available cores, with workers that have accelerators last
}

// buffers are reused between calls of fit to avoid allocations.
type buffers struct {
	candidates []candidate
	workers    []int32
}

// fit returns a worker for each part. It uses best fit, the worker or rack with the least resources available in which the gang fits, so that
// whole workers and racks stay free. The result is valid until the next call of fit. The cost is O(workers) plus sorting the workers of the
// chosen rack.
func (s *state) fit(q *query) ([]int32, bool) {
	if q.shape.Parts == 1 || q.shape.Adjacency == SameWorker {
		return s.fitWorker(q)
	}
	if q.shape.Adjacency == SameDomain && s.snap.Weights.favourPacking() {
		return s.fitOnWorkers(q, s.usableWorkers) // fills partly used workers of several racks
	}
	if out, ok := s.fitRack(q); ok || q.shape.Adjacency == SameRack {
		return out, ok
	}
	return s.fitOnWorkers(q, s.usableWorkers)
}

// fitWorker puts all parts on one worker, the one with the lowest workerCost.
func (s *state) fitWorker(q *query) ([]int32, bool) {
	best, bestCost := int32(-1), 0
	need := q.shape.Part.times(q.shape.Parts)
	for _, w := range s.usableWorkers {
		wk := &s.workers[w]
		avail := q.avail(wk)
		if !avail.contains(need) || slices.Contains(q.excluded, w) {
			continue
		}
		cost := s.workerCost(q.shape.Part, wk, avail.minus(need))
		if best < 0 || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if best < 0 {
		return nil, false
	}
	s.buf.workers = s.buf.workers[:0]
	for range q.shape.Parts {
		s.buf.workers = append(s.buf.workers, best)
	}
	return s.buf.workers, true
}

// Weights in the cost of a placement, in free accelerators or cores. acceleratorCost makes shapes without accelerators avoid workers that have them.
const (
	acceleratorCost = 1 << 20
	leftoverCost    = 1 << 10
)

// workerCost returns the cost of a placement after which leftover stays available on the worker. Shapes with accelerators prefer the worker with the
// fewest accelerators left over, then the rack with the fewest free ones. Shapes without accelerators prefer workers without accelerators, then
// those with the fewest cores left over.
func (s *state) workerCost(part Resources, wk *worker, leftover Resources) int {
	if part.Accelerators > 0 {
		return leftover.Accelerators*leftoverCost + s.racks[wk.rack].freeAccelerators
	}
	return wk.total.Accelerators*acceleratorCost + leftover.Cores
}

// fitRack puts the gang into the rack with the lowest cost in which all parts fit; see rackFit.
func (s *state) fitRack(q *query) ([]int32, bool) {
	best, bestCost := -1, 0
	for r := range s.racks {
		count, cost := s.rackFit(q, r)
		if count < q.shape.Parts {
			continue
		}
		if best < 0 || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best < 0 {
		return nil, false
	}
	return s.fitOnWorkers(q, s.racks[best].workers)
}

// rackFit returns the number of parts that fit into the rack and the cost of using it, which is lowest for racks with the least resources available.
func (s *state) rackFit(q *query, r int) (count, cost int) {
	onPartlyUsed := 0
	for _, w := range s.racks[r].workers {
		wk := &s.workers[w]
		avail := q.avail(wk)
		if n := avail.count(q.shape.Part); n > 0 && !slices.Contains(q.excluded, w) {
			count += n
			if avail.Accelerators < wk.total.Accelerators {
				onPartlyUsed += n
			}
		}
		if q.shape.Part.Accelerators > 0 {
			cost += max(0, avail.Accelerators)
		} else {
			cost += wk.total.Accelerators*acceleratorCost + max(0, avail.Cores)
		}
	}
	if q.shape.Part.Accelerators > 0 && s.snap.Weights.favourPacking() {
		cost += max(0, q.shape.Parts-onPartlyUsed) * leftoverCost // parts that need workers with all accelerators available
	}
	return count, cost
}

// fitOnWorkers assigns the parts to the given workers. It uses few workers and prefers those with the least resources available.
func (s *state) fitOnWorkers(q *query, workers []int32) ([]int32, bool) {
	candidates, total := s.buf.candidates[:0], 0
	for _, w := range workers {
		wk := &s.workers[w]
		avail := q.avail(wk)
		n := avail.count(q.shape.Part)
		if n == 0 || slices.Contains(q.excluded, w) {
			continue
		}
		available := avail.Accelerators
		if q.shape.Part.Accelerators == 0 {
			available = wk.total.Accelerators*acceleratorCost + avail.Cores
		}
		candidates = append(candidates, candidate{w, n, available})
		total += n
	}
	s.buf.candidates = candidates
	if total < q.shape.Parts {
		return nil, false
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.available, b.available), cmp.Compare(a.worker, b.worker))
	})
	s.buf.workers = assignParts(s.buf.workers[:0], candidates, q.shape.Parts)
	return s.buf.workers, true
}

// assignParts assigns parts to the candidates in order, except that the first candidate which holds all remaining parts gets them.
func assignParts(out []int32, candidates []candidate, parts int) []int32 {
	for i := range candidates {
		c := candidates[i]
		for j := i; j < len(candidates); j++ {
			if candidates[j].count >= parts {
				c = candidates[j]
				break
			}
		}
		for n := min(parts, c.count); n > 0; n-- {
			out = append(out, c.worker)
			parts--
		}
		if parts == 0 {
			break
		}
	}
	return out
}

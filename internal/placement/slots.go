package placement

import "samphirewell/internal/batch"

// capacityKind selects which capacity of a worker a fit is computed against.
type capacityKind uint8

const (
	freeCapacity capacityKind = iota
	futureFreeCapacity
	eventuallyFreeCapacity
	wholeCapacity
	capacityKinds
)

func (k capacityKind) of(w *Worker) batch.Resources {
	switch k {
	case freeCapacity:
		return w.Free
	case futureFreeCapacity:
		return w.FutureFree
	case eventuallyFreeCapacity:
		return w.EventuallyFree
	}
	return w.Capacity
}

// shape holds the properties of a step that decide how many of its tasks fit on a worker. Requests of equal shapes share the counts of a cycle.
type shape struct {
	need             batch.Resources
	requires         string
	bestEffort       bool
	latencySensitive bool
}

func shapeOf(s *batch.Step) shape {
	return shape{s.Need, s.Requires, s.BestEffort, s.LatencyTarget > 0}
}

// fitCount returns how many tasks of the shape fit on a worker. It is 0 on a worker that must not run them. The whole capacity is what a worker has once its runs
// are stopped, also those that would disturb latency-sensitive tasks.
func (s *shape) fitCount(w *Worker, kind capacityKind) int {
	if !w.Usable || s.bestEffort && w.LatencySensitive || !hasLabel(w, s.requires) {
		return 0
	}
	if s.latencySensitive && w.BestEffort && kind != wholeCapacity {
		return 0
	}
	return max(0, kind.of(w).FitCount(s.need, batch.MaxTasks))
}

// slotCounts holds how many tasks of a shape fit on each worker, on each rack and on all workers together.
type slotCounts struct {
	byWorker []int
	byRack   []int
	total    int
}

// slotIndex holds the slot counts of a shape for those kinds of capacity that were needed in this cycle.
type slotIndex struct {
	shape  shape
	counts [capacityKinds]*slotCounts
}

// indexOf returns the slot counts of a shape.
func (p *planner) indexOf(s shape) *slotIndex {
	if x, ok := p.slotIndexes[s]; ok {
		return x
	}
	x := &slotIndex{shape: s}
	p.slotIndexes[s] = x
	p.slotIndexList = append(p.slotIndexList, x)
	return x
}

// slots returns the slot counts of the request's shape. They don't take account of the workers that the request avoids or may not use, nor of the limit
// of tasks per worker.
func (p *planner) slots(r *Request, kind capacityKind) *slotCounts {
	if r.index == nil {
		r.index = p.indexOf(shapeOf(r.Step))
	}
	if c := r.index.counts[kind]; c != nil {
		return c
	}
	c := &slotCounts{byWorker: make([]int, len(p.workers)), byRack: make([]int, len(p.racks))}
	for w := range p.workers {
		n := r.index.shape.fitCount(&p.workers[w], kind)
		c.byWorker[w] = n
		c.byRack[p.rackOf[w]] += n
		c.total += n
	}
	r.index.counts[kind] = c
	return c
}

// updateSlots counts the slots of a worker again after its free or future free capacity has changed.
func (p *planner) updateSlots(w int) {
	p.changes[w]++
	for _, x := range p.slotIndexList {
		for _, kind := range [...]capacityKind{freeCapacity, futureFreeCapacity} {
			c := x.counts[kind]
			if c == nil {
				continue
			}
			d := x.shape.fitCount(&p.workers[w], kind) - c.byWorker[w]
			c.byWorker[w] += d
			c.byRack[p.rackOf[w]] += d
			c.total += d
		}
	}
}

// fitCount returns how many tasks of the request fit on a worker, at most limit. It is 0 on a worker that must not run them.
func (p *planner) fitCount(r *Request, w, limit int, kind capacityKind) int {
	if r.fastOnly && p.workers[w].likelySlowness() > r.SlownessLimit {
		return 0
	}
	return r.limitFit(w, min(limit, p.slots(r, kind).byWorker[w]))
}

// limitFit reduces the number of tasks that fit on a worker to what the request's own restrictions allow there.
func (r *Request) limitFit(w, fit int) int {
	if r.AvoidedWorkers[w] || r.AllowedWorkers != nil && !r.AllowedWorkers[w] {
		return 0
	}
	if r.Step.MaxPerWorker > 0 {
		fit = min(fit, r.Step.MaxPerWorker-r.TasksPerWorker[w])
	}
	return max(0, fit)
}

// restricted reports whether the slot counts of its shape are only an upper bound for the request.
func (r *Request) restricted() bool {
	return len(r.AvoidedWorkers) > 0 || r.AllowedWorkers != nil || r.Step.MaxPerWorker > 0 || r.fastOnly
}

// fitsOnRack reports whether count tasks of the request fit on a rack.
func (p *planner) fitsOnRack(r *Request, rack, count int, kind capacityKind) bool {
	if p.slots(r, kind).byRack[rack] < count {
		return false
	}
	return !r.restricted() || p.fitsOn(r, p.racks[rack], count, kind)
}

// fitsAnywhere reports whether count tasks of the request fit on all workers together.
func (p *planner) fitsAnywhere(r *Request, count int, kind capacityKind) bool {
	if p.slots(r, kind).total < count {
		return false
	}
	return !r.restricted() || p.fitsOn(r, p.allWorkers, count, kind)
}

// fitsOn reports whether count tasks of the request fit on some workers together.
func (p *planner) fitsOn(r *Request, workers []int, count int, kind capacityKind) bool {
	slots := 0
	for _, w := range workers {
		slots += p.fitCount(r, w, count, kind)
		if slots >= count {
			return true
		}
	}
	return slots >= count
}

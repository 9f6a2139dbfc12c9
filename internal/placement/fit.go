package placement

import (
	"cmp"
	"slices"
)

// suspectedRackPenalty is the capacity, in core equivalents, that counts as left over on a rack for each unit of health penalty of its workers. It exceeds
// the capacity of a rack.
const suspectedRackPenalty = 1000

// fit returns a worker for each of count tasks. A gang gets all or none; of other requests as many tasks are placed as fit.
func (p *planner) fit(r *Request, count int, kind capacityKind) []int {
	if count == 0 || p.slots(r, kind).total < r.minOf(count) {
		return nil
	}
	if r.Gang {
		if got := p.fitByRack(r, count, kind); len(got) == count {
			return got
		}
		return nil
	}
	return p.fitByRack(r, count, kind)
}

// fitByRack prefers the rack of the data, then a single rack. It uses several racks only if that is allowed, or if no single rack is large enough.
func (p *planner) fitByRack(r *Request, count int, kind capacityKind) []int {
	if r.Step.DataRack != "" {
		got := p.assign(r, p.dataRack(r), count, kind)
		if len(got) == count || p.restrictedToDataRack(r) || len(got) > 0 && !r.Gang && !r.MaySpanRacks {
			return got
		}
	}
	if !r.Step.SameRack {
		return p.assign(r, p.allWorkers, count, kind)
	}
	if rack, ok := p.bestRack(r, count, kind); ok {
		return p.assign(r, rack, count, kind)
	}
	if p.mayUseAllRacks(r) {
		return p.assign(r, p.allWorkers, count, kind)
	}
	return nil
}

// preferencesExpired reports whether the request has waited so long that it should start anywhere. While capacity is scarce, or another task of the job
// runs, waiting for the preferred workers saves capacity; a long-running task should run at all times, however scarce capacity is, and doesn't wait again
// after an interruption.
func (p *planner) preferencesExpired(r *Request) bool {
	if r.Step.LongRunning {
		return r.Interrupted || r.WaitTime > localityWaitLimit
	}
	return r.JobIdle && p.ample && min(r.WaitTime, p.ampleFor) > localityWaitLimit
}

// mayLeaveRack reports whether the request may run outside the single rack or the data's rack that its step prefers, where it runs slower.
func (p *planner) mayLeaveRack(r *Request) bool {
	return !r.fastOnly && (r.MaySpanRacks || p.preferencesExpired(r))
}

// mayUseAllRacks reports whether a request that prefers a single rack may run on several ones. While it is tried on fast workers, it doesn't: running on
// several racks costs more time than a slow worker does.
func (p *planner) mayUseAllRacks(r *Request) bool {
	return p.mayLeaveRack(r) || !r.fastOnly && !p.fitsEmptyRack(r)
}

// restrictedToDataRack reports whether the request may run only on the rack of its data. A gang that would not fit even if that rack ran nothing but its
// long-running tasks may run elsewhere.
func (p *planner) restrictedToDataRack(r *Request) bool {
	if r.Step.DataRack == "" || p.mayLeaveRack(r) {
		return false
	}
	return r.fastOnly || p.fitsOn(r, p.dataRack(r), r.minTasks(), eventuallyFreeCapacity)
}

// needsAvoidedWorkers reports whether the request can't start on the other workers, even if these ran nothing but their long-running tasks, or should
// start now and lacks room there.
func (p *planner) needsAvoidedWorkers(r *Request) bool {
	if len(r.AvoidedWorkers) == 0 {
		return false
	}
	return !p.fitsAnywhere(r, r.minTasks(), eventuallyFreeCapacity) || p.preferencesExpired(r) && !p.fitsAnywhere(r, r.minTasks(), freeCapacity)
}

// minTasks returns how many tasks of the request have to start at the same time.
func (r *Request) minTasks() int { return r.minOf(r.Count) }

// minOf returns how many of count tasks have to start at the same time.
func (r *Request) minOf(count int) int {
	if r.Gang {
		return count
	}
	return 1
}

// bestRack returns the rack on which all tasks fit and whose suitable workers have the least capacity. Racks without suspected workers come first, and for
// requests that need fast workers those where the slowest of them is fastest.
func (p *planner) bestRack(r *Request, count int, kind capacityKind) ([]int, bool) {
	var best []int
	var bestRank rackRank
	needsFast := p.speedPreference(r) == fastestFirst
	slots := p.slots(r, kind)
	for rack, workers := range p.racks {
		if slots.byRack[rack] < count || r.restricted() && !p.fitsOn(r, workers, count, kind) {
			continue
		}
		leftover, penalty := 0.0, 0.0
		for _, w := range workers {
			if p.fitCount(r, w, count, kind) > 0 {
				leftover += kind.of(&p.workers[w]).CoreEquivalents()
				penalty += p.workers[w].HealthPenalty
			}
		}
		rank := rackRank{leftover: leftover + penalty*suspectedRackPenalty}
		if needsFast {
			rank.suspicion, rank.slownessClass = penalty, p.slowestNeeded(r, workers, count, kind)
		}
		if best == nil || rank.compare(bestRank) < 0 {
			best, bestRank = workers, rank
		}
	}
	return best, best != nil
}

// rackRank orders racks; the lowest comes first.
type rackRank struct {
	suspicion     float64
	slownessClass int
	leftover      float64
}

func (a rackRank) compare(b rackRank) int {
	return cmp.Or(cmp.Compare(a.suspicion, b.suspicion), cmp.Compare(a.slownessClass, b.slownessClass), cmp.Compare(a.leftover, b.leftover))
}

// fitsEmptyRack reports whether the whole request would fit on some rack if that ran nothing but its long-running tasks.
func (p *planner) fitsEmptyRack(r *Request) bool {
	for rack := range p.racks {
		if p.fitsOnRack(r, rack, r.Count, eventuallyFreeCapacity) {
			return true
		}
	}
	return false
}

func hasLabel(w *Worker, label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// assign places up to count tasks. Workers whose health is suspected come last, then the speed that the request prefers decides, then best fit: the workers
// with the least capacity left over are filled first, so that whole workers stay free.
func (p *planner) assign(r *Request, workers []int, count int, kind capacityKind) []int {
	type candidate struct {
		worker, slots int
		leftover      float64
	}
	var candidates []candidate
	for _, w := range workers {
		if n := p.fitCount(r, w, count, kind); n > 0 {
			leftover := kind.of(&p.workers[w]).CoreEquivalents() - float64(n)*r.Step.Need.CoreEquivalents()
			candidates = append(candidates, candidate{w, n, leftover})
		}
	}
	preference := p.speedPreference(r)
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(p.workers[a.worker].HealthPenalty, p.workers[b.worker].HealthPenalty),
			p.compareSpeed(r, preference, a.worker, b.worker), cmp.Compare(a.leftover, b.leftover), cmp.Compare(a.worker, b.worker))
	})
	out := make([]int, 0, count)
	if preference == slowestFirst && !r.Gang && kind == freeCapacity {
		for i := range candidates {
			if c := &candidates[i]; len(out) < count && p.takeSpeedProbe(c.worker) {
				out = append(out, c.worker)
				c.slots--
			}
		}
	}
	for _, c := range candidates {
		for range min(c.slots, count-len(out)) {
			out = append(out, c.worker)
		}
	}
	return out
}

package placement

import (
	"cmp"
	"slices"

	"samphirewell/internal/batch"
)

// capacityFunc selects which capacity of a worker a fit is computed against.
type capacityFunc func(w *Worker) batch.Resources

func freeCapacity(w *Worker) batch.Resources           { return w.Free }
func futureFreeCapacity(w *Worker) batch.Resources     { return w.FutureFree }
func eventuallyFreeCapacity(w *Worker) batch.Resources { return w.EventuallyFree }

// fit returns a worker for each of count tasks. A gang gets all or none; of other requests as many tasks are placed as fit.
func (p *planner) fit(r *Request, count int, capacityOf capacityFunc) []int {
	if count == 0 {
		return nil
	}
	if r.Gang {
		if got := p.fitByRack(r, count, capacityOf); len(got) == count {
			return got
		}
		return nil
	}
	return p.fitByRack(r, count, capacityOf)
}

// fitByRack prefers the rack of the data, then a single rack. It uses several racks only if that is allowed, or if no single rack is large enough.
func (p *planner) fitByRack(r *Request, count int, capacityOf capacityFunc) []int {
	if r.Step.DataRack != "" {
		got := p.assign(r, p.racks[r.Step.DataRack], count, capacityOf)
		if len(got) == count || p.restrictedToDataRack(r) || len(got) > 0 && !r.Gang && !r.MaySpanRacks {
			return got
		}
	}
	if !r.Step.SameRack {
		return p.assign(r, p.allWorkers, count, capacityOf)
	}
	if rack, ok := p.bestRack(r, count, capacityOf); ok {
		return p.assign(r, rack, count, capacityOf)
	}
	if p.mayLeaveRack(r) || !p.fitsEmptyRack(r) {
		return p.assign(r, p.allWorkers, count, capacityOf)
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
func (p *planner) mayLeaveRack(r *Request) bool { return r.MaySpanRacks || p.preferencesExpired(r) }

// fitsFreeWorkers reports whether count tasks fit on the free capacity of all workers.
func (p *planner) fitsFreeWorkers(r *Request, count int) bool {
	slots := 0
	for _, w := range p.allWorkers {
		slots += p.fitCount(r, w, count, freeCapacity)
	}
	return slots >= count
}

// restrictedToDataRack reports whether the request may run only on the rack of its data. A gang that would not fit even if that rack ran nothing but its
// long-running tasks may run elsewhere.
func (p *planner) restrictedToDataRack(r *Request) bool {
	if r.Step.DataRack == "" || p.mayLeaveRack(r) {
		return false
	}
	return p.fitsIfEmpty(r, p.racks[r.Step.DataRack], r.minTasks())
}

// needsAvoidedWorkers reports whether the request can't start on the other workers, even if these ran nothing but their long-running tasks, or should
// start now and lacks room there.
func (p *planner) needsAvoidedWorkers(r *Request) bool {
	if len(r.AvoidedWorkers) == 0 {
		return false
	}
	return !p.fitsIfEmpty(r, p.allWorkers, r.minTasks()) || p.preferencesExpired(r) && !p.fitsFreeWorkers(r, r.minTasks())
}

// minTasks returns how many tasks of the request have to start at the same time.
func (r *Request) minTasks() int {
	if r.Gang {
		return r.Count
	}
	return 1
}

// bestRack returns the rack on which all tasks fit and whose suitable workers have the least capacity. Racks without suspected workers come first.
func (p *planner) bestRack(r *Request, count int, capacityOf capacityFunc) ([]int, bool) {
	best, bestLeftover := "", 0.0
	for _, name := range p.rackNames {
		slots, leftover, penalty := 0, 0.0, 0.0
		for _, w := range p.racks[name] {
			n := p.fitCount(r, w, count, capacityOf)
			slots += n
			if n > 0 {
				leftover += capacityOf(&p.workers[w]).CoreEquivalents()
				penalty += p.workers[w].HealthPenalty
			}
		}
		leftover += penalty * 1000
		if slots >= count && (best == "" || leftover < bestLeftover) {
			best, bestLeftover = name, leftover
		}
	}
	return p.racks[best], best != ""
}

// fitsEmptyRack reports whether the whole request would fit on some rack if that ran nothing but its long-running tasks.
func (p *planner) fitsEmptyRack(r *Request) bool {
	for _, name := range p.rackNames {
		if p.fitsIfEmpty(r, p.racks[name], r.Count) {
			return true
		}
	}
	return false
}

// fitsIfEmpty reports whether count tasks would fit on the workers if these ran nothing but their long-running tasks.
func (p *planner) fitsIfEmpty(r *Request, workers []int, count int) bool {
	slots := 0
	for _, w := range workers {
		slots += p.fitCount(r, w, count, eventuallyFreeCapacity)
	}
	return slots >= count
}

// fitCount returns how many tasks of the request fit on a worker, at most limit. It is 0 on a worker that must not run them.
func (p *planner) fitCount(r *Request, w, limit int, capacityOf capacityFunc) int {
	worker := &p.workers[w]
	if !worker.Usable || r.AvoidedWorkers[w] || !hasLabel(worker, r.Step.Requires) || r.Step.BestEffort && worker.LatencySensitive ||
		r.Step.LatencyTarget > 0 && worker.BestEffort || r.AllowedWorkers != nil && !r.AllowedWorkers[w] {
		return 0
	}
	if r.Step.MaxPerWorker > 0 {
		limit = min(limit, r.Step.MaxPerWorker-r.TasksPerWorker[w])
	}
	return max(0, capacityOf(worker).FitCount(r.Step.Need, limit))
}

func hasLabel(w *Worker, label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// assign places up to count tasks, best fit first: the workers with the least capacity left over are filled first, so that whole workers stay free.
// Workers whose health is suspected come last.
func (p *planner) assign(r *Request, workers []int, count int, capacityOf capacityFunc) []int {
	type candidate struct {
		worker, slots int
		leftover      float64
	}
	candidates := make([]candidate, 0, len(workers))
	for _, w := range workers {
		if n := p.fitCount(r, w, count, capacityOf); n > 0 {
			leftover := capacityOf(&p.workers[w]).CoreEquivalents() - float64(n)*r.Step.Need.CoreEquivalents()
			candidates = append(candidates, candidate{w, n, leftover})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(p.workers[a.worker].HealthPenalty, p.workers[b.worker].HealthPenalty),
			cmp.Compare(a.leftover, b.leftover), cmp.Compare(a.worker, b.worker))
	})
	out := make([]int, 0, count)
	for _, c := range candidates {
		for range min(c.slots, count-len(out)) {
			out = append(out, c.worker)
		}
	}
	return out
}

package placement

import (
	"cmp"
	"slices"

	"samphirewell/internal/batch"
)

// roomOf selects the room of a worker that counts for a fit.
type roomOf func(w *Worker) batch.Resources

func freeRoom(w *Worker) batch.Resources     { return w.Free }
func soonRoom(w *Worker) batch.Resources     { return w.FutureFree }
func endingRoom(w *Worker) batch.Resources   { return w.EventuallyFree }
func capacityRoom(w *Worker) batch.Resources { return w.Capacity }

// fit returns a worker for each of count tasks; for a gang all or none, else as many as fit.
func (p *planner) fit(r *Request, count int, room roomOf) []int {
	if count == 0 {
		return nil
	}
	if r.Gang {
		if got := p.fitWhole(r, count, room); len(got) == count {
			return got
		}
		return nil
	}
	return p.fitWhole(r, count, room)
}

// fitWhole prefers the rack of the data, then a single rack, and spreads only where that is allowed or unavoidable.
func (p *planner) fitWhole(r *Request, count int, room roomOf) []int {
	if r.Step.DataRack != "" {
		got := p.assign(r, p.racks[r.Step.DataRack], count, room)
		if len(got) == count || p.waitsForData(r) {
			return got
		}
	}
	if !r.Step.SameRack {
		return p.assign(r, p.all, count, room)
	}
	if rack, ok := p.bestRack(r, count, room); ok {
		return p.assign(r, rack, count, room)
	}
	if r.MaySpanRacks || !p.fitsSomeRack(r) {
		return p.assign(r, p.all, count, room)
	}
	return nil
}

// waitsForData reports whether the request runs on the rack of its data only. A gang that is wider than the rack doesn't wait for it.
func (p *planner) waitsForData(r *Request) bool {
	if r.Step.DataRack == "" || r.MaySpanRacks {
		return false
	}
	atOnce := 1
	if r.Gang {
		atOnce = r.Count
	}
	return p.canHold(r, p.racks[r.Step.DataRack], atOnce)
}

// bestRack returns the rack that holds all tasks with the least room left over.
func (p *planner) bestRack(r *Request, count int, room roomOf) ([]int, bool) {
	best, bestLeft := "", 0.0
	for _, name := range p.rackNames {
		slots, left, doubt := 0, 0.0, 0.0
		for _, w := range p.racks[name] {
			n := p.times(r, w, count, room)
			slots += n
			if n > 0 {
				left += room(&p.workers[w]).CoreEquivalents()
				doubt += p.workers[w].HealthPenalty
			}
		}
		left += doubt * 1000
		if slots >= count && (best == "" || left < bestLeft) {
			best, bestLeft = name, left
		}
	}
	return p.racks[best], best != ""
}

// fitsSomeRack reports whether a rack could hold the whole request if it were empty.
func (p *planner) fitsSomeRack(r *Request) bool {
	for _, name := range p.rackNames {
		if p.canHold(r, p.racks[name], r.Count) {
			return true
		}
	}
	return false
}

func (p *planner) canHold(r *Request, workers []int, count int) bool {
	slots := 0
	for _, w := range workers {
		slots += p.times(r, w, count, capacityRoom)
	}
	return slots >= count
}

// times returns how many tasks of the request fit on a worker.
func (p *planner) times(r *Request, w, limit int, room roomOf) int {
	worker := &p.workers[w]
	if !worker.Usable || r.AvoidedWorkers[w] || !hasLabel(worker, r.Step.Requires) || r.Step.BestEffort && worker.LatencySensitive ||
		r.Step.LatencyTarget > 0 && worker.BestEffort || r.AllowedWorkers != nil && !r.AllowedWorkers[w] {
		return 0
	}
	if r.Step.MaxPerWorker > 0 {
		limit = min(limit, r.Step.MaxPerWorker-r.TasksPerWorker[w])
	}
	return max(0, room(worker).FitCount(r.Step.Need, limit))
}

func hasLabel(w *Worker, label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// assign fills the fullest workers first, so that whole workers stay free, and doubtful ones last.
func (p *planner) assign(r *Request, workers []int, count int, room roomOf) []int {
	type candidate struct {
		worker, slots int
		left          float64
	}
	candidates := make([]candidate, 0, len(workers))
	for _, w := range workers {
		if n := p.times(r, w, count, room); n > 0 {
			left := room(&p.workers[w]).CoreEquivalents() - float64(n)*r.Step.Need.CoreEquivalents()
			candidates = append(candidates, candidate{w, n, left})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(p.workers[a.worker].HealthPenalty, p.workers[b.worker].HealthPenalty),
			cmp.Compare(a.left, b.left), cmp.Compare(a.worker, b.worker))
	})
	out := make([]int, 0, count)
	for _, c := range candidates {
		for range min(c.slots, count-len(out)) {
			out = append(out, c.worker)
		}
	}
	return out
}

package policybench

import (
	"cmp"
	"slices"
	"time"

	"samphirewell/internal/scheduler"
)

// The baselines serve urgent before normal before batch jobs and enforce the accelerator limits of the teams. They neither preempt nor migrate jobs
// and ignore guarantees.

// FirstFit serves the jobs of each class in order of submission. A job is placed on the first workers with sufficient free resources; a job that does
// not fit blocks all jobs behind it.
func FirstFit(snap scheduler.Snapshot) scheduler.Decision {
	b := newBaseline(&snap)
	for _, w := range b.sortedQueue() {
		if b.overLimit(w) {
			continue
		}
		workers := b.firstFit(w)
		if workers == nil {
			break
		}
		b.start(w, workers)
	}
	return b.decision
}

// Backfill serves the jobs of each class in order of submission with best fit. The first job that does not fit gets a reservation, computed from the
// declared run times. A job behind it starts if its declared end is before the start of the reservation or if it leaves the reserved workers free.
func Backfill(snap scheduler.Snapshot) scheduler.Decision {
	b := newBaseline(&snap)
	var reservedStart time.Time
	var reservedWorkers []int
	for _, w := range b.sortedQueue() {
		if b.overLimit(w) {
			continue
		}
		available := b.free
		if reservedWorkers != nil && snap.Now.Add(w.DeclaredRun-w.Progress).After(reservedStart) {
			available = slices.Clone(b.free)
			for _, r := range reservedWorkers {
				available[r] = scheduler.Resources{}
			}
		}
		if workers := b.bestFit(w, available); workers != nil {
			b.start(w, workers)
			continue
		}
		if reservedWorkers == nil {
			reservedWorkers, reservedStart = b.reserve(w)
		}
	}
	return b.decision
}

// baseline is the state of a baseline policy during one scheduling cycle.
type baseline struct {
	snap             *scheduler.Snapshot
	free             []scheduler.Resources // free resources of each worker; none if it is not usable
	workerIndex      map[string]int        // index in snap.Workers by worker id
	usedAccelerators map[string]int        // by team
	acceleratorLimit map[string]int        // by team
	decision         scheduler.Decision
}

func newBaseline(snap *scheduler.Snapshot) *baseline {
	b := &baseline{snap: snap, workerIndex: map[string]int{}, usedAccelerators: map[string]int{}, acceleratorLimit: map[string]int{}}
	for i, w := range snap.Workers {
		b.workerIndex[w.ID] = i
		capacity := w.Capacity
		if !w.Usable {
			capacity = scheduler.Resources{}
		}
		b.free = append(b.free, capacity)
	}
	for i := range snap.Running {
		r := &snap.Running[i]
		b.addResources(b.free, r, -1)
		b.usedAccelerators[r.Team] += r.Shape.Accelerators()
	}
	for _, t := range snap.Teams {
		b.acceleratorLimit[t.ID] = t.AcceleratorLimit
	}
	return b
}

// addResources adds the resources of a job to the free resources of its usable workers, or subtracts them if sign is -1.
func (b *baseline) addResources(free []scheduler.Resources, r *scheduler.Running, sign int) {
	for _, id := range r.Workers {
		i := b.workerIndex[id]
		if b.snap.Workers[i].Usable {
			p := r.Shape.Part
			free[i].Cores += sign * p.Cores
			free[i].MemoryGB += sign * p.MemoryGB
			free[i].Accelerators += sign * p.Accelerators
		}
	}
}

// sortedQueue returns the waiting jobs by class and then by time of submission.
func (b *baseline) sortedQueue() []*scheduler.Waiting {
	queue := make([]*scheduler.Waiting, len(b.snap.Waiting))
	for i := range queue {
		queue[i] = &b.snap.Waiting[i]
	}
	slices.SortStableFunc(queue, func(x, y *scheduler.Waiting) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), x.Submitted.Compare(y.Submitted), cmp.Compare(x.ID, y.ID))
	})
	return queue
}

func (b *baseline) overLimit(w *scheduler.Waiting) bool {
	return b.acceleratorLimit[w.Team] > 0 && b.usedAccelerators[w.Team]+w.Shape.Accelerators() > b.acceleratorLimit[w.Team]
}

func (b *baseline) start(w *scheduler.Waiting, workers []int) {
	ids := make([]string, len(workers))
	for i, n := range workers {
		ids[i] = b.snap.Workers[n].ID
	}
	b.addResources(b.free, &scheduler.Running{Job: w.Job, Workers: ids}, -1)
	b.usedAccelerators[w.Team] += w.Shape.Accelerators()
	b.decision.Actions = append(b.decision.Actions, scheduler.Action{Kind: scheduler.Place, JobID: w.ID, Workers: ids, Slot: scheduler.NoSlot})
}

// firstFit returns the first workers, in snapshot order, on which the gang fits.
func (b *baseline) firstFit(w *scheduler.Waiting) []int {
	return b.search(w, b.free, func(set []int) int { return set[0] }, func(i int) int { return i })
}

// bestFit returns workers of the set (worker, rack or domain) with the least free resources on which the gang fits.
func (b *baseline) bestFit(w *scheduler.Waiting, free []scheduler.Resources) []int {
	freeSize := func(i int) int {
		if w.Shape.Part.Accelerators > 0 {
			return free[i].Accelerators
		}
		return free[i].Accelerators<<16 + free[i].Cores
	}
	return b.search(w, free, func(set []int) int {
		sum := 0
		for _, i := range set {
			sum += freeSize(i)
		}
		return sum
	}, freeSize)
}

// search returns one worker for each part of the gang. It chooses the set with the lowest setCost on which the gang fits and fills the workers with
// the lowest cost first.
func (b *baseline) search(w *scheduler.Waiting, free []scheduler.Resources, setCost func([]int) int, cost func(int) int) []int {
	var best []int
	for _, set := range b.candidateSets(w.Shape) {
		set = slices.DeleteFunc(set, func(i int) bool { return slices.Contains(w.FailedWorkers, b.snap.Workers[i].ID) })
		parts := 0
		for _, i := range set {
			parts += fitCount(free[i], w.Shape.Part)
		}
		if parts >= w.Shape.Parts && (best == nil || setCost(set) < setCost(best)) {
			best = set
		}
	}
	if best == nil {
		return nil
	}
	slices.SortStableFunc(best, func(x, y int) int { return cmp.Compare(cost(x), cost(y)) })
	var workers []int
	for _, i := range best {
		for parts := fitCount(free[i], w.Shape.Part); parts > 0 && len(workers) < w.Shape.Parts; parts-- {
			workers = append(workers, i)
		}
	}
	return workers
}

// candidateSets returns the sets of workers to which the adjacency of the shape confines a gang: single workers, racks or the whole domain.
func (b *baseline) candidateSets(shape scheduler.Shape) [][]int {
	var sets [][]int
	for i, w := range b.snap.Workers {
		singleWorker := shape.Parts == 1 || shape.Adjacency == sameWorker
		newRack := shape.Adjacency == sameRack && i > 0 && w.Rack != b.snap.Workers[i-1].Rack
		if i == 0 || singleWorker || newRack {
			sets = append(sets, nil)
		}
		sets[len(sets)-1] = append(sets[len(sets)-1], i)
	}
	return sets
}

// reserve returns the workers on which the job can start earliest according to the declared run times, and the time of that start. The free resources
// only grow with the number of ended jobs, so a binary search finds the first end after which the job fits.
func (b *baseline) reserve(w *scheduler.Waiting) ([]int, time.Time) {
	byDeclaredEnd := make([]*scheduler.Running, len(b.snap.Running))
	for i := range byDeclaredEnd {
		byDeclaredEnd[i] = &b.snap.Running[i]
	}
	declaredEnd := func(r *scheduler.Running) time.Time {
		if at := r.Started.Add(r.DeclaredRun - r.Progress); at.After(b.snap.Now) {
			return at
		}
		return b.snap.Now
	}
	slices.SortStableFunc(byDeclaredEnd, func(x, y *scheduler.Running) int { return declaredEnd(x).Compare(declaredEnd(y)) })
	var workers []int
	n, _ := slices.BinarySearchFunc(byDeclaredEnd, true, func(r *scheduler.Running, _ bool) int {
		free := slices.Clone(b.free)
		for _, e := range byDeclaredEnd {
			b.addResources(free, e, 1)
			if e == r {
				break
			}
		}
		if fitting := b.bestFit(w, free); fitting != nil {
			workers = fitting
			return 1
		}
		return -1
	})
	if workers == nil {
		return nil, b.snap.Now
	}
	return workers, declaredEnd(byDeclaredEnd[n])
}

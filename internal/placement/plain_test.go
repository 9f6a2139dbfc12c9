package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"samphirewell/internal/batch"
)

// plainPlan makes the decisions of Plan without any index: it looks at every worker for each request. Tests compare Plan with it.
func plainPlan(in Input) Decision {
	p := newPlainPlanner(in)
	for i := range in.Requests {
		p.planRequest(i)
	}
	return p.decision
}

type plainPlanner struct {
	workers            []Worker
	runs               []Run
	requests           []Request
	racks              map[string][]int
	rackNames          []string // in order of first appearance
	allWorkers         []int
	runsByWorker       [][]int // runs on each worker, cheapest first
	preempted          []bool
	freeBeyondHeadroom float64       // free capacity beyond the headroom, core equivalents
	ample              bool          // capacity is ample
	ampleFor           time.Duration // how long it has been
	decision           Decision
}

func newPlainPlanner(in Input) *plainPlanner {
	p := &plainPlanner{workers: in.Workers, runs: in.Runs, requests: in.Requests, racks: map[string][]int{}, preempted: make([]bool, len(in.Runs))}
	p.ample, p.ampleFor = HasAmpleCapacity(in.Workers), in.AmpleFor
	for i, w := range in.Workers {
		if _, ok := p.racks[w.Rack]; !ok {
			p.rackNames = append(p.rackNames, w.Rack)
		}
		p.racks[w.Rack] = append(p.racks[w.Rack], i)
		p.allWorkers = append(p.allWorkers, i)
		if w.Usable {
			p.freeBeyondHeadroom += max(0, w.Free.CoreEquivalents())
		}
	}
	p.freeBeyondHeadroom -= in.Headroom
	return p
}

// planRequest places the tasks of a request that fit, and preempts runs or reserves workers for the rest.
func (p *plainPlanner) planRequest(i int) {
	r := &p.requests[i]
	if p.needsAvoidedWorkers(r) {
		r.AvoidedWorkers = nil
	}
	if r.MaySpanRacks && p.isCheaperOnPreferredRack(r) {
		r.MaySpanRacks = false
	}
	placed := p.fit(r, p.startLimit(r), plainFree)
	if len(placed) > 0 {
		p.allocate(r, placed)
		p.decision.Placements = append(p.decision.Placements, Placement{i, placed})
	}
	rest := r.Count - len(placed)
	if rest == 0 {
		return
	}
	if r.MayPreempt {
		p.placeByPreempting(i, rest)
		return
	}
	p.reserve(i)
}

// startLimit returns how many tasks of the request may start now without using the headroom. Long-running tasks may use it, since they are expected
// to run at all times, and other requests may use it after headroomWaitLimit.
func (p *plainPlanner) startLimit(r *Request) int {
	need := r.Step.Need.CoreEquivalents()
	if r.MayPreempt || r.BestEffort || r.Step.LongRunning || need == 0 || r.WaitTime > headroomWaitLimit {
		return r.Count
	}
	n := int(max(0, p.freeBeyondHeadroom) / need)
	if r.Gang && n < r.Count {
		return 0
	}
	return min(n, r.Count)
}

// placeByPreempting allocates capacity that is about to become free to the remaining tasks of a request, and preempts less urgent runs for those that
// still don't fit.
func (p *plainPlanner) placeByPreempting(preemptor, rest int) {
	r := &p.requests[preemptor]
	fromFuture := p.fit(r, rest, plainFutureFree)
	p.allocate(r, fromFuture)
	rest -= len(fromFuture)
	if rest == 0 {
		return
	}
	workers, victims, cost := p.selectVictims(r, rest)
	if cost <= r.PreemptionBudget {
		for _, v := range victims {
			p.preempt(v, preemptor)
		}
	} else if p.ample && p.ampleFor > localityWaitLimit {
		return
	}
	// While capacity is scarce, the workers are allocated even if preempting the victims costs too much, so that later requests don't use what is free
	// on these workers.
	p.allocate(r, workers)
}

// allocate deducts the resources of the request's tasks from the workers. Free becomes negative on a worker whose capacity is not released yet.
func (p *plainPlanner) allocate(r *Request, workers []int) {
	p.freeBeyondHeadroom -= float64(len(workers)) * r.Step.Need.CoreEquivalents()
	for _, w := range workers {
		p.workers[w].Free = p.workers[w].Free.Minus(r.Step.Need)
		p.workers[w].FutureFree = p.workers[w].FutureFree.Minus(r.Step.Need)
		if r.Step.MaxPerWorker > 0 {
			r.TasksPerWorker[w]++
		}
	}
}

func (p *plainPlanner) preempt(run, preemptor int) {
	if p.preempted[run] {
		return
	}
	p.preempted[run] = true
	p.decision.Preempted = append(p.decision.Preempted, run)
	p.decision.Preemptors = append(p.decision.Preemptors, preemptor)
	for _, part := range p.runs[run].Parts {
		p.workers[part.Worker].FutureFree = p.workers[part.Worker].FutureFree.Plus(part.Need)
	}
}

// plainCapacity selects which capacity of a worker a fit is computed against.
type plainCapacity func(w *Worker) batch.Resources

func plainFree(w *Worker) batch.Resources           { return w.Free }
func plainFutureFree(w *Worker) batch.Resources     { return w.FutureFree }
func plainEventuallyFree(w *Worker) batch.Resources { return w.EventuallyFree }

// fit returns a worker for each of count tasks. A gang gets all or none; of other requests as many tasks are placed as fit.
func (p *plainPlanner) fit(r *Request, count int, capacityOf plainCapacity) []int {
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
func (p *plainPlanner) fitByRack(r *Request, count int, capacityOf plainCapacity) []int {
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
func (p *plainPlanner) preferencesExpired(r *Request) bool {
	if r.Step.LongRunning {
		return r.Interrupted || r.WaitTime > localityWaitLimit
	}
	return r.JobIdle && p.ample && min(r.WaitTime, p.ampleFor) > localityWaitLimit
}

// mayLeaveRack reports whether the request may run outside the single rack or the data's rack that its step prefers, where it runs slower.
func (p *plainPlanner) mayLeaveRack(r *Request) bool {
	return r.MaySpanRacks || p.preferencesExpired(r)
}

// fitsFreeWorkers reports whether count tasks fit on the free capacity of all workers.
func (p *plainPlanner) fitsFreeWorkers(r *Request, count int) bool {
	slots := 0
	for _, w := range p.allWorkers {
		slots += p.fitCount(r, w, count, plainFree)
	}
	return slots >= count
}

// restrictedToDataRack reports whether the request may run only on the rack of its data. A gang that would not fit even if that rack ran nothing but its
// long-running tasks may run elsewhere.
func (p *plainPlanner) restrictedToDataRack(r *Request) bool {
	if r.Step.DataRack == "" || p.mayLeaveRack(r) {
		return false
	}
	return p.fitsIfEmpty(r, p.racks[r.Step.DataRack], r.minTasks())
}

// needsAvoidedWorkers reports whether the request can't start on the other workers, even if these ran nothing but their long-running tasks, or should
// start now and lacks room there.
func (p *plainPlanner) needsAvoidedWorkers(r *Request) bool {
	if len(r.AvoidedWorkers) == 0 {
		return false
	}
	return !p.fitsIfEmpty(r, p.allWorkers, r.minTasks()) || p.preferencesExpired(r) && !p.fitsFreeWorkers(r, r.minTasks())
}

// bestRack returns the rack on which all tasks fit and whose suitable workers have the least capacity. Racks without suspected workers come first.
func (p *plainPlanner) bestRack(r *Request, count int, capacityOf plainCapacity) ([]int, bool) {
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
func (p *plainPlanner) fitsEmptyRack(r *Request) bool {
	for _, name := range p.rackNames {
		if p.fitsIfEmpty(r, p.racks[name], r.Count) {
			return true
		}
	}
	return false
}

// fitsIfEmpty reports whether count tasks would fit on the workers if these ran nothing but their long-running tasks.
func (p *plainPlanner) fitsIfEmpty(r *Request, workers []int, count int) bool {
	slots := 0
	for _, w := range workers {
		slots += p.fitCount(r, w, count, plainEventuallyFree)
	}
	return slots >= count
}

// fitCount returns how many tasks of the request fit on a worker, at most limit. It is 0 on a worker that must not run them.
func (p *plainPlanner) fitCount(r *Request, w, limit int, capacityOf plainCapacity) int {
	if r.Step.LatencyTarget > 0 && p.workers[w].BestEffort {
		return 0
	}
	return p.fitCountOfStopped(r, w, limit, capacityOf)
}

// fitCountOfStopped is fitCount if the best-effort tasks of the worker are stopped.
func (p *plainPlanner) fitCountOfStopped(r *Request, w, limit int, capacityOf plainCapacity) int {
	worker := &p.workers[w]
	if !worker.Usable || r.AvoidedWorkers[w] || !hasLabel(worker, r.Step.Requires) || r.Step.BestEffort && worker.LatencySensitive ||
		r.AllowedWorkers != nil && !r.AllowedWorkers[w] {
		return 0
	}
	if r.Step.MaxPerWorker > 0 {
		limit = min(limit, r.Step.MaxPerWorker-r.TasksPerWorker[w])
	}
	return max(0, capacityOf(worker).FitCount(r.Step.Need, limit))
}

// assign places up to count tasks, best fit first: the workers with the least capacity left over are filled first, so that whole workers stay free.
// Workers whose health is suspected come last.
func (p *plainPlanner) assign(r *Request, workers []int, count int, capacityOf plainCapacity) []int {
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

// selectVictims returns workers for count tasks, the runs to stop for them, and the cost of stopping these runs, in core-seconds. It returns no
// workers for a gang that doesn't fit as a whole.
func (p *plainPlanner) selectVictims(r *Request, count int) (workers, victims []int, preemptionCost float64) {
	p.indexRuns()
	bestCost := math.Inf(1)
	for _, workerSet := range p.candidateWorkerSets(r) {
		t := newPlainTrial(p, r)
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

// isCheaperOnPreferredRack reports whether the whole request can have a rack that its step prefers by stopping less work than running elsewhere adds.
func (p *plainPlanner) isCheaperOnPreferredRack(r *Request) bool {
	if !r.Step.SameRack && r.Step.DataRack == "" {
		return false
	}
	restricted := *r
	restricted.MaySpanRacks = false
	workers, _, cost := p.selectVictims(&restricted, r.Count)
	return len(workers) == r.Count && cost <= min(r.SpreadCost, r.PreemptionBudget)
}

// candidateWorkerSets returns the sets of workers within which the request may be placed.
func (p *plainPlanner) candidateWorkerSets(r *Request) [][]int {
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
func (p *plainPlanner) indexRuns() {
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

// trial computes the victims for a request on one set of workers, without changing the planner.
type plainTrial struct {
	p          *plainPlanner
	r          *Request
	futureFree map[int]batch.Resources
	placed     map[int]int
	isVictim   map[int]bool
	victims    []int
	cost       float64
}

func newPlainTrial(p *plainPlanner, r *Request) *plainTrial {
	return &plainTrial{p: p, r: r, futureFree: map[int]batch.Resources{}, placed: map[int]int{}, isVictim: map[int]bool{}}
}

// placeTasks places up to count tasks, each on the worker where it costs least.
func (t *plainTrial) placeTasks(workers []int, count int) []int {
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
func (t *plainTrial) futureFreeOn(w int) batch.Resources {
	if free, ok := t.futureFree[w]; ok {
		return free
	}
	return t.p.workers[w].FutureFree
}

// addVictim marks a run as to be stopped and adds its resources to the future free resources of its workers.
func (t *plainTrial) addVictim(run int) {
	t.isVictim[run] = true
	t.victims = append(t.victims, run)
	t.cost += t.p.runs[run].cost()
	for _, part := range t.p.runs[run].Parts {
		t.futureFree[part.Worker] = t.futureFreeOn(part.Worker).Plus(part.Need)
	}
}

// cheapestWorker returns the worker on which one more task costs least, and the runs to stop there. The cost of a worker includes its health penalty.
func (t *plainTrial) cheapestWorker(workers []int) (worker int, victims []int, ok bool) {
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
func (t *plainTrial) eligible(w int) bool {
	total := func(worker *Worker) batch.Resources { return worker.Capacity }
	if t.p.fitCountOfStopped(t.r, w, 1, total) == 0 {
		return false
	}
	limit := t.r.Step.MaxPerWorker
	return limit == 0 || t.r.TasksPerWorker[w]+t.placed[w] < limit
}

// victimsOn returns the runs to stop on a worker so that one more task fits, and their cost.
func (t *plainTrial) victimsOn(w int) (victims []int, cost float64, ok bool) {
	free, need := t.futureFreeOn(w), t.r.Step.Need
	disturbing, known := 0, 0
	if t.r.Step.LatencyTarget > 0 {
		disturbing = t.p.workers[w].BestEffortTasks
	}
	for _, i := range t.p.runsByWorker[w] {
		run := &t.p.runs[i]
		if disturbing == 0 || !run.BestEffort {
			continue
		}
		for _, part := range run.Parts {
			if part.Worker == w {
				known++
			}
		}
		if t.isVictim[i] || t.p.preempted[i] {
			continue
		}
		if !canPreempt(t.r, run) {
			return nil, 0, false
		}
		for _, part := range run.Parts {
			if part.Worker == w {
				free = free.Plus(part.Need)
			}
		}
		victims = append(victims, i)
		cost += run.cost()
	}
	if known < disturbing {
		return nil, 0, false
	}
	for _, i := range t.p.runsByWorker[w] {
		if free.Covers(need) {
			break
		}
		run := &t.p.runs[i]
		if t.isVictim[i] || t.p.preempted[i] || !canPreempt(t.r, run) || slices.Contains(victims, i) {
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

// reserve excludes workers from the placement of later requests, so that a stream of small requests doesn't starve a large gang.
func (p *plainPlanner) reserve(request int) {
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
	}
}

// workersToReserve returns the fewest workers on which the request fits once all but the long-running tasks there have ended. It prefers the workers
// with the most capacity in FutureFree.
func (p *plainPlanner) workersToReserve(r *Request) []int {
	var best []int
	bestFree := -1.0
	for _, workerSet := range p.candidateWorkerSets(r) {
		chosen, futureFree := p.mostFree(r, workerSet)
		if chosen != nil && futureFree > bestFree {
			best, bestFree = chosen, futureFree
		}
	}
	return best
}

// mostFree selects some of the workers, those with the most capacity in FutureFree first, until the request will fit on them. It also returns the
// mean FutureFree of these workers, in core equivalents.
func (p *plainPlanner) mostFree(r *Request, workers []int) ([]int, float64) {
	order := slices.Clone(workers)
	slices.SortStableFunc(order, func(a, b int) int {
		return -cmp.Compare(p.workers[a].FutureFree.CoreEquivalents(), p.workers[b].FutureFree.CoreEquivalents())
	})
	slots, futureFree := 0, 0.0
	for i, w := range order {
		slots += p.fitCount(r, w, r.Count, plainEventuallyFree)
		futureFree += p.workers[w].FutureFree.CoreEquivalents()
		if slots >= r.Count {
			return order[:i+1], futureFree / float64(i+1)
		}
	}
	return nil, 0
}

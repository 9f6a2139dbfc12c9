package dispatch

import (
	"maps"
	"slices"
	"time"

	"samphirewell/internal/batch"
	"samphirewell/internal/placement"
)

// replanInterval is the period of scheduling cycles while tasks wait: waits and quarantines end without an event that would start one.
const replanInterval = 250 * time.Millisecond

// NeedsPlan reports whether a scheduling cycle is needed.
func (c *Core) NeedsPlan() bool { return c.dirty && !c.startsDisabled }

// Replan requests a scheduling cycle because time has passed.
func (c *Core) Replan() { c.dirty = true }

// Plan runs a scheduling cycle: it places waiting task groups and preempts others for more urgent ones.
func (c *Core) Plan(now time.Duration) {
	p := c.PreparePlan(now)
	p.Decide()
	c.ApplyPlan(p, now)
}

// CyclePlan is one scheduling cycle. Decide works on copies, so that the core may change meanwhile.
type CyclePlan struct {
	planner  func(placement.Input) placement.Decision
	services []*planInput
}

// PreparePlan copies what the decisions of a scheduling cycle depend on.
func (c *Core) PreparePlan(now time.Duration) *CyclePlan {
	c.now = now
	c.dirty = false
	p := &CyclePlan{planner: c.planner}
	if c.startsDisabled || c.policy == nil {
		return p
	}
	byService := map[string][]readyGroups{}
	guaranteed := c.withinGuarantee()
	for _, j := range c.liveJobs {
		if j.ending() {
			continue
		}
		service := c.serviceOf(j)
		for _, o := range j.occurrences {
			rest := &occurrenceRest{core: c, job: j, occurrence: o, now: now}
			for _, s := range o.steps {
				byService[service] = append(byService[service], c.readyGroupsOf(j, s, rest, guaranteed[j], now)...)
			}
		}
	}
	use := c.useByTeam(now)
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		if len(byService[service]) > 0 && c.mayStartIn(service) {
			p.services = append(p.services, c.planInput(service, byService[service], use, guaranteed, now))
		}
	}
	return p
}

// Decide makes the decisions of the cycle. It doesn't use the core.
func (p *CyclePlan) Decide() {
	for _, in := range p.services {
		in.measureRoom()
		in.decision = p.planner(in.Input)
	}
}

// ApplyPlan carries out the decisions of a cycle as far as the state of the core still allows them.
func (c *Core) ApplyPlan(p *CyclePlan, now time.Duration) {
	c.now = now
	if c.startsDisabled {
		return
	}
	for _, in := range p.services {
		if !c.mayStartIn(in.service) {
			continue
		}
		for i, run := range in.decision.Preempted {
			if g := in.runGroups[run]; g.run == in.runNumbers[run] && !g.finished {
				c.preempt(g, now, preemptorOf(in, in.decision, i))
			}
		}
		c.applyPlacements(in, in.decision.Placements, now)
		c.logWaiting(in, now)
	}
}

// serviceOf returns the service that runs the job: the current service of its queue, or that at the job's acceptance if the queue was removed.
func (c *Core) serviceOf(j *job) string {
	if q, ok := c.policy.Queue(j.Queue.Name); ok {
		return q.Service
	}
	return j.Queue.Service
}

// withinGuarantee returns the jobs of priority 0 that fit into the guarantees of their teams. Earlier jobs are counted first.
func (c *Core) withinGuarantee() map[*job]bool {
	used := map[string]int{}
	out := map[*job]bool{}
	for _, j := range c.liveJobs {
		if j.Queue.Priority != 0 || j.ending() {
			continue
		}
		need := j.maxStepAccelerators()
		if used[j.Team]+need <= c.policy.Guarantee(j.Team) {
			used[j.Team] += need
			out[j] = true
		}
	}
	return out
}

// maxStepAccelerators returns the largest number of accelerators that a single step of the job uses.
func (j *job) maxStepAccelerators() int {
	n := 0
	for _, s := range j.Steps {
		n = max(n, s.Tasks*s.Need.Accelerators)
	}
	return n
}

// planInput is the input of the placement package for a service, with the objects of the core that its indexes stand for, and the decision on it.
type planInput struct {
	placement.Input
	service        string
	capacity       batch.Resources // of all workers
	ready          []readyGroups   // in the order in which they are served
	workers        []*worker
	incarnations   []int64 // of the workers
	workerIndex    map[string]int
	runGroups      []*taskGroup
	runNumbers     []int          // current run of each of runGroups
	requestGroups  [][]*taskGroup // task groups of each request
	tasksPerWorker map[*stepState]map[int]int
	stoppable      map[*taskGroup]bool // see addStoppable
	admitted       map[int]bool        // workers that get work although their health is suspected, see admitSuspected
	quietWorkers   map[int]bool        // see findQuietWorkers; nil until needed
	emptyWorkers   map[int]bool
	waitLogs       []waitLog
	freePercent    int     // free share of the capacity before the decision
	fastest        float64 // slowness of the fastest usable worker; 1 if workers don't differ
	decision       placement.Decision
}

func (c *Core) planInput(service string, ready []readyGroups, use map[shareKey]teamUse, guaranteed map[*job]bool, now time.Duration) *planInput {
	in := &planInput{service: service, workerIndex: make(map[string]int, len(c.byID)), tasksPerWorker: map[*stepState]map[int]int{},
		stoppable: map[*taskGroup]bool{}, admitted: map[int]bool{}}
	c.addWorkers(in, now)
	c.addSlowness(in)
	in.capacity = capacityOf(in.Workers)
	c.updateShares(service, use, in.capacity, now)
	in.admitSuspected(ready, now)
	c.addRuns(in, guaranteed, now)
	c.addRequests(in, ready, guaranteed, now)
	usage := urgentUsage(in.workers)
	c.urgentDemand.record(now, usage, usableCapacity(in.Workers))
	in.Headroom = c.urgentDemand.headroom(usage)
	in.AmpleFor = c.ampleFor(service, in.Workers, now)
	in.waitLogs = dueWaitLogs(in, now)
	return in
}

// preemptorOf returns the id of the job for which a decision preempts a run. It is empty if the planner doesn't report it, as baseline policies
// don't.
func preemptorOf(in *planInput, d placement.Decision, victim int) string {
	if victim >= len(d.Preemptors) {
		return ""
	}
	return in.requestGroups[d.Preemptors[victim]][0].job.ID
}

// ampleFor returns how long the capacity of a service has been ample.
func (c *Core) ampleFor(service string, workers []placement.Worker, now time.Duration) time.Duration {
	if !placement.HasAmpleCapacity(workers) {
		delete(c.ampleSince, service)
		return 0
	}
	if _, ok := c.ampleSince[service]; !ok {
		c.ampleSince[service] = now
	}
	return now - c.ampleSince[service]
}

// usableCapacity returns the capacity of the workers that may get new work, in core equivalents.
func usableCapacity(workers []placement.Worker) float64 {
	sum := 0.0
	for _, w := range workers {
		if w.Usable {
			sum += w.Capacity.CoreEquivalents()
		}
	}
	return sum
}

// capacityOf returns the capacity of workers.
func capacityOf(workers []placement.Worker) batch.Resources {
	var sum batch.Resources
	for i := range workers {
		sum = sum.Plus(workers[i].Capacity)
	}
	return sum
}

// applyPlacement starts groups on the workers chosen for them, except on closed ones and where they can't start any more.
func (c *Core) applyPlacement(in *planInput, p placement.Placement, closed func(worker int) bool, now time.Duration) {
	groups := in.requestGroups[p.Request]
	if !in.Requests[p.Request].Gang {
		for i, w := range p.Workers {
			if !closed(w) {
				c.startPlaced(in, groups[i], []int{w}, now)
			}
		}
		return
	}
	if !slices.ContainsFunc(p.Workers, closed) {
		c.startPlaced(in, groups[0], p.Workers, now)
	}
}

// startPlaced assigns a group to the workers that a plan has chosen, unless a change since the plan was prepared prevents the start.
func (c *Core) startPlaced(in *planInput, g *taskGroup, chosen []int, now time.Duration) {
	if !g.ready() || c.serviceOf(g.job) != in.service {
		return
	}
	workers, tasks := make([]*worker, len(chosen)), map[int]int{}
	for i, w := range chosen {
		workers[i] = in.workers[w]
		tasks[w]++
	}
	for w, n := range tasks {
		target := in.workers[w]
		if c.workers[target.ID] != target || target.Incarnation != in.incarnations[w] || !c.open(target, now) || !target.health.trusted(now) && !in.admitted[w] || target.free().FitCount(g.spec().Need, n) < n {
			return
		}
	}
	c.placeGroup(g, workers, now)
}

func (c *Core) addWorkers(in *planInput, now time.Duration) {
	in.Workers = make([]placement.Worker, 0, len(c.byID))
	for _, w := range c.byID {
		if w.Service != in.service {
			continue
		}
		v := w.currentView()
		in.workerIndex[w.ID] = len(in.workers)
		in.workers, in.incarnations = append(in.workers, w), append(in.incarnations, w.Incarnation)
		in.Workers = append(in.Workers, placement.Worker{ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: v.free,
			FutureFree: v.futureFree, EventuallyFree: v.eventuallyFree, Usable: c.usable(w, now),
			Suspected: c.staysInService(w) && !w.health.trusted(now), HealthPenalty: w.health.suspicion, LatencySensitive: v.latencySensitive,
			BestEffort: v.bestEffortTasks > 0, BestEffortTasks: v.bestEffortTasks})
	}
}

// usable reports whether a worker may get new work.
func (c *Core) usable(w *worker, now time.Duration) bool {
	return c.open(w, now) && w.health.trusted(now)
}

// open is usable without regard to the worker's health.
func (c *Core) open(w *worker, now time.Duration) bool {
	return c.staysInService(w) && now >= w.fullUntil && !w.closedForSuspected(now)
}

// staysInService reports whether a worker responds, isn't about to leave and isn't evacuated.
func (c *Core) staysInService(w *worker) bool {
	return w.registered && w.described() && !w.Draining && !w.takenDown && !w.replaced() && !c.closedForMaintenance[w.ID] && !c.evacuated(w) && w.contacted && !w.unresponsive
}

// described reports whether the registry entry describes the current incarnation. Another incarnation may have other labels and another capacity.
func (w *worker) described() bool {
	return w.entryIncarnation == 0 || w.entryIncarnation == w.Incarnation
}

func (c *Core) addRuns(in *planInput, guaranteed map[*job]bool, now time.Duration) {
	for _, j := range c.liveJobs {
		if j.Queue.Priority == 0 && guaranteed[j] {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.active == 0 {
					continue
				}
				in.addStoppable(s)
				for _, g := range s.groups {
					if g.active() && !g.finished {
						c.addRun(in, g, now)
					}
				}
			}
		}
	}
}

func (c *Core) addRun(in *planInput, g *taskGroup, now time.Duration) {
	run := placement.Run{ID: g.id, Team: g.job.Team, Priority: g.job.Queue.Priority,
		NonPreemptible: g.spec().MaxUnavailable > 0 && !in.stoppable[g], BestEffort: g.spec().BestEffort}
	run.Parts = make([]placement.Part, 0, len(g.tasks))
	for _, t := range g.tasks {
		i, ok := in.workerIndex[t.worker]
		if !ok || t.phase == stopping {
			return
		}
		run.Parts = append(run.Parts, placement.Part{Worker: i, Need: g.spec().Need})
		run.LostWork += c.lostWork(t, now)
	}
	in.Runs = append(in.Runs, run)
	in.runGroups, in.runNumbers = append(in.runGroups, g), append(in.runNumbers, g.run)
}

// lostWork returns the core-seconds of work that stopping a run discards. A run that saves a checkpoint when it is stopped loses only the time of the
// restart.
func (c *Core) lostWork(t *task, now time.Duration) float64 {
	if !t.phase.mayBeRunning() {
		return 0
	}
	spec := t.group.spec()
	lost := (now - t.startedAt).Seconds()
	if spec.Checkpoints {
		lost = min(lost, c.bounds.StopMax.Seconds())
	}
	return lost * spec.Need.CoreEquivalents()
}

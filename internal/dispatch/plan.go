package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/placement"
)

const (
	// spanRacksAfter is the wait after which a preempting request within a guarantee may span several racks, although it runs slower there. It leaves
	// time to stop other runs (0.9 s) within the shortest time in which a guarantee has to be met (2.7 s).
	spanRacksAfter = 1200 * time.Millisecond
	// drainReserve is how long before the end of a draining worker its last runs are stopped.
	drainReserve = 300 * time.Millisecond
	// replanInterval is the period of scheduling cycles while tasks wait: waits and quarantines end without an event that would start one.
	replanInterval = 250 * time.Millisecond
)

// Tick does the work that depends on time: it handles lost workers and hanging runs, repeats stops and opens scheduled occurrences. wallMS is the
// time of day in Unix milliseconds.
func (c *Core) Tick(now time.Duration, wallMS int64) {
	c.now, c.timeOfDayMS = now, wallMS
	for _, w := range c.sortedWorkers() {
		c.tickWorker(w, now)
	}
	for _, j := range c.liveJobs {
		if j.Schedule != nil {
			c.openSteps(j, now)
		}
	}
	c.tickWaves(now)
	c.deleteOldStates(now)
}

func (c *Core) sortedWorkers() []*worker {
	out := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// mayHaveRuns reports whether a run may exist on the worker. A run that is only assigned does not exist yet.
func (w *worker) mayHaveRuns() bool {
	for _, a := range w.allocs {
		if a.task == nil || a.task.phase != assigned {
			return true
		}
	}
	return false
}

func (c *Core) tickWorker(w *worker, now time.Duration) {
	if w.mayHaveRuns() && w.leasesExpired(now) {
		c.log.WithFields(logrus.Fields{"worker": w.ID, "runs": len(w.allocs), "silent_ms": (now - w.lastContact).Milliseconds()}).Warn("leases of a worker have expired")
		if w.registered {
			c.clearSuspects(w)
		} else {
			c.confirmCrash(w, now)
		}
		c.endAllRuns(w, outcomeLeaseExpired, now)
	}
	if !w.registered && len(w.allocs) == 0 {
		delete(c.workers, w.ID)
		return
	}
	for _, k := range sortedKeys(w.allocs) {
		a := w.allocs[k]
		if a == nil || a.task == nil {
			continue
		}
		c.tickRun(w, a.task, now)
	}
}

// tickRun repeats unconfirmed stops, and stops runs that hang or whose worker is draining so that they start elsewhere.
func (c *Core) tickRun(w *worker, t *task, now time.Duration) {
	switch {
	case t.phase == stopping && now-t.stopOrderedAt > stopRetryInterval && (!t.stopConfirmed || now-t.stopOrderedAt > stopRetryInterval+c.bounds.StopMax):
		c.orderStop(t, now)
	case t.phase != running || t.group.spec().LongRunning:
	case w.Draining && c.mustLeaveDraining(w, t, now):
		c.stopGroup(t.group, now, "worker_leaves")
	case w.contacted && t.percent < 100 && w.lastContact > t.percentChangedAt && now-t.percentChangedAt > hangTimeout && t.group.allInPhase(running):
		w.health.addFailure(now, hangSuspicion)
		c.stopGroup(t.group, now, "no_progress")
	}
}

// mustLeaveDraining reports whether a run on a draining worker can't finish there and should be stopped now. A run without checkpoints would lose its
// work anyway and is stopped immediately; one with checkpoints is stopped shortly before the worker ends.
func (c *Core) mustLeaveDraining(w *worker, t *task, now time.Duration) bool {
	workerTimeLeft := w.drainingSince + w.Remaining - now
	if c.remaining(t, now) < workerTimeLeft-drainReserve {
		return false
	}
	if t.group.spec().Checkpoints {
		return workerTimeLeft < drainReserve+c.bounds.StopMax
	}
	return true
}

// remaining estimates the remaining time of a run: from its progress, or from the expected run time while there is too little progress.
func (c *Core) remaining(t *task, now time.Duration) time.Duration {
	ran := now - t.startedAt
	if gained := t.percent - t.startPercent; gained > 5 && t.percentChangedAt > t.startedAt {
		perPercent := float64(t.percentChangedAt-t.startedAt) / float64(gained)
		return time.Duration(float64(100-t.percent)*perPercent) - (now - t.percentChangedAt)
	}
	return max(0, c.expectedRunTime(&t.group.job.Job, t.group.step)-ran)
}

// NeedsPlan reports whether a scheduling cycle is needed.
func (c *Core) NeedsPlan() bool { return c.dirty && !c.startsDisabled }

// Replan requests a scheduling cycle because time has passed.
func (c *Core) Replan() { c.dirty = true }

// Plan runs a scheduling cycle: it places waiting task groups and preempts others for more urgent ones.
func (c *Core) Plan(now time.Duration) {
	c.now = now
	c.dirty = false
	if c.startsDisabled || c.policy == nil {
		return
	}
	byService := map[string][]*taskGroup{}
	guaranteed := c.withinGuarantee()
	for _, j := range c.liveJobs {
		if j.ending() {
			continue
		}
		service := c.serviceOf(j)
		for _, steps := range j.steps {
			for _, s := range steps {
				if !s.opened || s.tasksLeft == 0 {
					continue
				}
				for _, g := range s.groups {
					if g.ready() && (!g.suspected() || c.mayStartSuspected(g, now)) {
						byService[service] = append(byService[service], g)
					}
				}
			}
		}
	}
	services := make([]string, 0, len(byService))
	for s := range byService {
		services = append(services, s)
	}
	slices.Sort(services)
	for _, s := range services {
		if c.mayStartIn(s) {
			c.planService(s, byService[s], guaranteed, now)
		}
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

// planInput is the input of the placement package, with the objects of the core that its indexes stand for.
type planInput struct {
	placement.Input
	workers        []*worker
	workerIndex    map[string]int
	runGroups      []*taskGroup
	requestGroups  [][]*taskGroup // task groups of each request
	tasksPerWorker map[*stepState]map[int]int
	quietWorkers   map[int]bool // see findQuietWorkers; nil until needed
	emptyWorkers   map[int]bool
}

func (c *Core) planService(service string, ready []*taskGroup, guaranteed map[*job]bool, now time.Duration) {
	in := &planInput{workerIndex: map[string]int{}, tasksPerWorker: map[*stepState]map[int]int{}}
	c.addWorkers(in, service, now)
	c.addRuns(in, guaranteed, now)
	c.addRequests(in, ready, guaranteed, now)
	usage := urgentUsage(in.workers)
	c.urgentDemand.record(now, usage, usableCapacity(in.Workers))
	in.Headroom = c.urgentDemand.headroom(usage)
	in.AmpleFor = c.ampleFor(service, in.Workers, now)
	due := dueWaitLogs(in, now)
	freePercent := int(100 * placement.FreeShare(in.Workers))
	d := c.planner(in.Input)
	for i, run := range d.Preempted {
		c.preempt(in.runGroups[run], now, preemptorOf(in, d, i))
	}
	c.applyPlacements(in, d.Placements, now)
	c.logWaiting(in, d, due, freePercent, now)
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

// applyPlacement starts groups on the workers chosen for them, except on closed ones.
func (c *Core) applyPlacement(in *planInput, p placement.Placement, closed func(worker int) bool, now time.Duration) {
	groups := in.requestGroups[p.Request]
	if in.Requests[p.Request].Gang {
		if slices.ContainsFunc(p.Workers, closed) {
			return
		}
		workers := make([]*worker, len(p.Workers))
		for i, w := range p.Workers {
			workers[i] = in.workers[w]
		}
		c.placeGroup(groups[0], workers, now)
		return
	}
	for i, w := range p.Workers {
		if !closed(w) {
			c.placeGroup(groups[i], []*worker{in.workers[w]}, now)
		}
	}
}

func (c *Core) addWorkers(in *planInput, service string, now time.Duration) {
	for _, w := range c.sortedWorkers() {
		if w.Service != service {
			continue
		}
		used, ending, lasting := batch.Resources{}, batch.Resources{}, batch.Resources{}
		latencySensitive, bestEffort := false, false
		for _, a := range w.allocs {
			used = used.Plus(a.need)
			if a.task == nil || a.task.phase == stopping {
				ending = ending.Plus(a.need)
			} else {
				if a.task.group.spec().LongRunning {
					lasting = lasting.Plus(a.need)
				}
				latencySensitive = latencySensitive || a.task.group.spec().LatencyTarget > 0
				bestEffort = bestEffort || a.task.group.spec().BestEffort
			}
		}
		in.workerIndex[w.ID] = len(in.workers)
		in.workers = append(in.workers, w)
		in.Workers = append(in.Workers, placement.Worker{ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.free(),
			FutureFree: w.Capacity.Minus(used).Plus(ending), EventuallyFree: w.Capacity.Minus(lasting), Usable: c.usable(w, now),
			Suspected: c.staysInService(w) && !w.health.trusted(now), HealthPenalty: w.health.suspicion, LatencySensitive: latencySensitive, BestEffort: bestEffort})
	}
}

// usable reports whether a worker may get new work.
func (c *Core) usable(w *worker, now time.Duration) bool {
	return c.staysInService(w) && now >= w.fullUntil && !w.closedForSuspected(now) && w.health.trusted(now)
}

// staysInService reports whether a worker responds and isn't about to leave.
func (c *Core) staysInService(w *worker) bool {
	return w.registered && w.described() && !w.Draining && !w.takenDown && !w.replaced() && !c.closedForMaintenance[w.ID] && w.contacted && !w.unresponsive
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
		for _, steps := range j.steps {
			for _, s := range steps {
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
		NonPreemptible: g.spec().MaxUnavailable > 0} // its step bounds how many tasks may be unavailable
	for _, t := range g.tasks {
		i, ok := in.workerIndex[t.worker]
		if !ok || t.phase == stopping {
			return
		}
		run.Parts = append(run.Parts, placement.Part{Worker: i, Need: g.spec().Need})
		run.LostWork += c.lostWork(t, now)
	}
	in.Runs = append(in.Runs, run)
	in.runGroups = append(in.runGroups, g)
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

func (c *Core) addRequests(in *planInput, ready []*taskGroup, guaranteed map[*job]bool, now time.Duration) {
	slices.SortStableFunc(ready, func(a, b *taskGroup) int { return c.compareGroups(a, b, guaranteed) })
	for i := 0; i < len(ready); {
		n := 1
		for i+n < len(ready) && sameStep(ready[i], ready[i+n]) {
			n++
		}
		c.addRequest(in, ready[i:i+n], guaranteed, now)
		i += n
	}
}

// compareGroups orders task groups by urgency: priority, then requests within a guarantee, then jobs that can still meet their objective, then age.
func (c *Core) compareGroups(a, b *taskGroup, guaranteed map[*job]bool) int {
	if a.job == b.job {
		return cmp.Or(cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step), cmp.Compare(len(a.failedRuns), len(b.failedRuns)))
	}
	return cmp.Or(cmp.Compare(a.urgency(), b.urgency()),
		cmp.Compare(trueFirst(guaranteed[a.job]), trueFirst(guaranteed[b.job])),
		cmp.Compare(trueFirst(c.canMeetObjective(a)), trueFirst(c.canMeetObjective(b))),
		cmp.Compare(a.job.AcceptedMS, b.job.AcceptedMS), cmp.Compare(a.job.seq, b.job.seq))
}

// urgency is the priority of the group's job. An interrupted long-running task comes right after urgent work, whatever its priority, because it
// should be running all the time.
func (g *taskGroup) urgency() float64 {
	if p := g.job.Queue.Priority; p == 0 || !g.spec().LongRunning || g.run == 0 {
		return float64(p)
	}
	return 0.5
}

func trueFirst(first bool) int {
	if first {
		return 0
	}
	return 1
}

func sameStep(a, b *taskGroup) bool {
	return !a.gang && a.job == b.job && a.occurrence == b.occurrence && a.step == b.step && len(a.avoidedWorkers) == 0 && len(b.avoidedWorkers) == 0 &&
		!a.suspected() && !b.suspected()
}

func (c *Core) addRequest(in *planInput, groups []*taskGroup, guaranteed map[*job]bool, now time.Duration) {
	g := groups[0]
	spec := g.spec()
	waited := now - g.readySince
	r := placement.Request{ID: g.id, Team: g.job.Team, Priority: g.job.Queue.Priority, WithinGuarantee: guaranteed[g.job], Step: spec,
		Count: len(groups), Gang: g.gang, MayPreempt: g.job.Queue.Priority == 0, WaitTime: waited}
	if g.gang {
		r.Count = len(g.tasks)
	}
	r.MaySpanRacks = r.MayPreempt && waited > spanRacksAfter
	r.PreemptionBudget = c.preemptionBudget(g, guaranteed[g.job], waited)
	r.BestEffort = spec.Checkpoints && g.job.Queue.Priority > 1
	r.Interrupted, r.JobIdle = g.run > 0, g.job.idle()
	r.TasksPerWorker = c.tasksPerWorker(in, g)
	r.AvoidedWorkers = c.avoidedWorkers(in, g)
	r.AllowedWorkers = c.allowedWorkers(in, g, now)
	if g.suspected() {
		r.AllowedWorkers = in.workersForSuspected(r.AllowedWorkers, waited, now)
	}
	in.Requests = append(in.Requests, r)
	in.requestGroups = append(in.requestGroups, groups)
}

// tasksPerWorker counts the tasks of the group's step on each worker if the step limits that number; otherwise it returns nil. All requests of a step
// share the counts, which the planner updates.
func (c *Core) tasksPerWorker(in *planInput, g *taskGroup) map[int]int {
	if g.spec().MaxPerWorker == 0 {
		return nil
	}
	step := g.job.steps[g.occurrence][g.step]
	if counts, ok := in.tasksPerWorker[step]; ok {
		return counts
	}
	out := map[int]int{}
	for i, w := range in.workers {
		if n := w.tasksOfStep(g.job, g.occurrence, g.step); n > 0 {
			out[i] = n
		}
	}
	in.tasksPerWorker[step] = out
	return out
}

// avoidedWorkers returns the workers on which the group failed; nil if these are more than half of the workers.
func (c *Core) avoidedWorkers(in *planInput, g *taskGroup) map[int]bool {
	if len(g.avoidedWorkers) == 0 || 2*len(g.avoidedWorkers) > len(in.workers) {
		return nil
	}
	out := map[int]bool{}
	for id := range g.avoidedWorkers {
		if i, ok := in.workerIndex[id]; ok {
			out[i] = true
		}
	}
	return out
}

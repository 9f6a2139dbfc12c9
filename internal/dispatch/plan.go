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
	// spreadAfter is the wait after which a claim within a guarantee takes several racks although it runs slower there. It leaves time to stop
	// others (0.9 s) inside the shortest time in which a guarantee has to be served (2.7 s).
	spreadAfter = 1200 * time.Millisecond
	// drainReserve is the time before the end of a draining worker at which its last runs are stopped.
	drainReserve = 300 * time.Millisecond
	// tellEvery is the pause between two log lines about a unit that waits; it bounds the volume while many wait.
	tellEvery = 2 * time.Second
	// replanEvery is the period of plans while tasks wait, since waits and quarantines end with time.
	replanEvery = 250 * time.Millisecond
)

// Tick does what is due with time: lost workers, hanging runs, repeated stops, occurrences of schedules. wallMS is the time of day.
func (c *Core) Tick(now time.Duration, wallMS int64) {
	c.now, c.wall = now, wallMS
	for _, w := range c.sortedWorkers() {
		c.tickWorker(w, now)
	}
	for _, j := range c.live {
		if j.Schedule != nil {
			c.openSteps(j, now)
		}
	}
	c.tickWaves(now)
	c.forgetOld(now)
}

func (c *Core) sortedWorkers() []*worker {
	out := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// mayRun reports whether a run may exist on the worker; one that is only assigned doesn't.
func (w *worker) mayRun() bool {
	for _, o := range w.occupants {
		if o.task == nil || o.task.phase != assigned {
			return true
		}
	}
	return false
}

func (c *Core) tickWorker(w *worker, now time.Duration) {
	if w.mayRun() && w.lapsed(now) {
		c.log.WithFields(logrus.Fields{"worker": w.ID, "runs": len(w.occupants), "silent_ms": (now - w.clockAt).Milliseconds()}).Warn("leases of a worker have ended")
		c.loseRuns(w, outLapsed, now)
	}
	if !w.registered && len(w.occupants) == 0 {
		delete(c.workers, w.ID)
		return
	}
	for _, k := range sortedKeys(w.occupants) {
		occ := w.occupants[k]
		if occ == nil || occ.task == nil {
			continue
		}
		c.tickRun(w, occ.task, now)
	}
}

// tickRun repeats stops and moves runs that hang or whose worker leaves.
func (c *Core) tickRun(w *worker, t *task, now time.Duration) {
	switch {
	case t.phase == stopping && now-t.stopAt > stopRetry && (!t.stopConfirmed || now-t.stopAt > stopRetry+c.bounds.StopMax):
		c.orderStop(t, now)
	case t.phase != running || t.unit.spec().LongRunning:
	case w.Draining && c.leaveBehind(w, t, now):
		c.stopUnit(t.unit, now, "worker_leaves")
	case w.contacted && t.percent < 100 && w.clockAt > t.percentAt && now-t.percentAt > hangAfter && t.unit.wholly(running):
		w.health.fail(now, hangDoubt)
		c.stopUnit(t.unit, now, "no_progress")
	}
}

// leaveBehind reports whether a run on a draining worker can't finish there and is better stopped now: at once if it would lose
// its work anyway, and shortly before the end if it can save it.
func (c *Core) leaveBehind(w *worker, t *task, now time.Duration) bool {
	left := w.drainingSince + w.Remaining - now
	if c.remaining(t, now) < left-drainReserve {
		return false
	}
	if t.unit.spec().Checkpoints {
		return left < drainReserve+c.bounds.StopMax
	}
	return true
}

// remaining estimates the rest of a run from its progress, or from what is known of its kind.
func (c *Core) remaining(t *task, now time.Duration) time.Duration {
	ran := now - t.startedAt
	if gained := t.percent - t.startPercent; gained > 5 && t.percentAt > t.startedAt {
		perPercent := float64(t.percentAt-t.startedAt) / float64(gained)
		return time.Duration(float64(100-t.percent)*perPercent) - (now - t.percentAt)
	}
	return max(0, c.runTime(&t.unit.job.Job, t.unit.step)-ran)
}

// NeedsPlan reports whether Plan may have something to decide.
func (c *Core) NeedsPlan() bool { return c.dirty && !c.freeze }

// Replan asks for a plan because time has passed.
func (c *Core) Replan() { c.dirty = true }

// Plan places waiting units and stops others for more urgent ones.
func (c *Core) Plan(now time.Duration) {
	c.now = now
	c.dirty = false
	if c.freeze || c.policy == nil {
		return
	}
	byService := map[string][]*unit{}
	within := c.withinGuarantee()
	for _, j := range c.live {
		if j.ending() {
			continue
		}
		service := c.serviceOf(j)
		for _, steps := range j.steps {
			for _, s := range steps {
				if !s.opened || s.left == 0 {
					continue
				}
				for _, u := range s.units {
					if u.ready() {
						byService[service] = append(byService[service], u)
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
		c.planService(s, byService[s], within, now)
	}
}

// serviceOf returns the service that runs the job: that of its queue now, or of the queue at its acceptance if the queue is gone.
func (c *Core) serviceOf(j *job) string {
	if q, ok := c.policy.Queue(j.Queue.Name); ok {
		return q.Service
	}
	return j.Queue.Service
}

// withinGuarantee returns the jobs of priority 0 that fit into the guarantees of their teams, in order of arrival.
func (c *Core) withinGuarantee() map[*job]bool {
	used := map[string]int{}
	out := map[*job]bool{}
	for _, j := range c.live {
		if j.Queue.Priority != 0 || j.ending() {
			continue
		}
		need := j.widest()
		if used[j.Team]+need <= c.policy.Guarantee(j.Team) {
			used[j.Team] += need
			out[j] = true
		}
	}
	return out
}

// widest returns the most accelerators that one step of the job uses.
func (j *job) widest() int {
	n := 0
	for _, s := range j.Steps {
		n = max(n, s.Tasks*s.Need.Accelerators)
	}
	return n
}

// planInput translates the core's state into the terms of the placement package.
type planInput struct {
	placement.Input
	workers []*worker
	index   map[string]int
	runs    []*unit
	units   [][]*unit // of each request
	used    map[*stepState]map[int]int
}

func (c *Core) planService(service string, ready []*unit, within map[*job]bool, now time.Duration) {
	in := &planInput{index: map[string]int{}, used: map[*stepState]map[int]int{}}
	c.addWorkers(in, service, now)
	c.addRuns(in, within, now)
	c.addRequests(in, ready, within, now)
	use := urgentUse(in.workers)
	c.demand.record(now, use, usableRoom(in.Workers))
	in.Headroom = c.demand.keep(use)
	d := c.planner(in.Input)
	for i, run := range d.Preempted {
		c.preempt(in.runs[run], now, claimantOf(in, d, i))
	}
	for _, p := range d.Placements {
		c.placeAll(in, p, now)
	}
	c.tellWaiting(in, now)
}

// claimantOf returns the job for which a decision stops a run; baselines don't say.
func claimantOf(in *planInput, d placement.Decision, stop int) string {
	if stop >= len(d.Preemptors) {
		return ""
	}
	return in.units[d.Preemptors[stop]][0].job.ID
}

// tellWaiting logs which units go on waiting and what there was for them, at most once in tellEvery each.
func (c *Core) tellWaiting(in *planInput, now time.Duration) {
	free, usable := 0, 0
	for _, w := range in.Workers {
		if w.Usable {
			usable++
			free += max(0, w.Free.Accelerators)
		}
	}
	for i, r := range in.Requests {
		u := in.units[i][0]
		if !u.ready() || r.WaitTime < tellEvery || now-u.toldAt < tellEvery {
			continue
		}
		u.toldAt = now
		c.logTask(u.tasks[0]).WithFields(logrus.Fields{"waited_ms": r.WaitTime.Milliseconds(), "tasks": r.Count, "gang": r.Gang, "same_rack": r.Step.SameRack,
			"accelerators_each": r.Step.Need.Accelerators, "within_guarantee": r.WithinGuarantee, "usable_workers": usable, "free_accelerators": free,
			"kept_cores": int(in.Headroom), "ahead": i,
			"priority": r.Priority, "standing": c.standing(u.job, now).String(), "preemptions": u.preemptions}).Info("still waiting for room")
	}
}

// usableRoom returns the room of the workers that may get new work, in core equivalents.
func usableRoom(workers []placement.Worker) float64 {
	sum := 0.0
	for _, w := range workers {
		if w.Usable {
			sum += w.Capacity.CoreEquivalents()
		}
	}
	return sum
}

func (c *Core) placeAll(in *planInput, p placement.Placement, now time.Duration) {
	units := in.units[p.Request]
	if in.Requests[p.Request].Gang {
		workers := make([]*worker, len(p.Workers))
		for i, w := range p.Workers {
			workers[i] = in.workers[w]
		}
		c.place(units[0], workers, now)
		return
	}
	for i, w := range p.Workers {
		c.place(units[i], []*worker{in.workers[w]}, now)
	}
}

func (c *Core) addWorkers(in *planInput, service string, now time.Duration) {
	for _, w := range c.sortedWorkers() {
		if w.Service != service {
			continue
		}
		used, ending, lasting := batch.Resources{}, batch.Resources{}, batch.Resources{}
		serving, filling := false, false
		for _, o := range w.occupants {
			used = used.Plus(o.need)
			if o.task == nil || o.task.phase == stopping {
				ending = ending.Plus(o.need)
			} else {
				if o.task.unit.spec().LongRunning {
					lasting = lasting.Plus(o.need)
				}
				serving = serving || o.task.unit.spec().LatencyTarget > 0
				filling = filling || o.task.unit.spec().BestEffort
			}
		}
		free := w.Capacity.Minus(used)
		in.index[w.ID] = len(in.workers)
		in.workers = append(in.workers, w)
		in.Workers = append(in.Workers, placement.Worker{ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: free,
			FutureFree: free.Plus(ending), EventuallyFree: w.Capacity.Minus(lasting), Usable: c.usable(w, now), HealthPenalty: w.health.doubt,
			LatencySensitive: serving, BestEffort: filling})
	}
}

// usable reports whether a worker may get new work.
func (c *Core) usable(w *worker, now time.Duration) bool {
	return w.registered && !w.Draining && !w.gone && !c.closing[w.ID] && w.contacted && !w.silent && now >= w.fullUntil && w.health.trusted(now)
}

func (c *Core) addRuns(in *planInput, within map[*job]bool, now time.Duration) {
	for _, j := range c.live {
		if j.Queue.Priority == 0 && within[j] {
			continue
		}
		for _, steps := range j.steps {
			for _, s := range steps {
				for _, u := range s.units {
					if u.active() && !u.finished {
						c.addRun(in, u, now)
					}
				}
			}
		}
	}
}

func (c *Core) addRun(in *planInput, u *unit, now time.Duration) {
	run := placement.Run{ID: u.id, Team: u.job.Team, Priority: u.job.Queue.Priority,
		NonPreemptible: u.spec().MaxUnavailable > 0} // its step bounds how many tasks may be away
	for _, t := range u.tasks {
		i, ok := in.index[t.worker]
		if !ok || t.phase == stopping {
			return
		}
		run.Parts = append(run.Parts, placement.Part{Worker: i, Need: u.spec().Need})
		run.LostWork += c.lossOf(t, now)
	}
	in.Runs = append(in.Runs, run)
	in.runs = append(in.runs, u)
}

// lossOf returns the core-seconds that stopping a run throws away. A run that saves its progress when it is stopped loses only the restart.
func (c *Core) lossOf(t *task, now time.Duration) float64 {
	if !t.phase.located() {
		return 0
	}
	spec := t.unit.spec()
	lost := (now - t.startedAt).Seconds()
	if spec.Checkpoints {
		lost = min(lost, c.bounds.StopMax.Seconds())
	}
	return lost * spec.Need.CoreEquivalents()
}

func (c *Core) addRequests(in *planInput, ready []*unit, within map[*job]bool, now time.Duration) {
	slices.SortStableFunc(ready, func(a, b *unit) int { return c.compareUnits(a, b, within) })
	for i := 0; i < len(ready); {
		n := 1
		for i+n < len(ready) && sameStep(ready[i], ready[i+n]) {
			n++
		}
		c.addRequest(in, ready[i:i+n], within, now)
		i += n
	}
}

// compareUnits orders units by urgency: priority, then claims within a guarantee, then jobs that can still meet their objective, then age.
func (c *Core) compareUnits(a, b *unit, within map[*job]bool) int {
	if a.job == b.job {
		return cmp.Or(cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step), cmp.Compare(len(a.failed), len(b.failed)))
	}
	return cmp.Or(cmp.Compare(a.urgency(), b.urgency()),
		cmp.Compare(rank(within[a.job]), rank(within[b.job])),
		cmp.Compare(rank(c.inTime(a)), rank(c.inTime(b))),
		cmp.Compare(a.job.AcceptedMS, b.job.AcceptedMS), cmp.Compare(a.job.seq, b.job.seq))
}

// urgency is the priority of a unit's job, but a long-running task that was interrupted comes right after urgent work: it is owed at all
// times, whatever its priority.
func (u *unit) urgency() float64 {
	if p := u.job.Queue.Priority; p == 0 || !u.spec().LongRunning || u.run == 0 {
		return float64(p)
	}
	return 0.5
}

func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}

func sameStep(a, b *unit) bool {
	return !a.gang && a.job == b.job && a.occurrence == b.occurrence && a.step == b.step && len(a.avoid) == 0 && len(b.avoid) == 0
}

func (c *Core) addRequest(in *planInput, units []*unit, within map[*job]bool, now time.Duration) {
	u := units[0]
	spec := u.spec()
	waited := now - u.readySince
	r := placement.Request{ID: u.id, Team: u.job.Team, Priority: u.job.Queue.Priority, WithinGuarantee: within[u.job], Step: spec,
		Count: len(units), Gang: u.gang, MayPreempt: u.job.Queue.Priority == 0, WaitTime: waited}
	if u.gang {
		r.Count = len(u.tasks)
	}
	r.MaySpanRacks = r.MayPreempt && waited > spreadAfter
	r.PreemptionBudget = c.budget(u, within[u.job], waited)
	r.BestEffort = spec.Checkpoints && u.job.Queue.Priority > 1
	r.TasksPerWorker = c.usedBy(in, u)
	r.AvoidedWorkers = c.avoidOf(in, u)
	r.AllowedWorkers = c.allowedOn(in, u, now)
	in.Requests = append(in.Requests, r)
	in.units = append(in.units, units)
}

// usedBy counts the tasks of the unit's step on each worker, where their number is limited. All requests of a step share the counts, which
// the plan keeps up to date.
func (c *Core) usedBy(in *planInput, u *unit) map[int]int {
	if u.spec().MaxPerWorker == 0 {
		return nil
	}
	step := u.job.steps[u.occurrence][u.step]
	if counts, ok := in.used[step]; ok {
		return counts
	}
	out := map[int]int{}
	for i, w := range in.workers {
		for k, o := range w.occupants {
			id, ok := batch.ParseTaskID(k.task)
			if ok && o != nil && id.Job == u.job.ID && id.Occurrence == u.occurrence && id.Step == u.step {
				out[i]++
			}
		}
	}
	in.used[step] = out
	return out
}

// avoidOf returns the workers on which the unit failed, unless hardly any others are left.
func (c *Core) avoidOf(in *planInput, u *unit) map[int]bool {
	if len(u.avoid) == 0 || 2*len(u.avoid) > len(in.workers) {
		return nil
	}
	out := map[int]bool{}
	for id := range u.avoid {
		if i, ok := in.index[id]; ok {
			out[i] = true
		}
	}
	return out
}

package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/fairshare"
	"samphirewell/internal/placement"
	"samphirewell/internal/runtimes"
	"samphirewell/internal/speed"
	"samphirewell/internal/waitcost"
)

// Bounds are the limits that workers and operators set.
type Bounds struct {
	LeaseMax time.Duration // longest lease that a worker grants
	StopMax  time.Duration // longest time that stopping a run takes
	// FarFactor is how many times as long a task takes away from the rack that its step prefers; 0 if that is not known.
	FarFactor float64
	// Evacuation is the time from the acknowledged request to evacuate a failure domain after which nothing may start there; 0 if evacuations aren't offered.
	Evacuation time.Duration
}

const (
	// authorityAfterCommit is how long a leader may act after it sent its last successful write. This bridges short outages of the table; leases that
	// are renewed just before it ends bridge longer ones.
	authorityAfterCommit = 4 * time.Second
	// minClockRate is the slowest rate of a worker's clock relative to the leader's.
	minClockRate = 0.98
	// endedRetention is how long the state of an ended job is kept: longer than callers may query it (120 s) and than a repeated submission can be
	// delayed. It is measured on the leader's monotonic clock and restarts with each leader.
	endedRetention = 10 * time.Minute
	// stateCleanupInterval is the period of the search for expired states.
	stateCleanupInterval = 10 * time.Second
	// leaseExpiryMargin is added to computed lease ends, because timers may fire late.
	leaseExpiryMargin = 100 * time.Millisecond
)

// Core is the state of the leading host. It isn't safe for concurrent use.
type Core struct {
	// preemptionBudget returns the work that preemptions may discard so that a task group can start now, in core-seconds.
	preemptionBudget func(g *taskGroup, withinGuarantee bool, waited time.Duration) float64
	// planner makes the decisions of one scheduling cycle of a service.
	planner func(placement.Input) placement.Decision
	// expectedRunTime returns the expected run time of a task of a step.
	expectedRunTime func(j *batch.Job, step int) time.Duration
	// waitOrder orders the waiting jobs of a priority.
	waitOrder waitcost.Order

	epoch     uint64
	bounds    Bounds
	log       logrus.FieldLogger
	policy    *batch.Policy
	jobs      map[string]*job
	liveJobs  []*job // jobs whose state isn't terminal, in order of arrival
	endedJobs map[string]endedJob
	workers   map[string]*worker
	byID      []*worker // workers in the order of their ids
	nextSeq   int       // seq of the next job

	tracking             taskTracking
	rows                 rowQueue
	orders               []Order
	pollWakeups          []string        // workers whose polling goroutine has to be woken
	finalized            []FinalizedJob  // ended jobs whose submission may be replaced by a tombstone
	forgotten            []string        // ids of jobs whose state is no longer kept
	dirty                bool            // something changed since the last plan
	startsDisabled       bool            // no more starts, maintenance orders and advice requests
	workersStale         bool            // the capacities of workers may have changed unnoticed
	operatorStale        bool            // an evacuation may have been requested unnoticed
	evacuations          map[string]bool // failure domains that are evacuated; replaced as a whole
	deposed              bool
	runTimes             *runtimes.Estimates
	placesBySpeed        map[string]bool // services whose work is placed by the speed of workers, see addSlowness
	speed                *speed.Model
	trueSlowness         func(worker string) float64 // replaces the estimates of speed; see SetSlowness
	urgentDemand         urgentDemand
	shares               map[shareKey]*fairshare.Tracker
	sharesDisabled       bool
	ampleSince           map[string]time.Duration // since when the capacity of a service has been ample
	lastStateCleanup     time.Duration
	prioritiesLoggedAt   time.Duration
	failures             []time.Duration // when workers stopped responding
	suspectedStartAt     time.Duration   // when a task group that is suspected to crash workers was last placed
	counts               Counts
	waves                map[string]*wave
	storedWaves          map[string]waveValue // stored waves that SetWaves has not been called with yet
	machines             map[string]batch.Machine
	machinesAt           time.Duration // when the list of machines was requested
	maintenance          []Maintenance
	closedForMaintenance map[string]bool          // workers that are being drained for maintenance
	nextAdviceAt         map[string]time.Duration // when each requester may send its next advice request, by address
	timeOfDayMS          int64                    // time of day of the last Tick, Unix milliseconds
	now                  time.Duration            // time of the current call
}

// New returns the core of a new leader. now is the time at which its epoch was stored.
func New(epoch uint64, policy *batch.Policy, bounds Bounds, log logrus.FieldLogger) *Core {
	c := &Core{epoch: epoch, bounds: bounds, log: log, policy: policy, jobs: map[string]*job{}, endedJobs: map[string]endedJob{},
		workers: map[string]*worker{}, rows: rowQueue{queued: map[rowID]*pendingRow{}}, tracking: taskTracking{byTeam: map[string]int{}}, dirty: true, runTimes: runtimes.New(), placesBySpeed: map[string]bool{}, speed: speed.New(), nextAdviceAt: map[string]time.Duration{},
		counts: newCounts(), waves: map[string]*wave{}, storedWaves: map[string]waveValue{}, ampleSince: map[string]time.Duration{}, shares: map[shareKey]*fairshare.Tracker{}}
	c.preemptionBudget, c.planner, c.expectedRunTime, c.waitOrder = c.preemptionBudgetOf, placement.Plan, c.learnedRunTime, waitcost.ByValue
	return c
}

// endedJob is a job whose end is stored.
type endedJob struct {
	queue string
	state batch.State
	at    time.Duration // when the end was stored, or when this leader took over
}

// SetPlanner replaces the placement of tasks, for comparisons of policies.
func (c *Core) SetPlanner(plan func(placement.Input) placement.Decision) { c.planner = plan }

// learnedRunTime returns the run time of a task of a step on the mean worker that earlier tasks and the caller's estimate suggest.
func (c *Core) learnedRunTime(j *batch.Job, step int) time.Duration {
	return c.runTimes.Expect(j.Queue.Name, j.Steps[step].Estimate)
}

// SetRunTimes replaces the estimates of run times, for comparisons of policies.
func (c *Core) SetRunTimes(expect func(j *batch.Job, step int) time.Duration) {
	c.expectedRunTime = expect
}

// SetOrder replaces the order of the waiting jobs of a priority, for comparisons of policies.
func (c *Core) SetOrder(order waitcost.Order) { c.waitOrder = order }

// Epoch returns the leader's epoch.
func (c *Core) Epoch() uint64 { return c.epoch }

// Deposed reports whether a worker or a machine refused a call of this leader because it has seen a newer leader.
func (c *Core) Deposed() bool { return c.deposed }

// StopStarting ends the starting of tasks and maintenance and the requests to the adviser, before the host releases leadership.
func (c *Core) StopStarting() { c.startsDisabled = true }

// SetWorkersStale sets whether the list of workers is so old that their capacities may have changed unnoticed. Then nothing starts in services whose
// workers don't enforce their capacity.
func (c *Core) SetWorkersStale(on bool) {
	if c.workersStale != on {
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "stale": on}).Info("age of the list of workers changed")
		c.workersStale, c.dirty = on, true
	}
}

// mayStartIn reports whether what is known of evacuations and of the workers of a service suffices to start tasks there.
func (c *Core) mayStartIn(service string) bool {
	return !c.operatorStale && (!c.workersStale || c.policy.EnforcesCapacity(service))
}

// SetBounds sets new limits. Leases that were renewed under a longer limit keep their ends.
func (c *Core) SetBounds(b Bounds) { c.bounds = b }

// SetPolicy sets the configuration if its version is newer than that of the current one.
func (c *Core) SetPolicy(p *batch.Policy) {
	if c.policy == nil || p.Version > c.policy.Version {
		c.policy = p
		c.dirty = true
	}
}

// TakeOrders returns the orders to send now.
func (c *Core) TakeOrders() []Order {
	out := c.orders
	c.orders = nil
	return out
}

// FinalizedJob identifies a job whose end is stored.
type FinalizedJob struct{ ID, Queue string }

// TakeFinalized returns and clears the jobs whose end has been stored since the last call.
func (c *Core) TakeFinalized() []FinalizedJob {
	out := c.finalized
	c.finalized = nil
	return out
}

// JobState is the state of a job as the leader reports it.
type JobState struct {
	Tracked bool
	Queue   string
	State   batch.State
	Storing bool // the job has ended, but that is not stored yet; State is the state before the end
}

// JobState returns the state of a job. An end that isn't stored yet is not reported: the worker that ran the last task may disappear with the only
// record of the end, and the next leader would run the task again.
func (c *Core) JobState(id string) JobState {
	if e, ended := c.endedJobs[id]; ended {
		return JobState{Tracked: true, Queue: e.queue, State: e.state}
	}
	j := c.jobs[id]
	if j == nil {
		return JobState{}
	}
	if j.state.Terminal() {
		return JobState{Tracked: true, Queue: j.Queue.Name, State: batch.Running, Storing: true}
	}
	return JobState{Tracked: true, Queue: j.Queue.Name, State: j.state}
}

// TakeForgotten returns the ids of jobs whose state is no longer kept.
func (c *Core) TakeForgotten() []string {
	out := c.forgotten
	c.forgotten = nil
	return out
}

// deleteOldStates deletes the states of jobs that ended more than endedRetention ago.
func (c *Core) deleteOldStates(now time.Duration) {
	if now-c.lastStateCleanup < stateCleanupInterval {
		return
	}
	c.lastStateCleanup = now
	for id, e := range c.endedJobs {
		if now-e.at < endedRetention {
			continue
		}
		delete(c.endedJobs, id)
		c.remove(stateRow(id))
		c.afterStored(stateRow(id), func() { c.forgotten = append(c.forgotten, id) })
	}
}

// AddJob adds an accepted job. Adding a job again has no effect.
func (c *Core) AddJob(j batch.Job, now time.Duration) {
	c.now = now
	if c.jobs[j.ID] != nil {
		return
	}
	if _, ended := c.endedJobs[j.ID]; ended {
		return
	}
	n := c.insert(j, now)
	c.put(stateRow(j.ID))
	c.logJob(n).WithField("age_ms", ageOf(&j, c.wallMS()).Milliseconds()).Info("job queued")
	c.openSteps(n, now)
}

func (c *Core) insert(j batch.Job, now time.Duration) *job {
	n := &job{Job: j, seq: c.nextSeq, state: batch.Pending, acceptedAt: now}
	c.nextSeq++
	n.occurrencesLeft = j.Occurrences()
	c.jobs[j.ID] = n
	c.liveJobs = append(c.liveJobs, n)
	c.dirty = true
	return n
}

// Cancel ends a job at its caller's request. The cancel request is stored already, so a new leader cancels the job again.
func (c *Core) Cancel(id string, now time.Duration) {
	c.now = now
	j := c.jobs[id]
	if j == nil || j.ending() {
		return
	}
	j.cancelled = true
	c.logJob(j).Info("job cancelled")
	c.finish(j, batch.Cancelled, now)
}

// finish sets a terminal state and stops the job's runs.
func (c *Core) finish(j *job, s batch.State, now time.Duration) {
	j.state, j.endedAt = s, now
	status := c.objectiveStatus(j, now)
	c.counts.Jobs[JobKey{string(s), j.Queue.Priority, status.String()}]++
	c.put(stateRow(j.ID))
	c.afterStored(stateRow(j.ID), func() { c.finalizeJob(j) })
	c.logJob(j).WithFields(logrus.Fields{"after_ms": (now - j.acceptedAt).Milliseconds(), "objective_ms": c.objective(j).Milliseconds(), "standing": status.String()}).Info("job ended")
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, g := range s.groups {
				c.stopGroup(g, now, "job_ended")
			}
		}
	}
	c.dirty = true
}

// finalizeJob drops a job whose end is stored, keeps only its final state, and deletes its task rows.
func (c *Core) finalizeJob(j *job) {
	c.endedJobs[j.ID] = endedJob{j.Queue.Name, j.state, c.now}
	delete(c.jobs, j.ID)
	for i, l := range c.liveJobs {
		if l == j {
			c.liveJobs = append(c.liveJobs[:i], c.liveJobs[i+1:]...)
			break
		}
	}
	for _, o := range j.occurrences {
		c.untrack(j, o)
		c.removeTaskRows(j, o)
	}
	c.finalized = append(c.finalized, FinalizedJob{j.ID, j.Queue.Name})
}

func (c *Core) logJob(j *job) *logrus.Entry {
	return c.log.WithFields(logrus.Fields{"epoch": c.epoch, "job": j.ID, "queue": j.Queue.Name, "team": j.Team, "state": string(j.state), "priority": j.Queue.Priority})
}

// openSteps creates the tasks of steps whose predecessors are done and whose scheduled time has come, unless the leader tracks too many tasks.
func (c *Core) openSteps(j *job, now time.Duration) {
	if j.ending() {
		return
	}
	c.openDueOccurrences(j)
	for _, o := range j.occurrences {
		for i, s := range o.steps {
			if !s.opened && o.predecessorsDone(&j.Steps[i]) && c.mayTrack(j, s, &j.Steps[i]) {
				c.openStep(j, o, i, now)
			}
		}
	}
}

func (c *Core) openStep(j *job, o *occurrence, step int, now time.Duration) {
	s, spec := o.steps[step], &j.Steps[step]
	s.opened, s.openedAt, s.waiting = true, now, spec.Tasks
	s.stored = make([]bool, (spec.Tasks+tasksPerRow-1)/tasksPerRow)
	c.dirty = true
	ready := now
	if len(spec.After) == 0 && j.Schedule == nil {
		ready = j.acceptedAt
	}
	if spec.Gang {
		s.groups = []*taskGroup{newTaskGroup(j, o, step, 0, spec.Tasks, ready)}
		return
	}
	for i := range spec.Tasks {
		s.groups = append(s.groups, newTaskGroup(j, o, step, i, 1, ready))
	}
}

func newTaskGroup(j *job, o *occurrence, step, first, count int, now time.Duration) *taskGroup {
	g := &taskGroup{job: j, occurrence: o.index, step: step, state: o.steps[step], gang: j.Steps[step].Gang, readySince: now, avoidedWorkers: map[string]bool{}}
	for i := first; i < first+count; i++ {
		id := batch.TaskID{Job: j.ID, Occurrence: o.index, Step: step, Index: i}
		g.tasks = append(g.tasks, &task{id: id, name: id.String(), group: g})
	}
	g.id = g.tasks[0].name
	return g
}

// task returns the task with the name, or nil.
func (c *Core) task(name string) *task {
	id, ok := batch.ParseTaskID(name)
	if !ok {
		return nil
	}
	j := c.jobs[id.Job]
	if j == nil || id.Step >= len(j.Steps) {
		return nil
	}
	o := j.occurrence(id.Occurrence)
	if o == nil {
		return nil
	}
	groups := o.steps[id.Step].groups
	if j.Steps[id.Step].Gang {
		if len(groups) == 1 && id.Index < len(groups[0].tasks) {
			return groups[0].tasks[id.Index]
		}
		return nil
	}
	if id.Index >= len(groups) {
		return nil
	}
	return groups[id.Index].tasks[0]
}

// wallMS returns the time of day of the last Tick, in Unix milliseconds. Schedules refer to the time of day.
func (c *Core) wallMS() int64 { return c.timeOfDayMS }

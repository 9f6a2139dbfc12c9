package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/placement"
)

// Bounds are the limits that workers and operators set.
type Bounds struct {
	LeaseMax time.Duration // longest lease that a worker grants
	StopMax  time.Duration // longest time that a stop takes
}

const (
	// authorityAfterCommit is how long a leader acts after the sending of its last successful write. It bridges short outages
	// of the table; leases that were renewed at its end bridge longer ones.
	authorityAfterCommit = 4 * time.Second
	// clockRate is the slowest rate of a worker's clock relative to ours.
	clockRate = 0.98
	// keepEnded is how long the state of an ended job is kept: longer than callers may ask for it (120 s) and than a
	// repeated submission may be on its way. It is measured on the steady clock, and begins anew with each leader.
	keepEnded = 10 * time.Minute
	// forgetEvery is the period in which old states are looked for.
	forgetEvery = 10 * time.Second
	// lapseMargin is added to computed ends of leases, for timers that fire late.
	lapseMargin = 100 * time.Millisecond
)

// Core is the state of the leading host. It isn't safe for concurrent use.
type Core struct {
	// budget returns the work that a unit may throw away to start now, in core-seconds.
	budget func(u *unit, within bool, waited time.Duration) float64
	// planner decides one cycle of a service.
	planner func(placement.Input) placement.Decision
	// runTime returns the expected run time of a task of a step.
	runTime func(j *batch.Job, step int) time.Duration

	epoch   uint64
	bounds  Bounds
	log     logrus.FieldLogger
	policy  *batch.Policy
	jobs    map[string]*job
	live    []*job // jobs whose state isn't terminal, in order of arrival
	ended   map[string]endedJob
	workers map[string]*worker
	seq     int

	rows        rowQueue
	effects     []effect
	orders      []Order
	wakes       []string       // workers whose reading has to go on
	retire      []FinalizedJob // ended jobs whose submission may be replaced by a tombstone
	forget      []string       // ids of jobs of which nothing is kept any more
	dirty       bool           // something changed since the last plan
	freeze      bool           // no new starts
	deposed     bool
	times       runTimes
	demand      demand
	forgotAt    time.Duration
	counts      Counts
	waves       map[string]*wave
	storedWaves map[string]waveValue // rows of waves that no operator has named yet
	machines    map[string]batch.Machine
	machinesAt  time.Duration // when the list of machines was asked for
	maintenance []Maintenance
	closing     map[string]bool          // workers that are emptied for maintenance
	asking      map[string]time.Duration // when each asker may put the next question to the adviser
	wall        int64                    // time of day of the last Tick, Unix milliseconds
	now         time.Duration            // of the present call
}

// New returns the core of a new leader. now is the time at which its epoch was stored.
func New(epoch uint64, policy *batch.Policy, bounds Bounds, log logrus.FieldLogger) *Core {
	c := &Core{epoch: epoch, bounds: bounds, log: log, policy: policy, jobs: map[string]*job{}, ended: map[string]endedJob{},
		workers: map[string]*worker{}, rows: rowQueue{marked: map[rowID]bool{}}, dirty: true, times: runTimes{}, asking: map[string]time.Duration{},
		counts: newCounts(), waves: map[string]*wave{}, storedWaves: map[string]waveValue{}}
	c.budget, c.planner, c.runTime = c.budgetOf, placement.Plan, c.times.expect
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

// SetRunTimes replaces the estimates of run times, for comparisons of policies.
func (c *Core) SetRunTimes(expect func(j *batch.Job, step int) time.Duration) { c.runTime = expect }

// Epoch returns the leader's epoch.
func (c *Core) Epoch() uint64 { return c.epoch }

// Deposed reports whether a worker or the table has shown a newer leader.
func (c *Core) Deposed() bool { return c.deposed }

// StopStarting ends the starting of tasks and maintenance and the requests to the adviser, before the host gives up leadership.
func (c *Core) StopStarting() { c.freeze = true }

// SetBounds takes new limits of workers. Leases that were renewed under a longer limit keep their ends.
func (c *Core) SetBounds(b Bounds) { c.bounds = b }

// SetPolicy takes a new configuration.
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
	out := c.retire
	c.retire = nil
	return out
}

// JobState is what the leader says about a job.
type JobState struct {
	Known   bool
	Queue   string
	State   batch.State
	Storing bool // the job has ended and its end is about to be stored; State is that before the end
}

// JobState returns the state of a job. An end that isn't stored yet is not told: the worker that ran the last task may leave with the only proof of it,
// and the next leader would run the task again.
func (c *Core) JobState(id string) JobState {
	if e, over := c.ended[id]; over {
		return JobState{Known: true, Queue: e.queue, State: e.state}
	}
	j := c.jobs[id]
	if j == nil {
		return JobState{}
	}
	if j.state.Terminal() {
		return JobState{Known: true, Queue: j.Queue.Name, State: batch.Running, Storing: true}
	}
	return JobState{Known: true, Queue: j.Queue.Name, State: j.state}
}

// TakeForgotten returns the ids of jobs whose state is no longer kept.
func (c *Core) TakeForgotten() []string {
	out := c.forget
	c.forget = nil
	return out
}

// forgetOld deletes the states of jobs that ended long ago.
func (c *Core) forgetOld(now time.Duration) {
	if now-c.forgotAt < forgetEvery {
		return
	}
	c.forgotAt = now
	for id, e := range c.ended {
		if now-e.at < keepEnded {
			continue
		}
		delete(c.ended, id)
		c.rows.remove(stateRow(id))
		c.afterStored(stateRow(id), func() { c.forget = append(c.forget, id) })
	}
}

// AddJob takes in an accepted job. Adding a known job again has no effect.
func (c *Core) AddJob(j batch.Job, now time.Duration) {
	if c.jobs[j.ID] != nil {
		return
	}
	if _, over := c.ended[j.ID]; over {
		return
	}
	n := c.insert(j, now)
	c.rows.mark(stateRow(j.ID))
	c.logJob(n).Info("job queued")
	c.openSteps(n, now)
}

func (c *Core) insert(j batch.Job, now time.Duration) *job {
	n := &job{Job: j, seq: c.seq, state: batch.Pending, known: now}
	c.seq++
	n.stepsLeft = j.Occurrences() * len(j.Steps)
	n.steps = make([][]*stepState, j.Occurrences())
	for k := range n.steps {
		n.steps[k] = make([]*stepState, len(j.Steps))
		for i, s := range j.Steps {
			n.steps[k][i] = &stepState{left: s.Tasks}
		}
	}
	c.jobs[j.ID] = n
	c.live = append(c.live, n)
	c.dirty = true
	return n
}

// Cancel ends a job for its caller. The stored cancel request is the proof that it lasts.
func (c *Core) Cancel(id string, now time.Duration) {
	j := c.jobs[id]
	if j == nil || j.ending() {
		return
	}
	j.cancelled = true
	c.logJob(j).Info("job cancelled")
	c.finish(j, batch.Cancelled, now)
}

// finish sets a terminal state and ends what still runs.
func (c *Core) finish(j *job, s batch.State, now time.Duration) {
	j.state, j.endedAt = s, now
	standing := c.standing(j, now)
	c.counts.Jobs[JobKey{string(s), j.Queue.Priority, standing.String()}]++
	c.rows.mark(stateRow(j.ID))
	c.afterStored(stateRow(j.ID), func() { c.retireJob(j) })
	c.logJob(j).WithFields(logrus.Fields{"after_ms": (now - j.known).Milliseconds(), "objective_ms": c.objective(j).Milliseconds(), "standing": standing.String()}).Info("job ended")
	for _, steps := range j.steps {
		for _, s := range steps {
			for _, u := range s.units {
				c.stopUnit(u, now, "job_ended")
			}
		}
	}
	c.dirty = true
}

// retireJob forgets a job whose end is stored, and deletes its task rows.
func (c *Core) retireJob(j *job) {
	c.ended[j.ID] = endedJob{j.Queue.Name, j.state, c.now}
	delete(c.jobs, j.ID)
	for i, l := range c.live {
		if l == j {
			c.live = append(c.live[:i], c.live[i+1:]...)
			break
		}
	}
	for k, steps := range j.steps {
		for s, st := range steps {
			if st.opened {
				for chunk := 0; chunk*chunkTasks < j.Steps[s].Tasks; chunk++ {
					c.rows.remove(rowID{kind: taskRows, job: j.ID, occurrence: k, step: s, chunk: chunk})
				}
			}
		}
	}
	c.retire = append(c.retire, FinalizedJob{j.ID, j.Queue.Name})
}

func (c *Core) logJob(j *job) *logrus.Entry {
	return c.log.WithFields(logrus.Fields{"epoch": c.epoch, "job": j.ID, "queue": j.Queue.Name, "team": j.Team, "state": string(j.state), "priority": j.Queue.Priority})
}

// openSteps makes tasks of the steps whose predecessors are done and whose time has come.
func (c *Core) openSteps(j *job, now time.Duration) {
	if j.ending() {
		return
	}
	for k, steps := range j.steps {
		for i, s := range steps {
			if !s.opened && c.mayOpen(j, k, i) {
				c.openStep(j, k, i, now)
			}
		}
	}
}

func (c *Core) mayOpen(j *job, k, step int) bool {
	if due := j.Due(k); due > 0 && due > c.wallMS() {
		return false
	}
	for _, a := range j.Steps[step].After {
		if j.steps[k][a].left > 0 {
			return false
		}
	}
	return true
}

func (c *Core) openStep(j *job, k, step int, now time.Duration) {
	s, spec := j.steps[k][step], &j.Steps[step]
	s.opened, s.openedAt = true, now
	c.dirty = true
	ready := now
	if len(spec.After) == 0 && j.Schedule == nil {
		ready = j.known
	}
	if spec.Gang {
		s.units = []*unit{newUnit(j, k, step, 0, spec.Tasks, ready)}
		return
	}
	for i := range spec.Tasks {
		s.units = append(s.units, newUnit(j, k, step, i, 1, ready))
	}
}

func newUnit(j *job, k, step, first, count int, now time.Duration) *unit {
	u := &unit{job: j, occurrence: k, step: step, gang: j.Steps[step].Gang, readySince: now, avoid: map[string]bool{}}
	for i := first; i < first+count; i++ {
		id := batch.TaskID{Job: j.ID, Occurrence: k, Step: step, Index: i}
		u.tasks = append(u.tasks, &task{id: id, name: id.String(), unit: u})
	}
	u.id = u.tasks[0].name
	return u
}

// task returns the task with the name, or nil.
func (c *Core) task(name string) *task {
	id, ok := batch.ParseTaskID(name)
	if !ok {
		return nil
	}
	j := c.jobs[id.Job]
	if j == nil || id.Occurrence >= len(j.steps) || id.Step >= len(j.Steps) {
		return nil
	}
	units := j.steps[id.Occurrence][id.Step].units
	if j.Steps[id.Step].Gang {
		if len(units) == 1 && id.Index < len(units[0].tasks) {
			return units[0].tasks[id.Index]
		}
		return nil
	}
	if id.Index >= len(units) {
		return nil
	}
	return units[id.Index].tasks[0]
}

// wallMS is set by Tick; schedules are measured in time of day.
func (c *Core) wallMS() int64 { return c.wall }

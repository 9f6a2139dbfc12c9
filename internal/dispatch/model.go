// Package dispatch is the decision core of the leading host: it tracks all jobs, tasks and workers, and turns the reports that it receives into rows
// to store and orders to workers. The core does no I/O and reads no clock; times are durations since an arbitrary start.
package dispatch

import (
	"time"

	"samphirewell/internal/batch"
)

// phase is the execution phase of a task.
type phase uint8

const (
	waiting  phase = iota // has no run
	assigned              // a worker was chosen; the start is ordered once that is stored
	ordered               // the start was ordered and may have been carried out
	running               // the worker lists the run or has confirmed the start
	stopping              // a stop was ordered; the run may still exist
	done
)

// mayBeRunning reports whether a run of the task may exist on its worker.
func (p phase) mayBeRunning() bool { return p == ordered || p == running || p == stopping }

// task is one task of a step.
type task struct {
	id    batch.TaskID
	name  string
	group *taskGroup
	phase phase

	worker      string // of the current or last run
	incarnation int64
	checkpoint  string      // newest reported checkpoint; empty means none
	crashes     []taskCrash // of workers, as evidence against the task

	percent            int
	percentChangedAt   time.Duration // when percent last changed
	progressAt         time.Duration // when percent or the reported checkpoint last changed
	reportedCheckpoint string        // in the newest report of the run
	startedAt          time.Duration // when the run was confirmed; of an inherited run an estimate from its progress
	resumed            bool          // the run started from a checkpoint
	startPercent       int           // of a resumed run: its first reported progress
	startPercentAt     time.Duration // when startPercent was reported
	inherited          bool          // an earlier leader started the run
	confirmed          bool          // the worker has confirmed the start or lists the run
	confirmedAt        time.Duration // when the start was confirmed; a report requested later lists the run if it exists
	stopConfirmed      bool
	stopOrderedAt      time.Duration // when a stop was ordered last
}

// taskGroup is a gang or a single task: the tasks that start and stop as a whole.
type taskGroup struct {
	id             string
	job            *job
	occurrence     int
	step           int
	state          *stepState // of its step and occurrence
	tasks          []*task
	gang           bool
	run            int   // number of the current or last run
	failedRuns     []int // runs that failed; of a long-running task the last ones only
	restarts       restartDelay
	hangs          int  // runs that were stopped because they made no progress
	suspectedRun   int  // run from which the group is suspected to crash workers; 0 if it isn't
	startedApart   bool // nothing else starts on its workers at the time of the current run, since it is suspected
	avoidedWorkers map[string]bool
	readySince     time.Duration
	waitLoggedAt   time.Duration // when its wait was last logged
	progressFrom   progressStart // of the newest run that shows the speed of its workers
	finished       bool

	preemptions int // under this leader
}

func (g *taskGroup) spec() *batch.Step { return &g.job.Steps[g.step] }

// inUse reports whether a run of the task is assigned or may exist.
func (p phase) inUse() bool { return p == assigned || p.mayBeRunning() }

// setPhase changes the phase of a task.
func (c *Core) setPhase(t *task, p phase) {
	s := t.group.state
	s.count(t.phase, -1)
	s.count(p, 1)
	t.phase = p
	c.invalidateView(t.worker)
}

// count adds n to the number of tasks of the step in a phase.
func (s *stepState) count(p phase, n int) {
	switch {
	case p == waiting:
		s.waiting += n
	case p.inUse():
		s.active += n
	}
}

// setAlloc records the allocation of a run on a worker.
func (w *worker) setAlloc(k runKey, a *alloc) {
	w.allocs[k] = a
	w.view = nil
}

// removeAlloc removes the allocation of a run from a worker.
func (w *worker) removeAlloc(k runKey) {
	delete(w.allocs, k)
	w.view = nil
}

// detach makes an allocation one of a run that is no longer the current run of a task.
func (w *worker) detach(a *alloc) {
	a.task = nil
	w.view = nil
}

// ready reports whether the group may be placed.
func (g *taskGroup) ready() bool {
	if g.finished || g.job.ending() {
		return false
	}
	for _, t := range g.tasks {
		if t.phase != waiting {
			return false
		}
	}
	return true
}

// active reports whether a task of the group is assigned or may be running.
func (g *taskGroup) active() bool {
	for _, t := range g.tasks {
		if t.phase.inUse() {
			return true
		}
	}
	return false
}

// stepState is the state of a step in one occurrence of its job.
type stepState struct {
	opened    bool
	tasksLeft int // tasks that aren't done
	waiting   int // tasks without a run that aren't done
	active    int // tasks that are assigned or may be running
	groups    []*taskGroup
	stored    []bool      // rows of tasks that are or may be stored, by chunk; see tasksPerRow
	lane      lane        // set while the step is open
	held      bool        // it had to wait for a lane
	advice    *stepAdvice // set for jobs whose starts need tickets, after the first advice request
	openedAt  time.Duration
}

// job is an accepted job.
type job struct {
	batch.Job
	seq        int // order of arrival at this leader
	state      batch.State
	cancelled  bool
	acceptedAt time.Duration // when it was accepted or added by this leader; may be before the start of the clock
	endedAt    time.Duration

	occurrences     []*occurrence // the open ones, by index
	nextOccurrence  int           // index of the first occurrence that has not been opened
	occurrencesLeft int           // occurrences that aren't complete, including those that aren't open yet
}

// ending reports whether the tasks of the job may no longer start.
func (j *job) ending() bool { return j.cancelled || j.state.Terminal() }

// idle reports whether no task of the job is assigned or may be running.
func (j *job) idle() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.active > 0 {
				return false
			}
		}
	}
	return true
}

// runKey identifies one run of a task.
type runKey struct {
	task string
	run  int
}

// alloc is the allocation of a run that may hold resources on a worker. task is nil if the run is no longer the current run of a task.
type alloc struct {
	task *task
	need batch.Resources
	// needUnknown means that the job of the run is no longer tracked. The run may use any part of the worker.
	needUnknown bool
	// startSettled means that the run can't start later: its start was confirmed, or it was stopped, or it was ordered under an older epoch that the
	// worker now refuses.
	startSettled   bool
	startSettledAt time.Duration
	listed         bool          // the current incarnation of the worker has listed it
	runningAt      time.Duration // when a report listed it as running last
	delivered      bool          // no more copies of its start are sent
	stopOrderedAt  time.Duration // when a stop was last ordered for a run without a task
}

// worker is the state of a worker.
type worker struct {
	batch.Worker                   // as its registry entry describes it, except for Incarnation, which is the newest known one
	entryIncarnation int64         // incarnation that the registry entry describes; 0 if the entry doesn't report it
	incarnationAt    time.Duration // when Incarnation was learned or last confirmed by a report
	registered       bool
	drainingSince    time.Duration
	allocs           map[runKey]*alloc

	contacted         bool           // it has responded under the current epoch
	unresponsive      bool           // its last renewal got no response
	failedAt          time.Duration  // when the first of its last renewals without a response failed
	crashSuspects     []crashSuspect // of runs that were starting at failedAt
	flaps             flapRecord     // restarts that no task explains
	failedIncarnation int64          // incarnation at failedAt
	takenDown         bool           // its machine was taken down: no run is left on it, and this incarnation doesn't return
	endedProcess      process        // the newest process that is known to have ended, because another one responded at its address
	lastClock         time.Duration  // the worker's clock in its newest report
	lastContact       time.Duration  // when that report was received
	reportGap         time.Duration  // time between that report and the one before
	loggedSlowness    float64        // estimate in the last log line about its speed; 0 if there is none
	leaseEnd          time.Duration  // on the worker's clock; no run outlasts it
	leasesExpireAt    time.Duration  // on the leader's clock, for a worker that never responded under the current epoch

	appliedEnd uint64 // number of the newest end that was applied
	ackedEnd   uint64 // number of the newest end that may be acknowledged: the effects of all ends up to it are stored
	// forgottenEnd is the number of the newest end that the worker has forgotten after its acknowledgement.
	forgottenEnd uint64
	unackedEnds  []uint64

	renewalDue bool // a renewal that returns immediately is due
	health     health
	fullUntil  time.Duration // no new starts before this time, because it refused one for insufficient capacity

	lastPlacementAt time.Duration // when a run was last placed there
	closedUntil     time.Duration // no new starts before this time, because a suspected task starts there

	view *workerView // nil after a change of the worker or its runs
}

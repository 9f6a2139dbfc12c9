// Package dispatch is the decision core of the leading host: it knows all jobs, tasks and workers, and turns what is reported to it into rows to
// store and orders to workers. The core does no I/O and reads no clock; times are durations since an arbitrary start.
package dispatch

import (
	"time"

	"samphirewell/internal/batch"
)

// phase is where a task is between two starts.
type phase uint8

const (
	waiting  phase = iota // runs nowhere
	assigned              // a worker was chosen; the start isn't ordered before that is stored
	ordered               // the start was ordered and may have been carried out
	running               // the worker lists the run or has confirmed the start
	stopping              // a stop was ordered; the run may still be there
	done
)

// located reports whether a run of the task may exist on its worker.
func (p phase) located() bool { return p == ordered || p == running || p == stopping }

// task is one task of a step.
type task struct {
	id    batch.TaskID
	name  string
	unit  *unit
	phase phase

	worker     string // of the present run
	boot       int64
	checkpoint string // newest known; empty means none

	percent       int
	percentAt     time.Duration // when percent last changed
	startedAt     time.Duration // when the run was confirmed; of an inherited run an estimate from its progress
	startPercent  int
	inherited     bool          // an earlier leader started the run
	confirmed     bool          // the worker has answered the start
	confirmedAt   time.Duration // a list of the worker that was asked for later shows the run, if it is there
	stopConfirmed bool
	stopAt        time.Duration // when a stop was ordered last
}

// unit is what starts and stops as a whole: a gang, or a single task.
type unit struct {
	id         string
	job        *job
	occurrence int
	step       int
	tasks      []*task
	gang       bool
	run        int   // number of the present or last run
	failed     []int // runs that failed
	avoid      map[string]bool
	readySince time.Duration
	toldAt     time.Duration // when the log last said that it waits
	finished   bool

	preemptions int // under this leader
}

func (u *unit) spec() *batch.Step { return &u.job.Steps[u.step] }

// ready reports whether the unit may be placed.
func (u *unit) ready() bool {
	if u.finished || u.job.ending() {
		return false
	}
	for _, t := range u.tasks {
		if t.phase != waiting {
			return false
		}
	}
	return true
}

// active reports whether a task is assigned or may run.
func (u *unit) active() bool {
	for _, t := range u.tasks {
		if t.phase == assigned || t.phase.located() {
			return true
		}
	}
	return false
}

// stepState is a step of one occurrence.
type stepState struct {
	opened   bool
	left     int // tasks that aren't done
	units    []*unit
	advice   *advised // of queues whose workers need a ticket
	openedAt time.Duration
}

// job is an accepted job.
type job struct {
	batch.Job
	seq       int // order of arrival at this leader
	state     batch.State
	cancelled bool
	known     time.Duration // when it was accepted, or when this leader learned of it; may be before the start of the clock
	steps     [][]*stepState
	stepsLeft int
	endedAt   time.Duration
}

// ending reports whether no task of the job may start any more.
func (j *job) ending() bool { return j.cancelled || j.state.Terminal() }

// runKey names one run of a task.
type runKey struct {
	task string
	run  int
}

// occupant is a run that may hold room on a worker. task is nil if it isn't the present run of a task any more.
type occupant struct {
	task *task
	need batch.Resources
	// cleared means that the run can't start later: it was confirmed, stopped, or ordered under an older epoch that the worker refuses by now.
	cleared   bool
	clearedAt time.Duration
	stopAt    time.Duration // when a stop was last ordered for a run without a task
}

// worker is what the core knows of a worker.
type worker struct {
	batch.Worker
	registered    bool
	drainingSince time.Duration
	occupants     map[runKey]*occupant

	contacted bool          // it has answered under the present epoch
	silent    bool          // its last read got no answer
	gone      bool          // its machine was taken down: nothing runs there any more, and it doesn't come back
	clock     time.Duration // of the worker, in its newest answer
	clockAt   time.Duration // when that answer arrived
	leaseEnd  time.Duration // on the worker's clock; no run there lasts longer
	lapseAt   time.Duration // on our clock, for a worker that never answered under this epoch

	seen    uint64 // newest end that was taken into account
	acked   uint64 // newest end whose effects are stored
	unacked []uint64

	holdDue   bool // a read without waiting is wanted
	health    health
	fullUntil time.Duration // it has refused a start for want of room
}

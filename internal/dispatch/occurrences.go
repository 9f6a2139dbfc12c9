package dispatch

import (
	"cmp"
	"slices"
	"time"

	"samphirewell/internal/batch"
)

// maxOpenTasks is the number of tasks up to which further occurrences of a job are opened while earlier ones are unfinished. Beyond it, an occurrence that is
// due waits for the end of an earlier one. One occurrence is always open, however many tasks it has.
const maxOpenTasks = 2000

// occurrence is an open occurrence of a job. The leader keeps no state of occurrences that aren't due yet or whose completion is stored, since callers choose
// their number.
type occurrence struct {
	index int
	steps []*stepState
}

func newOccurrence(j *job, index int) *occurrence {
	o := &occurrence{index: index, steps: make([]*stepState, len(j.Steps))}
	for i := range j.Steps {
		o.steps[i] = &stepState{tasksLeft: j.Steps[i].Tasks}
	}
	return o
}

// complete reports whether all tasks of the occurrence are done.
func (o *occurrence) complete() bool {
	return !slices.ContainsFunc(o.steps, func(s *stepState) bool { return s.tasksLeft > 0 })
}

// predecessorsDone reports whether all tasks of the steps before a step are done.
func (o *occurrence) predecessorsDone(spec *batch.Step) bool {
	return !slices.ContainsFunc(spec.After, func(a int) bool { return o.steps[a].tasksLeft > 0 })
}

// occurrence returns the open occurrence with the index, or nil.
func (j *job) occurrence(index int) *occurrence {
	if i, ok := j.findOccurrence(index); ok {
		return j.occurrences[i]
	}
	return nil
}

func (j *job) findOccurrence(index int) (position int, ok bool) {
	return slices.BinarySearchFunc(j.occurrences, index, func(o *occurrence, index int) int { return cmp.Compare(o.index, index) })
}

// openUpTo opens all occurrences below the index that have not been opened.
func (j *job) openUpTo(index int) {
	for ; j.nextOccurrence < index; j.nextOccurrence++ {
		j.occurrences = append(j.occurrences, newOccurrence(j, j.nextOccurrence))
	}
}

// unfinished returns the indexes of the open occurrences that aren't complete.
func (j *job) unfinished() []int {
	var out []int
	for _, o := range j.occurrences {
		if !o.complete() {
			out = append(out, o.index)
		}
	}
	return out
}

// openDueOccurrences opens the occurrences that are due, as far as maxOpenTasks allows.
func (c *Core) openDueOccurrences(j *job) {
	if j.nextOccurrence >= j.Occurrences() || j.Due(j.nextOccurrence) > c.wallMS() {
		return
	}
	mayOpen := max(1, maxOpenTasks/max(1, j.TaskCount())) - len(j.unfinished())
	for mayOpen > 0 && j.nextOccurrence < j.Occurrences() && j.Due(j.nextOccurrence) <= c.wallMS() {
		j.openUpTo(j.nextOccurrence + 1)
		mayOpen--
	}
}

// completeOccurrence records that an occurrence is complete, and ends the job with its last one.
func (c *Core) completeOccurrence(j *job, o *occurrence, now time.Duration) {
	j.occurrencesLeft--
	if j.occurrencesLeft == 0 {
		c.finish(j, batch.Completed, now)
		return
	}
	c.put(stateRow(j.ID))
	c.afterStored(stateRow(j.ID), func() { c.dropOccurrence(j, o) })
}

// dropOccurrence drops the state and the rows of an occurrence whose completion is stored in the state of its job.
func (c *Core) dropOccurrence(j *job, o *occurrence) {
	if i, ok := j.findOccurrence(o.index); ok {
		j.occurrences = slices.Delete(j.occurrences, i, i+1)
		c.untrack(j, o)
		c.removeTaskRows(j, o)
	}
}

// removeTaskRows deletes the stored rows of an occurrence.
func (c *Core) removeTaskRows(j *job, o *occurrence) {
	for i, s := range o.steps {
		for chunk, stored := range s.stored {
			if stored {
				c.remove(rowID{kind: taskRows, job: j.ID, occurrence: o.index, step: i, chunk: chunk})
			}
		}
	}
}

// stateValueOf returns the stored value of a job's state.
func stateValueOf(j *job) stateValue {
	v := stateValue{Queue: j.Queue.Name, State: j.state, Scheduled: j.Schedule != nil}
	if v.State.Terminal() {
		return v
	}
	v.Team, v.Bytes = j.Team, j.MemoryBytes()
	if v.Scheduled {
		v.Opened, v.Unfinished = j.nextOccurrence, j.unfinished()
	}
	return v
}

// restoreOccurrences opens the occurrences that are unfinished according to the stored state of the job.
func (j *job) restoreOccurrences(v stateValue) {
	if v.Opened < 0 || v.Opened > j.Occurrences() || !slices.IsSorted(v.Unfinished) {
		return
	}
	j.nextOccurrence = v.Opened
	for _, k := range slices.Compact(v.Unfinished) {
		if k >= 0 && k < v.Opened {
			j.occurrences = append(j.occurrences, newOccurrence(j, k))
		}
	}
	j.occurrencesLeft = j.Occurrences() - v.Opened + len(j.occurrences)
}

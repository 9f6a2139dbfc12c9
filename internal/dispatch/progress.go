package dispatch

import (
	"time"

	"samphirewell/internal/batch"
	"samphirewell/internal/waitcost"
)

// occurrenceRest describes what is left of an occurrence of a job, at one time.
type occurrenceRest struct {
	core       *Core
	job        *job
	occurrence *occurrence
	now        time.Duration

	paths     []time.Duration // of each step, the expected time from its start to the end of the job; nil until needed
	remaining float64         // see remainingShare
}

// waitingJob describes the job for the order of requests, if tasks of the step start now. capacity is that of all workers of the service.
func (r *occurrenceRest) waitingJob(step int, capacity batch.Resources) waitcost.Job {
	if r.paths == nil {
		r.paths, r.remaining = r.core.remainingPaths(r.job), r.core.remainingShare(r.job, r.occurrence)
	}
	return waitcost.Job{Priority: r.job.Queue.Priority, Age: r.core.age(r.job, r.occurrence.index, r.now), Objective: r.job.objectiveFor(longestOf(r.paths)),
		Rest: r.paths[step], RemainingShare: r.remaining, Work: r.core.scarceWork(r.job, capacity), LongRunning: r.job.Steps[step].LongRunning}
}

// scarceWork returns the expected work of a job as the time for which it would need the whole capacity of the resource of which each step needs most.
func (c *Core) scarceWork(j *job, capacity batch.Resources) float64 {
	work := 0.0
	for i := range j.Steps {
		spec := &j.Steps[i]
		work += float64(spec.Tasks) * spec.Need.DominantShare(capacity) * c.expectedRunTime(&j.Job, i).Seconds()
	}
	return work
}

// age returns the time since the acceptance of a job, or since an occurrence of it was due.
func (c *Core) age(j *job, occurrence int, now time.Duration) time.Duration {
	if due := j.Due(occurrence); due > 0 {
		return max(0, time.Duration(c.wallMS()-due)*time.Millisecond)
	}
	return now - j.acceptedAt
}

// remainingPaths returns for each step the expected run time of the longest chain of steps that begins with it.
func (c *Core) remainingPaths(j *job) []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- { // steps depend on earlier ones only, so paths[i] has the longest path of its successors by now
		paths[i] += c.expectedRunTime(&j.Job, i)
		for _, a := range j.Steps[i].After {
			paths[a] = max(paths[a], paths[i])
		}
	}
	return paths
}

// longestOf returns the longest of some paths, 0 if there are none.
func longestOf(paths []time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, p := range paths {
		longest = max(longest, p)
	}
	return longest
}

// remainingShare returns the part of the work of an occurrence of a job that no run does or has done, from 0 to 1.
func (c *Core) remainingShare(j *job, o *occurrence) float64 {
	total, remaining := 0.0, 0.0
	for i, s := range o.steps {
		spec := &j.Steps[i]
		work := float64(spec.Tasks) * spec.Need.CoreEquivalents() * c.expectedRunTime(&j.Job, i).Seconds()
		total += work
		remaining += work * s.remainingShare(spec.Tasks)
	}
	if total == 0 {
		return 1
	}
	return remaining / total
}

// remainingShare returns the part of the work of a step that no run does or has done, from 0 to 1. Of a gang that waits, the work up to its checkpoint is done.
func (s *stepState) remainingShare(tasks int) float64 {
	if !s.opened {
		return 1
	}
	share := float64(s.waiting) / float64(tasks)
	if len(s.groups) == 1 && s.groups[0].resumeCheckpoint() != "" {
		share *= 1 - float64(s.groups[0].tasks[0].percent)/100
	}
	return share
}

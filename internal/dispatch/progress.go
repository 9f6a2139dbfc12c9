package dispatch

import "time"

// worthInTime is the worth of the remaining work of a new job that meets its objective.
const worthInTime = 1

// lateWorthShare is the worth of a late result relative to that of a result in time: between 0.2 and 0.3 for all kinds of requests of the users.
const lateWorthShare = 0.25

// minRemainingShare bounds the worth of jobs of which nearly nothing is left, or only tasks that need no resources.
const minRemainingShare = 0.01

// occurrenceWorth computes what the rest of an occurrence of a job is worth, at one time.
type occurrenceWorth struct {
	core       *Core
	job        *job
	occurrence *occurrence
	now        time.Duration

	paths     []time.Duration // of each step, the expected time from its start to the end of the job; nil until needed
	remaining float64         // see remainingShare
}

// ofStep returns what the job earns for each unit of its work that isn't done, if tasks of the step start now. For a new job that meets its objective it is
// 1. It is higher for a job that is nearly done, since a job earns only as a whole.
func (w *occurrenceWorth) ofStep(step int) float64 {
	if w.paths == nil {
		w.paths, w.remaining = w.core.remainingPaths(w.job), w.core.remainingShare(w.job, w.occurrence)
	}
	return w.share(step) / max(w.remaining, minRemainingShare)
}

// share returns the expected worth of the job relative to that of a result in time, if tasks of the step start now.
func (w *occurrenceWorth) share(step int) float64 {
	if w.job.Steps[step].LongRunning {
		return worthInTime // it earns while it runs
	}
	age, objective := w.core.age(w.job, w.occurrence.index, w.now)+w.paths[step], w.job.objectiveFor(longestOf(w.paths))
	switch {
	case age <= objective:
		return worthInTime
	case age <= lateFactor*objective:
		return lateWorthShare
	}
	return 0
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

package dispatch

import (
	"time"

	"samphirewell/internal/waitcost"
)

// objectiveStatus is how the age of a job compares with its objective.
type objectiveStatus uint8

const (
	inTime  objectiveStatus = iota // within its objective
	late                           // past its objective, but its result still has some worth
	tooLate                        // its result no longer has any worth
)

// String returns the name for logs and metrics.
func (s objectiveStatus) String() string { return [...]string{"in_time", "late", "too_late"}[s] }

// objective is the time in which a job should be done: a multiple of its critical path, and a fixed part.
func (c *Core) objective(j *job) time.Duration {
	return j.objectiveFor(longestOf(c.remainingPaths(j)))
}

// objectiveFor returns the objective of a job with the given critical path.
func (j *job) objectiveFor(criticalPath time.Duration) time.Duration {
	return time.Duration(j.Queue.Stretch*float64(criticalPath)) + j.Queue.Target
}

// objectiveStatus compares the age of a job with its objective.
func (c *Core) objectiveStatus(j *job, now time.Duration) objectiveStatus {
	age, objective := now-j.acceptedAt, c.objective(j)
	switch {
	case age <= objective:
		return inTime
	case age <= waitcost.LateFactor*objective:
		return late
	}
	return tooLate
}

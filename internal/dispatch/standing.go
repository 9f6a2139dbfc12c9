package dispatch

import "time"

// standing tells how the age of a job compares with its objective.
type standing uint8

const (
	inTime  standing = iota // within its objective
	late                    // past its objective, with some worth left
	tooLate                 // without any worth
)

// String returns the name for logs and metrics.
func (s standing) String() string { return [...]string{"in_time", "late", "too_late"}[s] }

// lateFactor is how many times its objective a job may take until its result is worth nothing to its caller; the figure is the users'.
const lateFactor = 3

// objective is the time in which a job should be done: a multiple of its longest chain of work, and a fixed part.
func (c *Core) objective(j *job) time.Duration {
	return time.Duration(j.Queue.Stretch*float64(c.chain(j))) + j.Queue.Target
}

// chain is the expected time of the longest chain of steps that depend on each other.
func (c *Core) chain(j *job) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += c.runTime(&j.Job, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// standing compares the age of a job with its objective.
func (c *Core) standing(j *job, now time.Duration) standing {
	age, objective := now-j.known, c.objective(j)
	switch {
	case age <= objective:
		return inTime
	case age <= lateFactor*objective:
		return late
	}
	return tooLate
}

// Package waitcost orders the jobs of a priority that wait for capacity by what another moment of delay costs their callers. It is pure: it reads no clock
// and does no I/O.
package waitcost

import (
	"cmp"
	"time"
)

const (
	// InTime is the worth of a result within the objective; other worths are relative to it.
	InTime = 1
	// Late is the worth of a late result: between 0.2 and 0.3 for all kinds of requests of the users.
	Late = 0.25
	// LateFactor is the multiple of its objective after which the result of a job has no worth to its caller, as the users define it.
	LateFactor = 3
	// minRemainingShare bounds the value of jobs of which nearly nothing is left, or only tasks that need no resources.
	minRemainingShare = 0.01
	// maxWait bounds expected waits, so that they can be represented.
	maxWait = 24 * time.Hour
)

// Job is what is known of a waiting job at the time when tasks of one of its steps could start.
type Job struct {
	Priority       int           // of its queue; 0 is urgent
	Age            time.Duration // since it was accepted or due
	Objective      time.Duration // time in which it should be done
	Rest           time.Duration // expected time from the start of the tasks to the end of the job
	RemainingShare float64       // part of its work that no run does or has done, 0 to 1
	Work           float64       // its whole work in the resource that is scarcest for it, in seconds of the whole fleet
	LongRunning    bool          // earns while it runs, so that it has no end to be late
}

// Slack returns how much longer the tasks may wait while the job still meets its objective, or if that is past, while its result still has some worth. It
// is negative if the result would have no worth even if the tasks started now.
func (j *Job) Slack() time.Duration {
	if s := j.Objective - j.Age - j.Rest; s >= 0 {
		return s
	}
	return LateFactor*j.Objective - j.Age - j.Rest
}

// Worth returns the expected worth of the job relative to that of a result in time, if the tasks start after a delay.
func (j *Job) Worth(delay time.Duration) float64 {
	if j.LongRunning {
		return InTime
	}
	switch end := j.Age + delay + j.Rest; {
	case end <= j.Objective:
		return InTime
	case end <= LateFactor*j.Objective:
		return Late
	}
	return 0
}

// Value returns what the job earns for each unit of its work that isn't done, if the tasks start now. For a new job that meets its objective it is InTime.
// It is higher for a job that is nearly done, since a job earns only as a whole. It doesn't depend on the size of the job.
func (j *Job) Value() float64 {
	return j.Worth(0) / max(j.RemainingShare, minRemainingShare)
}

// Key is the place of a job among those of its priority: the job with the greater Cost comes first, then the one with the greater Tie. Among jobs with equal
// keys the one that was accepted first comes first, or if NewestFirst is set, last.
type Key struct {
	Cost        float64
	Tie         float64
	NewestFirst bool
}

// Compare orders the job that is served first before the other.
func (k Key) Compare(o Key) int {
	newest := 0
	if k.NewestFirst != o.NewestFirst {
		newest = 1
		if k.NewestFirst {
			newest = -1
		}
	}
	return cmp.Or(-cmp.Compare(k.Cost, o.Cost), -cmp.Compare(k.Tie, o.Tie), newest)
}

// Order computes the keys of the waiting jobs of one priority.
type Order func(jobs []Job) []Key

// ByValue is the order of the greatest value first. Under overload, that is while a job that waits will miss its objective, those that will meet theirs are
// served newest first among equals, since the oldest of them would take turns at just missing it. Urgent jobs are served oldest first in any case, since their
// wait for a guarantee is bounded.
func ByValue(jobs []Job) []Key {
	keys := make([]Key, len(jobs))
	overloaded := false
	for i := range jobs {
		keys[i].Cost = jobs[i].Value()
		overloaded = overloaded || jobs[i].Priority > 0 && keys[i].Cost < InTime
	}
	for i := range jobs {
		keys[i].NewestFirst = overloaded && keys[i].Cost >= InTime
	}
	return keys
}

// Decision is what is best for the caller of a waiting job.
type Decision uint8

// The decisions.
const (
	Start  Decision = iota // nothing waits ahead of it
	Wait                   // its result will have some worth
	Refuse                 // its result would have no worth by the time it is served
)

// String returns the name for logs.
func (d Decision) String() string { return [...]string{"start", "wait", "refuse"}[d] }

// Outlook is the expected future of a waiting job.
type Outlook struct {
	Decision Decision
	Wait     time.Duration // expected time until it is served
}

// Outlook returns the expected future of a job behind an amount of work, in seconds of the whole fleet, which the share of the fleet that serves it does first.
// The share must be positive. Runs that have started don't count, so the wait is a lower bound.
func (j *Job) Outlook(ahead, share float64) Outlook {
	seconds := min(ahead/share, maxWait.Seconds())
	o := Outlook{Wait, time.Duration(seconds * float64(time.Second))}
	switch {
	case j.Worth(o.Wait) == 0:
		o.Decision = Refuse
	case ahead <= 0:
		o.Decision = Start
	}
	return o
}

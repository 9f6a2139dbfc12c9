package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/fairshare"
)

// priorityLogInterval is the period of the log lines on the capacity of each priority; short enough to show bursts of some seconds.
const priorityLogInterval = 2 * time.Second

// mostlyDoneShare is the remaining share below which a waiting job counts as mostly done in the logs.
const mostlyDoneShare = 0.5

// prioritySummary is the capacity that the jobs of a priority hold, and what waits.
type prioritySummary struct {
	heldCores    float64 // core equivalents, including runs that are being stopped
	waitingTasks int
	waitingJobs  map[objectiveStatus]int // jobs with waiting tasks
	mostlyDone   int                     // of waitingJobs, those with less than mostlyDoneShare of their work left to start
}

// summarizePriorities returns a summary of each priority that has live jobs.
func (c *Core) summarizePriorities(now time.Duration) map[int]*prioritySummary {
	out := map[int]*prioritySummary{}
	for _, j := range c.liveJobs {
		p := out[j.Queue.Priority]
		if p == nil {
			p = &prioritySummary{waitingJobs: map[objectiveStatus]int{}}
			out[j.Queue.Priority] = p
		}
		c.addWaiting(p, j, now)
	}
	for _, w := range c.byID {
		for _, a := range w.allocs {
			if a.task == nil {
				continue
			}
			if p := out[a.task.group.job.Queue.Priority]; p != nil {
				p.heldCores += a.need.CoreEquivalents()
			}
		}
	}
	return out
}

// addWaiting adds the waiting tasks of a job to the summary of its priority.
func (c *Core) addWaiting(p *prioritySummary, j *job, now time.Duration) {
	if j.ending() {
		return
	}
	waits, mostlyDone := false, false
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting > 0 {
				p.waitingTasks += s.waiting
				waits, mostlyDone = true, mostlyDone || c.remainingShare(j, o) < mostlyDoneShare
			}
		}
	}
	if !waits {
		return
	}
	p.waitingJobs[c.objectiveStatus(j, now)]++
	if mostlyDone {
		p.mostlyDone++
	}
}

// logPriorities logs the capacity of each priority, at most once in priorityLogInterval.
func (c *Core) logPriorities(now time.Duration) {
	if now-c.prioritiesLoggedAt < priorityLogInterval {
		return
	}
	c.prioritiesLoggedAt = now
	summaries := c.summarizePriorities(now)
	for _, priority := range slices.Sorted(maps.Keys(summaries)) {
		p := summaries[priority]
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "priority": priority, "held_cores": int(p.heldCores), "waiting_tasks": p.waitingTasks,
			"waiting_in_time": p.waitingJobs[inTime], "waiting_late": p.waitingJobs[late], "waiting_too_late": p.waitingJobs[tooLate],
			"waiting_mostly_done": p.mostlyDone, "teams_under": c.teamNames(priority, fairshare.Under), "teams_over": c.teamNames(priority, fairshare.Over)}).Info("capacity of a priority")
	}
}

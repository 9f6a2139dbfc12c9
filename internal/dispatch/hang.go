package dispatch

import "time"

const (
	// hangTimeout is the least time without progress, as reports of the worker show it, after which a run is moved.
	hangTimeout = 4500 * time.Millisecond
	// hangReportDelay is the part of that time that reports may take: progress is seen in the report after it, and reports are up to renewalWait apart.
	hangReportDelay = 3400 * time.Millisecond
	// maxSlowdown is how many times as long a sound task may take on a slow worker.
	maxSlowdown = 10
	// estimateError is how many times as long a task may take as its caller estimates.
	estimateError = 3
	// unknownRunTime stands for the run time of tasks of which neither an estimate nor an earlier run is known.
	unknownRunTime = 10 * time.Minute
	// minGainedPercent is the progress of a run from which its own speed is known.
	minGainedPercent = 5
	// maxHangDoublings bounds how often the hang bound of a task doubles.
	maxHangDoublings = 12
)

// timePerPercent returns the time that the current run has taken for one percent of its work so far; false if it has made too little progress.
func (t *task) timePerPercent() (time.Duration, bool) {
	since, gained := max(t.startedAt, t.startPercentAt), t.percent-t.startPercent
	if gained <= minGainedPercent || t.percentChangedAt <= since {
		return 0, false
	}
	return (t.percentChangedAt - since) / time.Duration(gained), true
}

// hangBound returns the time without progress after which the run of a task counts as hanging.
func (c *Core) hangBound(t *task) time.Duration {
	perPercent, ok := t.timePerPercent()
	if !ok {
		perPercent = time.Duration(max(1, c.certainSlowness(t.group)) * float64(c.longestRunTime(t)) / 100)
	}
	return hangBound(perPercent, t.group.hangs)
}

// longestRunTime returns the time that a whole run of a task may take on the mean worker, if that is sound.
func (c *Core) longestRunTime(t *task) time.Duration {
	estimate := t.group.spec().Estimate
	learned, samples := c.runTimes.Mean(t.group.job.Queue.Name)
	switch {
	case samples > 0:
		return max(learned, estimate)
	case estimate > 0:
		return estimateError * estimate
	}
	return unknownRunTime
}

// hangBound returns the time without progress after which a run counts as hanging, if it takes perPercent for one percent of its work on a sound worker.
// Progress is reported in whole percent. The bound doubles with each run of the task that counted as hanging, in case the expectation is wrong.
func hangBound(perPercent time.Duration, hangs int) time.Duration {
	return max(hangTimeout, hangReportDelay+maxSlowdown*perPercent) << min(hangs, maxHangDoublings)
}

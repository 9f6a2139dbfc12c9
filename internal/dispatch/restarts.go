package dispatch

import "time"

const (
	// maxKeptFailures is the number of failed runs of a long-running task that are kept.
	maxKeptFailures = 8
	// minRestartDelay and maxRestartDelay bound the pause before a long-running task that fails again and again is restarted. It doubles with each failure.
	// The maximum is a fraction of the time within which such a task has to be restarted (6 s).
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 2 * time.Second
	// soundRunTime is the length from which a run shows that the task can run, so that the pause begins at its minimum again.
	soundRunTime = 10 * time.Second
)

// restartDelay is the pause before the next restart of a long-running task. A program that fails at once would take the leader, the table and the workers
// hundreds of starts a second otherwise.
type restartDelay struct {
	notBefore time.Duration // no start before this time
	delay     time.Duration // the last pause
}

// recordFailure sets the pause after a run that took the given time failed.
func (r *restartDelay) recordFailure(now, ran time.Duration) {
	if ran >= soundRunTime {
		r.delay = 0
	}
	r.delay = min(max(2*r.delay, minRestartDelay), maxRestartDelay)
	r.notBefore = now + r.delay
}

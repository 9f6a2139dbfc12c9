package demo

import (
	"fmt"
	"time"

	"samphirewell/internal/outcome"
	"samphirewell/internal/standin"
	"samphirewell/internal/standin/lease"
)

// Bounds from the requirements.
const (
	leavingBound = 3 * time.Second
	configBound  = 3 * time.Second
	claimBound   = 4500 * time.Millisecond
	leaseTTL     = 10 * time.Second
)

// maxExamples is the largest number of violations that a check describes.
const maxExamples = 5

// check counts the cases of one promise and its violations.
type check struct {
	Promise    string   `json:"promise"`
	Cases      int      `json:"cases"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
}

// expect counts one case, and a violation described by format and args if ok is false.
func (c *check) expect(ok bool, format string, args ...any) {
	c.Cases++
	if ok {
		return
	}
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// runsByKey counts the started calls of all executors.
func runsByKey(executors []*standin.Executor) map[string]int {
	runs := map[string]int{}
	for key, r := range standin.RunsByKey(executors...) {
		runs[key] = len(r)
	}
	return runs
}

// checkCalls compares the outcomes that the callers received with how often the executors ran each key.
func checkCalls(service string, samples []sample, runs map[string]int) []check {
	whole := check{Promise: "a caller gets the whole answer to its own request"}
	notRun := check{Promise: "a refusal as not run is true"}
	once := check{Promise: "a non-repeatable request runs at most once"}
	for _, s := range samples {
		switch s.outcome.Kind {
		case outcome.Answered:
			whole.expect(s.correct(service), "%s: %q", s.key, s.outcome.Body)
		case outcome.NotRun:
			notRun.expect(runs[s.key] == 0, "%s: ran %d times (%s)", s.key, runs[s.key], s.outcome.Reason)
		}
		if !s.traffic.Repeatable {
			once.expect(runs[s.key] <= 1, "%s: ran %d times", s.key, runs[s.key])
		}
	}
	return []check{whole, notRun, once}
}

// checkWorkers checks that no gang ran with only some of its parts for longer than one lease, and that no part ran twice at the same time.
func checkWorkers(workers []*standin.Worker, parts map[string]int, now time.Time) []check {
	var runs []lease.Run
	for _, w := range workers {
		runs = append(runs, w.History()...)
	}
	partial := check{Promise: "no gang runs in part for longer than one lease"}
	partial.setViolations(len(parts), lease.PartialGangs(runs, parts, leaseTTL, now))
	double := check{Promise: "no part of a gang runs twice at a time"}
	double.setViolations(len(runs), lease.DoubleRuns(runs, now))
	return []check{partial, double}
}

// setViolations sets the number of cases and one violation for each message.
func (c *check) setViolations(cases int, messages []string) {
	c.Cases, c.Violations = cases, len(messages)
	c.Examples = append(c.Examples, messages[:min(len(messages), maxExamples)]...)
}

// checkLeaving checks that no call reached an executor more than leavingBound after it started to leave.
func checkLeaving(e *standin.Executor) check {
	return checkLeavingStats(e.Stats())
}

func checkLeavingStats(stats standin.ExecutorStats) check {
	c := check{Promise: "a leaving backend server receives no new work after 3 s"}
	late := stats.LastArrivedWhileLeaving.Sub(stats.LeavingSince)
	c.expect(stats.ArrivedWhileLeaving == 0 || late <= leavingBound, "a call arrived %v after the executor started to leave", late)
	return c
}

// checkStop checks that a graceful shutdown succeeded, and that no call that started between from and to ended with an unknown outcome.
// Nothing else may disturb the system in that time.
func checkStop(samples []sample, from, to time.Time, stopErr error) check {
	c := check{Promise: "a planned stop cuts no request"}
	c.expect(stopErr == nil, "graceful shutdown: %v", stopErr)
	for _, s := range samples {
		if s.start.After(from) && s.start.Before(to) {
			c.expect(s.outcome.Kind != outcome.Unknown, "%s: %s", s.key, s.outcome.Reason)
		}
	}
	return c
}

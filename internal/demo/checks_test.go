package demo

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/outcome"
	"samphirewell/internal/standin"
)

const testService = "order-desk"

// Guards against checks that never report a violation: each faulty case violates exactly one promise, the correct cases none.
func TestChecksNoticeEachViolation(t *testing.T) {
	nonRepeatable := &traffic{Method: "price-check"}
	repeatable := &traffic{Method: "stock-reconciliation", Repeatable: true}
	correctAnswer := func(tr *traffic, body string) outcome.Outcome {
		return outcome.Answer(200, standin.ExpectedResponse(testService, tr.Method, []byte(body)))
	}
	cases := []struct {
		name    string
		traffic *traffic
		outcome outcome.Outcome
		runs    int
		whole   int // violations of each promise
		notRun  int
		once    int
	}{
		{"answered once", nonRepeatable, correctAnswer(nonRepeatable, "a"), 1, 0, 0, 0},
		{"repeatable call ran twice", repeatable, correctAnswer(repeatable, "a"), 2, 0, 0, 0},
		{"answer to another body", nonRepeatable, correctAnswer(nonRepeatable, "b"), 1, 1, 0, 0},
		{"truncated answer", nonRepeatable, outcome.Answer(200, nil), 1, 1, 0, 0},
		{"refused as not run, but ran", repeatable, outcome.Refuse(outcome.QueueFull, 0), 1, 0, 1, 0},
		{"non-repeatable call ran twice", nonRepeatable, outcome.MayHaveRun(outcome.ConnectionLost), 2, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := sample{traffic: c.traffic, key: "k", body: []byte("a"), outcome: c.outcome}
			got := checkCalls(testService, []sample{s}, map[string]int{"k": c.runs})
			must.Eq(t, []int{c.whole, c.notRun, c.once}, []int{got[0].Violations, got[1].Violations, got[2].Violations})
		})
	}
}

// Guards against a check of leaving executors that accepts calls which arrive after the bound.
func TestLeavingCheckNoticesLateWork(t *testing.T) {
	start := time.Unix(100, 0)
	within := standin.ExecutorStats{LeavingSince: start, ArrivedWhileLeaving: 1, LastArrivedWhileLeaving: start.Add(leavingBound)}
	must.Eq(t, 0, checkLeavingStats(within).Violations)
	late := within
	late.LastArrivedWhileLeaving = start.Add(leavingBound + time.Millisecond)
	must.Eq(t, 1, checkLeavingStats(late).Violations)
}

// Guards against a stop check that misses interrupted calls or a failed shutdown, or counts calls from before or after the stop.
func TestStopCheckCountsCutCallsOfTheStopOnly(t *testing.T) {
	from, to := time.Unix(100, 0), time.Unix(110, 0)
	interrupted := func(at time.Time) sample {
		return sample{traffic: &traffic{}, start: at, outcome: outcome.MayHaveRun(outcome.ConnectionLost)}
	}
	samples := []sample{interrupted(from.Add(-time.Second)), interrupted(from.Add(time.Second)), interrupted(to.Add(time.Second))}
	must.Eq(t, 1, checkStop(samples, from, to, nil).Violations)
	must.Eq(t, 2, checkStop(samples, from, to, errors.New("calls are still running")).Violations)
}

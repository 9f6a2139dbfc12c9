package front

import (
	"context"
	"slices"
	"strconv"
	"time"

	"samphirewell/internal/outcome"
	"samphirewell/internal/retry"
	"samphirewell/internal/routing"
)

const (
	// maxNotStarted limits how often one call is sent when no executor starts it.
	maxNotStarted = 256
	// maxRetries limits the retries of a repeatable call after unknown outcomes.
	maxRetries = 3

	retryDelayBase  = 10 * time.Millisecond
	retryDelayLimit = 200 * time.Millisecond

	noConfigRetryAfter = 500 * time.Millisecond
	budgetRetryAfter   = time.Second
)

// run checks the plan and the limits of a call, claims its key unless it is repeatable, executes it and returns its outcome.
func (s *Server) run(c *call) outcome.Outcome {
	if refusal, ok := s.checkPlan(c); !ok {
		return refusalBeforeClaim(c, refusal)
	}
	release, refusal := s.options.Limiter.Admit(c.Team, c.Deadline)
	if release == nil {
		return refusalBeforeClaim(c, refusal)
	}
	defer release()
	if c.Repeatable {
		return s.execute(c)
	}
	return s.runOnce(c)
}

// refusalBeforeClaim adjusts a refusal that is made before the key is claimed. An earlier attempt of a non-repeatable call may have run, so only
// a first attempt may be reported as not run; later attempts are reported as unknown. Reason and retry time are kept.
func refusalBeforeClaim(c *call, refusal outcome.Outcome) outcome.Outcome {
	if !c.Repeatable && c.Attempt > 1 {
		refusal.Kind = outcome.Unknown
	}
	return refusal
}

// admitAttempt applies the retry budget to a caller's further attempts while calls wait, because under overload further attempts would displace
// first attempts.
func (s *Server) admitAttempt(c *call) bool {
	return c.Attempt == 1 || s.dispatcher.waiting.Load() == 0 || s.budget.Take(c.Class, s.clock.Now())
}

func (s *Server) checkPlan(c *call) (refusal outcome.Outcome, ok bool) {
	plan, status := s.options.Plans.Plan(c.Team)
	switch status {
	case PlanNoLists:
		return outcome.Refuse(outcome.NoConfig, noConfigRetryAfter), false
	case PlanNoTeam:
		return outcome.Refuse(outcome.UnknownTeam, 0), false
	}
	if !slices.Contains(plan.Services, c.Service) {
		return outcome.Refuse(outcome.ServiceDenied, 0), false
	}
	return outcome.Outcome{}, true
}

// runOnce executes a non-repeatable call if its key is granted.
func (s *Server) runOnce(c *call) (result outcome.Outcome) {
	key := c.scopedKey()
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline.Sub(s.clock.Now()))
	defer cancel()
	finish, result := s.options.Claimer.Claim(ctx, key, c.Attempt, c.FirstAttemptAge, c.Deadline)
	if finish == nil {
		return result
	}
	// After a panic, the claim ends with an unknown outcome, because the call may have run.
	result = outcome.MayHaveRun(outcome.ConnectionLost)
	defer func() { finish(result) }()
	result = s.execute(c)
	return result
}

// execute sends the call until it has a final outcome.
func (s *Server) execute(c *call) outcome.Outcome {
	if !s.admitAttempt(c) {
		return outcome.Refuse(outcome.RetryBudget, budgetRetryAfter)
	}
	unknown := outcome.Outcome{} // of the last time the call was sent and may have run
	for notStarted, retries := 0, 0; ; {
		g := s.dispatcher.acquire(c)
		if g.target == nil {
			return preferUnknown(unknown, g.refusal)
		}
		x := s.send(g.target, c)
		switch x.result.Kind {
		case outcome.Answered:
			s.budget.Success(c.Class)
			return x.result
		case outcome.NotRun:
			notStarted++
			s.counters.Add("not_started", 1)
			if notStarted >= maxNotStarted {
				return preferUnknown(unknown, x.result)
			}
		default:
			unknown = x.result
			retries++
			if !s.waitToRetry(c, retries) {
				return x.result
			}
		}
	}
}

// preferUnknown returns the earlier outcome if it is unknown: a later refusal does not rule out that the call ran when it was sent before.
func preferUnknown(earlier, refusal outcome.Outcome) outcome.Outcome {
	if earlier.Kind == outcome.Unknown {
		return earlier
	}
	return refusal
}

// waitToRetry reports whether a call may be sent again after an unknown outcome, and if so first waits for the retry delay.
func (s *Server) waitToRetry(c *call, retries int) bool {
	if !c.Repeatable || retries > maxRetries {
		return false
	}
	now := s.clock.Now()
	delay := retry.Delay(retries, retryDelayBase, retryDelayLimit, s.random())
	if !now.Add(delay).Before(c.Deadline) {
		return false
	}
	if !s.budget.Take(c.Class, now) {
		s.counters.Add("retry_budget_empty", 1)
		return false
	}
	s.counters.Add("retries", 1)
	<-s.clock.After(delay)
	return true
}

// send makes one exchange with the executor of the target and releases the target.
func (s *Server) send(t *routing.Target, c *call) (x exchange) {
	report := routing.Report{Result: routing.Neutral, FreeSlots: -1}
	defer func() {
		t.Done(report, s.clock.Now())
		s.dispatcher.callEnded()
	}()
	id := s.idPrefix + strconv.FormatUint(s.lastID.Add(1), 36)
	start := s.clock.Now()
	x = s.backend.do(t.Server, c, id)
	elapsed := s.clock.Now().Sub(start)
	report = routing.Report{Result: s.serviceTimes.classify(x, c.Service, elapsed), FreeSlots: x.freeSlots, Leaving: x.leaving}
	s.recordExchange(t, x)
	return x
}

// recordExchange updates the counters and the registry.
func (s *Server) recordExchange(t *routing.Target, x exchange) {
	now := s.clock.Now()
	if x.lateResponses > 0 {
		s.counters.Add("late_answers", int64(x.lateResponses))
	}
	if x.mismatched {
		s.counters.Add("crossed_answers", 1)
	}
	if x.result.Kind == outcome.Answered || x.refused {
		s.options.Registry.ObserveSuccess(t.Server.ID, t.Server.Incarnation, now)
	}
	if x.leaving {
		s.options.Registry.ObserveLeaving(t.Server.ID, t.Server.Incarnation, now)
	}
}

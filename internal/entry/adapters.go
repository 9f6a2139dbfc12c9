package entry

import (
	"context"
	"sync"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/callkey"
	"samphirewell/internal/clock"
	"samphirewell/internal/config"
	"samphirewell/internal/front"
	"samphirewell/internal/limits"
	"samphirewell/internal/outcome"
)

// planSource serves the plans of the lists in force to the request path.
type planSource struct{ listsInForce *config.Holder }

// Plan implements front.Plans.
func (p planSource) Plan(team string) (api.Plan, front.PlanStatus) {
	current := p.listsInForce.Current()
	if current == nil {
		return api.Plan{}, front.PlanNoLists
	}
	plan := current.Plan(team)
	if plan == nil {
		return api.Plan{}, front.PlanNoTeam
	}
	return *plan, front.PlanFound
}

// teamExists implements jobs.Teams.
func (p planSource) teamExists(team string) (exists, listsKnown bool) {
	_, status := p.Plan(team)
	return status == front.PlanFound, status != front.PlanNoLists
}

// limiter applies the plan limits to the request path.
type limiter struct {
	limits *limits.Limiter
	clock  clock.Clock
}

// Admit implements front.Limiter.
func (l limiter) Admit(team string, deadline time.Time) (release func(), refusal outcome.Outcome) {
	release, ok, reason, retryAfter := l.limits.AdmitWaiting(team, deadline, l.clock)
	if !ok {
		return nil, outcome.Refuse(reason, retryAfter)
	}
	return release, outcome.Outcome{}
}

// reportTimeout bounds the report of an outcome to the key owner.
const reportTimeout = time.Second

// claimer claims idempotency keys for the request path.
type claimer struct {
	keys    *callkey.Claimer
	reports sync.WaitGroup // reports of outcomes to key owners that are in flight
}

// Claim implements front.KeyClaimer. The key already includes the team. The returned function holds the grant of this call instead of
// looking it up by key, since a caller that uses a key for two first attempts may hold two grants while the owner of the key changes.
func (c *claimer) Claim(ctx context.Context, key string, attempt int, firstAttemptAge time.Duration, deadline time.Time) (func(outcome.Outcome), outcome.Outcome) {
	d := c.keys.Claim(ctx, callkey.Call{Key: key, Attempt: attempt, FirstAttemptAge: firstAttemptAge}, deadline)
	if d.Kind != callkey.Granted {
		return nil, d.Outcome
	}
	// The report does not delay the response to the caller: the key owner may have failed, and attempts that arrive in the meantime
	// wait for the report.
	return func(result outcome.Outcome) {
		c.reports.Go(func() { c.report(d.Grant, result) })
	}, outcome.Outcome{}
}

// report sends the outcome of a call to the key owner.
func (c *claimer) report(grant callkey.Grant, result outcome.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	// If the report is lost, the key stays in progress and later attempts get an unknown outcome, which is correct.
	_ = c.keys.Finish(ctx, grant, result)
}

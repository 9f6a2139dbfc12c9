package callkey

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/peer"
)

// finishTimeout limits the request that reports an outcome or releases a claim.
const finishTimeout = 2 * time.Second

// A first attempt that is refused because the view is changing is claimed again every viewRetryInterval, for at most viewRetryTimeout.
// A new view reaches all members within one or two heartbeats.
const (
	viewRetryTimeout  = 300 * time.Millisecond
	viewRetryInterval = 25 * time.Millisecond
)

// Claimer claims keys for the calls that this entry host sends.
type Claimer struct {
	members Members
	local   *Service
	clock   clock.Clock
	seq     atomic.Uint64 // number of the last claim, part of its id
}

// NewClaimer returns a claimer; local handles the requests for keys that this host owns.
func NewClaimer(m Members, local *Service, c clock.Clock) *Claimer {
	return &Claimer{members: m, local: local, clock: c}
}

// Claim requests the right to run a call. It returns by the deadline, also while another attempt is in progress. The caller may send
// the call only if the decision is Granted, and must then call Finish. A first attempt that is refused during a change of the view is
// claimed again for up to viewRetryTimeout.
func (c *Claimer) Claim(ctx context.Context, call Call, deadline time.Time) Decision {
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(c.clock.Now()))
	defer cancel()
	for end := c.clock.Now().Add(viewRetryTimeout); ; {
		d := c.claimOnce(ctx, call, deadline)
		changing := d.Kind == Refused && (d.Outcome.Reason == outcome.OldView || d.Outcome.Reason == outcome.NoView)
		next := c.clock.Now().Add(viewRetryInterval)
		if !changing || call.Attempt > 1 || next.After(end) || !next.Before(deadline) {
			return d
		}
		select {
		case <-c.clock.After(viewRetryInterval):
		case <-ctx.Done():
			return d
		}
	}
}

// claimOnce claims at the key owner of the current view, or at this host itself while it does solo work.
func (c *Claimer) claimOnce(ctx context.Context, call Call, deadline time.Time) Decision {
	st, now := c.members.State(), c.clock.Now()
	solo := st.Solo(now)
	if !now.Before(deadline) && call.Attempt <= 1 { // the process may have been paused since the call arrived
		return Decision{Kind: Refused, Outcome: outcome.Refuse(outcome.Expired, 0)}
	}
	if !st.Acting(now) && !solo && call.Attempt <= 1 {
		return Decision{Kind: Refused, Outcome: outcome.Refuse(outcome.NoView, retryAfterView)}
	}
	self := c.members.Self()
	claimID := fmt.Sprintf("%s/%d/%d", self.ID, self.Incarnation, c.seq.Add(1))
	owner := st.View.Owner(KeyName(call.Team, call.Key))
	if solo {
		owner = self.ID
	}
	sequence := NewClaimSequence(call, claimID, st.View.ID, c.members.Domain(), c.members.Domains(), Rules{})
	for {
		step := sequence.Next(deadline.Sub(c.clock.Now()))
		d, done := c.runStep(ctx, sequence, step, owner, solo)
		if !done {
			continue
		}
		if release, ok := sequence.Release(d); ok {
			go func() { _ = c.finish(context.WithoutCancel(ctx), owner, release.Finish) }()
		}
		d.Grant.Owner = owner
		return d
	}
}

// runStep sends one request of the sequence and passes the response back to it.
func (c *Claimer) runStep(ctx context.Context, sequence *ClaimSequence, step Step, owner string, solo bool) (Decision, bool) {
	if step.Method == peer.MethodKeyClaim {
		if solo {
			return sequence.OnClaim(c.local.ClaimSolo(ctx, step.Claim))
		}
		resp, err := c.claim(ctx, owner, step.Claim)
		if err != nil {
			return sequence.OnError(step, errors.Is(err, peer.ErrNotSent)), true
		}
		return sequence.OnClaim(resp)
	}
	resp, err := c.query(ctx, step)
	if err != nil {
		return sequence.OnError(step, errors.Is(err, peer.ErrNotSent)), true
	}
	return sequence.OnQuery(resp)
}

func (c *Claimer) claim(ctx context.Context, owner string, req api.KeyClaimRequest) (api.KeyClaimResponse, error) {
	if owner == c.members.Self().ID {
		return c.local.Claim(ctx, req), nil
	}
	var resp api.KeyClaimResponse
	err := c.members.CallHost(ctx, owner, peer.MethodKeyClaim, req, &resp)
	return resp, err
}

func (c *Claimer) query(ctx context.Context, step Step) (api.KeyQueryResponse, error) {
	if step.Domain == c.members.Domain() {
		return c.local.Query(ctx, step.Query, step.Method)
	}
	var resp api.KeyQueryResponse
	err := c.members.CallDomain(ctx, step.Domain, step.Method, step.Query, &resp)
	return resp, err
}

// Finish reports the outcome of a granted call to the key owner. NotRun allows a retry to run, so it must be certain. An error means
// that the report may be lost; the key then stays in progress, and later attempts get the outcome Unknown.
func (c *Claimer) Finish(ctx context.Context, g Grant, o outcome.Outcome) error {
	if len(o.Body) > MaxResponseBytes {
		o = outcome.MayHaveRun(outcome.AnswerNotKept)
	}
	return c.finish(ctx, g.Owner, api.KeyFinishRequest{Team: g.Team, Key: g.Key, ClaimID: g.ClaimID, Outcome: encode(o)})
}

func (c *Claimer) finish(ctx context.Context, owner string, req api.KeyFinishRequest) error {
	if owner == c.members.Self().ID {
		c.local.Finish(req)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	var resp api.KeyFinishResponse
	return c.members.CallHost(ctx, owner, peer.MethodKeyFinish, req, &resp)
}

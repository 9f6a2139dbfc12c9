package callkey

import (
	"slices"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/outcome"
	"samphirewell/internal/peer"
)

// DecisionKind states what an entry host does with a call.
type DecisionKind uint8

// Kinds of decision.
const (
	Granted  DecisionKind = iota + 1 // send the call, then report its outcome with Finish
	Finished                         // an earlier attempt ended; return its outcome
	Refused                          // this attempt certainly does not run; the outcome is NotRun
	Unknown                          // an earlier attempt may have run; the outcome is Unknown
)

// Decision is the result of a claim.
type Decision struct {
	Kind    DecisionKind
	Outcome outcome.Outcome // invalid for Granted
	Grant   Grant           // Granted only
}

// Grant identifies a granted claim.
type Grant struct {
	Team, Key string
	ClaimID   string
	Owner     string // host id of the key owner that granted
}

// Call describes an attempt of a non-repeatable call as its caller reports it.
type Call struct {
	Team, Key       string
	Attempt         int           // 1 for the first
	FirstAttemptAge time.Duration // time from the first attempt until the caller sent this attempt
}

// Step is one request of a claim sequence.
type Step struct {
	Domain string // failure domain to whose key owner the request is sent
	Method string // method name of package peer
	Claim  api.KeyClaimRequest
	Query  api.KeyQuery
	Finish api.KeyFinishRequest
}

// ClaimSequence is the sequence of requests with which an entry host claims a key. A first attempt is claimed at the key owner of its
// own failure domain. A retry first looks the key up there. It then goes through the key owners of all domains in sorted order: it claims
// the key in its own domain and requests a tombstone in the others. Two retries therefore compete at the same first domain, and at most
// one of them is granted. ClaimSequence is not safe for concurrent use.
type ClaimSequence struct {
	call        Call
	domain      string
	claimID     string
	viewID      string
	domainsLeft []string // domains to which no claim or tombstone request has succeeded yet
	lookedUp    bool
	granted     bool
	// uncertain is set when a claim may have been granted although the response was not received.
	uncertain bool
}

// NewClaimSequence returns the sequence for a call. domains are all failure domains, including the own one.
func NewClaimSequence(call Call, claimID, viewID, domain string, domains []string, rules Rules) *ClaimSequence {
	s := &ClaimSequence{call: call, claimID: claimID, viewID: viewID, domain: domain, domainsLeft: []string{domain}}
	if call.Attempt <= 1 {
		s.lookedUp = true
	} else if !rules.NoCrossDomain {
		s.domainsLeft = append(s.domainsLeft, domains...)
		slices.Sort(s.domainsLeft)
		s.domainsLeft = slices.Compact(s.domainsLeft)
	}
	return s
}

// Next returns the request to send. timeLeft is the time until the deadline of the call. It must not be called after a decision.
func (s *ClaimSequence) Next(timeLeft time.Duration) Step {
	ageMS, leftMS := int(s.call.FirstAttemptAge/time.Millisecond), int(max(timeLeft, 0)/time.Millisecond)
	query := api.KeyQuery{Team: s.call.Team, Key: s.call.Key, Domain: s.domain, FirstAttemptAgeMS: ageMS, DeadlineMS: leftMS}
	switch {
	case !s.lookedUp:
		return Step{Domain: s.domain, Method: peer.MethodKeyLookup, Query: query}
	case s.domainsLeft[0] == s.domain:
		return Step{Domain: s.domain, Method: peer.MethodKeyClaim, Claim: api.KeyClaimRequest{
			Team: s.call.Team, Key: s.call.Key, ClaimID: s.claimID, ViewID: s.viewID, Attempt: s.call.Attempt,
			FirstAttemptAgeMS: ageMS, DeadlineMS: leftMS,
		}}
	}
	return Step{Domain: s.domainsLeft[0], Method: peer.MethodKeyTombstone, Query: query}
}

// OnClaim handles the response to a claim. done reports that d is the final decision.
func (s *ClaimSequence) OnClaim(resp api.KeyClaimResponse) (d Decision, done bool) {
	o := decode(resp.Outcome)
	switch resp.Decision {
	case api.KeyClaimResponseDecisionGranted:
		s.granted = true
		return s.nextDomain()
	case api.KeyClaimResponseDecisionFinished:
		return Decision{Kind: Finished, Outcome: o}, true
	case api.KeyClaimResponseDecisionRefused:
		return s.refusal(o), true
	case api.KeyClaimResponseDecisionInProgress:
		return Decision{Kind: Unknown, Outcome: outcome.MayHaveRun(outcome.DeadlineRunning)}, true
	}
	return Decision{Kind: Unknown, Outcome: o}, true
}

// OnQuery handles the response to a lookup or tombstone request. done reports that d is the final decision.
func (s *ClaimSequence) OnQuery(resp api.KeyQueryResponse) (d Decision, done bool) {
	if resp.State == api.KeyQueryResponseStateFinished {
		return Decision{Kind: Finished, Outcome: decode(resp.Outcome)}, true
	}
	if resp.State == api.KeyQueryResponseStateNeverSeen {
		if !s.lookedUp {
			s.lookedUp = true
			return Decision{}, false
		}
		return s.nextDomain()
	}
	reason := outcome.KeyUnknown
	if resp.State == api.KeyQueryResponseStateInProgress {
		reason = outcome.DeadlineRunning
	}
	return Decision{Kind: Unknown, Outcome: outcome.MayHaveRun(reason)}, true
}

// OnError handles a request without a response. notSent reports that the peer certainly did not receive it.
func (s *ClaimSequence) OnError(step Step, notSent bool) Decision {
	if step.Method == peer.MethodKeyClaim && !notSent {
		s.uncertain = true
	}
	if step.Domain != s.domain {
		return Decision{Kind: Unknown, Outcome: outcome.MayHaveRun(outcome.OtherDomain)}
	}
	return s.refusal(outcome.Refuse(outcome.NoView, retryAfterView))
}

// refusal returns the decision for a refused claim. For a retry the outcome is Unknown, because the earlier attempts may have run.
func (s *ClaimSequence) refusal(o outcome.Outcome) Decision {
	if s.call.Attempt > 1 || o.Kind != outcome.NotRun {
		return Decision{Kind: Unknown, Outcome: outcome.MayHaveRun(outcome.KeyUnknown)}
	}
	return Decision{Kind: Refused, Outcome: o}
}

func (s *ClaimSequence) nextDomain() (Decision, bool) {
	if s.domainsLeft = s.domainsLeft[1:]; len(s.domainsLeft) > 0 {
		return Decision{}, false
	}
	return Decision{Kind: Granted, Grant: Grant{Team: s.call.Team, Key: s.call.Key, ClaimID: s.claimID}}, true
}

// Release returns the request that releases a claim which was or may have been granted although the decision d is not Granted.
func (s *ClaimSequence) Release(d Decision) (Step, bool) {
	if d.Kind == Granted || !s.granted && !s.uncertain {
		return Step{}, false
	}
	return Step{Domain: s.domain, Method: peer.MethodKeyFinish, Finish: api.KeyFinishRequest{
		Team: s.call.Team, Key: s.call.Key, ClaimID: s.claimID, Outcome: encode(outcome.Refuse(outcome.NoView, 0)),
	}}, true
}

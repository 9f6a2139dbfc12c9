// Package callkey ensures that non-repeatable calls run at most once: key owners store claim records, and entry hosts claim a key
// before they send the call.
//
// Records implements the key owner and ClaimSequence the entry host, both without I/O and with the time passed in. Service handles the
// requests of peers, and Claimer runs a ClaimSequence over peer connections.
package callkey

import (
	"container/list"
	"slices"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/member"
	"samphirewell/internal/outcome"
)

// Limits of the claim records.
const (
	RecordTTL           = 10 * time.Minute       // time for which a record is stored after its last change
	MaxTransit          = 10 * time.Second       // longest assumed time between the sending of a request and its claim
	MaxResponseBytes    = 16 << 10               // longest response body that is stored
	MaxRecords          = 200_000                // records of one key owner
	MaxStoredBytes      = 64 << 20               // total bytes of the response bodies that one key owner stores
	maxCancelledClaims  = 8                      // cancelled claims that a record stores
	retryAfterBusy      = 1 * time.Second        // after a refusal because all records are in use
	retryAfterView      = 100 * time.Millisecond // after a refusal because of the view; short because another host can run the call immediately
	maxClockRatePercent = 101                    // clock rates differ by at most 1%
)

type phase uint8

const (
	inProgress phase = iota + 1
	finished
	released   // no attempt runs; the last one certainly did not run
	tombstoned // only allowedDomain may run the call
)

type keyID struct{ team, key string }

type record struct {
	id              keyID
	phase           phase
	claimID         string
	deadline        time.Time // of the call in progress
	changedAt       time.Time
	allowedDomain   string // only domain that may run the call, in the phase tombstoned
	cancelledClaims []string
	outcome         outcome.Outcome
	done            chan struct{} // closed when the phase inProgress ends; nil until Wait is called
}

// Rules disables rules of the protocol; the zero value enables all. Only tests that prove that a rule is needed disable it.
type Rules struct {
	NoCompleteness      bool // grant without regard to CompleteSince
	NoCrossDomain       bool // retries do not query other domains
	NoFirstAttemptCheck bool // first attempts are granted although a retry may have overtaken them
	NoRemoteBlocks      bool // retries and tombstones do not block first attempts at the other members
	NoBlockFetch        bool // a joining host grants first attempts without the blocked keys of the other members
	SoloRetries         bool // a host that does solo work grants retries as well
}

// Records holds the claim records of one key owner. It is not safe for concurrent use.
type Records struct {
	limit           int
	rules           Rules
	byKey           map[keyID]*list.Element
	byChange        *list.List // of *record, by last change, oldest first
	withBody        []*record  // records with a stored response body, in the order in which they finished
	bodyBytes       int        // total length of these bodies
	evictionHorizon time.Time  // records that last changed before this time may have been evicted
	blocks          blockSet
}

// NewRecords returns an empty set that stores at most limit records.
func NewRecords(limit int, rules Rules) *Records {
	return &Records{limit: limit, rules: rules, byKey: map[keyID]*list.Element{}, byChange: list.New(), blocks: newBlockSet()}
}

// Len returns the number of records.
func (r *Records) Len() int { return r.byChange.Len() }

// EvictionHorizon returns the latest last-change time of all records that were evicted to stay within the limit; it is zero if none was.
func (r *Records) EvictionHorizon() time.Time { return r.evictionHorizon }

// KeyName returns the name that determines the owner of a key; keys are scoped by team.
func KeyName(team, key string) string { return team + "\x00" + key }

// Claim decides on a claim at now. For the decision in_progress, the channel of Wait is closed when the claim can be repeated.
// confirmedView is the id of the view in which every other member has confirmed that it blocks the key, or empty. needsBlocks reports
// that the claim can be granted only after this confirmation.
func (r *Records) Claim(now time.Time, st member.State, req api.KeyClaimRequest, confirmedView string) (resp api.KeyClaimResponse, needsBlocks bool) {
	r.expire(now)
	id := keyID{req.Team, req.Key}
	if req.ViewID != st.View.ID {
		return claimRefusal(outcome.Refuse(outcome.OldView, retryAfterView)), false
	}
	since, ok := st.CompleteSince(KeyName(req.Team, req.Key), now)
	if !ok {
		return claimRefusal(outcome.Refuse(outcome.NoView, retryAfterView)), false
	}
	rec := r.get(id)
	if rec != nil && slices.Contains(rec.cancelledClaims, req.ClaimID) {
		return claimRefusal(outcome.Refuse(outcome.OldView, retryAfterView)), false
	}
	if rec != nil && rec.phase != released {
		return rec.decide(now, req), false
	}
	if o, ok := r.checkUnrecorded(now, since, st, req); !ok {
		return claimRefusal(o), false
	}
	if req.Attempt > 1 && r.needsConfirmation(st, confirmedView) {
		return claimRefusal(outcome.MayHaveRun(outcome.KeyUnknown)), true
	}
	if req.Attempt > 1 && !r.blocks.add(now, keyHash(req.Team, req.Key)) {
		return claimRefusal(outcome.MayHaveRun(outcome.KeyUnknown)), false
	}
	return r.grant(now, id, req), false
}

// needsConfirmation reports whether the other members of the view have still to confirm a block.
func (r *Records) needsConfirmation(st member.State, confirmedView string) bool {
	return len(st.View.Members) > 1 && confirmedView != st.View.ID && !r.rules.NoRemoteBlocks
}

// checkUnrecorded reports whether a claim of a key without a record, or with a released one, may be granted because no attempt can have
// run. Otherwise it returns the outcome of the refusal.
func (r *Records) checkUnrecorded(now, since time.Time, st member.State, req api.KeyClaimRequest) (outcome.Outcome, bool) {
	if req.Attempt <= 1 {
		return r.checkFirstAttempt(now, since, st, req)
	}
	if !r.rules.NoCompleteness && !r.recordsReach(now, since, earliestFirstAttempt(now, req.FirstAttemptAgeMS)) {
		return outcome.MayHaveRun(outcome.KeyUnknown), false
	}
	return outcome.Outcome{}, true
}

// checkFirstAttempt reports whether a first attempt without a record may be granted. The attempt may have been in transit for MaxTransit,
// and a retry may have overtaken it; in that case the key is blocked or has a record. The attempt is therefore refused unless the host has
// all blocks or all records of that time. since is the time from which on the host has all records, zero if there is no such time.
func (r *Records) checkFirstAttempt(now, since time.Time, st member.State, req api.KeyClaimRequest) (outcome.Outcome, bool) {
	if r.rules.NoFirstAttemptCheck || r.rules.NoCompleteness {
		return outcome.Outcome{}, true
	}
	if r.blocks.has(now, keyHash(req.Team, req.Key)) {
		return outcome.Refuse(outcome.KeyTombstone, 0), false
	}
	if !r.rules.NoBlockFetch && !HasAllBlocks(now, st) && (since.IsZero() || !r.recordsReach(now, since, now.Add(-MaxTransit))) {
		return outcome.Refuse(outcome.NoView, retryAfterView), false
	}
	return outcome.Outcome{}, true
}

// recordsReach reports whether the records of a key are complete from the time first on. since is the time since which only this host can
// have acted for the key.
func (r *Records) recordsReach(now, since, first time.Time) bool {
	return first.After(since) && first.After(r.evictionHorizon) && first.After(now.Add(-RecordTTL))
}

// earliestFirstAttempt returns the earliest time at which the first attempt can have been sent, allowing for the difference of the clock
// rates and for the transit of this attempt.
func earliestFirstAttempt(now time.Time, ageMS int) time.Time {
	age := min(time.Duration(max(ageMS, 0)), RecordTTL/time.Millisecond) * time.Millisecond
	return now.Add(-age*maxClockRatePercent/100 - MaxTransit)
}

func (r *Records) grant(now time.Time, id keyID, req api.KeyClaimRequest) api.KeyClaimResponse {
	rec := r.get(id)
	if rec == nil {
		if rec = r.add(now, id); rec == nil {
			return claimRefusal(outcome.Refuse(outcome.QueueFull, retryAfterBusy))
		}
	}
	left := time.Duration(min(max(req.DeadlineMS, 0), int(RecordTTL/time.Millisecond))) * time.Millisecond
	rec.phase, rec.claimID, rec.deadline = inProgress, req.ClaimID, now.Add(left)
	r.touch(now, rec)
	return api.KeyClaimResponse{Decision: api.KeyClaimResponseDecisionGranted}
}

// decide decides on a claim of a key that has a record in another phase than released.
func (rec *record) decide(now time.Time, req api.KeyClaimRequest) api.KeyClaimResponse {
	switch rec.phase {
	case finished:
		return api.KeyClaimResponse{Decision: api.KeyClaimResponseDecisionFinished, Outcome: encode(rec.outcome)}
	case tombstoned:
		if req.Attempt <= 1 {
			return claimRefusal(outcome.Refuse(outcome.KeyTombstone, 0))
		}
		return claimRefusal(outcome.MayHaveRun(outcome.KeyUnknown))
	}
	switch {
	case rec.claimID == req.ClaimID:
		return api.KeyClaimResponse{Decision: api.KeyClaimResponseDecisionGranted}
	case now.After(rec.deadline):
		return claimRefusal(outcome.MayHaveRun(outcome.DeadlineRunning))
	}
	return api.KeyClaimResponse{Decision: api.KeyClaimResponseDecisionInProgress}
}

// Finish records the outcome of a granted claim. NotRun releases the key; if it arrives before the claim itself, the claim is refused.
// It reports whether the claim was in progress.
func (r *Records) Finish(now time.Time, req api.KeyFinishRequest) bool {
	r.expire(now)
	rec := r.get(keyID{req.Team, req.Key})
	o := decode(req.Outcome)
	if rec == nil || rec.phase != inProgress || rec.claimID != req.ClaimID {
		if o.Kind == outcome.NotRun {
			r.cancel(now, rec, req)
		}
		return false
	}
	rec.notifyWaiters()
	if o.Kind == outcome.NotRun {
		rec.phase = released
		rec.addCancelled(req.ClaimID)
	} else {
		rec.phase = finished
		r.store(rec, o)
	}
	r.touch(now, rec)
	return true
}

// cancel ensures that a claim is refused if it arrives after its release.
func (r *Records) cancel(now time.Time, rec *record, req api.KeyFinishRequest) {
	if rec == nil {
		if rec = r.add(now, keyID{req.Team, req.Key}); rec == nil {
			return
		}
		rec.phase = released
	}
	rec.addCancelled(req.ClaimID)
}

func (rec *record) addCancelled(claimID string) {
	if slices.Contains(rec.cancelledClaims, claimID) {
		return
	}
	if rec.cancelledClaims = append(rec.cancelledClaims, claimID); len(rec.cancelledClaims) > maxCancelledClaims {
		rec.cancelledClaims = rec.cancelledClaims[1:]
	}
}

func (rec *record) notifyWaiters() {
	if rec.done != nil {
		close(rec.done)
		rec.done = nil
	}
}

// Query returns the state of a key. If block is set and the state is NeverSeen, it also records a tombstone, so that from then on only the
// domain of the query may run the call. needsBlocks reports that this requires the confirmation of the other members, see Claim.
func (r *Records) Query(
	now time.Time, st member.State, q api.KeyQuery, block bool, confirmedView string,
) (resp api.KeyQueryResponse, needsBlocks bool) {
	r.expire(now)
	unknown := api.KeyQueryResponse{State: api.KeyQueryResponseStateUnknown}
	since, ok := st.CompleteSince(KeyName(q.Team, q.Key), now)
	if !ok {
		return unknown, false
	}
	rec := r.get(keyID{q.Team, q.Key})
	if rec != nil {
		if resp, decided := rec.query(now, q); decided {
			return resp, false
		}
	}
	if !r.rules.NoCompleteness && !r.recordsReach(now, since, earliestFirstAttempt(now, q.FirstAttemptAgeMS)) {
		return unknown, false
	}
	if block && r.needsConfirmation(st, confirmedView) {
		return unknown, true
	}
	if block && !r.tombstone(now, rec, q) {
		return unknown, false
	}
	return api.KeyQueryResponse{State: api.KeyQueryResponseStateNeverSeen}, false
}

// query returns the response that follows from a record. decided is false if the record shows that no attempt runs or has run and that
// the domain of the query may run the call.
func (rec *record) query(now time.Time, q api.KeyQuery) (resp api.KeyQueryResponse, decided bool) {
	switch {
	case rec.phase == inProgress && now.After(rec.deadline):
		return api.KeyQueryResponse{State: api.KeyQueryResponseStateUnknown}, true
	case rec.phase == inProgress:
		return api.KeyQueryResponse{State: api.KeyQueryResponseStateInProgress}, true
	case rec.phase == finished:
		return api.KeyQueryResponse{State: api.KeyQueryResponseStateFinished, Outcome: encode(rec.outcome)}, true
	case rec.phase == tombstoned && rec.allowedDomain != q.Domain:
		return api.KeyQueryResponse{State: api.KeyQueryResponseStateTombstone}, true
	}
	return api.KeyQueryResponse{}, false
}

// tombstone records that only the domain of the query may run the call. It reports false when there are too many blocks or records.
func (r *Records) tombstone(now time.Time, rec *record, q api.KeyQuery) bool {
	if !r.blocks.add(now, keyHash(q.Team, q.Key)) {
		return false
	}
	if rec == nil {
		rec = r.add(now, keyID{q.Team, q.Key})
	}
	if rec == nil {
		return false
	}
	rec.phase, rec.allowedDomain = tombstoned, q.Domain
	r.touch(now, rec)
	return true
}

// Wait returns a channel that is closed when the attempt in progress ends, or nil when there is none.
func (r *Records) Wait(team, key string) <-chan struct{} {
	rec := r.get(keyID{team, key})
	if rec == nil || rec.phase != inProgress {
		return nil
	}
	if rec.done == nil {
		rec.done = make(chan struct{})
	}
	return rec.done
}

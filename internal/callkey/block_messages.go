package callkey

import (
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/member"
	"samphirewell/internal/outcome"
)

// Block handles the request of a member of the view to block first attempts of a key.
func (r *Records) Block(now time.Time, st member.State, req api.KeyBlockRequest) api.KeyBlockResponse {
	hash, ok := parseHash(req.Hash)
	return api.KeyBlockResponse{Blocked: ok && st.View.ID != "" && req.ViewID == st.View.ID && r.blocks.add(now, hash)}
}

// Blocks handles the request of a member of the view for the blocked keys. Only a host that acts in its view returns them: no other view
// can have been in force since its last contact with all members.
func (r *Records) Blocks(now time.Time, st member.State, req api.KeyBlocksRequest) api.KeyBlocksResponse {
	if req.ViewID != st.View.ID || !st.Acting(now) {
		return api.KeyBlocksResponse{Hashes: []string{}}
	}
	// An age above RecordTTL is of no use to the receiver and could exceed the range of the field.
	age := min(now.Sub(st.BlocksCompleteSince), RecordTTL)
	return api.KeyBlocksResponse{Acting: true, SinceAgeMS: int(max(age, 0) / time.Millisecond), Hashes: r.blocks.hashes(now)}
}

// ApplyBlocks adds the blocked keys that a member of the view returned. since is the time from which on this host then has all
// blocked keys; the reported age is reduced by the maximum difference of the clock rates. ok is false when the member does not act
// or when not all of its keys could be added.
func (r *Records) ApplyBlocks(now time.Time, resp api.KeyBlocksResponse) (since time.Time, ok bool) {
	if !resp.Acting {
		return time.Time{}, false
	}
	for _, s := range resp.Hashes {
		if hash, ok := parseHash(s); !ok || !r.blocks.add(now, hash) {
			return time.Time{}, false
		}
	}
	age := time.Duration(resp.SinceAgeMS) * time.Millisecond
	return now.Add(-age * (2*100 - maxClockRatePercent) / 100), true
}

// HasAllBlocks reports whether the host has each block that can concern a first attempt that arrives now.
func HasAllBlocks(now time.Time, st member.State) bool {
	return !st.BlocksCompleteSince.IsZero() && st.BlocksCompleteSince.Before(now.Add(-MaxTransit*maxClockRatePercent/100))
}

// ClaimSolo decides on a claim of this host itself while it does solo work, that is while it may run calls although it does not act in
// a view (member.State.Solo). It grants first attempts only; for retries it returns the outcome of its own finished records.
func (r *Records) ClaimSolo(now time.Time, st member.State, req api.KeyClaimRequest) api.KeyClaimResponse {
	r.expire(now)
	if !st.Solo(now) || req.ViewID != st.View.ID {
		return claimRefusal(outcome.Refuse(outcome.NoView, retryAfterView))
	}
	id := keyID{req.Team, req.Key}
	rec := r.get(id)
	if rec != nil && rec.phase != released {
		return rec.decide(now, req)
	}
	if req.Attempt > 1 && !r.rules.SoloRetries {
		return claimRefusal(outcome.MayHaveRun(outcome.KeyUnknown))
	}
	if o, ok := r.checkFirstAttempt(now, time.Time{}, st, req); !ok {
		return claimRefusal(o)
	}
	return r.grant(now, id, req)
}

// QuerySolo handles a lookup of this host while it does solo work: only an outcome in its own records is certain.
func (r *Records) QuerySolo(now time.Time, st member.State, q api.KeyQuery) api.KeyQueryResponse {
	r.expire(now)
	if rec := r.get(keyID{q.Team, q.Key}); rec != nil && rec.phase == finished && st.Solo(now) {
		return api.KeyQueryResponse{State: api.KeyQueryResponseStateFinished, Outcome: encode(rec.outcome)}
	}
	if r.rules.SoloRetries {
		return api.KeyQueryResponse{State: api.KeyQueryResponseStateNeverSeen}
	}
	return api.KeyQueryResponse{State: api.KeyQueryResponseStateUnknown}
}

package callkey

import (
	"encoding/base64"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/outcome"
)

func (r *Records) get(id keyID) *record {
	if e := r.byKey[id]; e != nil {
		return e.Value.(*record)
	}
	return nil
}

// add returns a new record, or nil when the limit is reached and all records are still needed to refuse late first attempts.
func (r *Records) add(now time.Time, id keyID) *record {
	if r.byChange.Len() >= r.limit && !r.evict(now) {
		return nil
	}
	rec := &record{id: id, changedAt: now}
	r.byKey[id] = r.byChange.PushBack(rec)
	return rec
}

// evict removes the record with the oldest change. From then on the records are complete only since that change. Records that changed
// within MaxTransit are not evicted: without them, first attempts could not be granted.
func (r *Records) evict(now time.Time) bool {
	rec := r.byChange.Front().Value.(*record)
	if now.Sub(rec.changedAt) <= MaxTransit {
		return false
	}
	if rec.changedAt.After(r.evictionHorizon) {
		r.evictionHorizon = rec.changedAt
	}
	r.remove(rec)
	return true
}

func (r *Records) remove(rec *record) {
	rec.notifyWaiters()
	r.dropBody(rec)
	r.byChange.Remove(r.byKey[rec.id])
	delete(r.byKey, rec.id)
}

func (r *Records) touch(now time.Time, rec *record) {
	rec.changedAt = now
	r.byChange.MoveToBack(r.byKey[rec.id])
}

// expire removes the records whose last change is older than RecordTTL.
func (r *Records) expire(now time.Time) {
	for e := r.byChange.Front(); e != nil && now.Sub(e.Value.(*record).changedAt) > RecordTTL; e = r.byChange.Front() {
		r.remove(e.Value.(*record))
	}
}

// store sets the outcome of a record. An outcome with a body above MaxResponseBytes becomes AnswerNotKept, and so do the oldest ones while
// all bodies together exceed MaxStoredBytes.
func (r *Records) store(rec *record, o outcome.Outcome) {
	if len(o.Body) > MaxResponseBytes {
		o = outcome.MayHaveRun(outcome.AnswerNotKept)
	}
	rec.outcome = o
	if len(o.Body) == 0 {
		return
	}
	r.bodyBytes += len(o.Body)
	r.withBody = append(r.withBody, rec)
	for r.bodyBytes > MaxStoredBytes {
		r.dropBody(r.withBody[0])
	}
	for len(r.withBody) > 0 && len(r.withBody[0].outcome.Body) == 0 {
		r.withBody = r.withBody[1:]
	}
}

// dropBody replaces an outcome that has a body by AnswerNotKept. The entry in withBody is removed when it reaches the front.
func (r *Records) dropBody(rec *record) {
	if len(rec.outcome.Body) == 0 {
		return
	}
	r.bodyBytes -= len(rec.outcome.Body)
	rec.outcome = outcome.MayHaveRun(outcome.AnswerNotKept)
	for len(r.withBody) > 0 && len(r.withBody[0].outcome.Body) == 0 {
		r.withBody = r.withBody[1:]
	}
}

func claimRefusal(o outcome.Outcome) api.KeyClaimResponse {
	d := api.KeyClaimResponseDecisionRefused
	if o.Kind == outcome.Unknown {
		d = api.KeyClaimResponseDecisionUnknown
	}
	return api.KeyClaimResponse{Decision: d, Outcome: encode(o)}
}

func encode(o outcome.Outcome) api.PeerOutcome {
	return api.PeerOutcome{
		Kind: api.PeerOutcomeKind(o.Kind.String()), Reason: string(o.Reason), Status: o.Status,
		RetryAfterMS: int(o.RetryAfter / time.Millisecond), Body: base64.StdEncoding.EncodeToString(o.Body),
	}
}

// decode returns the outcome of a message. A malformed one becomes the outcome Unknown, which is always safe to report.
func decode(p api.PeerOutcome) outcome.Outcome {
	kinds := map[api.PeerOutcomeKind]outcome.Kind{
		api.PeerOutcomeKindAnswered: outcome.Answered, api.PeerOutcomeKindNotRun: outcome.NotRun,
		api.PeerOutcomeKindUnknown: outcome.Unknown,
	}
	body, err := base64.StdEncoding.DecodeString(p.Body)
	kind, ok := kinds[p.Kind]
	if err != nil || !ok {
		return outcome.MayHaveRun(outcome.BadAnswer)
	}
	if len(body) == 0 {
		body = nil
	}
	return outcome.Outcome{
		Kind: kind, Reason: outcome.Reason(p.Reason), Status: p.Status, Body: body,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

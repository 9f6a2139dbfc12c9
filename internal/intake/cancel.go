package intake

import (
	"context"

	"samphirewell/internal/rowstore"
)

// Cancel stores a cancel request for a job that has not ended. For a job that isn't stored it leaves a marker, so that a submission that is still on its way
// can't take effect after the reply.
func (in *Intake) Cancel(ctx context.Context, c Call) Reply {
	t, refused := in.resolve(c)
	if refused != nil {
		return in.logReply(c, "cancel", t, *refused)
	}
	return in.logReply(c, "cancel", t, in.cancel(ctx, c, t))
}

func (in *Intake) cancel(ctx context.Context, c Call, t target) Reply {
	lookupCtx, stop := context.WithDeadline(ctx, c.Deadline.Add(-responseReserve))
	defer stop()
	info, r, decided := in.lookupKnown(lookupCtx, t)
	if !decided {
		if in.markers.take(t.team, len(t.policy.Teams), in.now()) {
			return in.cancelUnknown(ctx, c, t)
		}
		if info, r = in.lookupInbox(lookupCtx, t); r.Code == NoJob {
			return Reply{Code: Unavailable, Reason: "too_many_cancels_of_unknown_jobs", RetryAfter: markerRetryAfter}
		}
	}
	if r.Code != OK || info.state.Terminal() {
		return r
	}
	return in.storeCancel(ctx, c, t)
}

// storeCancel stores a cancel request.
func (in *Intake) storeCancel(ctx context.Context, c Call, t target) Reply {
	tx := rowstore.Tx{Puts: []rowstore.Row{{Key: cancelKey(t.id), Value: []byte("1")}}}
	if _, err := in.commit(ctx, c.Deadline, tx, always); err != nil {
		return storeErrorReply(err)
	}
	return Reply{Code: OK, Reason: "stored"}
}

func always() bool { return true }

// cancelUnknown cancels a job that neither the cache nor the leader knows. It leaves a marker unless the job is in the inbox.
func (in *Intake) cancelUnknown(ctx context.Context, c Call, t target) Reply {
	tx, err := markerTx(t.id, t.queue.Name, t.team, in.now().UnixMilli())
	if err != nil {
		in.markers.giveBack(t.team)
		return Reply{Code: Malformed, Reason: err.Error()}
	}
	r, err := in.commit(ctx, c.Deadline, tx, always)
	if err != nil {
		reply := storeErrorReply(err)
		if reply.Code != Uncertain { // else the marker may have been written
			in.markers.giveBack(t.team)
		}
		return reply
	}
	if r.Applied {
		return Reply{Code: NoJob, Reason: "not_found"}
	}
	in.markers.giveBack(t.team)
	return in.cancelStored(ctx, c, t, r.Current)
}

// cancelStored cancels a job whose row in the inbox is among the rows.
func (in *Intake) cancelStored(ctx context.Context, c Call, t target, rows []rowstore.Row) Reply {
	row, ok := findRow(rows, jobKey(t.id))
	if !ok {
		return Reply{Code: Uncertain, Reason: "condition_failed_without_row"}
	}
	e, err := DecodeEntry(row)
	switch {
	case err != nil:
		return Reply{Code: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
	case e.Job.Queue.Name != t.queue.Name:
		return Reply{Code: NoJob, Reason: "other_queue"}
	case e.Ended:
		return Reply{Code: OK, Reason: "ended"}
	}
	return in.storeCancel(ctx, c, t)
}

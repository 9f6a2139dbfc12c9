package batchhost

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/batch"
	"samphirewell/internal/lead"
	"samphirewell/internal/peer"
)

const (
	// leaderProbeTimeout bounds one liveness probe of the leader; it allows for several round trips between regions.
	leaderProbeTimeout = 120 * time.Millisecond
	// stateQueryTimeout bounds the query of a job's state; after it, the copy of the stored states is used. A leader waits up to 300 ms for the end of
	// a job to be stored.
	stateQueryTimeout = 400 * time.Millisecond
)

// Register adds the methods that other hosts call.
func (h *Host) Register(methods peer.Registry) {
	methods[peer.MethodLeader] = peer.Handle(func(_ context.Context, _ api.HostIdentity, _ api.LeaderQuery) (api.LeaderStatus, error) {
		return h.leaderStatus(), nil
	})
	methods[peer.MethodJobState] = peer.Handle(func(ctx context.Context, _ api.HostIdentity, q api.JobStateQuery) (api.JobStateAnswer, error) {
		return h.jobState(ctx, q.Job), nil
	})
	methods[peer.MethodAdvise] = peer.Handle(func(ctx context.Context, _ api.HostIdentity, q api.AdviceQuestion) (api.AdviceAnswer, error) {
		return h.advise(ctx, q)
	})
}

// jobState returns the state of a job if this host leads and tracks the job, else an empty response.
func (h *Host) jobState(ctx context.Context, id string) api.JobStateAnswer {
	h.mu.Lock()
	r := h.runner
	h.mu.Unlock()
	if r == nil {
		return api.JobStateAnswer{}
	}
	s := r.JobState(ctx, id)
	return api.JobStateAnswer{Known: s.Tracked, Queue: s.Queue, State: string(s.State)}
}

// QueryState implements intake.Leader. It returns false instead of an error if the leader doesn't respond, since the intake then uses its copy of the
// stored states.
func (h *Host) QueryState(ctx context.Context, id string) (queue string, s batch.State, ok bool) {
	a := h.jobState(ctx, id)
	if row, hasLeader := h.leaderWatch.Leader(); !a.Known && hasLeader && row.Host != h.options.HostID {
		ctx, cancel := context.WithTimeout(ctx, stateQueryTimeout)
		defer cancel()
		if err := h.options.Peers.Call(ctx, row.Address, peer.MethodJobState, api.JobStateQuery{Job: id}, &a); err != nil {
			h.options.Log.WithFields(logrus.Fields{"job": id, "leader": row.Host, "epoch": row.Epoch}).WithError(err).Debug("leader returned no job state")
			return "", "", false
		}
	}
	return a.Queue, batch.State(a.State), a.Known
}

func (h *Host) leaderStatus() api.LeaderStatus {
	h.mu.Lock()
	r, epoch := h.runner, h.epoch
	h.mu.Unlock()
	if r == nil {
		// With an epoch but no runner, this host is the leader and still restores the rows that earlier leaders have stored.
		return api.LeaderStatus{Leading: epoch > 0, Epoch: int(epoch)}
	}
	age, refused := r.WriteAge()
	return api.LeaderStatus{Leading: true, Epoch: int(epoch), WriteAgeMS: int(age.Milliseconds()), Refused: refused}
}

// probeLeader probes a leader whose row hasn't changed for some time until the verdict on it is clear, and marks it as lost if it is.
func (h *Host) probeLeader(ctx context.Context, row lead.Row, version uint64) {
	var e lead.Evidence
	for verdict := lead.Unclear; verdict == lead.Unclear && ctx.Err() == nil; {
		h.probeOnce(ctx, row, &e)
		e.RowChanged = h.leaderWatch.Version() != version
		verdict = e.Judge()
		h.options.Log.WithFields(logrus.Fields{"leader": row.Host, "epoch": row.Epoch, "answered": e.Answered, "leading": e.Leading, "connection_refused": e.Refused,
			"unanswered": e.Unanswered, "write_age_ms": e.WriteAge.Milliseconds(), "refused": e.StoreRefusing, "wrote_meanwhile": e.RowChanged,
			"lost": verdict == lead.Lost}).Info("asked a silent leader")
		if verdict == lead.Lost {
			h.leaderWatch.MarkLost(version, time.Now())
		}
	}
}

// probeOnce sends a probe to the leader and records its result. It takes leaderProbeTimeout if there is no response.
func (h *Host) probeOnce(ctx context.Context, row lead.Row, e *lead.Evidence) {
	probeCtx, cancel := context.WithTimeout(ctx, leaderProbeTimeout)
	defer cancel()
	var s api.LeaderStatus
	err := h.options.Peers.Call(probeCtx, row.Address, peer.MethodLeader, api.LeaderQuery{Epoch: int(row.Epoch)}, &s)
	if err != nil {
		e.Unanswered++
		e.Refused = errors.Is(err, peer.ErrRefused)
		if !e.Refused {
			<-probeCtx.Done() // a call that fails early, such as during the pause before another attempt to connect, is not a probe of its own
		}
		return
	}
	*e = lead.Evidence{Answered: true, Leading: s.Leading, SameEpoch: uint64(s.Epoch) == row.Epoch, StoreRefusing: s.Refused,
		WriteAge: time.Duration(s.WriteAgeMS) * time.Millisecond}
}

// LeaderAddress returns the address of the current leader, or an empty string if there is none or this host leads.
func (h *Host) LeaderAddress() string {
	row, ok := h.leaderWatch.Leader()
	if !ok || row.Host == h.options.HostID {
		return ""
	}
	return row.Address
}

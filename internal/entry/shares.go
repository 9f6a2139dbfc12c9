package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/limits"
	"samphirewell/internal/member"
	"samphirewell/internal/peer"
)

const (
	methodShareDemand = "share.demand"
	methodShareRow    = "share.row"
	methodShareNudge  = "share.nudge"
	methodShareHint   = "share.hint"

	// sharePeriod is the longest pause between two looks for demands to send; most looks find nothing to send.
	sharePeriod = member.HeartbeatPeriod
	// nudgeTimeout bounds messages whose loss only delays a move.
	nudgeTimeout = 200 * time.Millisecond
	// rowPeriod is the pause between two copies of the row limits/shares from other domains while the table has not answered yet.
	rowPeriod = 5 * time.Second
)

// processName names a process in the shares; a restarted host holds no shares of its earlier process.
func processName(id api.HostIdentity) string { return id.ID + "/" + strconv.Itoa(id.Incarnation) }

// hostOf returns the host id of a process name.
func hostOf(process string) string { return process[:strings.LastIndexByte(process, '/')] }

func (h *Host) registerShares(methods peer.Registry) {
	methods[methodShareDemand] = peer.Handle(func(_ context.Context, from api.HostIdentity, d api.ShareDemand) (api.ShareGrant, error) {
		grant, ok := h.shares.OnDemand(processName(from), d, h.clk.Now())
		if !ok {
			return api.ShareGrant{}, errNoGrant
		}
		return grant, nil
	})
	methods[methodShareNudge] = peer.Handle(func(_ context.Context, from api.HostIdentity, _ struct{}) (struct{}, error) {
		h.shares.OnNudge(processName(from))
		return struct{}{}, nil
	})
	methods[methodShareHint] = peer.Handle(func(ctx context.Context, _ api.HostIdentity, hint api.ShareHint) (struct{}, error) {
		writer := h.shares.OnHint(hint.Version)
		if writer == "" || hint.Forwarded {
			return struct{}{}, nil
		}
		hint.Forwarded = true
		return struct{}{}, h.member.CallHost(ctx, hostOf(writer), methodShareHint, hint, new(struct{}))
	})
	methods[methodShareRow] = peer.Handle(func(context.Context, api.HostIdentity, struct{}) (string, error) {
		return h.shares.Row(), nil
	})
}

// exchangeShares asks the share owners of the view for shares until ctx ends.
func (h *Host) exchangeShares(ctx context.Context) {
	view, nextRow := "", h.clk.Now()
	for ctx.Err() == nil {
		now := h.clk.Now()
		state := h.member.State()
		if state.View.ID != view {
			view = state.View.ID
			h.shares.OnViewChange(shareView(state.View), now)
		}
		h.shares.SetViewLease(state.LeaseUntil)
		h.shares.SetExclusive(state.Exclusive(now), now)
		h.shares.Tick(now)
		h.sendShares(ctx, state.View)
		if h.shares.Row() == "" && !now.Before(nextRow) {
			nextRow = now.Add(rowPeriod)
			h.spawn(func() { h.learnShareRow(ctx) })
		}
		select {
		case <-ctx.Done():
		case <-h.shares.Wake():
		case <-h.clk.After(sharePeriod):
		}
	}
}

// sendShares sends all messages about shares that are due.
func (h *Host) sendShares(ctx context.Context, view member.View) {
	for _, m := range view.Members {
		if m == h.member.Self() {
			continue
		}
		sentAt := h.clk.Now()
		if demand, ok := h.shares.Demand(processName(m), sentAt); ok {
			h.spawn(func() { h.demandShare(ctx, m, demand, sentAt) })
		}
	}
	for _, process := range h.shares.Nudges(h.clk.Now()) {
		h.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
			defer cancel()
			_ = h.member.CallHost(ctx, hostOf(process), methodShareNudge, struct{}{}, new(struct{}))
		})
	}
	if version, ok := h.shares.Hint(); ok {
		h.announceRow(ctx, version)
	}
}

// announceRow tells the other domains of a write of the row limits/shares, so that they need not wait for their next read.
func (h *Host) announceRow(ctx context.Context, version int) {
	for _, domain := range h.member.Domains() {
		if domain == h.settings.FailureDomain {
			continue
		}
		h.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
			defer cancel()
			_ = h.member.CallDomain(ctx, domain, methodShareHint, api.ShareHint{Version: version}, new(struct{}))
		})
	}
}

func shareView(v member.View) limits.View {
	out := limits.View{ID: v.ID}
	for _, m := range v.Members {
		out.Members = append(out.Members, processName(m))
	}
	return out
}

func (h *Host) demandShare(ctx context.Context, to api.HostIdentity, demand api.ShareDemand, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, limits.ViewLease/2)
	defer cancel()
	var grant api.ShareGrant
	if h.member.CallHost(ctx, to.ID, methodShareDemand, demand, &grant) == nil {
		h.shares.OnGrant(processName(to), grant, sentAt, h.clk.Now())
	}
}

// learnShareRow copies the row from another domain, for a host that started while the platform is down.
func (h *Host) learnShareRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, domain := range h.member.Domains() {
		var row string
		if domain == h.settings.FailureDomain || h.member.CallDomain(ctx, domain, methodShareRow, struct{}{}, &row) != nil || row == "" {
			continue
		}
		if h.shares.LearnRow(row) == nil {
			return
		}
	}
}

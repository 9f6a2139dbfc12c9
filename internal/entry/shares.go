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
	methodShareDemand = "share.demand" // demands a share from a share owner; the response is a grant
	methodShareRow    = "share.row"    // returns the row limits/shares as the receiver last read it
	methodShareNudge  = "share.nudge"  // requests that a member of the view sends a demand immediately, since the sender has another share for it
	methodShareHint   = "share.hint"   // announces a new version of the row limits/shares to another domain, so that its row writer reads it

	// shareCheckPeriod is the longest pause between two checks for demands to send; most checks find nothing to send.
	shareCheckPeriod = member.HeartbeatPeriod
	// nudgeTimeout bounds nudges and hints, whose loss only delays a move of shares.
	nudgeTimeout = 200 * time.Millisecond
	// rowFetchPeriod is the pause between two fetches of the row limits/shares from other domains while the table has not responded yet.
	rowFetchPeriod = 5 * time.Second
)

// processName returns the name of a process in messages about shares. It includes the incarnation, so that a restarted host does not
// hold the shares of its earlier process.
func processName(id api.HostIdentity) string { return id.ID + "/" + strconv.Itoa(id.Incarnation) }

// hostIDOf returns the host id of a process name.
func hostIDOf(process string) string { return process[:strings.LastIndexByte(process, '/')] }

// registerShares serves the messages about shares to peers.
func (h *Host) registerShares(methods peer.Registry) {
	methods[methodShareDemand] = peer.Handle(func(_ context.Context, from api.HostIdentity, d api.ShareDemand) (api.ShareGrant, error) {
		grant, ok := h.shareNode.OnDemand(processName(from), d, h.clock.Now())
		if !ok {
			return api.ShareGrant{}, errNoGrant
		}
		return grant, nil
	})
	methods[methodShareNudge] = peer.Handle(func(_ context.Context, from api.HostIdentity, _ struct{}) (struct{}, error) {
		h.shareNode.OnNudge(processName(from))
		return struct{}{}, nil
	})
	methods[methodShareHint] = peer.Handle(func(ctx context.Context, _ api.HostIdentity, hint api.ShareHint) (struct{}, error) {
		writer := h.shareNode.OnHint(hint.Version)
		if writer == "" || hint.Forwarded {
			return struct{}{}, nil
		}
		hint.Forwarded = true
		return struct{}{}, h.member.CallHost(ctx, hostIDOf(writer), methodShareHint, hint, new(struct{}))
	})
	methods[methodShareRow] = peer.Handle(func(context.Context, api.HostIdentity, struct{}) (string, error) {
		return h.shareNode.Row(), nil
	})
}

// exchangeShares sends the demands and other messages about shares until ctx ends.
func (h *Host) exchangeShares(ctx context.Context) {
	view, nextRowFetch := "", h.clock.Now()
	for ctx.Err() == nil {
		now := h.clock.Now()
		state := h.member.State()
		if state.View.ID != view {
			view = state.View.ID
			h.shareNode.OnViewChange(shareView(state.View), now)
		}
		h.shareNode.SetViewLease(state.LeaseUntil)
		h.shareNode.SetExclusive(state.Exclusive(now), now)
		h.shareNode.Tick(now)
		h.sendShares(ctx, state.View)
		if h.shareNode.Row() == "" && !now.Before(nextRowFetch) {
			nextRowFetch = now.Add(rowFetchPeriod)
			h.spawn(func() { h.fetchShareRow(ctx) })
		}
		select {
		case <-ctx.Done():
		case <-h.shareNode.Wake():
		case <-h.clock.After(shareCheckPeriod):
		}
	}
}

// sendShares sends all messages about shares that are due.
func (h *Host) sendShares(ctx context.Context, view member.View) {
	for _, m := range view.Members {
		if m == h.member.Self() {
			continue
		}
		sentAt := h.clock.Now()
		if demand, ok := h.shareNode.Demand(processName(m), sentAt); ok {
			h.spawn(func() { h.demandShare(ctx, m, demand, sentAt) })
		}
	}
	for _, process := range h.shareNode.Nudges(h.clock.Now()) {
		h.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
			defer cancel()
			_ = h.member.CallHost(ctx, hostIDOf(process), methodShareNudge, struct{}{}, new(struct{}))
		})
	}
	if version, ok := h.shareNode.Hint(); ok {
		h.announceRow(ctx, version)
	}
}

// announceRow sends a hint about a write of the row limits/shares to the other domains, so that they need not wait for their next read.
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

// shareView converts a view to process names.
func shareView(v member.View) limits.View {
	out := limits.View{ID: v.ID}
	for _, m := range v.Members {
		out.Members = append(out.Members, processName(m))
	}
	return out
}

// demandShare sends a demand to a share owner and applies the grant.
func (h *Host) demandShare(ctx context.Context, to api.HostIdentity, demand api.ShareDemand, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, limits.ViewLease/2)
	defer cancel()
	var grant api.ShareGrant
	if h.member.CallHost(ctx, to.ID, methodShareDemand, demand, &grant) == nil {
		h.shareNode.OnGrant(processName(to), grant, sentAt, h.clock.Now())
	}
}

// fetchShareRow copies the row limits/shares from another domain, for a host that started while the platform is down.
func (h *Host) fetchShareRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, domain := range h.member.Domains() {
		var row string
		if domain == h.settings.FailureDomain || h.member.CallDomain(ctx, domain, methodShareRow, struct{}{}, &row) != nil || row == "" {
			continue
		}
		if h.shareNode.ApplyPeerRow(row) == nil {
			return
		}
	}
}

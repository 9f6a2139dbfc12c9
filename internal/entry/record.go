package entry

import (
	"context"
	"expvar"
	"fmt"
	"strings"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/member"
	"samphirewell/internal/registry"
	"samphirewell/internal/timeline"
)

// refusalPeriod is the pause between two events about refused calls; each event counts the refused calls and unknown outcomes of one reason.
const refusalPeriod = 5 * time.Second

// refusalCounterPrefix is the prefix of the request path's counters of refused calls and unknown outcomes by reason.
const refusalCounterPrefix = "reason_"

// archiveTimeout bounds the write of one batch of events to the object store.
const archiveTimeout = 2 * time.Second

// recordView records the members of a new view.
func (h *Host) recordView(v member.View) {
	ids := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		ids = append(ids, m.ID)
	}
	h.ring.Record(api.Event{Kind: api.EventKindViewChanged, Subject: strings.Join(ids, ",")})
}

// recordBackends records the differences between two snapshots of the backend servers.
func (h *Host) recordBackends(old, new *registry.Snapshot) {
	before := map[string]registry.Server{}
	if old != nil {
		for _, s := range old.Servers {
			before[s.ID] = s
		}
	}
	for _, s := range new.Servers {
		previous, existed := before[s.ID]
		delete(before, s.ID)
		if !existed {
			h.ring.Record(api.Event{Kind: api.EventKindBackendJoined, Subject: s.ID})
		}
		if s.Leaving && !previous.Leaving {
			h.ring.Record(api.Event{Kind: api.EventKindBackendLeaving, Subject: s.ID})
		}
	}
	for id := range before {
		h.ring.Record(api.Event{Kind: api.EventKindBackendRemoved, Subject: id})
	}
}

// recordRefusals records an event for each refusal counter that has increased since the last check, until ctx ends.
func (h *Host) recordRefusals(ctx context.Context) {
	last := map[string]int64{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-h.clock.After(refusalPeriod):
		}
		h.front.Counters().Do(func(kv expvar.KeyValue) {
			reason, ok := strings.CutPrefix(kv.Key, refusalCounterPrefix)
			n, isInt := kv.Value.(*expvar.Int)
			if !ok || !isInt || n.Value() == last[kv.Key] {
				return
			}
			h.ring.Record(api.Event{Kind: api.EventKindCallsRefused, Reason: reason, Count: int(n.Value() - last[kv.Key])})
			last[kv.Key] = n.Value()
		})
	}
}

// archive copies the timeline to the object store until ctx ends, and once more at its end.
func (h *Host) archive(ctx context.Context) {
	prefix := fmt.Sprintf("timeline/%s/%s/%d", h.settings.FailureDomain, h.settings.HostID, h.startedAt.UnixMilli())
	a := timeline.NewArchiver(h.ring, h.platform.Objects(), prefix)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-h.clock.After(timeline.ArchivePeriod):
		}
		flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), archiveTimeout)
		if _, err := a.Flush(flushCtx); err != nil {
			h.vars.Add("archive_errors", 1)
		}
		cancel()
	}
}

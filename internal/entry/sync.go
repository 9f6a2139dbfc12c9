package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
	"samphirewell/internal/limits"
	"samphirewell/internal/peer"
	"samphirewell/internal/timeline"
)

const (
	methodConfigGet = "config.get"
	attachConfig    = "config" // attachment with the version of the lists in force
	attachClock     = "hlc"    // attachment with the hybrid logical clock of the timeline

	// configCheckPeriod is the pause between two checks of the version in force.
	configCheckPeriod = 100 * time.Millisecond
	// fetchTimeout bounds the fetch of the lists or of the row limits/shares from peers.
	fetchTimeout = time.Second
)

// attachHeartbeatData adds the version of the lists and the hybrid logical clock to each heartbeat, so that hosts that are cut off from the
// platform get new versions from their peers, and events of all hosts can be ordered.
func (h *Host) attachHeartbeatData() {
	h.member.Attach(attachConfig, func() string { return strconv.Itoa(h.listsInForce.Version()) })
	h.member.Receive(attachConfig, h.onPeerVersion)
	h.member.Attach(attachClock, func() string {
		data, _ := json.Marshal(h.ring.HLC().Now())
		return string(data)
	})
	h.member.Receive(attachClock, func(_ api.HostIdentity, body string) {
		var t timeline.Timestamp
		if json.Unmarshal([]byte(body), &t) == nil {
			h.ring.HLC().Observe(t)
		}
	})
}

// onPeerVersion fetches the lists from a peer that has a newer version.
func (h *Host) onPeerVersion(from api.HostIdentity, body string) {
	version, err := strconv.Atoi(body)
	if err != nil || version <= h.listsInForce.Version() || !h.fetchingLists.CompareAndSwap(false, true) {
		return
	}
	h.spawn(func() {
		defer h.fetchingLists.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		var row api.ConfigRow
		if h.member.CallHost(ctx, from.ID, methodConfigGet, struct{}{}, &row) == nil {
			_, _ = h.watcher.Offer(row) // counted by the watcher
		}
	})
}

// registerConfig serves the lists in force to peers.
func (h *Host) registerConfig(methods peer.Registry) {
	methods[methodConfigGet] = peer.Handle(func(context.Context, api.HostIdentity, struct{}) (api.ConfigRow, error) {
		current := h.listsInForce.Current()
		if current == nil {
			return api.ConfigRow{}, errNoConfig
		}
		return current.Row(), nil
	})
}

// followConfig applies each new version of the lists to the plan limits and records an event, until ctx ends.
func (h *Host) followConfig(ctx context.Context) {
	applied := 0
	for ctx.Err() == nil {
		if current := h.listsInForce.Current(); current != nil && current.Version != applied {
			applied = current.Version
			h.shareNode.SetPlans(limits.PlansOf(current.Lists), current.Lists.FailureDomains, h.clock.Now())
			h.ring.Record(api.Event{Kind: api.EventKindConfigInForce, Subject: strconv.Itoa(applied)})
		}
		select {
		case <-ctx.Done():
		case <-h.clock.After(configCheckPeriod):
		}
	}
}

// registerJobEndpoints adds the job interface and the readiness endpoint to the caller server.
func (h *Host) registerJobEndpoints() {
	mux := http.NewServeMux()
	(&jobs.API{
		Store: h.jobs, Clock: h.clock, Teams: planSource{&h.listsInForce}.teamExists,
		Domain: func(spec api.JobSpec) string {
			lists, _ := h.currentLists()
			return jobs.ChooseDomain(lists, spec, h.settings.FailureDomain)
		},
		Wake: h.controller.Wake,
	}).Register(mux)
	h.front.Handle("/v1/jobs", mux)
	h.front.Handle("/v1/jobs/", mux)
	h.front.Handle("/readyz", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

package entry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/config"
	"samphirewell/internal/operator"
	"samphirewell/internal/version"
)

const (
	pathTimeline   = "GET /v1/timeline"
	pathExplainJob = "GET /v1/explain/job/{id}"
	// The key is a query parameter, since it may contain any character.
	pathExplainCall = "GET /v1/explain/call"

	// maxPageEvents is the largest number of events in one response, about 600 KB.
	maxPageEvents = 2000
	// operatorShutdownTimeout bounds the wait of Kill for open operator requests.
	operatorShutdownTimeout = time.Second
)

// newOperator creates the operator endpoint.
func (h *Host) newOperator() *operator.Server {
	vars := new(expvar.Map).Init()
	vars.Set("host", h.vars)
	vars.Set("calls", h.front.Counters())
	vars.Set("config", h.watcher.Vars())
	vars.Set("peers", h.peerStats.Vars())
	vars.Set("jobs", h.controller.Vars())
	o := operator.New(operator.Options{
		Address: h.settings.OperatorAddress, Token: h.settings.OperatorToken, Host: h, Lists: &h.listsInForce,
		Publisher: config.NewPublisher(h.platform, &h.listsInForce, h.clock), Vars: vars,
	})
	o.Handle(pathTimeline, http.HandlerFunc(h.serveTimeline))
	o.Handle(pathExplainJob, http.HandlerFunc(h.explainJob))
	o.Handle(pathExplainCall, http.HandlerFunc(h.explainCall))
	return o
}

// Status implements operator.Host.
func (h *Host) Status() api.HostStatus {
	s := api.HostStatus{
		HostID: h.settings.HostID, FailureDomain: h.settings.FailureDomain, Region: h.settings.Region, BinaryVersion: version.Version,
		Ready: h.Ready(), Draining: h.draining.Load(), UpMS: int(h.clock.Now().Sub(h.startedAt).Milliseconds()),
	}
	if current := h.listsInForce.Current(); current != nil {
		s.ConfigVersion, s.ConfigHash = current.Version, current.Hash
	}
	view := h.member.View()
	servers := h.registry.Snapshot().Servers
	s.Parts = []api.PartStatus{
		{Name: "backends", Ok: len(servers) > 0, Detail: fmt.Sprintf("%d backend servers", len(servers))},
		{Name: "config", Ok: s.ConfigVersion > 0, Detail: fmt.Sprintf("version %d", s.ConfigVersion)},
		{Name: "scheduler", Ok: true, Detail: fmt.Sprintf("preferred: %t", h.member.Preferred(purposeScheduler))},
		{Name: "view", Ok: h.member.Acting(), Detail: fmt.Sprintf("%d hosts, acting: %t", len(view.Members), h.member.Acting())},
	}
	return s
}

// Drain implements operator.Host: it starts the graceful shutdown. Done is closed when the shutdown has completed.
func (h *Host) Drain() {
	go func() { _ = h.stopWithTimeout() }() // not started with spawn: it waits for Kill, which waits for the goroutines of spawn
}

// Done is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.stopped }

// serveTimeline returns a page of the event ring, starting at the sequence number in the query.
func (h *Host) serveTimeline(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = 1
	}
	writeJSON(w, h.ring.Page(from, maxPageEvents))
}

// explainJob returns the reason and history of the phase of a job, as far as this host tracks the job.
func (h *Host) explainJob(w http.ResponseWriter, r *http.Request) {
	e, ok := h.controller.Explain(r.PathValue("id"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	out := api.JobExplanation{Reason: e.Reason, History: []api.JobStep{}}
	for _, s := range e.History {
		out.History = append(out.History, api.JobStep{AtMS: int(s.At.UnixMilli()), Phase: s.Phase, Reason: s.Reason, Times: s.Times})
	}
	writeJSON(w, out)
}

// explainCall returns why calls with an idempotency key ended without an answer on this host.
func (h *Host) explainCall(w http.ResponseWriter, r *http.Request) {
	out := api.CallExplanation{Calls: []api.UnansweredCall{}}
	for _, c := range h.front.UnansweredCalls(r.URL.Query().Get("key")) {
		out.Calls = append(out.Calls, api.UnansweredCall{
			AtMS: int(c.At.UnixMilli()), HostID: h.settings.HostID, Team: c.Team, Service: c.Service, Method: c.Method, Attempt: c.Attempt,
			Outcome: c.Kind.String(), Reason: string(c.Reason),
		})
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

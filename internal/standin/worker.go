package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/standin/lease"
	"samphirewell/internal/wire"
)

// Paths of the requests that a worker serves.
const (
	PathReserve    = wire.PathReserve
	PathCommit     = wire.PathCommit
	PathRenew      = wire.PathRenew
	PathStop       = wire.PathStop
	PathCheckpoint = wire.PathCheckpoint
	PathThrottle   = wire.PathThrottle
	PathReport     = wire.PathReport
)

// WorkerConfig are the settings of a Worker.
type WorkerConfig struct {
	Lease         lease.Config // identity and capacity
	FailureDomain string
	Region        string
	Rack          string
	Address       string      // ip:port; empty for any port on loopback
	Clock         clock.Clock // nil means the clock of the operating system
}

// Worker is a simulated worker: it serves a lease state machine over HTTP.
type Worker struct {
	*server
	*lease.StateMachine
	cfg WorkerConfig

	mu           sync.Mutex
	connFaults   WorkerFaults
	resumed      chan struct{} // closed by Resume; nil while not paused
	heldRequests atomic.Int64  // requests that wait for Resume
}

// WorkerFaults are the faults to inject into the connection to a worker. The zero value means none.
type WorkerFaults struct {
	Outage      bool          // close the connection of every request before the request takes effect
	NextDropped int           // number of the next requests that are lost before they take effect
	NextLost    int           // number of the next requests that take effect but whose response is lost
	Delay       time.Duration // time before each request takes effect
}

// StartWorker starts a worker without leases.
func StartWorker(cfg WorkerConfig) (*Worker, error) {
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	w := &Worker{server: newServer(0), StateMachine: lease.New(cfg.Lease, cfg.Clock), cfg: cfg}
	if err := w.start(cfg.Address, w.handler()); err != nil {
		return nil, err
	}
	return w, nil
}

// Entry returns the worker's entry for the platform's host list.
func (w *Worker) Entry() api.HostEntry {
	return api.HostEntry{
		ID: w.cfg.Lease.WorkerID, Incarnation: w.Report().Incarnation, Role: api.HostEntryRoleWorker,
		FailureDomain: w.cfg.FailureDomain, Region: w.cfg.Region, Rack: w.cfg.Rack, Address: w.Addr(),
		Cores: w.cfg.Lease.Cores, MemoryGb: w.cfg.Lease.MemoryGB, Accelerators: w.cfg.Lease.Accelerators,
	}
}

// SetConnFaults replaces the faults of the connection. SetFaults replaces those of the lease state machine.
func (w *Worker) SetConnFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connFaults = f
}

// Pause simulates a paused worker process until Resume: requests wait and tasks make no progress, while leases still expire.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed == nil {
		w.resumed = make(chan struct{})
		w.StateMachine.Pause()
	}
}

// Resume ends a pause. The requests that waited are handled.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed != nil {
		w.StateMachine.Resume()
		close(w.resumed)
		w.resumed = nil
	}
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathReserve, w.withConnFaults(w.handleReserve))
	mux.HandleFunc("GET "+PathReport, w.withConnFaults(func(rw http.ResponseWriter, _ *http.Request) any { return w.Report() }))
	commands := map[string]func(api.LeaseRef, time.Duration) api.LeaseResult{
		PathCommit: w.Commit, PathRenew: w.Renew, PathCheckpoint: w.Checkpoint, PathThrottle: w.Throttle,
		PathStop: func(ref api.LeaseRef, _ time.Duration) api.LeaseResult { return w.Stop(ref) },
	}
	for path, run := range commands {
		mux.HandleFunc("POST "+path, w.withConnFaults(handleLeaseCommand(run)))
	}
	return mux
}

// withConnFaults wraps a handler with the connection faults. A handler that returns nil has already written a response.
func (w *Worker) withConnFaults(handle func(http.ResponseWriter, *http.Request) any) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		f, resumed := w.takeConnFaults()
		if f.Delay > 0 {
			w.waitFor(w.cfg.Clock.After(f.Delay))
		}
		if resumed != nil {
			w.awaitResume(resumed)
		}
		if f.Outage || f.NextDropped > 0 {
			dropConn(rw)
			return
		}
		result := handle(rw, r)
		switch {
		case result == nil:
		case f.NextLost > 0:
			dropConn(rw)
		default:
			writeJSON(rw, result)
		}
	}
}

// takeConnFaults returns the faults of one request and counts down NextDropped or NextLost. The channel is closed by Resume; it is nil while the
// worker is not paused.
func (w *Worker) takeConnFaults() (WorkerFaults, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.connFaults
	switch {
	case f.Outage:
	case f.NextDropped > 0:
		w.connFaults.NextDropped--
	case f.NextLost > 0:
		w.connFaults.NextLost--
	}
	return f, w.resumed
}

func (w *Worker) waitFor(c <-chan time.Time) {
	select {
	case <-c:
	case <-w.closed:
	}
}

func (w *Worker) awaitResume(resumed <-chan struct{}) {
	w.heldRequests.Add(1)
	defer w.heldRequests.Add(-1)
	select {
	case <-resumed:
	case <-w.closed:
	}
}

// handleReserve handles one reservation or a list of them.
func (w *Worker) handleReserve(rw http.ResponseWriter, r *http.Request) any {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return nil
	}
	var list []api.ReserveRequest
	if trimmed := bytes.TrimSpace(data); len(trimmed) > 0 && trimmed[0] == '[' {
		err = json.Unmarshal(trimmed, &list)
	} else {
		list = make([]api.ReserveRequest, 1)
		err = json.Unmarshal(trimmed, &list[0])
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return nil
	}
	resp := api.LeaseResponse{Results: []api.LeaseResult{}}
	for _, req := range list {
		resp.Results = append(resp.Results, w.Reserve(req))
	}
	return resp
}

func handleLeaseCommand(run func(api.LeaseRef, time.Duration) api.LeaseResult) func(http.ResponseWriter, *http.Request) any {
	return func(rw http.ResponseWriter, r *http.Request) any {
		var cmd api.LeaseCommand
		if !readJSON(rw, r, &cmd) {
			return nil
		}
		resp := api.LeaseResponse{Results: []api.LeaseResult{}}
		ttl := time.Duration(cmd.TtlMS) * time.Millisecond
		for _, ref := range cmd.Leases {
			resp.Results = append(resp.Results, run(ref, ttl))
		}
		return resp
	}
}

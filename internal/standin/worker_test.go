package standin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/standin/lease"
)

var (
	testReserve = api.ReserveRequest{LeaseID: "l", JobID: "j", Token: 1, Accelerators: 1, TtlMS: 5000, RunMS: 60_000}
	testRef     = api.LeaseRef{LeaseID: "l", JobID: "j", Token: 1}
)

// Guards against a request that has no effect although only its response is lost, and against a dropped request that takes effect.
func TestWorkerConnFaults(t *testing.T) {
	w, client := startWorker(t), newHTTPClient(t)
	w.SetConnFaults(WorkerFaults{NextDropped: 1})
	_, err := post(t, client, w.URL()+PathReserve, testReserve)
	must.Error(t, err)
	must.SliceEmpty(t, w.Report().Tasks)

	w.SetConnFaults(WorkerFaults{NextLost: 1})
	_, err = post(t, client, w.URL()+PathReserve, testReserve)
	must.Error(t, err)
	must.Eq(t, api.TaskReportStateReserved, w.Report().Tasks[0].State)

	resp, err := post(t, client, w.URL()+PathReserve, testReserve)
	must.NoError(t, err)
	must.True(t, resp.Results[0].Ok)

	w.SetConnFaults(WorkerFaults{Outage: true})
	_, err = post(t, client, w.URL()+PathStop, api.LeaseCommand{Leases: []api.LeaseRef{testRef}})
	must.Error(t, err)
	must.Eq(t, api.TaskReportStateReserved, w.Report().Tasks[0].State)
}

// Guards against a paused worker that responds, or that handles waiting commands before it ends expired leases.
func TestPausedWorkerHoldsCommands(t *testing.T) {
	c := clock.NewManual(time.Unix(1000, 0))
	w, err := StartWorker(WorkerConfig{Clock: c, Lease: lease.Config{WorkerID: "w", Accelerators: 1}})
	must.NoError(t, err)
	t.Cleanup(w.Close)
	client := newHTTPClient(t)
	for _, path := range []string{PathReserve, PathCommit} {
		var body any = api.LeaseCommand{Leases: []api.LeaseRef{testRef}, TtlMS: 10_000}
		if path == PathReserve {
			body = testReserve
		}
		resp, err := post(t, client, w.URL()+path, body)
		must.NoError(t, err)
		must.True(t, resp.Results[0].Ok)
	}

	w.Pause()
	type result struct {
		resp api.LeaseResponse
		err  error
	}
	renewed := make(chan result, 1)
	go func() {
		resp, err := post(t, client, w.URL()+PathRenew, api.LeaseCommand{Leases: []api.LeaseRef{testRef}, TtlMS: 10_000})
		renewed <- result{resp, err}
	}()
	waitUntil(t, func() bool { return w.heldRequests.Load() == 1 })
	must.Eq(t, 0, len(renewed))
	c.Advance(11 * time.Second)
	w.Resume()
	r := <-renewed
	must.NoError(t, r.err)
	must.Eq(t, api.LeaseResultStateLapsed, r.resp.Results[0].State)
}

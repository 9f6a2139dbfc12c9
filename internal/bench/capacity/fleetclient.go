package capacity

import (
	"context"
	"sync/atomic"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/applier"
	"samphirewell/internal/standin"
)

// fleetClient counts the commands to workers. With direct set it calls the worker stand-ins without HTTP, which shows the
// processor time of the controller without connections and encoding.
type fleetClient struct {
	http     *applier.HTTPClient
	workers  map[string]*standin.Worker
	direct   atomic.Bool
	commands atomic.Int64
}

var _ applier.WorkerClient = (*fleetClient)(nil)

// Reserve implements applier.WorkerClient.
func (c *fleetClient) Reserve(ctx context.Context, w api.HostEntry, reqs []api.ReserveRequest) (api.LeaseResponse, error) {
	c.commands.Add(1)
	if !c.direct.Load() {
		return c.http.Reserve(ctx, w, reqs)
	}
	var out api.LeaseResponse
	for _, r := range reqs {
		out.Results = append(out.Results, c.workers[w.ID].Reserve(r))
	}
	return out, nil
}

// Report implements applier.WorkerClient.
func (c *fleetClient) Report(ctx context.Context, w api.HostEntry) (api.WorkerReport, error) {
	c.commands.Add(1)
	if !c.direct.Load() {
		return c.http.Report(ctx, w)
	}
	return c.workers[w.ID].Report(), nil
}

// Commit implements applier.WorkerClient.
func (c *fleetClient) Commit(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.sendCommand(ctx, w, cmd, c.http.Commit, (*standin.Worker).Commit)
}

// Renew implements applier.WorkerClient.
func (c *fleetClient) Renew(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.sendCommand(ctx, w, cmd, c.http.Renew, (*standin.Worker).Renew)
}

// Checkpoint implements applier.WorkerClient.
func (c *fleetClient) Checkpoint(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.sendCommand(ctx, w, cmd, c.http.Checkpoint, (*standin.Worker).Checkpoint)
}

// Throttle implements applier.WorkerClient.
func (c *fleetClient) Throttle(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.sendCommand(ctx, w, cmd, c.http.Throttle, (*standin.Worker).Throttle)
}

// Stop implements applier.WorkerClient.
func (c *fleetClient) Stop(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.sendCommand(ctx, w, cmd, c.http.Stop, func(w *standin.Worker, ref api.LeaseRef, _ time.Duration) api.LeaseResult { return w.Stop(ref) })
}

func (c *fleetClient) sendCommand(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand,
	overHTTP func(context.Context, api.HostEntry, api.LeaseCommand) (api.LeaseResponse, error),
	direct func(*standin.Worker, api.LeaseRef, time.Duration) api.LeaseResult) (api.LeaseResponse, error) {
	c.commands.Add(1)
	if !c.direct.Load() {
		return overHTTP(ctx, w, cmd)
	}
	var out api.LeaseResponse
	for _, ref := range cmd.Leases {
		out.Results = append(out.Results, direct(c.workers[w.ID], ref, time.Duration(cmd.TtlMS)*time.Millisecond))
	}
	return out, nil
}

package applier

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/wire"
)

const (
	// maxResponseBytes bounds the response of a worker. A larger response is an error, as if it had been lost.
	maxResponseBytes = 4 << 20
	// idleConnsPerWorker is the number of idle connections kept open to one worker: one for commands and one for reports.
	idleConnsPerWorker = 2
	// idleConnTimeout closes idle connections to removed workers. It exceeds the periods of reports and renewals.
	idleConnTimeout = 30 * time.Second
)

// DialFunc opens a connection. Tests replace it to simulate network failures.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// HTTPClient is a WorkerClient over HTTP.
type HTTPClient struct{ http *http.Client }

var _ WorkerClient = (*HTTPClient)(nil)

// NewHTTPClient returns a client. If dial is nil, it uses a net.Dialer.
func NewHTTPClient(dial DialFunc) *HTTPClient {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &HTTPClient{&http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idleConnsPerWorker, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}}}
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.http.CloseIdleConnections() }

// Reserve reserves resources for parts.
func (c *HTTPClient) Reserve(ctx context.Context, w api.HostEntry, reqs []api.ReserveRequest) (api.LeaseResponse, error) {
	return c.command(ctx, w, wire.PathReserve, reqs)
}

// Commit starts reserved parts.
func (c *HTTPClient) Commit(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.command(ctx, w, wire.PathCommit, cmd)
}

// Renew renews leases.
func (c *HTTPClient) Renew(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.command(ctx, w, wire.PathRenew, cmd)
}

// Stop ends leases.
func (c *HTTPClient) Stop(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.command(ctx, w, wire.PathStop, cmd)
}

// Checkpoint saves the progress of parts.
func (c *HTTPClient) Checkpoint(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.command(ctx, w, wire.PathCheckpoint, cmd)
}

// Throttle slows parts down.
func (c *HTTPClient) Throttle(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return c.command(ctx, w, wire.PathThrottle, cmd)
}

// Report returns the tasks on the worker.
func (c *HTTPClient) Report(ctx context.Context, w api.HostEntry) (api.WorkerReport, error) {
	var r api.WorkerReport
	err := c.do(ctx, w, http.MethodGet, wire.PathReport, nil, &r)
	return r, err
}

func (c *HTTPClient) command(ctx context.Context, w api.HostEntry, path string, body any) (api.LeaseResponse, error) {
	var r api.LeaseResponse
	data, err := json.Marshal(body)
	if err != nil {
		return r, errors.WithStack(err)
	}
	err = c.do(ctx, w, http.MethodPost, path, data, &r)
	return r, err
}

func (c *HTTPClient) do(ctx context.Context, w api.HostEntry, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "worker %s", w.ID)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return errors.Wrapf(err, "worker %s", w.ID)
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("worker %s: %s", w.ID, resp.Status)
	case len(data) > maxResponseBytes:
		return errors.Errorf("worker %s: response is larger than %d bytes", w.ID, maxResponseBytes)
	}
	return errors.Wrapf(json.Unmarshal(data, into), "worker %s", w.ID)
}

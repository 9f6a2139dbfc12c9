package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
	"samphirewell/internal/standin/lease"
	"samphirewell/internal/wire"
)

const testTimeout = 20 * time.Second // ends a test that hangs; no result depends on it

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// newHTTPClient returns a client that shares no connections with other tests.
func newHTTPClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

func startPlatform(t *testing.T) (*Platform, *platform.Client) {
	p, err := StartPlatform(PlatformConfig{})
	must.NoError(t, err)
	t.Cleanup(p.Close)
	c := platform.NewClient(p.URL(), platform.ClientOptions{Timeout: testTimeout})
	t.Cleanup(c.Close)
	return p, c
}

// Guards against a platform client and a simulated platform that differ in paths, fields or errors.
func TestPlatformServesTableObjectsAndHosts(t *testing.T) {
	p, c := startPlatform(t)
	ctx := testContext(t)

	resp, err := c.Txn(ctx, api.TxnRequest{Writes: []api.TableWrite{{Key: "a/1", Value: "one"}}})
	must.NoError(t, err)
	must.True(t, resp.Committed)
	rows, err := c.Scan(ctx, "a/", "", 10)
	must.NoError(t, err)
	must.Eq(t, []api.TableRow{{Key: "a/1", Version: 1, Value: "one"}}, rows.Rows)
	rows, err = c.Get(ctx, "a/1", "a/2")
	must.NoError(t, err)
	must.Len(t, 1, rows.Rows)

	must.NoError(t, c.Objects().Put(ctx, "dir/name with space", []byte("data")))
	data, err := c.Objects().Get(ctx, "dir/name with space")
	must.NoError(t, err)
	must.Eq(t, "data", string(data))
	_, err = c.Objects().Get(ctx, "missing")
	must.ErrorIs(t, err, platform.ErrNotFound)

	p.AddHost(api.HostEntry{ID: "w1", Role: api.HostEntryRoleWorker})
	hosts, err := c.Hosts(ctx)
	must.NoError(t, err)
	must.Eq(t, "w1", hosts.Hosts[0].ID)
	must.Eq(t, uint64(5), p.Stats().Reads)
	must.Eq(t, uint64(2), p.Stats().Writes)
}

func startExecutor(t *testing.T, cfg ExecutorConfig) *Executor {
	e, err := StartExecutor(cfg)
	must.NoError(t, err)
	t.Cleanup(e.Close)
	return e
}

// callResponse is the response to a call as the caller receives it.
type callResponse struct {
	status int
	header http.Header
	body   string
}

// sendCall sends a call with the given call id and the idempotency key "key-"+id.
func sendCall(t *testing.T, client *http.Client, e *Executor, id, body string) (callResponse, error) {
	req, err := http.NewRequestWithContext(testContext(t), http.MethodPost, e.URL()+wire.PathExecutorCall+"orders/price", bytes.NewBufferString(body))
	must.NoError(t, err)
	req.Header.Set(wire.HeaderCallID, id)
	req.Header.Set(wire.HeaderIdempotencyKey, "key-"+id)
	resp, err := client.Do(req)
	if err != nil {
		return callResponse{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callResponse{resp.StatusCode, resp.Header, string(data)}, err
}

// Guards against an executor that deviates from the call protocol.
func TestExecutorEchoesAndAnswers(t *testing.T) {
	e := startExecutor(t, ExecutorConfig{})
	r, err := sendCall(t, newHTTPClient(t), e, "c1", "hello")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, r.status)
	must.Eq(t, "c1", r.header.Get(wire.HeaderCallID))
	must.Eq(t, "8", r.header.Get(wire.HeaderFreeSlots))
	must.Eq(t, "false", r.header.Get(wire.HeaderLeaving))
	must.Eq(t, string(ExpectedResponse("orders", "price", []byte("hello"))), r.body)
	must.Len(t, 1, RunsByKey(e)["key-c1"])
}

func startWorker(t *testing.T) *Worker {
	w, err := StartWorker(WorkerConfig{Lease: lease.Config{WorkerID: "w1", Incarnation: "i1", Cores: 130, MemoryGB: 500, Accelerators: 8}})
	must.NoError(t, err)
	t.Cleanup(w.Close)
	return w
}

func post(t *testing.T, client *http.Client, url string, body any) (api.LeaseResponse, error) {
	var out api.LeaseResponse
	data, err := json.Marshal(body)
	must.NoError(t, err)
	resp, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// Guards against a worker whose paths or message formats deviate from the lease protocol.
func TestWorkerServesLeaseProtocol(t *testing.T) {
	w, client := startWorker(t), newHTTPClient(t)
	reserve := func(id string, part int) api.ReserveRequest {
		return api.ReserveRequest{LeaseID: id, JobID: "j", Part: part, Token: 5, Accelerators: 4, TtlMS: 60_000, RunMS: 3_600_000}
	}
	resp, err := post(t, client, w.URL()+PathReserve, []api.ReserveRequest{reserve("l0", 0), reserve("l1", 1)})
	must.NoError(t, err)
	must.Len(t, 2, resp.Results)
	resp, err = post(t, client, w.URL()+PathReserve, reserve("l2", 2))
	must.NoError(t, err)
	must.Eq(t, lease.ReasonNoCapacity, resp.Results[0].Reason)
	refs := []api.LeaseRef{{LeaseID: "l0", JobID: "j", Token: 5}, {LeaseID: "l1", JobID: "j", Token: 5}}
	for _, step := range []struct {
		path  string
		state api.LeaseResultState
	}{
		{PathCommit, api.LeaseResultStateRunning},
		{PathRenew, api.LeaseResultStateRunning},
		{PathCheckpoint, api.LeaseResultStateRunning},
		{PathThrottle, api.LeaseResultStateRunning},
		{PathStop, api.LeaseResultStateStopped},
	} {
		resp, err := post(t, client, w.URL()+step.path, api.LeaseCommand{Leases: refs, TtlMS: 60_000})
		must.NoError(t, err)
		for _, r := range resp.Results {
			must.True(t, r.Ok, must.Sprint(step.path))
			must.Eq(t, step.state, r.State, must.Sprint(step.path))
		}
	}
	must.Eq(t, 8, w.Report().FreeAccelerators)
}

package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
)

// Guards against reporting that a request had no effect although it may have had one. The caller would then send it again.
func TestClientErrorsByAnswer(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"refused without effect": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderNoEffect, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, platform.ErrUnavailable},
		"503 of a proxy": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, platform.ErrUncertain},
		"server error":   {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, platform.ErrUncertain},
		"malformed":      {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"rows":`)) }, platform.ErrUncertain},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{`))
		}, platform.ErrUncertain},
		"no answer":   {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, platform.ErrUncertain},
		"bad request": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, platform.ErrRejected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := platform.NewClient(server.URL, platform.ClientOptions{Timeout: 20 * time.Second})
			defer client.Close()
			_, err := client.Txn(context.Background(), api.TxnRequest{})
			must.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against treating a failed dial as a lost response. Callers would then stop although they may safely send the request again.
func TestClientReportsFailedDialAsUnavailable(t *testing.T) {
	errRefused := errors.New("connection refused")
	client := platform.NewClient("http://127.0.0.1:1", platform.ClientOptions{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return nil, errRefused },
	})
	_, err := client.Get(context.Background(), "a")
	must.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against requests that never end: if the server doesn't respond, the request must fail with ErrUncertain after the timeout.
func TestClientTimesOut(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	client := platform.NewClient(server.URL, platform.ClientOptions{Timeout: 50 * time.Millisecond})
	defer client.Close()
	_, err := client.Txn(context.Background(), api.TxnRequest{})
	must.ErrorIs(t, err, platform.ErrUncertain)
}

// Guards against the HTTP library resending a transaction on its own when a reused connection breaks.
func TestClientNeverReplaysATransaction(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"committed":true,"rows":[],"nowMs":1}`))
	}))
	defer server.Close()
	client := platform.NewClient(server.URL, platform.ClientOptions{Timeout: 20 * time.Second})
	defer client.Close()
	_, err := client.Txn(context.Background(), api.TxnRequest{})
	must.NoError(t, err)
	_, err = client.Txn(context.Background(), api.TxnRequest{})
	must.ErrorIs(t, err, platform.ErrUncertain)
	must.Eq(t, int64(2), requests.Load())
}

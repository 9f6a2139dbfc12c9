package client

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/outcome"
)

// brokenConn fails writes once broken is set, like a connection that its peer has closed.
type brokenConn struct {
	net.Conn
	broken *atomic.Bool
}

// Write implements net.Conn.
func (c brokenConn) Write(b []byte) (int, error) {
	if c.broken.Load() {
		return 0, errors.New("broken")
	}
	return c.Conn.Write(b)
}

// Guards against an unknown outcome for a request that was assigned to an idle connection while a stopping host closed it: no byte was sent, so the
// request has not run and may be sent to another host.
func TestRequestOnAClosedIdleConnectionHasNotRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer server.Close()
	var broken atomic.Bool
	tr := newTransport()
	tr.http.Transport.(*http.Transport).DialContext = countWrites(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return brokenConn{conn, &broken}, err
	})
	send := func() outcome.Outcome {
		return tr.exchange(context.Background(), http.MethodPost, server.URL, http.Header{}, []byte("body")).outcome
	}
	must.Eq(t, outcome.Answered, send().Kind)
	broken.Store(true)
	must.Eq(t, outcome.NotRun, send().Kind)
}

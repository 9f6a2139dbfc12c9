package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func do(c *Client, address string, limit time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return c.Do(ctx, Request{Address: address, Method: http.MethodPost, Target: "/x?y=1", Body: []byte("body"), Header: []Header{{"X-A", "b"}}})
}

// Guards against a request or response that arrives incomplete, and against a client that opens a new connection for each call.
func TestCallsShareAConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(r.Method + r.URL.String() + string(data) + r.Header.Get("X-A")))
	}))
	defer server.Close()
	var opened atomic.Int64
	c := New(func() { opened.Add(1) })
	for range 5 {
		r, err := do(c, server.Listener.Addr().String(), time.Second)
		must.NoError(t, err)
		must.Eq(t, Response{Status: http.StatusConflict, Body: []byte("POST/x?y=1bodyb")}, r)
	}
	must.Eq(t, int64(1), opened.Load())
}

// Guards against a call that fails because the peer has closed the idle connection: a new connection must be opened instead.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	c := New(nil)
	address := server.Listener.Addr().String()
	_, err := do(c, address, time.Second)
	must.NoError(t, err)
	server.CloseClientConnections()
	time.Sleep(50 * time.Millisecond)
	_, err = do(c, address, time.Second)
	must.NoError(t, err)
}

// Guards against an error that reports a call as not sent although it may have been carried out, and against waiting beyond the limit.
func TestErrorsTellWhetherACallWasSent(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer unresponsive.Close()
	begin := time.Now()
	_, err = do(New(nil), unresponsive.Addr().String(), 100*time.Millisecond)
	must.ErrorIs(t, err, ErrNoResponse)
	must.Less(t, 2*time.Second, time.Since(begin))
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	_, err = do(New(nil), closed.Addr().String(), time.Second)
	must.ErrorIs(t, err, ErrNotSent)
}

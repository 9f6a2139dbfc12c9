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

// Guards against a call that loses a part on its way, and against a connection a call.
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

// Guards against a kept connection whose peer went away in between: the call must go over a new one instead of failing.
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

// Guards against taking a call that may have been carried out for one that wasn't sent, and against waiting beyond the limit.
func TestErrorsTellWhetherACallWasSent(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer silent.Close()
	begin := time.Now()
	_, err = do(New(nil), silent.Addr().String(), 100*time.Millisecond)
	must.ErrorIs(t, err, ErrNoAnswer)
	must.Less(t, 2*time.Second, time.Since(begin))
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, gone.Close())
	_, err = do(New(nil), gone.Addr().String(), time.Second)
	must.ErrorIs(t, err, ErrNotSent)
}

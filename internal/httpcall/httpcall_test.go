package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
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

// mutableListener accepts connections that forward bytes to a server until they are muted; muted connections stay open and carry nothing.
type mutableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*mutableConn
}

// Accept implements net.Listener.
func (l *mutableListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &mutableConn{Conn: raw}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

func (l *mutableListener) muteOpenConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.muted.Store(true)
	}
}

// mutableConn loses all that is written to it while it is muted.
type mutableConn struct {
	net.Conn
	muted atomic.Bool
}

// Write implements net.Conn.
func (c *mutableConn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Guards against a series of calls that each wait for a connection that went silent at the same moment, while a new connection would respond.
func TestOneSilentConnectionEndsTheUseOfAllOlderOnes(t *testing.T) {
	const calls = 4
	var arrived sync.WaitGroup
	arrived.Add(calls)
	var served atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if served.Add(1) <= calls {
			arrived.Done()
			arrived.Wait()
		}
	}))
	listener := &mutableListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	c := New(nil)
	address := listener.Addr().String()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { _, _ = do(c, address, time.Second) })
	}
	group.Wait()
	listener.muteOpenConnections()
	_, err := do(c, address, 100*time.Millisecond)
	must.ErrorIs(t, err, ErrNoResponse)
	_, err = do(c, address, 100*time.Millisecond)
	must.NoError(t, err)
}

// Guards against counts of connections that drift from the open ones: those that fail to open, break, are idle or are in use.
func TestCountsFollowConnections(t *testing.T) {
	var hold sync.WaitGroup
	hold.Add(1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Hold") != "" {
			hold.Wait()
		}
	}))
	defer server.Close()
	c := New(nil)
	address := server.Listener.Addr().String()
	_, err := do(c, address, time.Second)
	must.NoError(t, err)
	must.Eq(t, Counts{Idle: 1}, c.Counts())
	held := make(chan error)
	for range 2 {
		go func() {
			_, err := c.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/", Header: []Header{{"X-Hold", "1"}}})
			held <- err
		}()
	}
	for c.Counts().Active < 2 {
		time.Sleep(time.Millisecond)
	}
	hold.Done()
	must.NoError(t, <-held)
	must.NoError(t, <-held)
	must.Eq(t, Counts{Idle: 2}, c.Counts())
	must.Eq(t, 2, c.TakePeak())
	server.Close()
	_, err = do(c, address, time.Second)
	must.ErrorIs(t, err, ErrNotSent)
	must.Eq(t, Counts{}, c.Counts())
	must.Eq(t, 2, c.TakePeak())
	must.Eq(t, 0, c.TakePeak())
}

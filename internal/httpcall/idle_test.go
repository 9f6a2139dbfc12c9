package httpcall

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a host that runs out of descriptors because it keeps the connections to workers that have left.
func TestConnectionsToAddressesThatAreNoLongerCalledAreClosed(t *testing.T) {
	c := New(nil)
	c.idleTimeout = 200 * time.Millisecond
	for range 20 {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		_, err := do(c, server.Listener.Addr().String(), time.Second)
		must.NoError(t, err)
		server.Close()
	}
	must.Eq(t, 20, c.Counts().Idle)
	for end := time.Now().Add(5 * time.Second); c.Counts().Idle > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, Counts{}, c.Counts())
	c.mu.Lock()
	defer c.mu.Unlock()
	must.MapEmpty(t, c.idle)
}

// Guards against a connection that is closed although it is used often.
func TestConnectionInRegularUseStaysOpen(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var opened atomic.Int64
	c := New(func() { opened.Add(1) })
	c.idleTimeout = time.Second
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		_, err := do(c, server.Listener.Addr().String(), time.Second)
		must.NoError(t, err)
	}
	must.Eq(t, int64(1), opened.Load())
}

// Guards against a host that runs out of descriptors because it keeps several connections to each of very many workers.
func TestLeastRecentlyUsedConnectionIsClosedAtTheLimit(t *testing.T) {
	const limit int = 5
	var opened atomic.Int64
	c := New(func() { opened.Add(1) })
	c.SetLimit(func() int { return limit })
	var addresses []string
	for range limit + 1 {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	for _, a := range addresses {
		_, err := do(c, a, time.Second)
		must.NoError(t, err)
	}
	must.Eq(t, limit, c.TakePeak())
	for _, a := range addresses[1:] {
		_, err := do(c, a, time.Second)
		must.NoError(t, err)
	}
	must.Eq(t, int64(limit+1), opened.Load())
	_, err := do(c, addresses[0], time.Second)
	must.NoError(t, err)
	must.Eq(t, int64(limit+2), opened.Load())
}

// Guards against a limit that changes and isn't applied to the connections that are open.
func TestIdleConnectionsAboveALowerLimitAreClosed(t *testing.T) {
	var limit atomic.Int64
	limit.Store(10)
	c := New(nil)
	c.idleTimeout = time.Second
	c.SetLimit(func() int { return int(limit.Load()) })
	for range 6 {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer server.Close()
		_, err := do(c, server.Listener.Addr().String(), time.Second)
		must.NoError(t, err)
	}
	limit.Store(2)
	for end := time.Now().Add(700 * time.Millisecond); c.Counts().Idle > 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, Counts{Idle: 2}, c.Counts())
}

// Guards against a call that fails or exceeds the limit while all connections are in use, and against one that waits beyond its time.
func TestCallWaitsWhileAllConnectionsAreInUse(t *testing.T) {
	var hold sync.WaitGroup
	hold.Add(1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			hold.Wait()
		}
	}))
	defer server.Close()
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer other.Close()
	c := New(nil)
	c.SetLimit(func() int { return 1 })
	first := make(chan error)
	go func() {
		_, err := c.Do(t.Context(), Request{Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/"})
		first <- err
	}()
	for c.Counts().Active == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := do(c, other.Listener.Addr().String(), 50*time.Millisecond)
	must.ErrorIs(t, err, ErrNotSent)
	second := make(chan error)
	go func() {
		_, err := do(c, other.Listener.Addr().String(), 5*time.Second)
		second <- err
	}()
	time.Sleep(20 * time.Millisecond)
	hold.Done()
	must.NoError(t, <-first)
	must.NoError(t, <-second)
	must.Eq(t, 1, c.TakePeak())
	must.Eq(t, Counts{Idle: 1}, c.Counts())
}

// Guards against counts that drift, a limit that is exceeded, and calls that never get a connection, under random calls to many addresses, some of which
// time out, are reset or refused.
func TestConnectionsStayWithinTheLimitUnderRandomCalls(t *testing.T) {
	var servers []*httptest.Server
	for i := range 6 {
		servers = append(servers, httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			switch i {
			case 0:
				panic(http.ErrAbortHandler)
			case 1:
				time.Sleep(20 * time.Millisecond)
			}
		})))
		servers[i].Config.ErrorLog = nil
		defer servers[i].Close()
	}
	servers[2].Close()
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		c := New(nil)
		c.idleTimeout = time.Duration(rapid.IntRange(5, 50).Draw(t, "idle timeout")) * time.Millisecond
		c.SetLimit(func() int { return limit })
		var group sync.WaitGroup
		for range rapid.IntRange(1, 8).Draw(t, "callers") {
			targets := rapid.SliceOfN(rapid.IntRange(0, len(servers)-1), 1, 6).Draw(t, "targets")
			group.Go(func() {
				for _, target := range targets {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
					_, _ = c.Do(ctx, Request{Address: servers[target].Listener.Addr().String(), Method: http.MethodPost, Target: "/"})
					cancel()
				}
			})
		}
		group.Wait()
		if peak := c.TakePeak(); peak > limit {
			t.Fatalf("%d connections, expected at most %d", peak, limit)
		}
		if n := c.Counts(); n.Active != 0 || n.Idle > limit {
			t.Fatalf("connections %+v after all calls have ended, limit %d", n, limit)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waiting.Len() > 0 {
			t.Fatalf("%d calls wait for a connection after all have ended", c.waiting.Len())
		}
	})
}

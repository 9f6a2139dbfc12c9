package peer

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/clock"
)

func (p *Pool) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// Guards against a host that keeps a connection and a map entry for each host that it has ever called, also for those that have left.
func TestConnectionsToHostsThatAreNoLongerCalledAreClosed(t *testing.T) {
	p := startPool(t, clock.Real{})
	p.idleTimeout = 200 * time.Millisecond
	var servers []*Server
	for range 5 {
		s, address := startServer(t, "127.0.0.1:0")
		servers = append(servers, s)
		_, err := call(t, p, address, "x")
		must.NoError(t, err)
	}
	_, err := call(t, p, "127.0.0.1:1", "x")
	must.ErrorIs(t, err, ErrNotSent)
	must.Eq(t, 6, p.linkCount())
	for end := time.Now().Add(5 * time.Second); p.linkCount() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, 0, p.linkCount())
	for _, s := range servers {
		for end := time.Now().Add(5 * time.Second); s.Connections() > 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, 0, s.Connections())
	}
}

// Guards against a call that is cut because it takes longer than idle connections are kept, and against a new connection for each call.
func TestConnectionInUseIsNotClosed(t *testing.T) {
	s, address := startServer(t, "127.0.0.1:0")
	p := startPool(t, clock.Real{})
	p.idleTimeout = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	began := time.Now()
	err := p.Call(ctx, address, "hang", nil, nil)
	must.True(t, errors.Is(err, ErrUncertain) && time.Since(began) > 900*time.Millisecond, must.Sprint(err, time.Since(began)))
	for range 20 {
		_, err := call(t, p, address, "x")
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 1, s.Connections())
	must.Eq(t, 1, p.stats.Sent(MethodHello).Messages)
}

package front

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/outcome"
)

const (
	// drainPollInterval is the interval at which Drain checks for running calls and open connections.
	drainPollInterval = 5 * time.Millisecond
	// idleCloseLimit bounds the wait for callers to close their idle connections.
	idleCloseLimit = 3 * lingerTime
	// lateConnectionWait is the time without open connections after which the listener closes. A balancer that is slower than its
	// configured lag still opens connections, which an earlier close would reset.
	lateConnectionWait = 500 * time.Millisecond
)

// Drain takes the server out of service. It clears readiness immediately, and responses ask callers to close their connections. After the
// balancer's lag, new calls are refused, running calls are completed and idle connections are closed. Calls that still wait for an executor
// MaxCallTime before the deadline of ctx are refused as not run; without a deadline, after MaxCallTime. If calls are still running when ctx
// ends, Drain closes their connections and returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.ready.Store(false)
	s.leaving.Store(true)
	s.log.Info("draining: readiness is off")
	select {
	case <-s.clock.After(s.limits.drainLag):
	case <-ctx.Done():
	}
	s.refusing.Store(true)
	err := s.awaitIdle(ctx)
	s.closeIdleConns(ctx)
	s.Close()
	s.log.WithField("complete", err == nil).Info("drained")
	return err
}

// awaitIdle waits until no call is running or waiting. It refuses waiting calls as Drain describes.
func (s *Server) awaitIdle(ctx context.Context) error {
	refuseAt := s.clock.Now()
	if end, ok := ctx.Deadline(); ok {
		refuseAt = refuseAt.Add(time.Until(end) - MaxCallTime)
	} else {
		refuseAt = refuseAt.Add(MaxCallTime)
	}
	for s.active.Load() > 0 {
		if !s.clock.Now().Before(refuseAt) {
			s.dispatcher.refuseAll(outcome.Refuse(outcome.Draining, drainRetryAfter))
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "calls are still running")
		case <-s.clock.After(drainPollInterval):
		}
	}
	return nil
}

// closeIdleConns closes the idle connections until the callers have closed theirs. A caller may send its next request just when its connection
// is closed, and could not detect whether that request ran. Each idle connection therefore gets a 408 response with the outcome not-run
// first. A caller whose request is in flight reads it as the response to that request; a caller without a request discards it, as it does
// with a 408 after an idle timeout.
func (s *Server) closeIdleConns(ctx context.Context) {
	lastOpen := s.clock.Now() // when a connection was last seen open
	for end := lastOpen.Add(idleCloseLimit); s.clock.Now().Before(end); {
		open := s.openConns()
		if len(open) > 0 {
			lastOpen = s.clock.Now()
		}
		if s.clock.Now().Sub(lastOpen) >= lateConnectionWait {
			return
		}
		for _, c := range open {
			c.startClosing()
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(drainPollInterval):
		}
	}
}

func (s *Server) openConns() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

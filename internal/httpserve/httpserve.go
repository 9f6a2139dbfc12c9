// Package httpserve is a small HTTP/1.1 server with graceful shutdown, based on nbhttp's parser.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/netconn"
)

const (
	// idleTimeout is the time without a request after which a connection is closed. It exceeds the time between the requests of callers that
	// reuse their connections.
	idleTimeout = 60 * time.Second
	// stopPollInterval is the interval at which Stop checks whether connections are open.
	stopPollInterval = 5 * time.Millisecond
	// stopReadTimeout is how long the rest of a request may take to arrive while the server stops; it covers a lost packet.
	stopReadTimeout = time.Second
	// responseTime is the part of the time of Stop that is reserved for the responses to requests that are still in progress then. It allows a host
	// with a fifth of a core to send some hundred of them.
	responseTime = 500 * time.Millisecond
)

// Server serves one address.
type Server struct {
	address     string
	limits      Limits
	engine      *nbhttp.Engine
	log         logrus.FieldLogger
	listener    net.Listener
	leaving     atomic.Bool     // responses ask callers to close their connections
	stopping    atomic.Bool     // connections are closed once all requests on them are answered
	requests    context.Context // of all requests
	endRequests context.CancelFunc
	active      atomic.Int64
	broken      *reportLimiter // of log lines about broken connections

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed chan struct{} // gets a value, if it has none, when a connection is closed
}

// New returns a server that does not listen yet. The handler has to respond soon after the context of its request has ended.
func New(address string, limits Limits, handler http.Handler, log logrus.FieldLogger) *Server {
	s := &Server{address: address, limits: limits.withDefaults(log), log: log, broken: &reportLimiter{}, conns: map[*serverConn]struct{}{}, closed: make(chan struct{}, 1)}
	s.requests, s.endRequests = context.WithCancel(context.Background())
	s.engine = nbhttp.NewEngine(nbhttp.Config{Name: address, Handler: s.wrap(handler)})
	return s
}

// wrap sets the context of requests, and asks callers to close their connections while the server is leaving.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r.WithContext(s.requests))
	})
}

// Start listens and serves.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.serve(ln)
	return nil
}

func (s *Server) serve(ln net.Listener) {
	s.listener = ln
	go s.accept(ln)
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// StartDraining makes responses ask callers to close their connections, while the server continues to serve.
func (s *Server) StartDraining() { s.leaving.Store(true) }

// Stop closes the listener, and each connection as soon as all requests that have arrived on it are answered. Requests that are in progress shortly
// before the deadline of ctx are ended by their contexts. When ctx ends, Stop closes the remaining connections; the error states how many requests were
// interrupted. One log line states how many connections and requests there were at the beginning and at the end.
func (s *Server) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	s.stopping.Store(true)
	_ = s.listener.Close()
	log := s.log.WithFields(logrus.Fields{"address": s.address, "connections": s.Connections(), "in_progress": s.active.Load()})
	s.wakeReaders()
	if end, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(end)-responseTime, s.endRequests).Stop()
	}
	for s.Connections() > 0 && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	s.endRequests()
	interrupted := s.active.Load()
	log.WithFields(logrus.Fields{"left_open": s.Connections(), "interrupted": interrupted}).Info("connections closed")
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
	if interrupted > 0 {
		return errors.Errorf("%d requests in progress were interrupted", interrupted)
	}
	return nil
}

// wakeReaders ends the current reads of all connections, so that they detect that the server stops.
func (s *Server) wakeReaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) accept(ln net.Listener) {
	netconn.Accept(ln, func(err error, failures int) {
		s.log.WithField("failures", failures).WithError(err).Warn("accept failed")
	}, func(conn net.Conn) {
		c := newConn(s, conn)
		if !s.awaitRoom(c) {
			_ = conn.Close()
			return
		}
		go c.loop()
	})
}

// awaitRoom waits until the server has room for the connection and adds it. While it waits, nothing is accepted, and the connection that is cheapest to
// close makes room. It returns false if the server stops.
func (s *Server) awaitRoom(c *serverConn) bool {
	for {
		added, stopping := s.track(c)
		if added || stopping {
			return added
		}
		s.makeRoom()
		select {
		case <-s.closed:
		case <-time.After(roomPollInterval):
		}
	}
}

func (s *Server) track(c *serverConn) (added, stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false, true
	}
	if len(s.conns) >= s.limits.Connections {
		return false, false
	}
	s.conns[c] = struct{}{}
	return true, false
}

// makeRoom ends the connection that is cheapest to close, if there is one.
func (s *Server) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := sinceStart()
	var victim *serverConn
	best := evictionRank{}
	for c := range s.conns {
		if r := c.evictionRank(now); r.before(best) {
			victim, best = c, r
		}
	}
	if victim != nil && victim.evict(best.phase) {
		s.limits.Refusals.Add(kindConnections)
	}
}

func (s *Server) untrack(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.closed <- struct{}{}:
	default:
	}
}

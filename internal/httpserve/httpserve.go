// Package httpserve is a small HTTP/1.1 server with graceful shutdown, based on nbhttp's parser.
package httpserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/netconn"
)

const (
	readBufferBytes = 4096
	// idleTimeout is the time without a request after which a connection is closed. It exceeds the time between the requests of callers that
	// reuse their connections.
	idleTimeout = 60 * time.Second
	// requestTimeout bounds the time that one request takes to arrive.
	requestTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// maxConnections bounds the connections of one server. It is below the number of file descriptors of the smallest hosts (4,100, of which
	// 200 are for files).
	maxConnections = 3000
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
	engine      *nbhttp.Engine
	log         logrus.FieldLogger
	listener    net.Listener
	leaving     atomic.Bool     // responses ask callers to close their connections
	stopping    atomic.Bool     // connections are closed once all requests on them are answered
	requests    context.Context // of all requests
	endRequests context.CancelFunc
	active      atomic.Int64

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// New returns a server that does not listen yet. maxBody bounds the body of a request in bytes. The handler has to respond soon after the context of
// its request has ended.
func New(address string, maxBody int, handler http.Handler, log logrus.FieldLogger) *Server {
	s := &Server{address: address, log: log, conns: map[*serverConn]struct{}{}}
	s.requests, s.endRequests = context.WithCancel(context.Background())
	s.engine = nbhttp.NewEngine(nbhttp.Config{Name: address, Handler: s.wrap(handler), ReadLimit: maxBody + maxHeaderBytes, MaxHTTPBodySize: maxBody})
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
		c := &serverConn{server: s, conn: conn}
		if !s.track(c) {
			_ = conn.Close()
			return
		}
		go c.loop()
	})
}

func (s *Server) track(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serverConn is one connection. One goroutine reads from it and passes the bytes to nbhttp's parser, which calls the handler in the same
// goroutine.
type serverConn struct {
	server         *Server
	conn           net.Conn
	requestStarted bool      // the first bytes of a request have arrived
	handlerRunning bool      // the handler is running or has panicked
	requests       int       // number of requests whose handler has returned
	lastRequest    time.Time // when the handler last returned
}

// responseConn is the connection to which responses are written. It keeps the first error.
type responseConn struct {
	net.Conn
	err error
}

// Write implements net.Conn.
func (r *responseConn) Write(b []byte) (int, error) {
	n, err := r.Conn.Write(b)
	if r.err == nil {
		r.err = err
	}
	return n, err
}

func (c *serverConn) loop() {
	defer c.server.untrack(c)
	defer c.conn.Close()
	responses := &responseConn{Conn: c.conn}
	parser := nbhttp.NewParser(responses, c.server.engine, nbhttp.NewServerProcessor(), false, c.execute)
	defer parser.CloseAndClean(io.EOF)
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.read(buf)
		if n > 0 {
			c.requestStarted = true
			if perr := parser.Parse(buf[:n]); perr != nil || c.handlerRunning {
				c.server.log.WithField("caller", c.conn.RemoteAddr().String()).WithError(perr).Info("connection closed after a malformed request")
				return
			}
		}
		if err != nil {
			c.logBroken(err, responses.err)
			return
		}
	}
}

// logBroken logs that a response could not be written, or that the connection was reset by the other end, which may not have read the last response.
func (c *serverConn) logBroken(readErr, writeErr error) {
	err := writeErr
	if err == nil && errors.Is(readErr, syscall.ECONNRESET) {
		err = readErr
	}
	if err == nil || c.requests == 0 || errors.Is(err, net.ErrClosed) { // Stop closes connections too, and logs how many
		return
	}
	c.server.log.WithFields(logrus.Fields{"caller": c.conn.RemoteAddr().String(), "requests": c.requests,
		"since_request_ms": time.Since(c.lastRequest).Milliseconds()}).WithError(err).Info("connection broken by the caller or the network")
}

// read reads the next bytes. It returns io.EOF if the server stops and no part of a request has arrived: closing the connection then loses no request
// that was read.
func (c *serverConn) read(buf []byte) (int, error) {
	for {
		stopping := c.server.stopping.Load()
		end := time.Now().Add(c.readTimeout(stopping))
		_ = c.conn.SetReadDeadline(end)
		// Stop sets stopping before it ends the reads, so a read that begins before Stop is ended by it.
		if stopping != c.server.stopping.Load() {
			continue
		}
		if stopping && !c.requestStarted {
			if _, received := netconn.CheckIdle(c.conn); !received {
				return 0, io.EOF
			}
		}
		n, err := c.conn.Read(buf)
		if endedByStop := n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(end); !endedByStop {
			return n, err
		}
	}
}

func (c *serverConn) readTimeout(stopping bool) time.Duration {
	switch {
	case !c.requestStarted:
		return idleTimeout
	case stopping:
		return stopReadTimeout
	}
	return requestTimeout
}

// execute runs the handler and writes its response. The parser calls it for each complete request.
func (c *serverConn) execute(f func()) bool {
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	c.handlerRunning = true
	f()
	c.handlerRunning = false
	c.requestStarted = false
	c.requests++
	c.lastRequest = time.Now()
	return true
}

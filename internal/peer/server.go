package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"samphirewell/internal/api"
	"samphirewell/internal/netconn"
)

// discardLogger discards the library's log lines about broken connections; the counters show them.
var discardLogger = log.New(io.Discard, "", 0)

// processStart is the origin of the times of sessions, which don't follow changes of the wall clock.
var processStart = time.Now()

// Server serves requests of peers.
type Server struct {
	self    Identity
	methods Registry
	stats   *Stats
	limit   int
	evicted func()

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]*session
	closed bool
}

// NewServer returns a server that serves the registered methods and hello.
func NewServer(self Identity, methods Registry, stats *Stats) *Server {
	return &Server{self: self, methods: methods, stats: stats, limit: defaultConnections, evicted: func() {}, conns: map[*jsonrpc2.Conn]*session{}}
}

// Limit sets the largest number of open connections. At the limit, accepting pauses, and a connection without hello, or else the one that has been idle
// for longest, is closed in favour of a new one; evicted is called for each. Limit is called before Serve.
func (s *Server) Limit(connections int, evicted func()) { s.limit, s.evicted = connections, evicted }

// Serve accepts connections until the listener is closed. See netconn.Accept on onError.
func (s *Server) Serve(ln net.Listener, onError func(err error, failures int)) {
	netconn.Accept(ln, onError, s.startSession)
}

func (s *Server) startSession(conn net.Conn) {
	for !s.tryStartSession(conn) {
		time.Sleep(roomPollInterval)
	}
}

// tryStartSession returns false if there is no room for the connection yet.
func (s *Server) tryStartSession(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return true
	}
	if len(s.conns) >= s.limit && !s.makeRoom() {
		return false
	}
	stream := newStream(conn, s.stats)
	stream.maxMessageBytes = maxHelloBytes
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	session := &session{server: s, stream: stream}
	session.usedAt.Store(int64(time.Since(processStart)))
	c := jsonrpc2.NewConn(context.Background(), stream, session, jsonrpc2.SetLogger(discardLogger))
	s.conns[c] = session
	go func() {
		<-c.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	return true
}

// makeRoom closes the connection that is cheapest to close. It returns false if there is none.
func (s *Server) makeRoom() bool {
	var victim *jsonrpc2.Conn
	var chosen *session
	idleBefore := int64(time.Since(processStart) - minIdleTime)
	for c, candidate := range s.conns {
		if candidate.mayBeClosed(idleBefore) && (chosen == nil || candidate.cheaperThan(chosen)) {
			victim, chosen = c, candidate
		}
	}
	if victim == nil {
		return false
	}
	delete(s.conns, victim)
	s.evicted()
	// This frees the descriptor at once. Closing victim itself might wait for a write; it ends when its reads fail.
	_ = chosen.stream.conn.Close()
	return true
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections. The caller closes the listener.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	open := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// session handles the requests of one connection.
type session struct {
	server         *Server
	stream         *stream
	peerHost       atomic.Pointer[api.HostIdentity] // sender of hello; nil before hello
	activeRequests atomic.Int64
	usedAt         atomic.Int64 // when the last request began or the connection was opened, since processStart in nanoseconds
}

func (s *session) mayBeClosed(idleBefore int64) bool {
	return s.peerHost.Load() == nil || s.activeRequests.Load() == 0 && s.usedAt.Load() < idleBefore
}

// cheaperThan returns whether closing the session costs less than closing the other one.
func (s *session) cheaperThan(o *session) bool {
	if unknown := s.peerHost.Load() == nil; unknown != (o.peerHost.Load() == nil) {
		return unknown
	}
	return s.usedAt.Load() < o.usedAt.Load()
}

// Handle is called on the goroutine that reads the connection. It serves each request in its own goroutine, so that a key claim that
// waits does not delay pings.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s.usedAt.Store(int64(time.Since(processStart)))
	if req.Method == MethodHello {
		s.hello(ctx, conn, req)
		return
	}
	if s.peerHost.Load() == nil {
		reject(ctx, conn, req, codeNoHello, "hello is missing")
		return
	}
	if s.activeRequests.Add(1) > MaxConcurrent {
		s.activeRequests.Add(-1)
		reject(ctx, conn, req, codeBusy, "too many requests in progress")
		return
	}
	go func() {
		defer s.activeRequests.Add(-1)
		s.serve(ctx, conn, req)
	}()
}

func (s *session) hello(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var h api.Hello
	if req.Params == nil || json.Unmarshal(*req.Params, &h) != nil {
		reject(ctx, conn, req, jsonrpc2.CodeInvalidParams, "malformed hello")
		return
	}
	if h.ProtocolVersion != ProtocolVersion {
		reject(ctx, conn, req, codeVersion, "protocol versions differ")
		return
	}
	// Handle is called on the goroutine that reads, so the next message is read with the new limits.
	s.stream.maxMessageBytes = MaxMessageBytes
	_ = s.stream.conn.SetReadDeadline(time.Time{})
	s.peerHost.Store(&h.Host)
	self := s.server.self
	reply(ctx, conn, req, api.HelloResponse{ProtocolVersion: ProtocolVersion, Domain: self.Domain, Host: self.Host})
}

func (s *session) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	handler, ok := s.server.methods[req.Method]
	if !ok {
		reject(ctx, conn, req, jsonrpc2.CodeMethodNotFound, "unknown method")
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := handler(ctx, *s.peerHost.Load(), params)
	var rpcErr *jsonrpc2.Error
	switch {
	case errors.As(err, &rpcErr):
		reject(ctx, conn, req, rpcErr.Code, rpcErr.Message)
	case err != nil:
		reject(ctx, conn, req, jsonrpc2.CodeInternalError, err.Error())
	default:
		reply(ctx, conn, req, result)
	}
}

// reply sends a result. A write error closes the connection, so the peer detects it.
func reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any) {
	if !req.Notif {
		_ = conn.Reply(ctx, req.ID, result)
	}
}

func reject(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, msg string) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: msg})
	}
}

package front

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"samphirewell/internal/netconn"
	"samphirewell/internal/outcome"
	"samphirewell/internal/wire"
)

const (
	readBufferBytes = 4096
	// lingerTime and lingerBytes limit how long and how much is read after a refusal that was sent before the whole request was read.
	// Closing a connection with unread bytes resets it, and the caller could lose the refusal.
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// callerConn is one connection of a caller. One goroutine reads from it and passes the bytes to nbhttp's parser, which calls the handler in the
// same goroutine.
//
// nbhttp's own read loops are not used: the blocking one continues after a parse error, and the non-blocking one applies the read deadline to
// running calls, closes the connection while responses are still in its send buffer, and closes it without a response when a body is too large.
type callerConn struct {
	server           *Server
	conn             net.Conn
	parser           *nbhttp.Parser
	requestStartedAt time.Time      // arrival of the first byte of the current request; zero while idle
	handlerRunning   bool           // a handler is running or has panicked
	rejectReason     outcome.Reason // why the current request must not run; empty if it may

	state atomic.Int32 // connIdle, connBusy or connClosing
}

// States of a connection. Only an idle connection changes to connClosing, and requests that arrive on a closing connection are not run.
const (
	connIdle int32 = iota
	connBusy
	connClosing
)

func (s *Server) newEngine() *nbhttp.Engine {
	return nbhttp.NewEngine(nbhttp.Config{
		Name:            "front",
		Handler:         http.HandlerFunc(s.serve),
		ReadLimit:       s.limits.maxBody + MaxHeaderBytes,
		MaxHTTPBodySize: s.limits.maxBody,
		WriteTimeout:    MaxCallTime + RequestTimeout,
	})
}

func (s *Server) accept(ln net.Listener) {
	netconn.Accept(ln, func(_ error, failures int) { s.counters.Add("accept_errors", int64(failures)) }, s.serveConn)
}

func (s *Server) serveConn(conn net.Conn) {
	c := &callerConn{server: s, conn: conn}
	if s.pauses.mayBeStale(s.uptime()) {
		s.counters.Add("connections_after_pause", 1)
		_ = conn.Close()
		return
	}
	if !s.track(c) {
		s.counters.Add("connections_refused", 1)
		_ = conn.Close()
		return
	}
	go c.loop()
}

func (s *Server) track(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (c *callerConn) loop() {
	defer c.server.untrack(c)
	defer c.conn.Close()
	processor := &limitedProcessor{Processor: nbhttp.NewServerProcessor(), conn: c}
	c.parser = nbhttp.NewParser(c.conn, c.server.engine, processor, false, c.execute)
	defer c.parser.CloseAndClean(io.EOF)
	buf := make([]byte, readBufferBytes)
	for {
		if c.state.Load() != connClosing {
			_ = c.conn.SetReadDeadline(c.readDeadline())
		}
		n, err := c.conn.Read(buf)
		if n > 0 && c.server.pauses.mayBeStale(c.server.uptime()) {
			c.server.counters.Add("connections_after_pause", 1)
			return
		}
		pausesBefore := c.server.pauses.count.Load()
		if n > 0 && c.markBusy() {
			if !c.parse(buf[:n]) {
				return
			}
			c.markIdle()
		}
		if pausesBefore != c.server.pauses.count.Load() {
			return // the next request may have waited in the socket buffer while the process was paused during the handler
		}
		if err != nil {
			return
		}
	}
}

// markBusy marks the connection as busy. It returns false if the connection is closing; the bytes that were read are then discarded.
func (c *callerConn) markBusy() bool {
	return c.state.CompareAndSwap(connIdle, connBusy) || c.state.Load() == connBusy
}

// markIdle marks the connection as idle unless part of another request has already arrived.
func (c *callerConn) markIdle() {
	if c.requestStartedAt.IsZero() {
		c.state.Store(connIdle)
	}
}

// startClosing writes a single not-run response on an idle connection and gives the caller lingerTime to close it.
func (c *callerConn) startClosing() {
	if c.state.CompareAndSwap(connIdle, connClosing) {
		c.writeRefusal(http.StatusRequestTimeout, outcome.Refuse(outcome.Draining, drainRetryAfter))
	}
}

// readDeadline limits how long a connection stays idle and how long a request takes to arrive.
func (c *callerConn) readDeadline() time.Time {
	if c.requestStartedAt.IsZero() {
		return time.Now().Add(IdleTimeout)
	}
	return c.requestStartedAt.Add(RequestTimeout)
}

// parse passes the bytes to the parser and reports whether the connection stays usable.
func (c *callerConn) parse(data []byte) bool {
	if c.requestStartedAt.IsZero() {
		c.requestStartedAt = time.Now()
	}
	err := c.parser.Parse(data)
	if c.handlerRunning { // the handler panicked; nbhttp has logged it
		return false
	}
	if err == nil && c.rejectReason == "" {
		return true
	}
	reason := c.rejectReason
	if reason == "" {
		reason = outcome.BadRequest
		if errors.Is(err, nbhttp.ErrTooLong) {
			reason = outcome.TooLarge
		}
	}
	c.refuse(reason)
	return false
}

// execute runs the handler and writes its response. The parser calls it for each complete request.
func (c *callerConn) execute(f func()) bool {
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	c.handlerRunning = true
	f()
	c.handlerRunning = false
	c.requestStartedAt = time.Time{}
	return true
}

// refuse responds to a request that is malformed or too large, and keeps reading for up to lingerTime so that the response reaches the caller.
func (c *callerConn) refuse(reason outcome.Reason) {
	o := outcome.Refuse(reason, 0)
	c.server.count("", o)
	if c.writeRefusal(statusOf(o), o) {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, lingerBytes))
	}
}

// writeRefusal writes a refusal outside of a handler, closes the sending side and limits further reads to lingerTime. It reports whether the
// refusal was written.
func (c *callerConn) writeRefusal(status int, o outcome.Outcome) bool {
	header := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	wire.SetOutcome(header, o)
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&head)
	head.WriteString("\r\n")
	_ = c.conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		return false
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	return true
}

// limitedProcessor rejects requests that are too large before they are buffered.
type limitedProcessor struct {
	nbhttp.Processor
	conn        *callerConn
	headerBytes int
}

// OnHeader counts the bytes of the header fields.
func (p *limitedProcessor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.headerBytes += len(key) + len(value)
	if p.headerBytes > MaxHeaderBytes {
		p.conn.rejectReason = outcome.BadRequest
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength checks the announced length of the body, in bytes.
func (p *limitedProcessor) OnContentLength(parser *nbhttp.Parser, n int) {
	if n > p.conn.server.limits.maxBody {
		p.conn.rejectReason = outcome.TooLarge
	}
	p.Processor.OnContentLength(parser, n)
}

// OnComplete starts the handler unless the request was rejected.
func (p *limitedProcessor) OnComplete(parser *nbhttp.Parser) {
	p.headerBytes = 0
	if p.conn.rejectReason == "" {
		p.Processor.OnComplete(parser)
	}
}

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
	// lingerTime and lingerBytes bound the reading after a refusal that was sent before the whole request was read. Closing
	// with unread bytes would reset the connection and could destroy the refusal.
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// callerConn is one connection of a caller. It reads in one goroutine and hands the bytes to nbhttp's parser, which calls
// the handler in the same goroutine.
//
// nbhttp's own read loops are not used: the blocking one goes on after a parse error, and the non-blocking one applies the
// read deadline to running calls, closes with answers still in its send buffer, and closes without an answer when a body
// is too large.
type callerConn struct {
	server  *Server
	conn    net.Conn
	parser  *nbhttp.Parser
	started time.Time // first byte of the present request; zero while idle
	running bool      // a handler runs, or has panicked
	bad     outcome.Reason

	state atomic.Int32 // connIdle, connBusy or connDismissed
}

// States of a connection. Only an idle one is dismissed, and nothing that arrives on a dismissed one is run.
const (
	connIdle int32 = iota
	connBusy
	connDismissed
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
	netconn.Accept(ln, func(error) { s.counters.Add("accept_errors", 1) }, s.serveConn)
}

func (s *Server) serveConn(conn net.Conn) {
	c := &callerConn{server: s, conn: conn}
	if s.pause.stale(s.uptime()) {
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
		if c.state.Load() != connDismissed {
			_ = c.conn.SetReadDeadline(c.readDeadline())
		}
		n, err := c.conn.Read(buf)
		if n > 0 && c.server.pause.stale(c.server.uptime()) {
			c.server.counters.Add("connections_after_pause", 1)
			return
		}
		pauses := c.server.pause.pauses.Load()
		if n > 0 && c.take() {
			if !c.parse(buf[:n]) {
				return
			}
			c.release()
		}
		if pauses != c.server.pause.pauses.Load() {
			return // the next request may have waited while the handler and the process were held up
		}
		if err != nil {
			return
		}
	}
}

// take marks the connection as busy. It returns false if the connection was dismissed; what arrives then is dropped.
func (c *callerConn) take() bool {
	return c.state.CompareAndSwap(connIdle, connBusy) || c.state.Load() == connBusy
}

// release marks the connection as idle unless a part of the next request has arrived.
func (c *callerConn) release() {
	if c.started.IsZero() {
		c.state.Store(connIdle)
	}
}

// dismiss answers an idle connection once with the outcome not run, and gives the caller lingerTime to close it.
func (c *callerConn) dismiss() {
	if c.state.CompareAndSwap(connIdle, connDismissed) {
		c.writeRefusal(http.StatusRequestTimeout, outcome.Refuse(outcome.Draining, drainRetryAfter))
	}
}

// readDeadline bounds idle connections and requests that arrive slowly.
func (c *callerConn) readDeadline() time.Time {
	if c.started.IsZero() {
		return time.Now().Add(IdleTimeout)
	}
	return c.started.Add(RequestTimeout)
}

// parse reports whether the connection can go on.
func (c *callerConn) parse(data []byte) bool {
	if c.started.IsZero() {
		c.started = time.Now()
	}
	err := c.parser.Parse(data)
	if c.running { // the handler panicked; nbhttp has logged it
		return false
	}
	if err == nil && c.bad == "" {
		return true
	}
	reason := c.bad
	if reason == "" {
		reason = outcome.BadRequest
		if errors.Is(err, nbhttp.ErrTooLong) {
			reason = outcome.TooLarge
		}
	}
	c.refuse(reason)
	return false
}

// execute runs the handler and the write of its answer.
func (c *callerConn) execute(f func()) bool {
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	c.running = true
	f()
	c.running = false
	c.started = time.Time{}
	return true
}

// refuse answers a request that cannot be parsed and reads on for a short time, so that the answer arrives.
func (c *callerConn) refuse(reason outcome.Reason) {
	o := outcome.Refuse(reason, 0)
	c.server.count("", o)
	if c.writeRefusal(statusOf(o), o) {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, lingerBytes))
	}
}

// writeRefusal writes a refusal without a request's handler, closes the sending side and lets reads end after lingerTime.
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

// limitedProcessor stops requests that are too large before they are buffered.
type limitedProcessor struct {
	nbhttp.Processor
	conn   *callerConn
	header int // bytes
}

// OnHeader counts the bytes of the head.
func (p *limitedProcessor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.header += len(key) + len(value)
	if p.header > MaxHeaderBytes {
		p.conn.bad = outcome.BadRequest
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength checks the announced length of the body, in bytes.
func (p *limitedProcessor) OnContentLength(parser *nbhttp.Parser, n int) {
	if n > p.conn.server.limits.maxBody {
		p.conn.bad = outcome.TooLarge
	}
	p.Processor.OnContentLength(parser, n)
}

// OnComplete starts the handler unless the request was found bad.
func (p *limitedProcessor) OnComplete(parser *nbhttp.Parser) {
	p.header = 0
	if p.conn.bad == "" {
		p.Processor.OnComplete(parser)
	}
}

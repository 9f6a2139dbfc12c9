package httpserve

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/membudget"
	"samphirewell/internal/netconn"
)

// phase is what a connection does.
type phase int32

const (
	phaseIdle      phase = iota // no part of a request has arrived
	phaseReceiving              // a request is arriving
	phaseRunning                // a handler is running
	phaseWriting                // a response is being written
	phaseEvicted                // the connection was chosen to be closed; a request that is arriving doesn't run
)

// errEvicted is the error of reads on a connection that was chosen to be closed.
var errEvicted = errors.New("closed in favour of another connection")

var processStart = time.Now()

// sinceStart is the clock of the phases and of the budget.
func sinceStart() time.Duration { return time.Since(processStart) }

// serverConn is one connection. One goroutine reads from it and passes the bytes to nbhttp's parser, which calls the handler in the same goroutine.
// The parser gets the bytes of one request at a time.
type serverConn struct {
	server    *Server
	conn      net.Conn
	parser    *nbhttp.Parser
	account   *membudget.Account
	responses *responseConn

	phase      atomic.Int32
	phaseSince atomic.Int64 // sinceStart in nanoseconds

	handlerRunning bool      // the handler is running or has panicked
	requests       int       // number of requests whose handler has returned
	lastRequest    time.Time // when the handler last returned
	buffer         []byte    // of reads
	rest           []byte    // bytes that were read after the last request, at the beginning of buffer
	emptyBytes     int       // of empty lines before the request
	request        requestSize
	refused        *refusal // of the request
}

// requestSize is what has arrived of a request.
type requestSize struct {
	began      time.Duration // of its first byte; on the clock of sinceStart
	received   int           // bytes
	headerEnd  bool          // the header is complete
	header     int           // bytes of the header's and the trailer's fields and of the request line
	lines      int           // of the header and the trailer
	announced  int           // by Content-Length; -1 without one
	body       int           // bytes of the body that the parser has passed on
	afterLines int           // received when the header was complete, rounded up to the end of a read
}

func newConn(s *Server, conn net.Conn) *serverConn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBufferBytes)
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
	c := &serverConn{server: s, conn: conn}
	c.responses = &responseConn{Conn: conn, owner: c}
	c.account = s.limits.Budget.NewAccount(func() {
		if c.evict(phaseReceiving) {
			s.limits.Refusals.Add(noMemory.kind)
		}
	})
	c.parser = nbhttp.NewParser(c.responses, s.engine, &sizeCounter{nbhttp.NewServerProcessor(), c}, false, c.execute)
	c.phaseSince.Store(int64(sinceStart()))
	return c
}

// enter changes the phase. It returns false if the connection was chosen to be closed.
func (c *serverConn) enter(from, to phase) bool {
	if !c.phase.CompareAndSwap(int32(from), int32(to)) {
		return false
	}
	c.phaseSince.Store(int64(sinceStart()))
	return true
}

func (c *serverConn) wasEvicted() bool { return phase(c.phase.Load()) == phaseEvicted }

// evict chooses the connection to be closed if it is still in the phase, and wakes its goroutine.
func (c *serverConn) evict(from phase) bool {
	if !c.phase.CompareAndSwap(int32(from), int32(phaseEvicted)) {
		return false
	}
	// A write is ended by closing: its response is lost in any case.
	if from == phaseWriting {
		_ = c.conn.Close()
	}
	_ = c.conn.SetReadDeadline(time.Now())
	return true
}

// evictionRank orders connections by what closing them costs: idle ones first, then requests that arrive slowly, then responses that nobody reads;
// among these the longest.
type evictionRank struct {
	age   time.Duration // 0 means that the connection must not be closed
	phase phase
}

func (r evictionRank) before(o evictionRank) bool {
	if r.age == 0 || o.age == 0 {
		return r.age > 0
	}
	if r.phase != o.phase {
		return r.phase < o.phase
	}
	return r.age > o.age
}

func (c *serverConn) evictionRank(now time.Duration) evictionRank {
	r := evictionRank{phase: phase(c.phase.Load())}
	age := now - time.Duration(c.phaseSince.Load())
	minAge := time.Duration(1)
	switch r.phase {
	case phaseReceiving:
		minAge = minReceivingAge
	case phaseWriting:
		minAge = minWritingAge
	case phaseRunning, phaseEvicted:
		return r
	}
	if age >= minAge {
		r.age = age
	}
	return r
}

// responseConn is the connection to which responses are written. It keeps the first error.
type responseConn struct {
	net.Conn
	owner  *serverConn
	err    error
	closed bool // after a response to a request that asked for it
}

// Close implements net.Conn.
func (r *responseConn) Close() error {
	r.closed = true
	return r.Conn.Close()
}

// Write implements net.Conn. A response that the caller doesn't read ends the connection.
func (r *responseConn) Write(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	c := r.owner
	if c.hold(int64(c.request.running()+receivingFactor*len(b))) != nil {
		c.server.limits.Refusals.Add(noMemory.kind)
		r.err = errors.New("no memory for the response")
		_ = c.conn.Close()
		return 0, r.err
	}
	c.enter(phaseRunning, phaseWriting)
	_ = r.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := r.Conn.Write(b)
	evicted := !c.enter(phaseWriting, phaseRunning)
	switch {
	case evicted:
		err = errEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.server.limits.Refusals.Add(kindUnread)
	}
	r.err = err
	return n, err
}

func (c *serverConn) loop() {
	defer c.server.untrack(c)
	defer c.conn.Close()
	defer c.account.Release()
	defer c.parser.CloseAndClean(io.EOF)
	c.buffer = make([]byte, readBufferBytes)
	for {
		data, err := c.next()
		if len(data) > 0 && !c.parse(data) {
			return
		}
		if err != nil {
			c.ended(err)
			return
		}
	}
}

// next returns the bytes that were read after the last request, or else reads the next ones.
func (c *serverConn) next() ([]byte, error) {
	if rest := c.rest; len(rest) > 0 {
		c.rest = nil
		return rest, nil
	}
	n, err := c.read(c.buffer)
	return c.buffer[:n], err
}

// parse passes bytes to the parser. It returns false if the connection has to be closed.
func (c *serverConn) parse(data []byte) bool {
	if c.request.received == 0 {
		data = c.skipEmptyLines(data)
		if len(data) == 0 && c.refused == nil {
			return true
		}
		for end := time.Now().Add(maxScarcePause); c.server.limits.Scarce() && time.Now().Before(end); {
			time.Sleep(scarcePause)
		}
		c.request.began = sinceStart()
		if !c.enter(phaseIdle, phaseReceiving) {
			c.refused = evicted
		}
	}
	c.request.received += len(data)
	if c.refused == nil {
		c.refused = c.hold(int64(c.request.receiving()))
	}
	if c.refused != nil {
		c.refuse()
		return false
	}
	c.parser.ParserCloser = nil
	err := c.parser.Parse(data)
	if c.refused == nil {
		c.refused = c.outsideLimits()
	}
	switch {
	case c.responses.err != nil || c.responses.closed:
		c.ended(nil)
		return false
	case c.handlerRunning:
		c.server.log.Error("connection closed after a panic of the handler")
		return false
	case c.refused != nil:
	case err != nil:
		c.refused = malformed
	default:
		return true
	}
	c.refuse()
	return false
}

// skipEmptyLines removes the empty lines before a request.
func (c *serverConn) skipEmptyLines(data []byte) []byte {
	rest := bytes.TrimLeft(data, "\r\n")
	if c.emptyBytes += len(data) - len(rest); c.emptyBytes > maxEmptyBytes {
		c.refused = emptyLines
	}
	return rest
}

// outsideLimits returns why the unfinished request has to be refused, or nil.
func (c *serverConn) outsideLimits() *refusal {
	r := &c.request
	switch {
	case r.header > maxHeaderBytes || r.lines > maxHeaderLines || !r.headerEnd && r.received > maxHeaderBytes:
		return headerTooLarge
	case r.headerEnd && (r.announced > c.maxBody() || r.body > c.maxBody() || r.received-r.afterLines > framingFactor*c.maxBody()+readBufferBytes):
		return bodyTooLarge
	}
	return nil
}

func (c *serverConn) maxBody() int { return c.server.limits.MaxBody() }

// receiving estimates the memory of the unfinished request in bytes.
func (r *requestSize) receiving() int { return receivingFactor*r.received + lineBytes*r.lines }

// running estimates the memory of the request while it runs, in bytes.
func (r *requestSize) running() int { return r.receiving() + runningFactor*max(0, r.body-smallBody) }

// progress returns the share of the request that has arrived; 0 if its length isn't known.
func (r *requestSize) progress() float64 {
	if !r.headerEnd || r.announced <= 0 {
		return 0
	}
	return min(1, float64(r.received)/float64(r.afterLines+r.announced))
}

// hold asks for the memory of the request. It waits if another request is about to return some.
func (c *serverConn) hold(held int64) *refusal {
	var end <-chan time.Time
	for {
		r := &c.request
		result, changed := c.account.Hold(membudget.Request{Held: held, Progress: r.progress(), Began: r.began, Now: sinceStart()})
		switch result {
		case membudget.Granted:
			return nil
		case membudget.Refused:
			if c.wasEvicted() {
				return evicted
			}
			return noMemory
		}
		if end == nil {
			end = time.After(memoryWait)
		}
		select {
		case <-changed:
		case <-end:
			return noMemory
		}
	}
}

// refuse sends the refusal of the request, which hasn't run, after it has returned its memory.
func (c *serverConn) refuse() {
	if c.refused.kind != "" {
		c.server.limits.Refusals.Add(c.refused.kind)
	}
	c.parser.CloseAndClean(io.EOF)
	c.account.Release()
	if c.refused.status == 0 {
		return
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(c.refused.status) + " " + http.StatusText(c.refused.status) +
		"\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: 2\r\n")
	if c.refused.retryAfter != "" {
		b.WriteString("Retry-After: " + c.refused.retryAfter + "\r\n")
	}
	b.WriteString("\r\n{}")
	_ = c.conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return
	}
	if w, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)
}

// ended is called when the connection can't be used any more because a read has failed, or a write if readErr is nil.
func (c *serverConn) ended(readErr error) {
	switch {
	case errors.Is(readErr, errEvicted):
		if _, received := netconn.CheckIdle(c.conn); received || c.request.received > 0 {
			c.refused = evicted
			c.refuse()
		}
	case errors.Is(readErr, os.ErrDeadlineExceeded) && c.request.received > 0 && !c.server.stopping.Load():
		c.refused = tooSlow
		c.refuse()
	default:
		c.logBroken(readErr, c.responses.err)
	}
}

// logBroken logs that a response could not be written, or that the connection was reset by the other end, which may not have read the last response.
func (c *serverConn) logBroken(readErr, writeErr error) {
	err := writeErr
	if err == nil && errors.Is(readErr, syscall.ECONNRESET) {
		err = readErr
	}
	// Stop closes connections too, and logs how many; evicted connections and responses that weren't read are counted as refusals.
	if err == nil || c.requests == 0 || errors.Is(err, net.ErrClosed) || errors.Is(err, errEvicted) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	ok, skipped := c.server.broken.next()
	if !ok {
		return
	}
	fields := logrus.Fields{"caller": c.conn.RemoteAddr().String(), "requests": c.requests, "since_request_ms": time.Since(c.lastRequest).Milliseconds()}
	if skipped > 0 {
		fields["left_out"] = skipped
	}
	c.server.log.WithFields(fields).WithError(err).Info("connection broken by the caller or the network")
}

// read reads the next bytes. It returns io.EOF if the server stops and no part of a request has arrived: closing the connection then loses no request
// that was read.
func (c *serverConn) read(buf []byte) (int, error) {
	for {
		stopping := c.server.stopping.Load()
		end := time.Now().Add(c.readTimeout(stopping))
		_ = c.conn.SetReadDeadline(end)
		// Stop sets stopping, and evict the phase, before they end the reads, so a read that begins before is ended by them.
		if c.wasEvicted() {
			return 0, errEvicted
		}
		if stopping != c.server.stopping.Load() {
			continue
		}
		if stopping && c.request.received == 0 {
			if _, received := netconn.CheckIdle(c.conn); !received {
				return 0, io.EOF
			}
		}
		n, err := c.conn.Read(buf)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		endedByOthers := time.Now().Before(end)
		if !endedByOthers && !c.mayBeLate() {
			return n, err
		}
	}
}

// mayBeLate returns whether bytes of the request have arrived that this process, which may be slow itself, hasn't read in time.
func (c *serverConn) mayBeLate() bool {
	if c.request.received == 0 || sinceStart()-c.request.began > maxRequestTime {
		return false
	}
	_, received := netconn.CheckIdle(c.conn)
	return received
}

func (c *serverConn) readTimeout(stopping bool) time.Duration {
	switch {
	case c.request.received == 0:
		return idleTimeout
	case stopping:
		return stopReadTimeout
	}
	if left := requestTimeout - (sinceStart() - c.request.began); left > 0 {
		return left
	}
	return lateReadTimeout
}

// execute runs the handler and writes its response. The parser calls it for each complete request. It returns false if the request must not run.
func (c *serverConn) execute(f func()) bool {
	c.parser.ParserCloser = restKeeper{c}
	if c.refused = c.admit(); c.refused != nil {
		return false
	}
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	c.handlerRunning = true
	f()
	c.handlerRunning = false
	c.requests++
	c.lastRequest = time.Now()
	c.account.Release()
	c.request, c.emptyBytes = requestSize{}, 0
	c.enter(phaseRunning, phaseIdle)
	return true
}

// admit returns why the complete request must not run, or nil.
func (c *serverConn) admit() *refusal {
	if c.refused != nil {
		return c.refused
	}
	if r := c.outsideLimits(); r != nil {
		return r
	}
	if r := c.hold(int64(c.request.running())); r != nil {
		return r
	}
	if !c.account.Run() || !c.enter(phaseReceiving, phaseRunning) {
		return evicted
	}
	return nil
}

// restKeeper keeps the bytes after a request. The parser passes them to its ParserCloser, as it does after an upgrade, instead of parsing them, so that
// each request is parsed and counted by itself.
type restKeeper struct{ c *serverConn }

// UnderlayerConn implements nbhttp.ParserCloser.
func (k restKeeper) UnderlayerConn() net.Conn { return k.c.conn }

// Parse implements nbhttp.ParserCloser. data is part of the read buffer or of the parser's own one, which it frees afterwards. The bytes come from one read,
// since earlier ones belong to the request that has ended.
func (k restKeeper) Parse(data []byte) error {
	k.c.rest = k.c.buffer[:copy(k.c.buffer, data)]
	return nil
}

// CloseAndClean implements nbhttp.ParserCloser.
func (restKeeper) CloseAndClean(error) {}

// sizeCounter counts what the parser has found of a request, and drops what is outside the limits.
type sizeCounter struct {
	nbhttp.Processor
	c *serverConn
}

// OnURL implements nbhttp.Processor.
func (s *sizeCounter) OnURL(parser *nbhttp.Parser, uri string) error {
	s.c.request.header += len(uri)
	return s.Processor.OnURL(parser, uri)
}

// OnHeader implements nbhttp.Processor.
func (s *sizeCounter) OnHeader(parser *nbhttp.Parser, key, value string) {
	if s.countLine(key, value) {
		s.Processor.OnHeader(parser, key, value)
	}
}

// OnTrailerHeader implements nbhttp.Processor.
func (s *sizeCounter) OnTrailerHeader(parser *nbhttp.Parser, key, value string) {
	if s.countLine(key, value) {
		s.Processor.OnTrailerHeader(parser, key, value)
	}
}

// countLine returns false if the line must not be kept.
func (s *sizeCounter) countLine(key, value string) bool {
	r := &s.c.request
	r.lines++
	r.header += len(key) + len(value) + len(": \r\n")
	return r.lines <= maxHeaderLines && r.header <= maxHeaderBytes
}

// OnContentLength implements nbhttp.Processor. The parser calls it at the end of the header.
func (s *sizeCounter) OnContentLength(parser *nbhttp.Parser, n int) {
	r := &s.c.request
	r.headerEnd, r.announced, r.afterLines = true, n, r.received
	s.Processor.OnContentLength(parser, n)
}

// OnBody implements nbhttp.Processor.
func (s *sizeCounter) OnBody(parser *nbhttp.Parser, data []byte) error {
	r := &s.c.request
	if r.body+len(data) > s.c.maxBody() {
		s.c.refused = bodyTooLarge
		return errors.New("body too large")
	}
	r.body += len(data)
	return s.Processor.OnBody(parser, data)
}

// Package client is the library of callers and operators. It repeats what may be repeated, honours the retry-after of a
// refusal, and returns typed outcomes that keep "not run" apart from "may have run".
package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/outcome"
	"samphirewell/internal/wire"
)

const (
	maxAnswerBytes   = 16 << 20               // larger answers count as bad, in bytes
	unreachableDelay = 100 * time.Millisecond // pause after a refused connection
)

// Unreachable is the reason of an outcome NotRun when no connection to an entry host could be opened.
const Unreachable outcome.Reason = "unreachable"

// answer is what one exchange gave. Kind Answered covers every answer with a status below 300.
type answer struct {
	outcome outcome.Outcome
	status  int // 0 without an answer
	header  http.Header
	body    []byte
}

// transport sends single requests. It never repeats one on its own.
type transport struct {
	http *http.Client
}

func newTransport() transport {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.Proxy = nil // hosts are addressed by IP and reached directly
	base.MaxIdleConnsPerHost = 64
	base.DialContext = countWrites(base.DialContext)
	return transport{http: &http.Client{
		Transport:     base,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// oneShotBody hides the type of its reader. net/http resends a request with an Idempotency-Key by itself after a lost
// connection if it can rewind the body; such a resend would carry the attempt number of the first attempt.
type oneShotBody struct{ io.Reader }

func (oneShotBody) Close() error { return nil }

// writtenConn counts the bytes that were handed to the network.
type writtenConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *writtenConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func countWrites(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &writtenConn{Conn: conn}, nil
	}
}

// sending tells whether a byte of a request left this machine. A host that stops closes its idle connections; a request that was just
// assigned to one fails without a byte written and has not run.
type sending struct {
	conn   atomic.Pointer[writtenConn]
	before atomic.Int64
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*writtenConn)
	if !ok {
		return
	}
	s.before.Store(conn.written.Load())
	s.conn.Store(conn)
}

func (s *sending) began() bool {
	conn := s.conn.Load()
	return conn != nil && conn.written.Load() > s.before.Load()
}

// exchange sends one request. A failure before a byte was sent is NotRun; every later one is Unknown.
func (t transport) exchange(ctx context.Context, method, url string, header http.Header, body []byte) answer {
	var sent sending
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	request, err := http.NewRequestWithContext(ctx, method, url, oneShotBody{bytes.NewReader(body)})
	if err != nil {
		return answer{outcome: outcome.Refuse(outcome.BadRequest, 0), body: []byte(err.Error())}
	}
	request.ContentLength = int64(len(body))
	request.Header = header
	response, err := t.http.Do(request)
	if err != nil {
		return answer{outcome: failure(sent.began(), ctx.Err()), body: []byte(err.Error())}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(text) > maxAnswerBytes {
		return answer{outcome: outcome.MayHaveRun(outcome.BadAnswer), status: response.StatusCode, header: response.Header}
	}
	return answer{outcome: classify(response, text), status: response.StatusCode, header: response.Header, body: text}
}

func failure(sent bool, ended error) outcome.Outcome {
	switch {
	case !sent:
		return outcome.Refuse(Unreachable, unreachableDelay)
	case errors.Is(ended, context.DeadlineExceeded):
		return outcome.MayHaveRun(outcome.DeadlineRunning)
	}
	return outcome.MayHaveRun(outcome.ConnectionLost)
}

// classify reads the typed outcome of an answer. A refusal without the outcome header does not come from an entry host,
// so it proves nothing.
func classify(response *http.Response, body []byte) outcome.Outcome {
	if response.StatusCode < http.StatusMultipleChoices {
		return outcome.Answer(response.StatusCode, body)
	}
	reason := outcome.Reason(response.Header.Get(wire.HeaderReason))
	switch response.Header.Get(wire.HeaderOutcome) {
	case outcome.NotRun.String():
		return outcome.Refuse(reason, retryAfter(response.Header))
	case outcome.Answered.String():
		return outcome.Answer(response.StatusCode, body)
	case outcome.Unknown.String():
		if reason != "" {
			return outcome.MayHaveRun(reason)
		}
	}
	return outcome.MayHaveRun(outcome.BadAnswer)
}

// retryAfter prefers the header in milliseconds to the one in whole seconds.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.Atoi(header.Get(wire.HeaderRetryAfterMs)); err == nil && ms >= 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.Atoi(header.Get(wire.HeaderRetryAfter)); err == nil && s >= 0 {
		return time.Duration(s) * time.Second
	}
	return 0
}

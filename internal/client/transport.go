// Package client is the client library of callers and operators. It retries requests that are safe to repeat, honours the retry-after of a refusal,
// and returns typed outcomes that distinguish "not run" from "may have run".
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
	maxResponseBytes = 16 << 20               // maximum size of a response body, in bytes; a larger one counts as a bad answer
	unreachableDelay = 100 * time.Millisecond // delay before a retry after no connection could be opened
)

// Unreachable is the reason of an outcome NotRun when no connection to an entry host could be opened.
const Unreachable outcome.Reason = "unreachable"

// exchangeResult is the result of one exchange. Every response with a status below 300 has the outcome kind Answered.
type exchangeResult struct {
	outcome outcome.Outcome
	status  int // 0 without a response
	header  http.Header
	body    []byte
}

// transport sends single requests and never retries one.
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

// oneShotBody hides the type of its reader, so that net/http cannot rewind the body. Otherwise net/http resends a request with an Idempotency-Key
// after a lost connection, and such a resend carries the attempt number of the first attempt.
type oneShotBody struct{ io.Reader }

func (oneShotBody) Close() error { return nil }

// countingConn counts the bytes that were written to the connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
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
		return &countingConn{Conn: conn}, nil
	}
}

// sendTracker tracks whether any byte of a request was written to its connection. A host that stops closes its idle connections; a request that was
// just assigned to one of them fails before a byte is written and has not run.
type sendTracker struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	s.before.Store(conn.written.Load())
	s.conn.Store(conn)
}

func (s *sendTracker) anyByteSent() bool {
	conn := s.conn.Load()
	return conn != nil && conn.written.Load() > s.before.Load()
}

// exchange sends one request. A failure before a byte was sent is NotRun; every later one is Unknown.
func (t transport) exchange(ctx context.Context, method, url string, header http.Header, body []byte) exchangeResult {
	var sent sendTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	request, err := http.NewRequestWithContext(ctx, method, url, oneShotBody{bytes.NewReader(body)})
	if err != nil {
		return exchangeResult{outcome: outcome.Refuse(outcome.BadRequest, 0), body: []byte(err.Error())}
	}
	request.ContentLength = int64(len(body))
	request.Header = header
	response, err := t.http.Do(request)
	if err != nil {
		return exchangeResult{outcome: failureOutcome(sent.anyByteSent(), ctx.Err()), body: []byte(err.Error())}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(text) > maxResponseBytes {
		return exchangeResult{outcome: outcome.MayHaveRun(outcome.BadAnswer), status: response.StatusCode, header: response.Header}
	}
	return exchangeResult{outcome: classify(response, text), status: response.StatusCode, header: response.Header, body: text}
}

func failureOutcome(sent bool, ctxErr error) outcome.Outcome {
	switch {
	case !sent:
		return outcome.Refuse(Unreachable, unreachableDelay)
	case errors.Is(ctxErr, context.DeadlineExceeded):
		return outcome.MayHaveRun(outcome.DeadlineRunning)
	}
	return outcome.MayHaveRun(outcome.ConnectionLost)
}

// classify returns the typed outcome of a response. A refusal without the outcome header does not come from an entry host, so it does not prove that
// the request has not run.
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

// retryAfter returns the delay of the retry-after headers. The header in milliseconds takes precedence over the one in whole seconds.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.Atoi(header.Get(wire.HeaderRetryAfterMs)); err == nil && ms >= 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.Atoi(header.Get(wire.HeaderRetryAfter)); err == nil && s >= 0 {
		return time.Duration(s) * time.Second
	}
	return 0
}

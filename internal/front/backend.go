package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/outcome"
	"samphirewell/internal/registry"
	"samphirewell/internal/wire"
)

// exchange is the result of sending a call to an executor once.
type exchange struct {
	result        outcome.Outcome // Answered, Unknown, or NotRun with reason NotStarted or Expired
	refused       bool            // the executor responded that it did not start the call
	freeSlots     int             // free slots as the executor reported them; negative if it did not
	leaving       bool
	lateResponses int  // late or surplus responses found on the connections that were tried
	mismatched    bool // the response did not carry the ID of this call
}

// backendClient sends calls to executors.
//
// It uses net.Conn with net/http's ReadResponse instead of nbhttp's client or net/http's Transport, because only the count returned by Write
// shows whether a byte of the request left this process. nbhttp's client buffers writes and does not return this count. The Transport retries
// on its own when a kept-alive connection breaks, and needs two goroutines per connection. This pool also takes the least processor time, see
// BenchmarkBackendClient.
type backendClient struct {
	pools   connPools
	maxBody int
	now     func() time.Time
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// do sends the call once and waits for the response. The ID is different each time a call is sent, also when the same call is sent again.
func (b *backendClient) do(s registry.Server, c *call, id string) exchange {
	remaining := c.Deadline.Sub(b.now())
	if remaining <= 0 {
		return exchange{result: outcome.Refuse(outcome.Expired, expiredRetryAfter), freeSlots: -1}
	}
	deadline := time.Now().Add(remaining) // socket deadlines use the clock of the operating system, not b.now
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	conn, late, err := b.pools.get(ctx, s)
	cancel()
	if err != nil {
		return notStartedExchange(late)
	}
	_ = conn.SetDeadline(deadline)
	if written, err := conn.send(s, c, id, remaining); err != nil {
		conn.discard()
		if written == 0 {
			return notStartedExchange(late)
		}
		return unknownExchange(ioErrorReason(err), late)
	}
	x, reusable := b.receive(conn, id)
	x.lateResponses += late
	if reusable {
		b.pools.put(conn)
	} else {
		conn.discard()
	}
	return x
}

func notStartedExchange(late int) exchange {
	return exchange{result: outcome.Refuse(outcome.NotStarted, expiredRetryAfter), freeSlots: -1, lateResponses: late}
}

func unknownExchange(reason outcome.Reason, late int) exchange {
	return exchange{result: outcome.MayHaveRun(reason), freeSlots: -1, lateResponses: late}
}

// ioErrorReason distinguishes an exceeded deadline from a broken connection.
func ioErrorReason(err error) outcome.Reason {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return outcome.DeadlineRunning
	}
	return outcome.ConnectionLost
}

// send writes the request with a single Write and returns the number of bytes written.
func (c *backendConn) send(s registry.Server, call *call, id string, remaining time.Duration) (int, error) {
	buf := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buf)
	buf.Reset()
	for _, part := range []string{"POST ", wire.PathExecutorCall, call.Service, "/", call.Method, " HTTP/1.1\r\nHost: ", s.Address} {
		buf.WriteString(part)
	}
	writeHeader(buf, wire.HeaderCallID, id)
	writeHeader(buf, wire.HeaderDeadlineMs, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	writeHeader(buf, wire.HeaderIdempotencyKey, call.Key)
	writeHeader(buf, "Content-Type", call.ContentType)
	writeHeader(buf, "Content-Length", strconv.Itoa(len(call.Body)))
	buf.WriteString("\r\n\r\n")
	buf.Write(call.Body)
	return c.Write(buf.Bytes())
}

func writeHeader(buf *bytes.Buffer, name, value string) {
	if value == "" {
		return
	}
	buf.WriteString("\r\n")
	buf.WriteString(name)
	buf.WriteString(": ")
	buf.WriteString(value)
}

var postRequest = &http.Request{Method: http.MethodPost}

// receive reads the response and reports whether the connection can be reused for another call.
func (b *backendClient) receive(conn *backendConn, id string) (x exchange, reusable bool) {
	conn.limit.N = int64(b.maxBody) + MaxHeaderBytes
	resp, err := readFinalResponse(conn)
	if err != nil {
		if conn.limit.N <= 0 {
			return unknownExchange(outcome.BadAnswer, 0), false
		}
		return unknownExchange(ioErrorReason(err), 0), false
	}
	defer resp.Body.Close()
	if resp.Header.Get(wire.HeaderCallID) != id {
		x = unknownExchange(outcome.BadAnswer, 0)
		x.mismatched = true
		return x, false
	}
	body, err := readBody(resp, b.maxBody)
	if err == nil && http.StatusText(resp.StatusCode) == "" {
		err = errStatus
	}
	if err != nil {
		return unknownExchange(bodyErrorReason(err), 0), false
	}
	x = exchange{freeSlots: freeSlots(resp), leaving: resp.Header.Get(wire.HeaderLeaving) == "true"}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(wire.HeaderNotStarted) == "true" {
		x.refused = true
		x.result = outcome.Refuse(outcome.NotStarted, expiredRetryAfter)
	} else {
		x.result = outcome.Answer(resp.StatusCode, body)
	}
	if conn.buf.Buffered() > 0 {
		x.lateResponses++
		return x, false
	}
	return x, !resp.Close
}

// readFinalResponse reads a response and skips interim (1xx) ones.
func readFinalResponse(conn *backendConn) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(conn.buf, postRequest)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

var errNoLength = errors.New("response has neither a content length nor a transfer encoding, so truncation could not be detected")
var errStatus = errors.New("answer has an unregistered status, which nbhttp would send to the caller as 200")
var errTooLong = errors.New("response body exceeds the limit")

func readBody(resp *http.Response, limit int) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	if resp.ContentLength > int64(limit) {
		return nil, errTooLong
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = errTooLong
	}
	return body, err
}

// bodyErrorReason classifies a failure after the header of the response arrived.
func bodyErrorReason(err error) outcome.Reason {
	if ioErrorReason(err) == outcome.DeadlineRunning {
		return outcome.DeadlineRunning
	}
	return outcome.BadAnswer
}

func freeSlots(resp *http.Response) int {
	n, err := strconv.Atoi(resp.Header.Get(wire.HeaderFreeSlots))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

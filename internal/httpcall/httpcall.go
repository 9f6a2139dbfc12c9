// Package httpcall is an HTTP/1.1 client for calls between machines that may fail, stop responding or become unreachable. Each call has a time
// limit, its context, and a connection on which no complete response arrived is not reused.
package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/netconn"
)

const (
	// dialTimeout bounds the opening of a connection. It exceeds several round trips between regions. It does not allow for a retransmission
	// of a lost first packet; the caller tries again instead.
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerAddress is the maximum number of idle connections that are kept to one address.
	maxIdlePerAddress = 8
	// maxResponseBytes bounds the body of a response; a larger one gives ErrNoResponse.
	maxResponseBytes = 8 << 20
	readBufferBytes  = 2048
)

// Errors of a call.
var (
	// ErrNotSent means that no byte of the request left this machine, so the call was not carried out.
	ErrNotSent = errors.New("no connection")
	// ErrNotAllowed is a case of ErrNotSent: StillAllowed forbade the request.
	ErrNotAllowed = errors.Wrap(ErrNotSent, "too late to send")
	// ErrNoResponse means that no complete response arrived and the call may have been carried out.
	ErrNoResponse = errors.New("no complete answer")
)

// Request is one call.
type Request struct {
	Address string // ip:port
	Method  string
	Target  string // path and query
	Header  []Header
	Body    []byte
	// StillAllowed is called once the connection is open; if it returns false, the request is not sent. Nil means that it is always sent.
	StillAllowed func() bool
}

// Header is a header field of a request.
type Header struct{ Name, Value string }

// Response is the status and the body of a response that was received completely.
type Response struct {
	Status int
	Body   []byte
}

// Client sends calls and keeps idle connections for reuse. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	open   int    // connections that are being opened, in use or idle
	peak   int    // highest value of open since the last TakePeak
	onOpen func() // called for each opened connection; may be nil
}

// Counts are the numbers of a client's connections. Each one uses a file descriptor.
type Counts struct {
	Active int // being opened or in use by a call
	Idle   int
}

type conn struct {
	net.Conn
	reader      *bufio.Reader
	respondedAt time.Time // when the newest response was complete
}

// New returns a client. onOpen is called for each opened connection and may be nil.
func New(onOpen func()) *Client { return &Client{idle: map[string][]*conn{}, onOpen: onOpen} }

// Counts returns the current numbers of connections.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := 0
	for _, list := range c.idle {
		idle += len(list)
	}
	return Counts{Active: c.open - idle, Idle: idle}
}

// TakePeak returns the highest number of connections since the last call of TakePeak.
func (c *Client) TakePeak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	peak := c.peak
	c.peak = c.open
	return peak
}

// reserve counts a connection that is about to be opened.
func (c *Client) reserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	c.peak = max(c.peak, c.open)
}

// release counts connections that were closed or could not be opened. The caller holds the lock.
func (c *Client) release(n int) { c.open -= n }

// discard closes a connection that is not idle.
func (c *Client) discard(cn *conn) {
	_ = cn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(1)
}

// Do sends a call and waits for the complete response until ctx ends. The error wraps ErrNotSent or ErrNoResponse.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	cn, err := c.get(ctx, r.Address)
	if err != nil {
		return Response{}, errors.Wrap(ErrNotSent, err.Error())
	}
	if end, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(end)
	} else {
		_ = cn.SetDeadline(time.Time{})
	}
	if r.StillAllowed != nil && !r.StillAllowed() {
		c.put(r.Address, cn)
		return Response{}, errors.WithStack(ErrNotAllowed)
	}
	sent := time.Now()
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	resp, reusable, err := cn.roundTrip(r)
	stopped := stop()
	if err != nil || !reusable || !stopped {
		c.discard(cn)
	} else {
		cn.respondedAt = time.Now()
		c.put(r.Address, cn)
	}
	if err != nil {
		c.discardIdle(r.Address, sent)
		return Response{}, errors.Wrap(ErrNoResponse, err.Error())
	}
	return resp, nil
}

// discardIdle closes the idle connections to an address on which no response was received since the given time. The failure that kept a call from
// being answered may have made them unresponsive too.
func (c *Client) discardIdle(address string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = slices.DeleteFunc(c.idle[address], func(cn *conn) bool {
		stale := cn.respondedAt.Before(since)
		if stale {
			_ = cn.Close()
			c.release(1)
		}
		return stale
	})
}

func (c *Client) get(ctx context.Context, address string) (*conn, error) {
	for {
		cn := c.takeIdle(address)
		if cn == nil {
			break
		}
		if idle, _ := netconn.CheckIdle(cn.Conn); idle && cn.reader.Buffered() == 0 {
			return cn, nil
		}
		c.discard(cn)
	}
	c.reserve()
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.release(1)
		return nil, err
	}
	if c.onOpen != nil {
		c.onOpen()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) put(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerAddress {
		_ = cn.Close()
		c.release(1)
		return
	}
	c.idle[address] = append(c.idle[address], cn)
}

// roundTrip sends the request and reads the response; reusable reports whether the connection can be reused.
func (cn *conn) roundTrip(r Request) (resp Response, reusable bool, err error) {
	var b bytes.Buffer
	b.Grow(256 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Address + "\r\n")
	for _, h := range r.Header {
		b.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if r.Body != nil {
		b.WriteString("Content-Type: application/json\r\n")
	}
	if r.Body != nil || r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if _, err := cn.Write(b.Bytes()); err != nil {
		return resp, false, err
	}
	httpResp, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
	if err != nil {
		return resp, false, err
	}
	defer httpResp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes+1))
	if err != nil {
		return resp, false, err
	}
	if len(body) > maxResponseBytes {
		return resp, false, errors.New("answer is too large")
	}
	return Response{httpResp.StatusCode, body}, !httpResp.Close, nil
}

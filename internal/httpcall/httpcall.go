// Package httpcall is an HTTP/1.1 client for calls between machines that may vanish, freeze or be cut off: each call has a time limit,
// and a connection without an answer is never used again.
package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/netconn"
)

const (
	// dialTimeout bounds the opening of a connection. It exceeds several round trips between regions and the lost first packet's repetition
	// is left to the caller.
	dialTimeout = 500 * time.Millisecond
	// maxIdle is the number of kept connections to one address.
	maxIdle = 8
	// maxAnswerBytes bounds an answer; larger ones count as lost.
	maxAnswerBytes = 8 << 20
	bufferBytes    = 2048
)

// Errors of a call.
var (
	// ErrNotSent means that no byte of the call left this machine.
	ErrNotSent = errors.New("no connection")
	// ErrNoAnswer means that the call may have been carried out.
	ErrNoAnswer = errors.New("no complete answer")
)

// Request is one call.
type Request struct {
	Address string // ip:port
	Method  string
	Target  string // path and query
	Header  []Header
	Body    []byte
	// Still is asked once the connection is open; if it returns false, nothing is sent. Nil means always.
	Still func() bool
}

// Header is a header line of a call.
type Header struct{ Name, Value string }

// Response is a complete answer.
type Response struct {
	Status int
	Body   []byte
}

// Client keeps connections. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	opened func() // counts opened connections; may be nil
}

type conn struct {
	net.Conn
	reader *bufio.Reader
}

// New returns a client. opened is called for each opened connection and may be nil.
func New(opened func()) *Client { return &Client{idle: map[string][]*conn{}, opened: opened} }

// Do sends a call and waits for the whole answer until the end of ctx. The error is ErrNotSent or ErrNoAnswer, wrapped.
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
	if r.Still != nil && !r.Still() {
		c.put(r.Address, cn)
		return Response{}, errors.Wrap(ErrNotSent, "too late to send")
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	resp, keep, err := cn.roundTrip(r)
	stopped := stop()
	if err != nil || !keep || !stopped {
		_ = cn.Close()
	} else {
		c.put(r.Address, cn)
	}
	if err != nil {
		return Response{}, errors.Wrap(ErrNoAnswer, err.Error())
	}
	return resp, nil
}

func (c *Client) get(ctx context.Context, address string) (*conn, error) {
	for {
		cn := c.takeIdle(address)
		if cn == nil {
			break
		}
		if quiet, _ := netconn.Quiet(cn.Conn); quiet && cn.reader.Buffered() == 0 {
			return cn, nil
		}
		_ = cn.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.opened != nil {
		c.opened()
	}
	return &conn{raw, bufio.NewReaderSize(raw, bufferBytes)}, nil
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
	if len(c.idle[address]) >= maxIdle {
		_ = cn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], cn)
}

// roundTrip sends the call and reads the answer; keep tells whether the connection can carry another call.
func (cn *conn) roundTrip(r Request) (resp Response, keep bool, err error) {
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
	answer, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
	if err != nil {
		return resp, false, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return resp, false, err
	}
	if len(body) > maxAnswerBytes {
		return resp, false, errors.New("answer is too large")
	}
	return Response{answer.StatusCode, body}, !answer.Close, nil
}

// Package httpcall is an HTTP/1.1 client for calls between machines that may fail, stop responding or become unreachable. Each call has a time
// limit, its context, and a connection on which no complete response arrived is not reused.
package httpcall

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
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
	// defaultIdleTimeout is the time without a call after which an idle connection is closed. It exceeds the time of common tasks: a worker gets several
	// orders at once when runs on it begin or end, and with a shorter timeout connections would be opened each time.
	defaultIdleTimeout = 30 * time.Second
	// sweepsPerTimeout is how often idle connections are checked within the idle timeout.
	sweepsPerTimeout = 15
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
	// ErrExhausted is a case of ErrNotSent: this process can't open another connection now. It tells nothing about the other end.
	ErrExhausted = errors.Wrap(ErrNotSent, "out of connections")
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
//
// An idle connection is closed after some time without a call, so that connections to addresses that are no longer called are not kept. If a call needs
// a new connection at the limit of open ones, the connection that was idle for the longest time is closed.
type Client struct {
	onOpen      func() // called for each opened connection; may be nil
	idleTimeout time.Duration

	mu      sync.Mutex
	idle    map[string][]*conn // by address, without empty lists
	byUse   list.List          // all idle connections, the least recently used first
	open    int                // connections that are being opened, in use or idle
	peak    int                // highest value of open since the last TakePeak
	limit   int                // open connections, as of the last sweep
	limitOf func() int         // current limit of open connections; nil means none
	waiting list.List          // chan struct{} of each call that waits for a connection to be closed
	sweeper *time.Timer        // nil while no connection is idle
}

// Counts are the numbers of a client's connections. Each one uses a file descriptor.
type Counts struct {
	Active int // being opened or in use by a call
	Idle   int
}

type conn struct {
	net.Conn
	address     string
	reader      *bufio.Reader
	respondedAt time.Time     // when the newest response was complete
	idleSince   time.Time     // while idle
	inByUse     *list.Element // while idle
}

// New returns a client. onOpen is called for each opened connection and may be nil.
func New(onOpen func()) *Client {
	return &Client{onOpen: onOpen, idleTimeout: defaultIdleTimeout, idle: map[string][]*conn{}, limit: math.MaxInt}
}

// SetLimit bounds the open connections by what limit returns. It is called regularly while connections are idle, without locks of the client.
func (c *Client) SetLimit(limit func() int) {
	n := limit()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitOf, c.limit = limit, n
}

// Counts returns the current numbers of connections.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{Active: c.open - c.byUse.Len(), Idle: c.byUse.Len()}
}

// TakePeak returns the highest number of connections since the last call of TakePeak.
func (c *Client) TakePeak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	peak := c.peak
	c.peak = c.open
	return peak
}

// Do sends a call and waits for the complete response until ctx ends. The error wraps ErrNotSent or ErrNoResponse.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	cn, err := c.get(ctx, r.Address)
	if err != nil {
		return Response{}, notSent(err)
	}
	if end, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(end)
	} else {
		_ = cn.SetDeadline(time.Time{})
	}
	if r.StillAllowed != nil && !r.StillAllowed() {
		c.put(cn)
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
		c.put(cn)
	}
	if err != nil {
		c.discardIdle(r.Address, sent)
		return Response{}, errors.Wrap(ErrNoResponse, err.Error())
	}
	return resp, nil
}

// notSent returns the error of a call for which no connection could be opened.
func notSent(err error) error {
	if errors.Is(err, errAllInUse) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
		return errors.Wrap(ErrExhausted, err.Error())
	}
	return errors.Wrap(ErrNotSent, err.Error())
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
	if err := c.reserve(ctx); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.release()
		return nil, err
	}
	if c.onOpen != nil {
		c.onOpen()
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
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

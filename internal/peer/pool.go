package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps one outgoing connection to each peer. It connects on the first call and reconnects with backoff. It closes and forgets a connection that
// wasn't used for some time, so that nothing is kept for addresses of peers that have left.
type Pool struct {
	self        Identity
	dial        DialFunc
	clock       clock.Clock
	stats       *Stats
	idleTimeout time.Duration

	mu      sync.Mutex
	links   map[string]*link // by address
	sweeper *time.Timer      // nil without links
	closed  bool
}

// NewPool returns a pool without connections.
func NewPool(self Identity, dial DialFunc, c clock.Clock, stats *Stats) *Pool {
	return &Pool{self: self, dial: dial, clock: c, stats: stats, idleTimeout: idleLinkTimeout, links: map[string]*link{}}
}

// Call sends a request to the peer at the address and decodes its result into result. A context without a deadline
// gets DefaultDeadline. Errors wrap ErrNotSent (the peer has not received the request), ErrVersion, ErrRejected, ErrTooLarge or
// ErrUncertain.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultDeadline)
		defer cancel()
	}
	l, err := p.acquire(address)
	if err != nil {
		return err
	}
	defer p.release(l)
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	return l.call(ctx, conn, method, params, result)
}

// Close closes all connections; later calls fail with ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = map[string]*link{}
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	p.mu.Unlock()
	for _, l := range links {
		l.shutdown()
	}
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.links {
		if l.openConn() != nil {
			n++
		}
	}
	return n
}

// acquire returns the link to an address for one call, after which it has to be released.
func (p *Pool) acquire(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Wrap(ErrNotSent, "pool is closed")
	}
	l := p.links[address]
	if l == nil {
		l = &link{pool: p, address: address, dialLock: make(chan struct{}, 1)}
		p.links[address] = l
	}
	l.calls++
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.idleTimeout/sweepsPerTimeout, p.sweep)
	}
	return l, nil
}

func (p *Pool) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.calls--
	l.usedAt = time.Now()
}

// sweep closes and forgets the links that weren't used for some time.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		if l.calls == 0 && time.Since(l.usedAt) > p.idleTimeout {
			delete(p.links, address)
			go l.shutdown()
		}
	}
	p.sweeper = nil
	if len(p.links) > 0 {
		p.sweeper = time.AfterFunc(p.idleTimeout/sweepsPerTimeout, p.sweep)
	}
}

// link is the connection to one peer.
type link struct {
	pool     *Pool
	address  string
	dialLock chan struct{} // holds a token while a caller connects

	calls  int       // in progress; guarded by pool.mu
	usedAt time.Time // when the last call ended; guarded by pool.mu

	conn       atomic.Pointer[jsonrpc2.Conn]
	unanswered atomic.Int32 // consecutive calls without a response
	closed     atomic.Bool
	backoff    time.Duration // guarded by dialLock
	retryAt    time.Time     // guarded by dialLock
}

// connect returns the open connection, or opens one unless the pause after a failed attempt is still running.
func (l *link) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	if c := l.openConn(); c != nil {
		return c, nil
	}
	select {
	case l.dialLock <- struct{}{}:
		defer func() { <-l.dialLock }()
	case <-ctx.Done():
		return nil, errors.Wrap(ErrNotSent, "connecting")
	}
	if c := l.openConn(); c != nil {
		return c, nil
	}
	if l.pool.clock.Now().Before(l.retryAt) {
		return nil, errors.Wrap(ErrNotSent, "waiting to reconnect")
	}
	conn, err := l.handshake(ctx)
	if err != nil {
		l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
		l.retryAt = l.pool.clock.Now().Add(l.backoff)
		return nil, err
	}
	l.backoff = 0
	l.unanswered.Store(0)
	l.conn.Store(conn)
	if l.closed.Load() {
		_ = conn.Close()
		return nil, errors.Wrap(ErrNotSent, "pool is closed")
	}
	return conn, nil
}

// openConn returns the connection unless it is broken.
func (l *link) openConn() *jsonrpc2.Conn {
	c := l.conn.Load()
	if c == nil {
		return nil
	}
	select {
	case <-c.DisconnectNotify():
		return nil
	default:
		return c
	}
}

// handshake dials the peer and exchanges hello.
func (l *link) handshake(ctx context.Context) (*jsonrpc2.Conn, error) {
	raw, err := l.pool.dial(ctx, "tcp", l.address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, errors.Wrapf(ErrRefused, "dial %s", l.address)
	case err != nil:
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", l.address, err)
	}
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw, l.pool.stats), rejectRequests{}, jsonrpc2.SetLogger(discardLogger))
	var resp api.HelloResponse
	err = conn.Call(ctx, MethodHello, l.pool.self.hello(), &resp)
	var rpcErr *jsonrpc2.Error
	switch {
	case errors.As(err, &rpcErr) && rpcErr.Code == codeVersion, err == nil && resp.ProtocolVersion != ProtocolVersion:
		err = errors.Wrapf(ErrVersion, "peer %s", l.address)
	case err != nil:
		err = errors.Wrapf(ErrNotSent, "hello to %s: %v", l.address, err)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (l *link) call(ctx context.Context, conn *jsonrpc2.Conn, method string, params, result any) error {
	err := callWithin(ctx, conn, method, params, result)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		l.unanswered.Store(0)
		return nil
	case errors.As(err, &rpcErr):
		l.unanswered.Store(0)
		return errors.Wrapf(ErrRejected, "%s: %s", method, rpcErr.Message)
	case errors.Is(err, ErrTooLarge):
		return errors.Wrapf(err, "%s", method)
	}
	if l.unanswered.Add(1) >= maxUnansweredCalls { // the peer or the network path may have failed without a reset
		_ = conn.Close()
	}
	return errors.Wrapf(ErrUncertain, "%s to %s: %v", method, l.address, err)
}

// callWithin makes a call and returns when ctx ends, also while the request waits behind others that are blocked in a write.
func callWithin(ctx context.Context, conn *jsonrpc2.Conn, method string, params, result any) error {
	var response json.RawMessage
	done := make(chan error, 1)
	go func() { done <- conn.Call(ctx, method, params, &response) }()
	select {
	case err := <-done:
		if err != nil || result == nil {
			return err
		}
		return errors.WithStack(json.Unmarshal(response, result))
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) shutdown() {
	l.closed.Store(true)
	if c := l.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// rejectRequests rejects requests that arrive on an outgoing connection: each host sends requests on its own connections only.
type rejectRequests struct{}

func (rejectRequests) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	reject(ctx, conn, req, jsonrpc2.CodeMethodNotFound, "requests use the connection of their sender")
}

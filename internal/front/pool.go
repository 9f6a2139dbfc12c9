package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"samphirewell/internal/netconn"
	"samphirewell/internal/registry"
)

// pools holds the idle connections to the executors.
type pools struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	limit atomic.Int32 // most connections per executor
	byKey sync.Map     // poolKey -> *pool
}

// poolKey separates incarnations, so that no connection outlives the process that it was opened to.
type poolKey struct{ id, incarnation, address string }

type pool struct {
	address string
	open    atomic.Int32
	idle    chan *backendConn
	closed  atomic.Bool
}

// backendConn is one connection to an executor. It carries one call at a time.
type backendConn struct {
	net.Conn
	pool  *pool
	limit io.LimitedReader // bounds the bytes of one answer
	buf   *bufio.Reader
	used  bool
}

func keyOf(s registry.Server) poolKey { return poolKey{s.ID, s.Incarnation, s.Address} }

func (p *pools) of(s registry.Server) *pool {
	key := keyOf(s)
	if v, ok := p.byKey.Load(key); ok {
		return v.(*pool)
	}
	v, _ := p.byKey.LoadOrStore(key, &pool{address: s.Address, idle: make(chan *backendConn, defaultConnections)})
	return v.(*pool)
}

// prune closes the idle connections of executors that are no longer known.
func (p *pools) prune(servers []registry.Server) {
	known := make(map[poolKey]bool, len(servers))
	for _, s := range servers {
		known[keyOf(s)] = true
	}
	p.byKey.Range(func(k, v any) bool {
		if !known[k.(poolKey)] {
			p.byKey.Delete(k)
			v.(*pool).close()
		}
		return true
	})
}

func (p *pool) close() {
	p.closed.Store(true)
	for {
		select {
		case c := <-p.idle:
			c.discard()
		default:
			return
		}
	}
}

// get returns an idle connection or opens one. late counts idle connections on which bytes arrived without a call.
func (p *pools) get(ctx context.Context, s registry.Server) (c *backendConn, late int, err error) {
	pool := p.of(s)
	for {
		select {
		case c := <-pool.idle:
			quiet, bytes := c.quiet()
			if quiet {
				return c, late, nil
			}
			if bytes {
				late++
			}
			c.discard()
			continue
		default:
		}
		ctx, cancel := context.WithTimeout(ctx, DialTimeout)
		conn, err := p.dial(ctx, "tcp", pool.address)
		cancel()
		if err != nil {
			return nil, late, err
		}
		return newBackendConn(pool, conn), late, nil
	}
}

func newBackendConn(p *pool, conn net.Conn) *backendConn {
	p.open.Add(1)
	c := &backendConn{Conn: conn, pool: p}
	c.limit.R = conn
	c.buf = bufio.NewReaderSize(&c.limit, 4096)
	return c
}

// put keeps the connection for the next call.
func (p *pools) put(c *backendConn) {
	if c.pool.open.Load() > p.limit.Load() || c.pool.closed.Load() {
		c.discard()
		return
	}
	c.used = true
	select {
	case c.pool.idle <- c:
		if c.pool.closed.Load() {
			c.pool.close()
		}
	default:
		c.discard()
	}
}

func (c *backendConn) discard() {
	c.pool.open.Add(-1)
	_ = c.Close()
}

// quiet reports whether the peer neither closed the idle connection nor sent bytes on it. A call written to a closed
// connection would end as unknown, although the close was already visible; a byte would belong to an earlier call.
func (c *backendConn) quiet() (quiet, bytes bool) {
	if c.buf.Buffered() > 0 {
		return false, true
	}
	return netconn.CheckIdle(c.Conn)
}

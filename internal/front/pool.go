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

// connPools holds the idle connections to the executors.
type connPools struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	limit atomic.Int32 // maximum number of connections per executor
	byKey sync.Map     // poolKey -> *connPool
}

// poolKey includes the incarnation, so that connections to an earlier process of an executor are not used for the current one.
type poolKey struct{ id, incarnation, address string }

type connPool struct {
	address   string
	openCount atomic.Int32 // idle and in use
	idle      chan *backendConn
	closed    atomic.Bool
}

// backendConn is one connection to an executor. It carries one call at a time.
type backendConn struct {
	net.Conn
	pool  *connPool
	limit io.LimitedReader // bounds the bytes of one response
	buf   *bufio.Reader
	used  bool
}

func keyOf(s registry.Server) poolKey { return poolKey{s.ID, s.Incarnation, s.Address} }

func (p *connPools) poolFor(s registry.Server) *connPool {
	key := keyOf(s)
	if v, ok := p.byKey.Load(key); ok {
		return v.(*connPool)
	}
	v, _ := p.byKey.LoadOrStore(key, &connPool{address: s.Address, idle: make(chan *backendConn, defaultConnections)})
	return v.(*connPool)
}

// prune closes the idle connections of executors that are not in servers.
func (p *connPools) prune(servers []registry.Server) {
	current := make(map[poolKey]bool, len(servers))
	for _, s := range servers {
		current[keyOf(s)] = true
	}
	p.byKey.Range(func(k, v any) bool {
		if !current[k.(poolKey)] {
			p.byKey.Delete(k)
			v.(*connPool).close()
		}
		return true
	})
}

func (p *connPool) close() {
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

// get returns an idle connection or opens one. late is the number of idle connections that were discarded because surplus bytes had arrived.
func (p *connPools) get(ctx context.Context, s registry.Server) (c *backendConn, late int, err error) {
	pool := p.poolFor(s)
	for {
		select {
		case c := <-pool.idle:
			idle, received := c.checkIdle()
			if idle {
				return c, late, nil
			}
			if received {
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

func newBackendConn(p *connPool, conn net.Conn) *backendConn {
	p.openCount.Add(1)
	c := &backendConn{Conn: conn, pool: p}
	c.limit.R = conn
	c.buf = bufio.NewReaderSize(&c.limit, 4096)
	return c
}

// put returns the connection to its pool, or closes it if the pool is closed or has too many connections.
func (p *connPools) put(c *backendConn) {
	if c.pool.openCount.Load() > p.limit.Load() || c.pool.closed.Load() {
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
	c.pool.openCount.Add(-1)
	_ = c.Close()
}

// checkIdle reports whether the peer has neither closed the idle connection nor sent bytes on it, and whether bytes were received. A call written
// to a closed connection would end as unknown although the close can already be detected. Received bytes belong to an earlier call.
func (c *backendConn) checkIdle() (idle, received bool) {
	if c.buf.Buffered() > 0 {
		return false, true
	}
	return netconn.CheckIdle(c.Conn)
}

package httpcall

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// errAllInUse means that no connection became free in the time of a call.
var errAllInUse = errors.New("all connections are in use")

// reserve counts a connection that is about to be opened. At the limit it closes the least recently used idle connections, or waits until a call ends
// if all connections are in use.
func (c *Client) reserve(ctx context.Context) error {
	c.mu.Lock()
	for c.open >= c.limit && c.byUse.Len() > 0 {
		c.closeIdle(c.byUse.Front().Value.(*conn))
	}
	if c.open < c.limit {
		c.open++
		c.peak = max(c.peak, c.open)
		c.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	place := c.waiting.PushBack(granted)
	c.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-granted: // at the same moment
		c.release()
	default:
		c.waiting.Remove(place)
	}
	return errors.Wrapf(errAllInUse, "%d connections", c.open)
}

// release counts a connection as closed, or leaves its place to a waiting call. The caller holds the lock.
func (c *Client) release() {
	if first := c.waiting.Front(); first != nil && c.open <= c.limit {
		close(c.waiting.Remove(first).(chan struct{}))
		return
	}
	c.open--
}

// discard closes a connection that is not idle.
func (c *Client) discard(cn *conn) {
	_ = cn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
}

// takeIdle returns the most recently used idle connection to an address, or nil.
func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	cn := idle[len(idle)-1]
	c.removeIdle(cn)
	return cn
}

// put keeps a connection for later calls, or closes it if there are enough.
func (c *Client) put(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.address]) >= maxIdlePerAddress || c.open > c.limit || c.waiting.Len() > 0 {
		_ = cn.Close()
		c.release()
		return
	}
	cn.idleSince = time.Now()
	cn.inByUse = c.byUse.PushBack(cn)
	c.idle[cn.address] = append(c.idle[cn.address], cn)
	if c.sweeper == nil {
		c.sweeper = time.AfterFunc(c.idleTimeout/sweepsPerTimeout, c.sweep)
	}
}

// discardIdle closes the idle connections to an address on which no response was received since the given time. The failure that kept a call from
// being answered may have made them unresponsive too.
func (c *Client) discardIdle(address string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range slices.Clone(c.idle[address]) {
		if cn.respondedAt.Before(since) {
			c.closeIdle(cn)
		}
	}
}

// sweep closes idle connections that weren't used for some time or exceed the limit.
func (c *Client) sweep() {
	c.mu.Lock()
	limitOf := c.limitOf
	c.mu.Unlock()
	limit := 0
	if limitOf != nil {
		limit = limitOf()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if limitOf != nil {
		c.limit = limit
	}
	expired := time.Now().Add(-c.idleTimeout)
	for first := c.byUse.Front(); first != nil; first = c.byUse.Front() {
		cn := first.Value.(*conn)
		if cn.idleSince.After(expired) && c.open <= c.limit {
			break
		}
		c.closeIdle(cn)
	}
	c.sweeper = nil
	if c.byUse.Len() > 0 {
		c.sweeper = time.AfterFunc(c.idleTimeout/sweepsPerTimeout, c.sweep)
	}
}

// closeIdle closes an idle connection. The caller holds the lock.
func (c *Client) closeIdle(cn *conn) {
	c.removeIdle(cn)
	_ = cn.Close()
	c.release()
}

// removeIdle takes a connection out of the idle ones. The caller holds the lock.
func (c *Client) removeIdle(cn *conn) {
	c.byUse.Remove(cn.inByUse)
	cn.inByUse = nil
	rest := slices.DeleteFunc(c.idle[cn.address], func(other *conn) bool { return other == cn })
	if len(rest) == 0 {
		delete(c.idle, cn.address)
		return
	}
	c.idle[cn.address] = rest
}

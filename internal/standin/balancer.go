package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

const (
	// DefaultCheckEvery is the period of the readiness checks.
	DefaultCheckEvery = 250 * time.Millisecond
	// checkTimeout bounds one readiness check.
	checkTimeout = time.Second
	// dialTimeout bounds one connection attempt to a target.
	dialTimeout = time.Second
)

// BalancerConfig are the settings of a Balancer.
type BalancerConfig struct {
	Address    string            // ip:port; empty for any port on loopback
	CheckEvery time.Duration     // period of the readiness checks; 0 means DefaultCheckEvery
	Lag        time.Duration     // time from a check until its result takes effect
	Dial       platform.DialFunc // opens connections to targets; nil means the dialer of package net
	Clock      clock.Clock       // nil means the clock of the operating system
}

// Target is an entry host behind a balancer.
type Target struct {
	ID       string
	Address  string // ip:port for calls
	ReadyURL string // responds with status 200 while the host is ready
}

// BalancerStats counts the connections of a balancer since its start.
type BalancerStats struct {
	Accepted   uint64
	Refused    uint64            // closed because no ready target could be reached
	DialFailed uint64            // failed attempts to connect to a target
	ByTarget   map[string]uint64 // connections by target id
}

// Balancer relays TCP connections to the ready targets in round-robin order. It does not parse requests, and it never sends the data of a
// connection to a second target.
type Balancer struct {
	cfg         BalancerConfig
	listener    net.Listener
	checkClient *http.Client
	cancel      context.CancelFunc
	ctx         context.Context
	wg          sync.WaitGroup

	mu        sync.Mutex
	targets   []*targetState
	nextStart int
	conns     map[net.Conn]struct{}

	accepted, refused, dialFailed atomic.Uint64
}

// StartBalancer starts a balancer and makes the first readiness check of its targets.
func StartBalancer(cfg BalancerConfig, targets ...Target) (*Balancer, error) {
	if cfg.Address == "" {
		cfg.Address = loopbackAnyPort
	}
	if cfg.CheckEvery <= 0 {
		cfg.CheckEvery = DefaultCheckEvery
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	b := &Balancer{cfg: cfg, listener: listener, conns: map[net.Conn]struct{}{}}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	// Each check opens a new connection, because a check after the replacement of a host must not use the connection to the old one.
	b.checkClient = &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DialContext: cfg.Dial, DisableKeepAlives: true}}
	for _, t := range targets {
		b.AddTarget(t)
	}
	b.checkTargets()
	b.wg.Add(2)
	go b.checkLoop()
	go b.acceptLoop()
	return b, nil
}

// Addr returns the listen address as ip:port.
func (b *Balancer) Addr() string { return b.listener.Addr().String() }

// URL returns the base URL of the balancer.
func (b *Balancer) URL() string { return "http://" + b.Addr() }

// Close stops the balancer and closes its connections.
func (b *Balancer) Close() {
	b.cancel()
	_ = b.listener.Close()
	b.mu.Lock()
	for c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
}

// AddTarget adds a target or replaces the one with the same id. It receives connections once a check has found it ready.
func (b *Balancer) AddTarget(t Target) {
	b.RemoveTarget(t.ID)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = append(b.targets, &targetState{Target: t})
}

// RemoveTarget removes a target; its connections stay open.
func (b *Balancer) RemoveTarget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := make([]*targetState, 0, len(b.targets))
	for _, t := range b.targets {
		if t.ID != id {
			rest = append(rest, t)
		}
	}
	b.targets = rest
}

// Stats returns the counters. ByTarget covers the present targets only.
func (b *Balancer) Stats() BalancerStats {
	s := BalancerStats{
		Accepted: b.accepted.Load(), Refused: b.refused.Load(), DialFailed: b.dialFailed.Load(), ByTarget: map[string]uint64{},
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		s.ByTarget[t.ID] = t.connCount.Load()
	}
	return s
}

func (b *Balancer) acceptLoop() {
	defer b.wg.Done()
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.accepted.Add(1)
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			b.relay(conn)
		}()
	}
}

// relay copies data between the client and one target until both directions have ended.
func (b *Balancer) relay(client net.Conn) {
	defer b.closeConn(client)
	if !b.trackConn(client) {
		return
	}
	target := b.connect()
	if target == nil {
		b.refused.Add(1)
		return
	}
	defer b.closeConn(target)
	if !b.trackConn(target) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		forward(target, client)
	}()
	forward(client, target)
	<-done
}

// trackConn records an open connection for Close. It returns false once the balancer is closed.
func (b *Balancer) trackConn(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = struct{}{}
	return b.ctx.Err() == nil
}

func (b *Balancer) closeConn(c net.Conn) {
	b.mu.Lock()
	delete(b.conns, c)
	b.mu.Unlock()
	_ = c.Close()
}

// forward copies data from src to dst until src ends. At end of file it closes the write side of dst; after an error it closes both connections.
func forward(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	half, ok := dst.(interface{ CloseWrite() error })
	if err == nil && ok && half.CloseWrite() == nil {
		return
	}
	_ = dst.Close()
	_ = src.Close()
}

// connect connects to the first ready target that accepts a connection, or returns nil. It may try several, because it is called before any data of
// the client is read.
func (b *Balancer) connect() net.Conn {
	for _, t := range b.readyTargets() {
		ctx, cancel := context.WithTimeout(b.ctx, dialTimeout)
		conn, err := b.cfg.Dial(ctx, "tcp", t.Address)
		cancel()
		if err == nil {
			t.connCount.Add(1)
			return conn
		}
		b.dialFailed.Add(1)
	}
	return nil
}

package capacity

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"samphirewell/internal/peer"
)

// traffic counts the payload bytes of TCP connections that were opened through meters.dial, in both directions.
type traffic struct{ sent, received atomic.Int64 }

// meters count the traffic with the platform apart from that with all other processes.
type meters struct {
	platformAddr string
	platform     traffic
	others       traffic // peers, executors and workers
}

func (m *meters) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t := &m.others
	if address == m.platformAddr {
		t = &m.platform
	}
	return &meteredConn{Conn: conn, traffic: t}, nil
}

var _ peer.DialFunc = (*meters)(nil).dial

// meteredConn counts the bytes of a connection. It exposes only net.Conn, so that package net can't use the file descriptor and
// bypass Read and Write.
type meteredConn struct {
	net.Conn
	traffic *traffic
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// processorTime returns the user and system time that all threads of this process have used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the live heap after two collections; the second one frees what finalizers and sync.Pools kept alive.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// idleProcessorRate returns the processor time that the process uses without hosts, in seconds per second. It first waits until the
// work of the last garbage collection and of closed servers has ended.
func idleProcessorRate(ctx context.Context) float64 {
	const settleTime, windowLength = 300 * time.Millisecond, 400 * time.Millisecond
	pause(ctx, settleTime)
	began, processor := time.Now(), processorTime()
	pause(ctx, windowLength)
	return (processorTime() - processor).Seconds() / time.Since(began).Seconds()
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// await polls ok until it returns true. After the timeout or the end of ctx it returns the result of a last call.
func await(ctx context.Context, timeout time.Duration, ok func() bool) bool {
	const period = 5 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; {
		if ok() {
			return true
		}
		pause(ctx, period)
	}
	return ok()
}

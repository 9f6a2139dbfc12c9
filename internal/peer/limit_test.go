package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
)

// awaitConnections waits until the server has n connections.
func awaitConnections(t *testing.T, s *Server, n int) {
	for end := time.Now().Add(helloTimeout + 5*time.Second); s.Connections() != n; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("%d connections", s.Connections()))
	}
}

// Guards against clients that say no hello and take the connections of hosts, or keep theirs for ever.
func TestConnectionsWithoutHelloMakeRoom(t *testing.T) {
	var evicted atomic.Int64
	s := NewServer(identity("server"), Registry{"echo": Handle(func(_ context.Context, _ api.HostIdentity, e echo) (echo, error) { return e, nil })}, NewStats())
	s.Limit(3, func() { evicted.Add(1) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go s.Serve(ln, func(err error, _ int) { t.Errorf("accept: %v", err) })
	t.Cleanup(func() {
		_ = ln.Close()
		s.Close()
	})
	address := ln.Addr().String()
	p := startPool(t, clock.Real{})
	_, err = call(t, p, address, "x")
	must.NoError(t, err)
	for range 10 {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer conn.Close()
	}
	for end := time.Now().Add(5 * time.Second); evicted.Load() < 8; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	second := startPool(t, clock.Real{})
	_, err = call(t, second, address, "y")
	must.NoError(t, err)
	_, err = call(t, p, address, "z")
	must.NoError(t, err)
	must.Eq(t, 1, p.stats.Sent(MethodHello).Messages, must.Sprint("the host's connection was closed"))
	awaitConnections(t, s, 2) // those that say nothing are closed in time
}

// Guards against memory for a long message of a client that hasn't said hello.
func TestLongMessageBeforeHelloEndsTheConnection(t *testing.T) {
	s, address := startServer(t, "127.0.0.1:0")
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer conn.Close()
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	must.NoError(t, err)
	_, err = w.Write(binary.AppendUvarint(nil, maxHelloBytes+1))
	must.NoError(t, err)
	_, err = io.WriteString(w, strings.Repeat(" ", 10))
	must.NoError(t, err)
	must.NoError(t, w.Flush())
	_, err = conn.Write(out.Bytes())
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(helloTimeout/2)))
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	awaitConnections(t, s, 0)
}

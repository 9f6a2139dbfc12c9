package front

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/outcome"
	"samphirewell/internal/registry"
)

// failingConn fails every Write after the given number of written bytes.
type failingConn struct {
	net.Conn
	written int
}

func (c failingConn) Write([]byte) (int, error)   { return c.written, errors.New("connection reset") }
func (c failingConn) SetDeadline(time.Time) error { return nil }
func (c failingConn) Close() error                { return nil }

// Guards against a failed write that is reported as "not run" although bytes of the request were written, or as "unknown" although none was.
func TestWriteFailureIsNotRunOnlyWithoutBytes(t *testing.T) {
	for accept, want := range map[int]outcome.Kind{0: outcome.NotRun, 1: outcome.Unknown} {
		dial := func(context.Context, string, string) (net.Conn, error) { return failingConn{written: accept}, nil }
		b := &backendClient{pools: connPools{dial: dial}, maxBody: 1, now: time.Now}
		x := b.do(registry.Server{ID: "e"}, &call{Deadline: time.Now().Add(time.Minute)}, "id")
		must.Eq(t, want, x.result.Kind)
		must.False(t, x.refused)
	}
}

package netconn

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// exhaustedListener fails until it is closed, like a listener of a process without free descriptors.
type exhaustedListener struct {
	net.Listener
	accepts atomic.Int64
	closed  atomic.Bool
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.closed.Load() {
		return nil, net.ErrClosed
	}
	l.accepts.Add(1)
	return nil, syscall.EMFILE
}

// Guards against a hundred log lines a second from each server of a host that has no descriptors left.
func TestRepeatedAcceptErrorsAreReportedOnceASecond(t *testing.T) {
	ln := &exhaustedListener{}
	time.AfterFunc(1500*time.Millisecond, func() { ln.closed.Store(true) })
	reports, failures := 0, 0
	Accept(ln, func(err error, n int) {
		must.ErrorIs(t, err, syscall.EMFILE)
		reports++
		failures += n
	}, nil)
	must.GreaterEq(t, int64(20), ln.accepts.Load())
	must.Between(t, 2, reports, 3)
	must.Eq(t, ln.accepts.Load(), int64(failures))
}

package standin

import (
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// checkClose closes the server and reports an error if that doesn't end.
func checkClose(t *testing.T, s *server) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Close()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("Close did not return")
	}
}

// Guards against a Close that waits forever for a connection that was accepted while the server began to stop.
func TestCloseEndsWhileConnectionsOpen(t *testing.T) {
	for range 150 {
		s := newServer(0)
		must.NoError(t, s.start("", http.NotFoundHandler()))
		var group sync.WaitGroup
		release := make(chan struct{})
		for range 8 {
			group.Go(func() {
				for {
					conn, err := net.Dial("tcp", s.Addr())
					if err != nil {
						break
					}
					defer conn.Close()
				}
				<-release
			})
		}
		time.Sleep(time.Millisecond)
		checkClose(t, s)
		close(release)
		group.Wait()
		if t.Failed() {
			return
		}
	}
}

// Guards against a Close that waits forever for a connection that CloseConn closed before nbio had added it to its poller: nbio counts such a connection when
// it is added, and never counts it down. The connection also counted against the limit until the end.
func TestCloseEndsAfterAConnectionWasClosedAtItsAcceptance(t *testing.T) {
	s := newServer(0)
	must.NoError(t, s.start("", http.NotFoundHandler()))
	unused, err := net.Listen("tcp", loopbackAnyPort)
	must.NoError(t, err)
	local := unused.Addr()
	must.NoError(t, unused.Close())
	s.CloseConn(local.String())
	conn, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", s.Addr())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Read(make([]byte, 1))
	must.Error(t, err)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	checkClose(t, s)
	must.Eq(t, 0, s.openConns.Load())
}

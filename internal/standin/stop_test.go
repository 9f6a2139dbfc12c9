package standin

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

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
		close(release)
		group.Wait()
		if t.Failed() {
			return
		}
	}
}

package netconn

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is the pause after a failed accept. When file descriptors are exhausted, accepting fails until some connections are closed.
const acceptPause = 10 * time.Millisecond

// Accept passes the connections of a listener to handle until the listener is closed. Other errors are passed to onError, and accepting continues.
func Accept(ln net.Listener, onError func(error), handle func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			onError(err)
			time.Sleep(acceptPause)
			continue
		}
		handle(conn)
	}
}

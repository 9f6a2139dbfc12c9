package netconn

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is the pause after a failed accept: without file descriptors it fails until some connections are closed.
const acceptPause = 10 * time.Millisecond

// Accept hands the connections of a listener to handle until the listener is closed. failed is told of other errors.
func Accept(ln net.Listener, failed func(error), handle func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			failed(err)
			time.Sleep(acceptPause)
			continue
		}
		handle(conn)
	}
}

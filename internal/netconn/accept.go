package netconn

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// acceptPause is the pause after a failed accept. When file descriptors are exhausted, accepting fails until some connections are closed.
	acceptPause = 10 * time.Millisecond
	// reportInterval is the shortest time between two reports of failures while accepting fails again and again.
	reportInterval = time.Second
)

// Accept passes the connections of a listener to handle until the listener is closed. After other errors accepting continues; onError gets the newest error
// and the number of failures since its last call, once in each reportInterval and when accepting succeeds again.
func Accept(ln net.Listener, onError func(err error, failures int), handle func(net.Conn)) {
	var r failureReport
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			r.flush(onError)
			return
		case err != nil:
			r.add(err, onError)
			time.Sleep(acceptPause)
		default:
			r.flush(onError)
			handle(conn)
		}
	}
}

// failureReport collects failures between two reports.
type failureReport struct {
	newest     error
	failures   int
	reportedAt time.Time
}

func (r *failureReport) add(err error, report func(error, int)) {
	r.newest = err
	r.failures++
	if time.Since(r.reportedAt) >= reportInterval {
		r.reportedAt = time.Now()
		r.flush(report)
	}
}

func (r *failureReport) flush(report func(error, int)) {
	if r.failures > 0 {
		report(r.newest, r.failures)
		r.failures = 0
	}
}

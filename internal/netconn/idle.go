// Package netconn contains functions on connections that clients and servers share: accepting connections and checking idle ones.
package netconn

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// CheckIdle reports whether the peer has neither closed the idle connection nor sent bytes on it, and whether bytes were received. A call written
// to a closed connection would have an unknown outcome although the close can already be detected. CheckIdle clears the deadlines of the
// connection. A connection that is not a syscall.Conn is reported as idle.
func CheckIdle(conn net.Conn) (idle, received bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true, false
	}
	_ = conn.SetDeadline(time.Time{})
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return false, false
	}
	return errors.Is(peekErr, syscall.EAGAIN), n > 0 && peekErr == nil
}

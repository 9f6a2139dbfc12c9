// Package netconn holds what clients and servers share about connections: accepting them and looking at idle ones.
package netconn

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Quiet reports whether the peer neither closed the idle connection nor sent bytes on it, and whether bytes arrived. A call written to a
// closed connection would have an unknown result, although the close was already visible. Deadlines of the connection are cleared.
func Quiet(conn net.Conn) (quiet, bytes bool) {
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

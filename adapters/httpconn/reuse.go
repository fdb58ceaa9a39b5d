package httpconn

import (
	"errors"
	"net"
	"syscall"
)

// isReusable reports whether an idle connection is open and has no bytes to read.
func isReusable(c net.Conn) bool {
	sc, ok := unwrap(c).(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// unwrap returns the connection below TLS, or c.
func unwrap(c net.Conn) net.Conn {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		return wrapped.NetConn()
	}
	return c
}

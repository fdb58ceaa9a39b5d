package httpconn_test

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
)

// unackedConn is a connection that the kernel closes since what was sent is not
// acknowledged.
type unackedConn struct{ net.Conn }

func (unackedConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

func (unackedConn) Write(b []byte) (int, error) { return len(b), nil }

func TestPoolUnackedRequestFailsAsSilent(t *testing.T) {
	pool := httpconn.NewPool("", func(context.Context, string, string) (net.Conn, error) {
		c, other := net.Pipe()
		t.Cleanup(func() { _ = other.Close() })
		return unackedConn{c}, nil
	})
	defer pool.Close()
	var f *call.Failure
	if _, err := exchange(t, pool, "GET"); !errors.As(err, &f) || f.Verdict != call.MayHaveRun || f.Reason != call.Silent {
		t.Errorf("got %v, want %s, %s", err, call.MayHaveRun, call.Silent)
	}
}

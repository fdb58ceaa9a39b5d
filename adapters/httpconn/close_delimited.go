package httpconn

import (
	"fmt"
	"net"
	"syscall"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// isCloseDelimited reports whether only the end of the connection marks the end of an
// answer. Such an answer is complete only if the connection ended without an error (RFC
// 9112, section 8). The kernel reports a reset once, to the reader or to the writer, and
// never to a reader that has found the end before. So the writer's error and the state of
// the connection count as well.
func isCloseDelimited(req *fasthttp.Request, resp *fasthttp.Response) bool {
	return !hasNoBody(req, resp) && resp.Header.ContentLength() == lengthUnknown
}

// awaitReceipt waits until the other end of a connection, which has closed its sending
// direction, has acknowledged all bytes that were written. It returns an error if the
// connection is reset before. It closes the sending direction of this end if it has to
// wait. Connections other than TCP are not checked.
func awaitReceipt(c net.Conn) error {
	tcp, isTCP := unwrap(c).(*net.TCPConn)
	if !isTCP {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return receiptError(err)
	}
	var stateErr error
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var acknowledged bool
		acknowledged, stateErr = isAllAcknowledged(int(fd))
		if acknowledged || stateErr != nil {
			return true
		}
		if !closed {
			// The reader is woken once both directions have ended.
			closed = true
			stateErr = unix.Shutdown(int(fd), unix.SHUT_WR)
		}
		return stateErr != nil
	})
	if err == nil {
		err = stateErr
	}
	return receiptError(err)
}

func receiptError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("answer without a length truncated, its request was not received: %w", err)
}

// isAllAcknowledged reports whether all bytes written to a TCP socket are acknowledged, or
// returns the pending error of the socket.
func isAllAcknowledged(fd int) (bool, error) {
	pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return false, err
	}
	if pending != 0 {
		return false, syscall.Errno(pending)
	}
	unacknowledged, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	return unacknowledged == 0, err
}

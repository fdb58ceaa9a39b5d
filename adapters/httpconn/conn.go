package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits of connections.
const (
	// MaxIdleAge is how long a connection may be idle and still be reused.
	MaxIdleAge = 30 * time.Second
	// MaxIdleAgeNonIdempotent is the same for a request that must not run twice.
	MaxIdleAgeNonIdempotent = 3 * time.Second
	// DialTimeout limits the opening of a connection between hosts of one
	// region, whose round-trip time is milliseconds.
	DialTimeout = 600 * time.Millisecond
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes a connection. It allows two retransmissions, 200 and 600 ms
	// after the first packet.
	UnackedTimeout = 700 * time.Millisecond
	// KeepAliveIdle, KeepAliveInterval and KeepAliveProbes configure the TCP
	// keep-alive by which the kernel detects dead idle connections.
	KeepAliveIdle     = 5 * time.Second
	KeepAliveInterval = 2 * time.Second
	KeepAliveProbes   = 3
	// tcpUserTimeout is TCP_USER_TIMEOUT, the Linux socket option for
	// UnackedTimeout.
	tcpUserTimeout = 0x12
	// answerBufferSize and requestBufferSize are the sizes of the read buffer for
	// answers and of the buffers for requests, in bytes. The latter are smaller
	// because a daemon has hundreds of them.
	answerBufferSize  = 8 << 10
	requestBufferSize = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns the dialer for plain TCP connections.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUnackedTimeout(raw) },
	}
}

func setUnackedTimeout(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// conn is a client connection that counts the bytes written.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	written atomic.Int64
	// headBytes is the length of the head of a request whose body is only sent when the
	// server asks for it; without the body the request has not run.
	headBytes int64
	// received is true once a byte of the current answer has arrived.
	received   bool
	idleSince  time.Time
	inactivity *inactivityTimer
	answer     account
}

func newConn(nc net.Conn, budget *Budget) *conn {
	c := &conn{Conn: nc, answer: account{budget: budget}}
	c.r = bufio.NewReaderSize(c, answerBufferSize)
	c.w = bufio.NewWriterSize(c, requestBufferSize)
	return c
}

// Write counts the bytes that were written to the socket.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read restarts the inactivity timer when bytes arrive, and counts them.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received = true
		if c.inactivity != nil {
			c.inactivity.reset()
		}
		if budgetErr := c.answer.receive(n); budgetErr != nil {
			return 0, budgetErr
		}
	}
	return n, err
}

// interrupt makes pending reads and writes fail, by a deadline in the past.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// inactivityTimer interrupts an exchange in which no byte arrives within timeout.
type inactivityTimer struct {
	timeout time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

// startInactivityTimer starts the timer of a connection unless timeout is 0.
func startInactivityTimer(c *conn, timeout time.Duration) {
	if timeout == 0 {
		return
	}
	s := &inactivityTimer{timeout: timeout}
	s.timer = time.AfterFunc(timeout, func() {
		s.expired.Store(true)
		c.interrupt()
	})
	c.inactivity = s
}

func (s *inactivityTimer) reset() { s.timer.Reset(s.timeout) }

// stopInactivityTimer stops the timer and reports whether it has expired.
func stopInactivityTimer(c *conn) bool {
	if c.inactivity == nil {
		return false
	}
	stopped := c.inactivity.timer.Stop()
	expired := c.inactivity.expired.Load() || !stopped
	c.inactivity = nil
	return expired
}

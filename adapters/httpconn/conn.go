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
	// MaxIdleAge is how long an idle connection may be used again.
	MaxIdleAge = 30 * time.Second
	// MaxIdleAgeNonIdempotent is the same for a request that may not run again.
	MaxIdleAgeNonIdempotent = 3 * time.Second
	// DialTimeout bounds the opening of a connection between hosts of one
	// region, whose way takes milliseconds.
	DialTimeout = 600 * time.Millisecond
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// system closes a connection. It leaves room for two retransmissions, 200
	// and 600 ms after the first packet.
	UnackedTimeout = 700 * time.Millisecond
	// KeepAliveIdle, KeepAliveInterval and KeepAliveProbes set how the system
	// finds idle connections that are dead.
	KeepAliveIdle     = 5 * time.Second
	KeepAliveInterval = 2 * time.Second
	KeepAliveProbes   = 3
	// tcpUserTimeout is Linux's socket option for UnackedTimeout.
	tcpUserTimeout = 0x12
	// bufferSize is that of the buffer for answers, in bytes, and smallBuffer that
	// of those for requests: a daemon holds hundreds.
	bufferSize  = 8 << 10
	smallBuffer = 4 << 10
)

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns the dialer of plain TCP connections.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return limitUnacked(raw) },
	}
}

func limitUnacked(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// conn is a connection that counts the bytes written.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	written atomic.Int64
	// heard says that bytes of the current answer came.
	heard  bool
	idleAt time.Time
	watch  *silence
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(c, bufferSize)
	c.w = bufio.NewWriterSize(c, smallBuffer)
	return c
}

// Write counts the bytes that left.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read tells the silence watch of the bytes that came.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard = true
		if c.watch != nil {
			c.watch.reset()
		}
	}
	return n, err
}

// expire ends the reads and writes that wait.
func (c *conn) expire() { _ = c.SetDeadline(time.Unix(1, 0)) }

// silence ends an exchange in which nothing arrives for a time.
type silence struct {
	limit time.Duration
	timer *time.Timer
	fell  atomic.Bool
}

// watchSilence starts a watch on a connection; a limit of 0 means none.
func watchSilence(c *conn, limit time.Duration) {
	if limit == 0 {
		return
	}
	s := &silence{limit: limit}
	s.timer = time.AfterFunc(limit, func() {
		s.fell.Store(true)
		c.expire()
	})
	c.watch = s
}

func (s *silence) reset() { s.timer.Reset(s.limit) }

// endSilence ends the watch and reports whether the connection fell silent.
func endSilence(c *conn) bool {
	if c.watch == nil {
		return false
	}
	stopped := c.watch.timer.Stop()
	fell := c.watch.fell.Load() || !stopped
	c.watch = nil
	return fell
}

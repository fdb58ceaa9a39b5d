// Package grpcconn keeps the gRPC connections of a daemon to other daemons.
package grpcconn

import (
	"sync"
	"time"

	"google.golang.org/grpc"
)

const (
	// BufferSize is the size of the read and write buffers of a connection, in bytes. Most
	// messages are below 1 KB, and a daemon has ten streams open; the default of grpc-go is
	// 32 KB.
	BufferSize = 4 << 10
	// WindowSize is the flow control window of a stream and of a connection, in bytes. A
	// fixed window keeps grpc-go from measuring the connection with a ping after each
	// message, which costs more bytes than most messages.
	WindowSize = 1 << 20
)

// FrequentMessages returns the options of connections that carry small messages often.
func FrequentMessages() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithReadBufferSize(BufferSize), grpc.WithWriteBufferSize(BufferSize),
		grpc.WithInitialWindowSize(WindowSize), grpc.WithInitialConnWindowSize(WindowSize),
	}
}

// Cache keeps one connection for each address, and with it a client of type T.
type Cache[T any] struct {
	idleTimeout time.Duration
	options     []grpc.DialOption
	newClient   func(grpc.ClientConnInterface) T

	mu    sync.Mutex
	conns map[string]*cached[T]
}

type cached[T any] struct {
	conn     *grpc.ClientConn
	client   T
	lastUsed time.Time
}

// NewCache returns a cache that closes connections which were unused for longer than
// idleTimeout. newClient returns the client of a new connection.
func NewCache[T any](idleTimeout time.Duration, newClient func(grpc.ClientConnInterface) T, options ...grpc.DialOption) *Cache[T] {
	return &Cache[T]{idleTimeout: idleTimeout, options: options, newClient: newClient, conns: map[string]*cached[T]{}}
}

// Get returns the client of the connection to address, and closes other connections that
// were unused for too long. A new connection is opened by its first message.
func (c *Cache[T]) Get(address string) (T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for addr, cc := range c.conns {
		if addr != address && now.Sub(cc.lastUsed) > c.idleTimeout {
			_ = cc.conn.Close()
			delete(c.conns, addr)
		}
	}
	cc := c.conns[address]
	if cc == nil {
		conn, err := grpc.NewClient("passthrough:///"+address, c.options...)
		if err != nil {
			var none T
			return none, err
		}
		cc = &cached[T]{conn: conn, client: c.newClient(conn)}
		c.conns[address] = cc
	}
	cc.lastUsed = now
	return cc.client, nil
}

// Close closes all connections.
func (c *Cache[T]) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, cc := range c.conns {
		_ = cc.conn.Close()
		delete(c.conns, addr)
	}
}

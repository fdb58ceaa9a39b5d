package backendhttp

import (
	"context"
	"net"
	"testing"
	"time"
)

// listen accepts connections and passes each of them to serve.
func listen(t *testing.T, serve func(ln net.Listener, c net.Conn)) *Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			serve(ln, c)
		}
	}()
	c := &Client{}
	c.SetAddress(ln.Addr().String())
	t.Cleanup(c.Close)
	return c
}

// A crash may close the connections of a backend server before its listener.
func TestAliveServerWhoseListenerClosesLastIsDown(t *testing.T) {
	c := listen(t, func(ln net.Listener, accepted net.Conn) {
		time.Sleep(2 * time.Millisecond)
		_ = ln.Close()
		_ = accepted.Close()
	})
	if c.Alive(context.Background()) {
		t.Error("server that closed its listener after the connection was accepted: got alive, want down")
	}
}

// A backend server at its limit of connections closes new ones, and keeps running.
func TestAliveServerThatClosesNewConnectionsIsUp(t *testing.T) {
	c := listen(t, func(_ net.Listener, accepted net.Conn) { _ = accepted.Close() })
	if !c.Alive(context.Background()) {
		t.Error("server that closes new connections and goes on listening: got down, want alive")
	}
}

func TestAliveServerThatKeepsConnectionIsUp(t *testing.T) {
	var kept []net.Conn
	c := listen(t, func(_ net.Listener, accepted net.Conn) { kept = append(kept, accepted) })
	if !c.Alive(context.Background()) {
		t.Error("server that keeps the connection open: got down, want alive")
	}
}

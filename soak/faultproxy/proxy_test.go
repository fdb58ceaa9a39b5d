package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// startEchoServer starts a server that echoes all data and returns its address.
func startEchoServer(t *testing.T) string {
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
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends one byte and returns the error of reading its echo within limit.
func exchange(c net.Conn, limit time.Duration) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := c.Read(make([]byte, 1))
	return err
}

const (
	shortTimeout = 50 * time.Millisecond
	longTimeout  = 30 * time.Second
)

func TestProxyBlockedDirectionDelaysBytes(t *testing.T) {
	p, err := NewProxy(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for name, f := range map[string]Fault{"to": {BlockToTarget: true}, "from": {BlockFromTarget: true}} {
		c := dial(t, p)
		p.SetFault(f)
		if err := exchange(c, shortTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s blocked: read got %v, want a time-out", name, err)
		}
		p.SetFault(Fault{})
		_ = c.SetReadDeadline(time.Now().Add(longTimeout))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("%s unblocked: the delayed byte did not arrive: %v", name, err)
		}
	}
}

func TestProxyBlackholeAffectsOpenConnectionsOnly(t *testing.T) {
	p, err := NewProxy(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	old := dial(t, p)
	if err := exchange(old, longTimeout); err != nil {
		t.Fatal(err)
	}
	p.Blackhole()
	if err := exchange(dial(t, p), longTimeout); err != nil {
		t.Error(err)
	}
	if err := exchange(old, shortTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read on a blackholed connection: got %v, want a time-out", err)
	}
	p.Reset()
	_ = old.SetReadDeadline(time.Now().Add(longTimeout))
	if _, err := old.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after a reset: got %v, want a closed connection", err)
	}
}

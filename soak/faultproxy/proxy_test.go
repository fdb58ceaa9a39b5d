package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echo answers every byte with itself.
func echo(t *testing.T) string {
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

// exchange sends a byte and returns the error of reading it back within limit.
func exchange(c net.Conn, limit time.Duration) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := c.Read(make([]byte, 1))
	return err
}

const (
	short = 50 * time.Millisecond
	long  = 30 * time.Second
)

func TestACutHoldsBytesUntilItEnds(t *testing.T) {
	p, err := NewProxy(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for name, f := range map[string]Fault{"to": {CutTo: true}, "from": {CutFrom: true}} {
		c := dial(t, p)
		p.Set(f)
		if err := exchange(c, short); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: got %v", name, err)
		}
		p.Set(Fault{})
		_ = c.SetReadDeadline(time.Now().Add(long))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("%s: the byte is lost: %v", name, err)
		}
	}
}

func TestSilenceTakesOpenConnectionsOnly(t *testing.T) {
	p, err := NewProxy(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	old := dial(t, p)
	if err := exchange(old, long); err != nil {
		t.Fatal(err)
	}
	p.Silence()
	if err := exchange(dial(t, p), long); err != nil {
		t.Error(err)
	}
	if err := exchange(old, short); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	p.Reset()
	_ = old.SetReadDeadline(time.Now().Add(long))
	if _, err := old.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a reset: %v", err)
	}
}

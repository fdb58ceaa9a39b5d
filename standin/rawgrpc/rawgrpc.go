// Package rawgrpc is a server for tests that answers gRPC calls with any HTTP/2 frames.
package rawgrpc

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// ContentType is the content type of an answer to a gRPC call.
const ContentType = "application/grpc"

// Stream is the server's side of the first call of a connection, whose head has been read.
// It sends frames in single bytes, so that they arrive in several parts.
type Stream struct {
	conn   *net.TCPConn
	framer *http2.Framer
	id     uint32
}

// Start starts a server on a port of 127.0.0.1 until the end of the test and returns its
// address. It passes the first call of each connection to serve and closes the connection
// then. The rest of the call is not read.
func Start(t testing.TB, serve func(s *Stream)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() {
				defer c.Close()
				if s := accept(c.(*net.TCPConn)); s != nil {
					serve(s)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		tasks.Wait()
	})
	return ln.Addr().String()
}

// StartWithStatus is Start with an answer of one message that is sound but for its HTTP
// status.
func StartWithStatus(t testing.TB, status string, encoded []byte) string {
	t.Helper()
	return Start(t, func(s *Stream) {
		s.Head(":status", status, "content-type", ContentType)
		s.Data(Message(encoded))
		s.Trailers("grpc-status", "0")
	})
}

// accept reads up to the head of the first call. It returns nil if there is none.
func accept(c *net.TCPConn) *Stream {
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return nil
	}
	s := &Stream{conn: c, framer: http2.NewFramer(singleBytes{c}, c)}
	_ = s.framer.WriteSettings()
	for {
		f, err := s.framer.ReadFrame()
		if err != nil {
			return nil
		}
		if h, isHead := f.(*http2.HeadersFrame); isHead {
			s.id = h.StreamID
			return s
		}
	}
}

// singleBytes writes each byte by itself.
type singleBytes struct{ io.Writer }

func (w singleBytes) Write(b []byte) (int, error) {
	for i := range b {
		if _, err := w.Writer.Write(b[i : i+1]); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

// Head sends a block of header fields, names and values in turn.
func (s *Stream) Head(fields ...string) {
	_ = s.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: encode(fields), EndHeaders: true})
}

// HeadInFrames is Head with a padded frame and continuations of it.
func (s *Stream) HeadInFrames(fields ...string) {
	block := encode(fields)
	_ = s.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: block[:1], PadLength: 10})
	_ = s.framer.WriteContinuation(s.id, false, block[1:2])
	_ = s.framer.WriteContinuation(s.id, true, block[2:])
}

// Data sends bytes of the answer's body.
func (s *Stream) Data(b []byte) { _ = s.framer.WriteData(s.id, false, b) }

// LastData sends the last bytes of the answer's body; no trailers follow.
func (s *Stream) LastData(b []byte) { _ = s.framer.WriteData(s.id, true, b) }

// Trailers ends the answer with a block of header fields, and returns when the client has
// closed the connection.
func (s *Stream) Trailers(fields ...string) {
	_ = s.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: encode(fields), EndHeaders: true, EndStream: true})
	_, _ = io.Copy(io.Discard, s.conn)
}

// Reset makes the closing of the connection a reset.
func (s *Stream) Reset() { _ = s.conn.SetLinger(0) }

// HalfClose ends the sending direction and returns later.
func (s *Stream) HalfClose() {
	_ = s.conn.CloseWrite()
	time.Sleep(5 * time.Millisecond)
}

func encode(fields []string) []byte {
	var block bytes.Buffer
	e := hpack.NewEncoder(&block)
	for i := 0; i < len(fields); i += 2 {
		_ = e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	return block.Bytes()
}

// Message returns an encoded message with the length that gRPC sends before it.
func Message(encoded []byte) []byte {
	const uncompressed = 0
	return append(binary.BigEndian.AppendUint32([]byte{uncompressed}, uint32(len(encoded))), encoded...)
}

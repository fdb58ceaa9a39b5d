package grpcconn

import (
	"bytes"
	"context"
	"io"
	"net"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"fescuehoist.example/adapters/httpconn"
)

const (
	frameHeaderSize = 9
	// initialTableSize is the size of the table of header fields that grpc-go keeps for a
	// connection, in bytes.
	initialTableSize = 4 << 10
	statusField      = ":status"
)

// WithCredentials returns the option for the credentials of connections. A connection ends
// with an error at an answer without a valid HTTP status: grpc-go does not look at the
// status if the content type is that of gRPC.
func WithCredentials(creds credentials.TransportCredentials) grpc.DialOption {
	return grpc.WithTransportCredentials(checkedCredentials{creds})
}

// checkedCredentials opens connections whose answers are checked.
type checkedCredentials struct {
	credentials.TransportCredentials
}

func (c checkedCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := c.TransportCredentials.ClientHandshake(ctx, authority, conn)
	if err != nil {
		return nil, nil, err
	}
	return newCheckedConn(conn), info, nil
}

func (c checkedCredentials) Clone() credentials.TransportCredentials {
	return checkedCredentials{c.TransportCredentials.Clone()}
}

// checkedConn checks the heads of the answers that are read from an HTTP/2 connection.
type checkedConn struct {
	net.Conn
	// frame is the part of a frame that was read and not checked yet, wanted the length at
	// which the checking goes on.
	frame  bytes.Buffer
	wanted int
	// skipped is the number of bytes that are left of a frame without header fields.
	skipped int
	framer  *http2.Framer
	decoder *hpack.Decoder
	head    head
}

// head is the head or the trailers of an answer as far as they are decoded.
type head struct {
	endsStream bool
	hasStatus  bool
	statusErr  error
}

func newCheckedConn(conn net.Conn) *checkedConn {
	c := &checkedConn{Conn: conn, wanted: frameHeaderSize}
	c.framer = http2.NewFramer(io.Discard, &c.frame)
	// The framer gets the frames with header fields alone, so their order is not known to it.
	c.framer.AllowIllegalReads = true
	c.framer.SetReuseFrames()
	c.decoder = hpack.NewDecoder(initialTableSize, c.head.decodeField)
	c.decoder.SetMaxStringLength(httpconn.MaxHeaderSize)
	return c
}

// Read reads from the connection. It returns a *httpconn.MalformedError once a malformed
// head has been read.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if checkErr := c.check(b[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

func (c *checkedConn) check(read []byte) error {
	for len(read) > 0 {
		if c.skipped > 0 {
			n := min(c.skipped, len(read))
			c.skipped -= n
			read = read[n:]
			continue
		}
		n := min(c.wanted-c.frame.Len(), len(read))
		c.frame.Write(read[:n])
		read = read[n:]
		if c.frame.Len() < c.wanted {
			continue
		}
		if err := c.checkFrame(); err != nil {
			return err
		}
	}
	return nil
}

// checkFrame checks a frame of which wanted bytes have been read: its header, or all of it
// if it has header fields.
func (c *checkedConn) checkFrame() error {
	header, err := http2.ReadFrameHeader(bytes.NewReader(c.frame.Bytes()))
	if err != nil {
		return err
	}
	size := frameHeaderSize + int(header.Length)
	switch {
	case header.Type != http2.FrameHeaders && header.Type != http2.FrameContinuation:
		c.frame.Reset()
		c.skipped = int(header.Length)
		return nil
	case c.frame.Len() < size:
		c.wanted = size
		return nil
	}
	c.wanted = frameHeaderSize
	frame, err := c.framer.ReadFrame()
	if err != nil {
		return err
	}
	if f, isFirst := frame.(*http2.HeadersFrame); isFirst {
		c.head = head{endsStream: f.StreamEnded()}
	}
	return c.checkFields(frame.(headerFields))
}

// headerFields is a frame with a part of a block of header fields.
type headerFields interface {
	HeaderBlockFragment() []byte
	HeadersEnded() bool
}

func (c *checkedConn) checkFields(f headerFields) error {
	if _, err := c.decoder.Write(f.HeaderBlockFragment()); err != nil || !f.HeadersEnded() {
		return err
	}
	if err := c.decoder.Close(); err != nil {
		return err
	}
	return c.head.check()
}

func (h *head) decodeField(f hpack.HeaderField) {
	if f.Name == statusField {
		h.hasStatus = true
		h.statusErr = httpconn.CheckStatus([]byte(f.Value))
	}
}

// check returns the error of a complete head. Only trailers, which end the answer, have no
// status.
func (h *head) check() error {
	if !h.hasStatus && !h.endsStream {
		return httpconn.CheckStatus(nil)
	}
	return h.statusErr
}

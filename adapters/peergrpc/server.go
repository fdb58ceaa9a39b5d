package peergrpc

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"fescuehoist.example/adapters/grpcconn"
	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/gossip"
)

// Handler serves one accepted stream until it ends.
type Handler interface {
	Serve(ctx context.Context, link gossip.Link) error
}

// Server accepts streams from other daemons.
type Server struct {
	peerpb.UnimplementedPeerServer
	handler Handler
	creds   credentials.TransportCredentials
	// Traffic counts the bytes of messages.
	Traffic *Traffic
}

// NewServer returns a server that passes each accepted stream to handler.
func NewServer(handler Handler, creds credentials.TransportCredentials) *Server {
	return &Server{handler: handler, creds: creds, Traffic: &Traffic{}}
}

// Exchange serves one stream until the handler returns or the link is closed.
func (s *Server) Exchange(stream peerpb.Peer_ExchangeServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	done := make(chan error, 1)
	l := &link{stream: stream, close: func() { done <- nil }}
	go func() { done <- s.handler.Serve(ctx, l) }()
	return <-done
}

// Service is another gRPC service on the listener of the peer streams.
type Service interface{ Register(grpc.ServiceRegistrar) }

// handshakeTimeout limits the opening of a connection, up to the first HTTP/2 frame of the
// peer. A dialing daemon gives up after one second itself (gossip.Config.DialTimeout), and
// the end of the server waits for connections that are being opened; grpc's own limit is
// 120 s.
const handshakeTimeout = time.Second

// Run serves peer streams and the given services on the listener until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener, services ...Service) error {
	server := grpc.NewServer(grpc.Creds(s.creds), grpc.StatsHandler(s.Traffic),
		grpc.MaxRecvMsgSize(MaxMessageSize), grpc.MaxSendMsgSize(MaxMessageSize),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(grpcconn.BufferSize), grpc.WriteBufferSize(grpcconn.BufferSize),
		grpc.InitialWindowSize(grpcconn.WindowSize), grpc.InitialConnWindowSize(grpcconn.WindowSize))
	peerpb.RegisterPeerServer(server, s)
	for _, service := range services {
		service.Register(server)
	}
	closable := newClosableListener(ln)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(closable) })
	g.Go(func() error {
		<-ctx.Done()
		closable.CloseConns()
		server.Stop()
		return nil
	})
	return g.Wait()
}

package peergrpc

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/gossip"
)

// Handler runs an accepted stream until it ends.
type Handler interface {
	Serve(ctx context.Context, link gossip.Link) error
}

// Server accepts streams from other daemons.
type Server struct {
	peerpb.UnimplementedPeerServer
	handler Handler
	creds   credentials.TransportCredentials
	// Traffic counts bytes.
	Traffic *Traffic
}

// NewServer returns a server that gives each stream to the handler.
func NewServer(handler Handler, creds credentials.TransportCredentials) *Server {
	return &Server{handler: handler, creds: creds, Traffic: &Traffic{}}
}

// Exchange runs one stream.
func (s *Server) Exchange(stream peerpb.Peer_ExchangeServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	closed := make(chan error, 1)
	l := &link{stream: stream, close: func() { closed <- nil }}
	go func() { closed <- s.handler.Serve(ctx, l) }()
	return <-closed
}

// Service is a further service on the same listener.
type Service interface{ Register(grpc.ServiceRegistrar) }

// Run accepts streams on the listener until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener, others ...Service) error {
	server := grpc.NewServer(grpc.Creds(s.creds), grpc.StatsHandler(s.Traffic),
		grpc.MaxRecvMsgSize(MaxMessageSize), grpc.MaxSendMsgSize(MaxMessageSize),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize))
	peerpb.RegisterPeerServer(server, s)
	for _, other := range others {
		other.Register(server)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(ln) })
	g.Go(func() error {
		<-ctx.Done()
		server.Stop()
		return nil
	})
	return g.Wait()
}

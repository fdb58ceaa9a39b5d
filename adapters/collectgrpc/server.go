package collectgrpc

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"

	"fescuehoist.example/adapters/collectgrpc/collectpb"
	"fescuehoist.example/mesh/collect"
)

// Receiver handles received reports.
type Receiver interface {
	Receive(r *collect.Report) (*collect.Reply, error)
}

// Server is the gRPC service that passes each report to Receiver.
type Server struct {
	collectpb.UnimplementedCollectServer
	Receiver Receiver
}

// Register registers the service with r.
func (s *Server) Register(r grpc.ServiceRegistrar) { collectpb.RegisterCollectServer(r, s) }

// Exchange answers the reports of one daemon until its stream ends. A report that cannot be
// decoded ends the stream with InvalidArgument, one that the receiver rejects with
// FailedPrecondition.
func (s *Server) Exchange(stream collectpb.Collect_ExchangeServer) error {
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		r, err := decodeReport(in)
		if err != nil {
			return grpcstatus.Error(codes.InvalidArgument, err.Error())
		}
		reply, err := s.Receiver.Receive(r)
		if err != nil {
			return grpcstatus.Error(codes.FailedPrecondition, err.Error())
		}
		if err := stream.Send(encodeReply(reply)); err != nil {
			return err
		}
	}
}

package statusgrpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"

	"fescuehoist.example/adapters/statusgrpc/statuspb"
	"fescuehoist.example/mesh/status"
)

// Receiver handles received reports.
type Receiver interface {
	Receive(r *status.Report) (*status.Reply, error)
}

// Server is the gRPC service that passes each report to Receiver.
type Server struct {
	statuspb.UnimplementedStatusServer
	Receiver Receiver
}

// Register registers the service with r.
func (s *Server) Register(r grpc.ServiceRegistrar) { statuspb.RegisterStatusServer(r, s) }

// Report passes one report to the receiver. A report that cannot be decoded
// fails with InvalidArgument, one that the receiver rejects with
// FailedPrecondition.
func (s *Server) Report(_ context.Context, in *statuspb.ReportRequest) (*statuspb.ReportReply, error) {
	r, err := decodeReport(in)
	if err != nil {
		return nil, grpcstatus.Error(codes.InvalidArgument, err.Error())
	}
	reply, err := s.Receiver.Receive(r)
	if err != nil {
		return nil, grpcstatus.Error(codes.FailedPrecondition, err.Error())
	}
	return encodeReply(reply), nil
}

package statusgrpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"

	"fescuehoist.example/adapters/statusgrpc/statuspb"
	"fescuehoist.example/mesh/status"
)

// Receiver takes reports.
type Receiver interface {
	Receive(r *status.Report) (*status.Reply, error)
}

// Server gives each report to the receiver.
type Server struct {
	statuspb.UnimplementedStatusServer
	Receiver Receiver
}

// Register adds the service to a server.
func (s *Server) Register(r grpc.ServiceRegistrar) { statuspb.RegisterStatusServer(r, s) }

// Report takes one report.
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

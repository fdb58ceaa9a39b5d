package overhead

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"fescuehoist.example/mesh/call"
)

// Names of the gRPC method that carries a call.
const (
	serviceName = "fescuehoist.bench.Calls"
	methodName  = "/" + serviceName + "/Call"
)

// grpcHop forwards calls to a backend server over one unary gRPC method. The fields
// of a call are sent as metadata, its body as the message.
type grpcHop struct {
	server *grpc.Server
	client *grpc.ClientConn
}

// startGRPC starts a gRPC server on loopback that passes calls to handler, and a
// client for it.
func startGRPC(handler call.Handler) (*grpcHop, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &grpcHop{server: grpc.NewServer()}
	h.server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName, HandlerType: (*call.Handler)(nil),
		Methods: []grpc.MethodDesc{{MethodName: "Call", Handler: serveCall}},
	}, handler)
	go func() { _ = h.server.Serve(ln) }()
	h.client, err = grpc.NewClient(ln.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	return h, err
}

// serveCall decodes a call from the metadata and the message, passes it to the
// call.Handler server, and encodes the answer in the same way.
func serveCall(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
	body := &wrapperspb.BytesValue{}
	if err := decode(body); err != nil {
		return nil, err
	}
	r := &call.Request{Body: body.GetValue()}
	md, _ := metadata.FromIncomingContext(ctx)
	for name, values := range md {
		switch name {
		case "call-service":
			r.Service = values[0]
		case "call-method":
			r.Method = values[0]
		case "call-uri":
			r.URI = values[0]
		case ":authority", "content-type":
		default:
			r.Header = append(r.Header, call.Field{Name: name, Value: values[0]})
		}
	}
	answer, err := server.(call.Handler).Call(ctx, r)
	if err != nil {
		return nil, err
	}
	out := metadata.MD{}
	for _, f := range answer.Header {
		out.Append(f.Name, f.Value)
	}
	if err := grpc.SetHeader(ctx, out); err != nil {
		return nil, err
	}
	return wrapperspb.Bytes(answer.Body), nil
}

// call forwards one call and returns its answer.
func (h *grpcHop) call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	pairs := []string{"call-service", r.Service, "call-method", r.Method, "call-uri", r.URI}
	for _, f := range r.Header {
		pairs = append(pairs, f.Name, f.Value)
	}
	var header metadata.MD
	out := &wrapperspb.BytesValue{}
	ctx = metadata.AppendToOutgoingContext(ctx, pairs...)
	if err := h.client.Invoke(ctx, methodName, wrapperspb.Bytes(r.Body), out, grpc.Header(&header)); err != nil {
		return nil, err
	}
	answer := &call.Answer{Body: out.GetValue()}
	for name, values := range header {
		answer.Header = append(answer.Header, call.Field{Name: name, Value: values[0]})
	}
	return answer, nil
}

func (h *grpcHop) close() {
	_ = h.client.Close()
	h.server.Stop()
}

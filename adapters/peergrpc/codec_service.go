package peergrpc

import (
	"time"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/target"
)

func encodeService(s *target.Service) *peerpb.Service {
	return &peerpb.Service{Name: s.Name, Classes: encodeClasses(s.Classes)}
}

func decodeService(in *peerpb.Service) *target.Service {
	return &target.Service{Name: in.GetName(), Classes: decodeClasses(in.GetClasses())}
}

func encodePatch(p *target.Patch) *peerpb.Patch {
	out := &peerpb.Patch{From: string(p.From)}
	for i := range p.Pieces {
		piece := &p.Pieces[i]
		out.Pieces = append(out.Pieces, &peerpb.Piece{
			Start: uint32(piece.Start), Count: uint32(piece.Count), Classes: encodeClasses(piece.Classes),
		})
	}
	return out
}

func decodePatch(in *peerpb.Patch) *target.Patch {
	p := &target.Patch{From: target.Digest(in.GetFrom())}
	for _, piece := range in.GetPieces() {
		p.Pieces = append(p.Pieces, target.Piece{
			Start: int(piece.GetStart()), Count: int(piece.GetCount()), Classes: decodeClasses(piece.GetClasses()),
		})
	}
	return p
}

func encodeClasses(classes []target.Class) []*peerpb.Class {
	var out []*peerpb.Class
	for i := range classes {
		c := &classes[i]
		out = append(out, &peerpb.Class{
			Name: c.Name, Method: c.Method, Path: c.Path, Rank: int32(c.Rank),
			LatencyNanos: int64(c.Latency), Success: c.Success, Keep: c.GuaranteedShare, TimeoutNanos: int64(c.Timeout),
			Idempotent: c.Idempotent, Internal: c.Internal, NoticeNanos: int64(c.Notice),
			Attempts: int32(c.Attempts), Parts: encodeParts(c.Parts), Public: c.Public, Fault: c.Fault,
		})
	}
	return out
}

func decodeClasses(in []*peerpb.Class) []target.Class {
	var classes []target.Class
	for _, c := range in {
		classes = append(classes, target.Class{
			Name: c.GetName(), Method: c.GetMethod(), Path: c.GetPath(), Rank: int(c.GetRank()),
			Latency: time.Duration(c.GetLatencyNanos()), Success: c.GetSuccess(), GuaranteedShare: c.GetKeep(),
			Timeout: time.Duration(c.GetTimeoutNanos()), Idempotent: c.GetIdempotent(),
			Internal: c.GetInternal(), Notice: time.Duration(c.GetNoticeNanos()),
			Attempts: int(c.GetAttempts()), Parts: decodeParts(c.GetParts()), Public: c.GetPublic(), Fault: c.GetFault(),
		})
	}
	return classes
}

func encodeParts(parts []target.Part) []*peerpb.Part {
	var out []*peerpb.Part
	for _, p := range parts {
		out = append(out, &peerpb.Part{Service: p.Service, Weight: int32(p.Weight)})
	}
	return out
}

func decodeParts(in []*peerpb.Part) []target.Part {
	var parts []target.Part
	for _, p := range in {
		parts = append(parts, target.Part{Service: p.GetService(), Weight: int(p.GetWeight())})
	}
	return parts
}

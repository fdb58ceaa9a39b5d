package peergrpc

import (
	"fmt"
	"time"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/spread"
	"fescuehoist.example/mesh/target"
)

// encode returns the frame of a message.
func encode(m spread.Message) (*peerpb.Frame, error) {
	switch m := m.(type) {
	case *spread.Hello:
		hello := &peerpb.Hello{From: string(m.From), Version: uint64(m.Version)}
		return &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: hello}}, nil
	case *spread.Heartbeat:
		beat := &peerpb.Heartbeat{Version: uint64(m.Version)}
		return &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: beat}}, nil
	case *spread.Records:
		return &peerpb.Frame{Body: &peerpb.Frame_Records{Records: encodeRecords(m.Records)}}, nil
	case *spread.Configuration:
		return &peerpb.Frame{Body: &peerpb.Frame_Configuration{Configuration: encodeUpdate(m.Update)}}, nil
	case *spread.Hashes:
		hashes := &peerpb.Hashes{Hashes: m.Hashes[:], Reply: m.Reply}
		return &peerpb.Frame{Body: &peerpb.Frame_Hashes{Hashes: hashes}}, nil
	}
	return nil, fmt.Errorf("no frame for message %T", m)
}

// decode returns the message of a frame.
func decode(f *peerpb.Frame) (spread.Message, error) {
	switch b := f.Body.(type) {
	case *peerpb.Frame_Hello:
		return &spread.Hello{From: member.ServerID(b.Hello.GetFrom()), Version: manifest.Version(b.Hello.GetVersion())}, nil
	case *peerpb.Frame_Heartbeat:
		return &spread.Heartbeat{Version: manifest.Version(b.Heartbeat.GetVersion())}, nil
	case *peerpb.Frame_Records:
		return decodeRecords(b.Records)
	case *peerpb.Frame_Configuration:
		return decodeUpdate(b.Configuration)
	case *peerpb.Frame_Hashes:
		return decodeHashes(b.Hashes)
	}
	return nil, fmt.Errorf("frame without a known body")
}

func encodeRecords(records []member.Record) *peerpb.Records {
	out := &peerpb.Records{Records: make([]*peerpb.Record, len(records))}
	for i := range records {
		r := &records[i]
		out.Records[i] = &peerpb.Record{
			Server: string(r.Server), Incarnation: r.Incarnation, Sequence: r.Sequence,
			State: uint32(r.State), Service: r.Service, Domain: r.Domain,
			CallAddress: r.CallAddress, PeerAddress: r.PeerAddress,
			Slots: uint32(r.Slots), Health: uint32(r.Health),
		}
		for _, a := range r.Accusers {
			out.Records[i].Accusers = append(out.Records[i].Accusers, string(a))
		}
	}
	return out
}

func decodeRecords(in *peerpb.Records) (spread.Message, error) {
	records := make([]member.Record, len(in.GetRecords()))
	for i, r := range in.GetRecords() {
		if r.GetServer() == "" || r.GetState() > uint32(member.Left) || r.GetHealth() > uint32(member.Failed) {
			return nil, fmt.Errorf("record %d of server %q is out of range", i, r.GetServer())
		}
		records[i] = member.Record{
			Server: member.ServerID(r.GetServer()), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(),
			State: member.State(r.GetState()), Service: r.GetService(), Domain: r.GetDomain(),
			CallAddress: r.GetCallAddress(), PeerAddress: r.GetPeerAddress(),
			Slots: int(r.GetSlots()), Health: member.Health(r.GetHealth()),
		}
		for _, a := range r.GetAccusers() {
			records[i].Accusers = append(records[i].Accusers, member.ServerID(a))
		}
	}
	return &spread.Records{Records: records}, nil
}

func decodeHashes(in *peerpb.Hashes) (spread.Message, error) {
	if len(in.GetHashes()) != member.Buckets {
		return nil, fmt.Errorf("%d hashes where %d were expected", len(in.GetHashes()), member.Buckets)
	}
	m := &spread.Hashes{Reply: in.GetReply()}
	copy(m.Hashes[:], in.GetHashes())
	return m, nil
}

func encodeUpdate(u *manifest.Update) *peerpb.Configuration {
	out := &peerpb.Configuration{}
	if u.Base != nil {
		out.Base = &peerpb.Table{Version: uint64(u.Base.Version), Refs: encodeRefs(u.Base.Refs)}
	}
	for i := range u.Changes {
		c := &u.Changes[i]
		out.Changes = append(out.Changes, &peerpb.Change{
			Version: uint64(c.Version), EditId: c.EditID, Author: c.Author,
			AtUnixNano: c.At.UnixNano(), Updated: encodeRefs(c.Updated), Removed: c.Removed, Table: string(c.Table),
		})
	}
	for i := range u.Bodies {
		b := &u.Bodies[i]
		body := &peerpb.Body{Digest: string(b.Digest), Fault: b.Fault}
		if b.Service != nil {
			body.Service = encodeService(b.Service)
		}
		out.Bodies = append(out.Bodies, body)
	}
	return out
}

func decodeUpdate(in *peerpb.Configuration) (spread.Message, error) {
	u := &manifest.Update{}
	if in.GetBase() != nil {
		u.Base = &manifest.Table{Version: manifest.Version(in.GetBase().GetVersion()), Refs: decodeRefs(in.GetBase().GetRefs())}
	}
	for _, c := range in.GetChanges() {
		u.Changes = append(u.Changes, manifest.Change{
			Version: manifest.Version(c.GetVersion()), EditID: c.GetEditId(), Author: c.GetAuthor(),
			At: time.Unix(0, c.GetAtUnixNano()), Updated: decodeRefs(c.GetUpdated()), Removed: c.GetRemoved(),
			Table: target.Digest(c.GetTable()),
		})
	}
	for _, b := range in.GetBodies() {
		body := manifest.Body{Digest: target.Digest(b.GetDigest()), Fault: b.GetFault()}
		if b.GetService() != nil {
			body.Service = decodeService(b.GetService())
		}
		u.Bodies = append(u.Bodies, body)
	}
	if u.Base == nil && len(u.Changes) == 0 {
		return nil, fmt.Errorf("configuration without a table and without changes")
	}
	return &spread.Configuration{Update: u}, nil
}

func encodeRefs(refs []manifest.Ref) []*peerpb.Ref {
	out := make([]*peerpb.Ref, len(refs))
	for i, r := range refs {
		out[i] = &peerpb.Ref{Service: r.Service, Digest: string(r.Digest)}
	}
	return out
}

func decodeRefs(in []*peerpb.Ref) []manifest.Ref {
	refs := make([]manifest.Ref, len(in))
	for i, r := range in {
		refs[i] = manifest.Ref{Service: r.GetService(), Digest: target.Digest(r.GetDigest())}
	}
	return refs
}

func encodeService(s *target.Service) *peerpb.Service {
	out := &peerpb.Service{Name: s.Name}
	for i := range s.Classes {
		c := &s.Classes[i]
		out.Classes = append(out.Classes, &peerpb.Class{
			Name: c.Name, Method: c.Method, Path: c.Path, Rank: int32(c.Rank),
			LatencyNanos: int64(c.Latency), Success: c.Success, Keep: c.Keep, TimeoutNanos: int64(c.Timeout),
			Idempotent: c.Idempotent, Internal: c.Internal, NoticeNanos: int64(c.Notice),
		})
	}
	return out
}

func decodeService(in *peerpb.Service) *target.Service {
	s := &target.Service{Name: in.GetName()}
	for _, c := range in.GetClasses() {
		s.Classes = append(s.Classes, target.Class{
			Name: c.GetName(), Method: c.GetMethod(), Path: c.GetPath(), Rank: int(c.GetRank()),
			Latency: time.Duration(c.GetLatencyNanos()), Success: c.GetSuccess(), Keep: c.GetKeep(),
			Timeout: time.Duration(c.GetTimeoutNanos()), Idempotent: c.GetIdempotent(),
			Internal: c.GetInternal(), Notice: time.Duration(c.GetNoticeNanos()),
		})
	}
	return s
}

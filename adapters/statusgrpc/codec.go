package statusgrpc

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuehoist.example/adapters/statusgrpc/statuspb"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
)

// Size returns the encoded size of a report in bytes.
func Size(r *status.Report) int { return proto.Size(encodeReport(r)) }

func encodeReport(r *status.Report) *statuspb.ReportRequest {
	out := &statuspb.ReportRequest{From: string(r.From), Shard: uint32(r.Shard)}
	for k, c := range r.Classes {
		out.Classes = append(out.Classes, encodeCounts(k, c))
	}
	if r.Presence != nil {
		out.Presence = encodePresence(r.Presence)
	}
	return out
}

func encodeCounts(k status.ClassKey, c *status.Counts) *statuspb.ClassCounts {
	out := &statuspb.ClassCounts{
		Service: k.Service, Class: k.Class, Offered: c.Offered, Good: c.Good,
		Answered: c.Answered, NotRun: c.NotRun, MayHaveRun: c.MayHaveRun,
		Latency: encodeHistogram(&c.Latency), ServiceTime: encodeHistogram(&c.ServiceTime),
	}
	for name, n := range c.Clients {
		out.Clients = append(out.Clients, &statuspb.ClientCounts{Name: name, Offered: n.Offered, Good: n.Good})
	}
	return out
}

// encodeHistogram encodes each duration as the difference from the one before.
// An empty histogram is nil.
func encodeHistogram(h *status.Histogram) *statuspb.Histogram {
	if h.Count() == 0 {
		return nil
	}
	out := &statuspb.Histogram{}
	var previous int64
	for _, b := range h.Buckets() {
		out.Micros = append(out.Micros, b.Micros-previous)
		out.Counts = append(out.Counts, b.Count)
		previous = b.Micros
	}
	return out
}

func encodePresence(p *status.Presence) *statuspb.Presence {
	out := &statuspb.Presence{}
	for v, n := range p.Daemons {
		out.Versions = append(out.Versions, &statuspb.VersionCount{Version: uint64(v), Daemons: uint32(n)})
	}
	for _, l := range p.Behind {
		out.Behind = append(out.Behind, &statuspb.Laggard{Server: string(l.Server), Version: uint64(l.Version)})
	}
	for r, n := range p.Refusals {
		out.Refusals = append(out.Refusals, &statuspb.Refusal{Version: uint64(r.Version), Reason: r.Reason, Daemons: uint32(n)})
	}
	return out
}

// maxClasses bounds the number of classes in one report.
const maxClasses = 100_000

// maxReason bounds the reason of a refusal, in bytes; a longer one is truncated.
const maxReason = 4096

func decodeReport(in *statuspb.ReportRequest) (*status.Report, error) {
	if in.GetFrom() == "" || len(in.GetClasses()) > maxClasses {
		return nil, fmt.Errorf("report of server %q with %d classes, want a server name and at most %d classes", in.GetFrom(), len(in.GetClasses()), maxClasses)
	}
	r := &status.Report{From: member.ServerID(in.GetFrom()), Shard: int(in.GetShard()), Classes: status.Classes{}}
	for _, c := range in.GetClasses() {
		counts, err := decodeCounts(c)
		if err != nil {
			return nil, err
		}
		r.Classes.Of(status.ClassKey{Service: c.GetService(), Class: c.GetClass()}).Add(counts)
	}
	if in.GetPresence() != nil {
		r.Presence = decodePresence(in.GetPresence())
	}
	return r, nil
}

func decodeCounts(in *statuspb.ClassCounts) (*status.Counts, error) {
	if !target.ValidName(in.GetService()) || !target.ValidName(in.GetClass()) {
		return nil, fmt.Errorf("report with invalid class name %q or service name %q", in.GetClass(), in.GetService())
	}
	c := &status.Counts{
		Offered: in.GetOffered(), Good: in.GetGood(),
		Answered: in.GetAnswered(), NotRun: in.GetNotRun(), MayHaveRun: in.GetMayHaveRun(),
		Clients: map[string]status.ClientCounts{},
	}
	var err error
	if c.Latency, err = decodeHistogram(in.GetLatency()); err != nil {
		return nil, err
	}
	if c.ServiceTime, err = decodeHistogram(in.GetServiceTime()); err != nil {
		return nil, err
	}
	for _, n := range in.GetClients() {
		if len(c.Clients) <= status.MaxClients {
			c.Clients[n.GetName()] = status.ClientCounts{Offered: n.GetOffered(), Good: n.GetGood()}
		}
	}
	return c, nil
}

func decodeHistogram(in *statuspb.Histogram) (status.Histogram, error) {
	if len(in.GetMicros()) != len(in.GetCounts()) {
		return status.Histogram{}, fmt.Errorf("histogram with %d durations and %d counts, want equal numbers", len(in.GetMicros()), len(in.GetCounts()))
	}
	buckets := make([]status.Bucket, len(in.GetMicros()))
	var previous int64
	for i, delta := range in.GetMicros() {
		previous += delta
		buckets[i] = status.Bucket{Micros: previous, Count: in.GetCounts()[i]}
	}
	return status.HistogramFromBuckets(buckets), nil
}

func decodePresence(in *statuspb.Presence) *status.Presence {
	p := &status.Presence{Daemons: map[manifest.Version]int{}, Refusals: map[status.Refusal]int{}}
	for _, v := range in.GetVersions() {
		p.Daemons[manifest.Version(v.GetVersion())] += int(v.GetDaemons())
	}
	for _, l := range in.GetBehind() {
		if len(p.Behind) < status.MaxNamed {
			p.Behind = append(p.Behind, status.Laggard{Server: member.ServerID(l.GetServer()), Version: manifest.Version(l.GetVersion())})
		}
	}
	for _, r := range in.GetRefusals() {
		if len(p.Refusals) >= status.MaxNamed {
			break
		}
		reason := r.GetReason()
		refusal := status.Refusal{Version: manifest.Version(r.GetVersion()), Reason: reason[:min(len(reason), maxReason)]}
		p.Refusals[refusal] += int(r.GetDaemons())
	}
	return p
}

func encodeReply(r *status.Reply) *statuspb.ReportReply {
	out := &statuspb.StopList{Revision: r.Stops.Revision}
	for i := range r.Stops.Stops {
		s := &r.Stops.Stops[i]
		stop := &statuspb.Stop{
			Id: s.ID, Author: s.Author, Domain: s.Domain,
			FromUnixNano: s.From.UnixNano(), UntilUnixNano: s.Until.UnixNano(),
		}
		for _, server := range s.Servers {
			stop.Servers = append(stop.Servers, string(server))
		}
		out.Stops = append(out.Stops, stop)
	}
	return &statuspb.ReportReply{Stops: out}
}

func decodeReply(in *statuspb.ReportReply) *status.Reply {
	list := &stop.List{Revision: in.GetStops().GetRevision()}
	for _, s := range in.GetStops().GetStops() {
		out := stop.Stop{
			ID: s.GetId(), Author: s.GetAuthor(), Domain: s.GetDomain(),
			From: time.Unix(0, s.GetFromUnixNano()), Until: time.Unix(0, s.GetUntilUnixNano()),
		}
		for _, server := range s.GetServers() {
			out.Servers = append(out.Servers, member.ServerID(server))
		}
		list.Stops = append(list.Stops, out)
	}
	return &status.Reply{Stops: list}
}

package peergrpc

import (
	"fmt"
	"time"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/target"
)

// encode returns the frame that carries m, or an error if its type is unknown.
func encode(m gossip.Message) (*peerpb.Frame, error) {
	switch m := m.(type) {
	case *gossip.Hello:
		hello := &peerpb.Hello{From: string(m.From), Mesh: m.Mesh, Version: uint64(m.Version), Advisories: m.Advisories, Domain: m.Domain}
		return &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: hello}}, nil
	case *gossip.Heartbeat:
		heartbeat := &peerpb.Heartbeat{Version: uint64(m.Version), Confirmation: m.Confirmation.Number,
			Revision: m.Confirmation.Revision.Number, Epoch: m.Confirmation.Revision.Epoch, AgeMs: uint64(max(m.Confirmation.Age.Milliseconds(), 0))}
		return &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: heartbeat}}, nil
	case *gossip.Records:
		records := &peerpb.Records{Records: encodeRecords(m.Records), Compared: m.FromAntiEntropy}
		return &peerpb.Frame{Body: &peerpb.Frame_Records{Records: records}}, nil
	case *gossip.Configuration:
		return &peerpb.Frame{Body: &peerpb.Frame_Configuration{Configuration: encodeUpdate(m.Update)}}, nil
	case *gossip.Have:
		have := &peerpb.Have{Versions: encodeVersions(m.Versions)}
		return &peerpb.Frame{Body: &peerpb.Frame_Have{Have: have}}, nil
	case *gossip.Pull:
		pull := &peerpb.Pull{Servers: encodeIDs(m.Servers), Configure: m.Configure, Version: uint64(m.Version), Graft: m.Graft}
		return &peerpb.Frame{Body: &peerpb.Frame_Pull{Pull: pull}}, nil
	case *gossip.Prune:
		return &peerpb.Frame{Body: &peerpb.Frame_Prune{Prune: &peerpb.Prune{}}}, nil
	case *gossip.Root:
		root := &peerpb.Root{Hash: m.Hash, Version: uint64(m.Version)}
		return &peerpb.Frame{Body: &peerpb.Frame_Root{Root: root}}, nil
	case *gossip.Hashes:
		return &peerpb.Frame{Body: &peerpb.Frame_Hashes{Hashes: &peerpb.Hashes{Hashes: m.Hashes[:]}}}, nil
	case *gossip.Buckets:
		return &peerpb.Frame{Body: &peerpb.Frame_Buckets{Buckets: encodeBuckets(m.Buckets)}}, nil
	case *gossip.Done:
		return &peerpb.Frame{Body: &peerpb.Frame_Done{Done: &peerpb.Done{Busy: m.Busy}}}, nil
	case *gossip.Advisories:
		advisories := &peerpb.Advisories{Advisories: encodeAdvisories(m.Advisories), Complete: m.Complete}
		return &peerpb.Frame{Body: &peerpb.Frame_Advisories{Advisories: advisories}}, nil
	}
	return nil, fmt.Errorf("cannot encode message of type %T", m)
}

// decode returns the message in a frame, or an error if it is malformed or
// exceeds a limit.
func decode(f *peerpb.Frame) (gossip.Message, error) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Hello:
		return decodeHello(b.Hello)
	case *peerpb.Frame_Heartbeat:
		return decodeHeartbeat(b.Heartbeat), nil
	case *peerpb.Frame_Records:
		return decodeRecords(b.Records)
	case *peerpb.Frame_Configuration:
		return decodeUpdate(b.Configuration)
	case *peerpb.Frame_Have:
		versions, err := decodeVersions(b.Have.GetVersions())
		return &gossip.Have{Versions: versions}, err
	case *peerpb.Frame_Pull:
		return decodePull(b.Pull)
	case *peerpb.Frame_Prune:
		return &gossip.Prune{}, nil
	case *peerpb.Frame_Root:
		return &gossip.Root{Hash: b.Root.GetHash(), Version: manifest.Version(b.Root.GetVersion())}, nil
	case *peerpb.Frame_Hashes:
		return decodeHashes(b.Hashes)
	case *peerpb.Frame_Buckets:
		return decodeBuckets(b.Buckets)
	case *peerpb.Frame_Done:
		return &gossip.Done{Busy: b.Done.GetBusy()}, nil
	case *peerpb.Frame_Advisories:
		return decodeAdvisories(b.Advisories)
	}
	return nil, fmt.Errorf("frame contains no known message")
}

// maxConfirmationAge bounds the age of a confirmation. Older ones are all the same
// to a receiver.
const maxConfirmationAge = time.Hour

func decodeHeartbeat(in *peerpb.Heartbeat) *gossip.Heartbeat {
	age := time.Duration(min(in.GetAgeMs(), uint64(maxConfirmationAge.Milliseconds()))) * time.Millisecond
	at := revision.Revision{Epoch: in.GetEpoch(), Number: in.GetRevision()}
	confirmation := gossip.Confirmation{Number: in.GetConfirmation(), Revision: at, Age: age}
	return &gossip.Heartbeat{Version: manifest.Version(in.GetVersion()), Confirmation: confirmation}
}

func decodeHello(in *peerpb.Hello) (gossip.Message, error) {
	if err := checkName("server", in.GetFrom()); err != nil {
		return nil, err
	}
	if len(in.GetMesh()) > target.MaxNameLength {
		return nil, fmt.Errorf("mesh name is %d bytes long, want at most %d", len(in.GetMesh()), target.MaxNameLength)
	}
	if err := checkLength("failure domain", in.GetDomain(), maxName); err != nil {
		return nil, err
	}
	return &gossip.Hello{From: member.ServerID(in.GetFrom()), Mesh: in.GetMesh(), Version: manifest.Version(in.GetVersion()), Advisories: in.GetAdvisories(), Domain: in.GetDomain()}, nil
}

func encodeRecords(records []member.Record) []*peerpb.Record {
	out := make([]*peerpb.Record, len(records))
	for i := range records {
		r := &records[i]
		out[i] = &peerpb.Record{
			Server: string(r.Server), Incarnation: r.Incarnation, Sequence: r.Sequence,
			State: uint32(r.State), Service: r.Service, Domain: r.Domain,
			CallAddress: r.CallAddress, PeerAddress: r.PeerAddress,
			Slots: uint32(r.Slots), Health: uint32(r.Health), Accusers: encodeIDs(r.SuspectedBy),
			Instance: r.Instance, Release: r.Release, Blind: r.StoreUnreachable, LinkMbps: uint32(r.LinkMbps),
		}
	}
	return out
}

func decodeRecords(in *peerpb.Records) (gossip.Message, error) {
	if err := checkCount("records", len(in.GetRecords()), maxRecords); err != nil {
		return nil, err
	}
	records := make([]member.Record, len(in.GetRecords()))
	for i, r := range in.GetRecords() {
		if err := checkRecord(r); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		records[i] = member.Record{
			Server: member.ServerID(r.GetServer()), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(),
			State: member.State(r.GetState()), Service: r.GetService(), Domain: r.GetDomain(),
			CallAddress: r.GetCallAddress(), PeerAddress: r.GetPeerAddress(),
			Slots: int(r.GetSlots()), Health: member.Health(r.GetHealth()), SuspectedBy: decodeIDs(r.GetAccusers()),
			Instance: r.GetInstance(), Release: r.GetRelease(), StoreUnreachable: r.GetBlind(), LinkMbps: int(r.GetLinkMbps()),
		}
	}
	return &gossip.Records{Records: records, FromAntiEntropy: in.GetCompared()}, nil
}

func encodeVersions(versions []member.Version) []*peerpb.Version {
	out := make([]*peerpb.Version, len(versions))
	for i := range versions {
		v := &versions[i]
		out[i] = &peerpb.Version{
			Server: string(v.Server), Incarnation: v.Incarnation, Sequence: v.Sequence,
			Health: uint32(v.Health), Accusers: encodeIDs(v.SuspectedBy), Terminal: v.Terminal,
		}
	}
	return out
}

func decodeVersions(in []*peerpb.Version) ([]member.Version, error) {
	if err := checkCount("versions", len(in), maxVersions); err != nil {
		return nil, err
	}
	versions := make([]member.Version, len(in))
	for i, v := range in {
		if err := checkVersion(v); err != nil {
			return nil, fmt.Errorf("version %d: %w", i, err)
		}
		versions[i] = member.Version{
			Server: member.ServerID(v.GetServer()), Incarnation: v.GetIncarnation(), Sequence: v.GetSequence(),
			Health: member.Health(v.GetHealth()), SuspectedBy: decodeIDs(v.GetAccusers()), Terminal: v.GetTerminal(),
		}
	}
	return versions, nil
}

func encodeIDs(ids []member.ServerID) []string {
	var out []string
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

func decodeIDs(in []string) []member.ServerID {
	var ids []member.ServerID
	for _, s := range in {
		ids = append(ids, member.ServerID(s))
	}
	return ids
}

func decodePull(in *peerpb.Pull) (gossip.Message, error) {
	if err := checkCount("servers", len(in.GetServers()), maxVersions); err != nil {
		return nil, err
	}
	return &gossip.Pull{
		Servers: decodeIDs(in.GetServers()), Configure: in.GetConfigure(),
		Version: manifest.Version(in.GetVersion()), Graft: in.GetGraft(),
	}, nil
}

func decodeHashes(in *peerpb.Hashes) (gossip.Message, error) {
	if len(in.GetHashes()) != member.NumBuckets {
		return nil, fmt.Errorf("got %d bucket hashes, want %d", len(in.GetHashes()), member.NumBuckets)
	}
	m := &gossip.Hashes{}
	copy(m.Hashes[:], in.GetHashes())
	return m, nil
}

func encodeBuckets(buckets []member.BucketVersions) *peerpb.Buckets {
	out := &peerpb.Buckets{}
	for i := range buckets {
		b := &peerpb.Bucket{Bucket: uint32(buckets[i].Bucket), Versions: encodeVersions(buckets[i].Versions)}
		out.Buckets = append(out.Buckets, b)
	}
	return out
}

func decodeBuckets(in *peerpb.Buckets) (gossip.Message, error) {
	if err := checkCount("buckets", len(in.GetBuckets()), member.NumBuckets); err != nil {
		return nil, err
	}
	m := &gossip.Buckets{}
	for _, b := range in.GetBuckets() {
		if b.GetBucket() >= member.NumBuckets {
			return nil, fmt.Errorf("bucket %d, want 0 to %d", b.GetBucket(), member.NumBuckets-1)
		}
		versions, err := decodeVersions(b.GetVersions())
		if err != nil {
			return nil, err
		}
		m.Buckets = append(m.Buckets, member.BucketVersions{Bucket: int(b.GetBucket()), Versions: versions})
	}
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
			Previous: uint64(c.Previous),
		})
	}
	for i := range u.Bodies {
		b := &u.Bodies[i]
		body := &peerpb.Body{Digest: string(b.Digest), Fault: b.Fault}
		if b.Service != nil {
			body.Service = encodeService(b.Service)
		}
		if b.Patch != nil {
			body.Patch = encodePatch(b.Patch)
		}
		if b.Accounts != nil {
			body.Accounts = encodeAccounts(b.Accounts)
		}
		out.Bodies = append(out.Bodies, body)
	}
	return out
}

func decodeUpdate(in *peerpb.Configuration) (gossip.Message, error) {
	if err := checkUpdate(in); err != nil {
		return nil, err
	}
	u := &manifest.Update{}
	if in.GetBase() != nil {
		u.Base = &manifest.Table{Version: manifest.Version(in.GetBase().GetVersion()), Refs: decodeRefs(in.GetBase().GetRefs())}
	}
	for _, c := range in.GetChanges() {
		u.Changes = append(u.Changes, manifest.Change{
			Version: manifest.Version(c.GetVersion()), EditID: c.GetEditId(), Author: c.GetAuthor(),
			At: time.Unix(0, c.GetAtUnixNano()), Updated: decodeRefs(c.GetUpdated()), Removed: c.GetRemoved(),
			Table: target.Digest(c.GetTable()), Previous: manifest.Version(c.GetPrevious()),
		})
	}
	for _, b := range in.GetBodies() {
		body := manifest.Body{Digest: target.Digest(b.GetDigest()), Fault: b.GetFault()}
		if b.GetService() != nil {
			body.Service = decodeService(b.GetService())
		}
		if b.GetPatch() != nil {
			body.Patch = decodePatch(b.GetPatch())
		}
		if b.GetAccounts() != nil {
			accounts, err := decodeAccounts(b.GetAccounts())
			if err != nil {
				return nil, err
			}
			body.Accounts = accounts
		}
		u.Bodies = append(u.Bodies, body)
	}
	return &gossip.Configuration{Update: u}, nil
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

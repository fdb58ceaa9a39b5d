package peergrpc

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/member"
)

func TestDecodeRecordBeyondLimitFails(t *testing.T) {
	tooLong := strings.Repeat("x", maxName+1)
	tooMany := make([]*peerpb.Record, maxRecords+1)
	for _, c := range []struct {
		name    string
		records []*peerpb.Record
	}{
		{"empty server name", []*peerpb.Record{{}}},
		{"server name too long", []*peerpb.Record{{Server: tooLong}}},
		{"service too long", []*peerpb.Record{{Server: "a", Service: tooLong}}},
		{"failure domain too long", []*peerpb.Record{{Server: "a", Domain: tooLong}}},
		{"call address too long", []*peerpb.Record{{Server: "a", CallAddress: tooLong}}},
		{"peer address too long", []*peerpb.Record{{Server: "a", PeerAddress: tooLong}}},
		{"unknown state", []*peerpb.Record{{Server: "a", State: uint32(member.Left) + 1}}},
		{"unknown health", []*peerpb.Record{{Server: "a", Health: uint32(member.Failed) + 1}}},
		{"too many slots", []*peerpb.Record{{Server: "a", Slots: maxSlots + 1}}},
		{"incarnation that cannot be refuted", []*peerpb.Record{{Server: "a", Incarnation: maxCounter + 1}}},
		{"sequence out of range", []*peerpb.Record{{Server: "a", Sequence: maxCounter + 1}}},
		{"too many suspecting servers", []*peerpb.Record{{Server: "a", Health: 1, Accusers: []string{"b", "c"}}}},
		{"suspecting servers of an alive server", []*peerpb.Record{{Server: "a", Accusers: []string{"b"}}}},
		{"name of suspecting server too long", []*peerpb.Record{{Server: "a", Health: 1, Accusers: []string{tooLong}}}},
		{"too many records", tooMany},
	} {
		t.Run(c.name, func(t *testing.T) {
			frame := &peerpb.Frame{Body: &peerpb.Frame_Records{Records: &peerpb.Records{Records: c.records}}}
			if m, err := decode(frame); err == nil {
				t.Errorf("decoded as %+v, want an error", m)
			}
		})
	}
}

func TestDecodeAdvisoriesSkipsThoseOfOtherReleases(t *testing.T) {
	known := &peerpb.Advisory{Kind: uint32(advisory.Crashed), Subject: "s/1", Number: 7}
	for name, other := range map[string]*peerpb.Advisory{
		"no kind": {}, "kind beyond a byte": {Kind: 256 + uint32(advisory.Crashed)}, "unknown kind": {Kind: uint32(advisory.Cleared) + 1},
		"subject too long": {Kind: uint32(advisory.Withdrawn), Subject: strings.Repeat("x", advisory.MaxSubjectLength+1)},
	} {
		m, err := decodeAdvisories(&peerpb.Advisories{Advisories: []*peerpb.Advisory{other, known}})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got := m.(*gossip.Advisories).Advisories; len(got) != 1 || got[0].Number != 7 {
			t.Errorf("%s: decoded %v, want the known advisory alone", name, got)
		}
	}
	if _, err := decodeAdvisories(&peerpb.Advisories{Advisories: make([]*peerpb.Advisory, advisory.MaxAdvisories+1)}); err == nil {
		t.Error("decoded more advisories than the limit")
	}
}

// FuzzDecode decodes arbitrary bytes. Every decoded message must be encodable.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		frame, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		data, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &peerpb.Frame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		m, err := decode(frame)
		if err != nil {
			return
		}
		if _, err := encode(m); err != nil {
			t.Errorf("cannot encode %+v: %v", m, err)
		}
	})
}

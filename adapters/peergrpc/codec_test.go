package peergrpc

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/member"
)

func TestDecodeLimits(t *testing.T) {
	long := strings.Repeat("x", maxName+1)
	many := make([]*peerpb.Record, maxRecords+1)
	for _, c := range []struct {
		name    string
		records []*peerpb.Record
	}{
		{"no name", []*peerpb.Record{{}}},
		{"long name", []*peerpb.Record{{Server: long}}},
		{"long service", []*peerpb.Record{{Server: "a", Service: long}}},
		{"long failure domain", []*peerpb.Record{{Server: "a", Domain: long}}},
		{"long call address", []*peerpb.Record{{Server: "a", CallAddress: long}}},
		{"long peer address", []*peerpb.Record{{Server: "a", PeerAddress: long}}},
		{"unknown state", []*peerpb.Record{{Server: "a", State: uint32(member.Left) + 1}}},
		{"unknown health", []*peerpb.Record{{Server: "a", Health: uint32(member.Failed) + 1}}},
		{"too many slots", []*peerpb.Record{{Server: "a", Slots: maxSlots + 1}}},
		{"an incarnation that cannot be refuted", []*peerpb.Record{{Server: "a", Incarnation: maxOrder + 1}}},
		{"a sequence out of range", []*peerpb.Record{{Server: "a", Sequence: maxOrder + 1}}},
		{"too many accusers", []*peerpb.Record{{Server: "a", Health: 1, Accusers: []string{"b", "c"}}}},
		{"accusers of an alive server", []*peerpb.Record{{Server: "a", Accusers: []string{"b"}}}},
		{"long accuser", []*peerpb.Record{{Server: "a", Health: 1, Accusers: []string{long}}}},
		{"too many records", many},
	} {
		t.Run(c.name, func(t *testing.T) {
			frame := &peerpb.Frame{Body: &peerpb.Frame_Records{Records: &peerpb.Records{Records: c.records}}}
			if m, err := decode(frame); err == nil {
				t.Errorf("decoded as %+v", m)
			}
		})
	}
}

// FuzzDecode feeds bytes from outside. What is decoded must encode again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
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

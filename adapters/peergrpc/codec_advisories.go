package peergrpc

import (
	"math"
	"time"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/gossip"
)

func encodeAdvisories(advisories []advisory.Aged) []*peerpb.Advisory {
	out := make([]*peerpb.Advisory, len(advisories))
	for i, n := range advisories {
		out[i] = &peerpb.Advisory{Kind: uint32(n.Kind), Subject: n.Subject, Number: n.Number, AgeMs: uint64(max(n.Age.Milliseconds(), 0))}
	}
	return out
}

// decodeAdvisories skips advisories of a kind that is not known here.
func decodeAdvisories(in *peerpb.Advisories) (gossip.Message, error) {
	if err := checkCount("advisories", len(in.GetAdvisories()), advisory.MaxAdvisories); err != nil {
		return nil, err
	}
	m := &gossip.Advisories{Complete: in.GetComplete()}
	for _, n := range in.GetAdvisories() {
		kind := advisory.Kind(min(n.GetKind(), math.MaxUint8))
		age := time.Duration(min(n.GetAgeMs(), uint64(advisory.Lifetime.Milliseconds()))) * time.Millisecond
		received := advisory.Aged{Advisory: advisory.Advisory{Kind: kind, Subject: n.GetSubject(), Number: n.GetNumber()}, Age: age}
		if received.Valid() {
			m.Advisories = append(m.Advisories, received)
		}
	}
	return m, nil
}

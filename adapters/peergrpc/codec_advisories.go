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
	for i, a := range advisories {
		out[i] = &peerpb.Advisory{Kind: uint32(a.Kind), Subject: a.Subject, Number: a.Number, AgeMs: uint64(max(a.Age.Milliseconds(), 0))}
	}
	return out
}

// decodeAdvisories skips advisories of a kind that is not known here.
func decodeAdvisories(in *peerpb.Advisories) (gossip.Message, error) {
	if err := checkCount("advisories", len(in.GetAdvisories()), advisory.MaxAdvisories); err != nil {
		return nil, err
	}
	m := &gossip.Advisories{Complete: in.GetComplete()}
	for _, a := range in.GetAdvisories() {
		kind := advisory.Kind(min(a.GetKind(), math.MaxUint8))
		age := time.Duration(min(a.GetAgeMs(), uint64(advisory.Lifetime.Milliseconds()))) * time.Millisecond
		received := advisory.Aged{Advisory: advisory.Advisory{Kind: kind, Subject: a.GetSubject(), Number: a.GetNumber()}, Age: age}
		if received.Valid() {
			m.Advisories = append(m.Advisories, received)
		}
	}
	return m, nil
}

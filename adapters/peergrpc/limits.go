package peergrpc

import (
	"fmt"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/member"
)

// Limits of what a message from another daemon may hold.
const (
	// maxName and maxAddress bound names and addresses, in bytes.
	maxName    = 128
	maxAddress = 64
	// maxRecords and maxVersions bound the entries of one message.
	maxRecords  = 4096
	maxVersions = 1 << 17
	// maxSlots bounds the slots of a backend server.
	maxSlots = 1 << 20
	// maxOrder bounds incarnations and sequences, so that a refutation can
	// always go higher.
	maxOrder = 1 << 62
	// maxServices bounds the services, changes and bodies of a configuration.
	// Its texts are bounded by MaxMessageSize alone: a daemon must be able to
	// pass on a bad version for all to refuse.
	maxServices = 1 << 17
)

func checkCount(what string, n, limit int) error {
	if n > limit {
		return fmt.Errorf("%d %s where at most %d are allowed", n, what, limit)
	}
	return nil
}

func checkName(what, name string) error {
	if name == "" {
		return fmt.Errorf("the name of the %s is empty", what)
	}
	return checkLength(what, name, maxName)
}

func checkLength(what, text string, limit int) error {
	if len(text) > limit {
		return fmt.Errorf("the %s is %d bytes long, more than %d", what, len(text), limit)
	}
	return nil
}

func checkRecord(r *peerpb.Record) error {
	if r.GetState() > uint32(member.Left) || r.GetSlots() > maxSlots {
		return fmt.Errorf("state %d or slots %d out of range", r.GetState(), r.GetSlots())
	}
	for _, field := range []struct {
		name, text string
		limit      int
	}{
		{"service", r.GetService(), maxName}, {"failure domain", r.GetDomain(), maxName},
		{"call address", r.GetCallAddress(), maxAddress}, {"peer address", r.GetPeerAddress(), maxAddress},
		{"instance", r.GetInstance(), maxName},
	} {
		if err := checkLength(field.name, field.text, field.limit); err != nil {
			return err
		}
	}
	return checkOrder(r.GetServer(), r.GetIncarnation(), r.GetSequence(), r.GetHealth(), r.GetAccusers())
}

func checkVersion(v *peerpb.Version) error {
	return checkOrder(v.GetServer(), v.GetIncarnation(), v.GetSequence(), v.GetHealth(), v.GetAccusers())
}

func checkOrder(server string, incarnation, sequence uint64, health uint32, accusers []string) error {
	if err := checkName("server", server); err != nil {
		return err
	}
	if incarnation > maxOrder || sequence > maxOrder || health > uint32(member.Failed) {
		return fmt.Errorf("the order or health of server %q is out of range", server)
	}
	if err := checkCount("accusers", len(accusers), member.FailureQuorum-1); err != nil {
		return err
	}
	for _, a := range accusers {
		if err := checkName("accuser", a); err != nil {
			return err
		}
	}
	if len(accusers) > 0 && health != uint32(member.Suspected) {
		return fmt.Errorf("server %q is not suspected but has accusers", server)
	}
	return nil
}

func checkUpdate(u *peerpb.Configuration) error {
	if u.GetBase() == nil && len(u.GetChanges()) == 0 {
		return fmt.Errorf("configuration without a table and without changes")
	}
	if err := checkCount("changes", len(u.GetChanges()), maxServices); err != nil {
		return err
	}
	if err := checkCount("services", len(u.GetBase().GetRefs()), maxServices); err != nil {
		return err
	}
	return checkCount("bodies", len(u.GetBodies()), maxServices)
}

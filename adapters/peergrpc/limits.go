package peergrpc

import (
	"fmt"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/member"
)

// Limits of messages received from other daemons.
const (
	// maxName and maxAddress bound names and addresses, in bytes.
	maxName    = 128
	maxAddress = 64
	// maxRecords and maxVersions bound the number of entries in one message.
	maxRecords  = 4096
	maxVersions = 1 << 17
	// maxSlots bounds the slots of a backend server.
	maxSlots = 1 << 20
	// maxCounter bounds incarnations and sequences, so that a server can always
	// refute a record of itself with a higher incarnation.
	maxCounter = 1 << 62
	// maxServices bounds the services, changes and bodies of a configuration
	// update. Its strings are bounded only by MaxMessageSize: a daemon must be
	// able to forward an invalid version so that every daemon can refuse it.
	maxServices = 1 << 17
)

func checkCount(noun string, n, limit int) error {
	if n > limit {
		return fmt.Errorf("%d %s, want at most %d", n, noun, limit)
	}
	return nil
}

func checkName(noun, name string) error {
	if name == "" {
		return fmt.Errorf("name of %s is empty", noun)
	}
	return checkLength(noun, name, maxName)
}

func checkLength(noun, text string, limit int) error {
	if len(text) > limit {
		return fmt.Errorf("%s is %d bytes long, want at most %d", noun, len(text), limit)
	}
	return nil
}

func checkRecord(r *peerpb.Record) error {
	if r.GetState() > uint32(member.Left) || r.GetSlots() > maxSlots {
		return fmt.Errorf("state %d, slots %d, want at most %d and %d", r.GetState(), r.GetSlots(), uint32(member.Left), maxSlots)
	}
	for _, field := range []struct {
		name, text string
		limit      int
	}{
		{"service", r.GetService(), maxName}, {"failure domain", r.GetDomain(), maxName},
		{"call address", r.GetCallAddress(), maxAddress}, {"peer address", r.GetPeerAddress(), maxAddress},
		{"instance", r.GetInstance(), advisory.MaxSubjectLength}, {"release", r.GetRelease(), maxName},
	} {
		if err := checkLength(field.name, field.text, field.limit); err != nil {
			return err
		}
	}
	return checkVersionFields(r.GetServer(), r.GetIncarnation(), r.GetSequence(), r.GetHealth(), r.GetAccusers())
}

func checkVersion(v *peerpb.Version) error {
	return checkVersionFields(v.GetServer(), v.GetIncarnation(), v.GetSequence(), v.GetHealth(), v.GetAccusers())
}

func checkVersionFields(server string, incarnation, sequence uint64, health uint32, suspectedBy []string) error {
	if err := checkName("server", server); err != nil {
		return err
	}
	if incarnation > maxCounter || sequence > maxCounter || health > uint32(member.Failed) {
		return fmt.Errorf("server %q: incarnation %d, sequence %d, health %d, want at most %d, %d and %d",
			server, incarnation, sequence, health, uint64(maxCounter), uint64(maxCounter), uint32(member.Failed))
	}
	if err := checkCount("suspecting servers", len(suspectedBy), member.FailureQuorum-1); err != nil {
		return err
	}
	for _, id := range suspectedBy {
		if err := checkName("suspecting server", id); err != nil {
			return err
		}
	}
	if len(suspectedBy) > 0 && health != uint32(member.Suspected) {
		return fmt.Errorf("server %q: health %d, want %d (suspected) with %d suspecting servers", server, health, uint32(member.Suspected), len(suspectedBy))
	}
	return nil
}

func checkUpdate(u *peerpb.Configuration) error {
	if u.GetBase() == nil && len(u.GetChanges()) == 0 {
		return fmt.Errorf("configuration update with neither base table nor changes")
	}
	if err := checkCount("changes", len(u.GetChanges()), maxServices); err != nil {
		return err
	}
	if err := checkCount("services", len(u.GetBase().GetRefs()), maxServices); err != nil {
		return err
	}
	return checkCount("bodies", len(u.GetBodies()), maxServices)
}

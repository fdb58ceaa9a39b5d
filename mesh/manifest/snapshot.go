package manifest

import (
	"maps"

	"fescuehoist.example/mesh/target"
)

// Snapshot is the validated, immutable configuration of one version.
type Snapshot struct {
	version  Version
	services map[string]*content
	// groups holds the account groups by name, accounts the directory of them all.
	groups   map[string]*content
	accounts *target.Accounts
	// refused holds the services of the version that have no valid content.
	refused map[string]bool
}

// Version returns the version of the snapshot.
func (s *Snapshot) Version() Version { return s.version }

// Service returns the configuration of the named service, or nil.
func (s *Snapshot) Service(name string) *target.Service {
	if c := s.services[name]; c != nil {
		return c.body.Service
	}
	return nil
}

// Accounts returns the directory of the client accounts.
func (s *Snapshot) Accounts() *target.Accounts { return s.accounts }

// Len returns the number of services.
func (s *Snapshot) Len() int { return len(s.services) }

// Index returns the index of the named service's classes, or nil.
func (s *Snapshot) Index(name string) *target.Index {
	if c := s.services[name]; c != nil {
		return c.index
	}
	return nil
}

// Each calls f for every service, in no particular order.
func (s *Snapshot) Each(f func(*target.Service)) {
	for _, c := range s.services {
		f(c.body.Service)
	}
}

// Refused reports whether the version has a service for which there is no valid content.
func (s *Snapshot) Refused(service string) bool { return s.refused[service] }

// buildSnapshot returns the snapshot of a table and the refusal with all problems of its
// contents, or nil if there are none. With keepInvalid, what has problems keeps its content
// in the earlier snapshot; otherwise there is no snapshot of a version with problems.
func buildSnapshot(table *Table, editID string, contents map[target.Digest]*content, earlier *Snapshot, keepInvalid bool) (*Snapshot, *Refusal) {
	var kept *Snapshot
	if keepInvalid {
		kept = earlier
	}
	s := &Snapshot{version: table.Version, services: make(map[string]*content, len(table.Refs)), groups: map[string]*content{}, refused: map[string]bool{}}
	var problems []target.Problem
	for i := range table.Refs {
		ref := &table.Refs[i]
		c := contents[ref.Digest]
		if ps := c.problemsFor(ref.Service); len(ps) > 0 {
			problems = append(problems, ps...)
			s.keep(ref.Service, kept)
			continue
		}
		s.set(ref.Service, c)
	}
	problems = append(problems, s.buildAccounts(earlier)...)
	if len(problems) == 0 {
		return s, nil
	}
	refusal := &Refusal{Version: table.Version, EditID: editID, Problems: problems, InPart: kept != nil}
	if kept == nil {
		s = nil
	}
	return s, refusal
}

// set adds the content of a service or account group.
func (s *Snapshot) set(name string, c *content) {
	if c.body.Accounts != nil {
		s.groups[name] = c
		return
	}
	s.services[name] = c
}

// keep takes over the content of a service or account group from an earlier snapshot, if
// that has one.
func (s *Snapshot) keep(name string, earlier *Snapshot) {
	switch {
	case earlier == nil:
	case earlier.services[name] != nil:
		s.services[name] = earlier.services[name]
		return
	case earlier.groups[name] != nil:
		s.groups[name] = earlier.groups[name]
		return
	}
	s.refused[name] = true
}

// buildAccounts builds the directory of the accounts, or takes that of the earlier snapshot
// if no group has changed. If the groups contradict each other, all accounts stay as they
// were. Where there are none to stay, the directory is incomplete.
func (s *Snapshot) buildAccounts(earlier *Snapshot) []target.Problem {
	hasEarlier := earlier != nil && earlier.version > 0
	wasComplete := hasEarlier && !earlier.accounts.Incomplete()
	incomplete := !wasComplete && s.refusesAccounts()
	if wasComplete && maps.Equal(s.groups, earlier.groups) {
		s.accounts = earlier.accounts
		return nil
	}
	groups := make([]*target.AccountGroup, 0, len(s.groups))
	for _, c := range s.groups {
		groups = append(groups, c.body.Accounts)
	}
	accounts, problems := target.NewAccounts(groups)
	switch {
	case len(problems) > 0 && hasEarlier:
		s.groups, s.accounts = earlier.groups, earlier.accounts
	case len(problems) > 0:
		none, _ := target.NewAccounts(nil)
		s.groups, s.accounts = map[string]*content{}, none.AsIncomplete()
	case incomplete:
		s.accounts = accounts.AsIncomplete()
	default:
		s.accounts = accounts
	}
	return problems
}

// refusesAccounts reports whether the version has an account group without valid content.
func (s *Snapshot) refusesAccounts() bool {
	for name := range s.refused {
		if target.IsAccountGroup(name) {
			return true
		}
	}
	return false
}

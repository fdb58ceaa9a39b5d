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
	groups          map[string]*content
	accounts        *target.Accounts
	accountProblems []target.Problem
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
// contents, or nil if there are none. With inPart, the classes and accounts that have
// problems are refused, and a service without usable content keeps that of the earlier
// snapshot; otherwise there is no snapshot of a version with problems.
func buildSnapshot(table *Table, editID string, contents map[target.Digest]*content, earlier *Snapshot, inPart bool) (*Snapshot, *Refusal) {
	s := &Snapshot{version: table.Version, services: make(map[string]*content, len(table.Refs)), groups: map[string]*content{}, refused: map[string]bool{}}
	var problems []target.Problem
	for i := range table.Refs {
		ref := &table.Refs[i]
		c := contents[ref.Digest]
		ps, ofClasses := c.problemsFor(ref.Service)
		problems = append(problems, ps...)
		if len(ps) == 0 || ofClasses {
			s.set(ref.Service, c)
			continue
		}
		s.keep(ref.Service, earlier)
	}
	problems = append(problems, s.buildAccounts(earlier)...)
	if len(problems) == 0 {
		return s, nil
	}
	refusal := &Refusal{Version: table.Version, EditID: editID, Problems: problems, InPart: inPart}
	if !inPart {
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

// keep takes over the content of a service from an earlier snapshot, if that has one. An
// account group is not kept, as it may hold keys that were revoked.
func (s *Snapshot) keep(name string, earlier *Snapshot) {
	if c := earlier.services[name]; c != nil {
		s.services[name] = c
		return
	}
	s.refused[name] = true
}

// buildAccounts builds the directory of the accounts, or takes that of the earlier snapshot
// if no group has changed. It is incomplete if the content of a group is not known.
func (s *Snapshot) buildAccounts(earlier *Snapshot) []target.Problem {
	incomplete := s.refusesAccounts()
	if maps.Equal(s.groups, earlier.groups) && earlier.accounts != nil && incomplete == earlier.accounts.Incomplete() {
		s.accounts, s.accountProblems = earlier.accounts, earlier.accountProblems
		return s.accountProblems
	}
	groups := make([]*target.AccountGroup, 0, len(s.groups))
	for _, c := range s.groups {
		groups = append(groups, c.body.Accounts)
	}
	s.accounts, s.accountProblems = target.NewAccounts(groups)
	if incomplete {
		s.accounts = s.accounts.AsIncomplete()
	}
	return s.accountProblems
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

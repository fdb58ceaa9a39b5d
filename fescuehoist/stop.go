package main

import (
	"fmt"
	"strings"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

// stopReport is a planned stop as it is printed.
type stopReport struct {
	ID      string            `json:"id"`
	Author  string            `json:"author"`
	Servers []member.ServerID `json:"servers,omitempty"`
	Domain  string            `json:"domain,omitempty"`
	From    time.Time         `json:"from"`
	Until   time.Time         `json:"until"`
	State   string            `json:"state"`
}

func stopReports(l *stop.List, at time.Time) []stopReport {
	reports := []stopReport{}
	for i := range l.Stops {
		reports = append(reports, newStopReport(&l.Stops[i], at))
	}
	return reports
}

func newStopReport(s *stop.Stop, at time.Time) stopReport {
	state := "planned"
	switch {
	case s.Active(at):
		state = "under way"
	case !s.Until.After(at):
		state = "ended"
	}
	return stopReport{ID: s.ID, Author: s.Author, Servers: s.Servers, Domain: s.Domain, From: s.From, Until: s.Until, State: state}
}

// String formats the stop as one line.
func (r *stopReport) String() string {
	return fmt.Sprintf("stop %s of %s by %s: from %s until %s, %s", r.ID, r.subject(), r.Author,
		stamp(r.From), stamp(r.Until), r.State)
}

func (r *stopReport) subject() string {
	var parts []string
	for _, s := range r.Servers {
		parts = append(parts, string(s))
	}
	if r.Domain != "" {
		parts = append(parts, "failure domain "+r.Domain)
	}
	return strings.Join(parts, ", ")
}

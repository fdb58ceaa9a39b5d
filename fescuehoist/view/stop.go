package view

import (
	"fmt"
	"strings"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

// Stop is a planned stop in the form that is printed.
type Stop struct {
	ID      string            `json:"id"`
	Author  string            `json:"author"`
	Servers []member.ServerID `json:"servers,omitempty"`
	Domain  string            `json:"domain,omitempty"`
	From    time.Time         `json:"from"`
	Until   time.Time         `json:"until"`
	State   string            `json:"state"`
}

// Stops converts planned stops for printing, with their state at the given time.
func Stops(l *stop.List, at time.Time) []Stop {
	reports := []Stop{}
	for i := range l.Stops {
		reports = append(reports, newStop(&l.Stops[i], at))
	}
	return reports
}

func newStop(s *stop.Stop, at time.Time) Stop {
	state := "planned"
	switch {
	case s.Active(at):
		state = "under way"
	case !s.Until.After(at):
		state = "ended"
	}
	return Stop{ID: s.ID, Author: s.Author, Servers: s.Servers, Domain: s.Domain, From: s.From, Until: s.Until, State: state}
}

// String formats the stop as one line.
func (r *Stop) String() string {
	return fmt.Sprintf("stop %s of %s by %s: from %s until %s, %s", r.ID, r.subject(), r.Author,
		Time(r.From), Time(r.Until), r.State)
}

// subject lists the backend servers and the failure domain that the stop covers.
func (r *Stop) subject() string {
	var parts []string
	for _, s := range r.Servers {
		parts = append(parts, string(s))
	}
	if r.Domain != "" {
		parts = append(parts, "failure domain "+r.Domain)
	}
	return strings.Join(parts, ", ")
}

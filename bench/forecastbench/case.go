// Package forecastbench compares forecasts of planned stops with what calls got when
// the stops were carried out under the same load.
package forecastbench

import (
	"time"

	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/target"
)

// Case is one planned stop under one load.
type Case struct {
	Name string
	// Load is the work of each class as a share of its service's slots.
	Load map[status.ClassKey]float64
	// Stop lists the backend servers that stop.
	Stop []member.ServerID
	// MissedClasses lists the classes that the case is made to hit.
	MissedClasses []status.ClassKey
}

var (
	search     = status.ClassKey{Service: "lookup", Class: "search"}
	submission = status.ClassKey{Service: "lookup", Class: "submission"}
	geometry   = status.ClassKey{Service: "archive", Class: "geometry"}
	export     = status.ClassKey{Service: "archive", Class: "export"}
)

// Cases returns all cases.
func Cases() []Case {
	return []Case{
		{
			Name: "no-effect",
			Load: map[status.ClassKey]float64{search: 0.25, submission: 0.15, geometry: 0.2, export: 0.2},
			Stop: []member.ServerID{"lookup-1"},
		},
		{
			Name:   "urgent-hit",
			Load:   map[status.ClassKey]float64{search: 0.75, geometry: 0.2, export: 0.2},
			Stop:   []member.ServerID{"lookup-1", "lookup-2", "lookup-4"},
			MissedClasses: []status.ClassKey{search},
		},
		{
			Name:   "only-export-hit",
			Load:   map[status.ClassKey]float64{search: 0.2, submission: 0.1, geometry: 0.2, export: 0.75},
			Stop:   []member.ServerID{"archive-1"},
			MissedClasses: []status.ClassKey{export},
		},
		{
			Name:   "stop-in-flood",
			Load:   map[status.ClassKey]float64{search: 0.2, submission: 0.1, geometry: 0.2, export: 1.3},
			Stop:   []member.ServerID{"archive-2"},
			MissedClasses: []status.ClassKey{export},
		},
		{
			Name:   "domain-stop",
			Load:   map[status.ClassKey]float64{search: 0.3, submission: 0.1, geometry: 0.1, export: 0.25},
			Stop:   []member.ServerID{"lookup-1", "lookup-4", "archive-1"},
			MissedClasses: nil,
		},
	}
}

// Service times, long enough that a machine of a few cores carries the load.
const (
	searchWork     = 40 * time.Millisecond
	submissionWork = 80 * time.Millisecond
	geometryWork   = 30 * time.Millisecond
	exportWork     = 120 * time.Millisecond
)

func deployment() *fleet.Deployment {
	d := fleet.Nuqta()
	d.Work = func(_, path string) time.Duration {
		switch path {
		case "/search":
			return searchWork
		case "/places":
			return submissionWork
		case "/geometry":
			return geometryWork
		}
		return exportWork
	}
	return d
}

// rate returns the calls a second that make up a share of a service's slots.
func rate(d *fleet.Deployment, service string, c *target.Class, load float64) float64 {
	slots := 0
	for _, s := range d.Servers {
		if s.Service == service {
			slots += s.Slots
		}
	}
	return load * float64(slots) / d.Work(c.Method, c.Path).Seconds()
}

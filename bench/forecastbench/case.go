// Package forecastbench compares forecasts of planned stops with the results of calls
// while the stops are executed under the same load.
package forecastbench

import (
	"time"

	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/target"
)

// Case is a planned stop under a given load.
type Case struct {
	Name string
	// Load is the offered load of each class as a share of its service's slots.
	Load map[status.ClassKey]float64
	// Stop lists the backend servers that stop.
	Stop []member.ServerID
	// MissedClasses lists the classes that are meant to miss their targets.
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
			Name:          "urgent-hit",
			Load:          map[status.ClassKey]float64{search: 0.75, geometry: 0.2, export: 0.2},
			Stop:          []member.ServerID{"lookup-1", "lookup-2", "lookup-4"},
			MissedClasses: []status.ClassKey{search},
		},
		{
			Name:          "only-export-hit",
			Load:          map[status.ClassKey]float64{search: 0.2, submission: 0.1, geometry: 0.2, export: 0.75},
			Stop:          []member.ServerID{"archive-1"},
			MissedClasses: []status.ClassKey{export},
		},
		{
			Name:          "stop-in-flood",
			Load:          map[status.ClassKey]float64{search: 0.2, submission: 0.1, geometry: 0.2, export: 1.3},
			Stop:          []member.ServerID{"archive-2"},
			MissedClasses: []status.ClassKey{export},
		},
		{
			Name:          "domain-stop",
			Load:          map[status.ClassKey]float64{search: 0.3, submission: 0.1, geometry: 0.1, export: 0.25},
			Stop:          []member.ServerID{"lookup-1", "lookup-4", "archive-1"},
			MissedClasses: nil,
		},
	}
}

// Service times of the backend servers. They are long enough that a machine with a
// few cores can sustain the load.
const (
	searchWork     = 40 * time.Millisecond
	submissionWork = 80 * time.Millisecond
	geometryWork   = 30 * time.Millisecond
	exportWork     = 120 * time.Millisecond
)

// deployment returns Nuqta's deployment with the service times of this package.
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

// rate returns the number of calls per second of class c that occupy the share load
// of a service's slots.
func rate(d *fleet.Deployment, service string, c *target.Class, load float64) float64 {
	slots := 0
	for _, s := range d.Servers {
		if s.Service == service {
			slots += s.Slots
		}
	}
	return load * float64(slots) / d.Work(c.Method, c.Path).Seconds()
}

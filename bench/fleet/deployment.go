// Package fleet runs a whole mesh in one process over loopback: the stand-in
// platform and backend servers, and a real daemon beside each server.
package fleet

import (
	"fmt"
	"time"
)

// Server describes one backend server of a deployment.
type Server struct {
	Name, Service, Domain string
	Slots                 int
	// Announced is the number of slots that the server claims to have; 0
	// means Slots.
	Announced int
	// Slowdown multiplies the time for each request; 0 means 1.
	Slowdown int
}

// Deployment describes the backend servers of one user.
type Deployment struct {
	Name    string
	Servers []Server
	// Work returns how long a backend server takes for a request.
	Work func(method, path string) time.Duration
	// Crossing is the time from one failure domain to another, one way.
	Crossing time.Duration
	// Connections is the number of requests that a server holds at once.
	Connections int
}

// Service times of the stand-in backend servers.
const (
	urgentWork     = 40 * time.Millisecond
	submissionWork = 60 * time.Millisecond
	internalWork   = 60 * time.Millisecond
	bulkWork       = 200 * time.Millisecond
)

// Nuqta returns the deployment of Nuqta Atlas in Cairo.
func Nuqta() *Deployment {
	d := &Deployment{Name: "nuqta", Work: nuqtaWork, Crossing: time.Millisecond, Connections: 110}
	d.add("lookup", "cairo", 5, 12)
	d.add("archive", "cairo", 3, 12)
	return d
}

// Trinacria returns the deployment of Commutamento Trinacria in Palermo.
func Trinacria() *Deployment {
	d := &Deployment{Name: "trinacria", Work: trinacriaWork, Crossing: 1500 * time.Microsecond, Connections: 130}
	d.add("sportello", "palermo", 8, 13)
	d.add("archivio", "palermo", 4, 13)
	return d
}

// add spreads servers of a service over three failure domains.
func (d *Deployment) add(service, city string, count, slots int) {
	for i := range count {
		d.Servers = append(d.Servers, Server{
			Name: fmt.Sprintf("%s-%d", service, i+1), Service: service,
			Domain: fmt.Sprintf("%s-%c", city, 'a'+rune(i%3)), Slots: slots,
		})
	}
}

// Capacity returns the number of slots of a service.
func (d *Deployment) Capacity(service string) int {
	n := 0
	for _, s := range d.Servers {
		if s.Service == service {
			n += s.Slots
		}
	}
	return n
}

func nuqtaWork(_, path string) time.Duration {
	switch path {
	case "/search":
		return urgentWork
	case "/places":
		return submissionWork
	case "/geometry":
		return internalWork
	}
	return bulkWork
}

func trinacriaWork(_, path string) time.Duration {
	switch path {
	case "/status":
		return urgentWork
	case "/orders":
		return submissionWork
	case "/mandates":
		return internalWork
	}
	return bulkWork
}

// Package fleet runs a complete mesh in one process over loopback: the stand-in
// platform, the stand-in backend servers and a real daemon for each of them.
package fleet

import (
	"fmt"
	"time"
)

// Server describes one backend server of a deployment.
type Server struct {
	Name, Service, Domain string
	Slots                 int
	// Announced is the number of slots that the server announces; 0 means Slots.
	// A number above Slots makes the server accept more calls than it can run at
	// once.
	Announced int
	// Slowdown multiplies the service time of each request; 0 means 1.
	Slowdown int
}

// Deployment describes the backend servers of one user and the network between
// their failure domains.
type Deployment struct {
	Name    string
	Servers []Server
	// Work returns the service time of a request.
	Work func(method, path string) time.Duration
	// CrossDomainLatency is the one-way latency between two failure domains.
	CrossDomainLatency time.Duration
	// Connections is the largest number of requests that a backend server has
	// open at once, running or waiting.
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
	d := &Deployment{Name: "nuqta", Work: nuqtaWork, CrossDomainLatency: time.Millisecond, Connections: 110}
	d.addService("lookup", "cairo", 5, 12)
	d.addService("archive", "cairo", 3, 12)
	return d
}

// Trinacria returns the deployment of Commutamento Trinacria in Palermo.
func Trinacria() *Deployment {
	d := &Deployment{Name: "trinacria", Work: trinacriaWork, CrossDomainLatency: 1500 * time.Microsecond, Connections: 130}
	d.addService("sportello", "palermo", 8, 13)
	d.addService("archivio", "palermo", 4, 13)
	return d
}

// addService adds count servers of a service, distributed round-robin over three
// failure domains of the city.
func (d *Deployment) addService(service, city string, count, slots int) {
	for i := range count {
		d.Servers = append(d.Servers, Server{
			Name: fmt.Sprintf("%s-%d", service, i+1), Service: service,
			Domain: fmt.Sprintf("%s-%c", city, 'a'+rune(i%3)), Slots: slots,
		})
	}
}

// Capacity returns the number of slots of all servers of a service.
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

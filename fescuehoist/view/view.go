// Package view puts together what operators see, from the few objects that the
// platform keeps, and prints it.
package view

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/configdiff"
	"fescuehoist.example/mesh/forecast"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
)

// View is what the platform says of the mesh at one time.
type View struct {
	At time.Time
	// Version is the newest version; Fault says why it cannot be read.
	Version manifest.Version
	Fault   error
	// Services are those that daemons reported, with the targets in force;
	// Unreported names the accepted ones that no daemon reported.
	Services   []*target.Service
	Unreported []string
	Overview   *status.Overview
	Stops      *stop.List
	// Unreadable names summaries that cannot be decoded.
	Unreadable []string
}

// Load reads a view: the head, its base table, the summaries and the stops.
func Load(ctx context.Context, client *platformhttp.Client) (*View, error) {
	_, table, _, err := manifest.NewEditor(&platformhttp.Repository{Client: client}).Current(ctx)
	var malformed *manifest.MalformedError
	if err != nil && !errors.As(err, &malformed) {
		return nil, err
	}
	fault := err
	store := &platformhttp.StatusStore{Client: client}
	summaries, unreadable, err := store.Summaries(ctx)
	if err != nil {
		return nil, err
	}
	stops, err := store.Stops(ctx)
	if err != nil {
		return nil, err
	}
	o := status.Combine(summaries)
	v := &View{At: time.Now(), Fault: fault, Services: o.Services(), Overview: o, Stops: stops, Unreadable: unreadable}
	if fault == nil {
		v.Version, v.Unreported = table.Version, configdiff.MissingServices(table, v.Services)
	}
	return v, nil
}

// Input returns what a forecast with a list of planned stops rests on.
func (v *View) Input(l *stop.List, horizon time.Duration) *forecast.Input {
	return &forecast.Input{Now: v.At, Horizon: horizon, Services: v.Services, Status: v.Overview, Stops: l.Stops}
}

// Time formats a time for people.
func Time(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func printf(w io.Writer, format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "NO"
}

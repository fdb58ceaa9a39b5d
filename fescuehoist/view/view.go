// Package view builds the status, the forecast and the list of stops that
// operators see from the objects in the platform's store, and prints them as
// text or JSON.
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

// View is the state of the mesh as the platform's store has it at one time.
type View struct {
	At time.Time
	// Version is the newest accepted version, and 0 if Fault is set. Fault is
	// the error if the stored configuration is malformed.
	Version manifest.Version
	Fault   error
	// Services are the services that daemons reported, with the targets in
	// force. Unreported names the services of Version that no daemon reported.
	Services   []*target.Service
	Unreported []string
	Overview   *status.Overview
	Stops      *stop.List
	// Unreadable lists the keys of status summaries that cannot be decoded.
	Unreadable []string
}

// Load reads the head, its base table, the status summaries and the planned
// stops. A malformed configuration goes into Fault, since the status is still of
// use then; other errors are returned.
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

// Input returns the input of a forecast with the given planned stops.
func (v *View) Input(l *stop.List, horizon time.Duration) *forecast.Input {
	return &forecast.Input{Now: v.At, Horizon: horizon, Services: v.Services, Status: v.Overview, Stops: l.Stops}
}

// Time formats a time as RFC 3339 in UTC.
func Time(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func printf(w io.Writer, format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }

// millis returns d in milliseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "NO"
}

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
	"fescuehoist.example/mesh/forecast"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/review"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
)

// View is what the platform says of the mesh at one time.
type View struct {
	At       time.Time
	Version  manifest.Version
	Services []*target.Service
	Overview *status.Overview
	Stops    *stop.List
	// Unreadable names summaries that cannot be decoded.
	Unreadable []string
	// Fault says why the configuration cannot be read; without it the view
	// holds no targets.
	Fault error
}

// Load reads a view.
func Load(ctx context.Context, client *platformhttp.Client) (*View, error) {
	version, services, err := configuration(ctx, client)
	var malformed *manifest.Malformed
	if err != nil && !errors.As(err, &malformed) {
		return nil, err
	}
	v := &View{Version: version, Services: services, Fault: err}
	store := &platformhttp.StatusStore{Client: client}
	summaries, unreadable, err := store.Summaries(ctx)
	if err != nil {
		return nil, err
	}
	stops, err := store.Stops(ctx)
	if err != nil {
		return nil, err
	}
	v.At, v.Overview, v.Stops, v.Unreadable = time.Now(), status.Combine(summaries), stops, unreadable
	return v, nil
}

func configuration(ctx context.Context, client *platformhttp.Client) (manifest.Version, []*target.Service, error) {
	repo := &platformhttp.Repository{Client: client}
	_, table, _, err := manifest.NewEditor(repo).Current(ctx)
	if err != nil {
		return 0, nil, err
	}
	services, err := (&review.Reviewer{Repo: repo}).Services(ctx, table)
	return table.Version, services, err
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

// Package view puts together what operators see, from the few objects that the
// platform keeps, and prints it.
package view

import (
	"context"
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
}

// Load reads a view.
func Load(ctx context.Context, client *platformhttp.Client) (*View, error) {
	repo := &platformhttp.Repository{Client: client}
	_, table, _, err := manifest.NewEditor(repo).Current(ctx)
	if err != nil {
		return nil, err
	}
	services, err := (&review.Reviewer{Repo: repo}).Services(ctx, table)
	if err != nil {
		return nil, err
	}
	store := &platformhttp.StatusStore{Client: client}
	summaries, unreadable, err := store.Summaries(ctx)
	if err != nil {
		return nil, err
	}
	stops, err := store.Stops(ctx)
	if err != nil {
		return nil, err
	}
	return &View{
		At: time.Now(), Version: table.Version, Services: services, Overview: status.Combine(summaries),
		Stops: stops, Unreadable: unreadable,
	}, nil
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

package forecast_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/mesh/forecast"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
)

var now = time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)

// service returns a service with an urgent class and a less urgent one.
func service() *target.Service {
	return &target.Service{Name: "lookup", Classes: []target.Class{
		{Name: "search", Path: "/s", Rank: 1, Latency: 100 * time.Millisecond, Success: 0.99, GuaranteedShare: 0.5,
			Timeout: 400 * time.Millisecond, Notice: 48 * time.Hour},
		{Name: "export", Path: "/e", Rank: 4, Latency: 2 * time.Second, Success: 0.9, GuaranteedShare: 0.2,
			Timeout: 5 * time.Second, Notice: time.Hour},
	}}
}

// input has five servers with ten slots each, and calls of 20 ms that use the
// given shares of the slots.
func input(searchLoad, exportLoad float64, stops ...stop.Stop) *forecast.Input {
	o := &status.Overview{}
	for _, name := range []member.ServerID{"a-1", "a-2", "a-3", "b-1", "b-2"} {
		o.Servers = append(o.Servers, status.ServerOverview{
			Domain:        string(name[:1]),
			ServerSummary: status.ServerSummary{Server: name, Service: "lookup", Slots: 10, State: "ready"},
		})
	}
	o.Classes = []status.ClassOverview{measured("search", searchLoad*50/0.02), measured("export", exportLoad*50/0.02)}
	return &forecast.Input{Now: now, Horizon: 72 * time.Hour, Services: []*target.Service{service()}, Status: o, Stops: stops}
}

func measured(class string, rate float64) status.ClassOverview {
	c := status.ClassOverview{ClassKey: status.ClassKey{Service: "lookup", Class: class}, Counts: &status.Counts{}, Rate: rate}
	for range int(rate) {
		c.Counts.Offered++
		c.Counts.ServiceTime.Record(20 * time.Millisecond)
		c.Counts.Latency.Record(22 * time.Millisecond)
	}
	c.Counts.Clients = map[string]status.ClientCounts{"cairo-couriers": {Offered: c.Counts.Offered}}
	return c
}

func planned(from, length time.Duration, servers ...member.ServerID) stop.Stop {
	return stop.Stop{ID: "one", Servers: servers, From: now.Add(from), Until: now.Add(from + length)}
}

func TestRunFindsMisses(t *testing.T) {
	for _, c := range []struct {
		name   string
		in     *forecast.Input
		misses []string
		due    bool
	}{
		{"idle", input(0.3, 0.3), nil, false},
		{"a stop without effect", input(0.3, 0.3, planned(50*time.Hour, time.Hour, "a-1")), nil, false},
		{"a stop that affects only the less urgent class", input(0.3, 0.6, planned(50*time.Hour, time.Hour, "a-1", "a-2")), []string{"export"}, true},
		{"a stop that affects only the urgent class", input(0.7, 0, planned(50*time.Hour, time.Hour, "a-1", "a-2", "a-3")), []string{"search"}, true},
		{"a stop of a failure domain", input(0.5, 0.3, stop.Stop{ID: "d", Domain: "a", From: now, Until: now.Add(time.Hour)}), []string{"search", "export"}, true},
		{"a flood without a stop", input(0.3, 1.5), []string{"export"}, false},
		{"a stop during a flood", input(0.3, 1.5, planned(time.Hour, time.Hour, "a-1")), []string{"export"}, false},
		{"no server left", input(0.1, 0, planned(time.Hour, time.Hour, "a-1", "a-2", "a-3", "b-1", "b-2")), []string{"search"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := forecast.Run(c.in)
			var misses []string
			for _, m := range f.Misses {
				misses = append(misses, m.Class.Class)
				if m.DueToStops != c.due {
					t.Errorf("miss of %s due to stops: %v, want %v", m.Class, m.DueToStops, c.due)
				}
			}
			if diff := cmp.Diff(c.misses, misses); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMissCoversPlannedStop(t *testing.T) {
	f := forecast.Run(input(0.7, 0, planned(50*time.Hour, 90*time.Minute, "a-1", "a-2", "a-3")))
	if len(f.Misses) != 1 {
		t.Fatalf("%d misses, want 1", len(f.Misses))
	}
	m := f.Misses[0]
	if !m.From.Equal(now.Add(50*time.Hour)) || m.Until.Sub(m.From) != 90*time.Minute {
		t.Errorf("missed from %s until %s, want the time of the stop", m.From, m.Until)
	}
	if len(f.Notices) != 1 || f.Notices[0].Client != "cairo-couriers" || f.Notices[0].Left != 2*time.Hour {
		t.Errorf("notices %+v, want one for cairo-couriers with 2 h left", f.Notices)
	}
	if m.Confidence != forecast.High {
		t.Errorf("confidence %s, want high", m.Confidence)
	}
}

func TestDemandFollowsDailyProfile(t *testing.T) {
	in := input(0.3, 0)
	shape := &in.Status.Classes[0].HourlyPeaks
	for back := range int64(status.HoursPerDay) {
		hour := now.Unix()/3600 - back
		shape[hour%status.HoursPerDay] = status.HourPeak{Hour: hour, Rate: in.Status.Classes[0].Rate}
	}
	shape[14].Rate = 2 * 50 / 0.02
	f := forecast.Run(in)
	if len(f.Misses) == 0 {
		t.Fatal("got no miss, want one at the hour of yesterday's peak")
	}
	for _, m := range f.Misses {
		if m.From.Hour() != 14 || m.Until.Hour() != 15 {
			t.Errorf("missed from %s until %s, want 14:00 until 15:00", m.From, m.Until)
		}
	}
}

func TestAddedMissesFindsMissesOfStop(t *testing.T) {
	without := forecast.Run(input(0.3, 1.5))
	same := forecast.Run(input(0.3, 1.5))
	if added := forecast.AddedMisses(without, same); len(added) != 0 {
		t.Errorf("added misses %+v, want none", added)
	}
	with := forecast.Run(input(0.3, 1.5, planned(time.Hour, time.Hour, "a-1", "a-2")))
	if added := forecast.AddedMisses(without, with); len(added) != 1 || added[0].Class.Class != "export" {
		t.Errorf("added misses %+v, want one of export", added)
	}
}

// BenchmarkForecast looks a day ahead at the size that the project is designed
// for: 3,300 services with two classes each and 18,000 servers.
func BenchmarkForecast(b *testing.B) {
	const services, servers = 3300, 18000
	in := input(0, 0, stop.Stop{ID: "one", Domain: "a", From: now.Add(time.Hour), Until: now.Add(2 * time.Hour)})
	in.Horizon, in.Services, in.Status = 24*time.Hour, nil, &status.Overview{}
	for i := range services {
		s := service()
		s.Name = fmt.Sprintf("service-%d", i)
		in.Services = append(in.Services, s)
		for _, c := range []status.ClassOverview{measured("search", 800), measured("export", 200)} {
			c.Service = s.Name
			in.Status.Classes = append(in.Status.Classes, c)
		}
	}
	for i := range servers {
		in.Status.Servers = append(in.Status.Servers, status.ServerOverview{
			Domain: string(rune('a' + i%9)),
			ServerSummary: status.ServerSummary{
				Server: member.ServerID(fmt.Sprintf("server-%d", i)), Service: fmt.Sprintf("service-%d", i%services), Slots: 10, State: "ready",
			},
		})
	}
	for b.Loop() {
		forecast.Run(in)
	}
}

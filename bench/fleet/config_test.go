package fleet_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/platform"
)

// TestMain proves that all tasks of all fleets ended. The cleaner of a server
// of fasthttp, behind the admin address, sleeps on for up to ten seconds after
// its server ended, and its clock lives as long as the process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// mesh is a fleet with an operator.
type mesh struct {
	*fleet.Fleet
	*fleet.Operator
	t   *testing.T
	ctx context.Context
}

// begin starts a fleet with version 1 in force everywhere.
func begin(t *testing.T, count int) *mesh {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	f, err := fleet.Start(context.Background(), small(count), fleet.Options{})
	must(t, err)
	m := &mesh{Fleet: f, Operator: f.NewOperator(nil), t: t, ctx: ctx}
	t.Cleanup(func() {
		m.Operator.Close()
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	must(t, m.Begin(ctx, service(1)))
	return m
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func service(latency int) *target.Service {
	return manifesttest.Service("lookup", time.Duration(latency)*time.Millisecond)
}

// publish makes an edit and returns its version.
func (m *mesh) publish(latency int) manifest.Version {
	m.t.Helper()
	v, err := m.Publish(m.ctx, service(latency))
	must(m.t, err)
	return v
}

func (m *mesh) await(v manifest.Version, members []*fleet.Member) {
	m.t.Helper()
	must(m.t, m.AwaitVersion(m.ctx, members, v))
}

func (m *mesh) readers() (readers, others []*fleet.Member) {
	m.t.Helper()
	readers, others, err := m.AwaitReaders(m.ctx, domains)
	must(m.t, err)
	return readers, others
}

// killReaders kills all readers and returns the members that are left.
func (m *mesh) killReaders() []*fleet.Member {
	readers, others := m.readers()
	for _, r := range readers {
		r.Kill()
	}
	return others
}

func TestAcceptedEditIsInForceEverywhere(t *testing.T) {
	const outage = time.Second
	for _, c := range []struct {
		name          string
		before, after func(m *mesh) []*fleet.Member
	}{
		{name: "outage right after the write", after: func(m *mesh) []*fleet.Member {
			m.Platform.SetFaults(platform.Faults{Outage: true})
			time.AfterFunc(outage, func() { m.Platform.SetFaults(platform.Faults{}) })
			return m.Members
		}},
		{name: "answer lost after the write", before: func(m *mesh) []*fleet.Member {
			m.Platform.SetFaults(platform.Faults{LoseAnswers: true, Writes: "config/"})
			return m.Members
		}},
		{name: "write lands late", before: func(m *mesh) []*fleet.Member {
			m.Platform.SetFaults(platform.Faults{LateWrites: 300 * time.Millisecond, Writes: "config/head"})
			return m.Members
		}},
		{name: "slow platform", before: func(m *mesh) []*fleet.Member {
			m.Platform.SetFaults(platform.Faults{Delay: 300 * time.Millisecond})
			return m.Members
		}},
		{name: "all readers die right after the write", after: (*mesh).killReaders},
		{name: "all readers die right before the write", before: (*mesh).killReaders},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := begin(t, 8)
			live := m.Members
			if c.before != nil {
				live = c.before(m)
			}
			v := m.publish(2)
			if c.after != nil {
				live = c.after(m)
			}
			m.await(v, live)
			m.Platform.SetFaults(platform.Faults{})
			m.await(m.publish(3), live)
			for _, member := range live {
				if s := member.Daemon.State(); s.Refused != "" {
					t.Errorf("%s: %s", member.Server.Name, s.Refused)
				}
			}
		})
	}
}

func TestBadVersionIsRefusedEverywhereAndAGoodOneFollows(t *testing.T) {
	latencies := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}
	for _, c := range []struct {
		name, reason string
		body         func(m *mesh, s *target.Service) manifest.Body
	}{
		{"missing body", "the platform has no body", func(_ *mesh, s *target.Service) manifest.Body {
			return manifest.Body{Digest: s.Digest(), Fault: "missing"}
		}},
		{"body that does not match its digest", "its content has digest", func(m *mesh, s *target.Service) manifest.Body {
			m.Platform.Store("config/body/"+string(s.Digest()), []byte(`{"name": "lookup"}`))
			return manifest.Body{Digest: s.Digest(), Fault: "stored already"}
		}},
		{"undecodable body", "is malformed", func(m *mesh, s *target.Service) manifest.Body {
			m.Platform.Store("config/body/"+string(s.Digest()), []byte(`"none"`))
			return manifest.Body{Digest: s.Digest(), Fault: "stored already"}
		}},
		{"invalid targets", "rank: 99", func(_ *mesh, s *target.Service) manifest.Body {
			s.Classes[0].Rank = 99
			return manifest.Body{Digest: s.Digest(), Service: s}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := begin(t, 6)
			h := manifesttest.NewHistory("past-the-command-line")
			h.Edit(manifesttest.Service("lookup", time.Millisecond))
			bad := manifesttest.Service("lookup", latencies[1])
			h.EditBodies([]*target.Service{bad}, []manifest.Body{c.body(m, bad)})
			h.Edit(manifesttest.Service("lookup", latencies[2]))
			must(t, m.Put(m.ctx, h, 2))
			m.awaitState(func(s daemon.State) bool {
				return s.InForce == 1 && strings.Contains(s.Refused, "version 2 refused") && strings.Contains(s.Refused, c.reason)
			})
			must(t, m.Put(m.ctx, h, 3))
			m.awaitState(func(s daemon.State) bool { return s.InForce == 3 && s.Refused == "" })
		})
	}
}

func (m *mesh) awaitState(reached func(daemon.State) bool) {
	m.t.Helper()
	if err := m.Await(m.ctx, m.Members, reached); err != nil {
		m.t.Fatalf("%v: %+v", err, m.Members[0].Daemon.State())
	}
}

func TestBadHeadIsShownByReadersAndAGoodOneFollows(t *testing.T) {
	for _, c := range []struct {
		name, reason string
		spoil        func(before []byte) []byte
	}{
		{"goes back", "older than the known version", func(before []byte) []byte { return before }},
		{"cannot be decoded", "malformed", func([]byte) []byte { return []byte(`"none"`) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := begin(t, 6)
			before, _ := m.Platform.Load("config/head")
			m.await(m.publish(2), m.Members)
			readers, _ := m.readers()
			m.Platform.Store("config/head", c.spoil(before))
			if err := m.Await(m.ctx, readers, func(s daemon.State) bool { return strings.Contains(s.Refused, c.reason) }); err != nil {
				t.Fatal(err)
			}
			for _, member := range m.Members {
				if v := member.Daemon.State().InForce; v != 2 {
					t.Errorf("%s has version %d in force", member.Server.Name, v)
				}
			}
			edit := &manifest.Edit{ID: "recovery", Update: []*target.Service{manifesttest.Service("lookup", time.Second)}}
			change, err := m.Editor.Recover(m.ctx, edit, 2)
			if err != nil {
				t.Fatal(err)
			}
			m.awaitState(func(s daemon.State) bool { return s.InForce == change.Version && s.Refused == "" })
		})
	}
}

func TestPlatformDownForLong(t *testing.T) {
	const silence = 4 * time.Second
	m := begin(t, 6)
	readers, _ := m.readers()
	m.Platform.ResetCounts()
	m.Platform.SetFaults(platform.Faults{Outage: true})
	late, err := m.Add(fleet.Server{Name: "lookup-late", Service: "lookup", Domain: "domain-a", Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	m.await(1, []*fleet.Member{late})
	time.Sleep(silence)
	// Each reader, the one that starts meanwhile included, makes at most the
	// calls that its watch is allowed, and one for each other purpose.
	counts := m.Platform.Counts()
	cfg := reader.DefaultConfig()
	if most := (len(readers) + 1) * (int(cfg.WatchRate) + cfg.WatchBurst); counts.Peak > most {
		t.Errorf("%d calls within a second; at most %d are allowed: %+v", counts.Peak, most, counts)
	}
	t.Logf("%d calls in %s by %d readers, at most %d within a second", counts.Total(), silence, len(readers), counts.Peak)
	m.Platform.SetFaults(platform.Faults{})
	m.await(m.publish(2), m.Members)
}

func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	const period = 3 * time.Second
	for _, size := range []int{4, 16} {
		m := begin(t, size)
		want := domains * reader.DefaultConfig().PerDomain
		if readers, _ := m.readers(); len(readers) > want {
			t.Errorf("%d readers among %d daemons; at most %d are allowed", len(readers), size, want)
		}
		m.Platform.ResetCounts()
		time.Sleep(period)
		counts := m.Platform.Counts()
		// In this time a reader renews its lease once, or takes one over with two
		// calls, and a daemon of each failure domain writes a summary.
		if most := want*3 + domains*2; counts.Puts+counts.Gets > most {
			t.Errorf("%d daemons: %+v; at most %d reads and writes are allowed", size, counts, most)
		}
		t.Logf("%d daemons: %+v in %s", size, counts, period)
	}
}

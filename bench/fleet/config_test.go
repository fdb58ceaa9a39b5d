package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fescuehoist.example/adapters/platformhttp"
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
	t      *testing.T
	ctx    context.Context
	client *platformhttp.Client
	repo   *platformhttp.Repository
	editor *manifest.Editor
}

// begin starts a fleet with version 1 in force everywhere.
func begin(t *testing.T, d *fleet.Deployment, tune func(*daemon.Config)) *mesh {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	f, err := fleet.Start(context.Background(), d, fleet.Options{Tune: tune})
	if err != nil {
		t.Fatal(err)
	}
	m := &mesh{Fleet: f, t: t, ctx: ctx, client: platformhttp.NewClient(f.PlatformAddress)}
	t.Cleanup(func() {
		m.client.Close()
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	m.repo = &platformhttp.Repository{Client: m.client}
	m.editor = manifest.NewEditor(m.repo)
	m.await(m.publish(1), f.Members)
	if err := f.AwaitReady(ctx, f.Members, len(f.Members)); err != nil {
		t.Fatal(err)
	}
	return m
}

// publish makes an edit and returns its version.
func (m *mesh) publish(latency int) manifest.Version {
	m.t.Helper()
	s := manifesttest.Service("lookup", time.Duration(latency)*time.Millisecond)
	change, err := m.editor.Publish(m.ctx, &manifest.Edit{ID: fmt.Sprint("edit-", latency), Update: []*target.Service{s}})
	if err != nil {
		m.t.Fatal(err)
	}
	return change.Version
}

func (m *mesh) await(v manifest.Version, members []*fleet.Member) {
	m.t.Helper()
	if err := m.AwaitVersion(m.ctx, members, v); err != nil {
		m.t.Fatal(err)
	}
}

// readers returns the names of the servers whose daemons hold a lease.
func (m *mesh) readers() map[string]bool {
	m.t.Helper()
	objects, err := m.client.List(m.ctx, "lease/")
	if err != nil {
		m.t.Fatal(err)
	}
	holders := map[string]bool{}
	for _, o := range objects {
		var lease struct{ Holder string }
		if err := json.Unmarshal(o.Value, &lease); err != nil {
			m.t.Fatal(err)
		}
		if lease.Holder != "" {
			holders[lease.Holder] = true
		}
	}
	return holders
}

// split returns the members that read the platform and the others.
func (m *mesh) split() (readers, others []*fleet.Member) {
	holders := m.readers()
	for _, member := range m.Members {
		if holders[member.Server.Name] {
			readers = append(readers, member)
			continue
		}
		others = append(others, member)
	}
	return readers, others
}

// awaitReaders waits until each failure domain has all its readers.
func (m *mesh) awaitReaders() {
	for len(m.readers()) < domains*reader.DefaultConfig().PerDomain {
		time.Sleep(10 * time.Millisecond)
	}
}

// killReaders kills all readers and returns the members that are left.
func (m *mesh) killReaders() []*fleet.Member {
	m.awaitReaders()
	readers, others := m.split()
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
			m := begin(t, small(8), nil)
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
			m := begin(t, small(6), nil)
			h := manifesttest.NewHistory("past-the-command-line")
			h.Edit(manifesttest.Service("lookup", time.Millisecond))
			bad := manifesttest.Service("lookup", latencies[1])
			h.EditBodies([]*target.Service{bad}, []manifest.Body{c.body(m, bad)})
			h.Edit(manifesttest.Service("lookup", latencies[2]))
			m.put(h, 2)
			m.awaitState(func(s daemon.State) bool {
				return s.InForce == 1 && strings.Contains(s.Refused, "version 2 refused") && strings.Contains(s.Refused, c.reason)
			})
			m.put(h, 3)
			m.awaitState(func(s daemon.State) bool { return s.InForce == 3 && s.Refused == "" })
		})
	}
}

// put commits a head past the editor, with the bodies that have content.
func (m *mesh) put(h *manifesttest.History, v manifest.Version) {
	m.t.Helper()
	for _, b := range h.Bodies {
		if b.Service == nil {
			continue
		}
		if err := m.repo.PutBody(m.ctx, b.Service); err != nil {
			m.t.Fatal(err)
		}
	}
	_, rev, err := m.repo.Head(m.ctx)
	if err != nil {
		m.t.Fatal(err)
	}
	if err := m.repo.CommitHead(m.ctx, h.Head(0, v), rev); err != nil {
		m.t.Fatal(err)
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
		{"goes back", "went back", func(before []byte) []byte { return before }},
		{"cannot be decoded", "malformed", func([]byte) []byte { return []byte(`"none"`) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := begin(t, small(6), nil)
			before, _ := m.Platform.Load("config/head")
			m.await(m.publish(2), m.Members)
			m.awaitReaders()
			m.Platform.Store("config/head", c.spoil(before))
			readers, _ := m.split()
			if err := m.Await(m.ctx, readers, func(s daemon.State) bool { return strings.Contains(s.Refused, c.reason) }); err != nil {
				t.Fatal(err)
			}
			for _, member := range m.Members {
				if v := member.Daemon.State().InForce; v != 2 {
					t.Errorf("%s has version %d in force", member.Server.Name, v)
				}
			}
			edit := &manifest.Edit{ID: "recovery", Update: []*target.Service{manifesttest.Service("lookup", time.Second)}}
			change, err := m.editor.Recover(m.ctx, edit, 2)
			if err != nil {
				t.Fatal(err)
			}
			m.awaitState(func(s daemon.State) bool { return s.InForce == change.Version && s.Refused == "" })
		})
	}
}

func TestPlatformDownForLong(t *testing.T) {
	const silence = 4 * time.Second
	m := begin(t, small(6), nil)
	readers, _ := m.split()
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
		m := begin(t, small(size), nil)
		m.awaitReaders()
		want := domains * reader.DefaultConfig().PerDomain
		if n := len(m.readers()); n > want {
			t.Errorf("%d readers among %d daemons; at most %d are allowed", n, size, want)
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

package fleet_test

import (
	"context"
	"slices"
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
	"fescuehoist.example/mesh/wait"
	"fescuehoist.example/standin/platform"
)

// TestMain checks that no goroutine of any fleet is left running. Two goroutines
// of the fasthttp server behind the admin address are ignored: its worker pool's
// cleaner sleeps for up to ten seconds after the server has ended, and its clock
// runs until the process ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// pollInterval is the time between two looks at the readers.
const pollInterval = 10 * time.Millisecond

// testFleet is a fleet with an operator that edits its configuration.
type testFleet struct {
	*fleet.Fleet
	*fleet.Operator
	t   *testing.T
	ctx context.Context
}

// newTestFleet starts a fleet of count members with version 1 in force at all of
// them.
func newTestFleet(t *testing.T, count int) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	f, err := fleet.Start(context.Background(), smallDeployment(count), fleet.Options{})
	requireNoError(t, err)
	m := &testFleet{Fleet: f, Operator: f.NewOperator(nil), t: t, ctx: ctx}
	t.Cleanup(func() {
		m.Operator.Close()
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	requireNoError(t, m.PublishInitial(ctx, lookupService(1)))
	return m
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// lookupService returns the targets of the service lookup with a target latency
// in milliseconds.
func lookupService(latency int) *target.Service {
	return manifesttest.Service("lookup", time.Duration(latency)*time.Millisecond)
}

// publishLatency publishes a target latency in milliseconds and returns the
// version of the edit.
func (m *testFleet) publishLatency(latency int) manifest.Version {
	m.t.Helper()
	v, err := m.Publish(m.ctx, lookupService(latency))
	requireNoError(m.t, err)
	return v
}

func (m *testFleet) awaitVersion(v manifest.Version, members []*fleet.Member) {
	m.t.Helper()
	requireNoError(m.t, m.AwaitVersion(m.ctx, members, v))
}

// awaitReaders returns the members that read the platform and the others.
func (m *testFleet) awaitReaders() (readers, others []*fleet.Member) {
	m.t.Helper()
	readers, others, err := m.AwaitReaders(m.ctx, domainCount)
	requireNoError(m.t, err)
	return readers, others
}

// killReaders kills all readers and returns the remaining members.
func (m *testFleet) killReaders() []*fleet.Member {
	readers, others := m.awaitReaders()
	for _, r := range readers {
		r.Kill()
	}
	return others
}

// An edit that the platform accepted must be in force at every live daemon, also
// when the platform or all readers fail around the write.
func TestAcceptedEditReachesAllDaemons(t *testing.T) {
	const outage = time.Second
	for _, c := range []struct {
		name          string
		before, after func(m *testFleet) []*fleet.Member
	}{
		{name: "outage after write", after: func(m *testFleet) []*fleet.Member {
			m.Platform.SetFaults(platform.Faults{Outage: true})
			time.AfterFunc(outage, func() { m.Platform.SetFaults(platform.Faults{}) })
			return m.Members
		}},
		{name: "response lost after write", before: func(m *testFleet) []*fleet.Member {
			m.Platform.SetFaults(platform.Faults{DropResponses: true, Writes: "config/"})
			return m.Members
		}},
		{name: "delayed write", before: func(m *testFleet) []*fleet.Member {
			m.Platform.SetFaults(platform.Faults{WriteDelay: 300 * time.Millisecond, Writes: "config/head"})
			return m.Members
		}},
		{name: "slow platform", before: func(m *testFleet) []*fleet.Member {
			m.Platform.SetFaults(platform.Faults{Delay: 300 * time.Millisecond})
			return m.Members
		}},
		{name: "readers killed after write", after: (*testFleet).killReaders},
		{name: "readers killed before write", before: (*testFleet).killReaders},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestFleet(t, 8)
			live := m.Members
			if c.before != nil {
				live = c.before(m)
			}
			v := m.publishLatency(2)
			if c.after != nil {
				live = c.after(m)
			}
			m.awaitVersion(v, live)
			m.Platform.SetFaults(platform.Faults{})
			m.awaitVersion(m.publishLatency(3), live)
			for _, member := range live {
				if s := member.Daemon.State(); s.Refused != "" {
					t.Errorf("server %s refused a version: %s, want none refused", member.Server.Name, s.Refused)
				}
			}
		})
	}
}

// A version that was committed without the editor's checks must be refused by
// every daemon with its reason, and the next valid version applied.
func TestInvalidVersionRefusedNextValidApplied(t *testing.T) {
	latencies := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}
	for _, c := range []struct {
		name, reason string
		body         func(m *testFleet, s *target.Service) manifest.Body
	}{
		{"body missing", "the platform has no body", func(_ *testFleet, s *target.Service) manifest.Body {
			return manifest.Body{Digest: s.Digest(), Fault: "missing"}
		}},
		{"body does not match digest", "content has digest", func(m *testFleet, s *target.Service) manifest.Body {
			m.Platform.Store("config/body/"+string(s.Digest()), []byte(`{"name": "lookup"}`))
			return manifest.Body{Digest: s.Digest(), Fault: "stored already"}
		}},
		{"body malformed", "is malformed", func(m *testFleet, s *target.Service) manifest.Body {
			m.Platform.Store("config/body/"+string(s.Digest()), []byte(`"none"`))
			return manifest.Body{Digest: s.Digest(), Fault: "stored already"}
		}},
		{"targets invalid", "rank: -1", func(_ *testFleet, s *target.Service) manifest.Body {
			s.Classes[0].Rank = -1
			return manifest.Body{Digest: s.Digest(), Service: s}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestFleet(t, 6)
			h := manifesttest.NewHistory("without-editor-checks")
			h.Edit(manifesttest.Service("lookup", time.Millisecond))
			bad := manifesttest.Service("lookup", latencies[1])
			h.EditBodies([]*target.Service{bad}, []manifest.Body{c.body(m, bad)})
			h.Edit(manifesttest.Service("lookup", latencies[2]))
			requireNoError(t, m.CommitVersion(m.ctx, h, 2))
			m.awaitState(func(s daemon.State) bool {
				return s.InForce == 1 && strings.Contains(s.Refused, "version 2 refused") && strings.Contains(s.Refused, c.reason)
			})
			requireNoError(t, m.CommitVersion(m.ctx, h, 3))
			m.awaitState(func(s daemon.State) bool { return s.InForce == 3 && s.Refused == "" })
		})
	}
}

func (m *testFleet) awaitState(condition func(daemon.State) bool) {
	m.t.Helper()
	if err := m.Await(m.ctx, m.Members, condition); err != nil {
		m.t.Fatalf("%v; state of server %s: %+v", err, m.Members[0].Server.Name, m.Members[0].Daemon.State())
	}
}

// awaitReadersRefusal waits until all readers report a refusal with the given reason.
// It asks for the readers again each time: while daemons that have just started learn
// of each other, a lease may pass from one to another.
func (m *testFleet) awaitReadersRefusal(reason string) {
	m.t.Helper()
	for {
		readers, _ := m.awaitReaders()
		silent := slices.DeleteFunc(readers, func(r *fleet.Member) bool {
			return strings.Contains(r.Daemon.State().Refused, reason)
		})
		if len(silent) == 0 {
			return
		}
		if err := wait.For(m.ctx, pollInterval); err != nil {
			m.t.Fatalf("reader %s: refused %q, want %q", silent[0].Server.Name, silent[0].Daemon.State().Refused, reason)
		}
	}
}

// An invalid head in the platform must be reported by the readers and leave the
// version in force unchanged, until the operator recovers with a new version.
func TestInvalidHeadReportedByReadersRecoveryApplied(t *testing.T) {
	for _, c := range []struct {
		name, reason string
		corrupt      func(before []byte) []byte
	}{
		{"older version", "older than the known version", func(before []byte) []byte { return before }},
		{"malformed", "malformed", func([]byte) []byte { return []byte(`"none"`) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestFleet(t, 6)
			before, _ := m.Platform.Load("config/head")
			m.awaitVersion(m.publishLatency(2), m.Members)
			m.Platform.Store("config/head", c.corrupt(before))
			m.awaitReadersRefusal(c.reason)
			for _, member := range m.Members {
				if v := member.Daemon.State().InForce; v != 2 {
					t.Errorf("server %s: version %d in force, want 2", member.Server.Name, v)
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

// During an outage of the platform the readers must not retry faster than their
// rate limit, a daemon that starts must get the configuration from its peers, and
// after the outage a new version must be applied.
func TestReaderCallsBoundedDuringPlatformOutage(t *testing.T) {
	const outage = 4 * time.Second
	m := newTestFleet(t, 6)
	readers, _ := m.awaitReaders()
	m.Platform.ResetCounts()
	m.Platform.SetFaults(platform.Faults{Outage: true})
	late, err := m.Add(fleet.Server{Name: "lookup-late", Service: "lookup", Domain: "domain-a", Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	m.awaitVersion(1, []*fleet.Member{late})
	time.Sleep(outage)
	// In any second each reader, including the one that started during the outage,
	// makes at most the calls that the rate and burst of its watch allow, and one
	// call for each other purpose.
	counts := m.Platform.Counts()
	cfg := reader.DefaultConfig()
	if most := (len(readers) + 1) * (int(cfg.WatchRate) + cfg.WatchBurst); counts.Peak > most {
		t.Errorf("%d calls to the platform within a second, want at most %d; counts: %+v", counts.Peak, most, counts)
	}
	t.Logf("%d calls to the platform in %s by %d readers, at most %d within a second", counts.Total(), outage, len(readers), counts.Peak)
	m.Platform.SetFaults(platform.Faults{})
	m.awaitVersion(m.publishLatency(2), m.Members)
}

// The number of calls to the platform must depend on the number of failure
// domains, not on the number of daemons.
func TestPlatformCallsIndependentOfFleetSize(t *testing.T) {
	const period = 3 * time.Second
	for _, size := range []int{4, 16} {
		m := newTestFleet(t, size)
		want := domainCount * reader.DefaultConfig().PerDomain
		if readers, _ := m.awaitReaders(); len(readers) > want {
			t.Errorf("%d readers among %d daemons, want at most %d", len(readers), size, want)
		}
		m.Platform.ResetCounts()
		time.Sleep(period)
		counts := m.Platform.Counts()
		// Within this period a reader renews its lease once, or takes over a lease
		// with two calls, and one daemon of each failure domain writes a status
		// summary.
		if most := want*3 + domainCount*2; counts.Puts+counts.Gets > most {
			t.Errorf("%d daemons: %d reads and writes of the platform, want at most %d; counts: %+v", size, counts.Puts+counts.Gets, most, counts)
		}
		t.Logf("%d daemons: %+v in %s", size, counts, period)
	}
}

package reader_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/reader/readertest"
	"fescuehoist.example/mesh/target"
)

const domain = "d"

// settleTime is longer than every delay and watch of a reader.
const settleTime = time.Minute

type discardLogger struct{}

func (discardLogger) Infof(string, ...any) {}

// daemon is a reader with its configuration store and member table.
type daemon struct {
	configs *manifest.Store
	members *member.Table
	stop    context.CancelFunc
	exited  chan struct{}
}

// limitedWatch ends each watch that sees no change after 20 s, as the platform
// does.
type limitedWatch struct{ *manifesttest.Repository }

func (w limitedWatch) WaitHead(ctx context.Context, after manifest.Revision) (*manifest.Head, manifest.Revision, error) {
	limit, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	head, rev, err := w.Repository.WaitHead(limit, after)
	if ctx.Err() == nil && limit.Err() != nil {
		return nil, 0, manifest.ErrUnchanged
	}
	return head, rev, err
}

// start runs a daemon whose member table already holds the daemons in known.
func start(t *testing.T, self string, repo manifest.Repository, leases reader.Leases, known ...string) *daemon {
	d := &daemon{configs: manifest.NewStore(), members: member.NewTable(member.ServerID(self)), exited: make(chan struct{})}
	d.members.Announce(member.Record{Server: member.ServerID(self), Domain: domain, State: member.Ready})
	for _, k := range known {
		d.members.Merge([]member.Record{{Server: member.ServerID(k), Domain: domain, State: member.Ready, Incarnation: 1}})
	}
	ctx, stop := context.WithCancel(t.Context())
	d.stop = stop
	r := reader.New(reader.DefaultConfig(), member.ServerID(self), domain, repo, leases, d.members, d.configs, discardLogger{})
	go func() {
		defer close(d.exited)
		if err := r.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	return d
}

func (d *daemon) shutDown() {
	d.stop()
	<-d.exited
}

func TestReaderRejectsInvalidHead(t *testing.T) {
	service := func(latency int) *target.Service {
		return manifesttest.Service("lookup", time.Duration(latency)*time.Second)
	}
	h, fork := manifesttest.NewHistory("h"), manifesttest.NewHistory("fork")
	for i := range 4 {
		h.Edit(service(i + 1))
		fork.Edit(manifesttest.Service("archive", time.Duration(i+1)*time.Second))
	}
	for _, c := range []struct {
		name, reason string
		put          func(r *manifesttest.Repository)
	}{
		{"older version", "older than the known version 2", func(r *manifesttest.Repository) { r.SetHead(h.Head(0, 1), nil) }},
		{"fork at a later version", "not a successor of the known version 2", func(r *manifesttest.Repository) { r.SetHead(fork.Head(0, 3), nil) }},
		{"fork at the same version", "not a successor of the known version 2", func(r *manifesttest.Repository) { r.SetHead(fork.Head(0, 2), nil) }},
		{"missing base table", "base table 3 cannot be read", func(r *manifesttest.Repository) {
			head := h.Head(3, 3)
			head.Base.Digest = service(1).Digest()
			r.SetHead(head, nil)
		}},
		{"malformed head", "the head is malformed", func(r *manifesttest.Repository) {
			r.SetHead(&manifest.Head{}, &manifest.MalformedError{Object: "the head", Err: errors.New("no JSON")})
		}},
		{"missing body", "the platform has no body", func(r *manifesttest.Repository) {
			r.DropBody(h.Changes[2].Updated[0].Digest)
			r.SetHead(h.Head(0, 3), nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			manifesttest.RunInBubble(t, func(t *testing.T) {
				repo := manifesttest.NewRepository()
				repo.StoreHistory(h)
				repo.SetHead(h.Head(0, 2), nil)
				d := start(t, "a", limitedWatch{repo}, readertest.NewLeases())
				defer d.shutDown()
				time.Sleep(settleTime)
				c.put(repo)
				time.Sleep(settleTime)
				if v := d.configs.Snapshot().Version(); v != 2 {
					t.Errorf("version %d in force, want 2", v)
				}
				if r := d.configs.Refusal(); r == nil || !strings.Contains(r.Error(), c.reason) {
					t.Errorf("refusal %v, want one with %q", r, c.reason)
				}
				repo.SetHead(h.Head(1, 4), nil)
				time.Sleep(settleTime)
				if v := d.configs.Snapshot().Version(); v != 4 || d.configs.Refusal() != nil {
					t.Errorf("version %d in force, refusal %v; want version 4, none", v, d.configs.Refusal())
				}
			})
		})
	}
}

func TestReaderAppliesVersionAfterMissingBodyIsStored(t *testing.T) {
	manifesttest.RunInBubble(t, func(t *testing.T) {
		h := manifesttest.NewHistory("h")
		h.Edit(manifesttest.Service("lookup", time.Second))
		repo := manifesttest.NewRepository()
		repo.SetHead(h.Head(0, 1), nil)
		d := start(t, "a", limitedWatch{repo}, readertest.NewLeases())
		defer d.shutDown()
		time.Sleep(settleTime)
		if v, r := d.configs.Snapshot().Version(), d.configs.Refusal(); v != 0 || r == nil {
			t.Errorf("body missing: version %d in force, refusal %v; want version 0 and a refusal", v, r)
		}
		repo.StoreHistory(h)
		time.Sleep(settleTime)
		if v, r := d.configs.Snapshot().Version(), d.configs.Refusal(); v != 1 || r != nil {
			t.Errorf("body stored: version %d in force, refusal %v; want version 1, none", v, r)
		}
	})
}

// immediateWatch returns from every watch without waiting.
type immediateWatch struct {
	*manifesttest.Repository
	err error
}

func (s immediateWatch) WaitHead(ctx context.Context, _ manifest.Revision) (*manifest.Head, manifest.Revision, error) {
	head, rev, err := s.Head(ctx)
	if err == nil {
		err = s.err
	}
	return head, rev, err
}

func TestReaderBoundsCallRateForAnyWatchResult(t *testing.T) {
	const minutes = 10
	cfg := reader.DefaultConfig()
	for _, c := range []struct {
		name        string
		unavailable bool
		err         error
		bound       float64
	}{
		{name: "unchanged head", err: manifest.ErrUnchanged, bound: 2 * cfg.WatchRate},
		{name: "same head", bound: cfg.WatchRate},
		{name: "error", err: errors.New("fault"), bound: 1},
		{name: "platform unavailable", unavailable: true, bound: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			manifesttest.RunInBubble(t, func(t *testing.T) {
				repo := manifesttest.NewRepository()
				repo.SetUnavailable(c.unavailable)
				d := start(t, "a", immediateWatch{repo, c.err}, readertest.NewLeases())
				time.Sleep(minutes * time.Minute)
				d.shutDown()
				most := c.bound*minutes*60 + 2*float64(cfg.WatchBurst)
				if n := repo.Calls(); float64(n) > most {
					t.Errorf("%d calls in %d minutes, want at most %.0f", n, minutes, most)
				}
			})
		})
	}
}

// Daemons that start together know no peers at first. They receive each other's
// records within JoinTimeout; only PerDomain of them may then call the platform.
func TestReadersStartingTogetherLimitPlatformCalls(t *testing.T) {
	const daemonCount = 30
	manifesttest.RunInBubble(t, func(t *testing.T) {
		repo, leases := manifesttest.NewRepository(), readertest.NewLeases()
		var daemons []*daemon
		var records []member.Record
		for i := range daemonCount {
			name := fmt.Sprintf("server-%d", i)
			daemons = append(daemons, start(t, name, limitedWatch{repo}, leases))
			records = append(records, member.Record{Server: member.ServerID(name), Domain: domain, State: member.Ready, Incarnation: 1})
		}
		time.Sleep(reader.DefaultConfig().JoinTimeout / 2)
		if n := repo.Calls(); n > 0 {
			t.Errorf("%d calls before the daemons know each other, want 0", n)
		}
		for _, d := range daemons {
			d.members.Merge(records)
		}
		time.Sleep(reader.DefaultConfig().JoinTimeout)
		if n := repo.Calls(); n > reader.DefaultConfig().PerDomain {
			t.Errorf("%d calls by %d daemons, want at most one by each of the PerDomain readers", n, daemonCount)
		}
		for _, d := range daemons {
			d.shutDown()
		}
	})
}

func TestReaderCountIndependentOfDomainSize(t *testing.T) {
	for _, size := range []int{1, 3, 40} {
		manifesttest.RunInBubble(t, func(t *testing.T) {
			repo, leases := manifesttest.NewRepository(), readertest.NewLeases()
			h := manifesttest.NewHistory("h")
			h.Edit(manifesttest.Service("lookup", time.Second))
			repo.StoreHistory(h)
			repo.SetHead(h.Head(0, 1), nil)
			var names []string
			for i := range size {
				names = append(names, fmt.Sprintf("server-%d", i))
			}
			var daemons []*daemon
			for _, n := range names {
				daemons = append(daemons, start(t, n, limitedWatch{repo}, leases, names...))
			}
			time.Sleep(settleTime)
			readers := 0
			for _, d := range daemons {
				if d.configs.Snapshot().Version() == 1 {
					readers++
				}
			}
			if want := min(size, reader.DefaultConfig().PerDomain); readers != want {
				t.Errorf("%d readers among %d daemons, want %d", readers, size, want)
			}
			for _, d := range daemons {
				d.shutDown()
			}
		})
	}
}

func TestPausedReaderLosesLeaseWithoutDivergence(t *testing.T) {
	manifesttest.RunInBubble(t, func(t *testing.T) {
		repo, leases := manifesttest.NewRepository(), readertest.NewLeases()
		h := manifesttest.NewHistory("h")
		for i := range 3 {
			h.Edit(manifesttest.Service("lookup", time.Duration(i+1)*time.Second))
		}
		repo.StoreHistory(h)
		repo.SetHead(h.Head(0, 1), nil)
		paused := &pausableLeases{Leases: leases}
		a := start(t, "a", limitedWatch{repo}, paused)
		defer a.shutDown()
		time.Sleep(settleTime)
		paused.setPaused(true)
		time.Sleep(settleTime)
		b := start(t, "b", limitedWatch{repo}, leases)
		defer b.shutDown()
		time.Sleep(settleTime)
		repo.SetHead(h.Head(0, 2), nil)
		time.Sleep(settleTime)
		if holder := leases.Holder("reader-d-0"); holder != "b" {
			t.Errorf("lease held by %q, want \"b\"", holder)
		}
		if va, vb := a.configs.Snapshot().Version(), b.configs.Snapshot().Version(); va != 2 || vb != 2 {
			t.Errorf("a paused: versions %d and %d in force, want 2 and 2", va, vb)
		}
		paused.setPaused(false)
		time.Sleep(settleTime)
		repo.SetHead(h.Head(0, 3), nil)
		time.Sleep(settleTime)
		if va, vb := a.configs.Snapshot().Version(), b.configs.Snapshot().Version(); va != 2 || vb != 3 {
			t.Errorf("a resumed: versions %d and %d in force, want 2 and 3", va, vb)
		}
	})
}

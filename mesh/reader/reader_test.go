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

// settleTime is long enough for every delay and watch of a reader.
const settleTime = time.Minute

type quiet struct{}

func (quiet) Infof(string, ...any) {}

// daemon is one daemon's reading part.
type daemon struct {
	configs *manifest.Store
	members *member.Table
	stop    context.CancelFunc
	ended   chan struct{}
}

// watched ends each watch after a while without news, as the platform does.
type watched struct{ *manifesttest.Repository }

func (w watched) WaitHead(ctx context.Context, after manifest.Revision) (*manifest.Head, manifest.Revision, error) {
	limit, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	head, rev, err := w.Repository.WaitHead(limit, after)
	if ctx.Err() == nil && limit.Err() != nil {
		return nil, 0, manifest.ErrUnchanged
	}
	return head, rev, err
}

// start runs a daemon that knows the daemons named.
func start(t *testing.T, self string, repo manifest.Repository, leases reader.Leases, known ...string) *daemon {
	d := &daemon{configs: manifest.NewStore(), members: member.NewTable(member.ServerID(self)), ended: make(chan struct{})}
	d.members.Announce(member.Record{Server: member.ServerID(self), Domain: domain, State: member.Ready})
	for _, k := range known {
		d.members.Merge([]member.Record{{Server: member.ServerID(k), Domain: domain, State: member.Ready, Incarnation: 1}})
	}
	ctx, stop := context.WithCancel(t.Context())
	d.stop = stop
	r := reader.New(reader.DefaultConfig(), member.ServerID(self), domain, repo, leases, d.members, d.configs, quiet{})
	go func() {
		defer close(d.ended)
		if err := r.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	return d
}

func (d *daemon) end() {
	d.stop()
	<-d.ended
}

func TestHeadPutIntoThePlatformWithoutTheCommandLine(t *testing.T) {
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
		{"goes back", "the platform went back to it from version 2", func(r *manifesttest.Repository) { r.SetHead(h.Head(0, 1), nil) }},
		{"forks", "does not follow from version 2", func(r *manifesttest.Repository) { r.SetHead(fork.Head(0, 3), nil) }},
		{"forks at the same version", "does not follow from version 2", func(r *manifesttest.Repository) { r.SetHead(fork.Head(0, 2), nil) }},
		{"lacks its base table", "base table 3 cannot be read", func(r *manifesttest.Repository) {
			head := h.Head(3, 3)
			head.Base.Digest = service(1).Digest()
			r.SetHead(head, nil)
		}},
		{"cannot be decoded", "the head is malformed", func(r *manifesttest.Repository) {
			r.SetHead(&manifest.Head{}, &manifest.MalformedError{Object: "the head", Err: errors.New("no JSON")})
		}},
		{"lacks a body", "the platform has no body", func(r *manifesttest.Repository) {
			r.DropBody(h.Changes[2].Updated[0].Digest)
			r.SetHead(h.Head(0, 3), nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			manifesttest.RunInBubble(t, func(t *testing.T) {
				repo := manifesttest.NewRepository()
				repo.StoreHistory(h)
				repo.SetHead(h.Head(0, 2), nil)
				d := start(t, "a", watched{repo}, readertest.NewLeases())
				defer d.end()
				time.Sleep(settleTime)
				c.put(repo)
				time.Sleep(settleTime)
				if v := d.configs.Snapshot().Version(); v != 2 {
					t.Errorf("version %d in force", v)
				}
				if r := d.configs.Refusal(); r == nil || !strings.Contains(r.Error(), c.reason) {
					t.Errorf("refusal %v; want %q", r, c.reason)
				}
				repo.SetHead(h.Head(1, 4), nil)
				time.Sleep(settleTime)
				if v := d.configs.Snapshot().Version(); v != 4 || d.configs.Refusal() != nil {
					t.Errorf("version %d in force, refusal %v", v, d.configs.Refusal())
				}
			})
		})
	}
}

func TestMissingBodyThatIsStoredLaterMendsTheVersion(t *testing.T) {
	manifesttest.RunInBubble(t, func(t *testing.T) {
		h := manifesttest.NewHistory("h")
		h.Edit(manifesttest.Service("lookup", time.Second))
		repo := manifesttest.NewRepository()
		repo.SetHead(h.Head(0, 1), nil)
		d := start(t, "a", watched{repo}, readertest.NewLeases())
		defer d.end()
		time.Sleep(settleTime)
		if v, r := d.configs.Snapshot().Version(), d.configs.Refusal(); v != 0 || r == nil {
			t.Errorf("version %d in force, refusal %v", v, r)
		}
		repo.StoreHistory(h)
		time.Sleep(settleTime)
		if v, r := d.configs.Snapshot().Version(), d.configs.Refusal(); v != 1 || r != nil {
			t.Errorf("version %d in force, refusal %v", v, r)
		}
	})
}

// spinning answers every watch at once.
type spinning struct {
	*manifesttest.Repository
	err error
}

func (s spinning) WaitHead(ctx context.Context, _ manifest.Revision) (*manifest.Head, manifest.Revision, error) {
	head, rev, err := s.Head(ctx)
	if err == nil {
		err = s.err
	}
	return head, rev, err
}

func TestCallsAreBoundedWhateverTheWatchAnswers(t *testing.T) {
	const minutes = 10
	cfg := reader.DefaultConfig()
	for _, c := range []struct {
		name  string
		away  bool
		err   error
		bound float64
	}{
		{name: "no change, at once", err: manifest.ErrUnchanged, bound: 2 * cfg.WatchRate},
		{name: "the same head, at once", bound: cfg.WatchRate},
		{name: "an error, at once", err: errors.New("fault"), bound: 1},
		{name: "away", away: true, bound: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			manifesttest.RunInBubble(t, func(t *testing.T) {
				repo := manifesttest.NewRepository()
				repo.SetUnavailable(c.away)
				d := start(t, "a", spinning{repo, c.err}, readertest.NewLeases())
				time.Sleep(minutes * time.Minute)
				d.end()
				most := c.bound*minutes*60 + 2*float64(cfg.WatchBurst)
				if n := repo.Calls(); float64(n) > most {
					t.Errorf("%d calls in %d minutes; at most %.0f are allowed", n, minutes, most)
				}
			})
		})
	}
}

// TestStartingHerdDoesNotTurnToThePlatform starts daemons that know nobody and
// hear of each other before they would read on their own.
func TestStartingHerdDoesNotTurnToThePlatform(t *testing.T) {
	const herd = 30
	manifesttest.RunInBubble(t, func(t *testing.T) {
		repo, leases := manifesttest.NewRepository(), readertest.NewLeases()
		var daemons []*daemon
		var records []member.Record
		for i := range herd {
			name := fmt.Sprintf("server-%d", i)
			daemons = append(daemons, start(t, name, watched{repo}, leases))
			records = append(records, member.Record{Server: member.ServerID(name), Domain: domain, State: member.Ready, Incarnation: 1})
		}
		time.Sleep(reader.DefaultConfig().JoinTimeout / 2)
		if n := repo.Calls(); n > 0 {
			t.Errorf("%d calls before the daemons know each other", n)
		}
		for _, d := range daemons {
			d.members.Merge(records)
		}
		time.Sleep(reader.DefaultConfig().JoinTimeout)
		if n := repo.Calls(); n > reader.DefaultConfig().PerDomain {
			t.Errorf("%d calls by %d daemons", n, herd)
		}
		for _, d := range daemons {
			d.end()
		}
	})
}

func TestReadersOfADomainDoNotGrowWithIt(t *testing.T) {
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
				daemons = append(daemons, start(t, n, watched{repo}, leases, names...))
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
				d.end()
			}
		})
	}
}

func TestPausedReaderDoesNoHarm(t *testing.T) {
	manifesttest.RunInBubble(t, func(t *testing.T) {
		repo, leases := manifesttest.NewRepository(), readertest.NewLeases()
		h := manifesttest.NewHistory("h")
		for i := range 3 {
			h.Edit(manifesttest.Service("lookup", time.Duration(i+1)*time.Second))
		}
		repo.StoreHistory(h)
		repo.SetHead(h.Head(0, 1), nil)
		paused := &pausable{Leases: leases}
		a := start(t, "a", watched{repo}, paused)
		defer a.end()
		time.Sleep(settleTime)
		paused.set(true)
		time.Sleep(settleTime)
		b := start(t, "b", watched{repo}, leases)
		defer b.end()
		time.Sleep(settleTime)
		repo.SetHead(h.Head(0, 2), nil)
		time.Sleep(settleTime)
		if holder := leases.Holder("reader-d-0"); holder != "b" {
			t.Errorf("%q holds the lease", holder)
		}
		if va, vb := a.configs.Snapshot().Version(), b.configs.Snapshot().Version(); va != 2 || vb != 2 {
			t.Errorf("two readers at once have versions %d and %d in force", va, vb)
		}
		paused.set(false)
		time.Sleep(settleTime)
		repo.SetHead(h.Head(0, 3), nil)
		time.Sleep(settleTime)
		if va, vb := a.configs.Snapshot().Version(), b.configs.Snapshot().Version(); va != 2 || vb != 3 {
			t.Errorf("after the pause they have versions %d and %d", va, vb)
		}
	})
}

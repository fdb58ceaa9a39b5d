package platformhttp_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/reader/readertest"
	"fescuehoist.example/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startPlatform runs a stand-in platform until the test ends and returns it with
// a function that creates clients of it.
func startPlatform(t *testing.T) (*platform.Platform, func() *platformhttp.Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := platform.New()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p, func() *platformhttp.Client {
		c := platformhttp.NewClient(ln.Addr().String())
		t.Cleanup(c.Close)
		return c
	}
}

func TestRepositoryContract(t *testing.T) {
	manifesttest.TestRepository(t, func(t *testing.T) manifest.Repository {
		_, client := startPlatform(t)
		return &platformhttp.Repository{Client: client()}
	})
}

func TestLeasesContract(t *testing.T) {
	readertest.Run(t, func(t *testing.T) (reader.Leases, reader.Leases) {
		_, client := startPlatform(t)
		return platformhttp.NewLeases(client()), platformhttp.NewLeases(client())
	})
}

func TestLeasesAcquireRenewalMakesOneCall(t *testing.T) {
	p, client := startPlatform(t)
	l := platformhttp.NewLeases(client())
	for range 4 {
		if err := l.Acquire(t.Context(), reader.Claim{Name: "l", Holder: "a", TTL: time.Hour}); err != nil {
			t.Fatal(err)
		}
	}
	if c := p.Counts(); c.Puts != 4 || c.Gets != 1 {
		t.Errorf("counts %+v, want 4 puts and 1 get", c)
	}
}

func TestRepositoryReadMalformedObjectFails(t *testing.T) {
	s := manifesttest.Service("lookup", time.Second)
	h := manifesttest.NewHistory("h")
	h.Edit(s)
	ref := manifest.TableRef{Version: 1, Digest: h.Tables[1].Digest()}
	for _, c := range []struct {
		name, key, value string
		read             func(r *platformhttp.Repository) error
	}{
		{"head of wrong type", "config/head", `[]`, headError},
		{"head without changes", "config/head", `{"version": 3}`, headError},
		{"head with a change without edit id", "config/head", `{"version": 1, "changes": [{"version": 1}]}`, headError},
		{"body of wrong type", "config/body/" + string(s.Digest()), `7`, func(r *platformhttp.Repository) error {
			_, err := r.Body(context.Background(), s.Digest())
			return err
		}},
		{"body with invalid duration", "config/body/" + string(s.Digest()), `{"name": "lookup", "classes": [{"latency": "soon"}]}`, func(r *platformhttp.Repository) error {
			_, err := r.Body(context.Background(), s.Digest())
			return err
		}},
		{"body of another service", "config/body/" + string(s.Digest()), `{"name": "other"}`, func(r *platformhttp.Repository) error {
			_, err := r.Body(context.Background(), s.Digest())
			return err
		}},
		{"table with different digest", "config/table/" + string(ref.Digest), `{"version": 1}`, func(r *platformhttp.Repository) error {
			_, err := r.Table(context.Background(), ref)
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, client := startPlatform(t)
			p.Store(c.key, []byte(c.value))
			r := &platformhttp.Repository{Client: client()}
			var malformed *manifest.MalformedError
			if err := c.read(r); !errors.As(err, &malformed) || malformed.Object != c.key {
				t.Errorf("error %v, want a MalformedError for %s", err, c.key)
			}
			if c.key == "config/head" {
				if _, rev, _ := r.Head(t.Context()); rev != 1 {
					t.Errorf("revision %d, want 1", rev)
				}
				return
			}
			if err := errors.Join(r.PutBody(t.Context(), s), putTable(r, h.Tables[1])); err != nil {
				t.Error(err)
			}
			if err := c.read(r); err != nil {
				t.Errorf("read after a valid object was stored: %v", err)
			}
		})
	}
}

func headError(r *platformhttp.Repository) error {
	_, _, err := r.Head(context.Background())
	return err
}

func putTable(r *platformhttp.Repository, t *manifest.Table) error {
	_, err := r.PutTable(context.Background(), t)
	return err
}

func TestRepositoryCommitHeadReportsUnknownOutcome(t *testing.T) {
	h := manifesttest.NewHistory("h")
	h.Edit(manifesttest.Service("lookup", time.Second))
	for _, c := range []struct {
		name    string
		faults  platform.Faults
		unknown bool
		version manifest.Version
	}{
		{name: "outage", faults: platform.Faults{Outage: true}, unknown: true},
		{name: "response lost after the write", faults: platform.Faults{DropResponses: true}, unknown: true, version: 1},
		{name: "response lost for another object", faults: platform.Faults{DropResponses: true, Writes: "lease/"}, version: 1},
		{name: "write applied later", faults: platform.Faults{WriteDelay: time.Hour}, unknown: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, client := startPlatform(t)
			r := &platformhttp.Repository{Client: client()}
			p.SetFaults(c.faults)
			err := r.CommitHead(t.Context(), h.Head(0, 1), 0)
			if errors.Is(err, manifest.ErrOutcomeUnknown) != c.unknown || (err != nil) != c.unknown {
				t.Errorf("error %v, want ErrOutcomeUnknown: %t", err, c.unknown)
			}
			p.SetFaults(platform.Faults{})
			head, _, err := r.Head(t.Context())
			if err != nil || head.Version != c.version {
				t.Errorf("head %v, error %v, want version %d", head, err, c.version)
			}
		})
	}
}

package peergrpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"google.golang.org/grpc/credentials/insecure"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/gossip/gossiptest"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// transport is an implementation of gossip.Dialer and gossip.Link under test.
type transport struct {
	dialer  gossip.Dialer
	address string
	// closedAddress has no listener; silentAddress never responds.
	closedAddress, silentAddress string
}

// handlerFunc adapts a function to Handler.
type handlerFunc func(ctx context.Context, link gossip.Link) error

func (f handlerFunc) Serve(ctx context.Context, link gossip.Link) error { return f(ctx, link) }

func memoryTransport(t *testing.T, h handlerFunc) transport {
	network := gossiptest.New()
	network.SetPartition(func(_, to string) bool { return to == "silent" })
	runUntilTestEnds(t, func(ctx context.Context) { network.Listen(ctx, "server", h) })
	for {
		if link, err := network.Dialer("probe").Dial(t.Context(), "server"); err == nil {
			link.Close()
			break
		}
	}
	return transport{dialer: network.Dialer("client"), address: "server", closedAddress: "closed", silentAddress: "silent"}
}

func grpcTransport(t *testing.T, h handlerFunc) transport {
	ln, silentLn, closedLn := listen(t), listen(t), listen(t)
	_ = closedLn.Close()
	t.Cleanup(func() { _ = silentLn.Close() })
	runUntilTestEnds(t, func(ctx context.Context) { _ = NewServer(h, insecure.NewCredentials()).Run(ctx, ln) })
	return transport{
		dialer: &Dialer{Credentials: insecure.NewCredentials()}, address: ln.Addr().String(),
		closedAddress: closedLn.Addr().String(), silentAddress: silentLn.Addr().String(),
	}
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// runUntilTestEnds runs task in a goroutine and cancels it when the test ends.
func runUntilTestEnds(t *testing.T, task func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { task(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
}

// echo sends every received message back.
func echo(_ context.Context, link gossip.Link) error {
	for {
		m, err := link.Recv()
		if err != nil {
			return err
		}
		if err := link.Send(m); err != nil {
			return err
		}
	}
}

// closeAfterReceive closes the link after the first message.
func closeAfterReceive(_ context.Context, link gossip.Link) error {
	_, err := link.Recv()
	link.Close()
	return err
}

func mustDial(t *testing.T, tr transport) gossip.Link {
	t.Helper()
	link, err := tr.dialer.Dial(t.Context(), tr.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

// TestLinkContract checks for every implementation of gossip.Link and
// gossip.Dialer the behavior that package gossip relies on.
func TestLinkContract(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler handlerFunc
		check   func(t *testing.T, tr transport)
	}{
		{"messages arrive unchanged and in order", echo, checkEcho},
		{"close ends a blocked receive", echo, func(t *testing.T, tr transport) {
			link := mustDial(t, tr)
			time.AfterFunc(10*time.Millisecond, link.Close)
			if _, err := link.Recv(); err == nil {
				t.Error("the receive did not fail")
			}
			link.Close()
			if err := link.Send(&gossip.Prune{}); err == nil {
				t.Error("send on a closed link did not fail")
			}
		}},
		{"close by the peer ends the link", closeAfterReceive, func(t *testing.T, tr transport) {
			link := mustDial(t, tr)
			_ = link.Send(&gossip.Prune{})
			if _, err := link.Recv(); err == nil {
				t.Error("the receive did not fail")
			}
		}},
		{"dial to a closed address fails", echo, func(t *testing.T, tr transport) {
			if _, err := tr.dialer.Dial(t.Context(), tr.closedAddress); err == nil {
				t.Error("the dial did not fail")
			}
		}},
		{"dial to a silent peer ends with its context", echo, func(t *testing.T, tr transport) {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if _, err := tr.dialer.Dial(ctx, tr.silentAddress); err == nil {
				t.Error("the dial did not fail")
			}
		}},
		{"end of the dial context leaves the link open", echo, func(t *testing.T, tr transport) {
			ctx, cancel := context.WithCancel(t.Context())
			link, err := tr.dialer.Dial(ctx, tr.address)
			if err != nil {
				t.Fatal(err)
			}
			defer link.Close()
			cancel()
			if err := link.Send(&gossip.Prune{}); err != nil {
				t.Fatal(err)
			}
			if _, err := link.Recv(); err != nil {
				t.Error(err)
			}
		}},
	} {
		t.Run("memory/"+c.name, func(t *testing.T) { c.check(t, memoryTransport(t, c.handler)) })
		t.Run("grpc/"+c.name, func(t *testing.T) { c.check(t, grpcTransport(t, c.handler)) })
	}
}

func checkEcho(t *testing.T, tr transport) {
	link := mustDial(t, tr)
	messages := sampleMessages()
	go func() {
		for _, m := range messages {
			_ = link.Send(m)
		}
	}()
	for i, want := range messages {
		got, err := link.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("message %d: %s", i, d)
		}
	}
}

// sampleMessages returns one message of each type.
func sampleMessages() []gossip.Message {
	record := member.Record{
		Server: "lookup-1", Incarnation: 7, Sequence: 2, State: member.Draining, Service: "lookup", Domain: "cairo-a",
		CallAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Slots: 12, Health: member.Suspected, SuspectedBy: []member.ServerID{"b"},
	}
	versions := []member.Version{record.Version()}
	s := &target.Service{Name: "lookup", Classes: []target.Class{{Name: "search", Method: "GET", Path: "/search", Rank: 1, Latency: time.Second}}}
	refs := []manifest.Ref{{Service: s.Name, Digest: s.Digest()}}
	update := &manifest.Update{
		Base:    &manifest.Table{Version: 3, Refs: refs},
		Changes: []manifest.Change{{Version: 4, EditID: "e", Author: "a", At: time.Unix(9, 0), Updated: refs, Removed: []string{"x"}}},
		Bodies:  []manifest.Body{{Digest: s.Digest(), Service: s}, {Digest: "d", Fault: "missing"}},
	}
	return []gossip.Message{
		&gossip.Hello{From: "a", Mesh: "nuqta", Version: 3, Advisories: true, Domain: "cairo-a"}, &gossip.Heartbeat{Version: 4},
		&gossip.Heartbeat{Version: 4, Confirmation: gossip.Confirmation{Number: 7, Revision: revision.Revision{Epoch: 3, Number: 19}, Age: 300 * time.Millisecond}},
		&gossip.Records{Records: []member.Record{record}, FromAntiEntropy: true},
		&gossip.Configuration{Update: update}, &gossip.Have{Versions: versions},
		&gossip.Pull{Servers: []member.ServerID{"a"}, Configure: true, Version: 2, Graft: true},
		&gossip.Prune{}, &gossip.Root{Hash: 5, Version: 6}, &gossip.Hashes{Hashes: [member.NumBuckets]uint64{3: 4}},
		&gossip.Buckets{Buckets: []member.BucketVersions{{Bucket: 9, Versions: versions}}}, &gossip.Done{Busy: true},
		&gossip.Advisories{Complete: true, Advisories: []advisory.Aged{
			{Advisory: advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 1 << 63}, Age: 2 * time.Second},
		}},
	}
}

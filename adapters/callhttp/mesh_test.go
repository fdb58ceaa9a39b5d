package callhttp_test

import (
	"context"
	"testing"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/idempotency"
)

func TestAnotherMeshIsRefused(t *testing.T) {
	s := startScript(t, serveIDs)
	daemon := startDaemon(t, s.address)
	f := callhttp.NewForwarder(nil)
	defer f.Close()
	f.Mesh = "other"
	_, err := f.Forward(context.Background(), daemon, request("r1", true))
	if got := failureOf(t, err); got.Verdict != call.NotRun || got.Reason != call.Misdirected {
		t.Errorf("got %v", got)
	}
	if n := s.ran.Load(); n != 0 {
		t.Errorf("%d calls ran", n)
	}
	if _, err := f.Begin(context.Background(), daemon, &idempotency.Begin{}); err == nil {
		t.Error("a message of another mesh was taken")
	}
}

package callhttp_test

import (
	"context"
	"testing"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/idempotency"
)

func TestDaemonHandlerOtherMeshIsRefused(t *testing.T) {
	s := startScriptedServer(t, echoIDs)
	daemon := startDaemon(t, s.address)
	f := callhttp.NewForwarder(nil)
	defer f.Close()
	f.Mesh = "other"
	_, err := f.Forward(context.Background(), daemon, request("r1", true))
	if got := failureOf(t, err); got.Verdict != call.NotRun || got.Reason != call.Misdirected {
		t.Errorf("call to another mesh: got %v, want not-run, misdirected", got)
	}
	if n := s.executions.Load(); n != 0 {
		t.Errorf("backend server ran %d calls, want 0", n)
	}
	if _, err := f.Begin(context.Background(), daemon, &idempotency.Begin{}); err == nil {
		t.Error("control message of another mesh was accepted")
	}
}

package runner

import (
	"context"
	"time"

	"fescuehoist.example/mesh/wait"
	"fescuehoist.example/platform/platformtest"
	"fescuehoist.example/soak/faultproxy"
	"fescuehoist.example/soak/host"
	"fescuehoist.example/soak/plan"
)

// Strengths of the faults.
const (
	// grace is how long a daemon that was told to end may take.
	grace = 6 * time.Second
	// settle is how long after a fault a host counts as disturbed.
	settle = 3 * time.Second
	// peerDelay holds each piece of data between daemons back.
	peerDelay = 60 * time.Millisecond
	slowWork  = 400 * time.Millisecond
	stormGap  = 150 * time.Millisecond
	// drainLimit is how long a leaving backend server serves.
	drainServe = 3 * time.Second
	rollGap    = 300 * time.Millisecond
)

// storeFaults maps kinds of events to faults of the store.
var storeFaults = map[plan.Kind]platformtest.Fault{
	plan.StoreBusy: platformtest.Busy, plan.StoreReset: platformtest.Reset,
	plan.StoreSilent: platformtest.Unresponsive, plan.StoreLost: platformtest.ResponseLost,
}

// peerFaults maps kinds of events to faults of what daemons send a host.
var peerFaults = map[plan.Kind]faultproxy.Fault{
	plan.DelayPeers: {Delay: peerDelay}, plan.CutTo: {CutTo: true}, plan.CutFrom: {CutFrom: true},
	plan.CutBoth: {CutTo: true, CutFrom: true},
}

// bring carries one event out and returns when it is over.
func (r *Run) bring(ctx context.Context, e plan.Event) {
	if fault, ok := storeFaults[e.Kind]; ok {
		r.disturbStore(e.For)
		r.store.SetFault(fault)
		_ = wait.For(ctx, e.For)
		r.store.SetFault(platformtest.NoFault)
		return
	}
	switch e.Kind {
	case plan.StoreForgets:
		r.disturbStore(0)
		r.store.DropHistory()
	case plan.Change:
		r.operator.write()
	case plan.ChangeStorm:
		for until := time.Now().Add(e.For); time.Now().Before(until) && ctx.Err() == nil; _ = wait.For(ctx, stormGap) {
			r.operator.write()
		}
	case plan.Roll:
		for _, i := range e.Hosts {
			r.terminate(r.hosts[i])
			_ = wait.For(ctx, rollGap)
		}
	case plan.HerdKill:
		for _, i := range e.Hosts {
			r.hosts[i].Disturb(time.Now().Add(e.For + settle))
		}
		for _, i := range e.Hosts {
			r.hosts[i].Kill()
		}
		_ = wait.For(ctx, e.For)
		for _, i := range e.Hosts {
			r.start(r.hosts[i])
		}
	default:
		r.harm(ctx, r.hosts[e.Hosts[0]], e)
	}
}

// harm brings one host the event that is meant for it.
func (r *Run) harm(ctx context.Context, h *host.Host, e plan.Event) {
	if fault, ok := peerFaults[e.Kind]; ok {
		h.Disturb(time.Now().Add(e.For + settle))
		h.Calls.Set(fault)
		h.Peers.Set(fault)
		_ = wait.For(ctx, e.For)
		h.Calls.Set(faultproxy.Fault{})
		h.Peers.Set(faultproxy.Fault{})
		return
	}
	switch e.Kind {
	case plan.Terminate:
		r.terminate(h)
		return
	case plan.Reload:
		h.Reload()
		return
	case plan.DrainBackend:
		h.DrainBackend(ctx, drainServe)
		return
	case plan.CrashBackend:
		h.ReplaceBackend(ctx, e.For)
		return
	case plan.ResetBackend:
		h.Server.Reset()
		return
	case plan.SlowBackend:
		b := h.Backend()
		b.SetServiceTime(slowWork)
		_ = wait.For(ctx, e.For)
		b.SetServiceTime(host.WorkTime)
		return
	case plan.FailBackend:
		b := h.Backend()
		b.SetFail(true)
		_ = wait.For(ctx, e.For)
		b.SetFail(false)
		return
	case plan.RefuseBackend:
		b := h.Backend()
		b.SetRefuse(true)
		_ = wait.For(ctx, e.For)
		b.SetRefuse(false)
		return
	}
	h.Disturb(time.Now().Add(e.For + settle))
	switch e.Kind {
	case plan.Kill:
		h.Kill()
		_ = wait.For(ctx, e.For)
		r.start(h)
	case plan.Pause:
		h.Pause(ctx, e.For)
	case plan.SilencePeers:
		h.Calls.Silence()
		h.Peers.Silence()
	case plan.ResetPeers:
		h.Calls.Reset()
		h.Peers.Reset()
	case plan.CutStore:
		h.Store.Set(faultproxy.Fault{CutTo: true, CutFrom: true})
		_ = wait.For(ctx, e.For)
		h.Store.Set(faultproxy.Fault{})
	}
}

// terminate stops a daemon as planned and starts it again.
func (r *Run) terminate(h *host.Host) {
	calm := h.Calm(time.Now())
	if !h.Terminate(grace, settle) && calm {
		r.timed("lost: %s had not ended %s after it was told to", h.Name, grace)
	}
	r.start(h)
}

func (r *Run) start(h *host.Host) {
	if err := h.Start(); err != nil {
		r.ledger.Break("harness: %s did not start: %v", h.Name, err)
	}
}

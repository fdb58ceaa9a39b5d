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

// Parameters of the faults.
const (
	// terminateTimeout is how long a daemon may take to exit after SIGTERM.
	terminateTimeout = 6 * time.Second
	// settleTime is how long after a fault a host or the store still counts as
	// disturbed.
	settleTime = 3 * time.Second
	// peerDelay is added to each chunk of data that other daemons send to a host
	// and to each that it sends back.
	peerDelay = 60 * time.Millisecond
	// slowServiceTime is the service time of a slowed backend server.
	slowServiceTime = 400 * time.Millisecond
	// stormGap is the pause between two writes of a change storm.
	stormGap = 150 * time.Millisecond
	// drainTime is how long a draining backend server goes on serving.
	drainTime = 3 * time.Second
	// rollGap is the pause between two restarts of a rolling restart.
	rollGap = 300 * time.Millisecond
	// copyDowntime is how long the store is away before it comes back from a copy,
	// maxRewriteDelay the longest time until operators have written again what it lost.
	copyDowntime    = 400 * time.Millisecond
	maxRewriteDelay = 500 * time.Millisecond
)

// storeFaults maps kinds of events to faults of the platform's store.
var storeFaults = map[plan.Kind]platformtest.Fault{
	plan.StoreBusy: platformtest.Busy, plan.StoreReset: platformtest.Reset,
	plan.StoreSilent: platformtest.Unresponsive, plan.StoreLost: platformtest.ResponseLost,
}

// peerFaults maps kinds of events to faults of the connections that other
// daemons open to a host.
var peerFaults = map[plan.Kind]faultproxy.Fault{
	plan.DelayPeers: {Delay: peerDelay}, plan.CutTo: {BlockToTarget: true}, plan.CutFrom: {BlockFromTarget: true},
	plan.CutBoth: {BlockToTarget: true, BlockFromTarget: true},
}

// playEvent carries out one event and returns when it is over.
func (r *Runner) playEvent(ctx context.Context, e plan.Event) {
	if fault, ok := storeFaults[e.Kind]; ok {
		r.markStoreDisturbed(e.Length)
		r.store.SetFault(fault)
		_ = wait.For(ctx, e.Length)
		r.store.SetFault(platformtest.NoFault)
		return
	}
	switch e.Kind {
	case plan.StoreForgets:
		r.markStoreDisturbed(0)
		r.store.DropHistory()
	case plan.StoreCopy:
		r.playStoreCopy(ctx, e.Length)
	case plan.Change:
		r.operator.writeVersion()
	case plan.ChangeStorm:
		for until := time.Now().Add(e.Length); time.Now().Before(until) && ctx.Err() == nil; _ = wait.For(ctx, stormGap) {
			r.operator.writeVersion()
		}
	case plan.ReplaceKey:
		r.operator.replaceKey()
	case plan.LowerAllowance:
		r.operator.lowerAllowance()
	case plan.Rollout, plan.BadRollout:
		r.playRollout(ctx, e.Length, e.Kind == plan.BadRollout)
	case plan.Roll:
		for _, i := range e.Hosts {
			r.restartHost(r.hosts[i])
			_ = wait.For(ctx, rollGap)
		}
	case plan.HerdKill:
		for _, i := range e.Hosts {
			r.hosts[i].MarkDisturbed(time.Now().Add(e.Length + settleTime))
		}
		for _, i := range e.Hosts {
			r.hosts[i].Kill()
		}
		_ = wait.For(ctx, e.Length)
		for _, i := range e.Hosts {
			r.startHost(r.hosts[i])
		}
	default:
		r.playHostEvent(ctx, r.hosts[e.Hosts[0]], e)
	}
}

// playStoreCopy copies the store, and brings it back from the copy after a time. What
// operators wrote since is written again at once or a little later.
func (r *Runner) playStoreCopy(ctx context.Context, age time.Duration) {
	c := r.store.Copy()
	_ = wait.For(ctx, age)
	r.markStoreDisturbed(copyDowntime)
	r.store.SetFault(platformtest.Reset)
	_ = wait.For(ctx, copyDowntime)
	rewrite := r.store.RestoreBeforeRewrite(c)
	r.store.SetFault(platformtest.NoFault)
	_ = wait.For(ctx, age%maxRewriteDelay)
	rewrite()
}

// playHostEvent carries out an event that affects a single host.
func (r *Runner) playHostEvent(ctx context.Context, h *host.Host, e plan.Event) {
	if fault, ok := peerFaults[e.Kind]; ok {
		h.MarkDisturbed(time.Now().Add(e.Length + settleTime))
		h.CallProxy.SetFault(fault)
		h.PeerProxy.SetFault(fault)
		_ = wait.For(ctx, e.Length)
		h.CallProxy.SetFault(faultproxy.Fault{})
		h.PeerProxy.SetFault(faultproxy.Fault{})
		return
	}
	switch e.Kind {
	case plan.Terminate:
		r.restartHost(h)
		return
	case plan.Reload:
		h.Reload()
		return
	case plan.DrainBackend:
		h.DrainBackend(ctx, drainTime)
		return
	case plan.CrashBackend:
		h.ReplaceBackend(ctx, e.Length)
		return
	case plan.ResetBackend:
		h.ServerProxy.Reset()
		return
	case plan.SlowBackend:
		b := h.Backend()
		b.SetServiceTime(slowServiceTime)
		_ = wait.For(ctx, e.Length)
		b.SetServiceTime(host.ServiceTime)
		return
	case plan.FailBackend:
		b := h.Backend()
		b.SetFail(true)
		_ = wait.For(ctx, e.Length)
		b.SetFail(false)
		return
	case plan.RefuseBackend:
		b := h.Backend()
		b.SetRefuse(true)
		_ = wait.For(ctx, e.Length)
		b.SetRefuse(false)
		return
	}
	h.MarkDisturbed(time.Now().Add(e.Length + settleTime))
	switch e.Kind {
	case plan.Kill:
		h.Kill()
		_ = wait.For(ctx, e.Length)
		r.startHost(h)
	case plan.Pause:
		h.Pause(ctx, e.Length)
	case plan.SilencePeers:
		h.CallProxy.Blackhole()
		h.PeerProxy.Blackhole()
	case plan.ResetPeers:
		h.CallProxy.Reset()
		h.PeerProxy.Reset()
	case plan.CutStore:
		h.StoreProxy.SetFault(faultproxy.Fault{BlockToTarget: true, BlockFromTarget: true})
		_ = wait.For(ctx, e.Length)
		h.StoreProxy.SetFault(faultproxy.Fault{})
	}
}

// restartHost stops a daemon with SIGTERM and starts it again. It is a violation
// if an undisturbed daemon does not exit in time.
func (r *Runner) restartHost(h *host.Host) {
	undisturbed := h.Undisturbed(time.Now())
	if !h.Terminate(terminateTimeout, settleTime) && undisturbed {
		r.recordTimeViolation("lost: the daemon of %s was still running %s after SIGTERM", h.Name, terminateTimeout)
	}
	r.startHost(h)
}

// startHost starts a daemon unless it is running.
func (r *Runner) startHost(h *host.Host) {
	if err := h.Start(); err != nil {
		r.checker.RecordViolation("harness: start the daemon of %s: %v", h.Name, err)
	}
}

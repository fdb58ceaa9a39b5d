package daemon

import (
	"cmp"
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/adminhttp"
	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/peergrpc"
	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/configwatch"
	"fescuehoist.example/mesh/discover"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/rollout"
	"fescuehoist.example/platform"
)

// drainDelayPeriod is how long a stopping daemon continues to serve: callers check
// its readiness once a second and leave after two failed checks.
const drainDelayPeriod = 1500 * time.Millisecond

// objectPlatform adapts the daemon to a platform with an object store, through which
// daemons discover each other.
type objectPlatform struct {
	d             *Daemon
	store         *platform.Store
	watcher       *configwatch.Watcher
	discovery     *discover.Finder
	reportHandler *platform.ReportHandler
}

// verifyShare is the part of the time within which revoked keys must be refused after which
// a daemon asks the store whether its configuration is the newest. Keys are owed service
// until the store has been out of reach for the rest of that time.
const verifyShare = 0.4

func newObjectPlatform(d *Daemon) *objectPlatform {
	s := d.cfg.Settings
	self := member.ServerID(s.Server)
	o := &objectPlatform{d: d, store: platform.NewStore(s.Platform, d.transport.dialPlatform, d.epochs)}
	o.store.OnMalformed(d.logMalformed)
	disbelieved := &throttledLog{logger: d.partLogger("platform")}
	o.store.OnDisbelieved(func(err error) { disbelieved.warnf("not believing the platform's store: %v", err) })
	d.configs.ApplyByService()
	d.cfg.ConfigWatch.VerifyAge = time.Duration(verifyShare * float64(s.Accounts.RevokeWithin))
	o.watcher = configwatch.New(d.cfg.ConfigWatch, self, s.Domain, &platform.ConfigurationSource{Store: o.store},
		d.members, d.configs, d.announcer, d.partLogger("feed"))
	logger := d.partLogger("discover")
	registry := &platform.Registry{Store: o.store, OnUnreadable: func(name string, err error) {
		logger.Warnf("skipping entry %.80q, which cannot be decoded: %v", name, err)
	}}
	own := discover.Entry{Server: self, Domain: s.Domain, PeerAddress: cmp.Or(s.AdvertisePeers, d.listeners.Peers.Addr().String())}
	o.discovery = discover.New(d.cfg.Discover, own, registry, d.node, &sweeper{self: self, members: d.members}, d.advisories, logger)
	o.discovery.Epochs = d.epochs
	o.watcher.Neighborhood = o.discovery
	rejected := &throttledLog{logger: d.partLogger("announce")}
	unconfirmed := &throttledLog{logger: d.partLogger("announce")}
	o.reportHandler = &platform.ReportHandler{Announcer: d.announcer, Service: s.Service, Address: s.Backend,
		OnRejected: func(instance string, err error) {
			rejected.warnf("rejected status report of instance %.80q: %v", instance, err)
		},
		OnUnconfirmed: func(instance string, err error) {
			unconfirmed.warnf("not confirming that instance %.80q leaves: %v", instance, err)
		}}
	return o
}

func (o *objectPlatform) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return o.logEpochs(ctx) })
	g.Go(func() error { return o.watcher.Run(ctx) })
	g.Go(func() error { return o.discovery.Run(ctx) })
	if ln := o.d.listeners.Announcements; ln != nil {
		g.Go(func() error {
			return o.d.smallServer(adminhttp.NewHandler(o.reportHandler.Handle), "announce").Run(ctx, ln)
		})
	}
	if ln := o.d.listeners.Ready; ln != nil {
		g.Go(func() error {
			return o.d.smallServer(adminhttp.NewHandler(o.d.admin().HandleReady), "ready").Run(ctx, ln)
		})
	}
}

// logEpochs logs each later epoch of the store until ctx ends.
func (o *objectPlatform) logEpochs(ctx context.Context) error {
	logger := o.d.partLogger("platform")
	for known := uint64(0); ; {
		epoch, err := o.d.epochs.AwaitAfter(ctx, known)
		if err != nil {
			return nil
		}
		if known > 0 {
			logger.Warnf("the platform's store came back from an older copy: epoch %d, previously %d; known version %d", epoch, known, o.d.configs.KnownVersion())
		}
		known = epoch
	}
}

func (o *objectPlatform) dialect() callhttp.Dialect { return platform.Dialect{} }

// registered returns the number of daemons in the platform's store as last read.
func (o *objectPlatform) registered() int { return o.discovery.Registered() }

func (o *objectPlatform) services() []peergrpc.Service { return nil }

func (o *objectPlatform) orders() rollout.Orders { return &platform.Rollouts{Store: o.store} }

func (o *objectPlatform) joinQuorum() int { return 0 }

func (o *objectPlatform) drainDelay() time.Duration { return drainDelayPeriod }

func (o *objectPlatform) killsAfterDrainTimeout() bool { return true }

func (o *objectPlatform) metrics() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.platform.calls.failed", Description: "Calls to the platform without a usable response.", Monotonic: true,
			Read: func() []telemetry.Point { return telemetry.SinglePoint(o.store.FailedCalls()) }},
		{Name: "fescuehoist.platform.epoch", Description: "Latest known epoch of the platform's store, which rises when it comes back from an older copy; 0 if it counts none.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(o.d.epochs.Latest()) }},
		{Name: "fescuehoist.platform.answers.disbelieved", Description: "Answers of the platform's store that were not believed, since their epoch was unknown or an earlier one.", Monotonic: true,
			Read: func() []telemetry.Point { return telemetry.SinglePoint(o.store.DisbelievedAnswers()) }},
		{Name: "fescuehoist.version.confirmation.age", Unit: "ms", Description: "Age of the latest confirmation that the known configuration version is the newest; no point before the first one.",
			Read: o.confirmationAge},
		{Name: "fescuehoist.version.verification.age", Unit: "ms", Description: "Age of the latest proof that the known configuration version was the newest, by a clock that counts suspension; no point before the first one.",
			Read: o.verificationAge},
	}
}

func (o *objectPlatform) confirmationAge() []telemetry.Point {
	c := o.d.configs.Confirmation()
	if c.Number == 0 {
		return nil
	}
	return telemetry.SinglePoint(uint64(time.Since(c.At).Milliseconds()))
}

func (o *objectPlatform) verificationAge() []telemetry.Point {
	_, age, known := o.d.configs.VerificationAge()
	if !known {
		return nil
	}
	return telemetry.SinglePoint(uint64(age.Milliseconds()))
}

func (o *objectPlatform) platformCalls() uint64 { return o.store.Calls() }

func (o *objectPlatform) close() { o.store.Close() }

// sweeper decides which daemon removes the discovery entries of daemons that
// are gone.
type sweeper struct {
	self    member.ServerID
	members *member.Table
}

// IsSweeper reports whether this daemon is the first by name among the live ones.
func (s *sweeper) IsSweeper() bool {
	for _, r := range s.members.View().All() {
		if !r.Terminal() {
			return r.Server == s.self
		}
	}
	return false
}

// Gone reports whether a daemon has left, has failed or is unknown.
func (s *sweeper) Gone(server member.ServerID) bool {
	r, known := s.members.Get(server)
	return !known || r.Terminal()
}

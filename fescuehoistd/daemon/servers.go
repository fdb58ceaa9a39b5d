package daemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/adapters/adminhttp"
	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/adapters/telemetry"
)

// callerServer returns the server for calls from callers.
func (d *Daemon) callerServer() *httpconn.Server {
	s := d.cfg.Settings
	return d.newServer(&callhttp.CallerHandler{Handler: d.outbound, Refuser: d.outbound, Dialect: d.platformAdapter.dialect(), Origin: s.Service, Bodies: d.inbound}, 0, "callers", callerIdleAge)
}

// daemonServer returns the server for calls from other daemons.
func (d *Daemon) daemonServer() *httpconn.Server {
	s := d.cfg.Settings
	control := &callhttp.ControlHandler{Ledger: d.ledger, Runner: d.idempotency, Tracker: d.quarantineTracker}
	server := d.newServer(&callhttp.DaemonHandler{Mesh: s.Mesh, Handler: d.inbound, Control: control, Bodies: d.inbound}, s.ProgressInterval, "calls", daemonIdleAge)
	server.SetMaxHead(httpconn.MaxHeaderSize + forwardFieldBytes)
	return server
}

// forwardFieldBytes is the room for the fields that a daemon adds to the head of a call
// which it forwards, in bytes. Without it a head of the largest size that callers may send
// would be refused by the next daemon.
const forwardFieldBytes = 4 << 10

// The connections of callers and those of other daemons may each use one part in
// descriptorDivisor of the file descriptors allowed by the settings, and at least
// minServerDescriptors. The rest is for the connections that the daemon opens.
const (
	descriptorDivisor    = 3
	minServerDescriptors = 16
)

// The answers that are read at the same time may have one part in
// answerMemoryDivisor of the memory that the process may take. One of unknown length is
// read in blocks, which are joined at the end; this takes its size once more.
const answerMemoryDivisor = 8

// The request bodies that one of the two servers for calls holds at the same time may
// have one part in bodyMemoryDivisor of the memory that the process may take.
const bodyMemoryDivisor = 8

// The requests that all servers hold, without long bodies, and the answers that wait to be
// written, may each have one part in requestMemoryDivisor of that memory.
const requestMemoryDivisor = 8

// Connections that have been idle for callerIdleAge or daemonIdleAge may be closed to
// make room. A daemon sends no request that must not run twice on a connection that
// was idle for as long, since it could not tell whether it was read.
const (
	callerIdleAge = time.Second
	daemonIdleAge = httpconn.MaxIdleAgeNonIdempotent + time.Second
)

func (d *Daemon) newServer(h httpconn.Handler, progress time.Duration, name string, minIdleAge time.Duration) *httpconn.Server {
	server := httpconn.NewServer(h, progress)
	if n := d.cfg.Settings.Limits.Descriptors; n > 0 {
		server.SetMaxConnections(max(n/descriptorDivisor, minServerDescriptors), minIdleAge)
	}
	server.SetBodyBudget(d.cfg.Settings.Limits.Memory() / bodyMemoryDivisor)
	d.limitServer(server, name)
	return server
}

// The admin, readiness and announcement addresses have a few clients each: the backend
// server, checks of readiness, and operators. Each address may use one part in
// smallDescriptorDivisor of the file descriptors allowed by the settings, at least
// minServerDescriptors, and smallConnections if there is no limit.
const (
	smallDescriptorDivisor = 64
	smallConnections       = 256
)

// smallServer returns the server of an address that is not for calls.
func (d *Daemon) smallServer(h httpconn.Handler, name string) *httpconn.Server {
	server := httpconn.NewServer(h, 0)
	connections := smallConnections
	if n := d.cfg.Settings.Limits.Descriptors; n > 0 {
		connections = max(n/smallDescriptorDivisor, minServerDescriptors)
	}
	server.SetMaxConnections(connections, callerIdleAge)
	server.SetMaxBody(adminhttp.MaxBodySize)
	d.limitServer(server, name)
	return server
}

// limitServer bounds the memory of a server's requests, and logs what its limits do.
func (d *Daemon) limitServer(server *httpconn.Server, name string) {
	server.SetRequestMemory(d.requestMemory)
	d.servers.add(server)
	logger := d.partLogger(name)
	server.OnCrowded(func(limit int, total httpconn.Crowding) {
		logger.WithFields(logrus.Fields{"limit": limit, "closed_idle": total.ClosedIdle, "closed_slow": total.ClosedSlow, "refused": total.Refused, "dropped": total.Dropped}).
			Warn("too many connections are open; counts since the start")
	})
	server.OnShortMemory(func(total httpconn.Crowding) {
		logger.WithFields(logrus.Fields{"refused_memory": total.RefusedMemory, "lost_answers": total.LostAnswers}).
			Warn("no memory for more requests or answers; counts since the start")
	})
	server.OnAcceptError(func(err error) { logger.Warnf("cannot accept a connection, retrying: %v", err) })
}

func (d *Daemon) admin() *adminhttp.Server {
	return &adminhttp.Server{
		Announcer: d.announcer,
		Metrics:   d.metrics.Handler(),
		State:     func() any { return d.State() },
		Placer:    d.explainer(),
		Ready:     func() bool { return d.configs.Snapshot().Version() > 0 && !d.draining.Load() },
	}
}

// serverList is the servers of a daemon that share its memory and whose counts are metrics.
type serverList struct {
	mu   sync.Mutex
	list []*httpconn.Server
}

func (l *serverList) add(s *httpconn.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}

// makeMemoryRoom closes connections whose clients hold memory and are slow.
func (l *serverList) makeMemoryRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.list {
		s.MakeMemoryRoom()
	}
}

// limited returns how often clients met a limit of a server, by cause.
func (l *serverList) limited() []telemetry.Point {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum httpconn.Crowding
	for _, s := range l.list {
		sum.Add(s.Crowding())
	}
	return []telemetry.Point{
		{Label: "closed-idle", Value: sum.ClosedIdle}, {Label: "closed-slow", Value: sum.ClosedSlow},
		{Label: "refused-connection", Value: sum.Refused}, {Label: "dropped", Value: sum.Dropped},
		{Label: "refused-memory", Value: sum.RefusedMemory}, {Label: "lost-answer", Value: sum.LostAnswers},
	}
}

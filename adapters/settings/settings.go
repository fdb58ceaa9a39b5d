// Package settings reads and checks the settings file of fescuehoistd.
package settings

import (
	"cmp"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/adapters/tomlfile"
	"fescuehoist.example/mesh/target"
)

// Settings is the configuration of one daemon at its start.
type Settings struct {
	// Server is the name of the backend server beside the daemon, Domain its
	// failure domain.
	Server, Domain string
	// Mesh is the name of the mesh that the daemon belongs to.
	Mesh string
	// Listen addresses: Callers for calls from callers, Calls for calls from
	// other daemons, Peers for their gossip streams, Admin for announcements
	// and the daemon's state.
	Callers, Calls, Peers, Admin string
	// AdvertiseCalls and AdvertisePeers are the addresses of Calls and Peers
	// that the daemon announces to other daemons. Empty means the address of
	// the listening socket.
	AdvertiseCalls, AdvertisePeers string
	// Service is the service of the backend server beside the daemon, Backend
	// its address. Empty ones are taken from the server's announcements.
	Service, Backend string
	// FixedSlots sets the concurrency limit to the number of slots of the
	// backend server instead of adapting it to the duration of calls.
	FixedSlots bool
	// Announcements is a listen address for status reports apart from Admin,
	// Ready one for the readiness check. Empty means no listener.
	Announcements, Ready string
	// Platform is the address of the platform's object API.
	Platform string
	// API is the protocol of the platform.
	API API
	// ProgressInterval is the time between interim answers to forwarded calls;
	// 0 means none.
	ProgressInterval time.Duration
	// Retry bounds the retries of all daemons together.
	Retry Retry
	// Hedge bounds the copies of slow calls.
	Hedge Hedge
	// Accounts bounds how client accounts are served.
	Accounts Accounts
	// Rollouts bounds what bad releases get; without it no orders are followed.
	Rollouts Rollouts
	// Limits are the resource limits of the daemon's process.
	Limits Limits
	// TLS defines which connections use TLS.
	TLS TLS
	// Seeds are the peer addresses of the daemons to contact first.
	Seeds []string
	// AnnounceLifetime is how long an announcement of the backend server stays
	// valid without being repeated.
	AnnounceLifetime time.Duration
	// DrainTimeout is the maximum time that a planned stop waits for running
	// calls.
	DrainTimeout time.Duration
	// LogLevel is the lowest severity that is logged.
	LogLevel logrus.Level
}

// API is the name of a platform protocol.
type API string

// Platform protocols.
const (
	// Native is fescuehoist's own protocol, described in docs/platform-api.md.
	Native API = "native"
	// Objects is an object store with watches, described in docs/platform.md.
	Objects API = "objects"
)

// Retry bounds the retries that reach backend servers of one service.
type Retry struct {
	// Share is the number of retries that each call adds to the budget.
	Share float64
	// Burst is the maximum budget of all daemons together, in retries.
	Burst float64
}

// Hedge bounds the copies of slow calls.
type Hedge struct {
	// Share is the number of copies that each call adds to the budget; 0 means no copies.
	Share float64
}

// Accounts bounds how client accounts are served.
type Accounts struct {
	// RevokeWithin is the time within which every daemon refuses a revoked API key, whether
	// it reaches the platform or not; 0 means no bound.
	RevokeWithin time.Duration
	// Window is the time over which the requests of an account are counted against its
	// allowance.
	Window time.Duration
}

// Rollouts bounds the requests that a bad release of a service gets while it is rolled out.
type Rollouts struct {
	// ExposureShare is the share of the requests to the service that it gets; 0 means that
	// no orders of rollouts are followed. ExposureSlack is a number of requests beyond that.
	ExposureShare, ExposureSlack float64
	// RollbackWithin is the time after the 50th bad answer within which it gets its last
	// request.
	RollbackWithin time.Duration
}

// Enabled reports whether orders of rollouts are followed.
func (r *Rollouts) Enabled() bool { return r.ExposureShare > 0 }

// Limits are the resource limits of the daemon's process; 0 means none.
type Limits struct {
	// MemoryBytes is the maximum memory, in bytes; 0 means DefaultMemoryBytes.
	MemoryBytes int64
	// Descriptors is the maximum number of open files and sockets.
	Descriptors int
	// LinkMbps is the bandwidth of the host's network link in Mbit/s.
	LinkMbps int
}

// Memory returns the memory that the process may take, in bytes.
func (l *Limits) Memory() int64 { return cmp.Or(l.MemoryBytes, DefaultMemoryBytes) }

// MaxSeeds is the maximum number of seeds.
const MaxSeeds = 64

// Defaults and bounds of optional settings.
const (
	DefaultMesh             = "mesh"
	DefaultAnnounceLifetime = 3 * time.Second
	DefaultDrainTimeout     = 30 * time.Second
	DefaultProgressInterval = 50 * time.Millisecond
	DefaultRetryShare       = 0.08
	DefaultAccountWindow    = 5 * time.Second
	DefaultExposureSlack    = 50
	DefaultRollbackWithin   = 5 * time.Second
	maxExposureSlack        = 1e6
	maxRetryBurst           = 100_000
	minMemoryMB             = 32
	// DefaultMemoryBytes is the memory that the process may take without a setting.
	DefaultMemoryBytes int64 = 1 << 30
	minDescriptors           = 64
	maxLinkMbps              = 1_000_000
	minDuration              = 100 * time.Millisecond
	maxDuration              = time.Hour
)

type fileTOML struct {
	Server struct {
		Name   string `toml:"name"`
		Domain string `toml:"domain"`
		Mesh   string `toml:"mesh"`
		// Service is the service of the backend server.
		Service string `toml:"service"`
	} `toml:"server"`
	Listen struct {
		Callers       string `toml:"callers"`
		Calls         string `toml:"calls"`
		Peers         string `toml:"peers"`
		Admin         string `toml:"admin"`
		Announcements string `toml:"announcements"`
		Ready         string `toml:"ready"`
	} `toml:"listen"`
	Advertise struct {
		Calls string `toml:"calls"`
		Peers string `toml:"peers"`
	} `toml:"advertise"`
	Platform struct {
		Address string `toml:"address"`
		API     string `toml:"api"`
	} `toml:"platform"`
	Calls struct {
		Progress string `toml:"progress"`
	} `toml:"calls"`
	Retry struct {
		Share float64 `toml:"share"`
		Burst float64 `toml:"burst"`
	} `toml:"retry"`
	Hedge struct {
		Share float64 `toml:"share"`
	} `toml:"hedge"`
	Accounts struct {
		RevokeWithin string `toml:"revoke_within"`
		Window       string `toml:"window"`
	} `toml:"accounts"`
	Rollouts struct {
		ExposureShare  float64 `toml:"exposure_share"`
		ExposureSlack  float64 `toml:"exposure_slack"`
		RollbackWithin string  `toml:"rollback_within"`
	} `toml:"rollouts"`
	Limits struct {
		MemoryMB    int     `toml:"memory_mb"`
		Descriptors int     `toml:"descriptors"`
		LinkMbps    float64 `toml:"link_mbps"`
	} `toml:"limits"`
	TLS   tlsTOML `toml:"tls"`
	Peers struct {
		Seeds []string `toml:"seeds"`
	} `toml:"peers"`
	Backend struct {
		Address          string `toml:"address"`
		FixedSlots       bool   `toml:"fixed_slots"`
		AnnounceLifetime string `toml:"announce_lifetime"`
		DrainTimeout     string `toml:"drain_timeout"`
	} `toml:"backend"`
	Log struct {
		Level string `toml:"level"`
	} `toml:"log"`
}

// Load reads and checks a settings file. The error lists every problem with its
// line and key.
func Load(name string) (*Settings, error) {
	data, err := tomlfile.Read(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, data)
}

// Parse reads and checks settings from data. name is the file name in problems.
func Parse(name string, data []byte) (*Settings, error) {
	var in fileTOML
	f := tomlfile.Decode(name, data, &in)
	if f.Undecodable() {
		return nil, f.Err()
	}
	s := &Settings{
		Server:   checkName(f, "server.name", in.Server.Name),
		Domain:   checkName(f, "server.domain", in.Server.Domain),
		Mesh:     checkMesh(f, in.Server.Mesh),
		Callers:  checkAddress(f, "listen.callers", in.Listen.Callers),
		Calls:    checkAddress(f, "listen.calls", in.Listen.Calls),
		Peers:    checkAddress(f, "listen.peers", in.Listen.Peers),
		Admin:    checkAddress(f, "listen.admin", in.Listen.Admin),
		Platform: checkAddress(f, "platform.address", in.Platform.Address),
		API:      checkAPI(f, in.Platform.API),

		Service:          checkOptional(in.Server.Service, func(t string) string { return checkService(f, "server.service", t) }),
		Backend:          checkOptional(in.Backend.Address, func(t string) string { return checkAddress(f, "backend.address", t) }),
		Announcements:    checkOptional(in.Listen.Announcements, func(t string) string { return checkAddress(f, "listen.announcements", t) }),
		Ready:            checkOptional(in.Listen.Ready, func(t string) string { return checkAddress(f, "listen.ready", t) }),
		AdvertiseCalls:   checkOptional(in.Advertise.Calls, func(t string) string { return checkAddress(f, "advertise.calls", t) }),
		AdvertisePeers:   checkOptional(in.Advertise.Peers, func(t string) string { return checkAddress(f, "advertise.peers", t) }),
		FixedSlots:       in.Backend.FixedSlots,
		ProgressInterval: checkProgress(f, in.Calls.Progress),
		Retry: Retry{
			Share: checkNumber(f, "retry.share", in.Retry.Share, DefaultRetryShare, 1),
			Burst: checkNumber(f, "retry.burst", in.Retry.Burst, 0, maxRetryBurst),
		},
		Hedge: Hedge{Share: checkNumber(f, "hedge.share", in.Hedge.Share, 0, 1)},
		Accounts: Accounts{
			RevokeWithin: checkDuration(f, "accounts.revoke_within", in.Accounts.RevokeWithin, 0),
			Window:       checkDuration(f, "accounts.window", in.Accounts.Window, DefaultAccountWindow),
		},
		Rollouts: Rollouts{
			ExposureShare:  checkNumber(f, "rollouts.exposure_share", in.Rollouts.ExposureShare, 0, 1),
			ExposureSlack:  checkNumber(f, "rollouts.exposure_slack", in.Rollouts.ExposureSlack, DefaultExposureSlack, maxExposureSlack),
			RollbackWithin: checkDuration(f, "rollouts.rollback_within", in.Rollouts.RollbackWithin, DefaultRollbackWithin),
		},
		Limits: Limits{
			MemoryBytes: int64(checkCount(f, "limits.memory_mb", in.Limits.MemoryMB, minMemoryMB)) << 20,
			Descriptors: checkCount(f, "limits.descriptors", in.Limits.Descriptors, minDescriptors),
			LinkMbps:    int(checkNumber(f, "limits.link_mbps", in.Limits.LinkMbps, 0, maxLinkMbps)),
		},

		TLS: checkTLS(f, &in.TLS, in.Platform.Address),

		AnnounceLifetime: checkDuration(f, "backend.announce_lifetime", in.Backend.AnnounceLifetime, DefaultAnnounceLifetime),
		DrainTimeout:     checkDuration(f, "backend.drain_timeout", in.Backend.DrainTimeout, DefaultDrainTimeout),
		LogLevel:         checkLevel(f, "log.level", in.Log.Level),
	}
	if len(in.Peers.Seeds) > MaxSeeds {
		f.AddProblem("peers.seeds", fmt.Sprintf("%d seeds; write at most %d", len(in.Peers.Seeds), MaxSeeds))
		in.Peers.Seeds = nil
	}
	for _, seed := range in.Peers.Seeds {
		s.Seeds = append(s.Seeds, checkAddress(f, "peers.seeds", seed))
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func checkOptional(text string, check func(string) string) string {
	if text == "" {
		return ""
	}
	return check(text)
}

func checkAPI(f *tomlfile.File, text string) API {
	switch api := API(text); api {
	case "", Native:
		return Native
	case Objects:
		return api
	}
	f.AddProblem("platform.api", fmt.Sprintf("%.40q; write %q or %q", text, Native, Objects))
	return Native
}

// progressOff turns interim answers off.
const progressOff = "off"

func checkProgress(f *tomlfile.File, text string) time.Duration {
	switch text {
	case "":
		return DefaultProgressInterval
	case progressOff:
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < time.Millisecond || d > maxDuration {
		f.AddProblem("calls.progress", fmt.Sprintf("%.80q; write \"off\" or a duration, such as \"50ms\"", text))
	}
	return d
}

func checkNumber(f *tomlfile.File, key string, n, defaultValue, maximum float64) float64 {
	if n == 0 {
		return defaultValue
	}
	if !(n > 0 && n <= maximum) {
		f.AddProblem(key, fmt.Sprintf("%v; write a number above 0 and up to %v", n, maximum))
	}
	return n
}

func checkCount(f *tomlfile.File, key string, n, minimum int) int {
	if n != 0 && n < minimum {
		f.AddProblem(key, fmt.Sprintf("%d; write at least %d, or leave it out", n, minimum))
	}
	return n
}

func checkMesh(f *tomlfile.File, text string) string {
	if text == "" {
		return DefaultMesh
	}
	return checkName(f, "server.mesh", text)
}

func checkName(f *tomlfile.File, key, text string) string {
	if !target.ValidName(text) {
		f.AddProblem(key, fmt.Sprintf("%.80q; write 1 to %d of a-z, 0-9 and -, with a letter first", text, target.MaxNameLength))
	}
	return text
}

// checkService takes any name that daemons can use, since a platform may give the services
// their names.
func checkService(f *tomlfile.File, key, text string) string {
	if !target.UsableService(text) {
		f.AddProblem(key, fmt.Sprintf("%.80q; write 1 to %d bytes without control characters, and no space at either end", text, target.MaxServiceNameLength))
	}
	return text
}

func checkAddress(f *tomlfile.File, key, text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		f.AddProblem(key, fmt.Sprintf("%.80q; write an IP address and a port, such as \"10.0.0.7:7100\"", text))
	}
	return text
}

func checkDuration(f *tomlfile.File, key, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minDuration || d > maxDuration {
		f.AddProblem(key, fmt.Sprintf("%.80q; write a duration from %s to %s, such as \"3s\"", text, minDuration, maxDuration))
	}
	return d
}

func checkLevel(f *tomlfile.File, key, text string) logrus.Level {
	if text == "" {
		return logrus.InfoLevel
	}
	level, err := logrus.ParseLevel(text)
	if err != nil {
		f.AddProblem(key, fmt.Sprintf("%.80q; write debug, info, warning or error", text))
	}
	return level
}

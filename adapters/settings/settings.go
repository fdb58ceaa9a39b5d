// Package settings reads the settings of fescuehoistd.
package settings

import (
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/adapters/tomlfile"
	"fescuehoist.example/mesh/target"
)

// Settings are what one daemon is told at its start.
type Settings struct {
	// Server names the backend server beside the daemon; Domain is its
	// failure domain.
	Server, Domain string
	// Mesh names the mesh that the daemon belongs to.
	Mesh string
	// Callers takes calls from callers, Calls from other daemons; Peers takes
	// their streams; Admin takes announcements and shows the state.
	Callers, Calls, Peers, Admin string
	// Platform is the address of the platform's object API.
	Platform string
	// TLS says how connections are protected.
	TLS TLS
	// Seeds are peer addresses of other daemons to ask first.
	Seeds []string
	// AnnounceLifetime is how long an announcement of the backend server
	// counts without being repeated.
	AnnounceLifetime time.Duration
	// DrainTimeout bounds how long a planned stop waits for running calls.
	DrainTimeout time.Duration
	// LogLevel is the least severe level that is logged.
	LogLevel logrus.Level
}

// MaxSeeds is the number of seeds that may be set.
const MaxSeeds = 64

// Defaults of settings that may be left out.
const (
	DefaultMesh             = "mesh"
	DefaultAnnounceLifetime = 3 * time.Second
	DefaultDrainTimeout     = 30 * time.Second
	minLifetime             = 100 * time.Millisecond
	maxLifetime             = time.Hour
)

type fileTOML struct {
	Server struct {
		Name   string `toml:"name"`
		Domain string `toml:"domain"`
		Mesh   string `toml:"mesh"`
	} `toml:"server"`
	Listen struct {
		Callers string `toml:"callers"`
		Calls   string `toml:"calls"`
		Peers   string `toml:"peers"`
		Admin   string `toml:"admin"`
	} `toml:"listen"`
	Platform struct {
		Address string `toml:"address"`
	} `toml:"platform"`
	TLS   tlsTOML `toml:"tls"`
	Peers struct {
		Seeds []string `toml:"seeds"`
	} `toml:"peers"`
	Backend struct {
		AnnounceLifetime string `toml:"announce_lifetime"`
		DrainTimeout     string `toml:"drain_timeout"`
	} `toml:"backend"`
	Log struct {
		Level string `toml:"level"`
	} `toml:"log"`
}

// Load reads a settings file and checks it whole.
func Load(name string) (*Settings, error) {
	data, err := tomlfile.Read(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, data)
}

// Parse reads settings from data; name is used in problems.
func Parse(name string, data []byte) (*Settings, error) {
	var in fileTOML
	f := tomlfile.Decode(name, data, &in)
	if f.Broken() {
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

		TLS: checkTLS(f, &in.TLS, in.Platform.Address),

		AnnounceLifetime: checkDuration(f, "backend.announce_lifetime", in.Backend.AnnounceLifetime, DefaultAnnounceLifetime),
		DrainTimeout:     checkDuration(f, "backend.drain_timeout", in.Backend.DrainTimeout, DefaultDrainTimeout),
		LogLevel:         checkLevel(f, "log.level", in.Log.Level),
	}
	if len(in.Peers.Seeds) > MaxSeeds {
		f.Add("peers.seeds", fmt.Sprintf("%d seeds; write at most %d", len(in.Peers.Seeds), MaxSeeds))
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

func checkMesh(f *tomlfile.File, text string) string {
	if text == "" {
		return DefaultMesh
	}
	return checkName(f, "server.mesh", text)
}

func checkName(f *tomlfile.File, key, text string) string {
	if !target.ValidName(text) {
		f.Add(key, fmt.Sprintf("%.80q; write 1 to %d of a-z, 0-9 and -, with a letter first", text, target.MaxNameLength))
	}
	return text
}

func checkAddress(f *tomlfile.File, key, text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		f.Add(key, fmt.Sprintf("%.80q; write an IP number and a port, such as \"10.0.0.7:7100\"", text))
	}
	return text
}

func checkDuration(f *tomlfile.File, key, text string, absent time.Duration) time.Duration {
	if text == "" {
		return absent
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minLifetime || d > maxLifetime {
		f.Add(key, fmt.Sprintf("%.80q; write a duration from %s to %s, such as \"3s\"", text, minLifetime, maxLifetime))
	}
	return d
}

func checkLevel(f *tomlfile.File, key, text string) logrus.Level {
	if text == "" {
		return logrus.InfoLevel
	}
	level, err := logrus.ParseLevel(text)
	if err != nil {
		f.Add(key, fmt.Sprintf("%.80q; write debug, info, warning or error", text))
	}
	return level
}

package daemon_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/adapters/logging"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/fescuehoistd/daemon"
)

// Guards against a setting that SIGHUP applies but reports as needing a restart, or the
// other way round.
func TestReloadReportsSettingsThatNeedRestart(t *testing.T) {
	const loopback = "127.0.0.1:0"
	set := settings.Settings{
		Server: "lookup-1", Domain: "cairo-a", Callers: loopback, Calls: loopback, Peers: loopback, Admin: loopback,
		Platform: "127.0.0.1:1", AnnounceLifetime: time.Second, DrainTimeout: time.Second,
	}
	listeners, err := daemon.Listen(&set)
	if err != nil {
		t.Fatal(err)
	}
	defer listeners.Close()
	d, err := daemon.New(daemon.DefaultConfig(&set, logging.New(io.Discard, logrus.InfoLevel)), listeners)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func(*settings.Settings)
		want   bool
	}{
		"nothing":     {func(*settings.Settings) {}, false},
		"log.level":   {func(s *settings.Settings) { s.LogLevel = logrus.DebugLevel }, false},
		"retry.share": {func(s *settings.Settings) { s.Retry.Share = 0.1 }, false},
		"hedge.share": {func(s *settings.Settings) { s.Hedge.Share = 0.05 }, false},
		"server.name": {func(s *settings.Settings) { s.Server = "lookup-2" }, true},
	} {
		changed := set
		c.change(&changed)
		if got := d.Reload(&changed); got != c.want {
			t.Errorf("%s: needs a restart: %t, want %t", name, got, c.want)
		}
	}
}

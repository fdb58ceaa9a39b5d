package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/platform/platformtest"
)

// Guards against daemons that do not ask before they send a large body, or that ask where
// no link is known.
func TestLargeBodyIsGrantedByDaemonBesideServer(t *testing.T) {
	for _, mbps := range []int{0, 10} {
		store := platformtest.NewStore()
		defer store.Close()
		limit := func(s *settings.Settings) { s.Limits.LinkMbps = mbps }
		server := startHost(t, store, "host-a", "cairo-a", "lookup", limit)
		sender := startHost(t, store, "host-c", "cairo-a", "archive", limit)
		store.Put("config", "main", configuration(4))
		await(t, "the first route", respondsWith(t, sender, "/search/x", 200))
		req, err := http.NewRequest("POST", "http://"+sender.callers+"/submit/large", strings.NewReader(strings.Repeat("b", 60_000)))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "site.example"
		req.Header.Set(platformtest.HeaderRequestID, "large")
		req.Header.Set(platformtest.HeaderDeadline, "5000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != 200 || !strings.HasSuffix(string(body), " 60000") {
			t.Errorf("%d Mbit/s: got status %d and %q, want an answer to 60000 bytes", mbps, resp.StatusCode, body)
		}
		granted := uint64(0)
		if mbps > 0 {
			granted = 1
		}
		if c := server.daemon.State().Link; c.Granted != granted || c.InTransit != 0 {
			t.Errorf("%d Mbit/s: %+v, want %d granted and none on its way", mbps, c, granted)
		}
	}
}

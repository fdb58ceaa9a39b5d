package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/adapters/settings"
)

func TestLoadExampleFilesSucceeds(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*-*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found %v, error %v, want at least 2 files", files, err)
	}
	for _, path := range files {
		if _, err := settings.Load(path); err != nil {
			t.Error(err)
		}
	}
}

// example returns the text of an example settings file.
func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/nuqta/lookup-1.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestParseInvalidFileListsEveryProblem(t *testing.T) {
	for _, c := range []struct {
		name string
		// replace contains old and new strings for strings.NewReplacer.
		replace []string
		want    []string
	}{
		{"unknown keys and a wrong type", []string{`domain = "cairo-a"`, "domain = 7\nzone = 1", `[log]`, "[logs]\nx = 1\n[log]"}, []string{
			"f:5: server.domain: has the wrong type; write a string in quotes", "f:6: server.zone: unknown key", "logs: unknown table"}},
		{"out of range and malformed", []string{`"30s"`, `"90h"`, `"127.0.0.1:7100"`, `"localhost:7100"`, `"info"`, `"loud"`}, []string{
			"backend.drain_timeout: \"90h\"; write a duration from 100ms to 1h0m0s", "listen.callers: \"localhost:7100\"; write an IP address", "log.level: \"loud\"; write debug"}},
		{"key declared twice", []string{`domain = "cairo-a"`, "domain = \"cairo-a\"\ndomain = \"cairo-b\""}, []string{"f:6: domain: "}},
		{"list instead of table", []string{"[server]", "[[server]]"}, []string{"f:3: server", "write its name in single brackets"}},
		{"rollouts out of range", []string{"[log]", "[rollouts]\nexposure_share = 2\nexposure_slack = -1\nrollback_within = \"1ms\"\n[log]"}, []string{
			"rollouts.exposure_share: 2; write a number above 0 and up to 1", "rollouts.exposure_slack: -1", `rollouts.rollback_within: "1ms"; write a duration`}},
		{"no tls", []string{`daemons = "tls"`, "", `callers = "plain"`, "", `platform = "tls"`, ""}, []string{
			`tls.daemons: ""; write "tls" to protect`, `tls.callers: `, `tls.platform: `}},
		{"no key files", []string{"\ncertificate", "\n#", "\nkey", "\n#", "\nauthority", "\n#", "\nplatform_authority", "\n#"}, []string{
			"tls.certificate: is missing", "tls.key: is missing", "tls.authority: is missing", "tls.platform_authority: is missing"}},
		{"too many seeds", []string{`["127.0.0.1:7202"`, "[" + strings.Repeat(`"127.0.0.1:1",`, 99) + `"127.0.0.1:7202"`}, []string{
			"peers.seeds: 101 seeds; write at most 64"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := settings.Parse("f", []byte(strings.NewReplacer(c.replace...).Replace(example(t))))
			if err == nil || s != nil {
				t.Fatalf("got settings %v, error %v, want only an error", s, err)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("no %q in:\n%v", want, err)
				}
			}
			if c.name != "no tls" && strings.Count(err.Error(), "\n") >= max(len(c.want), 1) {
				t.Errorf("more problems than expected:\n%v", err)
			}
		})
	}
}

func TestParseWithoutTLSTableFails(t *testing.T) {
	text := example(t)
	start, end := strings.Index(text, "[tls]"), strings.Index(text, "[peers]")
	_, err := settings.Parse("f", []byte(text[:start]+text[end:]))
	if err == nil || !strings.Contains(err.Error(), `f: tls.daemons: ""; write "tls"`) {
		t.Errorf("error %v, want one for tls.daemons", err)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(example(f)))
	for _, seed := range []string{"", "=", "[", "[server]\nname=1", "[[server]]", "server = {name = {}}", "a.b.c = 1\n[a.b]", "\"\" = 1", "[tls]\n[tls]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if (s == nil) != (err != nil) {
			t.Errorf("settings %v, error %v, want exactly one of them", s, err)
		}
		reparsed, _ := settings.Parse("f", data)
		if d := cmp.Diff(s, reparsed); d != "" {
			t.Error(d)
		}
	})
}

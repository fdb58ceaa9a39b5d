package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/adapters/settings"
)

func TestExamplesAreGood(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*-*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found %v, error %v", files, err)
	}
	for _, file := range files {
		if _, err := settings.Load(file); err != nil {
			t.Error(err)
		}
	}
}

// example returns the settings of an example.
func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/nuqta/lookup-1.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestProblemsNameFileLineAndKeyAllAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// replace is pairs of texts as for strings.NewReplacer.
		replace []string
		want    []string
	}{
		{"unknown keys and a wrong type", []string{`domain = "cairo-a"`, "domain = 7\nzone = 1", `[log]`, "[logs]\nx = 1\n[log]"}, []string{
			"f:5: server.domain: has the wrong type; write a text in quotes", "f:6: server.zone: unknown key", "logs: unknown table"}},
		{"out of range and malformed", []string{`"30s"`, `"90h"`, `"127.0.0.1:7100"`, `"localhost:7100"`, `"info"`, `"loud"`}, []string{
			"backend.drain_timeout: \"90h\"; write a duration from 100ms to 1h0m0s", "listen.callers: \"localhost:7100\"; write an IP number", "log.level: \"loud\"; write debug"}},
		{"declared twice", []string{`domain = "cairo-a"`, "domain = \"cairo-a\"\ndomain = \"cairo-b\""}, []string{"f:6: domain: "}},
		{"a list where a table is wanted", []string{"[server]", "[[server]]"}, []string{"f:3: server", "write its name in single brackets"}},
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
				t.Fatalf("got settings %v, error %v", s, err)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q is missing from:\n%v", want, err)
				}
			}
			if c.name != "no tls" && strings.Count(err.Error(), "\n") >= max(len(c.want), 1) {
				t.Errorf("more problems than wanted:\n%v", err)
			}
		})
	}
}

func TestSettingsWithoutATableForTLSAreRefused(t *testing.T) {
	text := example(t)
	start, end := strings.Index(text, "[tls]"), strings.Index(text, "[peers]")
	_, err := settings.Parse("f", []byte(text[:start]+text[end:]))
	if err == nil || !strings.Contains(err.Error(), `f: tls.daemons: ""; write "tls"`) {
		t.Errorf("error %v", err)
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
			t.Errorf("settings %v with error %v", s, err)
		}
		again, _ := settings.Parse("f", data)
		if d := cmp.Diff(s, again); d != "" {
			t.Error(d)
		}
	})
}

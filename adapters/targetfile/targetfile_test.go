package targetfile_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/adapters/targetfile"
)

func TestLoadExampleFilesSucceeds(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/targets.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found %v, error %v, want at least 2 files", files, err)
	}
	for _, path := range files {
		if _, err := targetfile.Load(path); err != nil {
			t.Error(err)
		}
	}
}

// example returns the text of an example file of targets.
func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/nuqta/targets.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestParseInvalidFileListsEveryProblem(t *testing.T) {
	text := strings.NewReplacer(
		`rank = 1`, `rank = "first"`, `path = "/search"`, `path = "search"`, `keep = 0.3`, `keep = 0.6`,
		`latency = "300ms"`, `latency = "soon"`, `idempotent = false`, "idempotent = 0\nretries = 3",
		`name = "export"`, `name = ""`, `latency = "2s"`, `latency = "9s"`, `[[service]]`+"\n"+`name = "archive"`, "[[service]]\nname = \"lookup\"",
	).Replace(example(t))
	services, err := targetfile.Parse("f", []byte(text))
	if err == nil || services != nil {
		t.Fatalf("got %d services, error %v, want only an error", len(services), err)
	}
	for _, want := range []string{
		`f:12: service[0].class[0].rank: has the wrong type; write a whole number`,
		`f:11: service[0].class[0].path: "search"; write a path that starts with /`,
		`service[0].class[1].idempotent: has the wrong type; write true or false`,
		`service[0].class[1].retries: unknown key; remove it`,
		`service[0].keep: the classes keep 1.10`,
		`service[1].class[0].latency: "soon" is not a duration; write a number and a unit`,
		`service[1].class[1].name: ""; write 1 to 63`,
		`service[1].class[1].timeout: 5s; write a duration from the latency, 9s`,
		`service[1].name: "lookup" is already declared on line 5`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in:\n%v", want, err)
		}
	}
}

func FuzzTargets(f *testing.F) {
	f.Add([]byte(example(f)))
	for _, seed := range []string{"", "=", "[[service]]", "[[service]]\nname=1\n[[service.class]]", "[[service.class]]\nname=\"a\"", "service = [{name = \"a\"}]", "service = 1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		services, err := targetfile.Parse("f", data)
		if (services == nil) != (err != nil) {
			t.Errorf("%d services, error %v, want exactly one of them", len(services), err)
		}
		if err != nil {
			return
		}
		for _, s := range services {
			if problems := s.Validate(); len(problems) > 0 {
				t.Errorf("accepted a service with problems %v", problems)
			}
		}
		text, err := targetfile.Format(services)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := targetfile.Parse("formatted", []byte(text))
		if d := cmp.Diff(services, reparsed); err != nil || d != "" {
			t.Errorf("parse of the formatted text: error %v, difference %s", err, d)
		}
	})
}

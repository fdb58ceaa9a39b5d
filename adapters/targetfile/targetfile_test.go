package targetfile_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/adapters/targetfile"
)

func TestExamplesAreGood(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/targets.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found %v, error %v", files, err)
	}
	for _, file := range files {
		if _, err := targetfile.Load(file); err != nil {
			t.Error(err)
		}
	}
}

func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/nuqta/targets.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestProblemsNameFileLineAndKeyAllAtOnce(t *testing.T) {
	text := strings.NewReplacer(
		`rank = 1`, `rank = "first"`, `path = "/search"`, `path = "search"`, `keep = 0.3`, `keep = 0.6`,
		`latency = "300ms"`, `latency = "soon"`, `idempotent = false`, "idempotent = 0\nretries = 3",
		`name = "export"`, `name = ""`, `latency = "2s"`, `latency = "9s"`, `[[service]]`+"\n"+`name = "archive"`, "[[service]]\nname = \"lookup\"",
	).Replace(example(t))
	services, err := targetfile.Parse("f", []byte(text))
	if err == nil || services != nil {
		t.Fatalf("got %d services, error %v", len(services), err)
	}
	for _, want := range []string{
		`f:12: service[0].class[0].rank: has the wrong type; write a whole number`,
		`f:11: service[0].class[0].path: "search"; write a path that starts with /`,
		`service[0].class[1].idempotent: has the wrong type; write true or false`,
		`service[0].class[1].retries: unknown key; remove it`,
		`service[0].keep: the classes keep 1.10`,
		`service[1].class[0].latency: "soon" is no duration; write a number and a unit`,
		`service[1].class[1].name: ""; write 1 to 63`,
		`service[1].class[1].timeout: 5s; write a duration from the latency, 9s`,
		`service[1].name: "lookup" is declared on line 5 already`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing from:\n%v", want, err)
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
			t.Errorf("%d services with error %v", len(services), err)
		}
		if err != nil {
			return
		}
		for _, s := range services {
			if problems := s.Validate(); len(problems) > 0 {
				t.Errorf("accepted with problems %v", problems)
			}
		}
		text, err := targetfile.Format(services)
		if err != nil {
			t.Fatal(err)
		}
		again, err := targetfile.Parse("again", []byte(text))
		if d := cmp.Diff(services, again); err != nil || d != "" {
			t.Errorf("formatted and read again: %v %s", err, d)
		}
	})
}

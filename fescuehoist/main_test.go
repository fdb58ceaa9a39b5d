package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fescuehoist.example/adapters/tlsfiles"
	"fescuehoist.example/standin/authority"
	"fescuehoist.example/standin/platform"
)

const targetsText = `[[service]]
name = "lookup"
  [[service.class]]
  name = "search"
  path = "/search"
  rank = 1
  latency = "%s"
  success = 0.99
  keep = 0.5
  timeout = "400ms"
  idempotent = true
  notice = "48h"
`

// bench is a stand-in platform with files to apply to it.
type bench struct {
	t        *testing.T
	platform *platform.Platform
	address  string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return benchOn(t, ln)
}

func benchOn(t *testing.T, ln net.Listener) *bench {
	t.Helper()
	p := platform.New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return &bench{t: t, platform: p, address: ln.Addr().String()}
}

func (b *bench) file(text string) string {
	b.t.Helper()
	name := filepath.Join(b.t.TempDir(), "targets.toml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return name
}

// run carries a command out and returns its exit code and everything printed.
func (b *bench) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(context.Background(), args, &out, &out)
	return code, out.String()
}

func TestExitCodes(t *testing.T) {
	b := newBench(t)
	good, other := b.file(fmt.Sprintf(targetsText, "60ms")), b.file(fmt.Sprintf(targetsText, "90ms"))
	bad := b.file(strings.Replace(fmt.Sprintf(targetsText, "6 hours"), "rank = 1", "rank = 99\n  wait = 1", 1))
	on := "--platform=" + b.address
	for _, step := range []struct {
		name   string
		faults platform.Faults
		args   []string
		code   int
		prints []string
	}{
		{"help", platform.Faults{}, []string{"--help"}, exitDone, []string{"Exit codes"}},
		{"no such command", platform.Faults{}, []string{"fly"}, exitBadInput, []string{"--help"}},
		{"no such file", platform.Faults{}, []string{"check", "absent.toml"}, exitBadInput, []string{"absent.toml"}},
		{"bad file", platform.Faults{}, []string{"check", bad}, exitBadInput,
			[]string{"targets.toml:6: service[0].class[0].rank: 99; write 1", "targets.toml:7:", "unknown key", "targets.toml:8:", "6 hours"}},
		{"good file", platform.Faults{}, []string{"check", good}, exitDone, []string{"no problems; services: 1, classes: 1"}},
		{"difference from nothing", platform.Faults{}, []string{"diff", good, on}, exitDone, []string{`service "lookup": added, 1 class`}},
		{"first edit", platform.Faults{}, []string{"apply", good, on, "--author=amal"}, exitDone, []string{"accepted as version 1"}},
		{"same again", platform.Faults{}, []string{"apply", good, on}, exitDone, []string{"nothing changes"}},
		{"difference", platform.Faults{}, []string{"diff", other, on}, exitDone, []string{"latency changes from 60ms to 90ms"}},
		{"answer lost", platform.Faults{LoseAnswers: true, Writes: "config/head"}, []string{"apply", other, on, "--author=dina"}, exitDone, []string{"accepted as version 2"}},
		{"conflict", platform.Faults{}, []string{"apply", good, on, "--expect=1"}, exitConflict,
			[]string{"version 2 by dina", "latency changes from 60ms to 90ms", "this edit wanted:", "--expect 2"}},
		{"removal unconfirmed", platform.Faults{}, []string{"remove", "lookup", on}, exitBadInput, []string{"--confirm"}},
		{"removal of nothing", platform.Faults{}, []string{"remove", "absent", on, "--confirm"}, exitBadInput, []string{`no service "absent"`}},
		{"removal", platform.Faults{}, []string{"remove", "lookup", on, "--confirm"}, exitDone, []string{`service "lookup": removed`}},
		{"history", platform.Faults{}, []string{"history", on, "--changes"}, exitDone, []string{"amal", "dina", "version 3"}},
		{"older version", platform.Faults{}, []string{"get", on, "--at=2"}, exitDone, []string{"# version 2", `latency = '90ms'`}},
		{"platform away", platform.Faults{Outage: true}, []string{"get", on}, exitAway, []string{"the platform is away"}},
	} {
		t.Run(step.name, func(t *testing.T) {
			b.platform.SetFaults(step.faults)
			code, out := b.run(step.args...)
			if code != step.code {
				t.Errorf("exit code %d, want %d; printed:\n%s", code, step.code, out)
			}
			for _, want := range step.prints {
				if !strings.Contains(out, want) {
					t.Errorf("%q is not in what was printed:\n%s", want, out)
				}
			}
		})
	}
}

func TestPlatformOverTLS(t *testing.T) {
	folder := t.TempDir()
	ca := filepath.Join(folder, "authority.crt")
	a, err := authority.New("platform")
	if err == nil {
		err = a.WriteCertificate(ca)
	}
	if err != nil {
		t.Fatal(err)
	}
	pair, err := a.Issue(folder, "platform", net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	source, err := tlsfiles.Open(tlsfiles.Files{Certificate: pair.Certificate, Key: pair.Key, Authority: ca}, nil)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := benchOn(t, tls.NewListener(ln, source.ServerConfig()))
	on := "--platform=" + b.address
	for _, step := range []struct {
		name string
		args []string
		code int
	}{
		{"with the authority", []string{"history", on, "--platform-authority=" + ca}, exitDone},
		{"plain", []string{"history", on}, exitAway},
		{"wrong name", []string{"history", on, "--platform-authority=" + ca, "--platform-name=elsewhere"}, exitAway},
		{"no such file", []string{"history", on, "--platform-authority=" + ca + "x"}, exitBadInput},
	} {
		if code, out := b.run(step.args...); code != step.code {
			t.Errorf("%s: exit code %d, want %d; printed:\n%s", step.name, code, step.code, out)
		}
	}
}

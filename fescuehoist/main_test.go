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

// testEnv is a stand-in platform with helpers to run commands against it.
type testEnv struct {
	t        *testing.T
	platform *platform.Platform
	address  string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newTestEnvOn(t, ln)
}

func newTestEnvOn(t *testing.T, ln net.Listener) *testEnv {
	t.Helper()
	p := platform.New()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return &testEnv{t: t, platform: p, address: ln.Addr().String()}
}

func (e *testEnv) writeFile(text string) string {
	e.t.Helper()
	name := filepath.Join(e.t.TempDir(), "targets.toml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		e.t.Fatal(err)
	}
	return name
}

// run runs a command and returns its exit code and everything that it printed.
func (e *testEnv) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(context.Background(), args, &out, &out)
	return code, out.String()
}

func TestCommandsReturnExitCodes(t *testing.T) {
	e := newTestEnv(t)
	good, slower := e.writeFile(fmt.Sprintf(targetsText, "60ms")), e.writeFile(fmt.Sprintf(targetsText, "90ms"))
	bad := e.writeFile(strings.Replace(fmt.Sprintf(targetsText, "6 hours"), "rank = 1", "rank = 99\n  wait = 1", 1))
	platformArg := "--platform=" + e.address
	for _, step := range []struct {
		name   string
		faults platform.Faults
		args   []string
		code   int
		prints []string
	}{
		{"help", platform.Faults{}, []string{"--help"}, exitOK, []string{"Exit codes"}},
		{"unknown command", platform.Faults{}, []string{"fly"}, exitBadInput, []string{"--help"}},
		{"missing file", platform.Faults{}, []string{"check", "absent.toml"}, exitBadInput, []string{"absent.toml"}},
		{"invalid file", platform.Faults{}, []string{"check", bad}, exitBadInput,
			[]string{"targets.toml:6: service[0].class[0].rank: 99; write 1", "targets.toml:7:", "unknown key", "targets.toml:8:", "6 hours"}},
		{"valid file", platform.Faults{}, []string{"check", good}, exitOK, []string{"no problems; services: 1, classes: 1"}},
		{"diff with empty configuration", platform.Faults{}, []string{"diff", good, platformArg}, exitOK, []string{`service "lookup": added, 1 class`}},
		{"first edit", platform.Faults{}, []string{"apply", good, platformArg, "--author=amal"}, exitOK, []string{"accepted as version 1"}},
		{"unchanged file", platform.Faults{}, []string{"apply", good, platformArg}, exitOK, []string{"nothing changes"}},
		{"diff", platform.Faults{}, []string{"diff", slower, platformArg}, exitOK, []string{"latency changes from 60ms to 90ms"}},
		{"response lost", platform.Faults{DropResponses: true, Writes: "config/head"}, []string{"apply", slower, platformArg, "--author=dina"}, exitOK, []string{"accepted as version 2"}},
		{"conflict", platform.Faults{}, []string{"apply", good, platformArg, "--expect=1"}, exitConflict,
			[]string{"version 2 by dina", "latency changes from 60ms to 90ms", "changes of this edit:", "--expect 2"}},
		{"remove without confirmation", platform.Faults{}, []string{"remove", "lookup", platformArg}, exitBadInput, []string{"--confirm"}},
		{"remove unknown service", platform.Faults{}, []string{"remove", "absent", platformArg, "--confirm"}, exitBadInput, []string{`no service "absent"`}},
		{"remove", platform.Faults{}, []string{"remove", "lookup", platformArg, "--confirm"}, exitOK, []string{`service "lookup": removed`}},
		{"history", platform.Faults{}, []string{"history", platformArg, "--changes"}, exitOK, []string{"amal", "dina", "version 3"}},
		{"get older version", platform.Faults{}, []string{"get", platformArg, "--at=2"}, exitOK, []string{"# version 2", `latency = '90ms'`}},
		{"platform unavailable", platform.Faults{Outage: true}, []string{"get", platformArg}, exitUnavailable, []string{"the platform is unavailable"}},
	} {
		t.Run(step.name, func(t *testing.T) {
			e.platform.SetFaults(step.faults)
			code, out := e.run(step.args...)
			if code != step.code {
				t.Errorf("exit code %d, want %d; printed:\n%s", code, step.code, out)
			}
			for _, want := range step.prints {
				if !strings.Contains(out, want) {
					t.Errorf("output lacks %q; printed:\n%s", want, out)
				}
			}
		})
	}
}

func TestPlatformConnectionOverTLS(t *testing.T) {
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
	e := newTestEnvOn(t, tls.NewListener(ln, source.ServerConfig()))
	platformArg := "--platform=" + e.address
	for _, step := range []struct {
		name string
		args []string
		code int
	}{
		{"trusted authority", []string{"history", platformArg, "--platform-authority=" + ca}, exitOK},
		{"plain TCP", []string{"history", platformArg}, exitUnavailable},
		{"wrong server name", []string{"history", platformArg, "--platform-authority=" + ca, "--platform-name=elsewhere"}, exitUnavailable},
		{"missing authority file", []string{"history", platformArg, "--platform-authority=" + ca + "x"}, exitBadInput},
	} {
		if code, out := e.run(step.args...); code != step.code {
			t.Errorf("%s: exit code %d, want %d; printed:\n%s", step.name, code, step.code, out)
		}
	}
}

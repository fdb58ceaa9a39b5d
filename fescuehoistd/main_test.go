package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

const testSettings = `[server]
name = "lookup-1"
domain = "cairo-a"
[listen]
callers = "127.0.0.1:0"
calls = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
[tls]
daemons = "plain"
callers = "plain"
platform = "plain"
`

// Sends SIGHUP while the daemon drains after SIGTERM: an uncaught SIGHUP would end
// the process before the drain has finished.
func TestHangupDuringDrainDoesNotEndDaemon(t *testing.T) {
	dir := t.TempDir()
	program, file := filepath.Join(dir, "fescuehoistd"), filepath.Join(dir, "settings.toml")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if err := os.WriteFile(file, []byte(testSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := exec.Command(program, "-c", file)
	stdout, err := daemon.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		switch {
		case strings.Contains(lines.Text(), "daemon: started"):
			_ = daemon.Process.Signal(syscall.SIGTERM)
		case strings.Contains(lines.Text(), "daemon: draining"):
			_ = daemon.Process.Signal(syscall.SIGHUP)
		}
	}
	if err := daemon.Wait(); err != nil {
		t.Errorf("daemon exited with %v, want exit code 0", err)
	}
}

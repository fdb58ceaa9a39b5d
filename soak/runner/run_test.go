package runner_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/soak/runner"
)

// seedsFile lists each seed that ever failed, with its size and its cause.
const seedsFile = "testdata/seeds.txt"

// Sizes of the runs in CI. Promises with a bound in time are left to runs by
// hand, since CI asserts no times.
const (
	clients = 3
	length  = 6 * time.Second
)

func build(t *testing.T) string {
	daemon := filepath.Join(t.TempDir(), "fescuehoistd")
	if out, err := exec.Command("go", "build", "-o", daemon, "fescuehoist.example/fescuehoistd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return daemon
}

func play(t *testing.T, daemon string, seed uint64, hosts int, length time.Duration) {
	result, err := runner.Do(t.Context(), runner.Options{
		Seed: seed, Hosts: hosts, Clients: clients, Length: length, Daemon: daemon, Dir: t.TempDir(), Out: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d requests, %d served", seed, result.Requests, result.Served)
	for _, b := range result.Broken {
		t.Error(b)
	}
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	daemon := build(t)
	for _, seed := range []uint64{11, 12} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, daemon, seed, 5, length) })
	}
}

func TestSeedsThatFailedOnce(t *testing.T) {
	file, err := os.Open(seedsFile)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	daemon := build(t)
	for in := bufio.NewScanner(file); in.Scan(); {
		line := strings.TrimSpace(in.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		var seed uint64
		var hosts int
		var text string
		if _, err := fmt.Sscanf(line, "%d %d %s", &seed, &hosts, &text); err != nil {
			t.Fatalf("%s: %q: %v", seedsFile, line, err)
		}
		length, err := time.ParseDuration(text)
		if err != nil {
			t.Fatalf("%s: %q: %v", seedsFile, line, err)
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, daemon, seed, hosts, length) })
	}
}

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

// seedsFile lists every seed that failed before, with the size of its run and the
// cause of the failure.
const seedsFile = "testdata/seeds.txt"

// Sizes of the runs in CI. Invariants with a time limit are checked only in
// manual runs, since CI asserts no times.
const (
	clientsPerHost = 3
	faultsLength   = 6 * time.Second
)

func buildDaemon(t *testing.T) string {
	daemon := filepath.Join(t.TempDir(), "fescuehoistd")
	if out, err := exec.Command("go", "build", "-o", daemon, "fescuehoist.example/fescuehoistd").CombinedOutput(); err != nil {
		t.Fatalf("build fescuehoistd: %v\n%s", err, out)
	}
	return daemon
}

// runSeed plays the schedule of a seed and reports each violation as an error.
func runSeed(t *testing.T, daemon string, seed uint64, hosts int, length time.Duration) {
	result, err := runner.Run(t.Context(), runner.Options{
		Seed: seed, Hosts: hosts, Clients: clientsPerHost, Length: length, Daemon: daemon, Dir: t.TempDir(), Out: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d requests, %d served", seed, result.Requests, result.Served)
	for _, violation := range result.Violations {
		t.Error(violation)
	}
}

func TestRunFaultsViolateNoInvariant(t *testing.T) {
	daemon := buildDaemon(t)
	for _, seed := range []uint64{11, 12} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, daemon, seed, 5, faultsLength) })
	}
}

func TestRunPreviouslyFailingSeedsPass(t *testing.T) {
	file, err := os.Open(seedsFile)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	daemon := buildDaemon(t)
	for in := bufio.NewScanner(file); in.Scan(); {
		line := strings.TrimSpace(in.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		var seed uint64
		var hosts int
		var text string
		if _, err := fmt.Sscanf(line, "%d %d %s", &seed, &hosts, &text); err != nil {
			t.Fatalf("%s: line %q: want seed, hosts and length: %v", seedsFile, line, err)
		}
		length, err := time.ParseDuration(text)
		if err != nil {
			t.Fatalf("%s: line %q: want a duration as length: %v", seedsFile, line, err)
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, daemon, seed, hosts, length) })
	}
}

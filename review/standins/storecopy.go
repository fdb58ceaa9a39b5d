package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the deployment, as the settings of a machine name them.
const (
	configBound  = 2500 * time.Millisecond
	revokeBound  = 5 * time.Second
	stretchBound = 5 * time.Second
	drainBound   = 2500 * time.Millisecond
	// stableWindow is how long the store must have been without impairment.
	stableWindow = 3 * time.Second
)

const (
	siteHost    = "names.example"
	movedPath   = "/find/"
	steadyPath  = "/keep/"
	steadyKey   = "key-of-the-tenant-that-stays"
	copyRounds  = 16
	storeAway   = 400 * time.Millisecond
	settleAfter = stableWindow + 100*time.Millisecond
	writeSpread = 600 * time.Millisecond
)

// path is one route of a configuration.
func path(name, prefix, service, kind string) map[string]any {
	return map[string]any{"name": name, wire["prefix"]: prefix, "kind": kind, "timeout_s": 1.0, wire["target_latency"]: 0.5,
		"priority": 0, "service": service, wire["attempts"]: 2, "public": false}
}

// configuration returns a version in which the moved route leads to a service, and in which
// a tenant holds a key of its own beside the steady one.
func configuration(version int, service, key string) any {
	return map[string]any{
		"version": version,
		"services": []any{
			map[string]any{"name": "lookup", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "archive", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": []any{
			map[string]any{"name": "stays", wire["keys"]: []string{steadyKey}, "priority": 0, wire["rate"]: 0, "burst": 0},
			map[string]any{"name": "leaves", wire["keys"]: []string{key}, "priority": 0, wire["rate"]: 0, "burst": 0},
		},
		wire["hosts"]: []any{map[string]any{"hostname": siteHost, "paths": []any{
			path("moved", movedPath, service, "idempotent"), path("steady", steadyPath, "lookup", "idempotent"),
		}}},
	}
}

// playStoreCopy: an upstream leaves and the configuration changes, then the store is away for
// a moment and comes back from a copy that is some seconds old. Later the configuration
// changes again, in calm, and every daemon has to follow it.
func playStoreCopy(s *scene) (string, error) {
	s.bounds = map[string]any{"grace_s": 6, "budget_slack": 56, "strict_revoke": true, "revoke_s": 5, "quota_window_s": 5}
	s.addMachines()
	version := 10
	services := [2]string{"lookup", "archive"}
	apply := func(service, key string) time.Time {
		version += 3
		revision := s.store.put("config", "main", configuration(version, service, key))
		s.record.printf("operator: version %d confirmed at revision %d: %s leads to %s, key %s", version, revision, movedPath, service, key)
		return time.Now()
	}
	apply(services[0], "key-0")
	if err := s.start(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	for round := 1; round <= copyRounds; round++ {
		broken, err := s.copyRound(round, services[(round-1)%2], services[round%2], apply)
		if broken != "" || err != nil {
			return broken, err
		}
	}
	return "", nil
}

func (s *scene) copyRound(round int, before, after string, apply func(service, key string) time.Time) (string, error) {
	old, next := fmt.Sprintf("key-%d", round-1), fmt.Sprintf("key-%d", round)
	s.record.printf("round %d", round)
	// The copy is about 1.5 s old when the store comes back.
	saved := s.store.copyNow()
	leaving := s.upstreams[round%len(s.upstreams)]
	if !leaving.drain() {
		return "", fmt.Errorf("the drain report of %s was not acknowledged", leaving.instance)
	}
	s.record.printf("%s reported draining, acknowledged", leaving.instance)
	time.Sleep(300 * time.Millisecond)
	apply(before, old)
	time.Sleep(700 * time.Millisecond)
	if s.trouble {
		s.store.setDown(true)
		s.record.printf("store: away, at revision %d", s.store.revision())
		time.Sleep(storeAway)
		s.store.restore(saved, func(kind string) bool { return kind == "config" || kind == "rollouts" })
		s.record.printf("store: back from a copy, at revision %d", s.store.revision())
	} else {
		time.Sleep(storeAway)
	}
	back := time.Now()
	time.Sleep(drainBound)
	if err := s.replaceUpstream(round%len(s.upstreams), round); err != nil {
		return "", err
	}
	// The operator writes at any time.
	time.Sleep(time.Until(back.Add(settleAfter + rand.N(writeSpread))))
	confirmed := apply(after, next)
	// Nearly always all daemons follow within a second, and the next drill can come.
	for _, after := range []time.Duration{time.Second, configBound + 200*time.Millisecond} {
		time.Sleep(time.Until(confirmed.Add(after)))
		if s.staleDaemons(before, old) == 0 {
			return "", nil
		}
	}
	s.record.printf("round %d: some daemons handle requests by the old version", round)
	time.Sleep(time.Until(confirmed.Add(revokeBound + 500*time.Millisecond)))
	for range 4 {
		if stale := s.staleDaemons(before, old); stale > 0 {
			return fmt.Sprintf("CONFIG: %.1f s after the confirmation of the version that took %q away and moved %s to %s, %d of %d daemons had requests with that key run by %s",
				time.Since(confirmed).Seconds(), old, movedPath, after, stale, len(s.daemons), before), nil
		}
		time.Sleep(2 * time.Second)
	}
	return "", nil
}

// replaceUpstream ends an upstream that has reported draining and starts the next one on its
// machine.
func (s *scene) replaceUpstream(i, round int) error {
	leaving := s.upstreams[i]
	if !leaving.leave() {
		s.record.printf("the withdrawal of %s was not acknowledged", leaving.instance)
	}
	leaving.end()
	next := &upstream{service: leaving.service, instance: fmt.Sprintf("%s-r%d", leaving.instance[:4], round), zone: leaving.zone, version: "v1",
		address: leaving.address, control: leaving.control, slots: leaving.slots, work: leaving.work, record: s.record, onRun: s.onRun}
	s.upstreams[i] = next
	return next.start()
}

// staleDaemons sends one request with a key that was taken away to each daemon, and returns
// how many of them were run by the service of the old version.
func (s *scene) staleDaemons(service, key string) int {
	var wg sync.WaitGroup
	stale := make([]bool, len(s.daemons))
	for i, d := range s.daemons {
		wg.Go(func() {
			a := attempt{id: newID(), method: "GET", host: siteHost, path: movedPath + "x", key: key}
			s.send(d, a)
			for _, r := range s.runsOf(a.id) {
				stale[i] = stale[i] || r.Service == service
			}
		})
	}
	wg.Wait()
	n := 0
	for _, b := range stale {
		if b {
			n++
		}
	}
	return n
}

package main

import (
	"fmt"
	"sync"
	"time"
)

// Values that the pages allow and that a version of this case holds on one of its routes,
// beside a change of another route. Without trouble the version has the plain value.
type routeValue struct {
	name  string
	plain func(steady map[string]any)
	odd   func(steady map[string]any)
}

func weights(a, b any) func(map[string]any) {
	return func(steady map[string]any) {
		delete(steady, "service")
		steady[wire["parts"]] = []any{map[string]any{"service": "lookup", "weight": a}, map[string]any{"service": "archive", "weight": b}}
	}
}

var routeValues = []routeValue{
	{"priority 20", func(r map[string]any) { r["priority"] = 2 }, func(r map[string]any) { r["priority"] = 20 }},
	{"weights 0.9 and 0.1", weights(9, 1), weights(0.9, 0.1)},
}

// playConfigValues: the operator writes versions that the store accepts. Each moves a route,
// and gives another route of the same host a value that the pages allow.
func playConfigValues(s *scene) (string, error) {
	s.bounds = map[string]any{"grace_s": 6, "budget_slack": 56}
	s.addMachines()
	version := 10
	services := [2]string{"lookup", "archive"}
	apply := func(to string, change func(map[string]any)) time.Time {
		version += 3
		c := configuration(version, to, "key-0").(map[string]any)
		delete(c, "tenants")
		if change != nil {
			paths := c[wire["hosts"]].([]any)[0].(map[string]any)["paths"].([]any)
			change(paths[1].(map[string]any))
		}
		s.store.put("config", "main", c)
		s.record.printf("operator: version %d confirmed: %s leads to %s", version, movedPath, to)
		return time.Now()
	}
	apply(services[0], nil)
	if err := s.start(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	broken := ""
	for _, v := range routeValues {
		s.record.printf("next version with %s: %t", v.name, s.trouble)
		change := v.plain
		if s.trouble {
			change = v.odd
		}
		confirmed := apply(services[1], change)
		for _, after := range []time.Duration{configBound + 200*time.Millisecond, configBound + stretchBound + 500*time.Millisecond} {
			time.Sleep(time.Until(confirmed.Add(after)))
			if stale := s.staleDaemons(services[0], ""); stale > 0 {
				text := fmt.Sprintf("CONFIG: %s: %.1f s after the confirmation of the version that moved %s to %s, %d of %d daemons had requests run by %s",
					v.name, after.Seconds(), movedPath, services[1], stale, len(s.daemons), services[0])
				s.record.printf("%s", text)
				if after > configBound+stretchBound {
					broken += text + "\n"
				}
			}
		}
		// A plain version is followed again.
		confirmed = apply(services[0], nil)
		time.Sleep(time.Until(confirmed.Add(configBound + 200*time.Millisecond)))
		s.record.printf("plain version: %d of %d daemons follow", s.staleDaemons(services[0], ""), len(s.daemons))
	}
	return broken, nil
}

// Tenants of the case with a name of two words.
const (
	tenantCount = 48
	tenantName  = "Perth North"
)

// playTenantName: a version adds a tenant and takes the keys of all others away, which get
// new ones.
func playTenantName(s *scene) (string, error) {
	s.bounds = map[string]any{"grace_s": 6, "budget_slack": 56, "strict_revoke": true, "revoke_s": 5, "quota_window_s": 5}
	s.addMachines()
	key := func(tenant, generation int) string { return fmt.Sprintf("key-of-%d-generation-%d", tenant, generation) }
	apply := func(version, generation int, added string) time.Time {
		c := configuration(version, "lookup", "key-0").(map[string]any)
		var tenants []any
		for i := range tenantCount {
			tenants = append(tenants, map[string]any{"name": fmt.Sprintf("store-%d", i), wire["keys"]: []string{key(i, generation)}, "priority": 0, wire["rate"]: 0, "burst": 0})
		}
		if added != "" {
			tenants = append(tenants, map[string]any{"name": added, wire["keys"]: []string{"key-of-the-added-tenant"}, "priority": 0, wire["rate"]: 0, "burst": 0})
		}
		c["tenants"] = tenants
		s.store.put("config", "main", c)
		s.record.printf("operator: version %d confirmed: keys of generation %d, added tenant %q", version, generation, added)
		return time.Now()
	}
	apply(10, 0, "")
	if err := s.start(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	added := "perth-north"
	if s.trouble {
		added = tenantName
	}
	confirmed := apply(13, 1, added)
	time.Sleep(time.Until(confirmed.Add(revokeBound + 500*time.Millisecond)))
	var mu sync.Mutex
	var wg sync.WaitGroup
	revoked, refused := 0, 0
	for i := range tenantCount {
		wg.Go(func() {
			d := s.daemons[i%len(s.daemons)]
			old := attempt{id: newID(), method: "GET", host: siteHost, path: steadyPath + "x", key: key(i, 0)}
			s.send(d, old)
			fresh := attempt{id: newID(), method: "GET", host: siteHost, path: steadyPath + "x", key: key(i, 1)}
			r := s.send(d, fresh)
			mu.Lock()
			defer mu.Unlock()
			revoked += len(s.runsOf(old.id))
			if r.status == 401 {
				refused++
			}
		})
	}
	wg.Wait()
	s.record.printf("%d requests with a key that was taken away ran, %d with a key in force got 401", revoked, refused)
	if revoked > 0 {
		return fmt.Sprintf("CONFIG: more than %.1f s after the confirmation of the version that took %d keys away, %d of %d requests with such a key ran; %d of %d with the keys in force got 401",
			revokeBound.Seconds(), tenantCount, revoked, tenantCount, refused, tenantCount), nil
	}
	return "", nil
}

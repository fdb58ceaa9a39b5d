package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Allowance of the limited tenant, and the bounds of the rule.
const (
	tenantRate     = 20.0
	tenantBurst    = 10.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	limitedKey     = "key-of-the-limited-tenant"
	// pressPerDaemon is what the tenant sends to each of two daemons a second.
	pressPerDaemon = 40
	pressFor       = 20 * time.Second
	// trafficStart is how long after the machines traffic starts.
	trafficStart = 8 * time.Second
)

// playTwoFleets: the store comes back from a copy of the time before the daemons registered.
// Later one daemon is stopped and started again on its own, as planned. A tenant with an
// allowance then sends to that daemon and to another one.
func playTwoFleets(s *scene) (string, error) {
	s.bounds = map[string]any{"grace_s": 6, "budget_slack": 56, "strict_revoke": true, "revoke_s": 5, "quota_window_s": 5}
	s.addMachines()
	// The daemon that is restarted later is the last to start now.
	slices.Reverse(s.daemons)
	slices.Reverse(s.upstreams)
	c := configuration(10, "lookup", "key-0").(map[string]any)
	c["tenants"] = append(c["tenants"].([]any), map[string]any{"name": "limited", wire["keys"]: []string{limitedKey}, "priority": 0,
		wire["rate"]: tenantRate, "burst": tenantBurst})
	s.store.put("config", "main", c)
	saved, started := s.store.copyNow(), time.Now()
	if err := s.start(); err != nil {
		return "", err
	}
	time.Sleep(time.Until(started.Add(trafficStart + 200*time.Millisecond)))
	if s.trouble {
		s.store.setDown(true)
		s.record.printf("store: away, at revision %d", s.store.revision())
		time.Sleep(storeAway)
		s.store.restore(saved, func(kind string) bool { return kind == "config" || kind == "rollouts" })
		s.record.printf("store: back from a copy, at revision %d", s.store.revision())
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	restarted := s.daemons[len(s.daemons)-1]
	if err := s.restart(restarted); err != nil {
		return "", err
	}
	// All machines are in touch, and the upstream has reported again.
	time.Sleep(2*stableWindow + time.Second)
	a := s.press(restarted, s.daemons[1])
	return s.checkQuota(a), nil
}

// sentRequest is a request of the limited tenant.
type sentRequest struct {
	id     string
	daemon string
	at     time.Time
	status int
}

// press sends the limited tenant's requests to daemons at a steady rate.
func (s *scene) press(daemons ...*daemon) []sentRequest {
	var mu sync.Mutex
	var all []sentRequest
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / pressPerDaemon)
	defer tick.Stop()
	for end := time.Now().Add(pressFor); time.Now().Before(end); <-tick.C {
		for _, d := range daemons {
			wg.Go(func() {
				id := newID()
				r := s.send(d, attempt{id: id, method: "GET", host: siteHost, path: steadyPath + "x", key: limitedKey})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, sentRequest{id: id, daemon: d.name, at: r.sent, status: r.status})
			})
		}
	}
	wg.Wait()
	return all
}

// checkQuota returns what breaks the rule: a window in which more requests were sent, and
// ran, than the allowance permits.
func (s *scene) checkQuota(all []sentRequest) string {
	slices.SortFunc(all, func(a, b sentRequest) int { return a.at.Compare(b.at) })
	ran := map[string]int{}
	var times []time.Time
	for _, r := range all {
		if len(s.runsOf(r.id)) > 0 {
			times = append(times, r.at)
			ran[r.daemon]++
		}
	}
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	limit := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOvershoot) + quotaSlack
	s.record.printf("sent %d, ran by daemon %v; at most %d in %s, the limit is %.0f", len(all), ran, most, quotaWindow, limit)
	if float64(most) > limit {
		return fmt.Sprintf("QUOTA: %d requests of a tenant were sent and ran within %s, at most %.0f may", most, quotaWindow, limit)
	}
	return ""
}

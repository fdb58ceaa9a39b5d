package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// firstLimit and secondLimit are the time limits of the two orders.
	firstLimit     = 6 * time.Second
	secondLimit    = 10 * time.Second
	exposureShare  = 0.1
	exposureSlack  = 50
	requestsPerSec = 60
	// secondMachines is the number of machines that are added with the second version.
	secondMachines = 4
	// reportTime is the time until a new upstream is known everywhere.
	reportTime = 1500 * time.Millisecond
)

// rolloutState is what the system says of an order.
func (s *scene) rolloutState(service string) (state, version string) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var status map[string]string
	_ = json.Unmarshal(s.store.state.Objects["rollouts"][service].Status, &status)
	return status["state"], status[wire["version"]]
}

// awaitRollout waits until an order has a final state, for a time at most.
func (s *scene) awaitRollout(service, version string, limit time.Duration) string {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if state, v := s.rolloutState(service); v == version && (state == "completed" || state == "rolled_back") {
			s.record.printf("the order for %s is %s", version, state)
			return state
		}
	}
	return ""
}

// order writes an order of a rollout, as the operator does, and returns its revision.
func (s *scene) order(service, version string, limit time.Duration) uint64 {
	revision := s.store.put("rollouts", service, map[string]any{"service": service, wire["version"]: version, wire["duration"]: limit.Seconds()})
	s.record.printf("operator: order for %s of %s at revision %d", version, service, revision)
	return revision
}

// controller returns the daemon that controls the rollouts, by its log.
func (s *scene) controller() *daemon {
	for _, d := range s.daemons {
		text, _ := os.ReadFile(d.log.Name())
		if strings.LastIndex(string(text), "rollout: controlling rollouts") > strings.LastIndex(string(text), "rollout: no longer controlling rollouts") {
			select {
			case <-d.exited:
			default:
				return d
			}
		}
	}
	return nil
}

// addStarted adds a machine to the running deployment and waits until it is ready.
func (s *scene) addStarted(name, zone, service, version string) (*daemon, *upstream, error) {
	d, u := s.addMachine(name, zone, service)
	u.version = version
	if err := d.writeSettings(s.store.address(), s.bounds); err != nil {
		return nil, nil, err
	}
	if err := d.start(s.dir); err != nil {
		return nil, nil, err
	}
	if err := u.start(); err != nil {
		return nil, nil, err
	}
	for end := time.Now().Add(10 * time.Second); !d.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, nil, fmt.Errorf("daemon %s is not ready after 10 s", name)
		}
	}
	return d, u, nil
}

// traffic is a steady stream of requests to some daemons.
type traffic struct {
	s    *scene
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	sent []sentRequest
}

func (s *scene) startTraffic(daemons []*daemon) *traffic {
	t := &traffic{s: s, stop: make(chan struct{})}
	t.wg.Go(func() {
		tick := time.NewTicker(time.Second / requestsPerSec)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-t.stop:
				return
			case <-tick.C:
			}
			d := daemons[i%len(daemons)]
			t.wg.Go(func() {
				id := newID()
				r := s.send(d, attempt{id: id, method: "GET", host: siteHost, path: steadyPath + "x"})
				t.mu.Lock()
				defer t.mu.Unlock()
				t.sent = append(t.sent, sentRequest{id: id, daemon: d.name, at: r.sent, status: r.status})
			})
		}
	})
	return t
}

func (t *traffic) end() []sentRequest {
	close(t.stop)
	t.wg.Wait()
	return t.sent
}

// playOrderNumber: a good version is brought in and completed. The store comes back from a copy
// of the time before its order, and the daemon that controls rollouts is stopped and started
// again, as planned. Then a bad version is ordered.
func playOrderNumber(s *scene) (string, error) {
	s.bounds = map[string]any{"grace_s": 6, "budget_slack": 56, "exposure_share": exposureShare, "exposure_slack": exposureSlack, "rollback_s": 5}
	s.addMachines()
	version := 10
	apply := func() {
		version += 3
		c := configuration(version, "lookup", "").(map[string]any)
		delete(c, "tenants")
		s.record.printf("operator: version %d at revision %d", version, s.store.put("config", "main", c))
	}
	apply()
	if err := s.start(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	// Clients of the machines that stay.
	clients := []*daemon{s.daemons[1], s.daemons[3], s.daemons[5]}
	saved, savedAt := s.store.copyNow(), time.Now()
	var second []*upstream
	for i := range secondMachines {
		_, u, err := s.addStarted(fmt.Sprintf("n%d", i+1), []string{"perth-a", "perth-b", "perth-c"}[i%3], "lookup", "v2")
		if err != nil {
			return "", err
		}
		second = append(second, u)
	}
	first := s.startTraffic(clients)
	number := s.order("lookup", "v2", firstLimit)
	if state := s.awaitRollout("lookup", "v2", firstLimit+2*time.Second); state != "completed" {
		first.end()
		return "", fmt.Errorf("the good version is %q, not completed", state)
	}
	// At "completed" the old upstreams stop at once; their machines go with them.
	for i := 0; i < 6; i += 2 {
		s.upstreams[i].end()
		s.daemons[i].signal(syscall.SIGTERM)
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		s.store.setDown(true)
		s.record.printf("store: away, at revision %d", s.store.revision())
		time.Sleep(storeAway)
		s.store.restore(saved, func(kind string) bool { return kind == "config" || kind == "rollouts" })
		s.record.printf("store: back from a copy %.1f s old, at revision %d", time.Since(savedAt).Seconds(), s.store.revision())
	}
	time.Sleep(stableWindow)
	if s.trouble {
		stopped := s.controller()
		if stopped == nil {
			first.end()
			return "", fmt.Errorf("no daemon controls rollouts")
		}
		s.record.printf("%s controls rollouts and is stopped as planned", stopped.name)
		if err := s.restart(stopped); err != nil {
			return "", err
		}
	}
	_, bad, err := s.addStarted("n9", "perth-a", "lookup", "v3")
	if err != nil {
		return "", err
	}
	bad.fail = true
	time.Sleep(reportTime)
	// The configuration changes a few times before the order.
	for s.store.revision() < number-1 {
		apply()
		time.Sleep(300 * time.Millisecond)
	}
	first.end()
	t := s.startTraffic(clients)
	ordered := time.Now()
	revision := s.order("lookup", "v3", secondLimit)
	s.record.printf("the order for v2 had revision %d, that for v3 has %d", number, revision)
	if state := s.awaitRollout("lookup", "v3", secondLimit); state == "completed" {
		for _, u := range second {
			u.end()
		}
	}
	time.Sleep(time.Until(ordered.Add(secondLimit)))
	exposed, all := 0, 0
	for _, r := range t.end() {
		for _, run := range s.runsOf(r.id) {
			if run.Service != "lookup" {
				continue
			}
			all++
			if run.Instance == bad.instance {
				exposed++
			}
		}
	}
	limit := exposureShare*float64(all) + exposureSlack
	s.record.printf("%d of %d requests reached the bad version, at most %.0f may", exposed, all, limit)
	if float64(exposed) > limit {
		state, _ := s.rolloutState("lookup")
		return fmt.Sprintf("EXPOSURE: the bad version got %d of %d requests, at most %.0f may; its order is %s", exposed, all, limit, state), nil
	}
	return "", nil
}

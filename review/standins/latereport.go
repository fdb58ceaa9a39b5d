package main

import (
	"fmt"
	"time"
)

const (
	// inTouchAfter is how long after the start of the machines, and after the return of the
	// store before that, all count as in touch.
	inTouchAfter = stableWindow + 500*time.Millisecond
	// servesOn is how long a leaving upstream goes on serving.
	servesOn = 9 * time.Second
)

// playLateReport: an upstream withdraws, which is acknowledged. The store comes back from a
// copy of the time before, all processes are killed, and a report that the upstream had sent
// before it withdrew arrives late.
func playLateReport(s *scene) (string, error) {
	s.bounds = map[string]any{"grace_s": 6, "budget_slack": 56}
	s.addMachines()
	c := configuration(10, "lookup", "").(map[string]any)
	delete(c, "tenants")
	s.store.put("config", "main", c)
	if err := s.start(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	saved := s.store.copyNow()
	leaving := s.upstreams[0]
	// The report that is late has the sequence after the last one that arrived.
	leaving.mu.Lock()
	leaving.sequence++
	late := leaving.text()
	leaving.mu.Unlock()
	if !leaving.leave() {
		return "", fmt.Errorf("the withdrawal was not acknowledged")
	}
	acknowledged := time.Now()
	s.record.printf("%s withdrew, acknowledged", leaving.instance)
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		s.store.setDown(true)
		time.Sleep(storeAway)
		s.store.restore(saved, func(kind string) bool { return kind == "config" })
		s.record.printf("store: back from a copy %.1f s old", time.Since(acknowledged).Seconds()+0.1)
	}
	for _, d := range s.daemons {
		d.kill()
	}
	s.record.printf("all daemons killed")
	time.Sleep(500 * time.Millisecond)
	restarted := time.Now()
	for _, d := range s.daemons {
		if err := d.start(s.dir); err != nil {
			return "", err
		}
	}
	time.Sleep(700 * time.Millisecond)
	s.record.printf("the late report arrives, acknowledged: %t", leaving.send("PUT", late))
	after := 0
	for time.Since(acknowledged) < servesOn {
		for _, d := range s.daemons {
			id := newID()
			s.send(d, attempt{id: id, method: "GET", host: siteHost, path: steadyPath + "x"})
			for _, r := range s.runsOf(id) {
				// Only requests that machines in touch took count.
				if r.Instance == leaving.instance && r.At.Sub(acknowledged) > drainBound && r.At.Sub(restarted) > inTouchAfter {
					after++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if after > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached %s later than %s after its withdrawal was acknowledged", after, leaving.instance, drainBound), nil
	}
	return "", nil
}

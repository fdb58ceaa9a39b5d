package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// downTime is how long a crashed upstream is away.
	downTime = 2 * time.Second
	// poisonInterval is the time between two copies of the crashing request.
	poisonInterval = 4 * time.Second
	// maxPoisonRetries is the number of retries that the rule allows after the third
	// crash.
	maxPoisonRetries = 3
)

var errPoison = errors.New("crashed by the request that it began to run")

// forgottenSuspect: a request crashes each upstream that runs it and comes again;
// the daemons are stopped and started one after the other, as planned.
func forgottenSuspect(root, dir string) (bool, error) {
	l, err := NewLab(root, dir, 5, 13, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer l.Close()
	var mu sync.Mutex
	var crashes []Arrival
	for _, u := range l.Upstreams {
		u.OnRun = func(a Arrival, r *http.Request) error {
			l.Record.Logf("%s runs request %s %s", a.Instance, a.ID, r.URL.Path)
			if !strings.HasSuffix(r.URL.Path, "/poison") {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, a)
			l.Record.Logf("%s crashes while it runs %s (crash %d)", a.Instance, a.ID, len(crashes))
			time.AfterFunc(downTime, func() {
				if err := u.Start(); err != nil {
					l.Record.Logf("upstream at %s does not start: %v", u.Machine.Name, err)
				}
			})
			return errPoison
		}
	}
	if err := l.Start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	sendCopies := func(n int) {
		for range n {
			// The last machine is restarted last, so its daemon knows most.
			m := l.Machines[len(l.Machines)-1]
			Send(m, "GET", searchPath+"poison", nil, searchDeadline)
			time.Sleep(poisonInterval)
		}
	}
	sendCopies(3)
	for _, m := range l.Machines[:len(l.Machines)-1] {
		if l.Trouble {
			m.Terminate()
			if err := m.Start(); err != nil {
				return false, err
			}
		}
		// All machines are in touch before the next copy.
		time.Sleep(stableWindow + 1500*time.Millisecond)
		sendCopies(3)
	}
	mu.Lock()
	defer mu.Unlock()
	retries := 0
	for i, a := range crashes {
		if i >= 3 && a.At.Sub(crashes[2].At) > stableWindow {
			retries++
		}
	}
	l.Record.Resultf("the request reached upstreams %d times, %d of them later than %s after it had crashed the third; allowed are %d", len(crashes), retries, stableWindow, maxPoisonRetries)
	return retries > maxPoisonRetries, nil
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case, from the moment at which the leaving upstream prepares its last
// status report.
const (
	withdrawAfter   = 100 * time.Millisecond
	killAfter       = 400 * time.Millisecond
	restartAfter    = 900 * time.Millisecond
	lateReportAfter = 2500 * time.Millisecond
	serveUntil      = 9 * time.Second
)

// lateReport: an upstream withdraws and its daemon is killed and started again; then
// a status report arrives that the upstream had sent before it withdrew.
func lateReport(root, dir string) (bool, error) {
	l, err := NewLab(root, dir, 3, 13, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer l.Close()
	var mu sync.Mutex
	var arrivals []Arrival
	for _, u := range l.Upstreams {
		u.OnRun = func(a Arrival, r *http.Request) error {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, a)
			l.Record.Logf("%s runs request %s %s", a.Instance, a.ID, r.URL.Path)
			return nil
		}
	}
	if err := l.Start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	leaving, daemon := l.Upstreams[0], l.Machines[0]
	stopClients := startClients(l, l.Machines)
	defer stopClients()
	time.Sleep(time.Second)

	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	leaving.StopReports()
	report := leaving.NextReport()
	l.Record.Logf("%s sends status report %d (%s), which is delayed on its way", report.Instance, report.Sequence, report.State)
	at(withdrawAfter)
	if err := leaving.Withdraw(); err != nil {
		return false, fmt.Errorf("DELETE was not acknowledged: %w", err)
	}
	ack := time.Now()
	l.Record.Logf("DELETE of %s is acknowledged by %s; the upstream serves on", report.Instance, daemon.Name)
	if l.Trouble {
		at(killAfter)
		daemon.Kill()
		at(restartAfter)
		if err := daemon.Start(); err != nil {
			return false, err
		}
	}
	at(lateReportAfter)
	err = leaving.SendReport(report)
	l.Record.Logf("status report %d of %s arrives at %s, sent before the DELETE: error %v", report.Sequence, report.Instance, daemon.Name, err)
	at(serveUntil)
	leaving.End("it has left as planned")
	time.Sleep(time.Second)
	stopClients()

	return checkDrain(l, daemon, ack, arrivals), nil
}

// startClients sends searches and submissions to machines until the returned
// function is called.
func startClients(l *Lab, machines []*Machine) func() {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range machines {
		for range 2 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(200 * time.Millisecond):
					}
					if (n+i)%3 == 0 {
						Send(m, "POST", submitPath+"place", []byte("name=village"), submitDeadline)
					} else {
						Send(m, "GET", searchPath+"place", nil, searchDeadline)
					}
				}
			})
		}
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(stop) })
		clients.Wait()
	}
}

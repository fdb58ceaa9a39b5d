package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// oddReportAfter is when the status report of another writer arrives, and
	// leavesAfter when the upstream exits, from its draining report on.
	oddReportAfter = time.Second
	leavesAfter    = 8 * time.Second
)

// oddReport: an upstream reports that it drains; then a status report of another
// writer arrives, with one field missing and one of another type.
func oddReport(root, dir string) (bool, error) {
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
	time.Sleep(stableWindow + time.Second)
	leaving, daemon := l.Upstreams[0], l.Machines[0]
	stopClients := startClients(l, l.Machines)
	defer stopClients()
	time.Sleep(time.Second)

	leaving.SetState("draining")
	report := leaving.NextReport()
	if err := leaving.SendReport(report); err != nil {
		return false, fmt.Errorf("the draining report was not acknowledged: %w", err)
	}
	ack := time.Now()
	l.Record.Logf("report %d (draining) of %s is acknowledged by %s; the upstream serves on and goes on reporting", report.Sequence, report.Instance, daemon.Name)
	time.Sleep(oddReportAfter)
	if l.Trouble {
		body := message("odd-report.tmpl", reportValues{
			Address: daemon.AppAddress, Service: service, State: "ready", Born: time.Now().UnixMilli(), Slots: 13, Sequence: 1,
		})
		err := leaving.callControl(http.MethodPut, leaving.Instance(), body)
		l.Record.Logf("a report of another writer for %s is sent to %s: %s; error %v", leaving.Instance(), daemon.Name, body, err)
	}
	time.Sleep(time.Until(ack.Add(leavesAfter)))
	leaving.End("it has left as planned")
	time.Sleep(time.Second)
	stopClients()
	return checkDrain(l, daemon, ack, arrivals), nil
}

// checkDrain reports whether requests reached the upstream of a machine later than
// drain_s after its leaving was acknowledged, sent by machines in touch.
func checkDrain(l *Lab, m *Machine, ack time.Time, arrivals []Arrival) bool {
	late, excused := 0, 0
	for _, a := range arrivals {
		if a.Machine != m.Name || a.At.Sub(ack) <= drainTime {
			continue
		}
		if !m.InTouchAt(a.At) {
			excused++
			continue
		}
		late++
		l.Record.Logf("DRAIN: %s reached %s %.3f s after its leaving was acknowledged", a.ID, a.Instance, a.At.Sub(ack).Seconds())
	}
	l.Record.Resultf("requests that reached the leaving upstream more than %s after the acknowledgement: %d from machines in touch, %d from a machine not in touch", drainTime, late, excused)
	return late > 0
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxCaseTime = 118 * time.Second
)

// Lab holds what a case runs.
type Lab struct {
	Record    *Record
	Store     *Store
	Machines  []*Machine
	Upstreams []*Upstream
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	dir     string
}

// firstVersion is the version of the first configuration.
const firstVersion = 7

// service is the service of all upstreams.
const service = "huvo11a"

var zones = []string{"palermo-a", "palermo-b", "palermo-c"}

// NewLab starts a store and prepares machines with their upstreams.
func NewLab(root, caseDir string, machines, slots int, work time.Duration) (*Lab, error) {
	record, err := NewRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &Lab{Record: record, Trouble: os.Getenv("TROUBLE") != "0"}
	record.Logf("disruption: %t", l.Trouble)
	if l.dir, err = os.MkdirTemp("", "review-case-"); err != nil {
		return nil, err
	}
	if l.Store, err = NewStore(); err != nil {
		return nil, err
	}
	if err := l.Store.Put("config", "main", Configuration(firstVersion, service, mainRoutes)); err != nil {
		return nil, err
	}
	for i := range machines {
		m, err := NewMachine(root, l.dir, fmt.Sprintf("sidecar-%d", i+1), zones[i%len(zones)], service, l.Store.Address, record)
		if err != nil {
			return nil, err
		}
		l.Machines = append(l.Machines, m)
		l.Upstreams = append(l.Upstreams, NewUpstream(m, slots, work, record))
	}
	return l, nil
}

// Start starts all daemons and upstreams and waits until each daemon is ready and
// each upstream has run a request.
func (l *Lab) Start() error {
	for i, m := range l.Machines {
		if err := m.Start(); err != nil {
			return err
		}
		if err := l.Upstreams[i].Start(); err != nil {
			return err
		}
	}
	return l.AwaitReady()
}

// AwaitReady waits until all daemons are ready and answer requests.
func (l *Lab) AwaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range l.Machines {
		for {
			if m.IsReady() {
				r := Send(m, "GET", searchPath+"warm-up", nil, searchDeadline)
				if r.Err == nil && r.Status == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s is not ready", m.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// Close ends everything that the lab started.
func (l *Lab) Close() {
	for _, m := range l.Machines {
		m.Close()
	}
	for _, u := range l.Upstreams {
		u.End("end of the case")
	}
	l.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs are kept in", l.dir)
	}
}

// cases maps the names of cases to their functions. Each returns whether the rule
// was broken.
var cases = map[string]func(root, dir string) (bool, error){
	"many-routes":       manyRoutes,
	"many-uploads":      manyUploads,
	"odd-report":        oddReport,
	"late-report":       lateReport,
	"forgotten-suspect": forgottenSuspect,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case NAME ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxCaseTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitNotRun)
	})
	broken, err := cases[os.Args[1]](os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// scene is one small deployment.
type scene struct {
	// trouble is false with TROUBLE=0: the case then plays without its disruption.
	trouble   bool
	dir       string
	record    *record
	store     *store
	daemons   []*daemon
	upstreams []*upstream
	bounds    map[string]any

	mu   sync.Mutex
	runs map[string][]run
}

func newScene(path string) (*scene, error) {
	rec, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: rec, runs: map[string][]run{}}
	s.store = newStore(rec)
	return s, nil
}

var closing sync.Mutex

// close ends all processes that the scene started.
func (s *scene) close() {
	closing.Lock()
	defer closing.Unlock()
	for _, d := range s.daemons {
		d.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(s.dir, keep)
	}
	_ = os.RemoveAll(s.dir)
}

func (s *scene) onRun(r run) {
	s.mu.Lock()
	s.runs[r.ID] = append(s.runs[r.ID], r)
	s.mu.Unlock()
	s.record.printf("run %s at %s (%s) %s tenant %q", r.ID, r.Instance, r.Service, r.Path, r.Tenant)
}

// runsOf returns the executions of a request.
func (s *scene) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs[id]...)
}

// addMachine adds a daemon with an upstream beside it; both are started by start.
func (s *scene) addMachine(name, zone, service string) (*daemon, *upstream) {
	d := newDaemon(s.dir, name, zone, service)
	u := &upstream{service: service, instance: "i-" + name + "-1", zone: zone, version: "v1", address: d.appAddr, control: d.control,
		slots: 12, work: 20 * time.Millisecond, record: s.record, onRun: s.onRun}
	s.daemons, s.upstreams = append(s.daemons, d), append(s.upstreams, u)
	return d, u
}

// addMachines adds two machines, of two services, in each of three zones.
func (s *scene) addMachines() {
	for i, zone := range []string{"perth-a", "perth-b", "perth-c"} {
		for j, service := range []string{"lookup", "archive"} {
			s.addMachine(fmt.Sprintf("m%d", 2*i+j+1), zone, service)
		}
	}
}

// startGap is the time between the starts of two machines; all start within 0.3 s.
const startGap = 40 * time.Millisecond

// start starts all machines and waits until every daemon is ready.
func (s *scene) start() error {
	for i, d := range s.daemons {
		if err := d.writeSettings(s.store.address(), s.bounds); err != nil {
			return err
		}
		if err := d.start(s.dir); err != nil {
			return err
		}
		if err := s.upstreams[i].start(); err != nil {
			return err
		}
		time.Sleep(startGap)
	}
	for _, d := range s.daemons {
		for end := time.Now().Add(10 * time.Second); !d.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return errors.New("daemon " + d.name + " is not ready after 10 s")
			}
		}
	}
	return nil
}

// send sends a request to a daemon and records it with its answer.
func (s *scene) send(d *daemon, a attempt) result {
	s.record.printf("send %s to %s: %s %s%s key %q", a.id, d.name, a.method, a.host, a.path, a.key)
	r := do(d.outbound, a)
	s.record.printf("answer %s: status %d, seal %q, error %v", a.id, r.status, r.seal, r.err)
	return r
}

// grace is how long a daemon may take after SIGTERM.
const grace = 6 * time.Second

// restart stops a daemon and starts it again on its own, as the platform does.
func (s *scene) restart(d *daemon) error {
	s.record.printf("%s gets SIGTERM", d.name)
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(grace):
		d.kill()
	}
	s.record.printf("%s has ended and is started again", d.name)
	return d.start(s.dir)
}

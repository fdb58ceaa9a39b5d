package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploads is the number of clients that send a long body at the same time.
	uploads = 48
	// uploadBytes is the length of such a body, below 8 MiB.
	uploadBytes = 7_500_000
	// searchers is the number of other clients, with kept connections.
	searchers = 30
	// memoryCheckInterval is the time between two looks at a daemon's memory.
	memoryCheckInterval = 5 * time.Millisecond
	// restartDelay is how long after its end a daemon is started again.
	restartDelay = 500 * time.Millisecond
	// maxLost is the number of requests on kept connections that the rule allows to
	// lose.
	maxLost = 3
)

// manyUploads: many clients of one machine send long bodies at once, while others
// send short requests over kept connections. The platform kills a daemon that
// exceeds its memory.
func manyUploads(root, dir string) (bool, error) {
	l, err := NewLab(root, dir, 3, 13, 160*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer l.Close()
	var ran sync.Map
	for _, u := range l.Upstreams {
		u.OnRun = func(a Arrival, r *http.Request) error {
			ran.Store(a.ID, a.Instance)
			l.Record.Logf("%s runs request %s %s, %d bytes", a.Instance, a.ID, r.URL.Path, a.Body)
			return nil
		}
	}
	if err := l.Start(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)

	stop := make(chan struct{})
	var tasks sync.WaitGroup
	var kills, lost atomic.Int64
	for _, m := range l.Machines {
		tasks.Go(func() { enforceMemory(m, l.Record, stop, &kills) })
	}
	for range searchers {
		tasks.Go(func() {
			c := &KeptClient{machine: l.Machines[0]}
			defer c.Close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				r, kept := c.Send("GET", searchPath+"place", nil, searchDeadline)
				if instance, passedOn := ran.Load(r.ID); isCut(r.Err) && kept && passedOn {
					lost.Add(1)
					l.Record.Logf("LOST: %s was passed on to %s, and its kept connection ended without an answer", r.ID, instance)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	body := make([]byte, uploadBytes)
	upload := func() {
		c := &KeptClient{machine: l.Machines[0]}
		defer c.Close()
		c.Send("POST", submitPath+"place", body, submitDeadline)
	}
	if l.Trouble {
		var clients sync.WaitGroup
		for range uploads {
			clients.Go(upload)
		}
		clients.Wait()
	} else {
		for range uploads {
			upload()
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	tasks.Wait()
	l.Record.Resultf("daemons that exceeded %d MB: %d; requests passed on from kept connections that ended without an answer: %d; allowed are %d", memoryMB, kills.Load(), lost.Load(), maxLost)
	return lost.Load() > maxLost, nil
}

// isCut reports whether a connection ended without a complete answer.
func isCut(err error) bool {
	var netErr net.Error
	if err == nil || errors.Is(err, errNotConnected) {
		return false
	}
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// enforceMemory kills a daemon that exceeds its memory and starts it again, as the
// platform does.
func enforceMemory(m *Machine, record *Record, stop <-chan struct{}, kills *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheckInterval):
		}
		used := residentMB(m.PID())
		if used <= memoryMB {
			continue
		}
		kills.Add(1)
		record.Logf("daemon %s uses %d MB of %d MB", m.Name, used, memoryMB)
		m.Signal(syscall.SIGKILL)
		<-m.Exited()
		time.Sleep(restartDelay)
		if err := m.Start(); err != nil {
			record.Logf("daemon %s does not start: %v", m.Name, err)
			return
		}
	}
}

// residentMB returns the resident memory of a process in MB, 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

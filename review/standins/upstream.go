package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one execution of a request at an upstream.
type run struct {
	ID, Service, Instance, Path, Tenant string
	At                                  time.Time
}

// upstream stands in for an application upstream beside one daemon (PROTOCOL, "Upstreams"
// and "Service discovery").
type upstream struct {
	service, instance, zone, version string
	address, control                 string
	slots                            int
	work                             time.Duration
	record                           *record
	onRun                            func(run)
	// fail means that every run ends with an error, as those of a bad version do.
	fail bool

	server   *http.Server
	born     int64
	mu       sync.Mutex
	sequence uint64
	state    string
	stop     chan struct{}
}

// start listens at the upstream's address and reports every 1.5 s, as the settings say.
func (u *upstream) start() error {
	ln, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.born, u.state, u.stop = time.Now().UnixMilli(), "ready", make(chan struct{})
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(ln) }()
	go u.beat()
	return nil
}

func (u *upstream) beat() {
	u.report()
	tick := time.NewTicker(1500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-u.stop:
			return
		case <-tick.C:
			u.report()
		}
	}
}

// report sends a status report and returns whether it was acknowledged.
func (u *upstream) report() bool {
	u.mu.Lock()
	u.sequence++
	text := u.text()
	u.mu.Unlock()
	return u.send(http.MethodPut, text)
}

// text returns a status report.
func (u *upstream) text() []byte {
	text, _ := json.Marshal(map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": u.version, "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": u.state, "sequence": u.sequence, wire["cold_left"]: 0},
	})
	return text
}

// drain reports that the upstream leaves and returns whether that was acknowledged.
func (u *upstream) drain() bool {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	return u.report()
}

// leave withdraws the upstream and returns whether that was acknowledged.
func (u *upstream) leave() bool {
	close(u.stop)
	return u.send(http.MethodDelete, nil)
}

// end closes the upstream without a word.
func (u *upstream) end() {
	select {
	case <-u.stop:
	default:
		close(u.stop)
	}
	_ = u.server.Close()
}

func (u *upstream) send(method string, body []byte) bool {
	req, err := http.NewRequest(method, "http://"+u.control+wire["instances"]+u.instance, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode/100 == 2
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if id != "" {
		w.Header().Set(headerID, id)
	}
	if target := r.Header.Get(wire["target"]); target != "" && target != u.instance {
		w.Header().Set(wire["instance_id"], u.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set(wire["instance_id"], u.instance)
		return
	}
	if id == "" {
		w.Header().Set(wire["not_executed"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if u.onRun != nil {
		u.onRun(run{ID: id, Service: u.service, Instance: u.instance, Path: r.URL.RequestURI(), Tenant: r.Header.Get(wire["tenant"]), At: time.Now()})
	}
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(wire["seal"], "seal-"+u.instance+"-"+id)
	if u.fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %d\n", u.instance, r.Method, r.URL.RequestURI(), len(body))
}

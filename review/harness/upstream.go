package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two status reports of an upstream.
const heartbeat = 1500 * time.Millisecond

// ackTimeout is how long an upstream waits for the acknowledgement of a report.
const ackTimeout = time.Second

// Arrival is one request that an upstream began to run.
type Arrival struct {
	At                            time.Time
	ID, Instance, Machine, Target string
	Body                          int
}

// Upstream is a stand-in for an application upstream: one boot of it at a time, at
// one address, beside one daemon.
type Upstream struct {
	Machine *Machine
	Slots   int
	// Work is how long a request runs.
	Work time.Duration
	// OnRun is called for each request that begins to run. If it returns an error,
	// the upstream crashes.
	OnRun func(Arrival, *http.Request) error
	// AfterAnswer may write further bytes after an answer; it may be nil.
	AfterAnswer func(c net.Conn, r *http.Request, status int)
	record      *Record
	slots       chan struct{}

	mu       sync.Mutex
	boots    int
	instance string
	born     int64
	sequence int
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	stop     context.CancelFunc
}

// NewUpstream returns an upstream that is not running.
func NewUpstream(m *Machine, slots int, work time.Duration, record *Record) *Upstream {
	return &Upstream{Machine: m, Slots: slots, Work: work, record: record, slots: make(chan struct{}, slots), conns: map[net.Conn]bool{}}
}

// Start starts a new boot and its status reports.
func (u *Upstream) Start() error {
	ln, err := net.Listen("tcp", u.Machine.AppAddress)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	u.mu.Lock()
	u.boots++
	u.instance, u.born, u.sequence, u.state = fmt.Sprintf("i-%s-%d", u.Machine.Name, u.boots), time.Now().UnixMilli(), 0, "ready"
	u.listener, u.stop = ln, stop
	instance := u.instance
	u.mu.Unlock()
	u.record.Logf("upstream %s starts at %s", instance, u.Machine.AppAddress)
	go u.accept(ln, instance)
	go u.reportAll(ctx)
	return nil
}

// Instance returns the id of the current boot.
func (u *Upstream) Instance() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance
}

// End ends the current boot: it closes the listener and resets all connections. It
// reports whether it was running.
func (u *Upstream) End(why string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil {
		return false
	}
	u.stop()
	_ = u.listener.Close()
	u.listener = nil
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	u.conns = map[net.Conn]bool{}
	u.record.Logf("upstream %s ends: %s", u.instance, why)
	return true
}

// SetState sets the state in later status reports.
func (u *Upstream) SetState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// StopReports ends the periodic status reports.
func (u *Upstream) StopReports() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stop()
}

func (u *Upstream) reportAll(ctx context.Context) {
	for ctx.Err() == nil {
		if err := u.SendReport(u.NextReport()); err != nil && ctx.Err() == nil {
			u.record.Logf("status report of %s not acknowledged: %v", u.Instance(), err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// Report is a status report.
type Report struct {
	Instance string
	Sequence int
	State    string
	body     []byte
}

// NextReport returns the next status report of the current boot.
func (u *Upstream) NextReport() Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	body := message("report.tmpl", reportValues{
		Address: u.Machine.AppAddress, Service: u.Machine.Service, Zone: u.Machine.Zone, State: u.state,
		Born: u.born, Slots: u.Slots, Sequence: u.sequence,
	})
	return Report{Instance: u.instance, Sequence: u.sequence, State: u.state, body: body}
}

// SendReport sends a report; nil means that it was acknowledged.
func (u *Upstream) SendReport(r Report) error {
	return u.callControl(http.MethodPut, r.Instance, r.body)
}

// Withdraw sends the DELETE of the current boot; nil means that it was acknowledged.
func (u *Upstream) Withdraw() error { return u.callControl(http.MethodDelete, u.Instance(), nil) }

func (u *Upstream) callControl(method, instance string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.Machine.Control+names.InstancesPath+instance, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func (u *Upstream) accept(ln net.Listener, instance string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if u.instance != instance || u.listener == nil {
			u.mu.Unlock()
			_ = c.Close()
			continue
		}
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c, instance)
	}
}

// serve answers the requests of one connection, one at a time.
func (u *Upstream) serve(c net.Conn, instance string) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		status, ok := u.answer(c, r, instance, int(body))
		if !ok {
			return
		}
		if u.AfterAnswer != nil {
			u.AfterAnswer(c, r, status)
		}
	}
}

// answer runs one request and writes its answer. It returns false if the connection
// has ended.
func (u *Upstream) answer(c net.Conn, r *http.Request, instance string, body int) (int, bool) {
	id := r.Header.Get(names.ID)
	a := Arrival{At: time.Now(), ID: id, Instance: instance, Machine: u.Machine.Name, Target: r.Header.Get(names.Target), Body: body}
	if target := r.Header.Get(names.Target); target != "" && target != instance {
		return 421, writeAnswer(c, 421, "Misdirected Request", [][2]string{{names.ID, id}, {names.Instance, instance}}, "")
	}
	select {
	case u.slots <- struct{}{}:
	default:
		return 503, writeAnswer(c, 503, "Service Unavailable", [][2]string{{names.ID, id}, {names.NotRun, "1"}}, "")
	}
	defer func() { <-u.slots }()
	if u.OnRun != nil {
		if err := u.OnRun(a, r); err != nil {
			u.End(err.Error())
			return 0, false
		}
	}
	time.Sleep(u.Work)
	return 200, writeAnswer(c, 200, "OK", [][2]string{{names.ID, id}, {names.Seal, "seal." + instance + "." + id}}, AnswerBody(instance, id))
}

// AnswerBody returns the body of an instance's answer to a request.
func AnswerBody(instance, id string) string { return "answer of " + instance + " to " + id + "\n" }

func writeAnswer(c net.Conn, status int, reason string, header [][2]string, body string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, reason)
	for _, h := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

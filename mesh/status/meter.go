package status

import (
	"context"
	"errors"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
)

// Meter measures the calls that pass through one daemon.
type Meter struct {
	mu      sync.Mutex
	classes Classes
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{classes: Classes{}} }

// Called counts one call that the daemon took from a caller.
func (m *Meter) Called(r *call.Request, took time.Duration, err error) {
	if r.Class == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.classes.Of(ClassKey{r.Service, r.ClassName})
	c.Offered++
	client := ClientCounts{Offered: 1}
	switch verdictOf(err) {
	case call.NotRun:
		c.NotRun++
	case call.MayHaveRun:
		c.MayHaveRun++
	case call.Ran:
		c.Answered++
		c.Latency.Record(took)
		if took <= r.Class.Latency {
			c.Good++
			client.Good = 1
		}
	}
	c.addClient(r.Client, client)
}

func verdictOf(err error) call.Verdict {
	var f *call.Failure
	switch {
	case err == nil:
		return call.Ran
	case errors.As(err, &f):
		return f.Verdict
	}
	return call.MayHaveRun
}

// served counts the time that the backend server took for a call.
func (m *Meter) served(r *call.Request, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.classes.Of(ClassKey{r.Service, r.ClassName}).ServiceTime.Record(took)
}

// take returns the counts since the last take.
func (m *Meter) take() Classes {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.classes
	m.classes = Classes{}
	return taken
}

// TimedHandler measures how long a callee takes for the calls that it answers.
type TimedHandler struct {
	Handler call.Handler
	Meter   *Meter
}

// Call passes the call on.
func (t *TimedHandler) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	start := time.Now()
	answer, err := t.Handler.Call(ctx, r)
	if err == nil {
		t.Meter.served(r, time.Since(start))
	}
	return answer, err
}

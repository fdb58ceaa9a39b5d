package status

import (
	"context"
	"errors"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
)

// Meter counts the calls of one daemon.
type Meter struct {
	mu      sync.Mutex
	classes Classes
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{classes: Classes{}} }

// ObserveCall counts one call that the daemon received from a caller.
func (m *Meter) ObserveCall(r *call.Request, duration time.Duration, err error) {
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
		c.Latency.Record(duration)
		if duration <= r.Class.Latency {
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

// recordServiceTime records the time that the backend server took for a call.
func (m *Meter) recordServiceTime(r *call.Request, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.classes.Of(ClassKey{r.Service, r.ClassName}).ServiceTime.Record(duration)
}

// take returns the counts since the last take.
func (m *Meter) take() Classes {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.classes
	m.classes = Classes{}
	return counts
}

// TimedHandler measures how long a handler takes for the calls that it
// answers.
type TimedHandler struct {
	Handler call.Handler
	Meter   *Meter
}

// Call passes the call to the handler.
func (t *TimedHandler) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	start := time.Now()
	answer, err := t.Handler.Call(ctx, r)
	if err == nil {
		t.Meter.recordServiceTime(r, time.Since(start))
	}
	return answer, err
}

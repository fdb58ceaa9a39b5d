package invariant

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/platform/platformtest"
)

func submission() Request {
	return Request{ID: "a", Method: "POST", URI: "/submit/a", Body: 5, Services: []string{"lookup"}, Origin: "archive", SentAt: time.Now()}
}

func runOf(r Request) platformtest.Execution {
	return platformtest.Execution{ID: r.ID, Method: r.Method, URI: r.URI, Body: r.Body, Service: "lookup", Instance: "i-1", Origin: r.Origin, At: time.Now()}
}

func TestEachBrokenPromiseIsNamed(t *testing.T) {
	for name, c := range map[string]struct {
		happen func(l *Ledger, r Request, run platformtest.Execution)
		want   []string
	}{
		"all kept": {func(l *Ledger, r Request, run platformtest.Execution) {
			l.Ran(run)
			l.Answered(r.ID, Answer{Status: 200, Sealed: true, Body: run.ResponseBody()})
		}, nil},
		"ran twice": {func(l *Ledger, r Request, run platformtest.Execution) { l.Ran(run); l.Ran(run) }, []string{"twice"}},
		"untrue refusal": {func(l *Ledger, r Request, run platformtest.Execution) {
			l.Answered(r.ID, Answer{Status: 503})
			l.Ran(run)
		}, []string{"refused"}},
		"refused and not run": {func(l *Ledger, r Request, run platformtest.Execution) { l.Answered(r.ID, Answer{Status: 503}) }, nil},
		"another answer": {func(l *Ledger, r Request, run platformtest.Execution) {
			l.Ran(run)
			l.Answered(r.ID, Answer{Status: 200, Sealed: true, Body: "i-1 POST /submit/b 5"})
		}, []string{"mixed"}},
		"no seal": {func(l *Ledger, r Request, run platformtest.Execution) {
			l.Ran(run)
			l.Answered(r.ID, Answer{Status: 200, Body: run.ResponseBody()})
		}, []string{"mixed"}},
		"changed body":  {func(l *Ledger, r Request, run platformtest.Execution) { run.Body++; l.Ran(run) }, []string{"unasked"}},
		"forged origin": {func(l *Ledger, r Request, run platformtest.Execution) { run.Origin = "forged"; l.Ran(run) }, []string{"unasked"}},
		"nobody's":      {func(l *Ledger, r Request, run platformtest.Execution) { run.ID = "b"; l.Ran(run) }, []string{"unasked"}},
		"wrong service": {func(l *Ledger, r Request, run platformtest.Execution) { run.Service = "archive"; l.Ran(run) }, []string{"route"}},
		"lost":          {func(l *Ledger, r Request, run platformtest.Execution) { l.Ran(run); l.Cut(r.ID) }, []string{"lost"}},
		"cut unread":    {func(l *Ledger, r Request, run platformtest.Execution) { l.Cut(r.ID) }, nil},
		"denied":        {func(l *Ledger, r Request, run platformtest.Execution) { l.Answered(r.ID, Answer{Status: 404}) }, []string{"denied"}},
		"after departure": {func(l *Ledger, r Request, run platformtest.Execution) {
			l.Departed(run.Instance, run.At.Add(-DrainLimit-time.Millisecond))
			l.Ran(run)
		}, []string{"drain"}},
		"repeats": {func(l *Ledger, r Request, run platformtest.Execution) {
			r.Idempotent = true
			l.Sent(r)
			for range BudgetSlack + 2 {
				l.Ran(run)
			}
		}, []string{"budget"}},
		"seen elsewhere": {func(l *Ledger, r Request, run platformtest.Execution) { l.Break("config: went back") }, []string{"config"}},
	} {
		t.Run(name, func(t *testing.T) {
			l, r := NewLedger(), submission()
			l.Sent(r)
			c.happen(l, r, runOf(r))
			got := Kinds(l.Broken(func(platformtest.Execution) bool { return false }))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

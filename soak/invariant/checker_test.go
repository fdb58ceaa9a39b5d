package invariant

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/platform/platformtest"
)

func submission() Request {
	return Request{ID: "a", Method: "POST", URI: "/submit/a", Body: 5, Services: []string{"lookup"}, Origin: "archive", Key: "key-a", SentAt: time.Now()}
}

func executionOf(r Request) platformtest.Execution {
	return platformtest.Execution{ID: r.ID, Method: r.Method, URI: r.URI, Body: r.Body, Service: "lookup", Instance: "i-1", Origin: r.Origin, Account: "account-a", At: time.Now()}
}

func TestCheckerReportsKindOfViolation(t *testing.T) {
	for name, c := range map[string]struct {
		record func(checker *Checker, r Request, execution platformtest.Execution)
		want   []string
	}{
		"no violation": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordExecution(execution)
			checker.RecordResponse(r.ID, Response{Status: 200, Sealed: true, Body: execution.ResponseBody()})
		}, nil},
		"non-idempotent request executed twice": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordExecution(execution)
			checker.RecordExecution(execution)
		}, []string{"twice"}},
		"refused but executed": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordResponse(r.ID, Response{Status: 503})
			checker.RecordExecution(execution)
		}, []string{"refused"}},
		"refused and not executed": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordResponse(r.ID, Response{Status: 503})
		}, nil},
		"response of another request": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordExecution(execution)
			checker.RecordResponse(r.ID, Response{Status: 200, Sealed: true, Body: "i-1 POST /submit/b 5"})
		}, []string{"mixed"}},
		"response without seal": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordExecution(execution)
			checker.RecordResponse(r.ID, Response{Status: 200, Body: execution.ResponseBody()})
		}, []string{"mixed"}},
		"changed body": {func(checker *Checker, r Request, execution platformtest.Execution) {
			execution.Body++
			checker.RecordExecution(execution)
		}, []string{"unasked"}},
		"forged origin": {func(checker *Checker, r Request, execution platformtest.Execution) {
			execution.Origin = "forged"
			checker.RecordExecution(execution)
		}, []string{"unasked"}},
		"unknown request": {func(checker *Checker, r Request, execution platformtest.Execution) {
			execution.ID = "b"
			checker.RecordExecution(execution)
		}, []string{"unasked"}},
		"service not routed to": {func(checker *Checker, r Request, execution platformtest.Execution) {
			execution.Service = "archive"
			checker.RecordExecution(execution)
		}, []string{"route"}},
		"disconnected after execution": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordExecution(execution)
			checker.RecordDisconnect(r.ID)
		}, []string{"lost"}},
		"disconnected before execution": {func(checker *Checker, r Request, execution platformtest.Execution) { checker.RecordDisconnect(r.ID) }, nil},
		"denied": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordResponse(r.ID, Response{Status: 404})
		}, []string{"denied"}},
		"executed after departure": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordDeparture(execution.Instance, execution.At.Add(-DrainLimit-time.Millisecond))
			checker.RecordExecution(execution)
		}, []string{"drain"}},
		"retries over budget": {func(checker *Checker, r Request, execution platformtest.Execution) {
			r.Idempotent = true
			checker.RecordRequest(r)
			for range BudgetBurst + 2 {
				checker.RecordExecution(execution)
			}
		}, []string{"budget"}},
		"key passed on to a backend server": {func(checker *Checker, r Request, execution platformtest.Execution) {
			execution.Key = r.Key
			checker.RecordExecution(execution)
		}, []string{"key"}},
		"executed without a key": {func(checker *Checker, r Request, execution platformtest.Execution) {
			r.Key = ""
			checker.RecordRequest(r)
			checker.RecordExecution(execution)
		}, []string{"key"}},
		"executed with a key that was never held": {func(checker *Checker, r Request, execution platformtest.Execution) {
			r.Key = "key-b"
			checker.RecordRequest(r)
			checker.RecordExecution(execution)
		}, []string{"key"}},
		"executed for another account": {func(checker *Checker, r Request, execution platformtest.Execution) {
			execution.Account = "account-b"
			checker.RecordExecution(execution)
		}, []string{"account"}},
		"public request with a forged account": {func(checker *Checker, r Request, execution platformtest.Execution) {
			r.Public = true
			checker.RecordRequest(r)
			checker.RecordExecution(execution)
		}, []string{"account"}},
		"sent too long after the revocation": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordRevocation(r.Key, r.SentAt.Add(-RevokeLimit-time.Millisecond))
			checker.RecordExecution(execution)
		}, []string{"revoked"}},
		"sent soon after the revocation": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordRevocation(r.Key, r.SentAt.Add(-RevokeLimit))
			checker.RecordExecution(execution)
		}, nil},
		"violation found by the caller": {func(checker *Checker, r Request, execution platformtest.Execution) {
			checker.RecordViolation("config: version rolled back")
		}, []string{"config"}},
	} {
		t.Run(name, func(t *testing.T) {
			checker, r := NewChecker(), submission()
			checker.RecordRequest(r)
			checker.RecordKey("key-a", "account-a", r.SentAt.Add(-time.Minute))
			c.record(checker, r, executionOf(r))
			got := Kinds(checker.Violations(func(platformtest.Execution) bool { return false }))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

package callhttp

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// writeDaemonFields adds the fields that all daemons read. The client of a call with an
// account is that account, which travels in its own field.
func writeDaemonFields(ctx context.Context, r *call.Request, req *fasthttp.Request) {
	client := r.Client
	if r.Account != "" {
		client = ""
	}
	writeMeshFields(ctx, client, r.Depth, req)
}

// writeForwardFields adds the fields that only the daemon beside the backend
// server needs.
func writeForwardFields(r *call.Request, req *fasthttp.Request) {
	h := &req.Header
	h.Set(headerServer, r.Server)
	h.Set(headerService, r.Service)
	h.Set(headerAttempt, strconv.Itoa(r.Attempt))
	h.Set(headerElapsed, strconv.FormatInt(r.Elapsed.Milliseconds(), 10))
	setNonEmpty(h, headerClass, formatClass(r))
	setNonEmpty(h, headerID, r.ID)
	setNonEmpty(h, headerOrigin, r.Origin)
	setNonEmpty(h, headerInstance, r.Instance)
	setNonEmpty(h, headerAccount, r.Account)
	if r.Suspect {
		h.Set(headerSuspect, "1")
	}
}

func setNonEmpty(h *fasthttp.RequestHeader, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// readForwardFields reads the fields set by the forwarding daemon into r and
// returns the remaining time of the call, 0 if there is no limit.
func readForwardFields(req *fasthttp.Request, r *call.Request) (time.Duration, error) {
	h := &req.Header
	r.Account = string(h.Peek(headerAccount))
	r.Client = cmp.Or(r.Account, string(h.Peek(HeaderClient)))
	r.Server = string(h.Peek(headerServer))
	r.Service = string(h.Peek(headerService))
	r.ID = string(h.Peek(headerID))
	r.Origin = string(h.Peek(headerOrigin))
	r.Instance = string(h.Peek(headerInstance))
	r.Suspect = len(h.Peek(headerSuspect)) > 0
	var err error
	if r.Attempt, err = strconv.Atoi(string(h.Peek(headerAttempt))); err != nil {
		return 0, fmt.Errorf("%s: %w", headerAttempt, err)
	}
	elapsed, err := strconv.ParseInt(string(h.Peek(headerElapsed)), 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", headerElapsed, err)
	}
	r.Elapsed = time.Duration(elapsed) * time.Millisecond
	if r.Depth, err = parseDepth(req); err != nil {
		return 0, err
	}
	if err := parseClass(string(h.Peek(headerClass)), r); err != nil {
		return 0, err
	}
	return parseTimeout(req)
}

// formatClass encodes the whole class of a call, since the daemon beside the
// backend server may not have the configuration version that classified it.
func formatClass(r *call.Request) string {
	c := r.Class
	if c == nil || r.ClassName == "" {
		return ""
	}
	return fmt.Sprintf("%s %d %d %d %g %t", r.ClassName, c.Rank,
		c.Latency.Microseconds(), c.Timeout.Microseconds(), c.GuaranteedShare, c.Idempotent)
}

func parseClass(text string, r *call.Request) error {
	if text == "" {
		return nil
	}
	parts := strings.Split(text, " ")
	if len(parts) != 6 {
		return fmt.Errorf("%s: %.80q, want 6 fields separated by spaces", headerClass, text)
	}
	c := &target.Class{Name: parts[0], Idempotent: parts[5] == "true"}
	rank, err1 := strconv.Atoi(parts[1])
	latency, err2 := strconv.ParseInt(parts[2], 10, 64)
	timeout, err3 := strconv.ParseInt(parts[3], 10, 64)
	guaranteedShare, err4 := strconv.ParseFloat(parts[4], 64)
	for _, err := range []error{err1, err2, err3, err4} {
		if err != nil {
			return fmt.Errorf("%s: %w", headerClass, err)
		}
	}
	c.Rank, c.GuaranteedShare = rank, guaranteedShare
	c.Latency, c.Timeout = time.Duration(latency)*time.Microsecond, time.Duration(timeout)*time.Microsecond
	r.Class, r.ClassName = c, c.Name
	return nil
}

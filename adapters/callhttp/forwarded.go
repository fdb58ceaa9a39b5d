package callhttp

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// writeForwarded adds what only the daemon beside the backend server needs.
func writeForwarded(r *call.Request, req *fasthttp.Request) {
	h := &req.Header
	h.Set(headerServer, r.Server)
	h.Set(headerService, r.Service)
	h.Set(headerAttempt, strconv.Itoa(r.Attempt))
	h.Set(headerSpent, strconv.FormatInt(r.Elapsed.Milliseconds(), 10))
	setIf(h, headerClass, formatClass(r))
	setIf(h, headerID, r.ID)
	setIf(h, headerOrigin, r.Origin)
	setIf(h, headerInstance, r.Instance)
	if r.Suspect {
		h.Set(headerSuspect, "1")
	}
}

func setIf(h *fasthttp.RequestHeader, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// readForwarded takes what the forwarding daemon says of a call, and returns
// the time left for it, 0 if there is no limit.
func readForwarded(req *fasthttp.Request, r *call.Request) (time.Duration, error) {
	h := &req.Header
	r.Client = string(h.Peek(HeaderClient))
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
	spent, err := strconv.ParseInt(string(h.Peek(headerSpent)), 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", headerSpent, err)
	}
	r.Elapsed = time.Duration(spent) * time.Millisecond
	if r.Depth, err = depthOf(req); err != nil {
		return 0, err
	}
	if err := parseClass(string(h.Peek(headerClass)), r); err != nil {
		return 0, err
	}
	return timeoutOf(req)
}

// formatClass describes the class of a call, so that the daemon beside the
// backend server need not know the version that the call was classified by.
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
		return fmt.Errorf("%s is %.80q", headerClass, text)
	}
	c := &target.Class{Name: parts[0], Idempotent: parts[5] == "true"}
	rank, err1 := strconv.Atoi(parts[1])
	latency, err2 := strconv.ParseInt(parts[2], 10, 64)
	timeout, err3 := strconv.ParseInt(parts[3], 10, 64)
	keep, err4 := strconv.ParseFloat(parts[4], 64)
	for _, err := range []error{err1, err2, err3, err4} {
		if err != nil {
			return fmt.Errorf("%s: %w", headerClass, err)
		}
	}
	c.Rank, c.GuaranteedShare = rank, keep
	c.Latency, c.Timeout = time.Duration(latency)*time.Microsecond, time.Duration(timeout)*time.Microsecond
	r.Class, r.ClassName = c, c.Name
	return nil
}

package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"fescuehoist.example/platform/platformtest"
)

// response is what a caller receives.
type response struct {
	status     int
	seal       string
	retryAfter string
	body       string
}

func sendRequest(t *testing.T, h *host, method, path, id string) response {
	t.Helper()
	return sendBody(t, h, method, path, id, strings.Repeat("b", 64))
}

// sendBody sends a request with a body and reads the answer to its end.
func sendBody(t *testing.T, h *host, method, path, id, body string) response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "site.example"
	req.Header.Set(platformtest.HeaderRequestID, id)
	req.Header.Set(platformtest.HeaderDeadline, "5000")
	req.Header.Set(platformtest.HeaderCallerService, "forged")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answered, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header.Get(platformtest.HeaderSeal), resp.Header.Get("Retry-After"), string(answered)}
}

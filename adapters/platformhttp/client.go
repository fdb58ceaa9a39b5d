// Package platformhttp is a client of the platform's object API over HTTP. It
// stores configuration, leases, status summaries and planned stops.
package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
)

// Timeouts of calls to the platform.
const (
	// CallTimeout bounds every call except a watch.
	CallTimeout = 2 * time.Second
	// WatchTimeout is the maximum time that a watch waits for a change.
	WatchTimeout = 20 * time.Second
)

// Object is an object stored in the platform. Its version changes with every
// write.
type Object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Client calls the platform's object API.
type Client struct {
	pool  *httpconn.Pool
	calls atomic.Uint64
}

// Calls returns the number of calls made, including those that failed. A watch
// counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// NewClient returns a client of the platform at address, over plain TCP.
func NewClient(address string) *Client { return NewClientWithDial(address, nil) }

// NewClientWithDial returns a client that opens connections with dial; nil
// means plain TCP.
func NewClientWithDial(address string, dial httpconn.DialFunc) *Client {
	return &Client{pool: httpconn.NewPool(address, dial)}
}

// OnMalformed sets a function that is called for each malformed answer of the platform.
// It must be called before the first call.
func (c *Client) OnMalformed(report func(address string, err *httpconn.MalformedError)) {
	c.pool.OnMalformed(report)
}

// Close closes all idle connections.
func (c *Client) Close() { c.pool.Close() }

// Get returns the object at key, or manifest.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (*Object, error) {
	return c.object(ctx, CallTimeout, "GET", objectURI(key), nil, "")
}

// Watch waits until the object's version is above after and returns the object,
// or manifest.ErrUnchanged if there was no change within WatchTimeout.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (*Object, error) {
	uri := fmt.Sprintf("/v1/watch?key=%s&after=%d&timeout_ms=%d", url.QueryEscape(key), after, WatchTimeout.Milliseconds())
	return c.object(ctx, WatchTimeout+CallTimeout, "GET", uri, nil, "")
}

// Put writes an object if its version is still expect; 0 means that the object
// must not exist. It returns the new version, manifest.ErrConflict if the
// version differs, or manifest.ErrOutcomeUnknown if the write may have taken
// effect.
func (c *Client) Put(ctx context.Context, key string, value any, expect uint64) (uint64, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("object %s: %w", key, err)
	}
	o, err := c.object(ctx, CallTimeout, "PUT", objectURI(key), body, strconv.FormatUint(expect, 10))
	if err != nil {
		return 0, err
	}
	return o.Version, nil
}

// List returns all objects whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var list struct {
		Objects []Object `json:"objects"`
	}
	err := c.do(ctx, CallTimeout, "GET", "/v1/objects?prefix="+url.QueryEscape(prefix), nil, "", &list)
	return list.Objects, err
}

func objectURI(key string) string { return "/v1/objects/" + key }

func (c *Client) object(ctx context.Context, timeout time.Duration, method, uri string, body []byte, ifMatch string) (*Object, error) {
	o := &Object{}
	if err := c.do(ctx, timeout, method, uri, body, ifMatch, o); err != nil {
		return nil, err
	}
	return o, nil
}

func (c *Client) do(ctx context.Context, timeout time.Duration, method, uri string, body []byte, ifMatch string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetHost("platform")
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	c.calls.Add(1)
	if err := c.pool.Do(ctx, req, resp); err != nil {
		return requestError(method, uri, err)
	}
	return decodeResponse(method, uri, resp, out)
}

// requestError wraps an error returned by the connection pool. It adds
// manifest.ErrOutcomeUnknown if the request is a write that may have taken effect.
func requestError(method, uri string, err error) error {
	var f *call.Failure
	if method == "PUT" && errors.As(err, &f) && f.Verdict != call.NotRun {
		return fmt.Errorf("%s %s: %w: %w", method, uri, manifest.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%s %s: %w", method, uri, err)
}

// decodeResponse stores the response body in out, or maps the status to an
// error of package manifest.
func decodeResponse(method, uri string, resp *fasthttp.Response, out any) error {
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusNotFound:
		return fmt.Errorf("%s %s: %w", method, uri, manifest.ErrNotFound)
	case status == fasthttp.StatusNotModified:
		return fmt.Errorf("%s %s: %w", method, uri, manifest.ErrUnchanged)
	case status == fasthttp.StatusPreconditionFailed:
		return fmt.Errorf("%s %s: %w", method, uri, manifest.ErrConflict)
	case status >= 500 && method == "PUT":
		return fmt.Errorf("%s %s: status %d: %w", method, uri, status, manifest.ErrOutcomeUnknown)
	case status != fasthttp.StatusOK && status != fasthttp.StatusCreated:
		return fmt.Errorf("%s %s: status %d", method, uri, status)
	}
	err := json.Unmarshal(resp.Body(), out)
	switch {
	case err != nil && method == "PUT":
		return fmt.Errorf("%s %s: %w: %w", method, uri, manifest.ErrOutcomeUnknown, err)
	case err != nil:
		return &manifest.MalformedError{Object: uri, Err: err}
	}
	return nil
}

// Package platformhttp speaks the platform's object API.
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
	// CallTimeout bounds a call that answers at once.
	CallTimeout = 2 * time.Second
	// WatchTimeout is how long a watch waits for a change.
	WatchTimeout = 20 * time.Second
)

// Object is one object of the platform.
type Object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Client calls the platform.
type Client struct {
	pool  *httpconn.Pool
	calls atomic.Uint64
}

// Calls returns the number of calls made, a waiting watch counted as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// NewClient returns a client of the platform at an address, over plain TCP.
func NewClient(address string) *Client { return NewClientWithDial(address, nil) }

// NewClientWithDial returns a client whose connections dial opens.
func NewClientWithDial(address string, dial httpconn.DialFunc) *Client {
	return &Client{pool: httpconn.NewPool(address, dial)}
}

// Close closes all idle connections.
func (c *Client) Close() { c.pool.Close() }

// Get returns an object, or manifest.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (*Object, error) {
	return c.object(ctx, CallTimeout, "GET", objectURI(key), nil, "")
}

// Watch waits until an object's version is above after and returns it, or
// manifest.ErrUnchanged if that did not happen within WatchTimeout.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (*Object, error) {
	uri := fmt.Sprintf("/v1/watch?key=%s&after=%d&timeout_ms=%d", url.QueryEscape(key), after, WatchTimeout.Milliseconds())
	return c.object(ctx, WatchTimeout+CallTimeout, "GET", uri, nil, "")
}

// Put writes an object if its version is still expect, 0 meaning that it does
// not exist. It returns the new version, manifest.ErrConflict, or
// manifest.ErrUnknown if the write may have taken effect.
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

// List returns the objects whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var list struct {
		Objects []Object `json:"objects"`
	}
	err := c.do(ctx, CallTimeout, "GET", "/v1/objects?prefix="+url.QueryEscape(prefix), nil, "", &list)
	return list.Objects, err
}

func objectURI(key string) string { return "/v1/objects/" + key }

func (c *Client) object(ctx context.Context, timeout time.Duration, method, uri string, body []byte, match string) (*Object, error) {
	o := &Object{}
	if err := c.do(ctx, timeout, method, uri, body, match, o); err != nil {
		return nil, err
	}
	return o, nil
}

func (c *Client) do(ctx context.Context, timeout time.Duration, method, uri string, body []byte, match string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetHost("platform")
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	c.calls.Add(1)
	if err := c.pool.Do(ctx, req, resp); err != nil {
		return outcome(method, uri, err)
	}
	return decode(method, uri, resp, out)
}

// outcome marks a failed write that may have taken effect.
func outcome(method, uri string, err error) error {
	var f *call.Failure
	if method == "PUT" && errors.As(err, &f) && f.Verdict != call.NotRun {
		return fmt.Errorf("%s %s: %w: %w", method, uri, manifest.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%s %s: %w", method, uri, err)
}

func decode(method, uri string, resp *fasthttp.Response, out any) error {
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

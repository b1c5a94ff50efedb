// Package consul is a client for a platform whose key-value and catalog interfaces
// follow Consul's published v1 HTTP API. It implements infra.Store and infra.VMList.
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/httpcheck"
	"aspenyard.example/infra"
	"aspenyard.example/progress"
)

// Client calls the key-value and catalog interfaces of the platform. It is safe for
// concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	// observeRefused is told of entries of the list of VMs that are left out; it may be nil.
	observeRefused func(entry string, err error)
}

// ObserveRefused makes f be called for each entry of the list of VMs that is left out, at each read. It must be called
// before the first call.
func (c *Client) ObserveRefused(f func(entry string, err error)) { c.observeRefused = f }

// NewClient returns a client for the platform at addr, an IP address and port. timeout
// bounds the time until a call is answered, and a pause in its transfer; a watch may take its wait in addition.
func NewClient(addr string, timeout time.Duration) *Client {
	return &Client{
		base:    "http://" + addr,
		timeout: timeout,
		http:    &http.Client{Transport: &progress.Transport{Base: &httpcheck.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxResponseHeaderBytes}}}},
	}
}

const (
	// maxValueBytes bounds the body of a response: the largest value that the store holds,
	// with room for its base64 encoding.
	maxValueBytes = 2 << 20
	// maxListBytes bounds the list of VMs, of some hundred bytes each.
	maxListBytes = 32 << 20
	// maxResponseHeaderBytes bounds the head of a response.
	maxResponseHeaderBytes = 32 << 10
)

// kvPair is a key in a response of the key-value interface. encoding/json decodes the
// base64 of Value.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Get implements infra.Store.
func (c *Client) Get(ctx context.Context, key string) (infra.Value, error) {
	return c.read(ctx, key, nil, c.timeout)
}

// Watch implements infra.Store with a blocking query.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (infra.Value, error) {
	query := url.Values{"index": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return c.read(ctx, key, query, c.timeout+wait)
}

func (c *Client) read(ctx context.Context, key string, query url.Values, timeout time.Duration) (infra.Value, error) {
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{Answer: timeout, Stall: c.timeout})
	defer cancel()
	status, body, err := c.send(ctx, http.MethodGet, "/v1/kv/"+key, query, nil, maxValueBytes)
	if err != nil {
		return infra.Value{}, errors.Wrapf(infra.ErrUnavailable, "get %s: %v", key, err)
	}
	if status == http.StatusNotFound {
		return infra.Value{Key: key}, nil
	}
	if status != http.StatusOK {
		return infra.Value{}, errors.Wrapf(infra.ErrUnavailable, "get %s: HTTP status %d", key, status)
	}
	var pairs []kvPair
	if err := json.Unmarshal(body, &pairs); err != nil || len(pairs) != 1 {
		return infra.Value{}, errors.Wrapf(infra.ErrUnavailable, "get %s: unexpected body", key)
	}
	return infra.Value{Key: key, Data: pairs[0].Value, Revision: pairs[0].ModifyIndex}, nil
}

// CompareAndSwap implements infra.Store. Once there is a connection, part of the
// request may have been sent, and a failure is reported as infra.ErrOutcomeUnknown:
// the store may have applied the change before its response was lost.
// The statuses 429 and 503, and the body "false", mean that the store did not apply it.
func (c *Client) CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) error {
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{Answer: c.timeout, Stall: c.timeout})
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	query := url.Values{"cas": {strconv.FormatUint(revision, 10)}}
	status, body, err := c.send(ctx, http.MethodPut, "/v1/kv/"+key, query, data, maxValueBytes)
	switch {
	case err != nil && connected:
		return errors.Wrapf(infra.ErrOutcomeUnknown, "put %s: %v", key, err)
	case err != nil:
		return errors.Wrapf(infra.ErrUnavailable, "put %s: %v", key, err)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return errors.Wrapf(infra.ErrUnavailable, "put %s: HTTP status %d", key, status)
	case status != http.StatusOK:
		return errors.Wrapf(infra.ErrOutcomeUnknown, "put %s: HTTP status %d", key, status)
	}
	switch strings.TrimSpace(string(body)) {
	case "true":
		return nil
	case "false":
		return errors.Wrapf(infra.ErrConflict, "put %s at revision %d", key, revision)
	}
	return errors.Wrapf(infra.ErrOutcomeUnknown, "put %s: unexpected body", key)
}

// send sends a request and returns the status and body of the response, of which it reads limit bytes at most.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte, limit int64) (int, []byte, error) {
	requestURL := c.base + path
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, requestURL, progress.NewReader(ctx, bytes.NewReader(body)))
	if err != nil {
		return 0, nil, err
	}
	// Without GetBody, the transport cannot retry a write on its own.
	request.GetBody = nil
	if request.ContentLength = int64(len(body)); len(body) == 0 {
		request.Body = http.NoBody
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return 0, nil, fmt.Errorf("read response body: %w", err)
	}
	return response.StatusCode, data, nil
}

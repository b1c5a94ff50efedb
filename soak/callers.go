package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// meanThinkTime is the mean pause between two requests of a caller.
	meanThinkTime = 120 * time.Millisecond
	// One in switchOneIn requests goes to another gateway although the connection still works.
	switchOneIn = 12
	// One in cancelOneIn requests is cancelled before its response is complete.
	cancelOneIn = 15
	// One in invalidOneIn requests is invalid.
	invalidOneIn = 20
	// One in longDeadlineOneIn requests has a deadline longer than its route's timeout.
	longDeadlineOneIn = 4
	shortDeadline     = 4 * time.Second
	longDeadline      = 15 * time.Second
	maxCancelDelay    = 150 * time.Millisecond
	maxRetryWait      = time.Second
	outputTokens      = 200
)

// callerPool is all callers of a run.
type callerPool struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startCallers starts the callers of a run, each with random numbers of its own.
func startCallers(ctx context.Context, h *harness) *callerPool {
	ctx, cancel := context.WithCancel(ctx)
	c := &callerPool{cancel: cancel}
	for i := range h.config.Callers {
		newCaller := &caller{harness: h, name: fmt.Sprintf("c%d", i), rand: rand.New(rand.NewPCG(h.config.Seed, uint64(i+1)))}
		c.running.Go(func() { newCaller.run(ctx) })
	}
	return c
}

// stop ends the callers; requests in flight are cancelled.
func (c *callerPool) stop() {
	c.cancel()
	c.running.Wait()
}

// caller sends one request after another, on one connection while it works.
type caller struct {
	harness      *harness
	name         string
	rand         *rand.Rand
	gateway      *gateway
	client       *http.Client
	requestCount int
	// direct is set if the caller does not use the gateway's link for callers.
	direct bool
}

// run sends requests until ctx ends. It retries a failed request once, at another gateway, if
// that is allowed.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(c.rand.ExpFloat64()*float64(meanThinkTime)))
		if c.client == nil || c.harness.preferred.Load() != nil || c.rand.IntN(switchOneIn) == 0 {
			c.switchGateway()
		}
		if c.rand.IntN(invalidOneIn) == 0 {
			c.sendInvalid(ctx)
			continue
		}
		req := c.newRequest(routes[c.rand.IntN(len(routes))])
		retryAfter := c.send(ctx, req)
		if c.mayRetry(req) && ctx.Err() == nil {
			sleep(ctx, min(retryAfter, maxRetryWait))
			c.switchGateway()
			retry := c.newRequest(req.Route)
			c.send(ctx, retry)
		}
		if !req.Complete {
			c.client = nil
		}
	}
}

// switchGateway opens a new connection to a gateway that is ready. If less than half of the
// gateways are ready it uses any of them, as the platform's load balancer does.
func (c *caller) switchGateway() {
	var ready []*gateway
	for _, g := range c.harness.gateways {
		if g.isReady() {
			ready = append(ready, g)
		}
	}
	if 2*len(ready) < len(c.harness.gateways) {
		ready = c.harness.gateways
	}
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.gateway = ready[c.rand.IntN(len(ready))]
	if preferred := c.harness.preferred.Load(); preferred != nil && preferred.isReady() && c.rand.IntN(skewExceptions) != 0 {
		c.gateway = preferred
	}
	c.client = newCallerClient()
}

// newCallerClient returns an HTTP client with one connection.
func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
}

// addr returns the address that the caller sends its requests to.
func (c *caller) addr() string {
	if c.direct {
		return c.gateway.addrs["callers"]
	}
	return c.gateway.callers.Addr()
}

// mayRetry reports whether a caller may retry a request: after a response that says that the
// request did not run, or after any failure of a repeatable request.
func (c *caller) mayRetry(req *Request) bool {
	switch {
	case req.Cancelled || req.succeeded():
		return false
	case req.saysNotRun():
		return true
	case !req.Route.Repeatable():
		return false
	}
	return !req.Complete || req.Status >= http.StatusInternalServerError
}

// newRequest creates a request with a random API key and deadline, without sending it.
func (c *caller) newRequest(route *Route) *Request {
	c.requestCount++
	req := &Request{ID: fmt.Sprintf("%s-%d", c.name, c.requestCount), Route: route, Gateway: c.gateway.name, Incarnation: c.gateway.currentIncarnation(), Deadline: shortDeadline}
	req.RequestURI = fmt.Sprintf("/%s/%s?n=%d", route.Name, req.ID, c.requestCount)
	req.Body, req.Parts = "body of "+req.ID, promptOf(req.ID, commonPart)
	req.APIKey = []string{keyPlain, keyPlain, keyPerEdit, keyGuest}[c.rand.IntN(4)]
	if c.rand.IntN(longDeadlineOneIn) == 0 {
		req.Deadline = longDeadline
	}
	return req
}

// send sends a request and records its result. It returns the response's Retry-After.
func (c *caller) send(ctx context.Context, req *Request) (retryAfter time.Duration) {
	defer c.harness.record.addRequest(req)
	ctx, cancel := context.WithTimeout(ctx, req.Deadline)
	defer cancel()
	if c.rand.IntN(cancelOneIn) == 0 {
		time.AfterFunc(time.Duration(c.rand.Int64N(int64(maxCancelDelay))), cancel)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr()+req.RequestURI, strings.NewReader(req.Body))
	if err != nil {
		panic(err) // the URL consists of valid parts only
	}
	httpRequest.Host = host
	req.writtenAt = &atomic.Pointer[time.Time]{}
	httpRequest = httpRequest.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: req.recordWritten}))
	c.setHeaders(httpRequest.Header, req)
	req.SentAt = time.Now()
	response, err := c.client.Do(httpRequest)
	if err == nil {
		req.readHead(response)
		retryAfter, _ = time.ParseDuration(response.Header.Get("Retry-After") + "s")
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		req.ResponseBody = string(text)
	}
	req.EndedAt, req.Complete = time.Now(), err == nil
	req.Cancelled = err != nil && ctx.Err() != nil
	return retryAfter
}

// recordWritten records when the last byte of the request was written.
func (req *Request) recordWritten(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		now := time.Now()
		req.writtenAt.Store(&now)
	}
}

// readHead records the head of the response.
func (req *Request) readHead(response *http.Response) {
	req.Status, req.Unframed = response.StatusCode, response.ContentLength < 0 && len(response.TransferEncoding) == 0
	req.HeadAt, req.StatesLimit, req.StatesLeaving = time.Now(), platform.StatesLimit(response.Header), platform.StatesLeaving(response.Header)
	req.EchoedID, req.HasServerStamp = platform.ParseResponseHeaders(response.Header)
}

// setHeaders sets the headers that callers send, and some that callers must not set and gateways
// must replace.
func (c *caller) setHeaders(h http.Header, req *Request) {
	call := platform.CallHeaders{ID: req.ID, APIKey: req.APIKey, Deadline: req.Deadline, PromptTokens: req.Route.PromptTokens, OutputTokens: outputTokens, Parts: req.Parts}
	call.SetHeaders(h)
	platform.SetForgedHeaders(h)
}

// sendInvalid sends a request that must be refused and must not reach an endpoint.
func (c *caller) sendInvalid(ctx context.Context) {
	req := c.newRequest(routes[0])
	req.APIKey = keyPlain
	switch c.rand.IntN(5) {
	case 0:
		req.APIKey, req.ExpectedStatus = "key-unknown", http.StatusUnauthorized
	case 1:
		req.RequestURI, req.ExpectedStatus = "/nowhere/"+req.ID, http.StatusNotFound
	case 2:
		req.Body, req.ExpectedStatus = strings.Repeat("x", 70_000), http.StatusRequestEntityTooLarge
	case 3:
		req.RequestURI, req.ExpectedStatus = "/once/"+strings.Repeat("x", 9000), http.StatusRequestHeaderFieldsTooLarge
	default:
		c.smuggle(ctx, req)
		return
	}
	c.send(ctx, req)
	c.client = nil
}

// smuggle sends a request with both Content-Length and Transfer-Encoding and a second request
// hidden in its body. A reader that uses the wrong length would run the second one.
func (c *caller) smuggle(ctx context.Context, req *Request) {
	defer c.harness.record.addRequest(req)
	req.ExpectedStatus, req.SentAt = http.StatusBadRequest, time.Now()
	defer func() { req.EndedAt = time.Now() }()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.gateway.callers.Addr())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(req.SentAt.Add(req.Deadline))
	hidden := c.smuggledRequest(req)
	body := "0\r\n\r\n" + hidden
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", req.RequestURI, host, c.encodeHeaders(req), len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	req.Status, req.Complete = response.StatusCode, true
}

// smuggledRequest returns the text of the hidden request, which has an ID of its own that no
// caller sends.
func (c *caller) smuggledRequest(req *Request) string {
	inner := *req
	inner.ID = "hidden-" + req.ID
	return fmt.Sprintf("POST /once/hidden HTTP/1.1\r\nHost: %s\r\n%sContent-Length: 0\r\n\r\n", host, c.encodeHeaders(&inner))
}

// encodeHeaders returns the headers of a request in wire format.
func (c *caller) encodeHeaders(req *Request) string {
	h := http.Header{}
	c.setHeaders(h, req)
	var text bytes.Buffer
	_ = h.Write(&text)
	return text.String()
}

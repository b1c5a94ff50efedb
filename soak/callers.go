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
	"strings"
	"sync"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// thinkMean is the pause between two requests of a caller.
	thinkMean = 120 * time.Millisecond
	// moveOdds is one in how many requests a caller goes to another gateway although its
	// connection works.
	moveOdds = 12
	// leaveOdds is one in how many requests a caller leaves before the answer is whole.
	leaveOdds = 15
	// improperOdds is one in how many requests is improper.
	improperOdds = 20
	// patientOdds is one in how many requests waits longer than its route allows.
	patientOdds    = 4
	deadline       = 4 * time.Second
	patience       = 15 * time.Second
	mostLeaveDelay = 150 * time.Millisecond
	mostRetryWait  = time.Second
	outputTokens   = 200
)

// callers are all callers of a run.
type callers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startCallers starts them.
func startCallers(ctx context.Context, w *world) *callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &callers{cancel: cancel}
	for i := range w.config.Callers {
		one := &caller{world: w, name: fmt.Sprintf("c%d", i), rand: rand.New(rand.NewPCG(w.config.Seed, uint64(i+1)))}
		c.running.Go(func() { one.run(ctx) })
	}
	return c
}

// stop ends them; requests under way are left.
func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

// caller sends one request after the other, on one connection as long as it works.
type caller struct {
	world   *world
	name    string
	rand    *rand.Rand
	gateway *gateway
	client  *http.Client
	sent    int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(c.rand.ExpFloat64()*float64(thinkMean)))
		if c.client == nil || c.rand.IntN(moveOdds) == 0 {
			c.move()
		}
		if c.rand.IntN(improperOdds) == 0 {
			c.improper(ctx)
			continue
		}
		a := c.attempt(routes[c.rand.IntN(len(routes))])
		retryAfter := c.send(ctx, a)
		if c.mayRetry(a) && ctx.Err() == nil {
			sleep(ctx, min(retryAfter, mostRetryWait))
			c.move()
			again := c.attempt(a.Route)
			c.send(ctx, again)
		}
		if !a.Complete {
			c.client = nil
		}
	}
}

// move goes to a gateway that is ready, over a new connection; to any when less than
// half are, as the platform's balancer does.
func (c *caller) move() {
	var ready []*gateway
	for _, g := range c.world.gateways {
		if g.isReady() {
			ready = append(ready, g)
		}
	}
	if 2*len(ready) < len(c.world.gateways) {
		ready = c.world.gateways
	}
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.gateway = ready[c.rand.IntN(len(ready))]
	c.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
}

// mayRetry tells whether a caller may ask again: after a promise that the request has
// not run, or after any failure of what may run twice.
func (c *caller) mayRetry(a *Request) bool {
	switch {
	case a.Cancelled || a.succeeded():
		return false
	case a.promisesNotRun():
		return true
	case !a.Route.Repeatable():
		return false
	}
	return !a.Complete || a.Status >= http.StatusInternalServerError
}

func (c *caller) attempt(route *Route) *Request {
	c.sent++
	a := &Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Route: route, Gateway: c.gateway.name, Incarnation: c.gateway.currentLife(), Deadline: deadline}
	a.RequestURI = fmt.Sprintf("/%s/%s?n=%d", route.Name, a.ID, c.sent)
	a.Body = "body of " + a.ID
	a.APIKey = []string{keyPlain, keyPlain, keyCounted, keyGuest}[c.rand.IntN(4)]
	if c.rand.IntN(patientOdds) == 0 {
		a.Deadline = patience
	}
	return a
}

// send sends an attempt and notes what came of it; it gives what Retry-After says.
func (c *caller) send(ctx context.Context, a *Request) (retryAfter time.Duration) {
	defer c.world.record.addAttempt(a)
	ctx, cancel := context.WithTimeout(ctx, a.Deadline)
	defer cancel()
	if c.rand.IntN(leaveOdds) == 0 {
		time.AfterFunc(time.Duration(c.rand.Int64N(int64(mostLeaveDelay))), cancel)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway.callers.Addr()+a.RequestURI, strings.NewReader(a.Body))
	if err != nil {
		panic(err) // the address and target are our own
	}
	request.Host = host
	c.fill(request.Header, a)
	a.SentAt = time.Now()
	response, err := c.client.Do(request)
	if err == nil {
		a.Status = response.StatusCode
		a.EchoedID, a.HasServerStamp = platform.ParseResponseHeaders(response.Header)
		retryAfter, _ = time.ParseDuration(response.Header.Get("Retry-After") + "s")
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.ResponseBody = string(text)
	}
	a.EndedAt, a.Complete = time.Now(), err == nil
	a.Cancelled = err != nil && ctx.Err() != nil
	return retryAfter
}

// fill sets the headers of a caller, and some that callers may not set.
func (c *caller) fill(h http.Header, a *Request) {
	call := platform.CallHeaders{ID: a.ID, APIKey: a.APIKey, Deadline: a.Deadline, PromptTokens: a.Route.PromptTokens, OutputTokens: outputTokens}
	call.SetHeaders(h)
	platform.SetForgedHeaders(h)
}

// improper sends a request that must be refused and reach no endpoint.
func (c *caller) improper(ctx context.Context) {
	a := c.attempt(routes[0])
	a.APIKey = keyPlain
	switch c.rand.IntN(5) {
	case 0:
		a.APIKey, a.ExpectedStatus = "key-unknown", http.StatusUnauthorized
	case 1:
		a.RequestURI, a.ExpectedStatus = "/nowhere/"+a.ID, http.StatusNotFound
	case 2:
		a.Body, a.ExpectedStatus = strings.Repeat("x", 70_000), http.StatusRequestEntityTooLarge
	case 3:
		a.RequestURI, a.ExpectedStatus = "/once/"+strings.Repeat("x", 9000), http.StatusRequestHeaderFieldsTooLarge
	default:
		c.smuggle(ctx, a)
		return
	}
	c.send(ctx, a)
	c.client = nil
}

// smuggle sends a request that gives two lengths of its body, with a second one hidden
// in it: whoever reads the body by the other length would run the second.
func (c *caller) smuggle(ctx context.Context, a *Request) {
	defer c.world.record.addAttempt(a)
	a.ExpectedStatus, a.SentAt = http.StatusBadRequest, time.Now()
	defer func() { a.EndedAt = time.Now() }()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.gateway.callers.Addr())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(a.SentAt.Add(a.Deadline))
	hidden := c.hidden(a)
	body := "0\r\n\r\n" + hidden
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", a.RequestURI, host, c.headerText(a), len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	a.Status, a.Complete = response.StatusCode, true
}

// hidden is the text of a request that nobody sends, under an ID of its own.
func (c *caller) hidden(a *Request) string {
	inner := *a
	inner.ID = "hidden-" + a.ID
	return fmt.Sprintf("POST /once/hidden HTTP/1.1\r\nHost: %s\r\n%sContent-Length: 0\r\n\r\n", host, c.headerText(&inner))
}

// headerText is the headers of a request as they go over the wire.
func (c *caller) headerText(a *Request) string {
	h := http.Header{}
	c.fill(h, a)
	var text bytes.Buffer
	_ = h.Write(&text)
	return text.String()
}

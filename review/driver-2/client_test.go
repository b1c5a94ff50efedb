package driver2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request. status is 0 if no head arrived, err says how the body ended.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	end := "whole"
	if a.err != nil {
		end = "cut: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes of body, %s", a.status, a.header.Get("X-Aspenyard-Server-Stamp"), len(a.body), end)
}

// client sends requests on kept connections.
type client struct{ http *http.Client }

func newClient() *client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 100, DisableCompression: true}
	return &client{&http.Client{Transport: transport}}
}

// send sends one request and reads its answer to the end.
func (c *client) send(g *gateway, method, path, id, body string, deadline time.Duration) *answer {
	return c.sendPrompt(g, method, path, id, body, deadline, "")
}

// sendPrompt is send for a prompt of a thousand tokens with parts; "" stands for a request without a prompt.
func (c *client) sendPrompt(g *gateway, method, path, id, body string, deadline time.Duration, parts string) *answer {
	request, err := http.NewRequest(method, "http://"+g.callers+path, strings.NewReader(body))
	cannotRun(err)
	request.Host = host
	request.GetBody = nil // a client attempt is sent once
	request.Header.Set("X-Aspenyard-Attempt-Id", id)
	request.Header.Set("X-Aspenyard-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	if parts != "" {
		request.Header.Set("X-Aspenyard-Model", "m")
		request.Header.Set("X-Aspenyard-Token-Usage", "1000,200")
		request.Header.Set("X-Aspenyard-Prefix-Hash", parts)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return &answer{response.StatusCode, response.Header, string(text), err}
}

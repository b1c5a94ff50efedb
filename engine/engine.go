// Package engine is an agent's way to what it stands beside: a model engine or
// a plain service, over HTTP.
//
// Its one concern besides transport is what may be said after a failure. A call
// that never got a connection certainly did not run; once a connection was
// obtained, a failure leaves the run unknown.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrNotSent marks a failure before any byte of an order left this process.
var ErrNotSent = errors.New("engine: order not sent")

// ErrRefused marks an endpoint's own word that it did not take the order.
var ErrRefused = errors.New("engine: order refused")

// ErrStreamBroken marks a stream that ended without its end marker.
var ErrStreamBroken = errors.New("engine: stream broken")

// Request is one sequence for a model engine.
type Request struct {
	RequestID       string   `json:"request_id"`
	Model           string   `json:"model"`
	Prompt          string   `json:"prompt"`
	MaxTokens       uint64   `json:"max_tokens"`
	Priority        int      `json:"priority"`
	Stream          bool     `json:"stream"`
	Delivered       string   `json:"delivered,omitempty"`
	DeliveredTokens uint64   `json:"delivered_tokens,omitempty"`
	Hold            bool     `json:"hold,omitempty"`
	Imports         []Import `json:"imports,omitempty"`
}

// Import names a held sequence on another engine.
type Import struct {
	Engine   string `json:"engine"`
	Sequence string `json:"sequence"`
	Tokens   uint64 `json:"tokens"`
}

// Token is one piece of a stream.
type Token struct {
	Text string
	// Offset counts the output tokens before this one.
	Offset uint64
	// Held is set, without text, when a hold request's prefill is done.
	Held bool
}

// Status is what an endpoint tells of itself.
type Status struct {
	Models                 []string `json:"models"`
	MemoryTokens           uint64   `json:"memory_tokens"`
	MaxRunning             uint32   `json:"max_running"`
	PrefillTokensPerSecond uint64   `json:"prefill_tokens_per_second"`
	FloorWatts             uint64   `json:"floor_watts"`
	MaxWatts               uint64   `json:"max_watts"`
	FencingNumber          uint64   `json:"fencing_number"`
}

// Sequence is one line of the engine's own list.
type Sequence struct {
	ID       string `json:"id"`
	Finished bool   `json:"finished"`
}

// Client talks to one endpoint. Fence is sent with every order.
type Client struct {
	base          string
	fencingNumber uint64
	http          *http.Client
}

// New makes a client for the endpoint at addr.
func New(addr string) *Client {
	return &Client{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}},
	}
}

// SetFencingNumber sets the fencing number; call it before any order is given.
func (c *Client) SetFencingNumber(number uint64) { c.fencingNumber = number }

// Status asks the endpoint what it is.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.getJSON(ctx, "/v1/status", &status)
}

// Sequences lists what the engine holds memory for.
func (c *Client) Sequences(ctx context.Context) ([]Sequence, error) {
	var sequences []Sequence
	return sequences, c.getJSON(ctx, "/v1/sequences", &sequences)
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: HTTP status %d", path, response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), path)
}

// Cancel frees a sequence; a missing one is no error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/sequences/"+id, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	request.Header.Set(fencingHeader, strconv.FormatUint(c.fencingNumber, 10))
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "cancel %s", id)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNotFound {
		return errors.Errorf("cancel %s: HTTP status %d", id, response.StatusCode)
	}
	return nil
}

const (
	fencingHeader = "X-Fencing-Number"
	// requestKeyHeader names the caller's request to a plain service, which may echo it.
	// It is not Idempotency-Key: the HTTP library takes that name as leave to
	// send a request again.
	requestKeyHeader = "X-Request-Key"
)

// post posts an order. On failure it tells ErrNotSent apart from the rest: the
// trace's GotConn fires before the first byte is written.
func (c *Client) post(ctx context.Context, path string, body []byte, header http.Header) (*http.Response, error) {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(fencingHeader, strconv.FormatUint(c.fencingNumber, 10))
	// Without GetBody the transport cannot send an order a second time once it
	// has written a part of it.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil && !sent {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return response, errors.Wrap(err, "order")
}

// Stream is a running sequence's output.
type Stream struct {
	id       string
	response *http.Response
	reader   *bufio.Reader
}

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Start orders a sequence. Errors: ErrNotSent, ErrRefused, or any other, after
// which the sequence may be running and must be cancelled.
func (c *Client) Start(ctx context.Context, request Request) (*Stream, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	response, err := c.post(ctx, "/v1/completions", body, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(response.Body, 256))
		return nil, errors.Wrapf(ErrRefused, "HTTP status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
	return &Stream{id: request.RequestID, response: response, reader: bufio.NewReaderSize(response.Body, 4096)}, nil
}

// Resume reads a sequence that still runs, from an output offset.
func (c *Client) Resume(ctx context.Context, id string, offset uint64) (*Stream, error) {
	path := fmt.Sprintf("%s/v1/sequences/%s/stream?offset=%d", c.base, id, offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "resume %s", id)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("resume %s: HTTP status %d", id, response.StatusCode)
	}
	return &Stream{id: id, response: response, reader: bufio.NewReaderSize(response.Body, 4096)}, nil
}

// Close ends the reading; the sequence stays at the engine until it has ended
// or is cancelled.
func (s *Stream) Close() { _ = s.response.Body.Close() }

// Buffered tells whether another event has already arrived, at least in part.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

type completionChunk struct {
	ID      string `json:"id"`
	Offset  uint64 `json:"offset"`
	Held    bool   `json:"held"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Next returns the next token; io.EOF only after the engine's own end marker,
// ErrBroken when the connection ended without it.
func (s *Stream) Next() (Token, error) {
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return Token{}, errors.Wrap(ErrStreamBroken, err.Error())
		}
		if len(line) > maxEventBytes {
			return Token{}, errors.Wrap(ErrStreamBroken, "event too long")
		}
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return Token{}, io.EOF
		}
		var chunk completionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return Token{}, errors.Wrap(ErrStreamBroken, err.Error())
		}
		if chunk.ID != s.id {
			// A recycled connection brought another sequence's answer.
			return Token{}, errors.Wrapf(ErrStreamBroken, "chunk of sequence %q", chunk.ID)
		}
		token := Token{Offset: chunk.Offset, Held: chunk.Held}
		if len(chunk.Choices) > 0 {
			token.Text = chunk.Choices[0].Text
		}
		return token, nil
	}
}

// ServiceResponse is a plain service's answer.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// maxResponseBytes bounds a plain service's answer, so that it fits into the
// record of its outcome.
const maxResponseBytes = 256 << 10

// Call carries out one call of a plain service. key identifies the caller's
// request. Errors: ErrNotSent, ErrRefused (an old fencing number), or any other,
// after which nobody knows whether it ran.
func (c *Client) Call(ctx context.Context, kind, key string, body []byte) (ServiceResponse, error) {
	response, err := c.post(ctx, "/call/"+kind, body, http.Header{requestKeyHeader: {key}})
	if err != nil {
		return ServiceResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusConflict {
		return ServiceResponse{}, errors.Wrap(ErrRefused, "old fencing number")
	}
	if echoed := response.Header.Get(requestKeyHeader); echoed != "" && echoed != key {
		return ServiceResponse{}, errors.Errorf("the answer belongs to another call, %q", echoed)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return ServiceResponse{}, errors.Wrap(err, "read reply")
	}
	return ServiceResponse{Status: response.StatusCode, Body: data}, nil
}

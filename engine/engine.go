// Package engine is the HTTP client that an agent uses to reach its endpoint, a model engine
// or a plain service.
//
// Its errors tell whether a request can have run. A request that got no connection certainly
// did not run. After a connection was obtained, a failure leaves this unknown.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/httpcheck"
)

// ErrNotSent is returned for a failure before any byte of the request was sent, so that the
// request did not run.
var ErrNotSent = errors.New("engine: request not sent")

// ErrRefused is returned when the endpoint answered that it does not accept the request, so
// that the request did not run.
var ErrRefused = errors.New("engine: request refused by the endpoint")

// ErrStreamBroken is returned for a stream that ended without its end marker or that holds
// anything other than the next token of its sequence.
var ErrStreamBroken = errors.New("engine: stream broken")

// ErrTooLong is returned when a plain service has answered with more than maxResponseBytes. The
// call ran.
var ErrTooLong = errors.Errorf("engine: the service's response is longer than %d bytes", maxResponseBytes)

// Request starts a sequence at a model engine; it is the body of /v1/completions. Delivered is
// the text of the first DeliveredTokens output tokens, which the caller already has. With Hold
// set, the engine prefills the prompt and keeps its KV cache without decoding.
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

// Import identifies a held sequence on another engine, whose KV cache of Tokens prompt tokens
// precedes that of the request. Engine is the other engine's address.
type Import struct {
	Engine   string `json:"engine"`
	Sequence string `json:"sequence"`
	Tokens   uint64 `json:"tokens"`
}

// Token is one output token of a stream, or the end of a held prefill.
type Token struct {
	Text string
	// Offset is the number of output tokens before this one.
	Offset uint64
	// Held is set, without text, when the prefill of a request with Hold is done.
	Held bool
}

// Status is an endpoint's description of itself: its models, the size of its KV cache in
// tokens, its batch size, its prefill rate in tokens per second, its power draw in watts when
// idle and with a full batch, and the highest fencing number that it has seen.
type Status struct {
	Models                 []string `json:"models"`
	MemoryTokens           uint64   `json:"memory_tokens"`
	MaxRunning             uint32   `json:"max_running"`
	PrefillTokensPerSecond uint64   `json:"prefill_tokens_per_second"`
	FloorWatts             uint64   `json:"floor_watts"`
	MaxWatts               uint64   `json:"max_watts"`
	FencingNumber          uint64   `json:"fencing_number"`
}

// Sequence is an entry of the engine's list of sequences that it holds memory for.
type Sequence struct {
	ID       string `json:"id"`
	Finished bool   `json:"finished"`
}

// Client sends requests to one endpoint. Requests that start or cancel something carry the
// fencing number, so that the endpoint can refuse those of a superseded agent.
type Client struct {
	base, addr    string
	fencingNumber uint64
	http          *http.Client
}

const (
	// maxResponseHeaderBytes bounds the head of a response, maxStatusBytes the body of a status or of a list
	// of sequences.
	maxResponseHeaderBytes = 32 << 10
	maxStatusBytes         = 4 << 20
)

// New returns a client for the endpoint at addr, a host and port. It opens no connection yet.
func New(addr string) *Client {
	return &Client{
		base: "http://" + addr, addr: addr,
		http: &http.Client{Transport: &httpcheck.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxResponseHeaderBytes}}},
	}
}

// SetFencingNumber sets the fencing number. It must be called before any request that carries
// the number, and not concurrently with one.
func (c *Client) SetFencingNumber(number uint64) { c.fencingNumber = number }

// Status requests the endpoint's status. It also serves as the health probe.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.getJSON(ctx, "/v1/status", &status)
}

// Sequences lists the sequences that the engine holds memory for.
func (c *Client) Sequences(ctx context.Context) ([]Sequence, error) {
	var sequences []Sequence
	return sequences, c.getJSON(ctx, "/v1/sequences", &sequences)
}

// getJSON decodes the JSON response to a GET request of path. An HTTP status other than 200 is
// an error.
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
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(into), path)
}

// Cancel cancels a sequence and frees its memory. A sequence that the engine does not have is
// no error. A response that is cut confirms nothing.
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
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxStatusBytes))
	return errors.Wrapf(err, "cancel %s: read response", id)
}

const (
	fencingHeader = "X-Fencing-Number"
	// requestKeyHeader identifies the caller's request to a plain service, which may echo it
	// in its response. It is not Idempotency-Key, because net/http retries a request that
	// carries that header.
	requestKeyHeader = "X-Request-Key"
)

// post sends a POST request. Its error is ErrNotSent if no connection was obtained: GotConn of
// the trace is called before the first byte is written. After any other error the request may
// have run.
func (c *Client) post(ctx context.Context, path string, body []byte, header http.Header) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(fencingHeader, strconv.FormatUint(c.fencingNumber, 10))
	// Without GetBody the transport cannot retry a request once it has written a part of
	// its body.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil && !connected {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return response, errors.Wrap(err, "send request")
}

// Stream reads the output of a sequence. It is not safe for concurrent use.
type Stream struct {
	id       string
	response *http.Response
	reader   *bufio.Reader
}

const (
	// maxEventBytes bounds one line of a stream of server-sent events, and so one event's data, and the lines
	// in a row that have none.
	maxEventBytes = 1 << 20
	// readBufferSize has room for several events.
	readBufferSize = 4 << 10
)

// Start starts a sequence and returns its output. The errors ErrNotSent and ErrRefused mean
// that the sequence does not run. After any other error it may be running and must be
// cancelled.
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
	return &Stream{id: request.RequestID, response: response, reader: bufio.NewReaderSize(response.Body, readBufferSize)}, nil
}

// Resume returns the output of a started sequence from offset on, which is counted in output
// tokens.
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
	return &Stream{id: id, response: response, reader: bufio.NewReaderSize(response.Body, readBufferSize)}, nil
}

// Close closes the stream's connection. The sequence goes on at the engine until it has
// finished or is cancelled.
func (s *Stream) Close() { _ = s.response.Body.Close() }

// Buffered returns whether another event has already arrived, at least in part.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

// completionChunk is the data of one server-sent event.
type completionChunk struct {
	ID      string `json:"id"`
	Offset  uint64 `json:"offset"`
	Held    bool   `json:"held"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Next waits for the next token. It returns io.EOF only after the engine's end marker, and
// ErrStreamBroken if the connection ended before the marker or an event is invalid or belongs
// to another sequence.
func (s *Stream) Next() (Token, error) {
	for read := 0; ; {
		line, err := s.readLine(maxEventBytes - read)
		if err != nil {
			return Token{}, errors.Wrap(ErrStreamBroken, err.Error())
		}
		read += len(line)
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
			// A reused connection delivered the response of another sequence.
			return Token{}, errors.Wrapf(ErrStreamBroken, "received a chunk of sequence %q", chunk.ID)
		}
		token := Token{Offset: chunk.Offset, Held: chunk.Held}
		if len(chunk.Choices) > 0 {
			token.Text = chunk.Choices[0].Text
		}
		return token, nil
	}
}

// readLine reads one line of at most limit bytes.
func (s *Stream) readLine(limit int) (string, error) {
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		if line = append(line, part...); len(line) > limit {
			return "", errors.Errorf("over %d bytes without an event", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return string(line), err
		}
	}
}

// ServiceResponse is a plain service's response: its HTTP status and its whole body.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// maxResponseBytes bounds the body of a plain service's response, so that it fits into the
// stored record of the outcome.
const maxResponseBytes = 256 << 10

// Call calls a plain service. kind selects the service, and key identifies the caller's
// request. The error ErrNotSent, and ErrRefused for an outdated fencing number, mean that the
// call did not run, and ErrTooLong that it ran. After any other error, it is unknown whether the call ran.
func (c *Client) Call(ctx context.Context, kind, key string, body []byte) (ServiceResponse, error) {
	response, err := c.post(ctx, "/call/"+kind, body, http.Header{requestKeyHeader: {key}})
	if err != nil {
		return ServiceResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusConflict {
		return ServiceResponse{}, errors.Wrap(ErrRefused, "outdated fencing number")
	}
	if echoed := response.Header.Get(requestKeyHeader); echoed != "" && echoed != key {
		return ServiceResponse{}, errors.Errorf("the response carries the request key of another call, %q", echoed)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return ServiceResponse{}, errors.Wrap(err, "read the service's response")
	case len(data) > maxResponseBytes:
		return ServiceResponse{}, errors.WithStack(ErrTooLong)
	}
	if httpcheck.EndsWithConnection(response) && !c.accepts(ctx) {
		return ServiceResponse{}, errors.New("the service has ended with its response, which may be incomplete")
	}
	return ServiceResponse{Status: response.StatusCode, Body: data}, nil
}

// accepts reports whether the endpoint accepts a connection, and so has not ended.
func (c *Client) accepts(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// dialTimeout bounds connecting to an endpoint whose response has ended with its connection.
const dialTimeout = time.Second

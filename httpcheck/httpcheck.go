// Package httpcheck rejects responses that net/http takes for valid or for complete, although HTTP/1.1 does not.
package httpcheck

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 100
	maxStatus = 599
)

// ErrHead is the cause of errors of CheckHead.
var ErrHead = errors.New("invalid response head")

// CheckHead returns an error if a response's head is not one that HTTP/1.1 allows for a request that asks for no other protocol.
func CheckHead(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return errors.Wrapf(ErrHead, "version %q", r.Proto)
	case r.StatusCode < minStatus || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrHead, "status %q", r.Status)
	}
	for name := range r.Header {
		// A recipient that ignored the line would miss a Content-Length or a Transfer-Encoding that another one obeys.
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrHead, "field name %q", name)
		}
	}
	return nil
}

// EndsWithConnection reports whether the end of a response is only the end of its connection.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed
}

// ErrUpload is the cause of the error that replaces the end of a body whose connection was reset while the request was written.
var ErrUpload = errors.New("the connection broke while the request was written")

// Transport is a http.RoundTripper that returns an error for an invalid head, and in place of the end of a response that ends
// with its connection unless the whole request was written. The error of a reset goes to the write or to the read, whichever
// comes first; the other sees an ordinary end.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	u := &upload{written: make(chan struct{})}
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { u.end(info.Err) }}
	response, err := t.Base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if EndsWithConnection(response) && request.Body != nil && request.Body != http.NoBody {
		response.Body = &uploadedBody{response.Body, request.Context(), u}
	}
	return response, nil
}

// CloseIdleConnections makes http.Client.CloseIdleConnections work.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// upload is the writing of a request.
type upload struct {
	once    sync.Once
	written chan struct{} // closed at its end
	err     error
}

func (u *upload) end(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.written)
	})
}

// await waits until the request is written, and returns the error of that. The base closes the connection at an ordinary end, also
// while the request is written.
func (u *upload) await(ctx context.Context) error {
	select {
	case <-u.written:
		// net/http wraps the error in a type that it does not export.
		if u.err != nil && strings.Contains(u.err.Error(), net.ErrClosed.Error()) {
			return nil
		}
		return u.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// uploadedBody is the body of a response that ends with its connection.
type uploadedBody struct {
	io.ReadCloser
	ctx    context.Context
	upload *upload
}

// Read implements io.Reader.
func (b *uploadedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if uploadErr := b.upload.await(b.ctx); uploadErr != nil {
			return n, errors.Wrap(ErrUpload, uploadErr.Error())
		}
	}
	return n, err
}

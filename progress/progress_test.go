package progress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ended waits until a context has ended and returns the cause.
func ended(t *testing.T, ctx context.Context) error {
	t.Helper()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(30 * time.Second):
		t.Fatal("the context does not end")
		return nil
	}
}

const (
	never  = time.Hour
	atOnce = time.Millisecond
)

// Guards against calls that no limit ends: without an answer, in a transfer that stops or only trickles, or with a response
// that is longer than it may be.
func TestLimitsEndACall(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		act    func(ctx context.Context)
		cause  error
	}{
		"no answer":             {Limits{Answer: atOnce, Stall: never}, func(context.Context) {}, context.DeadlineExceeded},
		"a head alone":          {Limits{Answer: atOnce, Stall: never}, func(ctx context.Context) { BeginResponse(ctx, -1) }, context.DeadlineExceeded},
		"nothing after it":      {Limits{Answer: never, Stall: atOnce}, func(ctx context.Context) { BeginResponse(ctx, -1); Add(ctx, minBytes) }, context.DeadlineExceeded},
		"trickle":               {Limits{Answer: never, Stall: atOnce}, func(ctx context.Context) { BeginResponse(ctx, -1); Add(ctx, 1) }, context.DeadlineExceeded},
		"transfer takes long":   {Limits{Answer: never, Stall: never, Transfer: atOnce}, func(ctx context.Context) { BeginResponse(ctx, -1); Add(ctx, 1) }, ErrLongResponse},
		"stated length":         {Limits{Answer: never, Stall: never, TransferBytes: 10}, func(ctx context.Context) { BeginResponse(ctx, 11) }, ErrLongResponse},
		"length without a head": {Limits{Answer: never, Stall: never, TransferBytes: 10}, func(ctx context.Context) { Add(ctx, 6); Add(ctx, 5) }, ErrLongResponse},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := WithLimits(context.Background(), c.limits)
			defer cancel()
			c.act(ctx)
			is.New(t).Equal(ended(t, ctx), c.cause)
		})
	}
}

// Guards against a call that ends although its transfer makes progress, also within the limits of another one.
func TestProgressKeepsACall(t *testing.T) {
	is := is.New(t)
	const stall = 3 * time.Second
	outer, cancel := WithLimits(context.Background(), Limits{Answer: stall, Stall: stall})
	defer cancel()
	inner, cancelInner := WithLimits(outer, Limits{Answer: stall, Stall: stall, TransferBytes: 100 * minBytes})
	defer cancelInner()
	for range 25 {
		time.Sleep(stall / 20)
		Add(inner, minBytes)
	}
	is.NoErr(inner.Err())
	Add(inner, 100*minBytes)
	is.Equal(ended(t, inner), ErrLongResponse)
	is.NoErr(outer.Err()) // the limit of the inner one
	is.Equal(Cause(inner, io.EOF), ErrLongResponse)
	is.Equal(Cause(outer, io.EOF), io.EOF)
}

// Guards against a call of several responses of which each is short, and a call whose server sends the head at once and then
// waits, that count as without progress.
func TestEachResponseIsProgress(t *testing.T) {
	is := is.New(t)
	const wait = 3 * time.Second
	ctx, cancel := WithLimits(context.Background(), Limits{Answer: 2 * wait, Stall: wait, Transfer: 3 * wait})
	defer cancel()
	BeginResponse(ctx, -1)
	time.Sleep(wait + wait/10)
	for range 5 {
		Add(ctx, 1)
		time.Sleep(wait / 4)
		BeginResponse(ctx, 1)
	}
	is.NoErr(ctx.Err())
}

// Guards against a transport that does not see the length of a response, or changes its body.
func TestTransportReportsResponses(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 50_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	defer server.Close()
	client := &http.Client{Transport: &Transport{Base: http.DefaultTransport}}
	get := func(limits Limits) (string, error) {
		ctx, cancel := WithLimits(context.Background(), limits)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		is.NoErr(err)
		response, err := client.Do(request)
		if err != nil {
			return "", Cause(ctx, err)
		}
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		return string(data), Cause(ctx, err)
	}
	got, err := get(Limits{Answer: never, Stall: never, TransferBytes: len(body)})
	is.NoErr(err)
	is.Equal(got, body)
	_, err = get(Limits{Answer: never, Stall: never, TransferBytes: len(body) - 1})
	is.True(errors.Is(err, ErrLongResponse))
}

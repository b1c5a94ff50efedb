package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/catalogue"
	"aspenyard.example/graceful"
	"aspenyard.example/result"
	"aspenyard.example/wire"
)

// testDrainTimeout is the drain_timeout of tests whose drain runs to its limit.
const testDrainTimeout = 3 * time.Second

// Guards against callers whose connections end without an answer because their endpoints are silent until the entry stops.
func TestRequestsInFlightAtTheStopAreAnswered(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		path, key, body string
		code            result.Code
		ran             result.Ran
	}{
		"plain":          {draftPath, "", draftBody, result.Interrupted, result.RanYes},
		"stream":         {draftPath, "", draftStreamBody, result.Interrupted, result.RanYes},
		"repeatable":     {checkPath, "", `{}`, result.Interrupted, result.RanYes},
		"not repeatable": {filingPath, "k1", `{}`, result.OutcomeUnknown, result.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startEntry(t, testDrainTimeout)
			a := f.startAgent("a1", silent)
			answer := f.send(rawRequest(test.path, test.key, test.body))
			a.awaitArrivals(t, 1)
			f.stop()
			got := f.await(answer)
			is.NoErr(got.err)
			is.True(got.complete)
			failure := got.lastError(t)
			is.Equal(failure.Code, test.code)
			is.Equal(failure.Ran, test.ran)
			is.True(got.header.Get("Retry-After") != "")
			f.awaitEnd()
			f.awaitLogged(test.code)
		})
	}
}

// Guards against a begun stream that ends at the stop without saying why.
func TestABegunStreamAtTheStopEndsWithAnError(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEntry(t, testDrainTimeout)
	a := f.startAgent("a1", func(ctx context.Context, request *wire.RunRequest, send func(*wire.RunEvent)) error {
		send(startedEvent(request))
		sendTokens(request, 2, send)
		<-ctx.Done()
		return ctx.Err()
	})
	answer := f.send(rawRequest(draftPath, "", draftStreamBody))
	a.awaitArrivals(t, 1)
	f.stop()
	got := f.await(answer)
	is.NoErr(got.err)
	is.Equal(got.streamedText(), wholeText(2))
	is.Equal(got.lastError(t).Code, result.Interrupted)
	is.Equal(got.lastError(t).Ran, result.RanYes)
	is.True(!strings.Contains(got.body, "[DONE]"))
	f.awaitEnd()
}

// Guards against a queued request that is told at the stop that it may have run, or is told nothing.
func TestAQueuedRequestAtTheStopIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"generation": draftPath, "repeatable": checkPath, "not repeatable": filingPath} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startEntry(t, testDrainTimeout)
			a := f.startAgent("a1", func(ctx context.Context, _ *wire.RunRequest, _ func(*wire.RunEvent)) error {
				<-ctx.Done()
				return ctx.Err()
			})
			a.notRun.Store(uint64(1), true)
			answer := f.send(rawRequest(path, "k1", draftBody))
			a.awaitArrivals(t, 1)
			f.stop()
			got := f.await(answer)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.lastError(t).Code, result.Leaving)
			is.Equal(got.lastError(t).Ran, result.RanNo)
			is.True(got.header.Get("Retry-After") != "")
			f.awaitEnd()
		})
	}
}

// Guards against a silent endpoint that keeps a request to the end of the drain although another could finish it.
func TestASilentAttemptDuringADrainGoesToAnotherEndpoint(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		path, body string
		delivered  uint64
		whole      func(got received) bool
	}{
		"plain":        {draftPath, draftBody, 0, func(got received) bool { return strings.Contains(got.body, wholeText(4)) }},
		"stream":       {draftPath, draftStreamBody, 0, func(got received) bool { return got.streamedText() == wholeText(4) }},
		"begun stream": {draftPath, draftStreamBody, 2, func(got received) bool { return got.streamedText() == wholeText(4) }},
		"repeatable":   {checkPath, `{}`, 0, func(got received) bool { return got.body == `{"done":true}` }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startEntry(t, testDrainTimeout)
			first := f.startAgent("a1", func(ctx context.Context, request *wire.RunRequest, send func(*wire.RunEvent)) error {
				send(startedEvent(request))
				if test.delivered > 0 {
					sendTokens(request, test.delivered, send)
				}
				<-ctx.Done()
				return ctx.Err()
			})
			answer := f.send(rawRequest(test.path, "", test.body))
			first.awaitArrivals(t, 1)
			second := f.startAgent("a2", answering)
			f.stop()
			got := f.await(answer)
			is.NoErr(got.err)
			is.Equal(got.resultCode(), result.OK)
			is.True(test.whole(got))
			is.Equal(second.arrived.Load(), int64(1))
			f.awaitEnd()
		})
	}
}

// Guards against a request that stays in the queue of one endpoint to the end of the drain although another could run it.
func TestAQueuedRequestDuringADrainGoesToAnotherEndpoint(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"generation": draftPath, "repeatable": checkPath, "not repeatable": filingPath} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startEntry(t, testDrainTimeout)
			first := f.startQueueingAgent("a1")
			answer := f.send(rawRequest(path, "k1", draftBody))
			first.awaitArrivals(t, 1)
			second := f.startAgent("a2", answering)
			f.stop()
			got := f.await(answer)
			is.NoErr(got.err)
			is.Equal(got.resultCode(), result.OK)
			is.Equal(second.arrived.Load(), int64(1))
			f.awaitEnd()
		})
	}
}

// Guards against a queued request that waits for the end of the drain although it is known that it cannot end before.
func TestAQueuedRequestThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEntry(t, 10*time.Minute)
	a := f.startQueueingAgent("a1")
	answer := f.send(rawRequest(draftPath, "", `{"model":"draft","prompt":"tie up","max_tokens":100000}`))
	a.awaitArrivals(t, 1)
	f.stop()
	got := f.await(answer)
	is.NoErr(got.err)
	is.Equal(got.lastError(t).Code, result.Leaving)
	is.Equal(got.lastError(t).Ran, result.RanNo)
	is.True(got.header.Get("Retry-After") != "")
	f.awaitEnd()
}

// Guards against a request whose body is still being received at the stop, and whose caller is told nothing.
func TestARequestThatIsStillReceivedAtTheStopIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEntry(t, testDrainTimeout)
	request := rawRequest(draftPath, "", draftBody)
	answer := f.send(request[:len(request)-5])
	awaitCondition(t, "the head is read", func() bool { return f.entry.activeRequests.Load() == 1 })
	f.stop()
	got := f.await(answer)
	is.NoErr(got.err)
	is.Equal(got.lastError(t).Code, result.Leaving)
	is.Equal(got.lastError(t).Ran, result.RanNo)
	f.awaitEnd()
}

// Guards against proper requests that get a bare 400 without a length, and no log line, while a drain waits for one slow caller.
func TestRequestsBesideASlowCallerDuringADrainAreAnswered(t *testing.T) {
	t.Parallel()
	for name, slow := range map[string]string{"head": "POST /v1/completions HT", "body": rawRequest(draftPath, "", draftBody)[:120]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startEntry(t, 12*time.Second)
			f.startAgent("a1", answering)
			slowCaller, early, late := f.dial(), f.dial(), f.dial()
			_, err := io.WriteString(slowCaller, slow)
			is.NoErr(err)
			awaitCondition(t, "the connections are accepted, and the slow caller's part is read", func() bool {
				return f.entry.callerConns.Len() == 3 && f.connectionsInRequest() == 1
			})
			f.stop()
			awaitCondition(t, "the listener is closed", f.listenerClosed)
			time.Sleep(10 * drainPollInterval) // the drain looks for connections to close
			f.checkAnswered(early, result.OK)
			f.signals <- syscall.SIGTERM
			awaitCondition(t, "final answers are due", func() bool { return !f.entry.canServe(0) })
			f.checkAnswered(late, result.Leaving)
			_ = slowCaller.Close()
			f.awaitEnd()
		})
	}
}

// connectionsInRequest returns the number of callers' connections on which a request is being read or answered.
func (f *servingEntry) connectionsInRequest() (n int) {
	f.entry.callerConns.Each(func(conn *graceful.Conn) {
		if conn.InRequest() {
			n++
		}
	})
	return n
}

// checkAnswered sends a request on an open connection and checks that its answer has the code and is logged.
func (f *servingEntry) checkAnswered(conn net.Conn, code result.Code) {
	f.t.Helper()
	is := is.New(f.t)
	_, err := io.WriteString(conn, rawRequest(draftPath, "", draftBody))
	is.NoErr(err)
	got := readResponse(bufio.NewReader(conn))
	is.NoErr(got.err)
	is.Equal(got.resultCode(), code)
	is.Equal(got.header.Get("Retry-After") != "", code != result.OK)
	f.awaitLogged(code)
}

// Guards against requests without an answer when a second signal ends the drain at once.
func TestASecondSignalAnswersWhatIsInFlight(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEntry(t, time.Hour)
	a := f.startAgent("a1", silent)
	answer := f.send(rawRequest(draftPath, "", draftBody))
	a.awaitArrivals(t, 1)
	f.stop()
	f.stop()
	got := f.await(answer)
	is.NoErr(got.err)
	is.Equal(got.lastError(t).Code, result.Interrupted)
	f.awaitEnd()
}

// Guards against requests in flight that an edit of the catalogue cuts off while the entry drains.
func TestACatalogueEditDuringADrainLeavesRequestsAlone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEntry(t, time.Minute)
	release := make(chan struct{})
	a := f.startAgent("a1", func(ctx context.Context, request *wire.RunRequest, send func(*wire.RunEvent)) error {
		<-release
		return answering(ctx, request, send)
	})
	answer := f.send(rawRequest(checkPath, "", `{}`))
	a.awaitArrivals(t, 1)
	f.stop()
	for revision, record := range []*catalogue.Record{{Type: catalogue.TypeAccount, ID: "crew"}, {Type: catalogue.TypeWork, ID: "check"}} {
		record.Revision, record.Deleted = uint64(2+revision), true
		page := catalogue.Page{Revision: record.Revision, Records: map[string]*catalogue.Record{record.Key(): record}}
		is.NoErr(f.entry.catalogue.ApplyPage(context.Background(), catalogue.PageOf(record.Key()), page))
		is.True(f.entry.catalogue.View().Get(record.Type, record.ID) == nil)
	}
	close(release)
	got := f.await(answer)
	is.NoErr(got.err)
	is.Equal(got.resultCode(), result.OK)
	f.awaitEnd()
}

// Guards against a drain that goes on after the context of Serve has ended.
func TestTheEndOfTheContextEndsADrain(t *testing.T) {
	t.Parallel()
	f := startEntry(t, time.Hour)
	a := f.startAgent("a1", silent)
	f.send(rawRequest(draftPath, "", draftBody))
	a.awaitArrivals(t, 1)
	f.stop()
	f.cancel()
	f.awaitEnd()
}

// Guards against a request that is placed during a drain although it cannot end before the stop.
func TestARequestThatCannotEndBeforeTheStopIsRefusedUnplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEntry(t, 10*time.Minute)
	a := f.startAgent("a1", silent)
	conn := f.dial()
	awaitCondition(t, "the connection is accepted", func() bool { return f.entry.callerConns.Len() == 1 })
	f.stop()
	_, err := io.WriteString(conn, rawRequest(draftPath, "", `{"model":"draft","prompt":"tie up","max_tokens":100000}`))
	is.NoErr(err)
	got := readResponse(bufio.NewReader(conn))
	is.NoErr(got.err)
	is.Equal(got.lastError(t).Code, result.Leaving)
	is.Equal(a.number.Load(), uint64(0))
	f.awaitEnd()
}

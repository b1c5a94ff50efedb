package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"aspenyard.example/admission"
	standin "aspenyard.example/standin/platform"
)

// fakeUsage simulates a process whose callers ask for a multiple of one core, however fast the machine serves them: it
// uses that, less the share that is refused.
type fakeUsage struct {
	demand atomic.Uint64 // in percent of a core
	asked  atomic.Int64
	served atomic.Int64
	extra  atomic.Int64 // processor time used for anything else
	fails  atomic.Bool

	// The other fields are used by the goroutine that measures.
	lastAsked, lastServed int64
	admittedShare         float64
	measured              time.Time
	used                  time.Duration
}

func newFakeUsage(demandPercent uint64) *fakeUsage {
	u := &fakeUsage{admittedShare: 1}
	u.demand.Store(demandPercent)
	return u
}

// record counts a request and whether it was served.
func (u *fakeUsage) record(served bool) {
	if served {
		u.served.Add(1)
	}
	u.asked.Add(1)
}

func (u *fakeUsage) ProcessorTime() (time.Duration, error) {
	if u.fails.Load() {
		return 0, errors.New("refused by a test")
	}
	now := time.Now()
	if u.measured.IsZero() {
		u.measured = now
	}
	asked, served := u.asked.Load(), u.served.Load()
	if asked > u.lastAsked {
		u.admittedShare = float64(served-u.lastServed) / float64(asked-u.lastAsked)
	}
	u.used += time.Duration(float64(now.Sub(u.measured)) * u.admittedShare * float64(u.demand.Load()) / 100)
	u.measured, u.lastAsked, u.lastServed = now, asked, served
	return u.used + time.Duration(u.extra.Load()), nil
}

func (u *fakeUsage) OpenDescriptors() (int, error) {
	if u.fails.Load() {
		return 0, errors.New("refused by a test")
	}
	return 0, nil
}

// newPressedFixture prepares a gateway at which the route "once" is more urgent than the others.
func newPressedFixture(t *testing.T, usage *fakeUsage, extraSettings string, workers ...*standin.Worker) *fixture {
	s := newFixture(t, workers...)
	s.usage, s.extraSettings = usage, extraSettings
	for _, r := range s.routes {
		r["priority"] = map[string]int{"once": 0, "stream": 2, "again": 2}[r["name"].(string)]
	}
	return s
}

// Guards against an entry that serves all its callers late because it has too little processor time, that refuses
// urgent requests for it, and that goes on refusing when the load has ended.
func TestAnEntryShortOfProcessorTimeRefusesByUrgency(t *testing.T) {
	is := is.New(t)
	usage := newFakeUsage(150)
	s := newPressedFixture(t, usage, `,"processor_limit":1`, plainWorker(), streamingWorker(3)).start()
	refused := map[string]int{}
	n := 0
	load := func() {
		for _, path := range []string{"/once/a", "/again/a"} {
			n++
			got := s.post(path, fmt.Sprint("q", n))
			usage.record(got.status == http.StatusOK)
			if got.status == http.StatusOK {
				continue
			}
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.header.Get("Retry-After"), "0.300")
			is.True(strings.Contains(got.body, "entry_full (3022)"))
			refused[path]++
		}
	}
	s.waitFor("100 requests are refused", func() bool {
		load()
		return refused["/again/a"] >= 100
	})
	t.Logf("%d requests, refused %v", n, refused)
	is.True(refused["/once/a"] < refused["/again/a"])
	is.True(s.logged(`"event":"entry_pressed"`) && s.logged(`"resource":"processor"`))
	is.True(s.sumMetric(`aspenyard_gateway_full_refused_total{class="idempotent",resource="processor"}`) >= 100)
	is.Equal(s.readyStatus(), http.StatusOK)
	// A resumed stream is not refused, nor is a body waited for that is not going to be read.
	s.waitFor("a body is refused unread", func() bool {
		for range 10 {
			load()
		}
		for range 10 {
			n++
			r := s.request(http.MethodGet, "/stream/a", fmt.Sprint("resumed", n), "")
			r.Header.Set("Last-Event-ID", "1")
			is.True(!strings.Contains(s.do(r).body, "entry_full (3022)"))
		}
		response := s.dialSlow(announce(fmt.Sprint("unread", n), 60_000)).responseWithin(50 * time.Millisecond)
		n++
		return response != nil && response.StatusCode == http.StatusServiceUnavailable && response.Close
	})
	usage.demand.Store(0)
	s.waitFor("the entry is relieved", func() bool {
		return s.logged(`"event":"entry_relieved"`) && s.sumMetric(`aspenyard_gateway_pressure{resource="processor"}`) < 0.9
	})
	for i := range 20 {
		is.Equal(s.post("/again/a", fmt.Sprint("later", i)).status, http.StatusOK)
	}
}

// responseWithin reads a response's head; nil if none arrives in time.
func (c *slowCaller) responseWithin(d time.Duration) *http.Response {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil
	}
	return response
}

// Guards against an entry that refuses requests because it cannot measure itself, and against a log that fills
// with the failures.
func TestAnEntryThatCannotMeasureItselfServes(t *testing.T) {
	is := is.New(t)
	usage := newFakeUsage(0)
	usage.fails.Store(true)
	s := newPressedFixture(t, usage, `,"processor_limit":0.001,"descriptor_limit":256`, plainWorker()).start()
	s.waitFor("both failures are logged", func() bool { return strings.Count(s.log.String(), `"event":"entry_not_measured"`) == 2 })
	for i := range 50 {
		is.Equal(s.post("/again/a", fmt.Sprint("q", i)).status, http.StatusOK)
		usage.extra.Add(int64(time.Hour))
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(strings.Count(s.log.String(), `"event":"entry_not_measured"`), 2)
	usage.fails.Store(false)
	time.Sleep(5 * admission.MeasureInterval)
	is.True(!s.logged(`"event":"entry_pressed"`)) // what was used during the failures does not count
	s.waitFor("the resource is measured again", func() bool {
		usage.extra.Add(int64(time.Hour))
		return s.logged(`"event":"entry_pressed"`)
	})
}

// Guards against a large body that occupies a slow link although it arrives too late to be served.
func TestALargeBodyIsRefusedAtASlowLink(t *testing.T) {
	is := is.New(t)
	s, _ := newBulkFixture(t)
	s.extraSettings = `,"link_limit":"1Mbit"`
	s.start()
	response := s.dialSlow(announce("large", 1<<20)).response() // 9 s at 1 Mbit/s; its time limit is 6 s
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Close)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), "entry_full (3022)"))
	is.Equal(s.sumMetric(`aspenyard_gateway_full_refused_total{class="idempotent",resource="link_received"}`), 1.0)
	for size, want := range map[int]int{60_000: http.StatusOK, 100_000: http.StatusOK} {
		is.Equal(s.do(s.request(http.MethodPost, "/again/a?size=10&chunks=1", fmt.Sprint("b", size), strings.Repeat("x", size))).status, want)
	}
}

// Guards against bytes of callers or endpoints that are not counted, so that a full link is not noticed.
func TestALinkIsPressedInBothDirections(t *testing.T) {
	for _, resource := range []string{"link_received", "link_sent"} {
		t.Run(resource, func(t *testing.T) {
			is := is.New(t)
			s, _ := newBulkFixture(t)
			s.extraSettings = `,"link_limit":"2Mbit"`
			s.start()
			n := 0
			s.waitFor("the link is pressed", func() bool {
				n++
				target, size := "/again/a?size=10&chunks=1", 60_000 // received from the caller, sent to the endpoint
				if resource == "link_sent" {
					target, size = "/again/a?size=60000&chunks=1", 0
				}
				got := s.do(s.request(http.MethodPost, target, fmt.Sprint("q", n), strings.Repeat("x", size)))
				is.NoErr(got.err)
				return s.sumMetric(fmt.Sprintf(`aspenyard_gateway_pressure{resource=%q}`, resource)) > 1
			})
		})
	}
}

// Guards against connections of callers that take the descriptors of endpoints' connections, and against
// a caller beyond the limit that gets no response.
func TestConnectionsOfCallersAreBounded(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	s := newPressedFixture(t, newFakeUsage(0), `,"descriptor_limit":260`, w).start() // 40 callers
	s.waitFor("the bound is known", func() bool { return s.sumMetric("aspenyard_gateway_caller_connections_bound") == 40 })
	var callers []*slowCaller
	connect := func(id string) *slowCaller {
		c := s.dialSlow(head("GET", "/again/a", id) + "\r\n")
		callers = append(callers, c)
		return c
	}
	serve := func(c *slowCaller) {
		response := c.response()
		is.Equal(response.StatusCode, http.StatusOK)
		_, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
	}
	serve(connect("first"))
	time.Sleep(100 * time.Millisecond) // the gateway takes a connection for idle after the response was read
	for i := range 40 {
		serve(connect(fmt.Sprint("idle", i)))
	}
	is.Equal(s.sumMetric("aspenyard_gateway_idle_callers_closed_total"), 1.0)
	_, err := callers[0].reader.ReadByte()
	is.Equal(err, io.EOF) // it was idle for the longest time
	w.SetDefaultFault(standin.FaultHang)
	for i, c := range callers[1:] {
		_, err := io.WriteString(c.conn, head("GET", "/again/a", fmt.Sprint("busy", i))+"\r\n")
		is.NoErr(err)
	}
	s.waitFor("all connections carry requests", func() bool { return s.sumMetric("aspenyard_gateway_active_requests") == 40 })
	response := connect("beyond").response()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Close)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), "entry is short of descriptors"))
	is.Equal(s.sumMetric("aspenyard_gateway_idle_callers_closed_total"), 1.0)
	w.SetDefaultFault("")
	for _, c := range callers[1:21] {
		_ = c.conn.Close()
	}
	s.waitFor("connections have ended", func() bool { return s.sumMetric("aspenyard_gateway_caller_connections ") == 20 })
	serve(connect("room again"))
}

// Guards against callers that send requests ahead, which the kernel holds for as long as the gateway answers those before, while
// others need the memory; and against closing a caller's connection for that in calm, or without a response.
func TestACallerThatSendsAheadLosesItsConnectionInACrowd(t *testing.T) {
	is := is.New(t)
	s := newPressedFixture(t, newFakeUsage(0), `,"descriptor_limit":260`, plainWorker()).start() // 40 callers
	s.waitFor("the bound is known", func() bool { return s.sumMetric("aspenyard_gateway_caller_connections_bound") == 40 })
	var others []*slowCaller
	connect := func(id string, requests int) *slowCaller {
		text := ""
		for i := range requests {
			text += head("GET", "/again/a", fmt.Sprint(id, i)) + "\r\n"
		}
		return s.dialSlow(text)
	}
	serve := func(c *slowCaller) bool {
		response := c.response()
		is.Equal(response.StatusCode, http.StatusOK)
		_, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		return response.Close
	}
	calm := connect("calm", 40)
	for range 40 {
		is.True(!serve(calm))
	}
	_ = calm.conn.Close()
	s.waitFor("the connection has ended", func() bool { return s.sumMetric("aspenyard_gateway_caller_connections ") == 0 })
	for i := range 20 {
		c := connect(fmt.Sprint("other", i), 1)
		is.True(!serve(c))
		others = append(others, c)
	}
	crowded := connect("ahead", 40)
	is.True(serve(crowded))
	for i, c := range others {
		_, err := io.WriteString(c.conn, head("GET", "/again/a", fmt.Sprint("again", i))+"\r\n")
		is.NoErr(err)
		is.True(!serve(c)) // it has sent nothing ahead
	}
}

// Guards against requests in flight, whose state takes memory, beside as many held bytes as without them.
func TestRequestsInFlightLeaveLessRoomForBytes(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	s := newFixture(t, w).start()
	is.Equal(s.sumMetric("aspenyard_gateway_reserved_bytes "), 0.0)
	w.SetDefaultFault(standin.FaultHang)
	var callers []*slowCaller
	for i := range 3 {
		callers = append(callers, s.dialSlow(head("GET", "/again/a", fmt.Sprint("q", i))+"\r\n"))
	}
	s.waitFor("the requests are in flight", func() bool { return w.InFlight() == 3 })
	reserved := s.sumMetric("aspenyard_gateway_reserved_bytes ")
	is.True(reserved >= 3*16<<10)
	for _, c := range callers {
		_ = c.conn.Close()
	}
	s.waitFor("they have ended", func() bool { return s.sumMetric("aspenyard_gateway_reserved_bytes ") == 0 })
}

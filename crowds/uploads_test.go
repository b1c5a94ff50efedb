//go:build crowds

package crowds

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/standin/platform"
)

const (
	uploads = 21
	// windowTimer is the least time after which a kernel sends a segment that exceeds the window of its peer.
	windowTimer = 200 * time.Millisecond
)

// medianUpload returns the median time until a large body, sent on a kept connection, is answered.
func medianUpload(t *testing.T, url string, size int, prepare func(*http.Request)) time.Duration {
	t.Helper()
	is := is.New(t)
	client := &http.Client{Timeout: conditionTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var times []time.Duration
	for range uploads {
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(zeros(size)))
		is.NoErr(err)
		prepare(request)
		start := time.Now()
		response, err := client.Do(request)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	t.Logf("%d bytes: median %v, longest %v", size, times[uploads/2], times[uploads-1])
	return times[uploads/2]
}

// Guards against bounds of the kernel's buffers that make the senders of large bodies wait for their kernel's timers.
func TestLargeBodiesArriveWithoutWaits(t *testing.T) {
	is := is.New(t)
	g := startGateway(t)
	await(t, "an ordinary request", g.ordinary)
	f := startFleet(t)
	await(t, "an ordinary request", f.ordinary)
	for _, size := range []int{100_000, largeBody, maxBodyBytes} {
		is.True(medianUpload(t, "http://"+g.callers+"/app/a", size, func(r *http.Request) {
			r.Host = platform.Host
			call := platform.CallHeaders{ID: "upload", APIKey: platform.APIKey, Deadline: 10 * time.Second}
			call.SetHeaders(r.Header)
		}) < windowTimer)
		is.True(medianUpload(t, "http://"+f.callers+"/v1/completions", size, func(r *http.Request) { // refused once it is read
			r.Header.Set("Authorization", "Bearer demo.secret")
		}) < windowTimer)
	}
}

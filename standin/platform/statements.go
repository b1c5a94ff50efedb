package platform

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Headers in which a worker makes statements about itself.
const (
	headerLimit   = "Server-Limit"
	headerLeaving = "Server-Leaving"
)

// SetLimit makes the worker state in its responses, from now on, how many requests per second
// it takes from all gateways together. It does not enforce the limit.
func (w *Worker) SetLimit(perSecond float64) {
	w.SetLimitText(strconv.FormatFloat(perSecond, 'f', -1, 64))
}

// SetLimitText sets the text of the limit that responses state, which may be malformed; with ""
// they state none.
func (w *Worker) SetLimitText(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statedLimit = text
}

// SetLeaving makes the worker state in all its responses, from now on, that it leaves; with false
// they do not say so. Its registration is not changed.
func (w *Worker) SetLeaving(leaving bool) {
	text := ""
	if leaving {
		text = "1"
	}
	w.SetLeavingText(text)
}

// SetLeavingText sets the text of that statement, which may be malformed; with "" there is none.
func (w *Worker) SetLeavingText(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statedLeaving = text
}

// SetBackoff sets the text of the Retry-After header in refusals with status 503, which may be
// malformed; with "" they have none.
func (w *Worker) SetBackoff(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statedBackoff = text
}

// statements returns the header lines of what the worker states in all its responses.
func (w *Worker) statements() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return headerLine(headerLimit, w.statedLimit) + headerLine(headerLeaving, w.statedLeaving) + headerLine(headerCold, w.cold.stated(time.Now()))
}

// backoff returns the text of Retry-After in refusals.
func (w *Worker) backoff() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.statedBackoff
}

// backoffHeader returns the header line of refusals that states for how long the worker wants no
// requests from the gateway.
func (w *Worker) backoffHeader() string { return headerLine("Retry-After", w.backoff()) }

// headerLine returns a line of a response's head; "" for an empty value.
func headerLine(name, value string) string {
	if value == "" {
		return ""
	}
	return name + ": " + value + "\r\n"
}

// StatesLeaving reports whether a response states that its worker leaves.
func StatesLeaving(h http.Header) bool { return h.Get(headerLeaving) == "1" }

// StatesLimit reports whether a response states a limit.
func StatesLimit(h http.Header) bool { return h.Get(headerLimit) != "" }

// ArrivalsPerSecond returns how many requests arrived in each second since a time, by sender.
// senderOf maps a request to the gateway that it came through.
func (w *Worker) ArrivalsPerSecond(since time.Time, senderOf func(r *Run) string) map[string][]int {
	counts := map[string][]int{}
	for _, run := range w.Runs() {
		if run.ArrivedAt.Before(since) {
			continue
		}
		sender, second := senderOf(&run), int(run.ArrivedAt.Sub(since)/time.Second)
		for len(counts[sender]) <= second {
			counts[sender] = append(counts[sender], 0)
		}
		counts[sender][second]++
	}
	return counts
}

// MaxArrivals returns the largest number of requests that arrived since a time within any span
// of the given length.
func (w *Worker) MaxArrivals(since time.Time, span time.Duration) int {
	var times []time.Time
	for _, run := range w.Runs() {
		if !run.ArrivedAt.Before(since) {
			times = append(times, run.ArrivedAt)
		}
	}
	return MaxWithin(times, span)
}

// MaxWithin returns the largest number of times within any span of the given length.
func MaxWithin(times []time.Time, span time.Duration) int {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

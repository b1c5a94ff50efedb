package direct

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"aspenyard.example/directory"
)

// EndpointBackoffs tracks the backoffs that endpoints request: one that refuses a request says for
// how long it wants none from this entry. After a backoff the endpoint looks idle to all entries, so
// each of them resumes with few requests. A backoff belongs to an incarnation and does not end when
// its endpoint is unlisted for a while. EndpointBackoffs is safe for concurrent use.
type EndpointBackoffs struct {
	mu       sync.Mutex
	backoffs map[directory.Incarnation]*backoff
	// peerBackoffs holds the ends of the backoffs that other entries report.
	peerBackoffs map[EndpointHash]time.Time
	rank         rank
	// ramp is unset in experiments that resume without one.
	ramp bool
}

// backoff is the backoff of one incarnation and the time after it.
type backoff struct {
	// until is the end of the backoff, resumeAt when this entry may send requests again, statedAt when
	// the last refusal was received.
	until, resumeAt, statedAt time.Time
	slots                     int
	// window is how many requests may be without a response after the backoff, unanswered how many
	// are.
	window, unanswered int
}

const (
	// resumeInterval is the time after which the other entries know of the load that one has sent.
	resumeInterval = 250 * time.Millisecond
	// resumeShare is the share of an endpoint's slots that all entries together use at first.
	resumeShare = 0.5
	// maxResumeDelay bounds the time after a backoff at which an entry resumes.
	maxResumeDelay = 2 * time.Second
	// maxPeerBackoff is how long a report of another entry holds that is not repeated.
	maxPeerBackoff = 3 * time.Second
	// rampTime is how long after a backoff requests are counted. A service that gets few requests
	// would otherwise never end the ramp.
	rampTime = 5 * time.Second
)

// NewEndpointBackoffs returns a tracker that knows no backoffs.
func NewEndpointBackoffs() *EndpointBackoffs {
	return &EndpointBackoffs{backoffs: map[directory.Incarnation]*backoff{}, peerBackoffs: map[EndpointHash]time.Time{}, ramp: true}
}

// SetRamp sets whether entries resume with few requests after a backoff; for experiments.
func (r *EndpointBackoffs) SetRamp(ramp bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ramp = ramp
}

func (r *EndpointBackoffs) setRank(rank rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank = rank
}

// Observe records that an endpoint wants no requests for a time from now on. Of several backoffs the
// last end counts.
func (r *EndpointBackoffs) Observe(now time.Time, e *directory.EndpointState, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	known := r.backoffs[e.Incarnation]
	if known == nil {
		known = &backoff{}
		r.backoffs[e.Incarnation] = known
	}
	if until := now.Add(length); until.After(known.until) {
		known.until = until
	}
	known.slots, known.statedAt = max(e.Slots, 1), now
	known.resumeAt, known.window, known.unanswered = known.until, known.slots, 0
	if r.ramp {
		r.startRamp(known, e)
	}
}

// Resume makes this entry resume with few requests at an endpoint that all entries have sent none for a
// time, as after a backoff that ends now. A backoff that ends later stays in force.
func (r *EndpointBackoffs) Resume(now time.Time, e *directory.EndpointState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.backoffs[e.Incarnation]; !r.ramp || known != nil && known.until.After(now) {
		return
	}
	known := &backoff{until: now, slots: max(e.Slots, 1)}
	r.backoffs[e.Incarnation] = known
	r.startRamp(known, e)
}

// startRamp sets when and with how many requests this entry resumes after a backoff.
func (r *EndpointBackoffs) startRamp(known *backoff, e *directory.EndpointState) {
	known.resumeAt = known.until.Add(r.resumeDelay(e))
	known.window, known.unanswered = max(int(resumeShare*float64(known.slots))/max(r.rank.count, 1), 1), 0
}

// resumeDelay is how long after the end of a backoff this entry resumes. As many entries as the
// endpoint has slots resume in each resumeInterval; the order differs by endpoint.
func (r *EndpointBackoffs) resumeDelay(e *directory.EndpointState) time.Duration {
	if r.rank.count <= 1 {
		return 0
	}
	turn := (r.rank.index + int(HashEndpoint(e.Incarnation))%r.rank.count) % r.rank.count
	return min(time.Duration(turn/max(e.Slots, 1))*resumeInterval, maxResumeDelay)
}

// over reports whether nothing of a backoff matters any more.
func (k *backoff) over(now time.Time) bool {
	return now.Sub(k.resumeAt) > rampTime || !now.Before(k.resumeAt) && k.window >= k.slots
}

// find returns an incarnation's backoff; nil if it has none that matters.
func (r *EndpointBackoffs) find(now time.Time, incarnation directory.Incarnation) *backoff {
	if known := r.backoffs[incarnation]; known != nil && !known.over(now) {
		return known
	}
	return nil
}

// InBackoff reports whether an endpoint must not be sent requests now because of a backoff.
func (r *EndpointBackoffs) InBackoff(now time.Time, incarnation directory.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.find(now, incarnation)
	return known != nil && now.Before(known.resumeAt)
}

// untilAvailable returns the time until an endpoint may be sent a request; 0 if it may now.
func (r *EndpointBackoffs) untilAvailable(now time.Time, incarnation directory.Incarnation) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.find(now, incarnation)
	switch {
	case known == nil:
		return 0
	case now.Before(known.resumeAt):
		return known.resumeAt.Sub(now)
	case known.unanswered >= known.window:
		return resumeInterval
	}
	return 0
}

// Empty reports whether no endpoint has stated a backoff to this entry that matters now.
func (r *EndpointBackoffs) Empty(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return len(r.backoffs) == 0
}

// expire drops backoffs that do not matter any more.
func (r *EndpointBackoffs) expire(now time.Time) {
	maps.DeleteFunc(r.backoffs, func(_ directory.Incarnation, known *backoff) bool { return known.over(now) })
}

// Take counts a request to an endpoint that had a backoff. allowed is false if the request must not
// be sent there now. If counted is set, Answered or Unanswered must follow.
func (r *EndpointBackoffs) Take(now time.Time, incarnation directory.Incarnation) (allowed, counted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.find(now, incarnation)
	if known == nil {
		return true, false
	}
	if now.Before(known.resumeAt) || known.unanswered >= known.window {
		return false, false
	}
	known.unanswered++
	return true, true
}

// Answered ends the count of a request that got a response. Without a new backoff in it, the endpoint
// may be sent one more request at a time.
func (r *EndpointBackoffs) Answered(now time.Time, incarnation directory.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.backoffs[incarnation]
	if known == nil || now.Before(known.resumeAt) {
		return
	}
	known.unanswered = max(known.unanswered-1, 0)
	known.window++
}

// Unanswered ends the count of a request that got no response or was not sent.
func (r *EndpointBackoffs) Unanswered(incarnation directory.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.backoffs[incarnation]; known != nil {
		known.unanswered = max(known.unanswered-1, 0)
	}
}

// BackoffReport is an entry's report to others of how long an endpoint is still in backoff.
type BackoffReport struct {
	Endpoint EndpointHash
	Left     time.Duration
}

// Reports returns backoffs that endpoints have stated to this entry, at most most, the longest first:
// those of the last changeReportTime and, with full, all.
func (r *EndpointBackoffs) Reports(now time.Time, full bool, most int) []BackoffReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []BackoffReport
	for incarnation, known := range r.backoffs {
		if left := known.until.Sub(now); left > 0 && (full || now.Sub(known.statedAt) < changeReportTime) {
			reports = append(reports, BackoffReport{HashEndpoint(incarnation), left})
		}
	}
	slices.SortFunc(reports, func(a, b BackoffReport) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return reports[:min(len(reports), most)]
}

// Merge applies the reports of another entry, which are late by delay. An endpoint that it reports is
// put behind others: it asked that entry alone, and will probably ask this one too.
func (r *EndpointBackoffs) Merge(now time.Time, delay time.Duration, reports []BackoffReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.peerBackoffs, func(_ EndpointHash, until time.Time) bool { return !now.Before(until) })
	for _, report := range reports {
		if until := now.Add(min(report.Left-delay, maxPeerBackoff)); until.After(r.peerBackoffs[report.Endpoint]) {
			r.peerBackoffs[report.Endpoint] = until
		}
	}
}

// peerBackoff reports whether an endpoint is in backoff according to another entry.
func (r *EndpointBackoffs) peerBackoff(now time.Time, incarnation directory.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peerBackoffs) > 0 && now.Before(r.peerBackoffs[HashEndpoint(incarnation)])
}

// Totals returns how many endpoints are in backoff, and the time until the last of these backoffs ends.
func (r *EndpointBackoffs) Totals(now time.Time) (count int, longest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.backoffs {
		if left := known.until.Sub(now); left > 0 {
			count++
			longest = max(longest, left)
		}
	}
	return count, longest
}

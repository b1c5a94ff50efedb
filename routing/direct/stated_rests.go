package direct

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"aspenyard.example/directory"
)

// EndpointRests tracks the rests that endpoints state: an endpoint that refuses a request says for
// how long it wants none from this entry. After a rest the endpoint looks idle to all entries, so
// each of them resumes with few requests. A rest belongs to an incarnation and does not end when
// its endpoint is unlisted for a while. EndpointRests is safe for concurrent use.
type EndpointRests struct {
	mu    sync.Mutex
	rests map[directory.Incarnation]*rest
	// peerRests holds the ends of the rests that other entries report.
	peerRests map[EndpointHash]time.Time
	rank      rank
	// ramp is unset in experiments that resume without one.
	ramp bool
}

// rest is the rest of one incarnation and the time after it.
type rest struct {
	// until is the end of the rest, resumeAt when this entry may send requests again, statedAt when
	// the last refusal was received.
	until, resumeAt, statedAt time.Time
	slots                     int
	// window is how many requests may be without a response after the rest, unanswered how many
	// are.
	window, unanswered int
}

const (
	// resumeInterval is the time after which the other entries know of the load that one has sent.
	resumeInterval = 250 * time.Millisecond
	// resumeShare is the share of an endpoint's slots that all entries together use at first.
	resumeShare = 0.5
	// maxResumeDelay bounds the time after a rest at which an entry resumes.
	maxResumeDelay = 2 * time.Second
	// maxPeerRest is how long a report of another entry holds that is not repeated.
	maxPeerRest = 3 * time.Second
	// rampTime is how long after a rest requests are counted. A service that gets few requests
	// would otherwise never end the ramp.
	rampTime = 5 * time.Second
)

// NewEndpointRests returns a tracker that knows no rests.
func NewEndpointRests() *EndpointRests {
	return &EndpointRests{rests: map[directory.Incarnation]*rest{}, peerRests: map[EndpointHash]time.Time{}, ramp: true}
}

// SetRamp sets whether entries resume with few requests after a rest; for experiments.
func (r *EndpointRests) SetRamp(ramp bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ramp = ramp
}

func (r *EndpointRests) setRank(rank rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank = rank
}

// Observe records that an endpoint wants no requests for a time from now on. Of several rests the
// last end counts.
func (r *EndpointRests) Observe(now time.Time, e *directory.EndpointState, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	known := r.rests[e.Incarnation]
	if known == nil {
		known = &rest{}
		r.rests[e.Incarnation] = known
	}
	if until := now.Add(length); until.After(known.until) {
		known.until = until
	}
	known.slots, known.statedAt = max(e.Slots, 1), now
	known.resumeAt, known.window, known.unanswered = known.until, known.slots, 0
	if r.ramp {
		known.resumeAt = known.until.Add(r.resumeDelay(e))
		known.window = max(int(resumeShare*float64(known.slots))/max(r.rank.count, 1), 1)
	}
}

// resumeDelay is how long after the end of a rest this entry resumes. As many entries as the
// endpoint has slots resume in each resumeInterval; the order differs by endpoint.
func (r *EndpointRests) resumeDelay(e *directory.EndpointState) time.Duration {
	if r.rank.count <= 1 {
		return 0
	}
	turn := (r.rank.index + int(HashEndpoint(e.Incarnation))%r.rank.count) % r.rank.count
	return min(time.Duration(turn/max(e.Slots, 1))*resumeInterval, maxResumeDelay)
}

// over reports whether nothing of a rest matters any more.
func (k *rest) over(now time.Time) bool {
	return now.Sub(k.resumeAt) > rampTime || !now.Before(k.resumeAt) && k.window >= k.slots
}

// find returns an incarnation's rest; nil if it has none that matters.
func (r *EndpointRests) find(now time.Time, incarnation directory.Incarnation) *rest {
	if known := r.rests[incarnation]; known != nil && !known.over(now) {
		return known
	}
	return nil
}

// Resting reports whether an endpoint must not be sent requests now because of a rest.
func (r *EndpointRests) Resting(now time.Time, incarnation directory.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.find(now, incarnation)
	return known != nil && now.Before(known.resumeAt)
}

// untilAvailable returns the time until an endpoint may be sent a request; 0 if it may now.
func (r *EndpointRests) untilAvailable(now time.Time, incarnation directory.Incarnation) time.Duration {
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

// Empty reports whether no endpoint has stated a rest to this entry that matters now.
func (r *EndpointRests) Empty(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return len(r.rests) == 0
}

// expire drops rests that do not matter any more.
func (r *EndpointRests) expire(now time.Time) {
	maps.DeleteFunc(r.rests, func(_ directory.Incarnation, known *rest) bool { return known.over(now) })
}

// Take counts a request to an endpoint that had a rest. allowed is false if the request must not
// be sent there now. If counted is set, Answered or Unanswered must follow.
func (r *EndpointRests) Take(now time.Time, incarnation directory.Incarnation) (allowed, counted bool) {
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

// Answered ends the count of a request that got a response. Without a new rest in it, the endpoint
// may be sent one more request at a time.
func (r *EndpointRests) Answered(now time.Time, incarnation directory.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.rests[incarnation]
	if known == nil || now.Before(known.resumeAt) {
		return
	}
	known.unanswered = max(known.unanswered-1, 0)
	known.window++
}

// Unanswered ends the count of a request that got no response or was not sent.
func (r *EndpointRests) Unanswered(incarnation directory.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.rests[incarnation]; known != nil {
		known.unanswered = max(known.unanswered-1, 0)
	}
}

// RestReport is an entry's report to others of how long an endpoint still rests.
type RestReport struct {
	Endpoint EndpointHash
	Left     time.Duration
}

// Reports returns rests that endpoints have stated to this entry, at most most, the longest first:
// those of the last changeReportTime and, with full, all.
func (r *EndpointRests) Reports(now time.Time, full bool, most int) []RestReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []RestReport
	for incarnation, known := range r.rests {
		if left := known.until.Sub(now); left > 0 && (full || now.Sub(known.statedAt) < changeReportTime) {
			reports = append(reports, RestReport{HashEndpoint(incarnation), left})
		}
	}
	slices.SortFunc(reports, func(a, b RestReport) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return reports[:min(len(reports), most)]
}

// Merge applies the reports of another entry, which are late by delay. An endpoint that it reports is
// put behind others: it asked that entry alone, and will probably ask this one too.
func (r *EndpointRests) Merge(now time.Time, delay time.Duration, reports []RestReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.peerRests, func(_ EndpointHash, until time.Time) bool { return !now.Before(until) })
	for _, report := range reports {
		if until := now.Add(min(report.Left-delay, maxPeerRest)); until.After(r.peerRests[report.Endpoint]) {
			r.peerRests[report.Endpoint] = until
		}
	}
}

// peerRest reports whether an endpoint rests according to another entry.
func (r *EndpointRests) peerRest(now time.Time, incarnation directory.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peerRests) > 0 && now.Before(r.peerRests[HashEndpoint(incarnation)])
}

// Totals returns how many endpoints rest, and the time until the last of these rests ends.
func (r *EndpointRests) Totals(now time.Time) (count int, longest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.rests {
		if left := known.until.Sub(now); left > 0 {
			count++
			longest = max(longest, left)
		}
	}
	return count, longest
}

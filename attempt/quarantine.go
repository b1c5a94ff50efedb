package attempt

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"aspenyard.example/attempt/verdict"
)

// Finding is the result of one run of a request, as far as the quarantine is concerned: the
// endpoint crashed during the run, or answered the request completely.
type Finding struct {
	Request Fingerprint
	// Endpoint is a hash of the endpoint's incarnation that crashed, or Answered.
	Endpoint uint32
	// Age is how long ago the run ended.
	Age time.Duration
}

// Answered is the value of Finding.Endpoint for a request that was answered completely.
const Answered uint32 = 0

const (
	// crashesToQuarantine is the number of endpoint incarnations that must have crashed while a
	// request was in flight there. A request that causes no crash may still be in flight at one or
	// two.
	crashesToQuarantine = 3
	// maxCrashesKept is how many crashes of a request are kept, the latest ones. They are more than
	// crashesToQuarantine, because a response that another node reports late cancels the crashes
	// before it.
	maxCrashesKept = 2 * crashesToQuarantine
	// findingTTL is how long a finding counts after the end of the run. It ends at the same time
	// on all nodes, so that they do not keep a finding alive by reporting it to each other.
	findingTTL = time.Hour
	// maxSuspects bounds the memory, about 150 bytes for each suspect.
	maxSuspects = 4096
	// freshFindingAge is the age up to which a finding is repeated in the reports between two full
	// ones, since several of these may be lost.
	freshFindingAge = 500 * time.Millisecond
)

// Quarantine detects requests that make endpoints crash repeatedly and must not be sent any more.
// Nodes exchange their findings, which may arrive in any order and more than once. It is safe for
// concurrent use.
type Quarantine struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// scopes counts the suspects by the Scope of their fingerprints.
	scopes map[uint64]int
	// explained reports whether a crash of an endpoint's incarnation, given by its hash, has a known cause other
	// than the requests that were in flight. Such crashes are kept, as the cause may prove to be another.
	explained func(endpoint uint32) bool
	// nextReport is the index of the finding at which the next report begins if not all findings
	// fit into one.
	nextReport int
}

// suspect is a request during which an endpoint has crashed.
type suspect struct {
	// crashes are sorted by time.
	crashes []crash
	// answered is when the request was last answered completely, or zero. Crashes before it do
	// not count.
	answered time.Time
	// cancelled identifies the crashes that an answer, here or elsewhere, has cancelled, the last of them at cancelledAt.
	cancelled   []uint32
	cancelledAt time.Time
}

// crash is a crash of one incarnation of an endpoint, given by its hash.
type crash struct {
	endpoint uint32
	at       time.Time
	// local is set if this node observed the crash itself, stored if only the store reports it.
	local, stored bool
}

// NewQuarantine returns a quarantine without suspects. explained reports whether a crash of an endpoint's
// incarnation, given by its hash, has a known cause other than the requests that were in flight; it must not call
// the quarantine.
func NewQuarantine(explained func(endpoint uint32) bool) *Quarantine {
	return &Quarantine{suspects: map[Fingerprint]*suspect{}, scopes: map[uint64]int{}, explained: explained}
}

func (s *suspect) quarantined() bool { return len(s.crashes) >= crashesToQuarantine }

// shareable returns whether this node forwards crashes that other nodes observed. It does not
// while there is only one crash: every crash makes suspects of all requests in flight there.
func (s *suspect) shareable() bool { return len(s.crashes) > 1 || !s.answered.IsZero() }

// HasSuspect returns whether any request with the given fingerprint scope is a suspect. If not,
// the body need not be hashed.
func (q *Quarantine) HasSuspect(scope uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scopes[scope] > 0
}

// Empty returns whether there are no suspects.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects) == 0
}

// Remaining returns for how long a request stays in quarantine; 0 if it may be sent.
func (q *Quarantine) Remaining(now time.Time, request Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[request]
	if s == nil || !s.quarantined() {
		return 0
	}
	crashes := q.unexplained(s)
	if len(crashes) < crashesToQuarantine {
		return 0
	}
	decisive := crashes[len(crashes)-crashesToQuarantine]
	return max(decisive.at.Add(findingTTL).Sub(now), 0)
}

// unexplained returns the crashes of a suspect that have no other known cause, sorted by time.
func (q *Quarantine) unexplained(s *suspect) []crash {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c crash) bool { return q.explained(c.endpoint) })
}

// RecordCrash records that an endpoint crashed while a request was in flight there; endpoint is
// the hash of its incarnation. It returns the number of crashes that count for the request, and
// whether this one put the request into quarantine.
func (q *Quarantine) RecordCrash(now time.Time, request Fingerprint, endpoint uint32) (crashes int, quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	quarantined = q.addCrash(now, request, crash{endpoint: endpoint, at: now, local: true})
	if s := q.suspects[request]; s != nil {
		crashes = len(s.crashes)
	}
	return crashes, quarantined
}

// RecordResponse records that a request was answered completely. The crashes before do not count
// any more, since the request does not crash every endpoint. It returns whether that ended a quarantine.
func (q *Quarantine) RecordResponse(now time.Time, request Fingerprint) (released bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[request]
	before := s != nil && s.quarantined()
	q.applyResponse(now, request, now, true)
	return before && !s.quarantined()
}

// Merge adds the findings of another node. It returns the requests that they put into quarantine.
func (q *Quarantine) Merge(now time.Time, findings []Finding) []Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	var quarantined []Fingerprint
	for _, f := range findings {
		at := now.Add(-f.Age)
		if f.Age < 0 || f.Age >= findingTTL {
			continue
		}
		if f.Endpoint == Answered {
			q.applyResponse(now, f.Request, at, false)
		} else if q.addCrash(now, f.Request, crash{endpoint: f.Endpoint, at: at}) {
			quarantined = append(quarantined, f.Request)
		}
	}
	return quarantined
}

// addCrash adds a crash and returns whether it put the request into quarantine. A crash of the
// same incarnation counts once, and one before the last complete response not at all.
func (q *Quarantine) addCrash(now time.Time, request Fingerprint, c crash) bool {
	s := q.suspects[request]
	if s == nil {
		s = q.addSuspect(now, request)
	}
	if known := slices.IndexFunc(s.crashes, func(k crash) bool { return k.endpoint == c.endpoint }); known >= 0 {
		s.crashes[known].local, s.crashes[known].stored = s.crashes[known].local || c.local, s.crashes[known].stored && c.stored
		return false
	}
	if !c.at.After(s.answered) || slices.Contains(s.cancelled, c.endpoint) {
		return false
	}
	before := s.quarantined()
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	s.crashes = s.crashes[max(len(s.crashes)-maxCrashesKept, 0):]
	return !before && s.quarantined()
}

// applyResponse removes the crashes before a complete response, which this node observed itself if local is set. A
// response to a request that is not a suspect is ignored.
func (q *Quarantine) applyResponse(now time.Time, request Fingerprint, at time.Time, local bool) {
	s := q.suspects[request]
	if s == nil || !at.After(s.answered) {
		return
	}
	s.answered = at
	s.cancel(now, local, func(c crash) bool { return !c.at.After(at) })
}

// cancel removes crashes that count no longer. They are withdrawn at all nodes if that is certain: the times of stored
// crashes follow from clocks of other nodes, so that only a response which this node itself observed later withdraws them.
func (s *suspect) cancel(now time.Time, local bool, obsolete func(c crash) bool) {
	var cancelled []uint32
	for _, c := range s.crashes {
		if obsolete(c) && (local || !c.stored) {
			cancelled = append(cancelled, c.endpoint)
		}
	}
	s.crashes = slices.DeleteFunc(s.crashes, obsolete)
	if len(cancelled) > 0 {
		s.cancelled, s.cancelledAt = verdict.MergeCancelled(s.cancelled, cancelled), now
	}
}

// addSuspect adds a suspect, and evicts another if there are too many.
func (q *Quarantine) addSuspect(now time.Time, request Fingerprint) *suspect {
	q.expire(now)
	if len(q.suspects) >= maxSuspects {
		q.removeSuspect(q.evictionCandidate())
	}
	s := &suspect{}
	q.suspects[request] = s
	q.scopes[request.Scope]++
	return s
}

// evictionCandidate returns the suspect to remove first: the one whose last finding is the oldest
// among those that are not in quarantine, or among all if all are.
func (q *Quarantine) evictionCandidate() Fingerprint {
	var candidate Fingerprint
	var found *suspect
	for request, s := range q.suspects {
		switch {
		case found == nil, found.quarantined() && !s.quarantined(),
			found.quarantined() == s.quarantined() && s.lastFindingAt().Before(found.lastFindingAt()):
			candidate, found = request, s
		}
	}
	return candidate
}

// expire removes the findings that are older than findingTTL.
func (q *Quarantine) expire(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) >= findingTTL }
	for request, s := range q.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return old(c.at) })
		if len(s.crashes) == 0 && old(s.answered) && old(s.cancelledAt) {
			q.removeSuspect(request)
		}
	}
}

// lastFindingAt returns the time of a suspect's last crash, or of its response if none counts.
func (s *suspect) lastFindingAt() time.Time {
	if len(s.crashes) > 0 {
		return s.crashes[len(s.crashes)-1].at
	}
	return s.answered
}

func (q *Quarantine) removeSuspect(request Fingerprint) {
	delete(q.suspects, request)
	if q.scopes[request.Scope]--; q.scopes[request.Scope] <= 0 {
		delete(q.scopes, request.Scope)
	}
}

// Counts returns the number of suspects, and how many of them are in quarantine.
func (q *Quarantine) Counts(now time.Time) (suspects, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	for _, s := range q.suspects {
		if s.quarantined() && len(q.unexplained(s)) >= crashesToQuarantine {
			quarantined++
		}
	}
	return len(q.suspects), quarantined
}

// Findings returns the findings to report to other nodes, at most limit: all of them if full is
// set, else the fresh ones. If there are more, successive calls return them in turn.
func (q *Quarantine) Findings(now time.Time, full bool, limit int) []Finding {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	var list []Finding
	for request, s := range q.suspects {
		for _, f := range s.findings(now, request) {
			if full || f.Age <= freshFindingAge {
				list = append(list, f)
			}
		}
	}
	if len(list) <= limit {
		return list
	}
	slices.SortFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Request.Scope, b.Request.Scope), cmp.Compare(a.Request.Body, b.Request.Body), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	from := q.nextReport % len(list)
	q.nextReport = from + limit
	return append(list[from:], list[:from]...)[:limit]
}

// findings returns the findings of a suspect that this node reports to others.
func (s *suspect) findings(now time.Time, request Fingerprint) []Finding {
	var list []Finding
	if !s.answered.IsZero() {
		list = append(list, Finding{request, Answered, now.Sub(s.answered)})
	}
	for _, c := range s.crashes {
		if c.local || s.shareable() && !c.stored { // all nodes read the store
			list = append(list, Finding{request, c.endpoint, now.Sub(c.at)})
		}
	}
	return list
}

package attempt

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Finding is what became of one run of a request: the endpoint's process ended during it, or the
// request was answered whole.
type Finding struct {
	Request Fingerprint
	// Endpoint is a hash of the life of the endpoint that ended; Answered for an answer.
	Endpoint uint32
	// Age is how long ago it was.
	Age time.Duration
}

// Answered stands in a finding's Endpoint for a request that was answered whole.
const Answered uint32 = 0

const (
	// crashesToQuarantine is how many lives of endpoints must have ended while a request was open
	// there. One or two happen to requests that had nothing to do with it.
	crashesToQuarantine = 3
	// maxCrashesKept of a request are remembered, the last ones: some may count no more once an answer
	// is heard of that came before the others.
	maxCrashesKept = 2 * crashesToQuarantine
	// findingTTL is how long a finding counts: no longer at one node than at another, so that what
	// they tell each other does not keep it alive.
	findingTTL = time.Hour
	// maxSuspects bounds the memory: about 150 bytes each.
	maxSuspects = 4096
	// freshFindingAge is how old a finding may be to be told between two whole reports: several such
	// reports may be lost.
	freshFindingAge = 500 * time.Millisecond
)

// Quarantine finds requests under which endpoints crash again and again, and says which must not
// be sent to any more. Nodes tell each other their findings; the order in which these come and
// how often does not matter. Safe for concurrent use.
type Quarantine struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// scopes counts the suspects by the scope of their fingerprints.
	scopes map[uint64]int
	// nextReport is where the nextReport whole report begins.
	nextReport int
}

// suspect is what is known of a request during which an endpoint crashed.
type suspect struct {
	// crashes are in the order of their times.
	crashes []crash
	// answered is when it was last answered whole, zero: never; crashes before it do not count.
	answered time.Time
}

type crash struct {
	endpoint uint32
	at       time.Time
	// local is set for what this node has seen itself.
	local bool
}

// NewQuarantine makes one that knows of no crash.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[Fingerprint]*suspect{}, scopes: map[uint64]int{}}
}

func (s *suspect) quarantined() bool { return len(s.crashes) >= crashesToQuarantine }

// shareable tells whether nodes pass on what others have found: requests that only one endpoint
// crashed with are many whenever one crashes.
func (s *suspect) shareable() bool { return len(s.crashes) > 1 || !s.answered.IsZero() }

// HasSuspect tells whether any request of a scope is known; the body need not be read otherwise.
func (q *Quarantine) HasSuspect(scope uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scopes[scope] > 0
}

// Empty tells whether nothing is known of any request.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects) == 0
}

// Remaining tells for how long a request must not be sent; 0: it may be.
func (q *Quarantine) Remaining(now time.Time, request Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[request]
	if s == nil || !s.quarantined() {
		return 0
	}
	decisive := s.crashes[len(s.crashes)-crashesToQuarantine]
	return max(decisive.at.Add(findingTTL).Sub(now), 0)
}

// RecordCrash notes that the life of an endpoint ended while a request was open there. It tells with
// how many lives that has happened, and whether the request is in quarantine because of this one.
func (q *Quarantine) RecordCrash(now time.Time, request Fingerprint, endpoint uint32) (crashes int, quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	quarantined = q.addCrash(now, request, crash{endpoint: endpoint, at: now, local: true})
	if s := q.suspects[request]; s != nil {
		crashes = len(s.crashes)
	}
	return crashes, quarantined
}

// CrashedEndpoints gives the endpoints that crashed under a request, and tells whether this node has seen
// one of them crash.
func (q *Quarantine) CrashedEndpoints(request Fingerprint) (endpoints []uint32, own bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[request]
	if s == nil {
		return nil, false
	}
	for _, c := range s.crashes {
		endpoints = append(endpoints, c.endpoint)
		own = own || c.local
	}
	return endpoints, own
}

// RecordAnswer notes that a request was answered whole: it does not crash every endpoint.
func (q *Quarantine) RecordAnswer(now time.Time, request Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.applyAnswer(request, now)
}

// Merge takes in what another node has found. It gives the requests that are in quarantine because
// of it.
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
			q.applyAnswer(f.Request, at)
		} else if q.addCrash(now, f.Request, crash{endpoint: f.Endpoint, at: at}) {
			quarantined = append(quarantined, f.Request)
		}
	}
	return quarantined
}

// addCrash adds a crash; it tells whether the request is in quarantine because of it.
func (q *Quarantine) addCrash(now time.Time, request Fingerprint, c crash) bool {
	s := q.suspects[request]
	if s == nil {
		s = q.addSuspect(now, request)
	}
	known := slices.ContainsFunc(s.crashes, func(k crash) bool { return k.endpoint == c.endpoint })
	if known || !c.at.After(s.answered) {
		return false
	}
	before := s.quarantined()
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	s.crashes = s.crashes[max(len(s.crashes)-maxCrashesKept, 0):]
	return !before && s.quarantined()
}

// applyAnswer drops the crashes before an applyAnswer. Requests that are not suspects need none.
func (q *Quarantine) applyAnswer(request Fingerprint, at time.Time) {
	s := q.suspects[request]
	if s == nil || !at.After(s.answered) {
		return
	}
	s.answered = at
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
}

// addSuspect makes a suspect, in place of an old one where there are too many.
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

// evictionCandidate is the suspect to forget first: of those that are not in quarantine, or else of all,
// the one whose last finding is the oldest.
func (q *Quarantine) evictionCandidate() Fingerprint {
	var least Fingerprint
	var found *suspect
	for request, s := range q.suspects {
		switch {
		case found == nil, found.quarantined() && !s.quarantined(),
			found.quarantined() == s.quarantined() && s.lastFindingAt().Before(found.lastFindingAt()):
			least, found = request, s
		}
	}
	return least
}

// expire forgets findings that are too old.
func (q *Quarantine) expire(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) >= findingTTL }
	for request, s := range q.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return old(c.at) })
		if len(s.crashes) == 0 && old(s.answered) {
			q.removeSuspect(request)
		}
	}
}

// lastFindingAt is when a suspect's last finding was made.
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

// Counts tells how many requests are suspects, and how many of these in quarantine.
func (q *Quarantine) Counts(now time.Time) (suspects, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	for _, s := range q.suspects {
		if s.quarantined() {
			quarantined++
		}
	}
	return len(q.suspects), quarantined
}

// Findings gives what to tell other nodes, at most so many findings: what is fresh, or with whole
// all of it, in turns where it is more.
func (q *Quarantine) Findings(now time.Time, whole bool, most int) []Finding {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	var list []Finding
	for request, s := range q.suspects {
		for _, f := range s.findings(now, request) {
			if whole || f.Age <= freshFindingAge {
				list = append(list, f)
			}
		}
	}
	if len(list) <= most {
		return list
	}
	slices.SortFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Request.Scope, b.Request.Scope), cmp.Compare(a.Request.Body, b.Request.Body), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	from := q.nextReport % len(list)
	q.nextReport = from + most
	return append(list[from:], list[:from]...)[:most]
}

// findings lists what a node tells of a suspect.
func (s *suspect) findings(now time.Time, request Fingerprint) []Finding {
	var list []Finding
	if !s.answered.IsZero() {
		list = append(list, Finding{request, Answered, now.Sub(s.answered)})
	}
	for _, c := range s.crashes {
		if c.local || s.shareable() {
			list = append(list, Finding{request, c.endpoint, now.Sub(c.at)})
		}
	}
	return list
}

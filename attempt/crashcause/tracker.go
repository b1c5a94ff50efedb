package crashcause

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"aspenyard.example/attempt/verdict"
)

// Tracker holds the findings of this node and of others, and what follows from them. It is safe for concurrent
// use.
type Tracker struct {
	mu       sync.Mutex
	suspects map[Part]*suspect
	// answered holds when parts that are not suspects were last answered, the latest parts.
	answered *simplelru.LRU[Part, time.Time]
	// blamed are the parts that explain the crashes, and explained the crashes, by the endpoint's hash, of
	// requests that had one of these parts.
	blamed    map[Part]bool
	explained map[uint32]bool
	expiredAt time.Time
	// requests holds the parts of the last requests to each service.
	requests map[string][][]Part
	// nodes is the number of nodes that exchange findings.
	nodes int
	// nextReport is the index at which the next report begins if not all findings fit into one.
	nextReport int
}

// suspect is a part that was in a request in flight when an endpoint crashed.
type suspect struct {
	part Part
	// crashes are sorted by time.
	crashes []crash
	// answered is when the part was last answered completely, or zero. Crashes before it do not count.
	answered time.Time
	// firstCrash is the time of the first crash since then, which may not be kept any more.
	firstCrash time.Time
	// position is the smallest index that the part has had in a prompt. A part further back is shared by fewer
	// requests.
	position uint8
	// cancelled identifies the crashes that an answer, here or elsewhere, has cancelled, the last of them at cancelledAt.
	cancelled   []uint32
	cancelledAt time.Time
	// blamedSince is the time of the crash by which the part was blamed; earlyTried is set once this node has tried
	// it since.
	blamedSince time.Time
	earlyTried  bool
	// confirmed is set once a trial has ended in a crash. claims is the number of claimed trials on all nodes, the last
	// of which this node learned of at claimedAt.
	confirmed bool
	claims    int
	claimedAt time.Time
	// grantedUntil is until when this node may send the trial that it has claimed; grantEnds is that time also while the
	// trial is under way.
	grantedUntil, grantEnds time.Time
	// announceUntil is until when all reports have what is known of the part.
	announceUntil time.Time
}

// crash is a crash of one incarnation of an endpoint, given by its hash.
type crash struct {
	endpoint uint32
	// request is a hash of a request with the part that was in flight there.
	request uint32
	at      time.Time
	// local is set if this node observed the crash itself, stored if only the store reports it.
	local, stored bool
}

// Changes are the parts that are blamed, or no longer blamed, since the last call.
type Changes struct{ Blamed, Cleared []Part }

// NewTracker returns a tracker without findings.
func NewTracker() *Tracker {
	answered, err := simplelru.NewLRU[Part, time.Time](maxAnswered, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Tracker{suspects: map[Part]*suspect{}, answered: answered, blamed: map[Part]bool{}, explained: map[uint32]bool{}, requests: map[string][][]Part{}, nodes: 1}
}

// Blamed returns the first of a request's parts that is blamed, and for how long it remains so without further
// findings; 0 if none is.
func (t *Tracker) Blamed(now time.Time, parts []Part) (Part, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.blamed) == 0 {
		return 0, 0
	}
	t.expire(now)
	for _, part := range parts {
		if t.blamed[part] {
			s := t.suspects[part]
			needed, _ := s.threshold()
			return part, max(s.crashes[len(s.crashes)-needed].at.Add(findingTTL).Sub(now), 1)
		}
	}
	return 0, 0
}

// Explained returns whether a crash of an endpoint's incarnation, given by its hash, is explained by a part that
// is blamed. Such a crash says nothing about other requests that were in flight.
func (t *Tracker) Explained(endpoint uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.explained[endpoint]
}

// RecordCrash records that an endpoint crashed while a request with the given parts, in the order of its prompt,
// was in flight there; endpoint is the hash of its incarnation, request one that all copies of the request share.
func (t *Tracker) RecordCrash(now time.Time, parts []Part, endpoint, request uint32) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := false
	for position, part := range parts[:min(len(parts), maxPartsOfARequest)] {
		added = t.addCrash(now, part, uint8(position), crash{endpoint: endpoint, request: request, at: now, local: true}) || added
	}
	if !added {
		return Changes{}
	}
	return t.update(now)
}

// RecordAnswer records that a request with the given parts was answered completely. Crashes before do not count
// any more for them, since they do not crash every endpoint.
func (t *Tracker) RecordAnswer(now time.Time, parts []Part) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, part := range parts {
		changed = t.addAnswer(now, part, now, true) || changed
	}
	if !changed {
		return Changes{}
	}
	return t.update(now)
}

// RecordRequest records a request to a service, with the parts of its prompt.
func (t *Tracker) RecordRequest(service string, parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := append(t.requests[service], parts)
	t.requests[service] = last[max(len(last)-requestsCompared, 0):]
}

// isInAll returns whether all of a service's last requests have a part. The part is that of one service.
func (t *Tracker) isInAll(part Part) bool {
	for _, last := range t.requests {
		if len(last) == requestsCompared && !slices.ContainsFunc(last, func(parts []Part) bool { return !slices.Contains(parts, part) }) {
			return true
		}
	}
	return false
}

// Merge adds the findings of another node, in any order and however often they are reported. Findings with an
// impossible age or position are ignored.
func (t *Tracker) Merge(now time.Time, findings []Finding) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, findings)
}

func (t *Tracker) merge(now time.Time, findings []Finding) Changes {
	changed := false
	for _, f := range findings {
		at := now.Add(-f.Age)
		switch {
		case f.Age < 0 || f.Age >= findingTTL || f.Position >= maxPartsOfARequest:
		case f.Endpoint == Answered:
			changed = t.addAnswer(now, f.Part, at, false) || changed
		default:
			changed = t.addCrash(now, f.Part, f.Position, crash{endpoint: f.Endpoint, request: f.Request, at: at}) || changed
		}
	}
	if !changed {
		return Changes{}
	}
	return t.update(now)
}

// addCrash adds a crash and returns whether that may change which parts are blamed. A crash of the same
// incarnation counts once, and one before the last answer not at all.
func (t *Tracker) addCrash(now time.Time, part Part, position uint8, c crash) bool {
	s := t.suspects[part]
	if s == nil {
		s = t.addSuspect(now, part, position)
	}
	s.position = min(s.position, position)
	known := slices.IndexFunc(s.crashes, func(k crash) bool { return k.endpoint == c.endpoint })
	if known >= 0 { // nodes that observed it with different requests agree on one
		k := &s.crashes[known]
		k.local = k.local || c.local
		k.stored = k.stored && c.stored
		if c.request >= k.request {
			return false
		}
		k.request = c.request
		return s.mayBeBlamed()
	}
	if !c.at.After(s.answered) || slices.Contains(s.cancelled, c.endpoint) {
		return false
	}
	if len(s.crashes) == 0 || c.at.Before(s.firstCrash) {
		s.firstCrash = c.at
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	s.crashes = s.crashes[max(len(s.crashes)-maxCrashesKept, 0):]
	return s.mayBeBlamed()
}

// mayBeBlamed returns whether a suspect has enough crashes to be blamed if nothing else explains them.
func (s *suspect) mayBeBlamed() bool { return len(s.crashes) >= crashesToBlame }

// addAnswer adds an answer and returns whether that may change which parts are blamed. local is set if this node observed
// it itself.
func (t *Tracker) addAnswer(now time.Time, part Part, at time.Time, local bool) bool {
	s := t.suspects[part]
	if s == nil {
		if last, known := t.answered.Get(part); !known || at.After(last) {
			t.answered.Add(part, at)
		}
		return false
	}
	if !at.After(s.answered) {
		return false
	}
	mayChange := s.mayBeBlamed()
	if s.answered.IsZero() {
		s.announceUntil = now.Add(announceFor)
	}
	s.answered = at
	s.cancel(now, local, func(c crash) bool { return !c.at.After(at) })
	return mayChange
}

// cancel removes crashes that count no longer. They are withdrawn at all nodes if that is certain: the times of stored
// crashes follow from clocks of other nodes, so that only an answer which this node itself observed later withdraws them.
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
	if len(s.crashes) > 0 {
		s.firstCrash = s.crashes[0].at
	}
}

// addSuspect adds a suspect, and evicts others if there are too many.
func (t *Tracker) addSuspect(now time.Time, part Part, position uint8) *suspect {
	t.expire(now)
	if len(t.suspects) >= maxSuspects {
		t.evict()
	}
	s := &suspect{part: part, position: position}
	if at, known := t.answered.Get(part); known && now.Sub(at) < findingTTL {
		s.answered, s.announceUntil = at, now.Add(announceFor)
		t.answered.Remove(part)
	}
	t.suspects[part] = s
	return s
}

// evict removes the suspects that matter least: not blamed, with the fewest crashes, and of these those whose last
// findings are the oldest.
func (t *Tracker) evict() {
	list := slices.SortedFunc(maps.Values(t.suspects), func(a, b *suspect) int {
		switch blamed := t.blamed[a.part]; {
		case blamed != t.blamed[b.part] && blamed:
			return 1
		case blamed != t.blamed[b.part]:
			return -1
		}
		return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), a.lastFindingAt().Compare(b.lastFindingAt()))
	})
	for _, s := range list[:evictedAtOnce] {
		delete(t.suspects, s.part)
		delete(t.blamed, s.part)
	}
}

// expire removes the findings that are older than findingTTL.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt = now
	old := func(at time.Time) bool { return now.Sub(at) >= findingTTL }
	removed := false
	for part, s := range t.suspects {
		before := len(s.crashes)
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return old(c.at) })
		removed = removed || len(s.crashes) < before
		if len(s.crashes) == 0 && old(s.answered) && old(s.cancelledAt) {
			delete(t.suspects, part)
		}
	}
	if removed {
		t.explain()
	}
}

// lastFindingAt returns the time of a suspect's last crash, or of its answer if none counts.
func (s *suspect) lastFindingAt() time.Time {
	if len(s.crashes) > 0 {
		return s.crashes[len(s.crashes)-1].at
	}
	return s.answered
}

// update determines anew which parts are blamed, and returns what has changed.
func (t *Tracker) update(now time.Time) Changes {
	before := maps.Clone(t.blamed)
	t.explain()
	var changes Changes
	for part := range t.blamed {
		if !before[part] {
			changes.Blamed = append(changes.Blamed, part)
		}
	}
	for part := range before {
		if !t.blamed[part] {
			changes.Cleared = append(changes.Cleared, part)
		}
	}
	slices.Sort(changes.Blamed)
	slices.Sort(changes.Cleared)
	for _, part := range changes.Blamed {
		s := t.suspects[part]
		s.blamedSince = s.lastFindingAt()
		s.earlyTried = s.isStored() // others may have tried the part by now
	}
	for _, part := range changes.Cleared {
		if s := t.suspects[part]; s != nil {
			s.confirmed, s.claims, s.grantEnds, s.grantedUntil = false, 0, time.Time{}, time.Time{}
		}
	}
	for _, part := range slices.Concat(changes.Blamed, changes.Cleared) {
		if s := t.suspects[part]; s != nil {
			s.announceUntil = now.Add(announceFor)
		}
	}
	return changes
}

// Counts returns the number of suspects, and how many parts are blamed.
func (t *Tracker) Counts(now time.Time) (suspects, blamed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.suspects), len(t.blamed)
}

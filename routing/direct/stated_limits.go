package direct

import (
	"math"
	"sync"
	"time"

	"aspenyard.example/admission"
)

// EndpointLimits tracks the limits of requests per second that endpoints state in their
// responses, and this entry's share of each. A limit covers the requests of all entries
// together and holds for as long as the endpoint states it. Entries report to each other what
// they know. EndpointLimits is safe for concurrent use.
type EndpointLimits struct {
	mu sync.Mutex
	entryList
	limits map[EndpointHash]*knownLimit
	// holders returns how many entries share a limit.
	holders func(perSecond float64, entries int) int
	// nextReport is the position at which the next full report starts.
	nextReport int
}

// knownLimit is what is known of one endpoint's limit: the newest response, as far as the order
// of responses is known.
type knownLimit struct {
	statement
	// ownAt is when this entry last heard from the endpoint itself, changedAt when the limit
	// last changed here.
	ownAt, changedAt time.Time
	share            admission.RateShare
	// rank is this entry's rank among the holders, as of epoch.
	rank, epoch int
}

// statement is a response that stated a limit, or no limit. The endpoint decided on it between
// sentAt, when the request was sent, and heardAt, when the response arrived.
type statement struct {
	limited         bool
	perSecond       float64
	sentAt, heardAt time.Time
}

// stricter reports whether s allows fewer requests than other.
func (s statement) stricter(other statement) bool {
	return s.limited && (!other.limited || s.perSecond < other.perSecond)
}

func (s statement) sameLimit(other statement) bool {
	return s.limited == other.limited && s.perSecond == other.perSecond
}

const (
	// minLimitRate is the rate, in requests per second, at which an endpoint is sent requests
	// whose limit is lower. Without any, nobody would learn that its limit has ended.
	minLimitRate = 0.1
	// maxLimitRate is the highest limit that is distinguished, in requests per second.
	maxLimitRate = 1e9
	// limitConfirmInterval is the age of the last response after which a limited endpoint is
	// not put behind others any more, so that a request asks whether its limit has ended.
	limitConfirmInterval = 5 * time.Second
	// limitReportTTL is how long the end of a limit is remembered, and the age up to which
	// other entries' reports are used. An older report might revive a limit that has ended.
	limitReportTTL = time.Minute
	// changeReportTime is how long a change is part of every heartbeat.
	changeReportTime = 500 * time.Millisecond
	// ownReportTime is how long an entry reports what it heard from an endpoint itself.
	ownReportTime = 3 * time.Second
	// extraReporters is the number of entries beyond the holders that report a limit.
	extraReporters = 8
	// unlistedEntryTTL is how long an entry counts whose registration has ended. Entries that
	// are alive have registered again by then.
	unlistedEntryTTL = 10 * time.Second
	// repeatedReportMargin is how much later a statement may seem to be after it was passed on
	// among entries.
	repeatedReportMargin = 250 * time.Millisecond
)

// NewEndpointLimits returns a tracker that knows no limits and no other entries.
func NewEndpointLimits() *EndpointLimits {
	return &EndpointLimits{entryList: newEntryList(), limits: map[EndpointHash]*knownLimit{}, holders: admission.Holders}
}

// SetHolders replaces the rule for how many entries share a limit; for experiments.
func (l *EndpointLimits) SetHolders(holders func(perSecond float64, entries int) int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders = holders
}

// SetEntries sets this entry's name and the names of all registered entries. The registrations
// are the same for all entries, whoever hears of whom, so that all agree on who shares a limit.
func (l *EndpointLimits) SetEntries(now time.Time, self string, entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(now, self, entries)
}

// LimitChange is a change of what is known of an endpoint's limit.
type LimitChange struct {
	Endpoint EndpointHash
	// Limited tells whether the endpoint has a limit now, PerSecond what it is or, if it has
	// ended, what it was.
	Limited   bool
	PerSecond float64
}

// Observe records the limit that a response to this entry stated; limited is false if it stated
// none. sentAt is when the request was sent. It returns whether that changed the limit.
func (l *EndpointLimits) Observe(now time.Time, endpoint EndpointHash, sentAt time.Time, limited bool, perSecond float64) (change LimitChange, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits[endpoint] == nil && !limited {
		return LimitChange{}, false
	}
	change, changed = l.apply(now, endpoint, statement{limited, min(perSecond, maxLimitRate), sentAt, now})
	l.limits[endpoint].ownAt = now
	return change, changed
}

// apply applies a statement. Responses may overtake each other: where two were under way at the
// same time, nobody knows which is newer, and the stricter one counts.
func (l *EndpointLimits) apply(now time.Time, endpoint EndpointHash, s statement) (change LimitChange, changed bool) {
	known := l.limits[endpoint]
	if known == nil {
		known = &knownLimit{epoch: -1}
		l.limits[endpoint] = known
	}
	switch {
	case known.sameLimit(s):
		if s.heardAt.Sub(known.heardAt) > repeatedReportMargin {
			known.sentAt, known.heardAt = s.sentAt, s.heardAt
		}
		return LimitChange{}, false
	case !s.heardAt.After(known.sentAt):
		return LimitChange{}, false // older
	case s.sentAt.Before(known.heardAt) && !s.stricter(known.statement):
		return LimitChange{}, false // perhaps older
	}
	change = LimitChange{endpoint, s.limited, s.perSecond}
	if !s.limited {
		change.PerSecond = known.perSecond
		s.perSecond = 0
	}
	known.statement, known.changedAt, known.epoch = s, now, -1
	l.refresh(now, endpoint, known)
	return change, true
}

// refresh updates this entry's share after a change of the limit or of the entries.
func (l *EndpointLimits) refresh(now time.Time, endpoint EndpointHash, k *knownLimit) {
	if k.epoch == l.epoch {
		return
	}
	k.epoch = l.epoch
	k.rank = admission.HolderRank(uint64(endpoint), l.entries, l.self)
	count, rate := l.holders(k.perSecond, len(l.entries)+1), max(k.perSecond, minLimitRate)
	switch {
	case !k.limited || k.rank >= count:
		k.share = admission.RateShare{}
	case k.share.Rate() == 0:
		k.share = admission.NewRateShare(now, rate, k.rank, count)
	default:
		k.share.SetRate(now, rate/float64(count))
	}
}

// limited returns an endpoint's limit, with this entry's current share; nil if it has none.
func (l *EndpointLimits) limited(now time.Time, endpoint EndpointHash) *knownLimit {
	k := l.limits[endpoint]
	if k == nil || !k.limited {
		return nil
	}
	l.refresh(now, endpoint, k)
	return k
}

// Limited reports whether an endpoint states a limit.
func (l *EndpointLimits) Limited(now time.Time, endpoint EndpointHash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limited(now, endpoint) != nil
}

// Take uses this entry's allowance for one request to an endpoint. It returns false if the
// request must not be sent there now. An endpoint without a limit takes any number.
func (l *EndpointLimits) Take(now time.Time, endpoint EndpointHash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.limited(now, endpoint)
	return k == nil || k.share.Take(now)
}

// GiveBack returns the allowance for a request that has certainly not reached the endpoint.
func (l *EndpointLimits) GiveBack(now time.Time, endpoint EndpointHash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.limited(now, endpoint); k != nil {
		k.share.GiveBack(now)
	}
}

// limitStatus is an endpoint's limit as placing sees it.
type limitStatus struct {
	limited bool
	// available is set if this entry may send a request now; it is always set without a limit.
	available bool
	// unconfirmed is set if nobody has heard from the endpoint for limitConfirmInterval.
	unconfirmed bool
	// perSecond is the limit, sharePerSecond this entry's part of it.
	perSecond, sharePerSecond float64
}

// tight reports whether the limit is lower than what the endpoint's slots would take in a second.
func (s limitStatus) tight(slots int) bool { return s.limited && s.perSecond < float64(slots) }

func (l *EndpointLimits) status(now time.Time, endpoint EndpointHash) limitStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.limited(now, endpoint)
	if k == nil {
		return limitStatus{available: true}
	}
	return limitStatus{limited: true, available: k.share.Available(now), unconfirmed: now.Sub(k.heardAt) > limitConfirmInterval, perSecond: k.perSecond, sharePerSecond: k.share.Rate()}
}

// Empty reports whether nothing is known of any limit.
func (l *EndpointLimits) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits) == 0
}

// untilAllowed returns the time until this entry may send a request to one of the endpoints.
// Where it has no share of any, it returns the mean time between two requests that the endpoints
// take from all entries. ok is false if none of the endpoints has a limit.
func (l *EndpointLimits) untilAllowed(now time.Time, endpoints []EndpointHash) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, soonest := 0.0, time.Duration(math.MaxInt64)
	for _, endpoint := range endpoints {
		k := l.limited(now, endpoint)
		if k == nil {
			continue
		}
		total += max(k.perSecond, minLimitRate)
		if until, holds := k.share.UntilAvailable(now); holds {
			soonest = min(soonest, until)
		}
	}
	if total == 0 {
		return 0, false
	}
	if soonest == math.MaxInt64 {
		return time.Duration(float64(time.Second) / total), true
	}
	return soonest, true
}

// LimitTotals sums up the limits that are known.
type LimitTotals struct {
	// Endpoints is the number of endpoints with a limit, PerSecond the sum of the limits and
	// SharePerSecond that of this entry's shares. OldestAge is the age of the limit that has
	// been unchanged for longest.
	Endpoints                 int
	PerSecond, SharePerSecond float64
	OldestAge                 time.Duration
}

// Totals sums up the limits that are known.
func (l *EndpointLimits) Totals(now time.Time) LimitTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t LimitTotals
	for endpoint, k := range l.limits {
		if !k.limited {
			continue
		}
		l.refresh(now, endpoint, k)
		t.Endpoints++
		t.PerSecond += k.perSecond
		t.SharePerSecond += k.share.Rate()
		t.OldestAge = max(t.OldestAge, now.Sub(k.changedAt))
	}
	return t
}

// Prune removes endpoints that are not known any more, and limits that ended longer than
// limitReportTTL ago. Endpoints that another entry reported a moment ago may not be listed here
// yet and are kept.
func (l *EndpointLimits) Prune(now time.Time, known func(EndpointHash) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint, k := range l.limits {
		ended := !k.limited && now.Sub(k.heardAt) > limitReportTTL
		if ended || !known(endpoint) && now.Sub(k.heardAt) > limitConfirmInterval {
			delete(l.limits, endpoint)
		}
	}
}

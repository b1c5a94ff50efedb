package admission

import (
	"slices"
	"time"
)

// What an endpoint tolerates in any second is divided among entries as requests in a sliding window.
// A RateShare does not serve for that: its bucket and its rate add up within a second, so that a
// second has nearly twice what the rate allows.

// windowLength is the window in which requests are counted to bound those that arrive in any
// second. It is longer than a second because requests travel for different times.
const windowLength = 1050 * time.Millisecond

// Share is one entry's part: at most Slots requests in any Window. Where Open is set, none is sent
// before From, and later only within Open from the start of each Window counted from there: an entry
// that could have sent for long would otherwise send at the same moment as others.
type Share struct {
	Slots        int
	Window, Open time.Duration
	From         time.Time
}

// untilOpen returns the time from at until the share is open.
func (s *Share) untilOpen(at time.Time) time.Duration {
	since := at.Sub(s.From)
	switch {
	case s.Open == 0:
		return 0
	case since < 0:
		return -since
	case since%s.Window < s.Open:
		return 0
	}
	return s.Window - since%s.Window
}

// DivideBound returns the part of the entry with the given rank among count entries, which know of
// each other, of a bound of perSecond requests in any second. The parts are dealt in turns by rank.
// A part never grows when an entry is added, so that entries whose lists differ keep the bound as long
// as each list has all entries that send.
func DivideBound(perSecond float64, rank, count int) Share {
	if perSecond <= 0 || rank >= count {
		return Share{}
	}
	if perSecond < 1 {
		return Share{Slots: max(1-rank, 0), Window: scaleWindow(1 / perSecond)}
	}
	return Share{Slots: max((int(perSecond)-rank+count-1)/count, 0), Window: windowLength}
}

// openShare is the share of a window in which entries that do not know of each other may send.
const openShare = 0.125

// SpreadBound returns the part of each of count entries that do not know of each other, from a time on.
// Parts of less than a request a second become a request in a longer window. phase, in [0, 1), says when
// in the window, so that the entries do not all send at one moment.
func SpreadBound(perSecond float64, phase float64, count int, from time.Time) Share {
	if perSecond <= 0 {
		return Share{}
	}
	part := perSecond / float64(count)
	window, slots := scaleWindow(1/part), 1
	if part >= 1 {
		window, slots = windowLength, int(part)
	}
	share := Share{Slots: slots, Window: window, Open: window, From: from.Add(windowLength + time.Duration(phase*float64(window)))}
	if window > windowLength {
		share.Open = time.Duration(openShare * float64(window))
	}
	return share
}

// maxWindow bounds the window of the smallest shares.
const maxWindow = time.Hour

func scaleWindow(by float64) time.Duration {
	return time.Duration(min(float64(windowLength)*by, float64(maxWindow)))
}

// SentLog holds when requests were sent. The zero value is empty. It is not safe for concurrent use.
type SentLog struct {
	sent []time.Time
	// pending is the number of requests that are about to be sent.
	pending int
}

// maxLogged bounds the requests that are remembered; more than that exceed any share.
const maxLogged = 4096

// recent returns the requests in the window that ends now, the oldest first.
func (l *SentLog) recent(now time.Time, window time.Duration) []time.Time {
	first, _ := slices.BinarySearchFunc(l.sent, now.Add(-window), func(at, since time.Time) int {
		if at.After(since) {
			return 1
		}
		return -1
	})
	return l.sent[first:]
}

// Available reports whether a share allows a request now.
func (l *SentLog) Available(now time.Time, s Share) bool {
	return s.untilOpen(now) == 0 && l.pending+len(l.recent(now, s.Window)) < s.Slots
}

// Idle reports whether no request was sent in the window that ends now.
func (l *SentLog) Idle(now time.Time) bool {
	return l.pending == 0 && len(l.recent(now, windowLength)) == 0
}

// Until returns the time until a share allows a request; false if it will allow none.
func (l *SentLog) Until(now time.Time, s Share) (time.Duration, bool) {
	if s.Slots <= 0 {
		return 0, false
	}
	wait := time.Duration(0)
	recent := l.recent(now, s.Window)
	if excess := l.pending + len(recent) - s.Slots; excess >= 0 {
		free := s.Window // of a request that is about to be sent
		if excess < len(recent) {
			free = recent[excess].Add(s.Window).Sub(now)
		}
		wait = max(wait, free)
	}
	return wait + s.untilOpen(now.Add(wait)), true
}

// Begin counts a request that is about to be sent. Sent or Drop must follow.
func (l *SentLog) Begin() { l.pending++ }

// Sent records that a request of Begin was sent at the given time, and returns the time that it
// recorded. Requests before keep are forgotten.
func (l *SentLog) Sent(at, keep time.Time) time.Time {
	l.pending--
	if n := len(l.sent); n > 0 && at.Before(l.sent[n-1]) {
		at = l.sent[n-1] // two goroutines may record in another order than they read the clock
	}
	l.sent = slices.DeleteFunc(append(l.sent, at), func(t time.Time) bool { return t.Before(keep) })
	l.sent = l.sent[max(len(l.sent)-maxLogged, 0):]
	return at
}

// Drop ends the count of a request of Begin that was not sent.
func (l *SentLog) Drop() { l.pending-- }

// Forget removes a request that Sent recorded at the given time and that has certainly not arrived.
func (l *SentLog) Forget(at time.Time) {
	if i := slices.IndexFunc(l.sent, func(t time.Time) bool { return t.Equal(at) }); i >= 0 {
		l.sent = slices.Delete(l.sent, i, i+1)
	}
}

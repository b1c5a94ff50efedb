package crashcause

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Now()

// cause is the part that crashes endpoints, first the first part of its prompts and of sound ones, other a part
// that is in flight beside it.
const (
	first Part = iota + 1
	cause
	other
)

// at returns the given number of moments after the start.
func at(moment int) time.Time { return start.Add(time.Duration(moment) * momentLength) }

// crashesUnder records crashes of the endpoints from to to, one a moment, each under another request.
func crashesUnder(t *Tracker, from, to int, parts ...Part) {
	for n := from; n <= to; n++ {
		t.RecordCrash(at(n), parts, uint32(n), uint32(n))
	}
}

func (t *Tracker) blames(now time.Time, parts ...Part) bool {
	_, remaining := t.Blamed(now, parts)
	return remaining > 0
}

// Guards against a part that is sent on after crashesToBlame crashes, and against blaming parts of sound prompts
// that were in the same requests.
func TestThePartThatAllCrashesHaveInCommonIsBlamed(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := 1; n <= crashesToBlame; n++ {
		is.True(!tracker.blames(at(n), cause))
		tracker.RecordCrash(at(n), []Part{first, cause, 100 + Part(n)}, uint32(n), uint32(n))
	}
	is.True(tracker.blames(at(crashesToBlame), first, cause))
	is.True(!tracker.blames(at(crashesToBlame), first, other))
	is.True(tracker.Explained(1) && !tracker.Explained(crashesToBlame+1))
	_, remaining := tracker.Blamed(at(crashesToBlame), []Part{cause})
	is.Equal(remaining, findingTTL-(crashesToBlame-1)*momentLength) // until its first crash does not count
}

// Guards against blaming a part that was in flight beside the cause, at this node or another.
func TestAPartBesideTheCauseIsNotBlamed(t *testing.T) {
	is := is.New(t)
	here, there := NewTracker(), NewTracker()
	crashesUnder(there, 1, 6, first, other)
	is.True(there.blames(at(6), other)) // the only explanation that it knows
	crashesUnder(here, 1, 8, first, cause)
	changes := there.Merge(at(8), here.Findings(at(8), true, 100))
	is.Equal(changes.Blamed, []Part{cause})
	is.Equal(changes.Cleared, []Part{other})
	is.True(there.blames(at(8), cause) && !there.blames(at(8), first, other))
}

// Guards against blaming a part that many requests share, at nodes that have not seen it answered either.
func TestAnAnsweredPartIsNotBlamedBesideTheCause(t *testing.T) {
	is := is.New(t)
	here, there := NewTracker(), NewTracker()
	here.RecordAnswer(at(0), []Part{first})
	crashesUnder(there, 1, 3, first, cause)
	crashesUnder(there, 4, 4, cause)
	for n := 5; n <= 9; n++ {
		there.RecordCrash(at(n), []Part{first, 100 + Part(n)}, uint32(n), uint32(n))
	}
	is.True(there.blames(at(9), first))
	here.Merge(at(9), there.Findings(at(9), true, 100))
	there.Merge(at(9), here.Findings(at(9), false, 100))
	for _, tracker := range []*Tracker{here, there} {
		is.True(tracker.blames(at(9), cause))
		is.True(!tracker.blames(at(9), first))
	}
}

// Guards against blaming a part because many endpoints ended at the same moment.
func TestTheLossOfARackBlamesNoPart(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := range 40 {
		tracker.RecordCrash(start.Add(time.Duration(n)*momentLength/50), []Part{other}, uint32(n+1), uint32(n+1))
	}
	is.True(!tracker.blames(at(1), other))
}

// Guards against blaming a part for a single request whose copies crash endpoints.
func TestCopiesOfARequestDoNotBlameItsParts(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := 1; n <= 3*crashesToBlame; n++ {
		tracker.RecordCrash(at(n), []Part{other}, uint32(n), 7)
	}
	is.True(!tracker.blames(at(3*crashesToBlame), other))
	crashesUnder(tracker, 20, 20+otherCrashesToBlame-1, other)
	is.True(tracker.blames(at(30), other))
}

// Guards against a part that is never blamed because it was sound before.
func TestAnAnsweredPartIsBlamedOnceItCrashesManyEndpoints(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.RecordAnswer(at(0), []Part{cause})
	span := int(spanToBlameAnswered / momentLength)
	for n := 1; n <= span+1; n += 4 {
		is.True(!tracker.blames(at(n), cause)) // other parts may crash as many
		crashesUnder(tracker, n, n, cause)
	}
	crashesUnder(tracker, span+2, span+2, cause)
	is.True(tracker.blames(at(span+2), cause))
	changes := tracker.RecordAnswer(at(span+3), []Part{cause}) // a request that was sent before
	is.Equal(changes.Cleared, []Part{cause})
	is.True(!tracker.blames(at(span+3), cause))
}

// Guards against a second part that is not found because the first explains some of its crashes.
func TestSeveralPartsThatCrashEndpointsAreAllBlamed(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := 1; n <= 30; n++ {
		parts := [][]Part{{first, cause}, {first, other}, {first, 9}}[n%3]
		tracker.RecordCrash(at(n), parts, uint32(n), uint32(n))
		if n%5 == 0 { // it also waited where another part crashed the endpoint
			tracker.RecordCrash(at(n), []Part{first, 9}, uint32(n), uint32(n))
		}
		tracker.RecordAnswer(at(n).Add(1), []Part{first})
	}
	for _, part := range []Part{cause, other, 9} {
		is.True(tracker.blames(at(30), part))
	}
	is.True(!tracker.blames(at(30), first))
}

// Guards against nodes that keep a finding alive by reporting it to each other.
func TestFindingsExpireOnAllNodesTogether(t *testing.T) {
	is := is.New(t)
	a, b := NewTracker(), NewTracker()
	crashesUnder(a, 1, crashesToBlame, cause)
	for now := at(crashesToBlame); now.Sub(start) < 2*findingTTL; now = now.Add(time.Minute) {
		b.Merge(now, a.Findings(now, true, 100))
		a.Merge(now, b.Findings(now, true, 100))
		is.Equal(a.blames(now, cause), now.Sub(at(1)) < findingTTL)
		is.Equal(b.blames(now, cause), a.blames(now, cause))
	}
	suspects, blamed := b.Counts(at(1).Add(3 * findingTTL))
	is.Equal([]int{suspects, blamed}, []int{0, 0})
}

// Guards against memory, and reports, that grow with the number of different parts in flight at crashes, and
// against a flood of them that displaces the cause or keeps it from being reported.
func TestAFloodOfPartsTakesBoundedMemoryAndHidesNoCause(t *testing.T) {
	is := is.New(t)
	const limit = 32
	tracker, peer := NewTracker(), NewTracker()
	tracker.RecordAnswer(start, []Part{first})
	crashesUnder(tracker, 1, 2, cause)
	for n := range 3 * maxSuspects {
		part := Part(1000 + n)
		tracker.RecordCrash(at(3).Add(time.Duration(n)), []Part{first, part}, uint32(1000+n), uint32(n))
		tracker.RecordAnswer(at(3).Add(time.Duration(n)), []Part{Part(1_000_000 + n)})
	}
	crashesUnder(tracker, 4, 5, cause)
	suspects, blamed := tracker.Counts(at(5))
	is.True(suspects <= maxSuspects)
	is.Equal(blamed, 1)
	is.True(tracker.answered.Len() <= maxAnswered)
	is.True(tracker.blames(at(5), cause))
	for range 2 {
		findings := tracker.Findings(at(5), true, limit)
		is.Equal(len(findings), limit)
		peer.Merge(at(5), findings)
	}
	is.True(peer.blames(at(5), cause))
}

// Guards against a position that a peer reports and no request can have, which would decide on the order of blame.
func TestImpossibleFindingsAreIgnored(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := range uint32(2 * crashesToBlame) {
		tracker.Merge(at(int(n)), []Finding{{Part: cause, Endpoint: n + 1, Request: n, Position: maxPartsOfARequest}, {Part: cause, Endpoint: n + 1, Request: n, Age: -1}, {Part: cause, Endpoint: n + 1, Request: n, Age: findingTTL}})
	}
	suspects, blamed := tracker.Counts(at(9))
	is.Equal([]int{suspects, blamed}, []int{0, 0})
}

// Guards against parts of two services that stand for one another.
func TestAPartBelongsToAService(t *testing.T) {
	is := is.New(t)
	ids := map[Part]bool{}
	for _, names := range [][2]string{{"a", "5c"}, {"b", "5c"}, {"a", "5d"}, {"a5", "c"}} {
		ids[PartOf(names[0], names[1])] = true
	}
	is.Equal(len(ids), 4)
	is.Equal(PartOf("a", "5c"), PartOf("a", "5c"))
}

// Guards against the cost of the decision growing with the suspects that have one crash each.
func BenchmarkRecordCrashBesideManySuspects(b *testing.B) {
	tracker := NewTracker()
	for n := range maxSuspects {
		tracker.RecordCrash(at(n), []Part{Part(1000 + n)}, uint32(n+1), uint32(n))
	}
	n := 0
	for b.Loop() {
		n++
		tracker.RecordCrash(at(maxSuspects), []Part{Part(1_000_000 + n)}, uint32(n), uint32(n))
	}
}

// Guards against a part of all prompts that stays blamed because nothing with it is sent, and against trials that
// send a part that is the cause to many endpoints.
func TestABlamedPartIsTriedByFewRequests(t *testing.T) {
	is := is.New(t)
	const nodes = 8
	tried := func(t *Tracker, from, to time.Duration, parts ...Part) (n int) {
		for since := from; since < to; since += earlyTrialFrom / 4 {
			if t.TakeTrial(at(crashesToBlame).Add(since), parts, 0) {
				n++
			}
		}
		return n
	}
	var trackers []*Tracker
	early := 0
	for range nodes {
		tracker := NewTracker()
		tracker.SetNodes(nodes)
		trackers = append(trackers, tracker)
		crashesUnder(tracker, 1, crashesToBlame, first, cause)
		is.Equal(tried(tracker, 0, earlyTrialFrom, first, cause), 0)
		is.Equal(tried(tracker, 0, time.Hour, other), 0)
		is.True(!tracker.TakeTrial(at(crashesToBlame).Add(earlyTrialFrom), []Part{first, cause}, 1.01/nodes)) // drawn at other nodes
		early += tried(tracker, 0, earlyTrialTo, first, cause)
		is.Equal(tried(tracker, earlyTrialTo, lateTrials[0], first, cause), 0) // not claimed
	}
	is.Equal(early, nodes)
	is.Equal(claimedTrials(trackers, earlyTrialTo, findingTTL/2, first, cause), maxClaims) // one node each
	for _, tracker := range trackers {
		tracker.RecordAnswer(at(crashesToBlame).Add(findingTTL/2), []Part{first, cause})
	}
	trackers = trackers[:0]
	for range nodes {
		tracker := NewTracker()
		crashesUnder(tracker, 1, crashesToBlame, first, cause)
		tracker.ConfirmBlame([]Part{first, cause})
		trackers = append(trackers, tracker)
	}
	is.Equal(claimedTrials(trackers, earlyTrialTo, lateTrials[0], first, cause), 0)
	is.Equal(claimedTrials(trackers, lateTrials[0], findingTTL/2, first, cause), len(lateTrials))
	tracker := NewTracker()
	crashesUnder(tracker, 1, crashesToBlame, first)
	tracker.RecordCrash(at(crashesToBlame), []Part{first, other}, 99, 99)
	is.Equal(tried(tracker, 0, earlyTrialTo, first, other), 0) // a crash would not tell which
	is.Equal(tried(tracker, 0, earlyTrialTo, first), 1)
}

// claimedTrials plays requests with the given parts at all nodes, and the store's count of claims, which the first node
// that finds a claim due raises. It returns the number of trials.
func claimedTrials(trackers []*Tracker, from, to time.Duration, parts ...Part) (trials int) {
	claims := 0
	for since := from; since < to; since += earlyTrialFrom / 4 {
		now := at(crashesToBlame).Add(since)
		for _, tracker := range trackers {
			if part, due := tracker.ClaimDue(now, parts); due {
				claims++
				tracker.GrantTrial(now, part, claims)
				for _, other := range trackers {
					known := other.Known(now, part)
					known.Trials = claims
					other.MergeStored(now, part, known.Verdict)
				}
			}
			if tracker.TakeTrial(now, parts, 1) {
				trials++
			}
		}
	}
	return trials
}

// Guards against refusing all requests of a service because of a part that all of them have.
func TestAnAnsweredPartOfAllRequestsIsNotBlamed(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.RecordAnswer(start, []Part{first})
	for n := range requestsCompared {
		tracker.RecordRequest("service", []Part{first, Part(100 + n)})
	}
	crashesUnder(tracker, 1, 100, first)
	is.True(!tracker.blames(at(100), first))
	tracker.RecordRequest("service", []Part{other})
	crashesUnder(tracker, 101, 101, first)
	is.True(tracker.blames(at(101), first))
}

// Guards against a trial that is lost because its request was not sent.
func TestATrialThatToldNothingIsRepeated(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	crashesUnder(tracker, 1, crashesToBlame, cause)
	for _, since := range []time.Duration{earlyTrialFrom, lateTrials[0]} {
		now := at(crashesToBlame).Add(since)
		if part, due := tracker.ClaimDue(now, []Part{cause}); due {
			tracker.GrantTrial(now, part, 1)
		}
		is.True(tracker.TakeTrial(now, []Part{cause}, 0))
		is.True(!tracker.TakeTrial(now, []Part{cause}, 0))
		tracker.ReturnTrial(now, []Part{cause}, false)
		is.True(tracker.TakeTrial(now, []Part{cause}, 0))
	}
	now := at(crashesToBlame).Add(lateTrials[0])
	tracker.ReturnTrial(now, []Part{cause}, true)
	is.True(!tracker.TakeTrial(now, []Part{cause}, 0)) // an endpoint may have run it
	is.True(!tracker.TakeTrial(now.Add(grantTTL), []Part{cause}, 0))
}

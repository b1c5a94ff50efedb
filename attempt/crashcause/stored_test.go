package crashcause

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/attempt/verdict"
)

// storedVerdict returns the verdict of a node that has blamed a part.
func storedVerdict(part Part) verdict.Verdict {
	tracker := NewTracker()
	crashesUnder(tracker, 1, crashesToBlame, part)
	return tracker.Known(at(crashesToBlame), part).Verdict
}

// Guards against a verdict that is read again, or comes late, after an answer that cancelled its crashes, whatever the
// clock of its writer says of their age.
func TestAnAnswerCancelsCrashesForGood(t *testing.T) {
	is := is.New(t)
	here, there := NewTracker(), NewTracker()
	crashesUnder(here, 1, crashesToBlame, cause)
	before := storedVerdict(cause)
	here.RecordAnswer(at(crashesToBlame).Add(1), []Part{cause})
	withdrawn := here.Known(at(crashesToBlame), cause).Verdict
	for _, tracker := range []*Tracker{here, there} {
		now := at(20)
		if tracker == there {
			tracker.MergeStored(now, cause, before)
			is.True(tracker.blames(now, cause))
			is.Equal(tracker.MergeStored(now, cause, withdrawn).Cleared, []Part{cause})
		}
		late := before
		late.Crashes = slices.Clone(before.Crashes)
		for i := range late.Crashes {
			late.Crashes[i].Age = time.Duration(len(late.Crashes)-i) * momentLength // by a clock that is ahead
		}
		tracker.MergeStored(now, cause, late)
		is.True(!tracker.blames(now, cause))
	}
	later := verdict.Verdict{}
	for n := range uint32(crashesToBlame) {
		later.Crashes = append(later.Crashes, verdict.Crash{Endpoint: 50 + n, Request: 50 + n, Age: time.Duration(crashesToBlame-n) * momentLength})
	}
	there.MergeStored(at(30), cause, later)
	is.True(there.blames(at(30), cause)) // other crashes count
}

// Guards against a verdict that is withdrawn everywhere because of an answer that another node reports, and that came
// before the crashes: their times are by the clock of the node that wrote the verdict.
func TestAReportedAnswerDoesNotWithdrawAStoredVerdict(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.MergeStored(at(20), cause, storedVerdict(cause))
	tracker.Merge(at(21), []Finding{{Part: cause, Endpoint: Answered}})
	is.True(!tracker.blames(at(21), cause))
	is.Equal(len(tracker.Known(at(21), cause).Cancelled), 0)
	tried := NewTracker()
	tried.MergeStored(at(20), cause, storedVerdict(cause))
	tried.RecordAnswer(at(21), []Part{cause}) // a trial was sent after the verdict was read
	is.Equal(len(tried.Known(at(21), cause).Cancelled), crashesToBlame)
}

// Guards against reports of crashes whose times follow from the clock of the node that stored them, as if they were this
// node's own.
func TestWhatOnlyTheStoreReportsIsNotReportedToOthers(t *testing.T) {
	is := is.New(t)
	survivor, started := NewTracker(), NewTracker()
	crashesUnder(survivor, 1, crashesToBlame, cause)
	now := at(20)
	started.MergeStored(now, cause, storedVerdict(cause))
	is.Equal(len(started.Findings(now, true, 100)), 0)
	started.Merge(now, survivor.Findings(now, true, 100))
	is.Equal(len(started.Findings(now, true, 100)), crashesToBlame)
}

// Guards against a part that is tried at each start although a trial has ended in a crash, and against more trials than
// the users' rule allows in all.
func TestStoredClaimsBoundTheTrials(t *testing.T) {
	is := is.New(t)
	v := storedVerdict(cause)
	for v.Trials = 0; v.Trials <= maxClaims; v.Trials++ {
		tracker, now := NewTracker(), at(20)
		tracker.MergeStored(now, cause, v)
		wait := earlyTrialTo
		if v.Trials > 0 {
			wait = claimWait
		}
		_, due := tracker.ClaimDue(now.Add(wait-1), []Part{cause})
		is.True(!due)
		is.Equal(tracker.AwaitsTrial([]Part{cause}), v.Trials < maxClaims)
		_, due = tracker.ClaimDue(now.Add(wait), []Part{cause})
		is.Equal(due, v.Trials < maxClaims)
	}
	v.Trials, v.Confirmed = 0, true
	tracker := NewTracker()
	tracker.MergeStored(at(20), cause, v)
	_, due := tracker.ClaimDue(at(20).Add(claimWait), []Part{cause})
	is.True(!due)
	is.True(!tracker.AwaitsTrial([]Part{cause}))
	is.Equal(len(lateTrialsAnswered), maxClaims)
}

package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a warm-up that starts again whenever the same registration is read, that lasts longer
// than what counts, or that goes on to the next incarnation.
func TestColdRegistrationCountsFromWhenItIsFirstSeen(t *testing.T) {
	is := is.New(t)
	now, r := time.Now(), NewReplica()
	apply := func(after time.Duration, start int64, revision uint64, left time.Duration) time.Duration {
		e := incarnation("a", start, revision, false)
		e.ColdLeft = left
		r.ApplyState(now.Add(after), &StoreState{At: At(0, 10+revision), Config: config(1), Endpoints: []Endpoint{*e}})
		return r.Snapshot().EndpointByID("a").ColdUntil.Sub(now)
	}
	is.Equal(apply(0, 1, 1, 5*time.Second), 5*time.Second)
	is.Equal(apply(3*time.Second, 1, 1, 5*time.Second), 5*time.Second)
	is.Equal(apply(4*time.Second, 1, 2, 4*time.Second), 8*time.Second)
	is.Equal(apply(5*time.Second, 1, 3, 0), 5*time.Second)
	is.Equal(apply(6*time.Second, 2, 4, 2*time.Second), 8*time.Second)
	is.Equal(apply(7*time.Second, 2, 5, 3*MaxColdTime), 7*time.Second+MaxColdTime)
}

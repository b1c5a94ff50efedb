package gateway_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// Guards against a late copy of the response to an order that is taken for the response to the next one: memory that
// no engine has set aside, or that is never released.
func TestALateCopyIsNotTakenForTheResponseToAnotherOrder(t *testing.T) {
	for copies := 1; copies <= 2; copies++ {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			is := is.New(t)
			s := newEngineFixture(t, 17)
			s.extraSettings = `,"memory_free_within":"60s"` // reservations do not expire meanwhile
			s.start()
			for _, w := range s.workers {
				w.SetLateCopies(copies)
			}
			for i := range 4 {
				for _, w := range s.workers {
					if i%2 == 1 {
						w.QueueOrderFaults(standin.FaultShed)
					}
				}
				id := fmt.Sprint("q", i)
				is.Equal(s.sendPrompt(id, 500_000).body, standin.StreamText(id, 5))
				s.waitFor("all reservations are released by orders", func() bool { return s.unreleasedCount() == 0 })
				is.Equal(s.ungranted(id), 0)
			}
		})
	}
}

// unreleasedCount returns for how many reservations no release has come, over all workers.
func (s *fixture) unreleasedCount() int {
	n := 0
	for _, w := range s.workers {
		n += w.Unreleased()
	}
	return n
}

// ungranted returns how many reservations a request was sent with that no worker has made.
func (s *fixture) ungranted(id string) int {
	n := 0
	for _, reservation := range s.findRun(id).ReservationIDs() {
		if !slices.ContainsFunc(s.workers, func(w *standin.Worker) bool { return w.Granted(reservation) }) {
			n++
		}
	}
	return n
}

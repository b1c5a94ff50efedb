package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// Guards against applying what one instance states about itself to another that is listed at its
// address: an answer with status 421 comes from an instance that was not meant.
func TestAStatementOfAnotherInstanceIsNotAppliedToTheOneThatWasMeant(t *testing.T) {
	is := is.New(t)
	other, healthy := plainWorker(), plainWorker()
	s := newFixture(t, other, healthy).start()
	ghost := &standin.Worker{ID: "i-ghost", Service: "app"}
	s.store.Delete("servers/" + other.ID)
	s.store.Put("servers/"+ghost.ID, ghost.RegistrationAt(other.Addr(), "ready"))
	s.waitFor("i-ghost is listed in place of i-1", func() bool {
		return strings.Contains(s.log.String(), `"event":"endpoint_gone","node":"g1","role":"gateway","endpoint":"i-1"`)
	})
	other.SetLimit(0)
	misdirected := func() int {
		n := 0
		for _, run := range other.Runs() {
			if run.Status == http.StatusMisdirectedRequest {
				n++
			}
		}
		return n
	}
	n := 0
	send := func() {
		n++
		is.Equal(s.post("/again/a", fmt.Sprint("q", n)).status, http.StatusOK) // served by i-2
	}
	s.waitFor("i-1 answers with 421", func() bool { send(); return misdirected() > 0 })
	is.Equal(s.sumMetric(limitedEndpoints), 0.0)

	s.store.Put("servers/"+other.ID, other.Registration("ready"))
	s.waitFor("the limit of i-1 is known", func() bool { send(); return s.sumMetric(limitedEndpoints) == 1 })
	is.True(strings.Contains(s.log.String(), `"event":"endpoint_limit","node":"g1","role":"gateway","endpoint":"i-1"`))
	is.True(!strings.Contains(s.log.String(), `"event":"endpoint_limit","node":"g1","role":"gateway","endpoint":"i-ghost"`))
}

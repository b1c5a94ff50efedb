package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against short prompts waiting longer the more entries there are: a load report
// shows one endpoint idle, each of 16 entries has one short prompt to send before the next
// report, and each picked the best of all endpoints, the same one.
func TestManyEntriesDoNotOverloadTheIdleEndpoint(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	const entries, count = 16, 12
	for seed := range uint64(entries) {
		policy, err := New(PolicyAspenyard, rand.New(rand.NewPCG(seed, 1)), nil)
		is.NoErr(err)
		endpoints := make([]Endpoint, count)
		for i := range endpoints {
			endpoints[i] = endpoint(fmt.Sprint(i))
			endpoints[i].Backlog[0] = 1000 * i
		}
		counts[policy.Route(testNow, request(3000), endpoints).Name]++
	}
	is.True(counts["0"] < entries/2) // each entry samples it with a probability of a third
}

func TestALongPromptGetsTheBestOfAll(t *testing.T) {
	is := is.New(t)
	for range 20 {
		endpoints := make([]Endpoint, 12)
		for i := range endpoints {
			endpoints[i] = endpoint(fmt.Sprint(i))
			endpoints[i].Backlog[0] = 1000 * (i + 1)
		}
		is.Equal(newPolicy(t).Route(testNow, request(50_000), endpoints).Name, "0")
	}
}

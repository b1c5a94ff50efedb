package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusing a long prompt that may use a part of the engines because of the load of the others.
func TestARestrictedPromptWaitsForItsShareOfTheLoadOnly(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	whole, part := service(), service()
	part.AllowedShare = 0.25
	p.tracker.ReplacePeerLoad(testNow, "peer", []Demand{{Service: whole.Name, PendingPrefill: 8 * time.Second, LongPrefill: 4 * time.Second}}, nil)
	all := p.EstimateFirstToken(testNow, whole, 40, 60_000)
	restricted := p.EstimateFirstToken(testNow, part, 10, 60_000)
	is.True(restricted.Wait < all.Wait*5/4) // equal but for whole engines; with the whole load it is four times as long
}

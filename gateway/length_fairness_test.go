package gateway

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

// Guards against outcomes of long prompts that are lost or changed between entries, and against
// lengths that no prompt can have.
func TestOutcomesInHeartbeats(t *testing.T) {
	is := is.New(t)
	var h wire.Heartbeat
	sent := []direct.LengthOutcome{{Route: 7, Tokens: 45_000, Admitted: true}, {Route: 8, Tokens: 300_000}}
	appendOutcomes(&h, sent)
	is.Equal(decodeOutcomes(&h), sent)
	h.OutcomeRoutes = append(h.OutcomeRoutes, 9, 10)
	h.OutcomeLengths = append(h.OutcomeLengths, math.MaxUint32)
	is.Equal(decodeOutcomes(&h), sent)
}

package gateway_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/gateway"
)

// Guards against a record with an impossible time whose crashes count as new ones.
func TestACrashWithAnImpossibleTimeIsOld(t *testing.T) {
	now := time.Now()
	const wrapsToZero = math.MaxUint64/1_000_000 + 1 // milliseconds, in a time.Duration
	for _, at := range []int64{now.UnixMilli() - wrapsToZero, math.MinInt64, 0} {
		is.New(t).True(gateway.RecordedCrashAge(now, now.UnixMilli(), at) > time.Hour)
	}
}

package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an estimate that few responses keep to, or that one slow response determines.
func TestMostResponsesTakeNoLongerThanExpected(t *testing.T) {
	is := is.New(t)
	var times ResponseTimes
	is.Equal(times.Expected("r"), time.Duration(0))
	took := func(n int) time.Duration { return time.Second + time.Duration(n*37%11)*100*time.Millisecond }
	longer := 0
	for n := range 1000 {
		if n > 100 && took(n) > times.Expected("r") {
			longer++
		}
		times.Record("r", took(n))
	}
	is.True(longer <= 50)
	is.True(times.Expected("r") < 3*time.Second)
	times.Record("r", time.Minute)
	for n := range 40 {
		times.Record("r", took(n))
	}
	is.True(times.Expected("r") < 4*time.Second)
	is.Equal(times.Expected("other"), time.Duration(0))
	for n := range 2 * maxTimedRoutes {
		times.Record(fmt.Sprint(n), time.Second)
	}
	is.Equal(len(times.routes), maxTimedRoutes)
}

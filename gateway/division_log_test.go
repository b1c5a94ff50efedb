package gateway_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an operator who cannot see that the engines are divided anew, and against a log line
// for each small change.
func TestAMovedDivisionIsLogged(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 8)
	s.waitFor("the division is known", func() bool {
		s.gateway.ReportPeerShort("model", 1)
		return s.sumMetric("aspenyard_gateway_short_engines") > 0
	})
	before := s.sumMetric("aspenyard_gateway_short_engines")
	is.Equal(strings.Count(s.log.String(), "engine_division"), 0)
	s.waitFor("short prompts have more engines", func() bool {
		s.gateway.ReportPeerShort("model", 200)
		return strings.Contains(s.log.String(), `"event":"engine_division"`)
	})
	is.True(s.sumMetric("aspenyard_gateway_short_engines") > before)
}

package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an operating system whose answers are misread: the resource would never be short.
func TestTheProcessIsMeasured(t *testing.T) {
	is := is.New(t)
	used, err := processUsage{}.ProcessorTime()
	is.NoErr(err)
	is.True(used > 0)
	open, err := processUsage{}.OpenDescriptors()
	is.NoErr(err)
	is.True(open >= 3)
}

package result

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestTableIsAscendingAndComplete(t *testing.T) {
	is := is.New(t)
	last := Code(0)
	names := map[string]bool{}
	for _, info := range Table() {
		is.True(info.Code > last)         // codes ascend
		is.True(!names[info.Name])        // names are unique
		is.True(info.Meaning != "")       // each has a meaning
		is.True(info.Action != "")        // each has an action
		is.True(info.HTTPStatus >= 200)   // each has a status
		is.Equal(Lookup(info.Code), info) // lookup finds it
		last = info.Code
		names[info.Name] = true
	}
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	is.True(Overloaded.Refusal())
	is.True(NotReady.Refusal())
	is.True(!OK.Refusal())
	is.True(!UnknownModel.Refusal())
	is.True(!RetryBudget.Refusal())
}

func TestDocsMatchTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/RESULT-CODES.md")
	is.NoErr(err)
	is.Equal(string(page), Markdown()) // run: aspenyard version --codes > docs/RESULT-CODES.md
}

func TestFromErrorOfOtherErrorIsRanUnknown(t *testing.T) {
	is := is.New(t)
	is.Equal(FromError(errors.New("x")).Ran, RanUnknown)
	wrapped := fmt.Errorf("outer: %w", Refuse(Overloaded, 0, "full"))
	is.Equal(FromError(wrapped).Code, Overloaded)
	is.Equal(FromError(wrapped).Ran, RanNo)
	is.True(FromError(nil) == nil)
}

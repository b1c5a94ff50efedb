package entry

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"aspenyard.example/result"
	"aspenyard.example/routing"
)

// Symptom: a long prompt in another script than Latin is refused or garbled.
// Sequence: its bytes are cut into parts within a character. Cause: cutting by the
// number of bytes alone.
func TestPromptIsSplitBetweenCharacters(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("繫纜樁 ", 100)
	rest, joined := text, ""
	for rest != "" {
		var part string
		part, rest = splitText(rest, 41)
		is.True(utf8.ValidString(part))
		is.True(len(part) <= 41 && part != "")
		joined += part
	}
	is.Equal(joined, text)
}

func newTestEngine(name string, memory int) routing.Endpoint {
	return routing.Endpoint{Name: name, Models: []string{"m"}, MemoryTokens: memory}
}

func TestSplitPromptTakesEndpointsInNameOrder(t *testing.T) {
	is := is.New(t)
	endpoints := []routing.Endpoint{newTestEngine("c", 400_000), newTestEngine("a", 400_000), newTestEngine("b", 400_000), newTestEngine("d", 400_000)}
	endpoints[1].Backlog[0] = 1000 // a is busy and not needed
	members, refusal := planSplit(&routing.Request{Model: "m", PromptTokens: 900_000, Tried: map[string]bool{}}, endpoints)
	is.True(refusal == nil)
	names := ""
	for _, m := range members {
		names += m.Name
	}
	is.Equal(names, "bcd")
}

func TestSplitPromptRefusals(t *testing.T) {
	is := is.New(t)
	endpoints := []routing.Endpoint{newTestEngine("a", 400_000), newTestEngine("b", 400_000)}
	request := &routing.Request{Model: "m", PromptTokens: 900_000, Tried: map[string]bool{}}
	_, refusal := planSplit(request, endpoints)
	is.Equal(refusal.Code, result.PromptTooLong)
	silent := newTestEngine("c", 400_000)
	silent.Suspect = true
	_, refusal = planSplit(request, append(endpoints, silent))
	is.Equal(refusal.Code, result.NoEndpoint) // it may come back
	is.True(refusal.RetryAfter > 0)
}

package entry

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"aspenyard.example/result"
	"aspenyard.example/routing"
)

// Guards against refusing or garbling long prompts in scripts other than Latin, which
// happened when the prompt was split by the number of bytes alone, within a character.
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

// newTestEngine is an endpoint for the model m with a KV cache of memory tokens.
func newTestEngine(name string, memory int) routing.Endpoint {
	return routing.Endpoint{Name: name, Models: []string{"m"}, MemoryTokens: memory}
}

// Endpoints are reserved in the order of their names, which prevents deadlocks between
// split requests; the busiest one is left out.
func TestSplitPromptTakesEndpointsInNameOrder(t *testing.T) {
	is := is.New(t)
	endpoints := []routing.Endpoint{newTestEngine("c", 400_000), newTestEngine("a", 400_000), newTestEngine("b", 400_000), newTestEngine("d", 400_000)}
	endpoints[1].Backlog[0] = 1000 // a is busy and not needed
	chosen, refusal := planSplit(&routing.Request{Model: "m", PromptTokens: 900_000, Tried: map[string]bool{}}, endpoints)
	is.True(refusal == nil)
	names := ""
	for _, m := range chosen {
		names += m.Name
	}
	is.Equal(names, "bcd")
}

// A prompt is refused as too long only if it would not fit with the silent endpoints
// counted in.
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

package direct

// Prompt lengths, in tokens, that bound the levels of engine priority.
const (
	shortPrompt  = 10_000
	mediumPrompt = 30_000
	longPrompt   = 110_000
)

// lowestPriority is the last of the engines' priorities.
const lowestPriority = 9

// EnginePriority is the engines' priority of a request, 0 first: shorter prompts go first,
// since they cost a longer one milliseconds and a long one costs them seconds; among
// equals the configured priority decides.
func EnginePriority(promptTokens, priority int) int {
	level := 0
	switch {
	case promptTokens > longPrompt:
		level = 6
	case promptTokens > mediumPrompt:
		level = 4
	case promptTokens > shortPrompt:
		level = 2
	}
	if priority > 1 {
		level++
	}
	return min(level, lowestPriority)
}

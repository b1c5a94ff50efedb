package direct

// Prompt lengths, in tokens, above which a request gets a lower engine priority.
const (
	shortPrompt  = 10_000
	mediumPrompt = 30_000
	longPrompt   = 110_000
)

// lowestPriority is the last of the engines' priorities.
const lowestPriority = 9

// EnginePriority returns the priority of a request in an engine's queue; 0 goes first.
// Shorter prompts go first, since they delay a longer one by milliseconds while a long one
// delays them by seconds. Among prompts of similar length the configured priority decides.
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

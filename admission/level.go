// Package admission decides whether and when work starts at one endpoint, and
// how much each client account may ask for at one entry. It is pure: time comes
// in as an argument, and starting the work is the caller's job.
package admission

// Class is how urgent a kind of work is.
type Class int

// The classes, most urgent first.
const (
	Urgent Class = iota
	Normal
	Bulk
	classCount = 3
)

// Prompt lengths, in tokens, that bound the bands of docs and reports.
const (
	ShortTokens  = 4_000
	MediumTokens = 16_000
	LongTokens   = 100_000
	bandCount    = 4
)

// LevelCount is how many levels there are.
const LevelCount = classCount * bandCount

// Level is an order of service: all work of a lower level goes first at the
// engine. It depends on nothing but class and length, so that an entry can tell
// from an agent's report what would go before a new request.
type Level int

// Band gives 0 for prompts up to ShortTokens, 1 up to MediumTokens, 2 up to
// LongTokens and 3 above.
func Band(promptTokens int) int {
	switch {
	case promptTokens <= ShortTokens:
		return 0
	case promptTokens <= MediumTokens:
		return 1
	case promptTokens <= LongTokens:
		return 2
	default:
		return 3
	}
}

// levelByClassAndBand ranks (class, band): a longer prompt of a class goes after a
// shorter one of the next class, because a short prompt costs a long one a few
// milliseconds, and a long one costs a short one seconds.
var levelByClassAndBand = [classCount][bandCount]Level{
	Urgent: {0, 2, 5, 8},
	Normal: {1, 3, 6, 9},
	Bulk:   {4, 7, 10, 11},
}

// LevelOf gives the level of a request.
func LevelOf(class Class, promptTokens int) Level {
	if class < Urgent || class > Bulk {
		class = Bulk
	}
	return levelByClassAndBand[class][Band(promptTokens)]
}

// Backlog is prefill not yet done, in tokens, by level.
type Backlog [LevelCount]int

// UpTo sums the backlog that goes before new work of a level.
func (b *Backlog) UpTo(level Level) int {
	sum := 0
	for l := Level(0); l <= level; l++ {
		sum += b[l]
	}
	return sum
}

// Total sums the whole backlog.
func (b *Backlog) Total() int {
	return b.UpTo(LevelCount - 1)
}

// BytesPerToken is how entries and agents estimate the tokens of a text. They have
// no tokenizer: a wrong estimate costs a refusal or a wait, never an answer.
const BytesPerToken = 4

// EstimateTokens estimates the tokens of a text, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

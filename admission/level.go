// Package admission decides whether and when a request starts at one endpoint, how
// many requests each client account may send at one entry, and how many retries are
// allowed. Except for Semaphore, the package reads no clock and does no I/O: the time
// is an argument, and starting the work is up to the calling code.
package admission

// Class is the urgency of a request.
type Class int

// The classes, most urgent first.
const (
	Urgent Class = iota
	Normal
	Bulk
	classCount = 3
)

// The upper bounds of the prompt length bands, in tokens; see Band. Metrics and bench
// reports are divided by the same bands.
const (
	ShortTokens  = 4_000
	MediumTokens = 16_000
	LongTokens   = 100_000
	bandCount    = 4
)

// LevelCount is the number of priority levels.
const LevelCount = classCount * bandCount

// Level is the priority of a request at the engine: prefill of a lower level goes
// first. It depends only on class and prompt length, so that an entry can tell from an
// agent's load report how much work would go before a new request.
type Level int

// Band returns the length band of a prompt: 0 up to ShortTokens, 1 up to MediumTokens,
// 2 up to LongTokens, 3 above.
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

// levelByClassAndBand gives the level of each class and length band. A prompt goes
// after a shorter one of the next less urgent class, because a short prompt delays a
// long one by a few milliseconds, and a long one delays a short one by seconds.
var levelByClassAndBand = [classCount][bandCount]Level{
	Urgent: {0, 2, 5, 8},
	Normal: {1, 3, 6, 9},
	Bulk:   {4, 7, 10, 11},
}

// LevelOf returns the level of a request of a class with a prompt of the given length in
// tokens. An unknown class counts as Bulk.
func LevelOf(class Class, promptTokens int) Level {
	if class < Urgent || class > Bulk {
		class = Bulk
	}
	return levelByClassAndBand[class][Band(promptTokens)]
}

// Backlog is the prefill that is still to be done, in tokens, by level.
type Backlog [LevelCount]int

// UpTo returns the backlog, in tokens, that goes before new work of a level: that of the
// level itself and of all more urgent ones.
func (b *Backlog) UpTo(level Level) int {
	sum := 0
	for l := Level(0); l <= level; l++ {
		sum += b[l]
	}
	return sum
}

// Total returns the backlog of all levels, in tokens.
func (b *Backlog) Total() int {
	return b.UpTo(LevelCount - 1)
}

// BytesPerToken is the mean size by which entries and agents estimate the number of
// tokens of a text. They have no tokenizer: a wrong estimate costs a refusal or a wait,
// but never makes an answer wrong.
const BytesPerToken = 4

// EstimateTokens estimates the number of tokens of a text from its length in bytes,
// rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

package platform

import (
	"strconv"
	"time"
)

// headerCold is the header in which a worker states how long it still warms up.
const headerCold = "X-Aspenyard-Cold-Ms"

// coldState is a worker's warm-up. It tolerates any number of requests meanwhile.
type coldState struct {
	until time.Time
	// text, unless it is empty, is stated instead of the time that is left.
	text string
	// silent is set while registrations say that the worker is warm.
	silent bool
}

// SetCold makes the worker cold from now on for a time. It states so in its responses and, unless
// registered is false, in registrations that are written from now on.
func (w *Worker) SetCold(left time.Duration, registered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = coldState{until: time.Now().Add(left), silent: !registered}
}

// SetColdText sets the text that responses state, which may be malformed; with "" they state the time
// that is left, if any.
func (w *Worker) SetColdText(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold.text = text
}

// leftMS returns the time that is left, in milliseconds.
func (c *coldState) leftMS(now time.Time) int64 { return max(c.until.Sub(now).Milliseconds(), 0) }

// registered returns the value of a registration's field.
func (c *coldState) registered(now time.Time) int64 {
	if c.silent {
		return 0
	}
	return c.leftMS(now)
}

// stated returns the text of the header; "" if there is none.
func (c *coldState) stated(now time.Time) string {
	if left := c.leftMS(now); c.text == "" && left > 0 {
		return strconv.FormatInt(left, 10)
	}
	return c.text
}

package link

import "time"

// cut is where a link cuts what its target sends.
type cut struct {
	on, reset bool
	// left is how many bytes are passed on before the cut, passed how many have been.
	left, passed int
}

// resetDelay is the time between the last byte and a reset, which would otherwise overtake it.
const resetDelay = 2 * time.Millisecond

// CutAfter makes the link pass on n more bytes from the target, over all connections, and end each connection on which
// more arrive, by a reset if reset is set.
func (l *Link) CutAfter(n int, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut{on: true, reset: reset, left: n}
}

// CountPassed ends CutAfter, and counts the bytes from the target anew.
func (l *Link) CountPassed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut{}
}

// Passed returns how many bytes from the target were passed on since the last call of CountPassed or CutAfter.
func (l *Link) Passed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut.passed
}

// passBytes returns how many of n bytes from the target are passed on, and whether a reset follows if not all are.
func (l *Link) passBytes(n int) (passed int, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut.on {
		n = min(n, l.cut.left)
		l.cut.left -= n
	}
	l.cut.passed += n
	return n, l.cut.reset
}

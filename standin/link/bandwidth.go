package link

import "time"

// bandwidth limits what the target sends, over all connections together.
type bandwidth struct {
	// perSecond is in bytes; 0 means no limit. The bytes before have passed at freeAt.
	perSecond int
	freeAt    time.Time
}

// SetBandwidth limits what the target sends, over all connections together, to a rate in bytes a second; 0 means no
// limit. Bytes are passed on in the order of their arrival.
func (l *Link) SetBandwidth(perSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bandwidth = bandwidth{perSecond: perSecond}
}

// pieceBytes is how many bytes of a direction are passed on at once. Connections take turns on a link with a bandwidth.
func (l *Link) pieceBytes(direction Direction) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if direction == FromTarget && l.bandwidth.perSecond > 0 {
		return packetBytes
	}
	return bufferBytes
}

// packetBytes is the turn of one connection on a link with a bandwidth.
const packetBytes = 4 << 10

// awaitBandwidth waits until n bytes of a direction have passed.
func (l *Link) awaitBandwidth(direction Direction, n int) {
	l.mu.Lock()
	b := &l.bandwidth
	if direction != FromTarget || b.perSecond == 0 {
		l.mu.Unlock()
		return
	}
	now := time.Now()
	if b.freeAt.Before(now) {
		b.freeAt = now
	}
	b.freeAt = b.freeAt.Add(time.Duration(n) * time.Second / time.Duration(b.perSecond))
	wait := b.freeAt.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

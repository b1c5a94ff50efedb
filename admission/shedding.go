package admission

import (
	"maps"
	"sync"
	"time"
)

const (
	// peerPressureTTL is how long another entry's report of its pressure is used.
	peerPressureTTL = 1500 * time.Millisecond
	// peersWithRoom is the share of the other entries that must have room, so that callers whose connections are
	// closed meet one that has.
	peersWithRoom = 0.5
)

// ConnectionShedding decides which new connections of callers an entry closes unread, because it is short of a
// resource and others are not. Callers whose request was not read try another entry at once, whereas a refused
// request comes back later. Where all entries are short of a resource, requests are refused by urgency instead. It
// is safe for concurrent use.
type ConnectionShedding struct {
	mu    sync.Mutex
	peers map[string]peerPressure
	// due is the number of connections that should have been closed, less those that were.
	due float64
}

type peerPressure struct {
	at       time.Time
	pressure float64
}

// NewConnectionShedding returns a decision without reports.
func NewConnectionShedding() *ConnectionShedding {
	return &ConnectionShedding{peers: map[string]peerPressure{}}
}

// RecordPeer records the pressure that another entry reports.
func (s *ConnectionShedding) RecordPeer(now time.Time, entry string, pressure float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[entry] = peerPressure{now, pressure}
}

// Shed decides on a new connection, at an entry with the given pressure: what is asked of it, as a multiple of what
// it has. All but one connection in pressure are closed.
func (s *ConnectionShedding) Shed(now time.Time, pressure float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pressure <= 1 || !s.othersHaveRoom(now) {
		s.due = 0
		return false
	}
	s.due += 1 - 1/pressure
	if s.due < 1 {
		return false
	}
	s.due--
	return true
}

// OthersHaveRoom returns whether enough of the other entries report that they have room.
func (s *ConnectionShedding) OthersHaveRoom(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.othersHaveRoom(now)
}

func (s *ConnectionShedding) othersHaveRoom(now time.Time) bool {
	maps.DeleteFunc(s.peers, func(_ string, p peerPressure) bool { return now.Sub(p.at) > peerPressureTTL })
	withRoom := 0
	for _, p := range s.peers {
		if p.pressure < reliefPressure {
			withRoom++
		}
	}
	return withRoom > 0 && float64(withRoom) >= peersWithRoom*float64(len(s.peers))
}

package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that wait at an entry which gets most new connections while the others are idle, and
// against connections that are closed although no entry has room for them.
func TestConnectionsAreClosedOnlyWhileOthersHaveRoom(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name     string
		pressure float64
		peers    []float64
		age      time.Duration
		shed     int
	}{
		{"room here", 1, []float64{0.1, 0.1}, 0, 0},
		{"twice the capacity", 2, []float64{0.1, 0.1}, 0, 50},
		{"four times the capacity", 4, []float64{0.1, 0.1}, 0, 75},
		{"half of the others have room", 4, []float64{0.1, 3}, 0, 75},
		{"most others have none", 4, []float64{0.1, 3, 1}, 0, 0},
		{"no other entry", 4, nil, 0, 0},
		{"outdated reports", 4, []float64{0.1, 0.1}, 2 * peerPressureTTL, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewConnectionShedding()
			for i, pressure := range c.peers {
				s.RecordPeer(now.Add(-c.age), fmt.Sprint("g", i), pressure)
			}
			shed := 0
			for range 100 {
				if s.Shed(now, c.pressure) {
					shed++
				}
			}
			is.Equal(shed, c.shed)
		})
	}
}

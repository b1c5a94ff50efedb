package consul

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a VM that is never listed: the list is set twice in quick succession, and
// the timer that shows the second list fires before the timer of the first, so that the
// older list remains. This occurred once in CI, in the leaving test.
func TestLatestVMListWins(t *testing.T) {
	const rounds, changes = 20, 200
	last := fmt.Sprint(changes - 1)
	for range rounds {
		is := is.New(t)
		server := New(Settings{ListLag: time.Millisecond})
		for i := range changes {
			server.SetVMs([]VM{{Name: fmt.Sprint(i)}})
		}
		for until := time.Now().Add(lastChangeTimeout); server.visibleName() != last && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond) // lets the remaining timers fire
		is.Equal(server.visibleName(), last)
	}
}

// lastChangeTimeout bounds the wait for the last list to become visible.
const lastChangeTimeout = 10 * time.Second

func (s *Server) visibleName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.visible) == 0 {
		return ""
	}
	return s.visible[0].Name
}

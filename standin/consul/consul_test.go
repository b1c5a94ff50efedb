package consul

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: a VM is never listed. Sequence: the list is set twice within a moment;
// the second change becomes visible before the first. Cause: each change shown by
// a timer of its own, whatever was shown before. Seen once in CI, in leaving.
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
		time.Sleep(5 * time.Millisecond) // whatever is still on its way comes now
		is.Equal(server.visibleName(), last)
	}
}

// lastChangeTimeout bounds the wait for the last change.
const lastChangeTimeout = 10 * time.Second

func (s *Server) visibleName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.visible) == 0 {
		return ""
	}
	return s.visible[0].Name
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// crashBody is the body of the request that ends every endpoint that runs it.
	crashBody = "crashes whoever runs it"
	// crashPause is the time between two copies of it.
	crashPause = 60 * time.Millisecond
	// crashesKnown of it, and contact after the last of them, no node sends it more often than
	// crashRetries.
	crashesKnown, crashRetries = 3, 3
)

// crashingRequest sends one request that crashes endpoints again and again, at all gateways in turn.
func crashingRequest(w *world, f *Fault) {
	route := routes[f.Port%len(routes)]
	c := &caller{world: w, name: fmt.Sprintf("x%d", f.Start), rand: rand.New(rand.NewPCG(w.config.Seed, uint64(f.Start)))}
	for until := time.Now().Add(f.Duration + contact); time.Now().Before(until) && w.stopped.Err() == nil; {
		c.move()
		a := c.attempt(route)
		a.RequestURI, a.Body, a.APIKey = fmt.Sprintf("/%s/%s", route.Name, c.name), crashBody, keyPlain
		c.send(w.stopped, a)
		time.Sleep(crashPause)
	}
}

// crashed notes that an endpoint ends under a request, and starts another life at its post.
func (w *world) crashed(worker *platform.Worker) {
	ended := w.record.disturb(Disturbance{Kind: kindCrashingRequest, Endpoint: worker.Incarnation()})
	for _, p := range w.posts {
		if p.current() == worker && p.claim() != nil {
			p.vacate()
			p.link.RefuseConnections()
			go func() {
				time.Sleep(reuseAfter)
				ended()
				w.store.Delete("servers/" + worker.ID)
				w.begin(p, w.newWorker(worker.Service))
			}()
			return
		}
	}
	ended()
}

// crashersStopped finds requests that are sent on after they have crashed several endpoints, by
// gateways that may know of it.
func crashersStopped(e *evidence) []string {
	copies := map[string][]*Arrival{}
	for _, a := range e.Requests {
		if a.Body == crashBody {
			copies[a.RequestURI] = append(copies[a.RequestURI], e.runs[a.ID]...)
		}
	}
	var list []string
	for target, runs := range copies {
		sort.Slice(runs, func(i, j int) bool { return runs[i].ArrivedAt.Before(runs[j].ArrivedAt) })
		if n := e.sentOn(runs); n > crashRetries {
			list = append(list, fmt.Sprintf("%s was sent %d times more after it had crashed %d endpoints", target, n, crashesKnown))
		}
	}
	return list
}

// sentOn counts the arrivals of a request that came too long after its decisive crash.
func (e *evidence) sentOn(runs []*Arrival) int {
	var crashes []time.Time
	n := 0
	for _, run := range runs {
		switch a := e.attempts[run.ID]; {
		case len(crashes) < crashesKnown:
		case run.ArrivedAt.Sub(crashes[crashesKnown-1]) > contact && e.calm(a.Gateway, crashes[crashesKnown-1], run.ArrivedAt, false):
			n++
		}
		if run.Ran {
			crashes = append(crashes, run.ArrivedAt)
		}
	}
	return n
}

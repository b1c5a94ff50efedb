package gateway

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// Guards against overlooking a crash because a probe that began before it found the endpoint alive.
func TestAResultOfAnEarlierProbeIsNotUsed(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer remote.Close()
	g := &Gateway{pool: newPool()}
	g.pool.dial = func(context.Context, string, string) (net.Conn, error) { return local, nil }
	p := newProber(g)
	e := &directory.EndpointState{Endpoint: directory.Endpoint{Incarnation: directory.Incarnation{ID: "i-1"}}}
	now := time.Now()
	earlier := &probe{began: now.Add(-time.Millisecond), done: make(chan struct{})}
	p.results[e.Incarnation] = earlier
	end := sync.OnceFunc(func() { close(earlier.done) })
	got, ok := p.resultSince(doneNotifier{context.Background(), end}, e, now)
	is.True(ok)
	is.True(got != earlier)
}

// doneNotifier is a context that calls notify when its Done channel is asked for.
type doneNotifier struct {
	context.Context
	notify func()
}

func (w doneNotifier) Done() <-chan struct{} {
	w.notify()
	return w.Context.Done()
}

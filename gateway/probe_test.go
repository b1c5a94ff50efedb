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

// Guards against missing a crash as a probe that began before it says that the endpoint lives.
func TestAProbeThatBeganEarlierDoesNotTellOfNow(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer remote.Close()
	g := &Gateway{pool: newPool()}
	g.pool.dial = func(context.Context, string, string) (net.Conn, error) { return local, nil }
	p := newProber(g)
	e := &directory.Listed{Endpoint: directory.Endpoint{Life: directory.Life{ID: "i-1"}}}
	now := time.Now()
	earlier := &probe{began: now.Add(-time.Millisecond), done: make(chan struct{})}
	p.results[e.Life] = earlier
	end := sync.OnceFunc(func() { close(earlier.done) })
	got, ok := p.ask(waiting{context.Background(), end}, e, now)
	is.True(ok)
	is.True(got != earlier)
}

// waiting is a context that tells once somebody waits for its end.
type waiting struct {
	context.Context
	tell func()
}

func (w waiting) Done() <-chan struct{} {
	w.tell()
	return w.Context.Done()
}

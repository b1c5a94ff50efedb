package routing

import (
	"testing"

	"github.com/matryer/is"
)

func TestCanServe(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Request, *Endpoint)
		want   bool
	}{
		{"serves", func(*Request, *Endpoint) {}, true},
		{"other model", func(r *Request, _ *Endpoint) { r.Model = "x" }, false},
		{"service", func(r *Request, _ *Endpoint) { r.Model, r.Service = "", "s" }, true},
		{"other service", func(r *Request, _ *Endpoint) { r.Model, r.Service = "", "x" }, false},
		{"suspect", func(_ *Request, e *Endpoint) { e.Suspect = true }, false},
		{"leaving", func(_ *Request, e *Endpoint) { e.Leaving = true }, false},
		{"tried", func(r *Request, e *Endpoint) { r.Tried[e.Name] = true }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, e := request(1000), endpoint("a")
			c.change(r, &e)
			is.Equal(CanServe{}.Keep(r, &e), c.want)
		})
	}
}

func TestFitsMemory(t *testing.T) {
	is := is.New(t)
	e := endpoint("a")
	is.True(FitsMemory{}.Keep(request(320_000), &e))
	is.True(!FitsMemory{}.Keep(request(320_001), &e)) // a fifth is reserved for short prompts
	e.MemoryTokens = 0
	is.True(FitsMemory{}.Keep(request(1), &e)) // a plain service has no KV cache
}

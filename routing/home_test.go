package routing

import (
	"testing"

	"github.com/matryer/is"
)

// Every entry finds the same home endpoint, whatever it has tried and in whichever order it
// knows the endpoints; other keys mostly have other home endpoints.
func TestHomeEndpointIsTheSameAtEveryEntry(t *testing.T) {
	is := is.New(t)
	one := []Endpoint{endpoint("a"), endpoint("b"), endpoint("c")}
	other := []Endpoint{endpoint("c"), endpoint("a"), endpoint("b")}
	seen := map[string]int{}
	for key := range uint64(300) {
		r := request(1000)
		r.Key = key
		home := HomeEndpoint(r, one).Name
		r.Tried[home] = true
		is.Equal(HomeEndpoint(r, other).Name, home)
		seen[home]++
	}
	for _, e := range one {
		is.True(seen[e.Name] > 60) // an even share is 100
	}
}

func TestHomeEndpointCanServeTheRequest(t *testing.T) {
	is := is.New(t)
	endpoints := []Endpoint{endpoint("a"), endpoint("b")}
	endpoints[0].Suspect = true
	for key := range uint64(20) {
		r := request(1000)
		r.Key = key
		is.Equal(HomeEndpoint(r, endpoints).Name, "b")
	}
	is.True(HomeEndpoint(request(400_000), endpoints) == nil) // no endpoint holds it alone
}

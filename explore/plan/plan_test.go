package plan

import (
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a search that cannot be repeated, or that draws what its own checks refuse.
func TestACaseFollowsFromItsSeedAndIsValid(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(500) {
		c := Draw(seed, nil)
		if err := c.Validate(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(c, Draw(seed, nil)) {
			t.Fatalf("seed %d gives two cases", seed)
		}
		if !slices.IsSortedFunc(c.Events, func(a, b Event) int { return a.AtMS - b.AtMS }) {
			t.Fatalf("seed %d: events are not in order", seed)
		}
		for _, e := range c.Events {
			seen[e.Kind] = true
		}
	}
	for _, kind := range Kinds {
		if !seen[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
}

// Guards against a kept case that is played as another one.
func TestAKeptCaseIsReadAsItWasWritten(t *testing.T) {
	is := is.New(t)
	c, path := Draw(7, nil), filepath.Join(t.TempDir(), "case.json")
	c.Rules, c.Note = []string{"MIXED"}, "a note"
	is.NoErr(c.Save(path))
	read, err := Load(path)
	is.NoErr(err)
	is.Equal(read, c)
}

// Guards against files with mistakes that are played as something else.
func TestABadCaseIsRefusedByName(t *testing.T) {
	cases := map[string]func(c *Case){
		"gateways":     func(c *Case) { c.Setting.Gateways = 0 },
		"max_attempts": func(c *Case) { c.Setting.MaxAttempts = 99 },
		"endpoints":    func(c *Case) { c.Setting.Plain, c.Setting.Streams, c.Setting.Engines = 0, 0, 0 },
		"events":       func(c *Case) { c.Events = nil },
		"kind":         func(c *Case) { c.Events[0].Kind = "earthquake" },
		"at_ms":        func(c *Case) { c.Events[0].AtMS = -1 },
		"text":         func(c *Case) { c.Events[0] = Event{Kind: EndpointFault, Text: "bad"} },
		"call:":        func(c *Case) { c.Events[0] = Event{Kind: Request} },
		"call.route":   func(c *Case) { c.Events[0] = Event{Kind: Request, Call: &Call{Route: "nowhere"}} },
	}
	for name, spoil := range cases {
		c := Draw(7, nil)
		spoil(c)
		if err := c.Validate(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

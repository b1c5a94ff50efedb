package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodAgent = `{"name":"w1","data_centre":"b1","listen":"127.0.0.1:1","operators_listen":"127.0.0.1:2",
"platform":"127.0.0.1:3","endpoint":"127.0.0.1:4","kind":"engine"}`

func TestAgentDefaults(t *testing.T) {
	is := is.New(t)
	var agent Agent
	is.NoErr(Decode([]byte(goodAgent), &agent))
	is.Equal(agent.Advertise, agent.Listen)
	is.Equal(agent.ReservationLease.D().String(), "2s")
}

func TestFaultsNameFieldAndWhatIsAllowed(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"unknown field", `"kind"`, `"colour":1,"kind"`, `"colour"`},
		{"bare number", `"kind"`, `"suspect_after":3,"kind"`, `"suspect_after"`},
		{"wrong unit", `"kind"`, `"suspect_after":"3 moons","kind"`, "with its unit"},
		{"out of range", `"kind"`, `"reservation_lease":"2h","kind"`, `"reservation_lease"`},
		{"host name", "127.0.0.1:4", "localhost:4", `"endpoint"`},
		{"no data centre", `"data_centre":"b1",`, ``, `"data_centre"`},
		{"bad kind", `"engine"`, `"motor"`, `"kind"`},
		{"service without kinds", `"engine"`, `"service"`, `"services"`},
		{"trailing text", `"engine"}`, `"engine"} x`, "one JSON object"},
		{"wrong type", `"w1"`, `7`, `"name"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var agent Agent
			err := Decode([]byte(strings.Replace(goodAgent, c.from, c.to, 1)), &agent)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the fault names its place
		})
	}
}

// An operator mends a file in one go: every fault is named, whatever its kind.
func TestAllFaultsAreNamedAtOnce(t *testing.T) {
	is := is.New(t)
	var g Gateway
	err := Decode([]byte(`{"name":"g","data_centre":7,"colour":1,"callers_listen":"here","retry_ratio":3,"drain_timeout":"8 moons","shade":2}`), &g)
	for _, field := range []string{"data_centre", "colour", "shade", "callers_listen", "readiness_listen", "store", "retry_ratio", "drain_timeout"} {
		is.True(strings.Contains(err.Error(), `"`+field+`"`)) // each is named
	}
	is.Equal(len(strings.Split(err.Error(), "\n")), 8)
}

func TestSizes(t *testing.T) {
	is := is.New(t)
	var size Size
	is.NoErr(size.UnmarshalJSON([]byte(`"8MB"`)))
	is.Equal(int64(size), int64(8_000_000))
	is.NoErr(size.UnmarshalJSON([]byte(`"1KiB"`)))
	is.Equal(int64(size), int64(1024))
	for _, bad := range []string{`8`, `"8"`, `"-1B"`, `"1.5MB"`, `"MB"`} {
		is.True(size.UnmarshalJSON([]byte(bad)) != nil) // a size needs a whole number and a unit
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(goodAgent))
	f.Fuzz(func(t *testing.T, data []byte) {
		var agent Agent
		if Decode(data, &agent) == nil && len(agent.Check()) != 0 {
			t.Fatal("accepted settings do not pass their own check")
		}
	})
}

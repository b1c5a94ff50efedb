package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validAgent = `{"name":"w1","data_centre":"b1","listen":"127.0.0.1:1","operators_listen":"127.0.0.1:2",
"platform":"127.0.0.1:3","endpoint":"127.0.0.1:4","kind":"engine"}`

func TestAgentDefaults(t *testing.T) {
	is := is.New(t)
	var agent Agent
	is.NoErr(Decode([]byte(validAgent), &agent))
	is.Equal(agent.Advertise, agent.Listen)
	is.Equal(agent.ReservationLease.D().String(), "2s")
}

func TestFieldErrorsNameFieldAndAllowedValues(t *testing.T) {
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
			err := Decode([]byte(strings.Replace(validAgent, c.from, c.to, 1)), &agent)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error names the field or what is allowed
		})
	}
}

// Every invalid field is reported at once, whatever is wrong with it, so that an operator
// can correct a file in one pass.
func TestAllFieldErrorsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	var g Gateway
	err := Decode([]byte(`{"name":"g","data_centre":7,"colour":1,"callers_listen":"here","retry_ratio":3,"drain_timeout":"8 moons","shade":2}`), &g)
	for _, field := range []string{"data_centre", "colour", "shade", "callers_listen", "readiness_listen", "store", "retry_ratio", "drain_timeout"} {
		is.True(strings.Contains(err.Error(), `"`+field+`"`)) // each field is named
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
	is.NoErr(size.UnmarshalJSON([]byte(`"1.5MB"`)))
	is.Equal(int64(size), int64(1_500_000))
	is.NoErr(size.UnmarshalJSON([]byte(`"2.3KB"`))) // 2299.9999999999995 in binary
	is.Equal(int64(size), int64(2300))
	for _, bad := range []string{`8`, `"8"`, `"-1B"`, `"MB"`, `"NaNMB"`, `"InfMB"`, `"0x8MB"`, `"1_0MB"`, `"nullMB"`, `"1e300MB"`, `"1.MB"`} {
		is.True(size.UnmarshalJSON([]byte(bad)) != nil) // a size needs a number and a unit
	}
}

const validGateway = `{"name":"g","data_centre":"d","callers_listen":"127.0.0.1:1","readiness_listen":"127.0.0.1:2","store":"127.0.0.1:3",
"config_within":"4000ms","leaving_within":"4000ms","drain_timeout":"8s","retry_ratio":0.2,"retry_allowance":206,"retry_window":"10s",
"memory_free_within":"4000ms","memory_idle_within":"9000ms","memory_limit":"184MB","processor_limit":0.06,"link_limit":"14Mbit","descriptor_limit":2870}`

// The platform fills in the settings template with figures scaled to the size of a
// deployment, and writes a figure as a whole number, with a fraction or with an exponent. When
// a field took whole numbers only, every gateway ended at its start with "retry_allowance:
// value 44.78: allowed: int64".
func TestNumbersAreAcceptedInAllFormsOfThePlatform(t *testing.T) {
	cases := []struct {
		field, plain string
		others       []string
		got          func(g *Gateway) any
	}{
		{"config_within", `"4000ms"`, []string{`"4000.0ms"`, `"4e3ms"`, `"4.0E+03ms"`}, func(g *Gateway) any { return g.ConfigWithin }},
		{"leaving_within", `"4000ms"`, []string{`"4000.0ms"`, `"4e3ms"`}, func(g *Gateway) any { return g.LeavingWithin }},
		{"drain_timeout", `"8s"`, []string{`"8.0s"`, `"0.8e1s"`}, func(g *Gateway) any { return g.DrainTimeout }},
		{"retry_ratio", `0.2`, []string{`2e-1`, `0.20`}, func(g *Gateway) any { return g.RetryRatio }},
		{"retry_allowance", `206`, []string{`206.0`, `2.06e2`, `20600E-2`}, func(g *Gateway) any { return g.RetryAllowance }},
		{"retry_window", `"10s"`, []string{`"10.0s"`, `"1e1s"`}, func(g *Gateway) any { return g.RetryWindow }},
		{"memory_free_within", `"4000ms"`, []string{`"4000.0ms"`, `"4e3ms"`}, func(g *Gateway) any { return g.MemoryFreeWithin }},
		{"memory_idle_within", `"9000ms"`, []string{`"9000.0ms"`, `"9e3ms"`}, func(g *Gateway) any { return g.MemoryIdleWithin }},
		{"processor_limit", `0.06`, []string{`6e-2`, `0.060`}, func(g *Gateway) any { return g.ProcessorLimit }},
		{"link_limit", `"14Mbit"`, []string{`"14.0Mbit"`, `"1.4e1Mbit"`, `"14000kbit"`, `"0.014Gbit"`, `"14000000bit"`}, func(g *Gateway) any { return g.LinkLimit }},
		{"descriptor_limit", `2870`, []string{`2870.0`, `2.87e3`}, func(g *Gateway) any { return g.DescriptorLimit }},
		{"memory_limit", `"184MB"`, []string{`"184.0MB"`, `"1.84e2MB"`}, func(g *Gateway) any { return g.MemoryLimit }},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			is := is.New(t)
			var want Gateway
			is.NoErr(Decode([]byte(validGateway), &want))
			for _, other := range c.others {
				var g Gateway
				text := strings.Replace(validGateway, `"`+c.field+`":`+c.plain, `"`+c.field+`":`+other, 1)
				is.True(text != validGateway)
				is.NoErr(Decode([]byte(text), &g))
				is.Equal(c.got(&g), c.got(&want))
			}
		})
	}
}

func TestRetryAllowanceMayBeFractional(t *testing.T) {
	is := is.New(t)
	var g Gateway
	is.NoErr(Decode([]byte(strings.Replace(validGateway, `:206`, `:44.78`, 1)), &g))
	is.Equal(g.RetryAllowance, 44.78)
	err := Decode([]byte(strings.Replace(validGateway, `:206`, `:"44.78"`, 1)), &g)
	is.Equal(err.Error(), `field "retry_allowance": value "44.78": allowed: a number`)
}

// Guards against a limit of an entry that is misread, so that it refuses everything or nothing, and against an
// error that does not name the setting.
func TestTheLimitsOfAnEntryAreChecked(t *testing.T) {
	for field, values := range map[string][]string{
		"processor_limit":  {`-0.06`, `"0.06"`, `1e9`, `0.0001`},
		"link_limit":       {`14`, `"14"`, `"14MB"`, `"-1Mbit"`, `"1bit"`, `"NaNMbit"`, `"1e300Gbit"`, `"9000000Gbit"`},
		"descriptor_limit": {`-1`, `200`, `"2870"`, `1e15`},
	} {
		plain := map[string]string{"processor_limit": `0.06`, "link_limit": `"14Mbit"`, "descriptor_limit": `2870`}[field]
		for _, value := range values {
			is := is.New(t)
			var g Gateway
			err := Decode([]byte(strings.Replace(validGateway, `"`+field+`":`+plain, `"`+field+`":`+value, 1)), &g)
			is.True(err != nil && strings.Contains(err.Error(), `"`+field+`"`))
		}
		is := is.New(t)
		var g Gateway
		is.NoErr(Decode([]byte(strings.Replace(validGateway, `"`+field+`":`+plain, `"`+field+`":`+map[bool]string{true: `"0bit"`, false: `0`}[field == "link_limit"], 1)), &g))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validAgent))
	f.Fuzz(func(t *testing.T, data []byte) {
		var agent Agent
		if Decode(data, &agent) == nil && len(agent.Check()) != 0 {
			t.Fatal("accepted settings do not pass their own check")
		}
	})
}

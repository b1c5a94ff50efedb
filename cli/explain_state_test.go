package cli

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// requestAtG1 is a request that g1 ended by configuration 8, from 10.1 to 10.3 s.
const requestAtG1 = `{"time":"2026-12-04T10:00:10.1Z","event":"placed","node":"g1","endpoint":"i-1","service":"s","at":29,"request":"q1"}
{"time":"2026-12-04T10:00:10.3Z","event":"request_ended","node":"g1","code":1000,"took_ms":200,"config":8,"route":"r","endpoint":"i-1","prompt_tokens":1,"request":"q1"}
`

// Guards against a request that was decided by an old configuration, without the store, or by a process that had been
// suspended, and whose explanation does not say so.
func TestExplainTellsOfAnOldState(t *testing.T) {
	const newerElsewhere = `{"time":"2026-12-04T10:00:07Z","event":"config_in_force","node":"g2","version":9,"at":31}` + "\n"
	for name, test := range map[string]struct{ log, want, without string }{
		"a later configuration elsewhere": {newerElsewhere + `{"time":"2026-12-04T10:00:12.6Z","event":"config_in_force","node":"g1","version":9,"at":31}`,
			"g1 decided by configuration 8, although g2 had version 9 in force 3.1s before the first line; it had a later one 2.5s after the first line", "store"},
		"a later configuration that it never had": {newerElsewhere, "it has no later one in these logs", "store"},
		"a later configuration elsewhere, but after the request": {`{"time":"2026-12-04T10:00:12Z","event":"config_in_force","node":"g2","version":9,"at":31}`,
			"", "decided by"},
		"no store": {`{"time":"2026-12-04T10:00:05.3Z","event":"store_lost","node":"g1","at":27}`,
			"g1 had not reached the store for 5s when the request ended; it knew the changes up to revision 27 by itself", "decided by"},
		"the store again": {`{"time":"2026-12-04T10:00:05.3Z","event":"store_lost","node":"g1","at":27}
{"time":"2026-12-04T10:00:09Z","event":"store_regained","node":"g1","outage_ms":3700}`, "", "reached"},
		"no store at another node": {`{"time":"2026-12-04T10:00:05.3Z","event":"store_lost","node":"g2","at":27}`, "", "reached"},
		"a new era whose state was not read": {`{"time":"2026-12-04T10:00:09.8Z","event":"store_era","node":"g1","era":"2","before":"1","at":29}`,
			"g1 decided by the state of era 1 of the store: it had noticed era 2 500ms before the request ended", "restored"},
		"a restored store": {`{"time":"2026-12-04T10:00:09.8Z","event":"store_era","node":"g1","era":"2","before":"1","at":29}
{"time":"2026-12-04T10:00:10Z","event":"store_restored","node":"g1","before":"1","era":"2","known":29,"at":22,"lost":7}`,
			"g1 decided by the state of era 2 of the store, which was restored from a copy; it had read that state 300ms before the request ended, 7 revisions before what it had known", "noticed"},
		"a suspension": {`{"time":"2026-12-04T10:00:10.25Z","event":"suspended","node":"g1","for_ms":2900}`,
			"g1 was suspended for 2900 ms until 150ms after the first line", "decided by"},
		"a suspension before": {`{"time":"2026-12-04T10:00:08Z","event":"suspended","node":"g1","for_ms":2900}`, "", "suspended"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out, _ := explain(t, "q1", requestAtG1+test.log+"\n")
			is.Equal(code, exitOK)
			is.True(strings.Contains(out, test.want))
			is.True(!strings.Contains(out, test.without))
		})
	}
}

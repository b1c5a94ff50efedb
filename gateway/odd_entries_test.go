package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"aspenyard.example/changefeed"
)

// oddValues returns values that another writer may leave under a key.
func oddValues() [][]byte {
	var values [][]byte
	add := func(value string) { values = append(values, []byte(value)) }
	sound := map[string]string{
		"service": `"another"`, "address": `"127.0.0.1:9"`, "zone": `"dc1"`, "version": `"v1"`, "slots": "16", "state": `"ready"`, "cold_left_ms": "0", "seq_no": "1", "born": "1700000000000",
	}
	// encoding/json decodes values of up to 10,000 levels.
	deep, deepest := strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000), strings.Repeat("[", 200_000)+strings.Repeat("]", 200_000)
	nested := strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000)
	for field := range sound {
		for _, odd := range []string{
			deep, nested, "123456789012345678901234567890", "1e400", "-1", "9223372036854775807", "0.5", "null", `"` + strings.Repeat("x", 20_000) + `"`, "\"\xff\xfe\"",
			`"127.0.0.1:0"`, `"127.0.0.1:70000"`, `"0.0.0.0:9"`, `"224.0.0.1:9"`, `"[::]:9"`, `"255.255.255.255:9"`, "{}", "[]", "true",
		} {
			entry := "{"
			for name, value := range sound {
				if name == field {
					value = odd
				}
				entry += fmt.Sprintf("%q:%s,", name, value)
			}
			add(strings.TrimSuffix(entry, ",") + "}")
		}
	}
	for _, odd := range []string{"", "null", "[]", deep, deepest, nested, "\xff", `{"addr":"0.0.0.0:9"}`, `{"addr":"127.0.0.1:70000","data_centre":"dc1"}`, `{"addr":` + deep + `}`, `{"addr":"127.0.0.1:9","data_centre":` + deep + `}`} {
		add(odd)
	}
	return values
}

// putOddEntries writes odd values under all prefixes at which entries read lists.
func (s *fixture) putOddEntries() {
	for i, value := range oddValues() {
		for _, prefix := range []string{"servers/", "nodes/", "records/", "op/evacuate/"} {
			s.store.Put(fmt.Sprintf("%sodd-%d", prefix, i), value)
		}
	}
	s.store.Put("servers/", []byte("{}"))
}

// follows fails the test unless an entry knows the next configuration and endpoints that register, and serves.
func (s *fixture) follows(operator *fixture) {
	s.t.Helper()
	is := is.New(s.t)
	operator.configure()
	s.awaitConfig(operator.version)
	newcomer := plainWorker()
	newcomer.ID, newcomer.Service = "i-newcomer", "app"
	is.NoErr(newcomer.Start())
	s.t.Cleanup(newcomer.Stop)
	operator.store.Put("servers/"+newcomer.ID, newcomer.Registration("ready"))
	s.waitFor("the newcomer is known", func() bool { return strings.Contains(s.log.String(), `"endpoint":"i-newcomer"`) })
	operator.store.Delete("servers/" + newcomer.ID)
	for i := range 20 {
		is.Equal(s.post("/again/", fmt.Sprintf("odd-%d", i)).status, http.StatusOK)
	}
}

// Guards against an odd entry of another writer that ends the entries that read the list, or keeps them from following
// it: nested very deeply, with a number too large or a port out of range.
func TestOddEntriesOfOtherWritersDisturbNobody(t *testing.T) {
	t.Run("watched", func(t *testing.T) {
		t.Parallel()
		s := newFixture(t, plainWorker(), plainWorker()).start()
		s.putOddEntries()
		s.follows(s)
	})
	t.Run("at the start, in lists", func(t *testing.T) {
		t.Parallel()
		s := newFixture(t, plainWorker(), plainWorker())
		s.putOddEntries()
		s.store.SetPageItems(7)
		s.start().follows(s)
	})
	t.Run("at the start, in a checkpoint", func(t *testing.T) {
		t.Parallel()
		first := newFixture(t, plainWorker(), plainWorker()).start()
		first.putOddEntries()
		is.New(t).NoErr(first.gateway.MakeCheckpoint(context.Background()))
		second := startBeside(t, first)
		is.New(t).Equal(second.checkpoints("used"), 1)
		second.follows(first)
	})
	t.Run("passed on by another entry", func(t *testing.T) {
		t.Parallel()
		first, second := twoGateways(t, plainWorker(), plainWorker())
		// Entries keep no changes from before their start.
		second.waitFor("both know the same", func() bool {
			return first.sumMetric("aspenyard_gateway_revision ") == second.sumMetric("aspenyard_gateway_revision ")
		})
		for i, cut := range []*fixture{first, second} {
			cut.cutFromStore.Store(true)
			for n, value := range oddValues() {
				if len(value) > changefeed.MaxValueBytes {
					continue // read from the store
				}
				for _, prefix := range []string{"servers/", "nodes/", "records/"} {
					first.store.Put(fmt.Sprintf("%spassed-on-%d", prefix, n), value)
				}
			}
			worker := first.workers[i]
			first.store.Put("servers/"+worker.ID, worker.Registration("draining"))
			first.store.Delete("servers/" + worker.ID)
			for _, event := range []string{"endpoint_leaving", "endpoint_gone"} {
				line := fmt.Sprintf(`"event":%q,"node":%q,"role":"gateway","endpoint":%q`, event, []string{"g1", "g2"}[i], worker.ID)
				cut.waitFor(event, func() bool { return strings.Contains(cut.log.String(), line) })
			}
			first.store.Put("servers/"+worker.ID, worker.Registration("ready"))
			cut.cutFromStore.Store(false)
		}
		first.putOddEntries()
		first.follows(first)
		second.awaitConfig(first.version)
	})
	t.Run("thousands", func(t *testing.T) {
		t.Parallel()
		s := newFixture(t, plainWorker(), plainWorker()).start()
		for i := range 4000 {
			s.store.Put(fmt.Sprintf("servers/odd-%d", i), bytes.Repeat([]byte("["), 2000))
		}
		s.follows(s)
	})
}

package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"aspenyard.example/directory"
	"aspenyard.example/gateway"
)

// startBeside starts another gateway on a fixture's store.
func startBeside(t *testing.T, first *fixture) *fixture {
	t.Helper()
	s := newFixture(t)
	s.store, s.version = first.store, first.version
	s.extraSettings += `,"name":"g2"`
	return s.start()
}

// checkpoints returns the number of checkpoints with a result.
func (s *fixture) checkpoints(result string) int {
	return int(s.sumMetric(`aspenyard_gateway_checkpoints_total{result="` + result + `"}`))
}

const listCalls = `aspenyard_gateway_store_calls_total{kind="list"`

// Guards against entries that all start at once and delay each other by reading every item: they read the
// checkpoint, and what changed since then.
func TestAnEntryStartsFromTheCheckpoint(t *testing.T) {
	is := is.New(t)
	first := newFixture(t, plainWorker(), plainWorker(), plainWorker()).start()
	is.NoErr(first.gateway.MakeCheckpoint(context.Background()))
	first.store.Delete("servers/" + first.workers[0].ID)
	first.keys = append(first.keys, "later")
	former := first.version
	first.configure()
	second := startBeside(t, first)
	is.Equal(second.checkpoints("used"), 1)
	is.Equal(second.sumMetric(listCalls), 0.0)
	is.Equal(second.sumMetric("aspenyard_gateway_endpoints "), 2.0)
	is.Equal(int(second.sumMetric("aspenyard_gateway_config_version ")), first.version)
	second.waitFor("the log line", func() bool { return strings.Contains(second.log.String(), `"config_in_force"`) })
	is.True(!strings.Contains(second.log.String(), fmt.Sprintf(`"version":%d,`, former))) // it was never in force here
}

// Guards against a start from a checkpoint that cannot be brought up to date, or that is damaged.
func TestACheckpointThatCannotBeUsedIsPassedOver(t *testing.T) {
	is := is.New(t)
	first := newFixture(t, plainWorker(), plainWorker()).start()
	is.NoErr(first.gateway.MakeCheckpoint(context.Background()))
	first.store.Delete("servers/" + first.workers[0].ID)
	first.store.Compact()
	second := startBeside(t, first)
	is.Equal(second.checkpoints("outdated"), 1)
	is.Equal(second.sumMetric("aspenyard_gateway_endpoints "), 1.0)
	first.store.Put("state/checkpoint", []byte("damaged"))
	third := startBeside(t, first)
	is.Equal(third.checkpoints("invalid"), 1)
	is.Equal(third.sumMetric("aspenyard_gateway_endpoints "), 1.0)
	third.waitFor("the log line", func() bool { return strings.Contains(third.log.String(), `"checkpoint_refused"`) })
}

// BenchmarkCheckpoint measures encoding and decoding a checkpoint, and reports its size.
func BenchmarkCheckpoint(b *testing.B) {
	for _, size := range []struct{ endpoints, entries, accounts int }{{100, 31, 24}, {686, 341, 333}, {1372, 682, 666}, {10_000, 3800, 48_000}} {
		b.Run(fmt.Sprintf("endpoints=%d/entries=%d/accounts=%d", size.endpoints, size.entries, size.accounts), func(b *testing.B) {
			var items []directory.Item
			for i := range size.endpoints {
				items = append(items, directory.Item{
					Key:   fmt.Sprintf("servers/i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24),
					Value: fmt.Appendf(nil, `{"service":"model","address":"10.%d.64.%d:8706","zone":"zone-%c","version":"v1","slots":10,"state":"ready","cold_left_ms":0,"seq_no":%d}`, i%7, i%251, 'a'+i%9, i%13),
					At:    directory.At(0, uint64(1000+i)),
				})
			}
			for i := range size.entries {
				items = append(items, directory.Item{Key: fmt.Sprintf("nodes/edge-%d", i), Value: fmt.Appendf(nil, `{"addr":"10.%d.%d.%d:7340","data_centre":"zone-%c"}`, i%7, i/251, i%251, 'a'+i%9), At: directory.At(0, uint64(i))})
			}
			var config strings.Builder
			for i := range size.accounts {
				fmt.Fprintf(&config, `{"name":"account-%d","api_keys":["%020x"]},`, i, uint64(i)*0x9e3779b97f4a7c15)
			}
			items = append(items, directory.Item{Key: "op/config", Value: []byte(config.String())})
			size := 0
			for b.Loop() {
				data, err := gateway.EncodeCheckpoint(directory.At(0, 7), items)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := gateway.DecodeCheckpoint(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

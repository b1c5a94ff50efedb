package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sampleLog = `  1.2 edge-1 {"level":"info","time":"2026-04-12T21:25:27.5Z","event":"attempt_failed","node":"g1","endpoint":"i-1","outcome":"broken","arrivals":1,"next":"fail","ended_by":"stop","error":"read answer: EOF","request":"q1"}
{"level":"info","time":"2026-04-12T21:25:27.4Z","event":"placed","node":"g1","endpoint":"i-1","service":"s","at":29,"candidates":23,"cost_ms":22,"prefill_ms":22.1,"helpers":["i-2","i-3"],"request":"q1"}
not a line
{"level":"info","time":"2026-04-12T21:25:27.6Z","event":"request_ended","node":"g1","code":4003,"took_ms":200.5,"config":8,"route":"r","endpoint":"i-1","prompt_tokens":3279,"ran":"unknown","detail":"EOF","retry_after_ms":0,"request":"q1"}
{"level":"info","time":"2026-04-12T21:25:27.6Z","event":"placed","node":"g1","request":"q2"}
`

// explain runs the explain command on a log and returns its exit code and output.
func explain(t *testing.T, request, text string) (code int, out, err string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var o, e bytes.Buffer
	code = run([]string{"explain", request, path}, terminal{out: &o, err: &e})
	return code, o.String(), e.String()
}

func TestExplainPrintsEventsInOrder(t *testing.T) {
	is := is.New(t)
	code, out, _ := explain(t, "q1", sampleLog)
	is.Equal(code, exitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[0], "placed at i-1 of service s, one of 23 candidates in the list at revision 29"))
	is.True(strings.Contains(lines[0], "on each of 3 engines"))
	is.True(strings.Contains(lines[1], "attempt at i-1 failed: broken (read answer: EOF), given up as this node shuts down; next: fail"))
	is.True(strings.Contains(lines[2], "endpoint_failed (4003), HTTP 502; ran: unknown"))
}

// Guards against a refusal whose cause is not told.
func TestExplainNamesTheEvacuatedDataCentres(t *testing.T) {
	is := is.New(t)
	code, out, _ := explain(t, "q1", `{"time":"2026-12-03T20:00:00Z","event":"evacuated_refused","node":"g1","request":"q1","service":"s","endpoints":2,"data_centres":["dc1","dc2"]}`+"\n")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "all 2 endpoints of service s that take requests are in data centres that are evacuated: dc1, dc2"))
}

// Guards against refusals and cut connections that are explained by their event's name alone.
func TestExplainDescribesRegionsAndSlowCallers(t *testing.T) {
	is := is.New(t)
	_, out, _ := explain(t, "q1", `{"time":"2026-04-12T21:25:27.1Z","event":"regions_refused","service":"s","allowed":["eu"],"endpoints":3,"request":"q1"}
{"time":"2026-04-12T21:25:27.2Z","event":"entry_full","bytes":4000000,"held_bytes":27000000,"bound_bytes":28000000,"rank":0.5,"request":"q1"}
{"time":"2026-04-12T21:25:27.2Z","event":"entry_full","resource":"processor","pressure":1.5,"bytes":0,"rank":0.5,"request":"q1"}
{"time":"2026-04-12T21:25:27.2Z","event":"entry_full","resource":"link_received","pressure":0.5,"bytes":4000000,"rank":0.5,"request":"q1"}
{"time":"2026-04-12T21:25:27.2Z","event":"entry_full","resource":"descriptors","pressure":1.1,"bytes":0,"rank":0.5,"request":"q1"}
{"time":"2026-04-12T21:25:27.3Z","event":"caller_cut","reason":"stalled","unwritten_bytes":8192,"request":"q1"}
`)
	is.True(strings.Contains(out, "none of 3 endpoints of service s is in a region that the route and the client account allow ([eu])"))
	is.True(strings.Contains(out, "4000000 bytes more than the 27000000 of 28000000 that the entry holds for callers; rank 0.5"))
	is.True(strings.Contains(out, "short of processor: 1.50 times what it has is asked for; rank 0.5"))
	is.True(strings.Contains(out, "4000000 bytes could not arrive through the entry's link within a third of the remaining time"))
	is.True(strings.Contains(out, "more connections than the entry's descriptors allow: 1.10 times"))
	is.True(strings.Contains(out, "too slow (stalled), with 8192 bytes unwritten"))
}

func TestExplainReportsMissingRequestOrLog(t *testing.T) {
	is := is.New(t)
	code, _, err := explain(t, "nobody", sampleLog)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(err, `no lines for request "nobody"`))
	code, _, err = explain(t, "q1", "hello\n")
	is.Equal(code, exitFailed)
	is.True(strings.Contains(err, "no log lines"))
	var o, e bytes.Buffer
	is.Equal(run([]string{"explain", "q1", "/nowhere"}, terminal{out: &o, err: &e}), exitFailed)
	is.Equal(run([]string{"explain"}, terminal{out: &o, err: &e}), exitUsage)
}

// Unknown fields at the top level of a catalogue file are errors, as they are in records.
func TestUnknownFieldInCatalogueFileIsRejected(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"citara", "keelung"} {
		data, err := os.ReadFile("../examples/" + name + "/catalogue.json")
		is.NoErr(err)
		path := filepath.Join(t.TempDir(), "catalogue.json")
		is.NoErr(os.WriteFile(path, []byte(strings.Replace(string(data), "{", `{"added": 1,`, 1)), 0o600))
		var o, e bytes.Buffer
		is.Equal(run([]string{"check", path}, terminal{out: &o, err: &e}), exitFailed)
		is.True(strings.Contains(o.String(), `"added"`))
	}
}

func TestDaysAreReported(t *testing.T) {
	is := is.New(t)
	entry := `{"cmd":"score","at":["2026-12-02T20:59:46Z"],"site":"s","head":"0123456789","why":"a|b","score":0.5,"argv":["--no-cpu"],
"days":[{"G":0.6,"name":"quiet-1","gate":true,"rules":{},"by_class":[0.9,null],"prices":[["calls",3,0.01],["none",0,0]]},{"G":0.4,"name":"scale-1","rules":{"LOST":1}}]}`
	dir := t.TempDir()
	path := filepath.Join(dir, "e.json")
	is.NoErr(os.WriteFile(path, []byte(entry), 0o600))
	var o, e bytes.Buffer
	is.Equal(run([]string{"report", "days", "--out", dir, path}, terminal{out: &o, err: &e}), exitOK)
	page, err := os.ReadFile(filepath.Join(dir, "days.md"))
	is.NoErr(err)
	is.True(strings.Contains(string(page), "| 1 | 01234567 | 0.500 | 0.500 | scale-1 0.400 | 0.900 | 0.005 | not charged | a/b |"))
	_, err = os.Stat(filepath.Join(dir, "s-worth.svg"))
	is.NoErr(err)
	is.Equal(run([]string{"report", "days", "--out", dir, filepath.Join(dir, "days.md")}, terminal{out: &o, err: &e}), exitFailed)
}

const sampleLossLog = `{"level":"info","time":"2026-04-12T21:25:20Z","event":"start","node":"g1"}
{"level":"info","time":"2026-04-12T21:25:27.4Z","event":"placed","node":"g1","endpoint":"i-1","service":"s","prefill_ms":300,"helpers":["i-2"],"request":"long1"}
{"level":"info","time":"2026-04-12T21:25:27.9Z","event":"request_ended","node":"g1","code":1000,"took_ms":500,"route":"long","endpoint":"i-1","prompt_tokens":150000,"late":"no","first_ms":400,"gap_ms":50,"gap_end_ms":450,"request":"long1"}
{"level":"info","time":"2026-04-12T21:25:27Z","event":"placed","node":"g1","endpoint":"i-2","service":"s","prefill_ms":20,"helpers":[],"request":"q1"}
{"level":"info","time":"2026-04-12T21:25:28Z","event":"request_ended","node":"g1","code":1000,"took_ms":1000,"route":"short","endpoint":"i-2","prompt_tokens":5000,"late":"pause","first_ms":100,"gap_ms":350,"gap_end_ms":800,"request":"q1"}
{"level":"info","time":"2026-04-12T21:25:29Z","event":"request_ended","node":"g1","code":3004,"took_ms":1,"route":"short","endpoint":"","prompt_tokens":5000,"ran":"no","request":"q2"}
`

// Each refusal is attributed to the reason that the log gives, and counted by the length of
// the prompt.
func TestLossesAreReportedByPromptSize(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	var log strings.Builder
	for i := range 20 {
		reason := [...]string{
			`"event":"queue_refused","expected_ms":4000`, `"event":"capacity_refused","prefill_ms":900`,
			`"event":"memory_reserved","tokens":5,"needed":10`, `"event":"attempt_failed"`,
		}[i%4]
		fmt.Fprintf(&log, `{"time":"2026-04-12T21:25:20Z","node":"g1","request":"r%d",%s}`+"\n", i, reason)
		fmt.Fprintf(&log, `{"time":"2026-04-12T21:25:20Z","node":"g1","request":"r%d","event":"request_ended","code":3004,"route":"long","prompt_tokens":%d}`+"\n", i, 1000*(i+1))
	}
	path := filepath.Join(dir, "log")
	is.NoErr(os.WriteFile(path, []byte(log.String()), 0o600))
	var o, e bytes.Buffer
	is.Equal(run([]string{"report", "losses", "--out", dir, "--name", "day", path}, terminal{out: &o, err: &e}), exitOK)
	page, err := os.ReadFile(filepath.Join(dir, "day.md"))
	is.NoErr(err)
	is.True(strings.Contains(string(page), "| long | fifth 1 | 1000 to 4000 | 4 | 0 | 0 | 1 | 1 | 1 | 1 | 0 | 0 | 4000 | 0 |"))
	is.True(strings.Contains(string(page), "| long | largest tenth | 19000 to 20000 | 2 | 0 | 0 | 0 | 0 | 1 | 1 | 0 |"))
}

func TestLossesAreReportedFromLogs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	log, played := filepath.Join(dir, "log"), filepath.Join(dir, "played.json")
	is.NoErr(os.WriteFile(log, []byte(sampleLossLog), 0o600))
	is.NoErr(os.WriteFile(played, []byte(`{"G":0.75,"classes":[{"name":"short","n":2,"worth":0.5}],"prices":[["orders",3,0.01]]}`), 0o600))
	var o, e bytes.Buffer
	is.Equal(run([]string{"report", "losses", "--out", dir, "--name", "day", "--played", played, log}, terminal{out: &o, err: &e}), exitOK)
	page, err := os.ReadFile(filepath.Join(dir, "day.md"))
	is.NoErr(err)
	for _, text := range []string{"Worth 0.750", "pause: parts of long | 1 |", "refused | 1 |", "| long | 1 | 150000 | 1 | nothing"} {
		is.True(strings.Contains(string(page), text))
	}
	is.NoErr(os.WriteFile(played, []byte(`{}`), 0o600))
	is.Equal(run([]string{"report", "losses", "--out", dir, "--played", played, log}, terminal{out: &o, err: &e}), exitFailed)
	is.True(strings.Contains(e.String(), "no worth"))
	is.Equal(run([]string{"report", "losses", "--out", dir, "/nowhere"}, terminal{out: &o, err: &e}), exitFailed)
}

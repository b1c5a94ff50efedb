package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// addTestPart adds a part of a prompt that has a second part at another engine.
func addTestPart(e *engine, prefill time.Duration) *job {
	j := &job{unfinishedParts: 2}
	e.addPart(prefillPart{j, prefill, 1000})
	return j
}

// While no request decodes, an engine prefills the newest part first and then resumes the
// older one where it was interrupted.
func TestEnginePrefillsTheNewestPartFirst(t *testing.T) {
	is := is.New(t)
	sim := &simulation{config: &Config{Engine: testEngine()}}
	e := &engine{sim: sim, spec: &sim.config.Engine, slowdown: 1}
	var older, newer *job
	sim.AfterFunc(0, func() { older = addTestPart(e, 300*time.Millisecond) })
	sim.AfterFunc(100*time.Millisecond, func() { newer = addTestPart(e, 200*time.Millisecond) })
	sim.AfterFunc(310*time.Millisecond, func() {
		is.Equal(newer.unfinishedParts, 1)
		is.Equal(older.unfinishedParts, 2)
	})
	sim.AfterFunc(500*time.Millisecond, func() { is.Equal(older.unfinishedParts, 2) })
	sim.AfterFunc(510*time.Millisecond, func() { is.Equal(older.unfinishedParts, 1) })
	sim.RunUntil(time.Second)
	is.Equal(older.unfinishedParts, 1)
}

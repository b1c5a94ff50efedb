package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// give sends an engine a part of a prompt that others read parts of too.
func give(e *engine, prefill time.Duration) *job {
	j := &job{missing: 2}
	e.take(part{j, prefill, 1000})
	return j
}

// Engines read the newest part first while nobody decodes there, and take up the older one
// where they left it.
func TestEnginePrefillsTheNewestPartFirst(t *testing.T) {
	is := is.New(t)
	w := &world{config: &Config{Engine: siteEngine()}}
	e := &engine{world: w, model: &w.config.Engine, pace: 1}
	var older, newer *job
	w.AfterFunc(0, func() { older = give(e, 300*time.Millisecond) })
	w.AfterFunc(100*time.Millisecond, func() { newer = give(e, 200*time.Millisecond) })
	w.AfterFunc(310*time.Millisecond, func() {
		is.Equal(newer.missing, 1)
		is.Equal(older.missing, 2)
	})
	w.AfterFunc(500*time.Millisecond, func() { is.Equal(older.missing, 2) })
	w.AfterFunc(510*time.Millisecond, func() { is.Equal(older.missing, 1) })
	w.RunUntil(time.Second)
	is.Equal(older.missing, 1)
}

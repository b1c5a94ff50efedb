package routing

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/admission"
)

func TestQueueDelayCountsOnlyWorkAhead(t *testing.T) {
	is := is.New(t)
	e := endpoint("a")
	e.Backlog[admission.LevelOf(admission.Bulk, 200_000)] = 200_000
	is.Equal(QueueDelay{}.Cost(request(1000), &e), 0.0) // urgent short work goes first
	e.Backlog[admission.LevelOf(admission.Urgent, 1000)] = 20_000
	is.Equal(QueueDelay{}.Cost(request(1000), &e), 1.0) // one second of prefill
}

func TestInterferenceChargesOvertaking(t *testing.T) {
	is := is.New(t)
	e := endpoint("a")
	scorer := Interference{Weight: 3}
	is.Equal(scorer.Cost(request(2000), &e), 0.0)
	e.Backlog[admission.LevelOf(admission.Bulk, 200_000)] = 200_000
	is.Equal(scorer.Cost(request(2000), &e), 0.3) // three times the 0.1 s by which the long prompt is delayed
}

func TestCapacityWait(t *testing.T) {
	is := is.New(t)
	e := endpoint("a")
	is.Equal(CapacityWait{}.Cost(request(1000), &e), 0.0)
	e.Running = 33
	is.Equal(CapacityWait{}.Cost(request(1000), &e), 0.5) // two more than a batch of 32 takes
	e.Running, e.FreeMemory = 0, 80_000
	is.Equal(CapacityWait{}.Cost(request(100_000), &e), 1.0) // 20,000 tokens are missing
}

func TestDistance(t *testing.T) {
	is := is.New(t)
	e := endpoint("a")
	is.Equal(Distance{0.002}.Cost(request(1), &e), 0.0)
	e.DataCentre = "dc2"
	is.Equal(Distance{0.002}.Cost(request(1), &e), 0.002)
}

func TestPrefixIndexFindsTheLongestSharedPrefix(t *testing.T) {
	is := is.New(t)
	shared := strings.Repeat("tie ", 2048)
	one := &Request{Prefix: PrefixHashes(shared+strings.Repeat("one ", 2048), 4)}
	two := &Request{Prefix: PrefixHashes(shared+strings.Repeat("two ", 2048), 4)}
	index := NewPrefixIndex(100)
	index.Record(one, "a")
	is.Equal(index.CachedTokens(two, "a"), 2048)
	is.Equal(index.CachedTokens(two, "b"), 0)
	is.Equal(index.CachedTokens(one, "a"), 4096)
	is.True(PrefixAffinity{index}.Cost(two, &Endpoint{Name: "a", PrefillRate: 2048}) == -1) // one second saved
}

func TestPrefixIndexIsBounded(t *testing.T) {
	is := is.New(t)
	index := NewPrefixIndex(3)
	for hash := range uint64(10) {
		index.Record(&Request{Prefix: []uint64{hash}}, "a")
	}
	is.Equal(index.CachedTokens(&Request{Prefix: []uint64{0}}, "a"), 0)
	is.Equal(index.CachedTokens(&Request{Prefix: []uint64{9}}, "a"), 1024)
}

func TestDispatchesAreCountedSinceTheReport(t *testing.T) {
	is := is.New(t)
	d := NewRecentDispatches(10 * time.Second)
	d.Record(testNow, request(1000), "a")
	d.Record(testNow.Add(2*time.Second), request(3000), "a")
	is.Equal(d.BacklogSince("a", testNow.Add(time.Second)).Total(), 3000)
	count, memory := d.CountSince("a", testNow.Add(-time.Second))
	is.Equal(count, 2)
	is.Equal(memory, 4000)
	d.Record(testNow.Add(time.Minute), request(1), "a") // removes old dispatches
	is.Equal(d.BacklogSince("a", testNow.Add(-time.Second)).Total(), 1)
}

// Package changefeed spreads the changes of the platform's store among the entries, so that few of them
// call the store. A few entries, the watchers, watch the store; the others, the followers, ask a watcher
// every so often for the changes after the revision that they have.
//
// A response also proves how current the follower is. The responder states the age of its own proof: the
// time since the call to the store began that confirmed its state, or since the proof that another entry
// gave it. The follower subtracts that age from the time at which it asked, by its own clock. The clocks
// of both go on while a machine is suspended. A suspension or a delay at any point, a response that comes
// late, twice or out of order therefore makes a follower count as less current than it is, never as more.
//
// Nothing waits for a watcher. A follower whose proof becomes too old calls the store itself, and entries
// that disagree about who watches only make some calls too many. The package does no input or output; it
// is given the time since boot and the responses.
package changefeed

import (
	"slices"
	"sync"
	"time"

	"aspenyard.example/directory"
)

const (
	// maxLogItems bounds the changes that a log keeps, of some hundred bytes each. A follower that is
	// further behind asks the store.
	maxLogItems = 1024
	// MaxValueBytes is the length of a value from which it is omitted: followers read it from the store
	// themselves. A configuration does not fit into a datagram.
	MaxValueBytes = 700
	// maxChunkBytes bounds a chunk, so that it fits into one packet of an Ethernet with its headers.
	maxChunkBytes = 1100
	// maxChunks bounds the chunks of one response. The follower then asks for the rest.
	maxChunks = 8
	// itemOverheadBytes is the encoded size of an item without key and value.
	itemOverheadBytes = 16
)

// Log keeps the last changes of the store, as an entry received them, for the entries that ask for them.
// It is safe for concurrent use. Times are those since boot.
type Log struct {
	mu    sync.Mutex
	items []directory.Item // ascending by revision
	// The log holds all changes with revisions above from, up to and including to.
	from, to uint64
	// provenAt is the time as of which the log holds all changes; 0 if there is no proof.
	provenAt time.Duration
	// outageEndedAt is when the store answered again after its last outage; 0 if it had none.
	outageEndedAt time.Duration
}

// Reset empties the log after a full read of the store as of a revision.
func (l *Log) Reset(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.to {
		return
	}
	l.items, l.from, l.to = nil, revision, revision
}

// Append adds the changes that follow the log's last revision, up to and including revision.
func (l *Log) Append(items []directory.Item, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.to {
		return
	}
	known := len(l.items)
	for _, item := range items {
		if item.Revision <= l.to {
			continue
		}
		if len(item.Value) > MaxValueBytes {
			item.Value, item.Omitted = nil, true
		}
		l.items = append(l.items, item)
	}
	l.to = revision
	slices.SortStableFunc(l.items[known:], func(a, b directory.Item) int {
		return compareRevisions(a.Revision, b.Revision)
	})
	if excess := len(l.items) - maxLogItems; excess > 0 {
		l.from = l.items[excess-1].Revision
		for excess < len(l.items) && l.items[excess].Revision == l.from {
			excess++
		}
		l.items = slices.Clone(l.items[excess:])
	}
}

func compareRevisions(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Prove records that the log holds all changes as of a time.
func (l *Log) Prove(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.provenAt = max(l.provenAt, at)
}

// SetOutageEnd records when the store answered again after an outage.
func (l *Log) SetOutageEnd(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outageEndedAt = max(l.outageEndedAt, at)
}

// Chunk is a part of a response, of the size of a datagram.
type Chunk struct {
	// Items are all changes with revisions above From, up to and including To.
	From, To uint64
	Items    []directory.Item
	// Last is set in the last chunk of a response, Complete if the responder knows no later changes.
	// Only then Age holds: the responder's state was current that long ago.
	Last, Complete bool
	Age            time.Duration
	// TooOld is set if the log does not reach back to the follower's revision.
	TooOld bool
	// OutageAge is the time since the store answered again after its last outage; 0 if it had none.
	OutageAge time.Duration
}

// Valid reports whether the values of a chunk are possible: no negative ages, and changes that ascend
// within the chunk's range.
func (c *Chunk) Valid() bool {
	if c.Age < 0 || c.OutageAge < 0 {
		return false
	}
	last := c.From
	for i := range c.Items {
		revision := c.Items[i].Revision
		if revision <= c.From || revision > c.To || revision < last {
			return false
		}
		last = revision
	}
	return true
}

// After returns the chunk's changes for an entry that has all changes up to a revision, and the revision
// that it has with them. They end before the first change whose value is omitted and not known by other
// means, which is returned too. If ok is false, changes in between are missing.
func (c *Chunk) After(revision uint64, known func(key string, revision uint64) bool) (items []directory.Item, to uint64, omitted *directory.Item, ok bool) {
	if c.From > revision {
		return nil, revision, nil, false
	}
	for i := range c.Items {
		item := &c.Items[i]
		switch {
		case item.Revision <= revision:
		case item.Omitted && !known(item.Key, item.Revision):
			return items, max(item.Revision-1, revision), item, true
		default:
			items = append(items, *item)
		}
	}
	return items, max(c.To, revision), nil, true
}

// Respond returns the changes after a revision in chunks, oldest first. It returns none if the log has no
// proof yet.
func (l *Log) Respond(now time.Duration, after uint64) []Chunk {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.provenAt == 0 {
		return nil
	}
	if after < l.from {
		return []Chunk{{From: after, To: after, Last: true, TooOld: true}}
	}
	first, _ := slices.BinarySearchFunc(l.items, after+1, func(item directory.Item, revision uint64) int {
		return compareRevisions(item.Revision, revision)
	})
	chunks, rest := splitChunks(after, l.items[first:])
	last := &chunks[len(chunks)-1]
	last.Last = true
	if l.outageEndedAt > 0 {
		last.OutageAge = now - l.outageEndedAt
	}
	if rest == 0 {
		last.To, last.Complete, last.Age = max(l.to, after), true, now-l.provenAt
		if l.to < after {
			last.To = l.to
		}
	}
	return chunks
}

// splitChunks divides items into at most maxChunks chunks and returns how many items are left over. The
// changes of one revision are not divided.
func splitChunks(after uint64, items []directory.Item) (chunks []Chunk, rest int) {
	chunk := Chunk{From: after, To: after}
	size := 0
	for len(items) > 0 {
		n, bytes := 0, 0
		for n < len(items) && items[n].Revision == items[0].Revision {
			bytes += len(items[n].Key) + len(items[n].Value) + itemOverheadBytes
			n++
		}
		if size > 0 && size+bytes > maxChunkBytes {
			chunks = append(chunks, chunk)
			if len(chunks) == maxChunks {
				return chunks, len(items)
			}
			chunk, size = Chunk{From: chunk.To, To: chunk.To}, 0
		}
		chunk.Items = append(chunk.Items, items[:n]...)
		chunk.To = items[0].Revision
		size += bytes
		items = items[n:]
	}
	return append(chunks, chunk), 0
}

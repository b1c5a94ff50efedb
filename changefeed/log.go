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
	// themselves, beside the changes that follow it. A configuration does not fit into a datagram.
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
	// The log holds all changes after from, up to and including to.
	from, to directory.Position
	// restored is set once the store has begun a new era.
	restored bool
	// provenAt is the time as of which the log holds all changes; 0 if there is no proof.
	provenAt time.Duration
	// outageEndedAt is when the store answered again after its last outage; 0 if it had none.
	outageEndedAt time.Duration
}

// Reset empties the log after a full read of the store as of a position.
func (l *Log) Reset(at directory.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Era() < l.to.Era() || l.to.After(at) {
		return
	}
	if !at.SameEra(l.to) {
		l.restored, l.provenAt = !l.to.IsZero(), 0
	}
	l.items, l.from, l.to = nil, at, at
}

// Append adds the changes that follow the log's last position, up to and including at. Changes of another
// era are ignored: they do not follow it.
func (l *Log) Append(items []directory.Item, at directory.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !at.AtLeast(l.to) {
		return
	}
	known := len(l.items)
	for _, item := range items {
		if !item.At.After(l.to) {
			continue
		}
		if len(item.Value) > MaxValueBytes {
			item.Value, item.Omitted = nil, true
		}
		l.items = append(l.items, item)
	}
	l.to = at
	slices.SortStableFunc(l.items[known:], func(a, b directory.Item) int { return a.At.Compare(b.At) })
	if excess := len(l.items) - maxLogItems; excess > 0 {
		l.from = l.items[excess-1].At
		for excess < len(l.items) && l.items[excess].At == l.from {
			excess++
		}
		l.items = slices.Clone(l.items[excess:])
	}
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
	// Items are all changes after From, up to and including To, which lie in one era.
	From, To directory.Position
	Items    []directory.Item
	// Last is set in the last chunk of a response, Complete if the responder knows no later changes.
	// Only then Age holds: the responder's state was current that long ago.
	Last, Complete bool
	Age            time.Duration
	// TooOld is set if the log does not reach back to the follower's position, or is of another era.
	TooOld bool
	// OutageAge is the time since the store answered again after its last outage; 0 if it had none.
	OutageAge time.Duration
}

// Era returns the era of the responder.
func (c *Chunk) Era() directory.Era { return c.To.Era() }

// Valid reports whether the values of a chunk are possible: no negative ages, and changes that ascend
// within the chunk's range.
func (c *Chunk) Valid() bool {
	if c.Age < 0 || c.OutageAge < 0 || !c.From.SameEra(c.To) {
		return false
	}
	last := c.From
	for i := range c.Items {
		at := c.Items[i].At
		if !at.After(c.From) || !c.To.AtLeast(at) || !at.AtLeast(last) {
			return false
		}
		last = at
	}
	return true
}

// After returns the chunk's changes for an entry that has all changes up to a position, and the position
// that it has with them. Those whose values are omitted are among them. If ok is false, changes in between are
// missing, or the chunk is of another era.
func (c *Chunk) After(have directory.Position) (items []directory.Item, to directory.Position, ok bool) {
	if !have.AtLeast(c.From) {
		return nil, have, false
	}
	for _, item := range c.Items {
		if !have.AtLeast(item.At) {
			items = append(items, item)
		}
	}
	return items, have.Later(c.To), true
}

// Respond returns the changes after a position in chunks, oldest first. It returns none if the log has no
// proof yet.
func (l *Log) Respond(now time.Duration, after directory.Position) []Chunk {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.provenAt == 0 {
		return nil
	}
	if after.Era() == 0 && !l.restored {
		// Entries of earlier versions state no era. Without a loss revisions are enough.
		after = directory.At(l.to.Era(), after.Revision())
	}
	if !after.AtLeast(l.from) {
		return []Chunk{{From: l.to, To: l.to, Last: true, TooOld: true}}
	}
	first, _ := slices.BinarySearchFunc(l.items, after, func(item directory.Item, after directory.Position) int {
		if item.At.After(after) {
			return 1
		}
		return -1
	})
	chunks, rest := splitChunks(after, l.items[first:])
	last := &chunks[len(chunks)-1]
	last.Last = true
	if l.outageEndedAt > 0 {
		last.OutageAge = now - l.outageEndedAt
	}
	if rest == 0 {
		last.To, last.Complete, last.Age = l.to, true, now-l.provenAt
	}
	return chunks
}

// splitChunks divides items into at most maxChunks chunks and returns how many items are left over. The
// changes of one revision are not divided.
func splitChunks(after directory.Position, items []directory.Item) (chunks []Chunk, rest int) {
	chunk := Chunk{From: after, To: after}
	size := 0
	for len(items) > 0 {
		n, bytes := 0, 0
		for n < len(items) && items[n].At == items[0].At {
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
		chunk.To = items[0].At
		size += bytes
		items = items[n:]
	}
	return append(chunks, chunk), 0
}

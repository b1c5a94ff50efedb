package storewatch

import (
	"math"
	"time"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
	"aspenyard.example/wire"
)

// EncodeChunk returns a chunk in the form that heartbeats carry. Its age is rounded up.
func EncodeChunk(nonce uint64, c *changefeed.Chunk) *wire.FeedResponse {
	encoded := &wire.FeedResponse{
		Nonce: nonce, Era: uint64(c.Era()), From: c.From.Revision(), To: c.To.Revision(), Last: c.Last, Complete: c.Complete, TooOld: c.TooOld,
		AgeMs: uint64((c.Age + time.Millisecond - 1).Milliseconds()), OutageAgeMs: uint64(c.OutageAge.Milliseconds()),
	}
	for _, i := range c.Items {
		encoded.Items = append(encoded.Items, EncodeItem(i))
	}
	return encoded
}

func EncodeItem(i directory.Item) *wire.FeedItem {
	return &wire.FeedItem{Key: i.Key, Value: i.Value, Revision: i.At.Revision(), Deleted: i.Deleted, Omitted: i.Omitted}
}

func DecodeItem(era directory.Era, i *wire.FeedItem) directory.Item {
	return directory.Item{Key: i.Key, Value: i.Value, At: directory.At(era, i.Revision), Deleted: i.Deleted, Omitted: i.Omitted}
}

// DecodeChunk returns the chunk that a heartbeat carries.
func DecodeChunk(encoded *wire.FeedResponse) changefeed.Chunk {
	era := directory.Era(encoded.Era)
	c := changefeed.Chunk{
		From: directory.At(era, encoded.From), To: directory.At(era, encoded.To), Last: encoded.Last, Complete: encoded.Complete, TooOld: encoded.TooOld,
		Age: durationOf(encoded.AgeMs), OutageAge: durationOf(encoded.OutageAgeMs),
	}
	for _, i := range encoded.Items {
		c.Items = append(c.Items, DecodeItem(era, i))
	}
	return c
}

// durationOf returns a duration that another entry states, negative if it is impossibly long.
func durationOf(ms uint64) time.Duration {
	if ms > uint64(math.MaxInt64/time.Millisecond) {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

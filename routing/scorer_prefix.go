package routing

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// prefixLengths are the lengths of the prefixes that are hashed, in tokens.
var prefixLengths = []int{1 << 10, 1 << 11, 1 << 12, 1 << 13, 1 << 14, 1 << 15, 1 << 16, 1 << 17, 1 << 18, 1 << 19}

// PrefixHashes hashes the prefixes of a prompt at lengths that double from 1,024 tokens, so
// that a few hashes tell how much two prompts share.
func PrefixHashes(prompt string, bytesPerToken int) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	done := 0
	for _, tokens := range prefixLengths {
		end := tokens * bytesPerToken
		if end > len(prompt) {
			break
		}
		_, _ = digest.WriteString(prompt[done:end])
		done = end
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// PrefixIndex records to which endpoints this entry has sent each prefix. When it is full,
// it removes the least recently used prefix. The engines' own cache events arrive late and with
// gaps, and an entry's own picks give nearly the same information; a wrong record only
// costs a little time. It is safe for concurrent use.
type PrefixIndex struct {
	mu      sync.Mutex
	size    int
	entries map[uint64]*list.Element
	recent  *list.List
}

type prefixEntry struct {
	hash      uint64
	endpoints [endpointsPerPrefix]string
}

// endpointsPerPrefix is the number of endpoints that are recorded for one prefix.
const endpointsPerPrefix = 3

// NewPrefixIndex returns an empty index of at most size prefixes.
func NewPrefixIndex(size int) *PrefixIndex {
	return &PrefixIndex{size: size, entries: map[uint64]*list.Element{}, recent: list.New()}
}

// Record records that the request's prompt was sent to an endpoint.
func (x *PrefixIndex) Record(r *Request, endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, hash := range r.Prefix {
		x.record(hash, endpoint)
	}
}

func (x *PrefixIndex) record(hash uint64, endpoint string) {
	element := x.entries[hash]
	if element == nil {
		element = x.recent.PushFront(&prefixEntry{hash: hash})
		x.entries[hash] = element
		if x.recent.Len() > x.size {
			oldest := x.recent.Remove(x.recent.Back()).(*prefixEntry)
			delete(x.entries, oldest.hash)
		}
	}
	x.recent.MoveToFront(element)
	entry := element.Value.(*prefixEntry)
	for i, name := range entry.endpoints {
		if name == endpoint || i == endpointsPerPrefix-1 {
			copy(entry.endpoints[1:i+1], entry.endpoints[:i])
			entry.endpoints[0] = endpoint
			return
		}
	}
}

// CachedTokens estimates how many tokens of the prompt an endpoint has cached.
func (x *PrefixIndex) CachedTokens(r *Request, endpoint string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(r.Prefix) - 1; i >= 0; i-- {
		element := x.entries[r.Prefix[i]]
		if element == nil {
			continue
		}
		for _, name := range element.Value.(*prefixEntry).endpoints {
			if name == endpoint {
				return prefixLengths[i]
			}
		}
	}
	return 0
}

// PrefixAffinity subtracts the prefill time that an endpoint's prefix cache saves.
type PrefixAffinity struct {
	Index *PrefixIndex
}

// Cost implements Scorer.
func (s PrefixAffinity) Cost(r *Request, e *Endpoint) float64 {
	if len(r.Prefix) == 0 {
		return 0
	}
	return -float64(s.Index.CachedTokens(r, e.Name)) / prefillRate(e)
}

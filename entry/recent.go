package entry

import (
	"container/list"
	"sync"

	"aspenyard.example/result"
)

// maxRecentRequests bounds the ended requests that an entry remembers for status
// lookups. Each takes about 200 bytes.
const maxRecentRequests = 10_000

// recentRequests remembers the results of the latest ended requests by request id. It
// is in this entry's memory only; the results of requests that are not repeatable are
// also recorded in the store. It is safe for concurrent use.
type recentRequests struct {
	mu          sync.Mutex
	byID        map[string]*list.Element
	newestFirst *list.List
}

// endedRequest is the remembered result of one request.
type endedRequest struct {
	id, account, key string
	code             result.Code
	ran              result.Ran
}

func newRecentRequests() *recentRequests {
	return &recentRequests{byID: map[string]*list.Element{}, newestFirst: list.New()}
}

func (r *recentRequests) add(c *call, code result.Code, ran result.Ran) {
	if c.account == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[c.id] = r.newestFirst.PushFront(endedRequest{id: c.id, account: c.account.ID, key: c.idempotencyKey, code: code, ran: ran})
	if r.newestFirst.Len() > maxRecentRequests {
		oldest := r.newestFirst.Remove(r.newestFirst.Back()).(endedRequest)
		delete(r.byID, oldest.id)
	}
}

func (r *recentRequests) find(id, account string) (endedRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element := r.byID[id]
	if element == nil {
		return endedRequest{}, false
	}
	found := element.Value.(endedRequest)
	return found, found.account == account
}

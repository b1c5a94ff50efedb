package entry

import (
	"container/list"
	"sync"

	"aspenyard.example/result"
)

// recentLength is how many ended requests an entry remembers for status lookups,
// about 200 bytes each.
const recentLength = 10_000

// recent remembers the results of ended requests by id. It is this entry's
// memory only; requests that may not be repeated are recorded in the store.
type recent struct {
	mu    sync.Mutex
	byID  map[string]*list.Element
	order *list.List
}

type recentCall struct {
	id, account, key string
	code             result.Code
	ran              result.Ran
}

func newRecent() *recent {
	return &recent{byID: map[string]*list.Element{}, order: list.New()}
}

func (r *recent) note(c *call, code result.Code, ran result.Ran) {
	if c.account == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[c.id] = r.order.PushFront(recentCall{id: c.id, account: c.account.ID, key: c.key, code: code, ran: ran})
	if r.order.Len() > recentLength {
		oldest := r.order.Remove(r.order.Back()).(recentCall)
		delete(r.byID, oldest.id)
	}
}

func (r *recent) find(id, account string) (recentCall, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element := r.byID[id]
	if element == nil {
		return recentCall{}, false
	}
	found := element.Value.(recentCall)
	return found, found.account == account
}

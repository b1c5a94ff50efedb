package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/infra"
	"aspenyard.example/membership"
)

const (
	// longPollWait is how long a watch waits at the store before it is renewed.
	longPollWait = 30 * time.Second
	// readerPollInterval is how often an entry without the reader's duty looks for it.
	readerPollInterval = 200 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the wait after a failed read: it
	// doubles, with jitter, so that the store's return is not met by all readers
	// at once.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 5 * time.Second
)

// watchStore watches the catalogue's pages while this entry has the reader's
// duty. An entry that holds it wrongly costs the store a few watches.
func (e *Entry) watchStore(ctx context.Context) {
	var unread atomic.Int64
	unread.Store(catalogue.PageCount)
	for page := range catalogue.PageCount {
		go e.watchPage(ctx, page, &unread)
	}
}

func (e *Entry) watchPage(ctx context.Context, page int, unread *atomic.Int64) {
	revision, read := uint64(0), false
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		if !e.control.isStoreReader.Load() && (read || e.catalogue.Ready()) {
			membership.Sleep(ctx, readerPollInterval)
			continue
		}
		next, err := e.readPage(ctx, page, revision, read)
		if err != nil {
			membership.Sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = minStoreBackoff
		revision = next
		if !read {
			read = true
			if unread.Add(-1) == 0 {
				e.catalogue.SetReady()
			}
		}
	}
}

// readPage reads a page at once the first time and watches it after that.
func (e *Entry) readPage(ctx context.Context, number int, revision uint64, watch bool) (uint64, error) {
	key := catalogue.PageKey(number)
	var value infra.Value
	var err error
	if watch {
		value, err = e.store.Watch(ctx, key, revision, longPollWait)
	} else {
		value, err = e.store.Get(ctx, key)
	}
	if err != nil {
		return 0, err
	}
	page, err := catalogue.DecodePage(value.Data)
	if err != nil {
		e.log.Error("the store holds a page that cannot be read", zap.Int("page", number), zap.Error(err))
		return 0, err
	}
	if value.Revision != revision {
		e.catalogue.PostPage(number, page)
	}
	if value.Revision < revision {
		// A watch of a store that lags returns at once, again and again.
		return revision, errors.Errorf("%s went back from revision %d to %d", key, revision, value.Revision)
	}
	return value.Revision, nil
}

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/infra"
	"aspenyard.example/membership"
)

const (
	// longPollWait is how long the store holds a watch call that sees no change before
	// it returns and is sent again.
	longPollWait = 30 * time.Second
	// readerPollInterval is how often an entry that is not a store reader checks
	// whether it has become one.
	readerPollInterval = 200 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the wait after a failed read. It
	// doubles, with jitter, so that not all readers call at once when the store is
	// back.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 5 * time.Second
)

// watchStore reads and watches the catalogue's pages in the store while this entry is a
// store reader, one goroutine per page. An entry that is wrongly a store reader costs the
// store only a few watch calls.
func (e *Entry) watchStore(ctx context.Context) {
	for page := range catalogue.PageCount {
		go e.watchPage(ctx, page)
	}
}

// watchPage watches one page until ctx ends. An entry that is not a store reader reads nothing
// once it has read the page or the catalogue is ready.
func (e *Entry) watchPage(ctx context.Context, page int) {
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
		revision, read = next, true
	}
}

// readPage returns the page's revision after handing the page to the catalogue. It reads the page
// at once or, with watch set, waits until its revision differs from the given one; an unchanged
// page is not handed over then.
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
		e.log.Error("a catalogue page in the store cannot be decoded", zap.Int("page", number), zap.Error(err))
		return 0, err
	}
	if !watch || value.Revision != revision {
		e.catalogue.PostPage(number, page)
	}
	if value.Revision < revision {
		// The error makes the caller back off: a watch of a store replica that lags
		// behind this revision returns at once each time.
		return revision, errors.Errorf("revision of %s went back from %d to %d", key, revision, value.Revision)
	}
	return value.Revision, nil
}

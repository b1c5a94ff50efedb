package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/infra"
)

// ErrConflict is returned when a record has changed since the editor read it.
var ErrConflict = errors.New("catalogue: the record has changed")

// ErrStalePage is returned when the store answered with an older page than one
// it has given before. Editing that page would undo accepted edits.
var ErrStalePage = errors.New("catalogue: the store answered with an old page")

// PageKey is a page's key in the store.
func PageKey(page int) string {
	return fmt.Sprintf("catalogue/page/%02d", page)
}

// Edit is one operator's change of one record.
type Edit struct {
	// Record is the new value; Record.Deleted removes.
	Record *Record
	// Expect is the revision of the record that the operator has read; 0: there
	// was none.
	Expect uint64
	// ID identifies the edit and must be unique.
	ID string
	// By names the operator; At is the time of the edit.
	By string
	At time.Time
}

// Result of an edit.
type Result struct {
	// Number and Page are the page after the edit.
	Number int
	Page   Page
	// Current is the record as it stands: the new one, or after ErrConflict the
	// one that was in the way (nil: none).
	Current *Record
}

// Apply writes an edit to the store. known is the revision of the page that the
// editing node already has. Errors: ErrConflict with Result.Current, ErrOldStore,
// infra.ErrUnavailable, infra.ErrUnclear when the store was lost before the
// outcome could be read back.
func Apply(ctx context.Context, store infra.Store, edit Edit, known uint64) (Result, error) {
	key := edit.Record.Key()
	result := Result{Number: PageOf(key)}
	update := func(data []byte) ([]byte, bool, error) {
		page, err := DecodePage(data)
		if err != nil {
			return nil, false, err
		}
		if page.Revision < known {
			return nil, false, errors.Wrapf(ErrStalePage, "page %d: revision %d, known %d", result.Number, page.Revision, known)
		}
		if err := page.apply(edit); err != nil {
			result.Current = page.Records[key]
			return nil, false, err
		}
		result.Page, result.Current = page, page.Records[key]
		next, err := json.Marshal(page)
		return next, false, errors.WithStack(err)
	}
	isOwnWrite := func(data []byte) bool {
		page, err := DecodePage(data)
		if err != nil || page.Records[key] == nil || page.Records[key].EditID != edit.ID {
			return false
		}
		result.Page, result.Current = page, page.Records[key]
		return true
	}
	err := infra.Update(ctx, store, PageKey(result.Number), nil, update, isOwnWrite)
	return result, err
}

// apply changes the page in memory.
func (p *Page) apply(edit Edit) error {
	key := edit.Record.Key()
	current := uint64(0)
	if old := p.Records[key]; old != nil && !old.Deleted {
		current = old.Revision
	}
	if current != edit.Expect {
		return errors.Wrapf(ErrConflict, "%s is at revision %d, not %d", key, current, edit.Expect)
	}
	record := *edit.Record
	p.Revision++
	record.Revision, record.EditID, record.EditedBy, record.EditedAt = p.Revision, edit.ID, edit.By, edit.At
	p.Records[key] = &record
	return nil
}

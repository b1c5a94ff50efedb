package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/infra"
)

// ErrConflict is returned when the record's revision is not the one that the edit
// expects: it has changed since the operator read it.
var ErrConflict = errors.New("catalogue: the record has changed")

// ErrStalePage is returned when the store returned an older revision of a page than
// the node already has. An edit on top of that page would undo accepted edits.
var ErrStalePage = errors.New("catalogue: the store returned an outdated page")

// PageKey returns the key of a page in the store.
func PageKey(page int) string {
	return fmt.Sprintf("catalogue/page/%02d", page)
}

// Edit is an operator's change to a single record.
type Edit struct {
	// Record is the new value; with Record.Deleted set, the record is removed.
	Record *Record
	// Expect is the revision of the record that the operator has read; 0 if the
	// record did not exist.
	Expect uint64
	// ID identifies the edit and must be unique: after a lost response, it shows
	// whether the store applied this edit.
	ID string
	// By is the operator's name; At is the time of the edit.
	By string
	At time.Time
}

// Result is the outcome of an edit.
type Result struct {
	// Number is the number of the edited page, Page its content after the edit.
	Number int
	Page   Page
	// Current is the record as the store holds it: the new one, or after ErrConflict
	// the one that the edit conflicts with (nil if there is none).
	Current *Record
}

// Apply writes an edit to the store. known is the revision of the page that the
// editing node already has. Errors: ErrConflict with Result.Current set,
// ErrStalePage, infra.ErrUnavailable if the store could not be reached, also where
// a write with an unknown outcome could not be read back, and infra.ErrConflict if
// the page kept changing.
func Apply(ctx context.Context, store infra.Store, edit Edit, known uint64) (Result, error) {
	key := edit.Record.Key()
	result := Result{Number: PageOf(key)}
	update := func(data []byte) ([]byte, bool, error) {
		page, err := DecodePage(data)
		if err != nil {
			return nil, false, err
		}
		if page.Revision < known {
			return nil, false, errors.Wrapf(ErrStalePage, "page %d: store has revision %d, node has %d", result.Number, page.Revision, known)
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

// apply makes the edit on the page in memory. The page's revision rises by one and
// becomes the record's.
func (p *Page) apply(edit Edit) error {
	key := edit.Record.Key()
	current := uint64(0)
	if old := p.Records[key]; old != nil && !old.Deleted {
		current = old.Revision
	}
	if current != edit.Expect {
		return errors.Wrapf(ErrConflict, "%s is at revision %d, edit expects %d", key, current, edit.Expect)
	}
	record := *edit.Record
	p.Revision++
	record.Revision, record.EditID, record.EditedBy, record.EditedAt = p.Revision, edit.ID, edit.By, edit.At
	p.Records[key] = &record
	return nil
}

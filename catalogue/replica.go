package catalogue

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Page is a group of records that is stored as one value.
type Page struct {
	// Revision is the number of edits of this page.
	Revision uint64 `json:"revision"`
	// Records holds the page's records by key, deleted ones included.
	Records map[string]*Record `json:"records"`
}

// DecodePage decodes and validates a page; empty data is an empty page. A single
// invalid record makes the whole page an error.
func DecodePage(data []byte) (Page, error) {
	page := Page{Records: map[string]*Record{}}
	if len(data) == 0 {
		return page, nil
	}
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, errors.Wrap(err, "catalogue page")
	}
	if page.Records == nil {
		page.Records = map[string]*Record{}
	}
	for key, record := range page.Records {
		if record == nil || record.Key() != key || len(record.Check()) > 0 {
			return Page{}, errors.Errorf("catalogue page: record %q is not valid", key)
		}
	}
	return page, nil
}

// Change holds the records of one page that are newer than some revision.
type Change struct {
	Page     int
	Revision uint64
	Records  []*Record
}

// View is an immutable state of the whole catalogue. Any goroutine may read it.
type View struct {
	pages [PageCount]Page
}

// Revisions returns the revision of each page.
func (v *View) Revisions() []uint64 {
	revisions := make([]uint64, PageCount)
	for i := range v.pages {
		revisions[i] = v.pages[i].Revision
	}
	return revisions
}

// Digest returns the sum and a hash of all page revisions. Views in which both are
// equal hold the same records.
func (v *View) Digest() (sum, hash uint64) {
	var buffer [PageCount * 8]byte
	for i := range v.pages {
		sum += v.pages[i].Revision
		binary.LittleEndian.PutUint64(buffer[i*8:], v.pages[i].Revision)
	}
	return sum, xxhash.Sum64(buffer[:])
}

// ChangesSince returns the records that are newer than the given page revisions, in
// one Change per page. A missing revision counts as 0.
func (v *View) ChangesSince(revisions []uint64) []Change {
	var changes []Change
	for i := range v.pages {
		since := uint64(0)
		if i < len(revisions) {
			since = revisions[i]
		}
		if v.pages[i].Revision <= since {
			continue
		}
		change := Change{Page: i, Revision: v.pages[i].Revision}
		for _, record := range v.pages[i].Records {
			if record.Revision > since {
				change.Records = append(change.Records, record)
			}
		}
		changes = append(changes, change)
	}
	return changes
}

// Get returns a record, or nil if it does not exist or is deleted.
func (v *View) Get(t Type, id string) *Record {
	key := Key(t, id)
	record := v.pages[PageOf(key)].Records[key]
	if record == nil || record.Deleted {
		return nil
	}
	return record
}

// List returns all records of a type that are not deleted, in no particular order.
func (v *View) List(t Type) []*Record {
	var records []*Record
	for i := range v.pages {
		for _, record := range v.pages[i].Records {
			if record.Type == t && !record.Deleted {
				records = append(records, record)
			}
		}
	}
	return records
}

// keySeparator separates the ID of a key's owner from the secret.
const keySeparator = "."

// AccountByKey returns the client account that a key belongs to, or nil if the key
// is not valid. A key has the form "ACCOUNT.SECRET"; its hash is compared in
// constant time.
func (v *View) AccountByKey(key string) *Record {
	record := v.Get(TypeAccount, keyOwner(key))
	if record == nil || !HashMatches(record.Account.KeySHA256, key) {
		return nil
	}
	return record
}

// OperatorByKey returns the operator that a key belongs to, or nil if the key is not
// valid. A key has the form "OPERATOR.SECRET".
func (v *View) OperatorByKey(key string) *Record {
	record := v.Get(TypeOperator, keyOwner(key))
	if record == nil || !HashMatches(record.Operator.KeySHA256, key) {
		return nil
	}
	return record
}

// keyOwner returns the ID of the account or operator that a key names.
func keyOwner(key string) string {
	id, _, _ := strings.Cut(key, keySeparator)
	return id
}

// HashKey returns the SHA-256 hash of a key in hex, as records hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// HashMatches reports whether hash is the hex hash of key. It takes constant time.
func HashMatches(hash, key string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(HashKey(key))) == 1
}

// Replica is a node's copy of the catalogue. Only the node's control loop may use it;
// other goroutines read a View.
type Replica struct {
	view *View
	// StaleChanges counts the changes to a page that were older than the replica's
	// own page: it rises if a store or peer returns outdated values.
	StaleChanges uint64
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{view: &View{}} }

// View returns the current state.
func (r *Replica) View() *View { return r.view }

// Apply merges a change and reports whether it was newer than the replica's page.
// In a newer change, Apply skips records that are not newer than the replica's own.
//
// The change must hold all records that are newer than some revision that the
// replica has had. The response to a pull with the replica's own revisions does.
func (r *Replica) Apply(change Change) bool {
	if change.Page < 0 || change.Page >= PageCount {
		return false
	}
	current := r.view.pages[change.Page]
	if change.Revision <= current.Revision {
		if change.Revision < current.Revision {
			r.StaleChanges++
		}
		return false
	}
	next := Page{Revision: change.Revision, Records: make(map[string]*Record, len(current.Records)+len(change.Records))}
	for key, record := range current.Records {
		next.Records[key] = record
	}
	for _, record := range change.Records {
		if old := next.Records[record.Key()]; old == nil || old.Revision < record.Revision {
			next.Records[record.Key()] = record
		}
	}
	view := *r.view
	view.pages[change.Page] = next
	r.view = &view
	return true
}

// ApplyPage merges a whole page that was read from the store and reports whether it
// was newer than the replica's.
func (r *Replica) ApplyPage(number int, page Page) bool {
	change := Change{Page: number, Revision: page.Revision}
	for _, record := range page.Records {
		change.Records = append(change.Records, record)
	}
	return r.Apply(change)
}

// SiteOf returns the site that a data centre belongs to, or nil.
func (v *View) SiteOf(dataCentre string) *Record {
	for _, record := range v.List(TypeSite) {
		if slices.Contains(record.Site.DataCentres, dataCentre) {
			return record
		}
	}
	return nil
}

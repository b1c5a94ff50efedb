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

// Page is one value in the store.
type Page struct {
	// Revision counts the edits of this page.
	Revision uint64 `json:"revision"`
	// Records holds the page's records by key, removed ones included.
	Records map[string]*Record `json:"records"`
}

// DecodePage reads a page; no data is an empty page.
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

// Change carries the records of one page that are newer than a revision.
type Change struct {
	Page     int
	Revision uint64
	Records  []*Record
}

// View is an immutable state of the whole catalogue, for readers on any thread.
type View struct {
	pages [PageCount]Page
}

// Revisions gives each page's revision.
func (v *View) Revisions() []uint64 {
	revisions := make([]uint64, PageCount)
	for i := range v.pages {
		revisions[i] = v.pages[i].Revision
	}
	return revisions
}

// Digest sums up the revisions: two views with equal sum and hash are the same.
func (v *View) Digest() (sum, hash uint64) {
	var buffer [PageCount * 8]byte
	for i := range v.pages {
		sum += v.pages[i].Revision
		binary.LittleEndian.PutUint64(buffer[i*8:], v.pages[i].Revision)
	}
	return sum, xxhash.Sum64(buffer[:])
}

// ChangesSince lists what is newer than the given page revisions. A missing
// revision counts as 0.
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

// Get finds a record that is not removed, or nil.
func (v *View) Get(t Type, id string) *Record {
	key := Key(t, id)
	record := v.pages[PageOf(key)].Records[key]
	if record == nil || record.Deleted {
		return nil
	}
	return record
}

// List gives all records of a type that are not removed, in no order.
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

// keySeparator stands in a key between the id of its holder and the secret.
const keySeparator = "."

// AccountByKey finds the client account that a key belongs to, or nil. A key is
// "ACCOUNT.SECRET"; its hash is compared in constant time.
func (v *View) AccountByKey(key string) *Record {
	record := v.Get(TypeAccount, keyOwner(key))
	if record == nil || !HashMatches(record.Account.KeySHA256, key) {
		return nil
	}
	return record
}

// OperatorByKey finds the operator that a key belongs to, or nil.
func (v *View) OperatorByKey(key string) *Record {
	record := v.Get(TypeOperator, keyOwner(key))
	if record == nil || !HashMatches(record.Operator.KeySHA256, key) {
		return nil
	}
	return record
}

func keyOwner(key string) string {
	id, _, _ := strings.Cut(key, keySeparator)
	return id
}

// HashKey gives the hex SHA-256 of a key, as records hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// HashMatches compares a key with a hex hash in constant time.
func HashMatches(hash, key string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(HashKey(key))) == 1
}

// Replica is one node's copy. It belongs to the control loop; others read View.
type Replica struct {
	view *View
	// StaleChanges counts pages and records older than what the replica had: a store
	// or peer that answers with old values shows here.
	StaleChanges uint64
}

// NewReplica makes an empty replica.
func NewReplica() *Replica { return &Replica{view: &View{}} }

// View is the present state.
func (c *Replica) View() *View { return c.view }

// Apply merges a change and tells whether anything is new. Records only move
// forward: one that is not newer than the replica's own is left out.
//
// The change must hold all records newer than some revision that the replica
// has had; the answer to a pull with the replica's own revisions does.
func (c *Replica) Apply(change Change) bool {
	if change.Page < 0 || change.Page >= PageCount {
		return false
	}
	current := c.view.pages[change.Page]
	if change.Revision <= current.Revision {
		if change.Revision < current.Revision {
			c.StaleChanges++
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
	view := *c.view
	view.pages[change.Page] = next
	c.view = &view
	return true
}

// ApplyPage merges a whole page as the store holds it.
func (c *Replica) ApplyPage(number int, page Page) bool {
	change := Change{Page: number, Revision: page.Revision}
	for _, record := range page.Records {
		change.Records = append(change.Records, record)
	}
	return c.Apply(change)
}

// SiteOf finds the site that a data centre belongs to, or nil.
func (v *View) SiteOf(dataCentre string) *Record {
	for _, record := range v.List(TypeSite) {
		if slices.Contains(record.Site.DataCentres, dataCentre) {
			return record
		}
	}
	return nil
}

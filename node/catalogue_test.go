package node

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
)

// Guards against an entry that refuses callers as unknown, or for an unknown kind of work, because it counts as ready
// before it has applied all pages of the catalogue.
func TestACatalogueIsReadyOnceAllPagesAreApplied(t *testing.T) {
	is := is.New(t)
	c := NewCatalogueSync(nil, zap.NewNop())
	for number := range catalogue.PageCount - 1 {
		c.ApplyStoredPage(number, catalogue.Page{})
		c.ApplyStoredPage(number, catalogue.Page{})
	}
	is.True(!c.Ready())
	last := &catalogue.Record{Type: catalogue.TypeAccount, ID: "a", Account: &catalogue.Account{}}
	c.ApplyStoredPage(catalogue.PageCount-1, catalogue.Page{Revision: 1, Records: map[string]*catalogue.Record{last.Key(): last}})
	is.True(c.Ready())
	is.True(c.View().ChangesSince(make([]uint64, catalogue.PageCount)) != nil)
}

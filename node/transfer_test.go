package node

import (
	"crypto/sha256"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/standin/link"
	"aspenyard.example/wire/wireconnect"
)

// Guards against a node behind a slow link that never gets the catalogue, as each pull of it ends before its transfer does.
func TestACatalogueIsPulledThroughASlowLink(t *testing.T) {
	is := is.New(t)
	full := NewCatalogueSync(nil, zap.NewNop())
	page := catalogue.Page{Revision: 1, Records: map[string]*catalogue.Record{}}
	for i := range 4000 {
		record := &catalogue.Record{Type: catalogue.TypeAccount, ID: fmt.Sprintf("account-%d", i), Owner: "o", Revision: 1, Account: &catalogue.Account{KeySHA256: fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, i)))}}
		page.Records[record.Key()] = record
	}
	full.applyPage(0, page)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_, handler := wireconnect.NewPeerHandler(PeerHandler{CatalogueSync: full})
	go func() { _ = ServeRPC(t.Context(), listener, handler, time.Minute) }()
	l, err := link.New(listener.Addr().String())
	is.NoErr(err)
	defer l.Close()
	c := NewCatalogueSync(NewClients(time.Minute), zap.NewNop())
	changes, err := c.fetch(l.Addr(), make([]uint64, catalogue.PageCount))
	is.NoErr(err)
	whole := l.Passed()
	t.Logf("%d bytes", whole)
	l.SetBandwidth(whole * int(time.Second) / int(pullTimeout+2*time.Second))
	again, err := c.fetch(l.Addr(), make([]uint64, catalogue.PageCount))
	is.NoErr(err)
	is.Equal(len(again), len(changes))
	is.Equal(len(again[0].Entries), len(page.Records))
}

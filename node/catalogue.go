package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/membership"
	"aspenyard.example/wire"
)

// CatalogueSync spreads the catalogue between nodes. Each heartbeat carries a digest
// of its sender's page revisions; a node that hears of something it lacks pulls
// the difference.
type CatalogueSync struct {
	loop        *membership.Loop
	clients     *Clients
	log         *zap.Logger
	replica     *catalogue.Replica // control thread only
	view        atomic.Pointer[catalogue.View]
	pulling     bool // control thread only
	ready       atomic.Bool
	pulledBytes atomic.Uint64
}

// NewCatalogueSync makes an empty catalogue; Attach gives it its loop.
func NewCatalogueSync(clients *Clients, log *zap.Logger) *CatalogueSync {
	c := &CatalogueSync{clients: clients, log: log, replica: catalogue.NewReplica()}
	c.view.Store(c.replica.View())
	return c
}

// SetLoop sets the control loop, before it runs.
func (c *CatalogueSync) SetLoop(loop *membership.Loop) { c.loop = loop }

// View is the present catalogue; safe from any thread.
func (c *CatalogueSync) View() *catalogue.View { return c.view.Load() }

// Ready tells whether the catalogue came from the store or from a ready peer.
func (c *CatalogueSync) Ready() bool { return c.ready.Load() }

// SetReady is called once the store's pages have all been read.
func (c *CatalogueSync) SetReady() { c.ready.Store(true) }

// PulledBytes counts what came from peers.
func (c *CatalogueSync) PulledBytes() uint64 { return c.pulledBytes.Load() }

// FillHeartbeat adds the digest to a heartbeat; control thread.
func (c *CatalogueSync) FillHeartbeat(h *wire.Heartbeat) {
	h.CatalogueRevision, h.CatalogueHash = c.replica.View().Digest()
}

// HandleHeartbeat compares a peer's digest and pulls if the peer may have something newer;
// control thread. The sum alone is not enough: two nodes may each lack an edit
// that the other has.
func (c *CatalogueSync) HandleHeartbeat(h *wire.Heartbeat) {
	sum, hash := c.replica.View().Digest()
	if hash == h.CatalogueHash && sum == h.CatalogueRevision {
		if h.Role == membership.RoleEntry && sum > 0 {
			c.ready.Store(true)
		}
		return
	}
	if c.pulling || h.CatalogueRevision == 0 {
		return
	}
	c.pulling = true
	go c.pull(h.Addr, c.replica.View().Revisions())
}

// pullTimeout bounds one pull.
const pullTimeout = 5 * time.Second

func (c *CatalogueSync) pull(addr string, revisions []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	response, err := c.clients.Peer(addr).Pull(ctx, connect.NewRequest(&wire.PullRequest{Revisions: revisions}))
	if err != nil {
		c.log.Debug("catalogue pull failed", zap.String("peer", addr), zap.Error(err))
	}
	c.loop.Post(func() {
		c.pulling = false
		if err != nil {
			return
		}
		for _, change := range response.Msg.Changes {
			c.applyChange(changeFromWire(change))
		}
	})
}

func changeFromWire(change *wire.PageChange) catalogue.Change {
	out := catalogue.Change{Page: int(change.Page), Revision: change.Revision}
	for _, data := range change.Entries {
		var record catalogue.Record
		if json.Unmarshal(data, &record) == nil && len(record.Check()) == 0 {
			out.Records = append(out.Records, &record)
		}
	}
	return out
}

func (c *CatalogueSync) applyChange(change catalogue.Change) {
	if c.replica.Apply(change) {
		c.view.Store(c.replica.View())
	}
}

// PostPage takes in a page as the store holds it, some time later; any thread.
func (c *CatalogueSync) PostPage(number int, page catalogue.Page) {
	c.loop.Post(func() { c.applyPage(number, page) })
}

// ApplyPage is Offer that returns once the page is in force here, so that an
// operator who was told of an edit also reads it.
func (c *CatalogueSync) ApplyPage(ctx context.Context, number int, page catalogue.Page) error {
	return c.loop.Do(ctx, func() { c.applyPage(number, page) })
}

func (c *CatalogueSync) applyPage(number int, page catalogue.Page) {
	before := c.replica.StaleChanges
	if c.replica.ApplyPage(number, page) {
		c.view.Store(c.replica.View())
	}
	if c.replica.StaleChanges > before {
		c.log.Warn("refused an old catalogue page from the store", zap.Int("page", number), zap.Uint64("revision", page.Revision))
	}
}

// Pull implements wireconnect.PeerHandler.
func (c *CatalogueSync) Pull(_ context.Context, request *connect.Request[wire.PullRequest]) (*connect.Response[wire.PullResponse], error) {
	response := &wire.PullResponse{}
	for _, change := range c.View().ChangesSince(request.Msg.Revisions) {
		out := &wire.PageChange{Page: uint32(change.Page), Revision: change.Revision}
		for _, record := range change.Records {
			data, err := json.Marshal(record)
			if err != nil {
				return nil, connect.NewError(connect.CodeInternal, err)
			}
			out.Entries = append(out.Entries, data)
		}
		response.Changes = append(response.Changes, out)
	}
	return connect.NewResponse(response), nil
}

// Revisions implements wireconnect.PeerHandler.
func (c *CatalogueSync) Revisions(context.Context, *connect.Request[wire.RevisionsRequest]) (*connect.Response[wire.RevisionsResponse], error) {
	return connect.NewResponse(&wire.RevisionsResponse{Revisions: c.View().Revisions()}), nil
}

// PeerHandler serves what nodes ask of each other. Lend is set by entries only.
type PeerHandler struct {
	*CatalogueSync
	Lend func(*wire.BorrowRequest) *wire.BorrowResponse
}

// Borrow implements wireconnect.PeerHandler.
func (p PeerHandler) Borrow(_ context.Context, request *connect.Request[wire.BorrowRequest]) (*connect.Response[wire.BorrowResponse], error) {
	if p.Lend == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("an agent lends nothing"))
	}
	return connect.NewResponse(p.Lend(request.Msg)), nil
}

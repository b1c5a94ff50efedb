package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/membership"
	"aspenyard.example/progress"
	"aspenyard.example/wire"
)

// CatalogueSync keeps this node's replica of the catalogue up to date from its peers. Each
// heartbeat carries a digest of its sender's page revisions. A node whose digest differs pulls
// the changes that it lacks. It is safe for concurrent use, except for SetLoop and the methods
// that belong to the control thread.
type CatalogueSync struct {
	loop    *membership.Loop
	clients *Clients
	log     *zap.Logger
	replica *catalogue.Replica // control thread only
	view    atomic.Pointer[catalogue.View]
	pulling bool // control thread only
	// pagesRead are the pages that were read from the store; control thread only.
	pagesRead   [catalogue.PageCount]bool
	ready       atomic.Bool
	pulledBytes atomic.Uint64
}

// NewCatalogueSync returns an empty replica. SetLoop must be called before it is used.
func NewCatalogueSync(clients *Clients, log *zap.Logger) *CatalogueSync {
	c := &CatalogueSync{clients: clients, log: log, replica: catalogue.NewReplica()}
	c.view.Store(c.replica.View())
	return c
}

// SetLoop sets the control loop that changes the replica. It must be called before the loop
// runs.
func (c *CatalogueSync) SetLoop(loop *membership.Loop) { c.loop = loop }

// View returns an immutable snapshot of the current catalogue.
func (c *CatalogueSync) View() *catalogue.View { return c.view.Load() }

// Ready returns whether the replica holds the whole catalogue, read from the store or equal to
// that of an entry.
func (c *CatalogueSync) Ready() bool { return c.ready.Load() }

// PulledBytes returns the number of bytes pulled from peers. Nothing counts them yet, so it
// is always 0.
func (c *CatalogueSync) PulledBytes() uint64 { return c.pulledBytes.Load() }

// FillHeartbeat adds the digest of the replica to a heartbeat. Control thread only.
func (c *CatalogueSync) FillHeartbeat(h *wire.Heartbeat) {
	h.CatalogueRevision, h.CatalogueHash = c.replica.View().Digest()
}

// HandleHeartbeat compares a peer's digest with that of the replica. If they differ it starts
// a pull, unless one is running. If they are equal and the peer is an entry, the replica is
// ready. Control thread only. The digest holds a hash besides the sum of the revisions,
// because the sums can be equal although two nodes each lack an edit that the other has.
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

// pullTimeout bounds the time until a pull is answered, and a pause in its transfer.
const pullTimeout = 5 * time.Second

// pull reads the pages that are newer than revisions, by page number, from the peer at addr
// and applies them on the control thread. After a failure, the next heartbeat whose digest
// differs starts another pull.
func (c *CatalogueSync) pull(addr string, revisions []uint64) {
	changes, err := c.fetch(addr, revisions)
	if err != nil {
		c.log.Debug("cannot pull the catalogue from a peer", zap.String("peer", addr), zap.Error(err))
	}
	c.loop.Post(func() {
		c.pulling = false
		for _, change := range changes {
			c.applyChange(changeFromWire(change))
		}
	})
}

// fetch returns the pages of the peer at addr that are newer than revisions, by page number.
func (c *CatalogueSync) fetch(addr string, revisions []uint64) ([]*wire.PageChange, error) {
	ctx, cancel := progress.WithLimits(context.Background(), progress.Limits{Answer: pullTimeout, Stall: pullTimeout})
	defer cancel()
	response, err := c.clients.Peer(addr).Pull(ctx, connect.NewRequest(&wire.PullRequest{Revisions: revisions}))
	if err != nil {
		return nil, progress.Cause(ctx, err)
	}
	return response.Msg.Changes, nil
}

// changeFromWire decodes a change of a page. It leaves out records that cannot be decoded or
// are invalid.
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

// applyChange applies a change from a peer. Control thread only.
func (c *CatalogueSync) applyChange(change catalogue.Change) {
	if c.replica.Apply(change) {
		c.view.Store(c.replica.View())
	}
}

// PostPage schedules a page read from the store for ApplyStoredPage on the control thread, and returns at once.
func (c *CatalogueSync) PostPage(number int, page catalogue.Page) {
	c.loop.Post(func() { c.ApplyStoredPage(number, page) })
}

// ApplyStoredPage applies a page read from the store. The replica is ready once all pages are applied, not when they have
// been read: callers would be refused for records that are still to be applied. Control thread only.
func (c *CatalogueSync) ApplyStoredPage(number int, page catalogue.Page) {
	c.applyPage(number, page)
	c.pagesRead[number] = true
	if !slices.Contains(c.pagesRead[:], false) {
		c.ready.Store(true)
	}
}

// ApplyPage applies a page read from the store and returns once it is in the view, so that an
// operator whose edit was confirmed also reads it from this node. It fails with the error of
// ctx or membership.ErrStopped.
func (c *CatalogueSync) ApplyPage(ctx context.Context, number int, page catalogue.Page) error {
	return c.loop.Do(ctx, func() { c.applyPage(number, page) })
}

// applyPage applies a page read from the store and logs a page that is older than the
// replica's. Control thread only.
func (c *CatalogueSync) applyPage(number int, page catalogue.Page) {
	before := c.replica.StaleChanges
	if c.replica.ApplyPage(number, page) {
		c.view.Store(c.replica.View())
	}
	if c.replica.StaleChanges > before {
		c.log.Warn("refused an old catalogue page from the store", zap.Int("page", number), zap.Uint64("revision", page.Revision))
	}
}

// Pull implements wireconnect.PeerHandler: it answers with the pages that are newer than the
// revisions of the request.
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

// Revisions implements wireconnect.PeerHandler: it answers with the revision of each page, by
// page number.
func (c *CatalogueSync) Revisions(context.Context, *connect.Request[wire.RevisionsRequest]) (*connect.Response[wire.RevisionsResponse], error) {
	return connect.NewResponse(&wire.RevisionsResponse{Revisions: c.View().Revisions()}), nil
}

// PeerHandler implements wireconnect.PeerHandler, the RPCs between nodes. Lend lends a share of
// a client account's limits to an entry; it is nil at an agent.
type PeerHandler struct {
	*CatalogueSync
	Lend func(*wire.BorrowRequest) *wire.BorrowResponse
}

// Borrow implements wireconnect.PeerHandler with Lend. At an agent it fails with the code
// unimplemented.
func (p PeerHandler) Borrow(_ context.Context, request *connect.Request[wire.BorrowRequest]) (*connect.Response[wire.BorrowResponse], error) {
	if p.Lend == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("an agent has no limits to lend; ask an entry"))
	}
	return connect.NewResponse(p.Lend(request.Msg)), nil
}

package entry

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/membership"
	"aspenyard.example/node"
	"aspenyard.example/result"
	"aspenyard.example/settings"
	"aspenyard.example/wire"
)

// operatorsHandler serves the operators' API, the metrics and the health checks.
func (e *Entry) operatorsHandler() http.Handler {
	mux := node.MonitoringMux(e.metrics, e.checkReady)
	mux.HandleFunc("GET /v1/status", e.requireOperator(e.getStatus))
	mux.HandleFunc("GET /v1/catalogue/{type}", e.requireOperator(e.listRecords))
	mux.HandleFunc("GET /v1/catalogue/{type}/{id}", e.requireOperator(e.getRecord))
	mux.HandleFunc("GET /v1/catalogue/{type}/{id}/history", e.requireOperator(e.getHistory))
	mux.HandleFunc("GET /v1/catalogue/{type}/{id}/spread", e.requireOperator(e.getSpread))
	mux.HandleFunc("PUT /v1/catalogue/{type}/{id}", e.requireOperator(e.putRecord))
	mux.HandleFunc("DELETE /v1/catalogue/{type}/{id}", e.requireOperator(e.deleteRecord))
	return mux
}

// operatorHandler handles a request of the operators' API; operator is the id of the
// authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, c *call, operator string)

// requireOperator passes only operators' requests on to next. While the catalogue has no
// operator, the bootstrap key of the settings is accepted.
func (e *Entry) requireOperator(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: newID(), startedAt: time.Now()}
		key := bearerKey(r)
		view := e.catalogue.View()
		if key == "" {
			writeError(w, c, result.Refuse(result.NoKey, 0, "the request has no Authorization header with a bearer key"))
			return
		}
		if record := view.OperatorByKey(key); record != nil {
			next(w, r, c, record.ID)
			return
		}
		bootstrap := e.settings.BootstrapOperatorSHA256
		if bootstrap != "" && len(view.List(catalogue.TypeOperator)) == 0 && catalogue.HashMatches(bootstrap, key) {
			next(w, r, c, "bootstrap")
			return
		}
		writeError(w, c, result.Refuse(result.NotOperator, 0, "the key does not belong to an operator"))
	}
}

func (e *Entry) listRecords(w http.ResponseWriter, r *http.Request, _ *call, _ string) {
	records := e.catalogue.View().List(catalogue.Type(r.PathValue("type")))
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
	writeJSON(w, http.StatusOK, map[string]any{"records": records})
}

func (e *Entry) getRecord(w http.ResponseWriter, r *http.Request, c *call, _ string) {
	record := e.catalogue.View().Get(catalogue.Type(r.PathValue("type")), r.PathValue("id"))
	if record == nil {
		writeError(w, c, result.Refuse(result.UnknownEntry, 0, "the catalogue has no %s %q", r.PathValue("type"), r.PathValue("id")))
		return
	}
	writeJSON(w, http.StatusOK, record)
}

func (e *Entry) getHistory(w http.ResponseWriter, r *http.Request, c *call, _ string) {
	records, err := catalogue.History(r.Context(), e.store, catalogue.Type(r.PathValue("type")), r.PathValue("id"))
	if err != nil {
		writeError(w, c, result.Refuse(result.StoreUnavailable, storeRetryAfter, "the history cannot be read from the store"))
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"records": records})
}

func (e *Entry) putRecord(w http.ResponseWriter, r *http.Request, c *call, operator string) {
	data, refusal := e.readBody(w, r)
	if refusal != nil {
		writeError(w, c, refusal)
		return
	}
	record, err := catalogue.DecodeRecord(data)
	if err != nil {
		writeError(w, c, result.Refuse(result.BadCatalogue, 0, "%v", err))
		return
	}
	if string(record.Type) != r.PathValue("type") || record.ID != r.PathValue("id") {
		writeError(w, c, result.Refuse(result.BadCatalogue, 0, "the type and id of the record differ from those in the path"))
		return
	}
	e.applyEdit(w, r, c, operator, record)
}

func (e *Entry) deleteRecord(w http.ResponseWriter, r *http.Request, c *call, operator string) {
	record := &catalogue.Record{Type: catalogue.Type(r.PathValue("type")), ID: r.PathValue("id"), Owner: operator, Deleted: true}
	if faults := record.Check(); len(faults) > 0 {
		writeError(w, c, result.Refuse(result.BadCatalogue, 0, "%v", settings.FieldErrors(faults)))
		return
	}
	e.applyEdit(w, r, c, operator, record)
}

// editResponse is the response to an edit: the record in force and, if another edit came
// first, Conflict and the error. The record is then that of the other edit.
type editResponse struct {
	Record   *catalogue.Record `json:"record"`
	Conflict bool              `json:"conflict,omitempty"`
	Error    *errorDetail      `json:"error,omitempty"`
}

// applyEdit writes an edit to the store, puts it in force at this entry and adds it to the
// record's history; after the write, failures are only logged. An If-Match header makes the
// edit conditional on the record's revision.
func (e *Entry) applyEdit(w http.ResponseWriter, r *http.Request, c *call, operator string, record *catalogue.Record) {
	expect, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if r.Header.Get("If-Match") != "" && err != nil {
		writeError(w, c, result.Refuse(result.BadField, 0, "If-Match must be a revision number"))
		return
	}
	page := catalogue.PageOf(record.Key())
	edit := catalogue.Edit{Record: record, Expect: expect, ID: c.id, By: operator, At: time.Now().UTC()}
	outcome, err := catalogue.Apply(r.Context(), e.store, edit, e.catalogue.View().Revisions()[page])
	switch {
	case errors.Is(err, catalogue.ErrConflict):
		failure := result.Refuse(result.EditConflict, 0, "%v", err)
		detail := errorBodyOf(c, failure).Error
		writeHeaders(w, c, failure.Code, failure.Ran)
		writeJSON(w, http.StatusConflict, editResponse{Record: outcome.Current, Conflict: true, Error: &detail})
		return
	case err != nil:
		ran := result.RanUnknown
		if errors.Is(err, catalogue.ErrStalePage) {
			ran = result.RanNo
		}
		writeError(w, c, &result.Error{Code: result.StoreUnavailable, Ran: ran, RetryAfter: storeRetryAfter, Detail: err.Error()})
		return
	}
	if err := e.catalogue.ApplyPage(r.Context(), outcome.Number, outcome.Page); err != nil {
		e.log.Warn("catalogue edit is stored but not in force at this entry yet", zap.String("record", record.Key()), zap.Error(err))
	}
	if err := catalogue.AppendHistory(r.Context(), e.store, outcome.Current); err != nil {
		e.log.Warn("history of a catalogue edit could not be written", zap.String("record", record.Key()), zap.Error(err))
	}
	e.log.Info("catalogue edited", zap.String("record", record.Key()), zap.Uint64("revision", outcome.Current.Revision), zap.String("operator", operator))
	writeHeaders(w, c, result.OK, result.RanYes)
	writeJSON(w, http.StatusOK, editResponse{Record: outcome.Current})
}

// nodeRevision is a node's revision of a page, and whether an edit to the page is in force
// at the node.
type nodeRevision struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	Silent   bool   `json:"silent,omitempty"`
}

const (
	// spreadTimeout bounds the query to one node.
	spreadTimeout = time.Second
	// maxSpreadQueries bounds the nodes that are queried at once.
	maxSpreadQueries = 64
)

// getSpread reports at which nodes an edit is in force. It queries every known node for
// its revision of the record's page.
func (e *Entry) getSpread(w http.ResponseWriter, r *http.Request, c *call, _ string) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, c, result.Refuse(result.BadField, 0, "revision must be a number"))
		return
	}
	page := catalogue.PageOf(catalogue.Key(catalogue.Type(r.PathValue("type")), r.PathValue("id")))
	own := e.catalogue.View().Revisions()[page]
	spread := []nodeRevision{{Node: e.settings.Name, Revision: own, InForce: own >= revision}}
	var mu sync.Mutex
	var queries sync.WaitGroup
	slots := make(chan struct{}, maxSpreadQueries)
	for name, m := range e.loop.View().Members {
		queries.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			n := e.queryRevision(r.Context(), name, m, page, revision)
			mu.Lock()
			defer mu.Unlock()
			spread = append(spread, n)
		})
	}
	queries.Wait()
	sort.Slice(spread, func(i, j int) bool { return spread[i].Node < spread[j].Node })
	writeJSON(w, http.StatusOK, map[string]any{"nodes": spread})
}

// queryRevision asks one node for its revision of a page. A node that does not answer is
// reported as silent.
func (e *Entry) queryRevision(ctx context.Context, name string, m *membership.Member, page int, revision uint64) nodeRevision {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	response, err := e.clients.Peer(m.Addr()).Revisions(ctx, connect.NewRequest(&wire.RevisionsRequest{}))
	if err != nil || page >= len(response.Msg.Revisions) {
		return nodeRevision{Node: name, Silent: true}
	}
	known := response.Msg.Revisions[page]
	return nodeRevision{Node: name, Revision: known, InForce: known >= revision}
}

// memberStatus is the status of one node, as the operators' API reports it.
type memberStatus struct {
	Node       string `json:"node"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
	Operators  string `json:"operators,omitempty"`
	State      string `json:"state"`
	Running    uint32 `json:"running"`
	Queued     uint32 `json:"queued"`
	LimitWatts uint64 `json:"limit_watts,omitempty"`
}

// siteStatus is the power status of one site, as the operators' API reports it.
type siteStatus struct {
	Site string `json:"site"`
	// CapWatts is the cap that the operators set; InForceWatts the cap that the site
	// keeps to now, which is higher until a lowered cap has taken effect. CountedWatts
	// is the most that the site may be drawing.
	CapWatts     uint64 `json:"cap_watts"`
	InForceWatts uint64 `json:"cap_in_force_watts"`
	CountedWatts uint64 `json:"counted_watts"`
	// Known is false when this entry does not have the site's ledger, because another
	// entry coordinates the site.
	Known bool `json:"known"`
}

// getStatus reports this entry's view of the nodes, the sites' power and the catalogue.
func (e *Entry) getStatus(w http.ResponseWriter, _ *http.Request, _ *call, _ string) {
	members := e.loop.View().Members
	list := make([]memberStatus, 0, len(members))
	for name, m := range members {
		list = append(list, describeMember(name, m))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Node < list[j].Node })
	revisionSum, hash := e.catalogue.View().Digest()
	writeJSON(w, http.StatusOK, map[string]any{
		"node": e.settings.Name, "catalogue_revision": revisionSum, "catalogue_hash": strconv.FormatUint(hash, 16),
		"reader": e.control.isStoreReader.Load(), "members": list, "sites": e.siteStatuses(), "active_requests": e.activeRequests.Load(),
	})
}

// describeMember derives a node's status from its last heartbeat.
func describeMember(name string, m *membership.Member) memberStatus {
	status := memberStatus{Node: name, Role: m.Role(), DataCentre: m.DataCentre(), Addr: m.Addr(), State: "live"}
	switch {
	case m.Leaving:
		status.State = "leaving"
	case m.LastHeartbeat == nil:
		status.State = "listed only"
	case m.Suspect:
		status.State = "suspect"
	}
	if status.State == "live" && m.Role() == membership.RoleAgent && len(m.LastHeartbeat.Models)+len(m.LastHeartbeat.Services) == 0 {
		status.State = "not serving"
	}
	if m.LastHeartbeat != nil {
		status.Operators = m.LastHeartbeat.OperatorsAddr
		status.Running, status.Queued = m.LastHeartbeat.Load.GetRunning(), m.LastHeartbeat.Load.GetQueued()
		status.LimitWatts = m.LastHeartbeat.Power.GetLimitWatts()
	}
	return status
}

func (e *Entry) siteStatuses() []siteStatus {
	var sites []siteStatus
	for _, record := range e.catalogue.View().List(catalogue.TypeSite) {
		status := siteStatus{Site: record.ID, CapWatts: record.Site.PowerCapWatts}
		if ledger := e.powerCoordinator.ledger(record.ID); ledger != nil {
			status.Known = true
			status.CountedWatts = ledger.CountedWatts()
			status.InForceWatts = ledger.CapInForceWatts()
		}
		sites = append(sites, status)
	}
	return sites
}

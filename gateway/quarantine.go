package gateway

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
)

const (
	// recordTTL is how long the store keeps the record of a request in quarantine: the longest
	// lease that it grants. The record is needed only by entries that start while no other runs.
	recordTTL = 10 * time.Minute
	// maxRecordWrites is how often an entry tries to write a record, recordRetryInterval the
	// time between two tries.
	maxRecordWrites     = 5
	recordRetryInterval = 2 * time.Second
	// maxRecordEndpoints is how many of a record's endpoints are used at most.
	maxRecordEndpoints = 16
)

// quarantineRecord is the record in the store of a request that crashes endpoints. Without it, an
// entry that starts while no other runs would send the request again.
type quarantineRecord struct {
	Scope uint64 `json:"scope"`
	Body  uint64 `json:"body"`
	// Endpoints are the hashes of the endpoint incarnations that crashed.
	Endpoints []uint32 `json:"endpoints"`
}

func (r quarantineRecord) fingerprint() attempt.Fingerprint {
	return attempt.Fingerprint{Scope: r.Scope, Body: r.Body}
}

// encode returns the record as the store keeps it.
func (r quarantineRecord) encode() directory.Record {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen for these types
	}
	return directory.Record{Name: r.fingerprint().String(), Value: value}
}

// persist writes a record to the store, and gives up after maxRecordWrites tries.
func (g *Gateway) persist(r directory.Record) {
	for tries := 1; ; tries++ {
		err := g.writeRecord(r)
		switch {
		case err == nil:
			return
		case tries == maxRecordWrites:
			g.log.Warn("quarantine_not_kept", zap.String("fingerprint", r.Name), eventlog.Error(err))
			return
		}
		time.Sleep(recordRetryInterval)
	}
}

// writeRecord tries once to write a record.
func (g *Gateway) writeRecord(r directory.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), registryTimeout)
	defer cancel()
	return g.registry.CreateRecord(ctx, r, recordTTL)
}

// applyQuarantineRecord merges a record from the store into the quarantine. Its crashes count from
// now on, except for those that are already known.
func (g *Gateway) applyQuarantineRecord(now time.Time, record *directory.Record) {
	if isPartRecord(record) {
		g.applyPartRecord(now, record)
		return
	}
	var r quarantineRecord
	if err := json.Unmarshal(record.Value, &r); err != nil {
		g.log.Error("quarantine_record_refused", zap.String("name", record.Name), eventlog.Error(err))
		return
	}
	var findings []attempt.Finding
	for _, endpoint := range r.Endpoints[:min(len(r.Endpoints), maxRecordEndpoints)] {
		if endpoint != attempt.Answered {
			findings = append(findings, attempt.Finding{Request: r.fingerprint(), Endpoint: endpoint})
		}
	}
	for _, request := range g.quarantine.Merge(now, findings) {
		g.reportQuarantined(request, heardFromStore)
	}
}

// heardFromStore takes the place of the entry's name in the log when a record completed the
// evidence against a request.
const heardFromStore = "store"

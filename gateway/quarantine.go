package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
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
			g.written.add(time.Now(), r)
			return
		case tries == maxRecordWrites:
			g.log.Warn("quarantine_not_kept", zap.String("fingerprint", r.Name), eventlog.Error(err))
			return
		}
		time.Sleep(recordRetryInterval)
	}
}

// maxWrittenRecords bounds how many records an entry remembers that it wrote.
const maxWrittenRecords = 1024

// writtenRecords are the records that this entry has written and that the store should still have. It is
// safe for concurrent use.
type writtenRecords struct {
	mu      sync.Mutex
	records map[string]writtenRecord
}

type writtenRecord struct {
	directory.Record
	writtenAt time.Time
}

// add remembers a record. While there are too many, more are not written again after a loss.
func (w *writtenRecords) add(now time.Time, r directory.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.records == nil {
		w.records = map[string]writtenRecord{}
	}
	maps.DeleteFunc(w.records, func(_ string, known writtenRecord) bool { return now.Sub(known.writtenAt) > recordTTL })
	if _, known := w.records[r.Name]; !known && len(w.records) < maxWrittenRecords {
		w.records[r.Name] = writtenRecord{r, now}
	}
}

// list returns the records that the store should still have.
func (w *writtenRecords) list(now time.Time) []directory.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	var records []directory.Record
	for _, r := range w.records {
		if now.Sub(r.writtenAt) <= recordTTL {
			records = append(records, r.Record)
		}
	}
	return records
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

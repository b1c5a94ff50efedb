package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
)

const (
	// recordTTL is how long the store keeps the record of a request in quarantine: the longest
	// lease that it gives. Only entries that all start anew need it.
	recordTTL = 10 * time.Minute
	// recordTries is how often an entry tries to leave one, recordPause the time between.
	recordTries = 5
	recordPause = 2 * time.Second
	// recordedEndpoints is how many endpoints a record names at most.
	recordedEndpoints = 16
)

// quarantineRecord is what an entry leaves in the store of a request that crashes endpoints: an
// entry that starts when no other one lives would send it again.
type quarantineRecord struct {
	Scope uint64 `json:"scope"`
	Body  uint64 `json:"body"`
	// Endpoints are the hashes of the lives that crashed.
	Endpoints []uint32 `json:"endpoints"`
}

func (r quarantineRecord) request() attempt.Fingerprint {
	return attempt.Fingerprint{Scope: r.Scope, Body: r.Body}
}

// keepQuarantined leaves a record, and gives up after a few tries.
func (g *Gateway) keepQuarantined(r quarantineRecord) {
	for try := 1; ; try++ {
		err := g.keep(r)
		switch {
		case err == nil:
			return
		case try == recordTries:
			g.log.Warn("quarantine_not_kept", zap.Stringer("fingerprint", r.request()), eventlog.Error(err))
			return
		}
		time.Sleep(recordPause)
	}
}

// keep tries to leave a record.
func (g *Gateway) keep(r quarantineRecord) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	return g.registry.Keep(ctx, directory.Record{Name: r.request().String(), Value: value}, recordTTL)
}

// hearRecord takes a record in. Its crashes count from now on: what was heard of them before is not
// heard again.
func (g *Gateway) hearRecord(now time.Time, record *directory.Record) {
	var r quarantineRecord
	if err := json.Unmarshal(record.Value, &r); err != nil {
		g.log.Error("quarantine_record_refused", zap.String("name", record.Name), eventlog.Error(err))
		return
	}
	var list []attempt.Finding
	for _, endpoint := range r.Endpoints[:min(len(r.Endpoints), recordedEndpoints)] {
		if endpoint != attempt.Answered {
			list = append(list, attempt.Finding{Request: r.request(), Endpoint: endpoint})
		}
	}
	for _, request := range g.quarantine.Hear(now, list) {
		g.noteQuarantined(request, heardFromStore)
	}
}

// heardFromStore stands in for an entry's name where a record told of a quarantine.
const heardFromStore = "store"

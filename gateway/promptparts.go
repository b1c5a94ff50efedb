package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/attempt/crashcause"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

// sharedParts returns the identifiers of the parts of the call's prompt that other prompts may share.
func (c *call) sharedParts() []crashcause.Part {
	if c.cachedParts == nil && len(c.SharedParts) > 0 {
		c.cachedParts = make([]crashcause.Part, len(c.SharedParts))
		for i, name := range c.SharedParts {
			c.cachedParts[i] = crashcause.PartOf(c.service.Name, string(name))
		}
	}
	return c.cachedParts
}

// hasBlamedPart reports whether the request must not be sent because of a part that is blamed for crashes.
func (f *forwarding) hasBlamedPart() bool {
	if len(f.SharedParts) == 0 || f.onTrial {
		return false
	}
	_, remaining := f.gateway.crashCauses.Blamed(time.Now(), f.sharedParts())
	return remaining > 0
}

// refuseBlamedPart returns the error for a request whose prompt has a part that is blamed for crashes; nil if it
// may be sent.
func (f *forwarding) refuseBlamedPart() *result.Error {
	if len(f.SharedParts) == 0 {
		return nil
	}
	part, remaining := f.gateway.crashCauses.Blamed(time.Now(), f.sharedParts())
	if remaining == 0 || f.onTrial && f.retrier.Arrivals() == 0 {
		return nil
	}
	if f.retrier.Arrivals() == 0 && f.gateway.crashCauses.TakeTrial(time.Now(), f.sharedParts(), globalRand{}.Float64()) {
		f.onTrial = true
		f.log.Add("part_tried", zap.String("part", formatPart(part)))
		return nil
	}
	name := string(f.SharedParts[slices.Index(f.sharedParts(), part)])
	f.log.Add("part_refused", zap.String("part", formatPart(part)), zap.String("name", name), zap.Duration("left_ms", remaining))
	if failure, ended := f.endAttempted(fmt.Sprintf("endpoints crash under part %s of this prompt", name)); ended {
		return failure
	}
	return result.Refuse(result.PartQuarantined, remaining, "endpoints crashed under part %s of this prompt", name)
}

// endTrial returns a trial that has told nothing.
func (f *forwarding) endTrial() {
	if f.onTrial && !f.trialDecided {
		f.gateway.crashCauses.ReturnTrial(time.Now(), f.sharedParts())
	}
}

// recordPartCrash records against the parts of the call's prompt that an endpoint crashed.
func (f *forwarding) recordPartCrash(e *directory.EndpointState) {
	if len(f.SharedParts) == 0 {
		return
	}
	f.trialDecided = true
	fingerprint := f.fingerprint()
	request := uint32(fingerprint.Scope ^ fingerprint.Body)
	changes := f.gateway.crashCauses.RecordCrash(time.Now(), f.sharedParts(), uint32(direct.HashEndpoint(e.Incarnation)), request)
	f.gateway.reportParts(changes, "")
}

// recordPartAnswer records that the call has been answered with success and completely.
func (f *forwarding) recordPartAnswer() {
	if len(f.SharedParts) == 0 || f.lastStatus != http.StatusOK {
		return
	}
	f.trialDecided = true
	f.gateway.reportParts(f.gateway.crashCauses.RecordAnswer(time.Now(), f.sharedParts()), "")
}

// reportParts logs and announces the parts that are refused from now on, or no longer. from names the entry whose
// heartbeat was decisive, or the store; it is empty if this entry observed it itself. Entries that observed one
// of the crashes also write a record to the store.
func (g *Gateway) reportParts(changes crashcause.Changes, from string) {
	for _, part := range changes.Blamed {
		crashes, _, local := g.crashCauses.Crashes(time.Now(), part)
		g.log.Warn("part_quarantined", zap.String("part", formatPart(part)), zap.Int("crashes", len(crashes)), zap.String("heard_from", from))
		if local {
			go g.persist(g.encodePartRecord(part))
		}
	}
	for _, part := range changes.Cleared {
		g.log.Info("part_cleared", zap.String("part", formatPart(part)), zap.String("heard_from", from))
	}
	if len(changes.Blamed) > 0 {
		g.peers.sendHeartbeat()
	}
}

// formatPart returns a part's identifier as it appears in logs and in names of records.
func formatPart(part crashcause.Part) string { return fmt.Sprintf("%016x", uint64(part)) }

// partRecordPrefix begins the names of the records of parts of prompts.
const partRecordPrefix = "part-"

// partRecord is the record in the store of a part of prompts under which endpoints crashed.
type partRecord struct {
	Part     uint64      `json:"part"`
	Position uint8       `json:"position"`
	Crashes  []partCrash `json:"crashes"`
}

// partCrash is a crash of an endpoint, given by the hashes of its incarnation and of a request in flight there.
type partCrash struct {
	Endpoint uint32 `json:"endpoint"`
	Request  uint32 `json:"request"`
	// AtUnixMilli is the time of the crash by the clock of the entry that wrote the record, in milliseconds.
	AtUnixMilli int64 `json:"at_unix_ms"`
}

// encodePartRecord returns the record of a part in its present state, as the store keeps it.
func (g *Gateway) encodePartRecord(part crashcause.Part) directory.Record {
	now := time.Now()
	crashes, position, _ := g.crashCauses.Crashes(now, part)
	r := partRecord{Part: uint64(part), Position: position}
	for _, c := range crashes[max(len(crashes)-maxRecordEndpoints, 0):] {
		r.Crashes = append(r.Crashes, partCrash{c.Endpoint, c.Request, now.Add(-c.Age).UnixMilli()})
	}
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen for these types
	}
	return directory.Record{Name: partRecordPrefix + formatPart(part), Value: value}
}

// applyPartRecord merges a part's record from the store.
func (g *Gateway) applyPartRecord(now time.Time, record *directory.Record) {
	var r partRecord
	if err := json.Unmarshal(record.Value, &r); err != nil {
		g.log.Error("quarantine_record_refused", zap.String("name", record.Name), eventlog.Error(err))
		return
	}
	var findings []crashcause.Finding
	for _, c := range r.Crashes[:min(len(r.Crashes), maxRecordEndpoints)] {
		if c.Endpoint == crashcause.Answered {
			continue
		}
		age := max(now.Sub(time.UnixMilli(c.AtUnixMilli)), 0) // the clocks of VMs differ
		findings = append(findings, crashcause.Finding{Part: crashcause.Part(r.Part), Endpoint: c.Endpoint, Request: c.Request, Position: r.Position, Age: age})
	}
	g.reportParts(g.crashCauses.MergeStored(now, findings), heardFromStore)
}

// isPartRecord reports whether a record is that of a part of prompts.
func isPartRecord(record *directory.Record) bool {
	return strings.HasPrefix(record.Name, partRecordPrefix)
}

// appendPartFindings adds findings about parts of prompts under which endpoints crashed.
func appendPartFindings(h *wire.Heartbeat, findings []crashcause.Finding) {
	for _, f := range findings {
		h.PartIds = append(h.PartIds, uint64(f.Part))
		h.PartEndpoints = append(h.PartEndpoints, f.Endpoint)
		h.PartRequests = append(h.PartRequests, f.Request)
		h.PartPositions = append(h.PartPositions, uint32(f.Position))
		h.PartAgesMs = append(h.PartAgesMs, uint32(f.Age.Milliseconds())+1)
	}
}

// decodePartFindings returns a heartbeat's findings about parts of prompts.
func decodePartFindings(h *wire.Heartbeat) []crashcause.Finding {
	n := min(len(h.PartIds), len(h.PartEndpoints), len(h.PartRequests), len(h.PartPositions), len(h.PartAgesMs))
	findings := make([]crashcause.Finding, 0, n)
	for i := range n {
		findings = append(findings, crashcause.Finding{
			Part: crashcause.Part(h.PartIds[i]), Endpoint: h.PartEndpoints[i], Request: h.PartRequests[i],
			Position: uint8(min(h.PartPositions[i], math.MaxUint8)), Age: milliseconds(h.PartAgesMs[i]),
		})
	}
	return findings
}

// registerPartMetrics registers the gauges of parts of prompts under which endpoints crashed.
func (g *Gateway) registerPartMetrics() {
	g.metrics.NewGauge("aspenyard_gateway_suspect_parts", func() float64 {
		suspects, _ := g.crashCauses.Counts(time.Now())
		return float64(suspects)
	})
	g.metrics.NewGauge("aspenyard_gateway_quarantined_parts", func() float64 {
		_, blamed := g.crashCauses.Counts(time.Now())
		return float64(blamed)
	})
}

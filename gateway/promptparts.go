package gateway

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/attempt/crashcause"
	"aspenyard.example/directory"
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
	f.gateway.verdicts.claimTrial(f.sharedParts())
	if f.gateway.crashCauses.AwaitsTrial(f.sharedParts()) {
		remaining = min(remaining, trialRetryAfter)
	}
	return result.Refuse(result.PartQuarantined, remaining, "endpoints crashed under part %s of this prompt", name)
}

// trialRetryAfter is the Retry-After of prompts with a part that is about to be tried.
const trialRetryAfter = time.Second

// endTrial returns a trial that has told nothing.
func (f *forwarding) endTrial() {
	if f.onTrial && !f.trialDecided {
		f.gateway.crashCauses.ReturnTrial(time.Now(), f.sharedParts(), f.retrier.MayHaveRun())
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
	if f.onTrial {
		for _, part := range f.gateway.crashCauses.ConfirmBlame(f.sharedParts()) {
			f.gateway.verdicts.write(partVerdict(part).name())
		}
	}
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
// of the crashes, or the answer, also write it to the store at once.
func (g *Gateway) reportParts(changes crashcause.Changes, from string) {
	for _, part := range changes.Blamed {
		known := g.crashCauses.Known(time.Now(), part)
		g.log.Warn("part_quarantined", zap.String("part", formatPart(part)), zap.Int("crashes", len(known.Crashes)), zap.String("heard_from", from))
		if known.Local {
			g.verdicts.write(partVerdict(part).name())
		}
	}
	for _, part := range changes.Cleared {
		g.log.Info("part_cleared", zap.String("part", formatPart(part)), zap.String("heard_from", from))
		if from == "" {
			g.verdicts.write(partVerdict(part).name())
		}
	}
	if len(changes.Blamed) > 0 {
		g.peers.sendHeartbeat()
	}
}

// formatPart returns a part's identifier as it appears in logs and in names of records.
func formatPart(part crashcause.Part) string { return fmt.Sprintf("%016x", uint64(part)) }

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

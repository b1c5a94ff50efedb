package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

// maxHeartbeatOutcomes is how many outcomes of long prompts a heartbeat carries at most, of about 6
// bytes each.
const maxHeartbeatOutcomes = 64

// preferredDeadlineShare is the part of the time left to its deadline within which the first token
// of a prompt must be expected that may wait although it is late: the rest is for its other
// tokens.
const preferredDeadlineShare = 0.7

// checkPassedOver marks a long prompt that may wait longer than its target allows, because prompts as long
// as it are served much less often than others. A prompt that cannot be served before its deadline is
// not marked.
func (f *forwarding) checkPassedOver(estimate direct.FirstTokenEstimate) {
	if estimate.FirstToken() > scaleDuration(time.Until(f.deadline), preferredDeadlineShare) {
		return
	}
	if f.gateway.policy.PassedOver(time.Now(), direct.HashRoute(f.service.Name, f.route.Name), f.PromptTokens) {
		f.placementRequest.PassedOver = true
		f.log.Add("length_preferred", zap.Duration("expected_ms", estimate.FirstToken()), zap.Duration("limit_ms", f.route.Target))
		f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_length_preferred_total{service=%q}`, f.service.Name)).Inc()
	}
}

// recordLengthOutcome records once whether a long prompt was admitted.
func (f *forwarding) recordLengthOutcome(admitted bool) {
	if f.lengthRecorded || f.service.Engine == nil || !direct.IsLongPrompt(f.service, f.PromptTokens) {
		return
	}
	f.lengthRecorded = true
	f.gateway.loadTracker.RecordOutcome(time.Now(), direct.LengthOutcome{Route: direct.HashRoute(f.service.Name, f.route.Name), Tokens: f.PromptTokens, Admitted: admitted})
}

// maxReportedLength is the longest prompt, in tokens, whose outcome a heartbeat may report. A longer one
// is not valid.
const maxReportedLength = 100_000_000

// appendOutcomes adds outcomes of long prompts to a heartbeat.
func appendOutcomes(h *wire.Heartbeat, outcomes []direct.LengthOutcome) {
	for _, o := range outcomes {
		length := uint32(min(o.Tokens, maxReportedLength)) << 1
		if o.Admitted {
			length |= 1
		}
		h.OutcomeRoutes = append(h.OutcomeRoutes, uint32(o.Route))
		h.OutcomeLengths = append(h.OutcomeLengths, length)
	}
}

// decodeOutcomes returns the outcomes of long prompts that a heartbeat reports.
func decodeOutcomes(h *wire.Heartbeat) []direct.LengthOutcome {
	n := min(len(h.OutcomeRoutes), len(h.OutcomeLengths))
	outcomes := make([]direct.LengthOutcome, 0, n)
	for i := range n {
		if length := int(h.OutcomeLengths[i] >> 1); length <= maxReportedLength {
			outcomes = append(outcomes, direct.LengthOutcome{Route: direct.RouteHash(h.OutcomeRoutes[i]), Tokens: length, Admitted: h.OutcomeLengths[i]&1 != 0})
		}
	}
	return outcomes
}

package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"aspenyard.example/standin/platform"
)

// checkNoRequestCut finds requests whose connection ended without a complete response although they had reached endpoints or
// had been sent for longer than lossSlack, no endpoint broke off or was disturbed, and neither was their gateway. An endpoint
// that is silent is no excuse; one that is slow excuses a response that has begun, at its timeout and when a shutdown ends.
func checkNoRequestCut(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if req.Complete || req.Cancelled || !ix.losesNothing(req.Gateway, req.SentAt, req.EndedAt) {
			return ""
		}
		arrivals, took := ix.arrivalsByID[req.ID], req.EndedAt.Sub(req.SentAt)
		if len(arrivals) == 0 && (req.ExpectedStatus != 0 || req.EndedAt.Sub(ix.readableSince(req)) <= lossSlack) {
			return "" // the connection may have been closed before the request was read
		}
		slow := false
		for _, arrival := range arrivals {
			if breaksOff(arrival.Fault) || !ix.endpointCalm(arrival.Endpoint, arrival.ArrivedAt, runEnd(arrival)) {
				return ""
			}
			slow = slow || arrival.Fault != ""
		}
		if slow && req.Status != 0 && (took >= req.Route.Timeout || ix.excusedByStop(req)) {
			return ""
		}
		return fmt.Sprintf("no complete response after %v, status %d, %d arrivals%s%s", took, req.Status, len(arrivals), ix.describeStop(req), req.describeWritten())
	})
}

// readableSince returns when a gateway that ran could have read a request: when it was sent, or resumed from a suspension.
func (ix *indexedRecord) readableSince(req *Request) time.Time {
	since := req.SentAt
	for _, d := range ix.Disturbances {
		if d.DelaysOnly && d.Gateway == req.Gateway && d.overlaps(req.SentAt, req.EndedAt) && d.To.After(since) {
			since = d.To
		}
	}
	return since
}

// stopOf returns the first SIGTERM that the process that a request was sent to got before the request ended; nil if it got none.
func (ix *indexedRecord) stopOf(req *Request) *Disturbance {
	for _, d := range ix.Disturbances { // in the order of time
		if d.Kind == kindStop && d.Gateway == req.Gateway && d.Incarnation == req.Incarnation && d.From.Before(req.EndedAt) {
			return d
		}
	}
	return nil
}

// describeStop says when a request was sent and ended in relation to a SIGTERM.
func (ix *indexedRecord) describeStop(req *Request) string {
	stop := ix.stopOf(req)
	if stop == nil {
		return ""
	}
	return fmt.Sprintf("; sent %.2f s, ended %.2f s after SIGTERM", req.SentAt.Sub(stop.From).Seconds(), req.EndedAt.Sub(stop.From).Seconds())
}

// describeWritten says how long before its end the request was written completely; its caller may have been held up.
func (req *Request) describeWritten() string {
	if req.writtenAt == nil || req.writtenAt.Load() == nil {
		return ""
	}
	written := req.writtenAt.Load()
	return fmt.Sprintf("; written %v before that", req.EndedAt.Sub(*written))
}

// Users' rule for requests that are cut: one that reached no endpoint counts if it was sent for longer than lossSlack, and one
// that a shutdown cuts is excused if it was sent no later than excusedSending after the SIGTERM and its endpoint was at work for
// longer than excusedWork after it.
const (
	lossSlack      = 200 * time.Millisecond
	excusedSending = 3 * time.Second
	excusedWork    = drainTimeout * 5 / 6
)

// excusedByStop reports whether a response that had begun could not be complete when the process had to end.
func (ix *indexedRecord) excusedByStop(req *Request) bool {
	stop := ix.stopOf(req)
	if stop == nil || req.SentAt.After(stop.From.Add(excusedSending)) {
		return false
	}
	for _, run := range ix.arrivalsByID[req.ID] {
		if runEnd(run).After(stop.From.Add(excusedWork)) {
			return true
		}
	}
	return false
}

// breaksOff reports whether an endpoint with a fault ends a response early, or sends what is none.
func breaksOff(fault platform.Fault) bool {
	switch fault {
	case platform.FaultReset, platform.FaultTruncated, platform.FaultTruncatedUnframed, platform.FaultUnframedCrash, platform.FaultGarbage:
		return true
	}
	return strings.HasPrefix(string(fault), "endless-") || platform.IsCut(fault)
}

// checkValidNotBad finds valid requests that a gateway answered itself with status 400, or without a length, or, while it
// was being stopped, with any other status that denies them.
func checkValidNotBad(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		bad := req.isDenied() && (req.Status == http.StatusBadRequest || ix.stopOf(req) != nil)
		if unframed := req.Unframed && req.Complete && !req.HasServerStamp; bad || unframed {
			return fmt.Sprintf("status %d, without a length: %v%s", req.Status, req.Unframed, ix.describeStop(req))
		}
		return ""
	})
}

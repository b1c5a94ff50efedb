package result

import (
	"fmt"
	"net/http"
	"strings"
)

// table lists the codes in ascending order. docs/RESULT-CODES.md is generated from it.
var table = []Info{
	{OK, "ok", http.StatusOK, "The request was carried out.", "None."},
	{Replayed, "replayed", http.StatusOK, "The recorded outcome of an earlier request with the same idempotency key.", "None; the request did not run again."},

	{BadBody, "bad_body", http.StatusBadRequest, "The body is not JSON of the expected form.", "Correct the body."},
	{UnknownKind, "unknown_kind", http.StatusNotFound, "The catalogue has no kind of work of this name.", "Ask the operators for the right name."},
	{NoKey, "no_key", http.StatusUnauthorized, "The request carries no key.", "Send Authorization: Bearer KEY."},
	{WrongKey, "wrong_key", http.StatusUnauthorized, "No client account has this key.", "Ask the operators whether the key is right."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is longer than the entry's limit.", "Send a shorter body, or have the operators raise body_limit."},
	{BadField, "bad_field", http.StatusBadRequest, "The value of a field is not allowed.", "Correct the field that the detail names."},
	{BadDeadline, "bad_deadline", http.StatusBadRequest, "The deadline is not a positive duration within the limit.", "Send X-Request-Deadline with a duration such as 30s."},
	{UnknownModel, "unknown_model", http.StatusNotFound, "No kind of work in the catalogue has this model name.", "List the names with GET /v1/models."},
	{PromptTooLong, "prompt_too_long", http.StatusRequestEntityTooLarge, "The prompt is too long for any set of endpoints.", "Shorten the prompt."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, "The idempotency key was used before for a different request.", "Use a new key for a new request."},
	{KeyRequired, "key_required", http.StatusBadRequest, "This kind of work is not repeatable and needs an idempotency key.", "Send Idempotency-Key."},
	{UnknownRequest, "unknown_request", http.StatusNotFound, "There is no record of this request id or idempotency key.", "Check the id; entries keep ids for a limited time."},
	{EditConflict, "edit_conflict", http.StatusConflict, "The catalogue record has changed since the caller read it.", "Read the current value and repeat the edit."},
	{BadCatalogue, "bad_catalogue", http.StatusBadRequest, "The catalogue record is not valid.", "Correct the field that the detail names."},
	{NotOperator, "not_operator", http.StatusForbidden, "The key is not an operator's.", "Use an operator's key."},
	{UnknownEntry, "unknown_entry", http.StatusNotFound, "The catalogue has no such record.", "Check its type and id."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, "The path does not take this method.", "Use the method in the Allow header."},
	{BadRequest, "bad_request", http.StatusBadRequest, "The request line, the header section or the framing of the request is malformed.", "Correct the request."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, "The request's header section is longer than the configuration allows.", "Send a shorter header section."},
	{SlowCaller, "slow_caller", http.StatusRequestTimeout, "The request was not received completely in time; it did not run.", "Send the request again."},

	{RateLimited, "rate_limited", http.StatusTooManyRequests, "The client account exceeds its limit of requests per second.", "Send the request again after Retry-After."},
	{TooManyConcurrent, "too_many_concurrent", http.StatusTooManyRequests, "The client account exceeds its limit of concurrent requests.", "Send the request again when another one has ended."},
	{TokenLimited, "token_limited", http.StatusTooManyRequests, "The client account exceeds its limit of tokens per second.", "Send the request again after Retry-After."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, "The endpoints' queues are full.", "Send the request again after Retry-After."},
	{DeadlineUnmeetable, "deadline_unmeetable", http.StatusServiceUnavailable, "The request cannot be finished before its deadline.", "Send the request again after Retry-After, or with a later deadline."},
	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, "No live endpoint serves this kind of work or model.", "Send the request again after Retry-After; check the alarms."},
	{Leaving, "leaving", http.StatusServiceUnavailable, "The process is shutting down.", "Send the request again at once through the balancer."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, "The request needs the platform's store, which cannot be reached.", "Send the request again after Retry-After."},
	{InProgress, "in_progress", http.StatusConflict, "A request with the same idempotency key is still running.", "Send the request again after Retry-After."},
	{Withdrawn, "withdrawn", http.StatusServiceUnavailable, "The reservation was withdrawn before the request started.", "Send the request again."},
	{NoReservation, "no_reservation", http.StatusServiceUnavailable, "The agent has no valid reservation with the id in the run request.", "Send the request again."},
	{NoPower, "no_power", http.StatusServiceUnavailable, "The power granted to the endpoint does not allow more work.", "Send the request again after Retry-After."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, "The node has no catalogue or configuration yet, or one that may be out of date.", "Send the request again after Retry-After."},
	{Quarantined, "quarantined", http.StatusServiceUnavailable, "Endpoints crashed while they ran earlier copies of this request.", "Do not send the request again before Retry-After; give the operators the fingerprint from the log."},
	{EndpointsLimited, "endpoints_limited", http.StatusServiceUnavailable, "All endpoints of the service state a limit of requests per second, and it is used up.", "Send the request again after Retry-After."},
	{EndpointsInBackoff, "endpoints_in_backoff", http.StatusServiceUnavailable, "All endpoints of the service have refused requests and stated for how long they want no others.", "Send the request again after Retry-After."},
	{Evacuated, "evacuated", http.StatusServiceUnavailable, "All endpoints that could serve the request are in data centres that are being evacuated.", "Send the request again after Retry-After; ask the operators when the evacuation ends."},
	{EndpointsCold, "endpoints_cold", http.StatusServiceUnavailable, "All endpoints that could serve the request are warming up, and what they tolerate meanwhile is used up.", "Send the request again after Retry-After."},
	{NotAdmitted, "not_admitted", http.StatusServiceUnavailable, "The service has too little capacity for all requests, and this one's priority is too low.", "Send the request again after Retry-After."},
	{OutsideRegions, "outside_regions", http.StatusServiceUnavailable, "No endpoint of the service is in a region that the route and the client account allow.", "Send the request again after Retry-After; check the regions that the route and the account allow."},
	{EntryFull, "entry_full", http.StatusServiceUnavailable, "The entry itself is short of memory, processor time, link capacity or descriptors.", "Send the request again after Retry-After; another entry may take it."},
	{PartQuarantined, "part_quarantined", http.StatusServiceUnavailable, "Endpoints crashed while they ran earlier requests with a part of this prompt.", "Do not send prompts with the part before Retry-After; give the operators the request ID, by which the log names the part."},

	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, "The deadline passed before the request ended.", "See ran; allow more time."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, "The request was sent to an endpoint, and it cannot be determined whether it ran.", "Look up the status by idempotency key; do not assume either outcome."},
	{EndpointFailed, "endpoint_failed", http.StatusBadGateway, "The endpoint failed after the work had started.", "See ran; send the request again if it may be repeated."},
	{Cancelled, "cancelled", 499, "The caller cancelled the request or closed its connection.", "None."},
	{ServiceFailed, "service_failed", http.StatusBadGateway, "The plain service answered with an error, or with more than 256 KiB.", "See the detail; the service ran the call."},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, "The work failed after it had started, and the retry budget of its class is used up.", "Send the request again after Retry-After."},
	{Interrupted, "interrupted", http.StatusBadGateway, "The entry shut down before the endpoint had responded.", "See ran; send the request again at once if it may be repeated."},

	{Internal, "internal", http.StatusInternalServerError, "An internal error in aspenyard.", "Report the error with the request id."},
}

// Markdown returns the text of docs/RESULT-CODES.md. The command "aspenyard version --codes"
// prints it.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nFor callers and operators.\n\n")
	b.WriteString("Every response carries its code in `X-Result-Code` and, when it is an error, in the body\n")
	b.WriteString("with `ran` (`no`, `yes` or `unknown`). 1xxx: carried out; 2xxx: the request is invalid; 3xxx:\n")
	b.WriteString("refused, the request did not run; 4xxx: failed after admission; 5xxx: internal error.\n")
	b.WriteString("With 3008 and 3010, `ran` refers to the idempotency key: an earlier request with the key\n")
	b.WriteString("may have run, and `ran` is `unknown` if that cannot be determined.\n\n")
	b.WriteString("| Code | Name | HTTP | Meaning | What to do |\n|---|---|---|---|---|\n")
	for _, info := range table {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", info.Code, info.Name, info.HTTPStatus, info.Meaning, info.Action)
	}
	return b.String()
}

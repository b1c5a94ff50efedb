package result

import (
	"fmt"
	"net/http"
	"strings"
)

// table holds the codes in ascending order; docs/RESULT-CODES.md is made of it.
var table = []Info{
	{OK, "ok", http.StatusOK, "The request was carried out.", "None."},
	{Replayed, "replayed", http.StatusOK, "The recorded outcome of an earlier request with the same idempotency key.", "None; it did not run again."},

	{BadBody, "bad_body", http.StatusBadRequest, "The body is not the JSON that was expected.", "Correct the body."},
	{UnknownKind, "unknown_kind", http.StatusNotFound, "The catalogue has no such kind of work.", "Ask the operators for the name."},
	{NoKey, "no_key", http.StatusUnauthorized, "The request carries no key.", "Send Authorization: Bearer KEY."},
	{WrongKey, "wrong_key", http.StatusUnauthorized, "No client account has this key.", "Check the key with the operators."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is longer than the entry's limit.", "Send less, or have body_limit raised."},
	{BadField, "bad_field", http.StatusBadRequest, "A field has a value that is not allowed.", "Correct the field that the detail names."},
	{BadDeadline, "bad_deadline", http.StatusBadRequest, "The deadline is not a positive duration within the limit.", "Send X-Request-Deadline such as 30s."},
	{UnknownModel, "unknown_model", http.StatusNotFound, "No kind of work in the catalogue has this model name.", "List the names with GET /v1/models."},
	{PromptTooLong, "prompt_too_long", http.StatusRequestEntityTooLarge, "No set of endpoints could hold the prompt.", "Shorten the prompt."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, "The idempotency key was used before with another request.", "Use a new key for a new request."},
	{KeyRequired, "key_required", http.StatusBadRequest, "This kind of work may not be repeated and needs an idempotency key.", "Send Idempotency-Key."},
	{UnknownRequest, "unknown_request", http.StatusNotFound, "No record of this request or key.", "Check the id; entries keep ids for a limited time."},
	{EditConflict, "edit_conflict", http.StatusConflict, "The catalogue entry has changed since it was read.", "Read the current value and edit again."},
	{BadCatalogue, "bad_catalogue", http.StatusBadRequest, "The catalogue entry is not valid.", "Correct the field that the detail names."},
	{NotOperator, "not_operator", http.StatusForbidden, "The key is not an operator's.", "Use an operator's key."},
	{UnknownEntry, "unknown_entry", http.StatusNotFound, "The catalogue has no such entry.", "Check its type and id."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, "The path does not take this method.", "Use the method in the Allow header."},
	{BadRequest, "bad_request", http.StatusBadRequest, "The request's head or framing is malformed.", "Correct the request."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, "The request's head is longer than the configuration allows.", "Send less."},
	{SlowCaller, "slow_caller", http.StatusRequestTimeout, "The request did not come whole in time; it did not run.", "Send it again."},

	{RateLimited, "rate_limited", http.StatusTooManyRequests, "The client account is over its requests per second.", "Ask again after Retry-After."},
	{TooManyConcurrent, "too_many_concurrent", http.StatusTooManyRequests, "The client account has too many requests at once.", "Ask again when one has ended."},
	{TokenLimited, "token_limited", http.StatusTooManyRequests, "The client account is over its tokens per second.", "Ask again after Retry-After."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, "The endpoints' queues are full.", "Ask again after Retry-After."},
	{DeadlineUnmeetable, "deadline_unmeetable", http.StatusServiceUnavailable, "The work cannot end before its deadline.", "Ask again after Retry-After, or allow more time."},
	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, "No live endpoint serves this.", "Ask again after Retry-After; see the alarm."},
	{Leaving, "leaving", http.StatusServiceUnavailable, "The process is shutting down.", "Ask again at once through the balancer."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, "The platform's store cannot be reached, which this request needs.", "Ask again after Retry-After."},
	{InProgress, "in_progress", http.StatusConflict, "A request with the same idempotency key is still running.", "Ask again after Retry-After."},
	{Withdrawn, "withdrawn", http.StatusServiceUnavailable, "The reservation was withdrawn before it started.", "Ask again."},
	{NoReservation, "no_reservation", http.StatusServiceUnavailable, "The order names no live reservation of this agent.", "Ask again."},
	{NoPower, "no_power", http.StatusServiceUnavailable, "The endpoint's power grant does not allow more work.", "Ask again after Retry-After."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, "The node has no catalogue or configuration yet, or one that may be out of date.", "Ask again after Retry-After."},
	{Quarantined, "quarantined", http.StatusServiceUnavailable, "Endpoints crashed under earlier copies of this request.", "Do not send it again before Retry-After; give the operators the fingerprint of the log."},

	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, "The deadline passed before the request ended.", "Allow more time; see ran."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, "The order was sent and nobody can tell whether it ran.", "Look up the status by key; do not assume either."},
	{EndpointFailed, "endpoint_failed", http.StatusBadGateway, "The endpoint failed after the work had started.", "Ask again; see ran."},
	{Cancelled, "cancelled", 499, "The caller went away.", "None."},
	{ServiceFailed, "service_failed", http.StatusBadGateway, "The plain service answered with an error.", "See the detail; the service ran the call."},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, "The work failed after it had started, and the retry budget of its class is spent.", "Ask again after Retry-After."},

	{Internal, "internal", http.StatusInternalServerError, "A fault in aspenyard.", "Report it with the request id."},
}

// Markdown gives the table as docs/RESULT-CODES.md holds it.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Every answer carries its code in `X-Result-Code` and, when it is an error, in the body\n")
	b.WriteString("with `ran` (`no`, `yes` or `unknown`). 1xxx: done; 2xxx: the request is at fault; 3xxx:\n")
	b.WriteString("refused, this request ran nowhere; 4xxx: failed after admission; 5xxx: a fault of the\n")
	b.WriteString("system. With 3008 and 3010, `ran` speaks of the idempotency key: an earlier request with it\n")
	b.WriteString("may have run, and `unknown` is said where that cannot be told.\n\n")
	b.WriteString("| Code | Name | HTTP | Meaning | What to do |\n|---|---|---|---|---|\n")
	for _, info := range table {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", info.Code, info.Name, info.HTTPStatus, info.Meaning, info.Action)
	}
	return b.String()
}
